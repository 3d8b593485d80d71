package main

import (
	"strings"
	"sync"
	"time"
)

const (
	rollVMs = 16
	rollGap = 2 * time.Second
	// rollTurns is how many of the VMs are stopped.
	rollTurns = 10
	// rollAttempts is the route's max_attempts.
	rollAttempts = 3
)

// runFailing plays one item that fails at each run, while the VMs are stopped and started in
// turn, first the one that started a task last. It reports whether the rule held.
func runFailing(w *world, trouble bool) (held bool, err error) {
	f := newEngines(w, "m0")
	const bad = "b52d6af010000"
	f.failTime = 700 * time.Millisecond
	f.fails = func(id string) bool { return strings.HasSuffix(id, bad) }
	for n := range 4 {
		if _, err := f.start(zones[n%3], "4.2"); err != nil {
			return false, err
		}
	}
	const prefix = "/pufi791/"
	w.store.put("keyed.op", "config", configuration(3, []map[string]any{
		route("r-b", trainerHost, prefix, "rollout", "reader-models", map[string]any{
			"timeout_ms": 10000, "slo_ms": 500, "max_attempts": rollAttempts, "retention_s": 40.0, "result_deadline_ms": 7500, "single_version": false, "sticky": true, "resumable": true,
		}),
	}, []map[string]any{{
		"name": "reader-models", "health_path": "/healthz", "max_conns": 325, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": engineSlots, "kv_capacity": 65008, "models": []map[string]any{{"name": "m0"}}},
	}}))
	for n := range rollVMs {
		if _, err := w.startVM(n, ""); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(stableMS * time.Millisecond)
	s, err := w.submitStep("7c41e09b52d6af01", w.vms, prefix, "m0", 1, 1, 6, 6, 4)
	if err != nil {
		return false, err
	}
	var group sync.WaitGroup
	stopped := map[*vm]bool{}
	for range rollTurns {
		time.Sleep(rollGap)
		if !trouble {
			continue
		}
		owner, _, _ := strings.Cut(w.store.holderOf("jobs"), "/")
		for _, v := range w.vms {
			if v.name == owner && !stopped[v] {
				stopped[v] = true
				group.Go(func() { _ = w.stopAndStart(v) })
			}
		}
	}
	group.Wait()
	time.Sleep(2 * time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, st := range f.items {
		if !f.fails(id) {
			continue
		}
		later := 0
		if most := 3 * rollAttempts; len(st.answers) >= most {
			for _, at := range st.arrivals {
				if at.After(st.answers[most-1]) {
					later++
				}
			}
		}
		w.record.add("judged", "item", id, "answers-of-500", len(st.answers), "allowed", 3*rollAttempts, "reached-samplers-later", later, "vms-stopped", len(stopped))
		held = later == 0
	}
	s.end()
	return held, nil
}
