package main

import (
	"fmt"
	"slices"
	"time"
)

// runStranded plays a step of a trainer while half of the model samplers are replaced by
// ones with newer software and one of the others is lost for good. It reports whether the
// rule held.
func runStranded(w *world, trouble bool) (held bool, err error) {
	f := newEngines(w, "m0", "m1", "m2")
	f.events = func(string) int { return 80 }
	for n := range 6 {
		if _, err := f.start(zones[n%3], "4.2"); err != nil {
			return false, err
		}
	}
	const prefix = "/pufi791/"
	w.store.put("keyed.op", "config", configuration(3, []map[string]any{
		route("r-b", trainerHost, prefix, "rollout", "reader-models", map[string]any{
			"timeout_ms": 10000, "slo_ms": 500, "max_attempts": 3, "retention_s": 40.0, "result_deadline_ms": 7500, "single_version": false, "sticky": true, "resumable": true,
		}),
	}, []map[string]any{{
		"name": "reader-models", "health_path": "/healthz", "max_conns": 325, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": engineSlots, "kv_capacity": 65008, "models": []map[string]any{{"name": "m0"}, {"name": "m1"}, {"name": "m2"}}},
	}}))
	for n := range 3 {
		if _, err := w.startVM(n, ""); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)

	// Each trainer plays a step at version 2. Those of m0 and m2 then have ended.
	for n, m := range f.models {
		f.name(m, 2)
		if !await(8*time.Second, func() bool { return len(f.loaded(m, 2)) >= 2 }) {
			return false, fmt.Errorf("version 2 of %s is not loaded", m)
		}
		s, err := w.submitStep(fmt.Sprintf("7c41e09b52d6a%03x", n), w.vms, prefix, m, 2, 1, 6, 5, 4)
		if err != nil {
			return false, err
		}
		if !s.wait() {
			return false, fmt.Errorf("step 2 of %s is not complete", m)
		}
		s.end()
	}
	time.Sleep(time.Second)

	// Step 3 of m1.
	older := f.loaded("m1", 2)
	f.name("m1", 3)
	if !await(5*time.Second, func() bool { return len(f.loaded("m1", 3)) >= 1 || anyLoading(f, "m1") }) {
		return false, fmt.Errorf("no order for version 3 of m1")
	}
	s, err := w.submitStep("7c41e09b52d6af03", w.vms, prefix, "m1", 3, 2, 12, 11, 4)
	if err != nil {
		return false, err
	}
	var lost *engine
	var lostAt time.Time
	if trouble {
		lost = older[0]
		go replaceHalf(f, lost)
		time.AfterFunc(2600*time.Millisecond, func() {
			f.mu.Lock()
			lostAt = time.Now()
			f.mu.Unlock()
			lost.crash()
		})
	}
	watch := watchStep(f, s)
	complete := s.wait()
	stuck, full := watch()
	s.end()
	if complete {
		w.record.add("judged", "step", "complete")
		return true, nil
	}
	// LOST counts an item that was at no sampler for 5 s of steady state, while the samplers
	// were under half full, if no version was named then or in the 6 s before and no item
	// began in the last 3 s.
	f.mu.Lock()
	named, began, since := time.Since(f.namedAt), time.Since(f.lastBegan), full
	if steady := lostAt.Add(stableMS * time.Millisecond); trouble && steady.After(since) {
		since = steady
	}
	f.mu.Unlock()
	long := 0
	for _, item := range sortedKeys(stuck) {
		from := stuck[item]
		if from.Before(since) {
			from = since
		}
		w.record.add("idle", "item", item, "for", time.Since(stuck[item]).Round(time.Millisecond), "counted", time.Since(from).Round(time.Millisecond))
		if time.Since(from) >= 5*time.Second {
			long++
		}
	}
	w.record.add("judged", "step", "out of time", "items-at-no-sampler", long, "since-a-version-was-named", named.Round(time.Millisecond), "since-an-item-began", began.Round(time.Millisecond))
	return long == 0 || named < 11*time.Second || began < 3*time.Second, nil
}

func await(limit time.Duration, ready func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ready() {
			return true
		}
	}
	return false
}

func anyLoading(f *engines, model string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.all {
		e.em.Lock()
		loading := e.loading
		e.em.Unlock()
		if loading == model {
			return true
		}
	}
	return false
}

// replaceHalf replaces three of the six samplers one after the other: the new one starts
// first. The sampler that has version 2 of m1 beside the one that is kept goes first, then
// the one that loads version 3.
func replaceHalf(f *engines, kept *engine) {
	f.mu.Lock()
	all := slices.Clone(f.all)
	f.mu.Unlock()
	slices.SortStableFunc(all, func(a, b *engine) int { return b.rank() - a.rank() })
	replaced := 0
	for _, e := range all {
		if e == kept || replaced == 3 {
			continue
		}
		replaced++
		if _, err := f.start(e.zone, "4.3"); err != nil {
			f.w.record.add("could-not-start", "error", err)
			return
		}
		time.Sleep(100 * time.Millisecond)
		go e.drain(1500 * time.Millisecond)
		time.Sleep(700 * time.Millisecond)
	}
}

// rank orders the samplers in which they are replaced.
func (e *engine) rank() int {
	e.em.Lock()
	defer e.em.Unlock()
	switch {
	case e.versions["m1"] == 2:
		return 2
	case e.loading == "m1" || e.versions["m1"] == 3:
		return 1
	}
	return 0
}

// watchStep records how full the samplers are. The function that it returns ends that and
// returns the unfinished items that are at no sampler, and since when, and when the samplers
// were last half full.
func watchStep(f *engines, s *step) func() (map[string]time.Time, time.Time) {
	stop := make(chan struct{})
	ended := make(chan struct{})
	full := time.Now()
	go func() {
		defer close(ended)
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			running, slots := f.taken()
			if 2*running >= slots {
				full = time.Now()
			}
			if n%5 == 0 {
				f.w.record.add("taken", "running", running, "slots", slots)
			}
		}
	}()
	return func() (map[string]time.Time, time.Time) {
		close(stop)
		<-ended
		f.mu.Lock()
		defer f.mu.Unlock()
		out := map[string]time.Time{}
		for _, id := range s.items {
			if st := f.items[id]; st != nil && !st.finished && st.at == 0 {
				out[id] = st.since
			}
		}
		return out, full
	}
}
