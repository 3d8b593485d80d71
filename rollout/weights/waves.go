// Package weights decides which engine loads which weight version when, and who
// may order it. Engines of one pool and zone swap in waves, so that the others
// keep serving; what an engine reports as loaded is compared with what is
// declared, and an engine that someone else set back is ordered again.
//
// Orders are sent under a claim on the platform's log. The claim's offset is the
// fencing number. Engines that ignore fencing numbers are protected by the
// claim's lease, which its holder counts on its own clock from before the append
// and everyone else from after reading it plus a guard. Labels never depend on
// orders: they come with the tokens.
//
// The package is pure. Invariants: an order carries the fence of a claim that
// was the key's last record when it was read; no order is due under a lapsed
// claim; a version older than the target is never ordered.
package weights

import (
	"cmp"
	"slices"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/life"
)

// Config configures the waves of one pool and zone.
type Config struct {
	// WaveShare is the share of the engines that may swap at a time.
	WaveShare float64
	// Confirm is how long an engine may take to report a new version.
	Confirm time.Duration
	// BackoffBase and BackoffMax bound the wait after a failed order.
	BackoffBase time.Duration
	BackoffMax  time.Duration
}

// DefaultConfig swaps a third of the engines at a time.
func DefaultConfig() Config {
	return Config{WaveShare: 0.34, Confirm: 4 * time.Second, BackoffBase: 200 * time.Millisecond, BackoffMax: 10 * time.Second}
}

// task is one engine's way to one model's target version.
type task struct {
	server   rollout.ServerName
	model    rollout.ModelName
	state    life.State
	loaded   rollout.WeightVersion
	due      time.Time
	failures int
}

type taskKey struct {
	server rollout.ServerName
	model  rollout.ModelName
}

// Waves is the state of the orders of one pool and zone.
type Waves struct {
	config  Config
	servers []rollout.ServerName
	targets map[rollout.ModelName]rollout.WeightVersion
	tasks   map[taskKey]*task
	machine *life.Machine
	cursor  *task
}

// NewWaves returns a state without engines and targets.
func NewWaves(c Config) *Waves {
	w := &Waves{config: c, targets: map[rollout.ModelName]rollout.WeightVersion{}, tasks: map[taskKey]*task{}}
	w.machine = life.NewOrder(life.Store{
		Get: func() life.State { return w.cursor.state },
		Set: func(to life.State) { w.cursor.state = to },
	})
	return w
}

func (w *Waves) fire(t *task, trigger life.Trigger) bool {
	w.cursor = t
	return w.machine.Fire(trigger) == nil
}

// Declare sets the engines.
func (w *Waves) Declare(servers []rollout.ServerName) {
	w.servers = slices.Clone(servers)
	for k := range w.tasks {
		if !slices.Contains(servers, k.server) {
			delete(w.tasks, k)
		}
	}
}

// Target sets the version that every engine should have of a model. A version
// below the present target is ignored.
func (w *Waves) Target(model rollout.ModelName, v rollout.WeightVersion) {
	if v <= w.targets[model] {
		return
	}
	w.targets[model] = v
	for k, t := range w.tasks {
		if k.model == model {
			t.failures = 0
			w.fire(t, life.OrderReplace)
		}
	}
}

// Reported takes an engine's report of what it has loaded.
func (w *Waves) Reported(server rollout.ServerName, loaded map[rollout.ModelName]rollout.WeightVersion) {
	for model, target := range w.targets {
		t := w.task(server, model)
		t.loaded = loaded[model]
		switch {
		case t.loaded >= target:
			t.failures = 0
			w.fire(t, life.OrderSeen)
		case t.state == life.OrderConfirmed:
			w.fire(t, life.OrderReplace)
		}
	}
}

func (w *Waves) task(server rollout.ServerName, model rollout.ModelName) *task {
	k := taskKey{server, model}
	t := w.tasks[k]
	if t == nil {
		t = &task{server: server, model: model, state: life.OrderDue}
		w.tasks[k] = t
	}
	return t
}

// Failed tells that an order was refused or not confirmed.
func (w *Waves) Failed(now time.Time, server rollout.ServerName, model rollout.ModelName) {
	t := w.task(server, model)
	if w.fire(t, life.OrderFail) {
		w.backOff(now, t)
	}
}

func (w *Waves) backOff(now time.Time, t *task) {
	wait := min(w.config.BackoffBase<<min(t.failures, 10), w.config.BackoffMax)
	t.failures++
	t.due = now.Add(wait)
}

// Due reports whether any engine lacks a target version, so that a claim is
// needed.
func (w *Waves) Due() bool {
	for model := range w.targets {
		for _, s := range w.servers {
			if w.task(s, model).state != life.OrderConfirmed {
				return true
			}
		}
	}
	return false
}

// Send is an order that must be sent.
type Send struct {
	Server rollout.ServerName
	Order  rollout.Order
}

// Next returns the orders to send now under a fence: those furthest behind
// first, no more at a time than a wave.
func (w *Waves) Next(now time.Time, fence rollout.Offset) []Send {
	busy := w.expire(now)
	wave := max(1, int(w.config.WaveShare*float64(len(w.servers))+0.5))
	var due []*task
	for model := range w.targets {
		for _, s := range w.servers {
			if t := w.task(s, model); t.state == life.OrderDue && !busy[s] {
				due = append(due, t)
			}
		}
	}
	slices.SortFunc(due, func(a, b *task) int {
		return cmp.Or(cmp.Compare(w.behind(b), w.behind(a)), cmp.Compare(a.server, b.server), cmp.Compare(a.model, b.model))
	})
	var out []Send
	for _, t := range due {
		if len(busy) >= wave {
			break
		}
		if busy[t.server] || !w.fire(t, life.OrderSend) {
			continue
		}
		busy[t.server] = true
		t.due = now.Add(w.config.Confirm)
		out = append(out, Send{Server: t.server, Order: rollout.Order{Model: t.model, Version: w.targets[t.model], Fence: fence}})
	}
	return out
}

func (w *Waves) behind(t *task) uint64 {
	return uint64(w.targets[t.model] - min(t.loaded, w.targets[t.model]))
}

// expire moves tasks whose time is over, and returns the engines that swap.
func (w *Waves) expire(now time.Time) map[rollout.ServerName]bool {
	busy := map[rollout.ServerName]bool{}
	for _, t := range w.tasks {
		over := !now.Before(t.due)
		switch {
		case t.state == life.OrderSent && over:
			w.fire(t, life.OrderExpire)
			w.backOff(now, t)
		case t.state == life.OrderBackoff && over:
			w.fire(t, life.OrderExpire)
		}
		if t.state == life.OrderSent {
			busy[t.server] = true
		}
	}
	return busy
}

// Behind returns how many engines lack the target of a model.
func (w *Waves) Behind(model rollout.ModelName) int {
	count := 0
	for _, s := range w.servers {
		if w.task(s, model).loaded < w.targets[model] {
			count++
		}
	}
	return count
}
