package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["moved-route"] = movedRoute }

// movedRoute: while a batch runs, a new configuration moves its route to another service,
// and then the only sampler of the old service drains and leaves. The items that waited
// for the old service must run at the new one.
func movedRoute(folder string) {
	const (
		groups, size = 12, 8
		events       = 24
		interval     = 25 * time.Millisecond
		newSamplers  = 6
		drain        = 2 * time.Second
		// deadline is when the trainer gives the step up, on the sheet 12 s.
		deadline = 12 * time.Second
		// idle is how long an item may be at no sampler.
		idle = 5 * time.Second
	)
	st, err := startStore()
	if err != nil {
		cannotRun("store: %v", err)
	}
	config := func(version int, service string) map[string]any {
		c := rolloutConfig(version)
		c["routes"].([]any)[0].(map[string]any)["service"] = service
		old := c["services"].([]any)[0].(map[string]any)
		second := map[string]any{}
		for key, value := range old {
			second[key] = value
		}
		second["name"] = "readers-new"
		c["services"] = []any{old, second}
		return c
	}
	st.put("keyed.op", "config", config(1, "readers"))

	var state sync.Mutex
	lastAt := map[string]time.Time{}
	running := map[string]int{}
	var old *sampler
	for n := range 1 + newSamplers {
		service := "readers-new"
		if n == 0 {
			service = "readers"
		}
		s := newSampler(service, 12, 36)
		s.models["m0"] = 1
		s.run = func(c *channel, q *request) {
			state.Lock()
			running[service]++
			lastAt[q.attempt] = time.Now()
			state.Unlock()
			whole := streamItem(s, c, q, events, interval)
			state.Lock()
			running[service]--
			lastAt[q.attempt] = time.Now()
			state.Unlock()
			note("sampler %s of %s: item %s, whole %v", s.id, service, q.attempt, whole)
		}
		s.listen()
		s.beat(st)
		note("sampler %s of %s", s.id, service)
		if n == 0 {
			old = s
		}
	}
	vms := []*vm{newVM(0, folder, st.address), newVM(1, folder, st.address)}
	for _, v := range vms {
		v.waitReady(15 * time.Second)
	}
	// From here on the machines are in touch.
	time.Sleep(4 * time.Second)
	items := newItems("b1", groups, size)
	if !submit(vms, "b1", 1, items, groups) {
		cannotRun("the batch isn't accepted")
	}
	accepted := time.Now()
	if trouble {
		time.Sleep(300 * time.Millisecond)
		st.put("keyed.op", "config", config(2, "readers-new"))
		note("operator: version 2 moves the route to readers-new")
		time.Sleep(500 * time.Millisecond)
		old.setState(st, "draining")
		note("sampler %s reports draining", old.id)
		time.Sleep(drain)
		for busy := true; busy; time.Sleep(20 * time.Millisecond) {
			state.Lock()
			busy = running["readers"] > 0
			state.Unlock()
		}
		old.setState(st, "")
		note("sampler %s has left", old.id)
	}
	got := map[string]result{}
	read := func(until time.Duration) {
		for n := 0; time.Since(accepted) < until && len(got) < len(items); n++ {
			list, _, ok := results(vms[n%len(vms)], "b1", len(got))
			for _, r := range list {
				if ok {
					got[r.ID] = r
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	read(deadline)
	state.Lock()
	note("trainer: %d of %d items listed %.1f s after the 202; running at the old service %d, at the new one %d of %d", len(got), len(items),
		time.Since(accepted).Seconds(), running["readers"], running["readers-new"], 12*newSamplers)
	underHalf := running["readers-new"] < 12*newSamplers/2
	var violations []string
	for _, it := range items {
		if _, listed := got[it.ID]; listed {
			continue
		}
		since := accepted
		if at := lastAt[it.ID]; !at.IsZero() {
			since = at
		}
		if away := time.Since(since); underHalf && away > idle {
			violations = append(violations, fmt.Sprintf("the step runs out of time; item %s has been at no sampler for %.1f s", it.ID, away.Seconds()))
		}
	}
	state.Unlock()
	if len(violations) > 0 {
		read(48 * time.Second)
		states := map[string]int{}
		for _, r := range got {
			states[r.State]++
		}
		note("trainer: %.1f s after the 202 the listed items are %v of %d", time.Since(accepted).Seconds(), states, len(items))
	}
	verdict("LOST", violations)
}
