// Package weights decides when each engine loads which weight version, and which
// VM may send the order. The engines of one pool and zone change weights in waves,
// so that the others keep serving. The versions that an engine reports as loaded
// are compared with the target versions, and an engine that was set back to an
// older version is ordered to load the target again.
//
// Orders are sent under a claim on the platform's log. The fencing token of the
// orders is one more than the claim's offset. For engines that ignore fencing
// tokens, the claim's lease keeps two VMs from sending orders at once: the holder
// measures the lease on its own clock from before the append, and every other VM
// from the time at which it read the claim, plus a guard. The weight versions that
// label a sample never depend on orders; the engine reports them with the tokens.
//
// The package is pure: it does no I/O and reads no clock. Invariants: an order
// carries the fencing token of a claim that was the last record of its key when it
// was read; no order is sent under an expired claim; a version older than the
// target is never ordered.
package weights

import (
	"cmp"
	"slices"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/lifecycle"
)

// Config configures the waves of one pool and zone.
type Config struct {
	// WaveShare is the fraction of the engines that may change weights at the same
	// time.
	WaveShare float64
	// Confirm is the time within which an engine must report a version that it was
	// ordered to load.
	Confirm time.Duration
	// BackoffBase is the delay after the first failed order. The delay doubles with
	// every further failure, up to BackoffMax.
	BackoffBase time.Duration
	BackoffMax  time.Duration
}

// DefaultConfig returns a configuration in which a third of the engines change
// weights at the same time.
func DefaultConfig() Config {
	return Config{WaveShare: 0.34, Confirm: 4 * time.Second, BackoffBase: 200 * time.Millisecond, BackoffMax: 10 * time.Second}
}

// task tracks the order for one engine to load the target version of one model.
type task struct {
	server rollout.ServerName
	model  rollout.ModelName
	state  lifecycle.State
	// loaded is the version that the engine reported last; 0 if none.
	loaded rollout.WeightVersion
	// due is the end of the wait for a confirmation, or of the backoff.
	due time.Time
	// failures is the number of consecutive failed orders.
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
	// machine is shared by all tasks and operates on current.
	machine *lifecycle.Machine
	current *task
}

// NewWaves returns a Waves without engines and targets.
func NewWaves(c Config) *Waves {
	w := &Waves{config: c, targets: map[rollout.ModelName]rollout.WeightVersion{}, tasks: map[taskKey]*task{}}
	w.machine = lifecycle.NewOrder(lifecycle.Store{
		Get: func() lifecycle.State { return w.current.state },
		Set: func(to lifecycle.State) { w.current.state = to },
	})
	return w
}

func (w *Waves) fire(t *task, trigger lifecycle.Trigger) bool {
	w.current = t
	return w.machine.Fire(trigger) == nil
}

// SetServers sets the engines and discards the tasks of those that were removed.
func (w *Waves) SetServers(servers []rollout.ServerName) {
	w.servers = slices.Clone(servers)
	for k := range w.tasks {
		if !slices.Contains(servers, k.server) {
			delete(w.tasks, k)
		}
	}
}

// SetTarget sets the version of a model that every engine should load. A version
// that is not newer than the present target is ignored.
func (w *Waves) SetTarget(model rollout.ModelName, v rollout.WeightVersion) {
	if v <= w.targets[model] {
		return
	}
	w.targets[model] = v
	for k, t := range w.tasks {
		if k.model == model {
			t.failures = 0
			w.fire(t, lifecycle.OrderReplace)
		}
	}
}

// ObserveReport updates the tasks of an engine from its report of the versions
// that it has loaded.
func (w *Waves) ObserveReport(server rollout.ServerName, loaded map[rollout.ModelName]rollout.WeightVersion) {
	for model, target := range w.targets {
		t := w.task(server, model)
		t.loaded = loaded[model]
		switch {
		case t.loaded >= target:
			t.failures = 0
			w.fire(t, lifecycle.OrderSeen)
		case t.state == lifecycle.OrderConfirmed:
			w.fire(t, lifecycle.OrderReplace)
		}
	}
}

// task returns the task of an engine and a model, and creates it if necessary.
func (w *Waves) task(server rollout.ServerName, model rollout.ModelName) *task {
	k := taskKey{server, model}
	t := w.tasks[k]
	if t == nil {
		t = &task{server: server, model: model, state: lifecycle.OrderDue}
		w.tasks[k] = t
	}
	return t
}

// RecordFailure records that an engine refused or did not confirm an order, which
// is sent again after a backoff.
func (w *Waves) RecordFailure(now time.Time, server rollout.ServerName, model rollout.ModelName) {
	t := w.task(server, model)
	if w.fire(t, lifecycle.OrderFail) {
		w.backOff(now, t)
	}
}

func (w *Waves) backOff(now time.Time, t *task) {
	delay := min(w.config.BackoffBase<<min(t.failures, 10), w.config.BackoffMax)
	t.failures++
	t.due = now.Add(delay)
}

// Due reports whether any engine has yet to load a target version, so that a claim
// is needed.
func (w *Waves) Due() bool {
	for model := range w.targets {
		for _, s := range w.servers {
			if w.task(s, model).state != lifecycle.OrderConfirmed {
				return true
			}
		}
	}
	return false
}

// ServerOrder is an order and the engine to which it must be sent.
type ServerOrder struct {
	Server rollout.ServerName
	Order  rollout.Order
}

// Next returns the orders to send now with the given fencing token. The engines
// that are most versions behind come first. No more engines than one wave holds
// have an order in progress at the same time.
func (w *Waves) Next(now time.Time, fence rollout.Offset) []ServerOrder {
	busy := w.expire(now)
	wave := max(1, int(w.config.WaveShare*float64(len(w.servers))+0.5))
	var due []*task
	for model := range w.targets {
		for _, s := range w.servers {
			if t := w.task(s, model); t.state == lifecycle.OrderDue && !busy[s] {
				due = append(due, t)
			}
		}
	}
	slices.SortFunc(due, func(a, b *task) int {
		return cmp.Or(cmp.Compare(w.versionsBehind(b), w.versionsBehind(a)), cmp.Compare(a.server, b.server), cmp.Compare(a.model, b.model))
	})
	var out []ServerOrder
	for _, t := range due {
		if len(busy) >= wave {
			break
		}
		if busy[t.server] || !w.fire(t, lifecycle.OrderSend) {
			continue
		}
		busy[t.server] = true
		t.due = now.Add(w.config.Confirm)
		out = append(out, ServerOrder{Server: t.server, Order: rollout.Order{Model: t.model, Version: w.targets[t.model], Fence: fence}})
	}
	return out
}

func (w *Waves) versionsBehind(t *task) uint64 {
	return uint64(w.targets[t.model] - min(t.loaded, w.targets[t.model]))
}

// expire applies the timeouts of orders and backoffs, and returns the engines that
// have an order in progress.
func (w *Waves) expire(now time.Time) map[rollout.ServerName]bool {
	busy := map[rollout.ServerName]bool{}
	for _, t := range w.tasks {
		expired := !now.Before(t.due)
		switch {
		case t.state == lifecycle.OrderSent && expired:
			w.fire(t, lifecycle.OrderExpire)
			w.backOff(now, t)
		case t.state == lifecycle.OrderBackoff && expired:
			w.fire(t, lifecycle.OrderExpire)
		}
		if t.state == lifecycle.OrderSent {
			busy[t.server] = true
		}
	}
	return busy
}

// EnginesBehind returns the number of engines that have not loaded the target
// version of a model.
func (w *Waves) EnginesBehind(model rollout.ModelName) int {
	count := 0
	for _, s := range w.servers {
		if w.task(s, model).loaded < w.targets[model] {
			count++
		}
	}
	return count
}
