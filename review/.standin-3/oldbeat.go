package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Parameters of the case of a status report that is carried out late.
const (
	// lateBy is how long after its sending the report is carried out.
	lateBy = 5800 * time.Millisecond
	// drainsAfter is when the sampler then drains: the store has been stable again for a while.
	drainsAfter = 3300 * time.Millisecond
	// lingers is how long the sampler serves beyond drain_ms.
	lingers      = 1500 * time.Millisecond
	oldBeatTurns = 3
)

// oldBeat counts the requests that reach samplers after they have reported that they drain.
type oldBeat struct {
	w  *world
	mu sync.Mutex
	// drains holds when the store acknowledged that a sampler drains.
	drains map[string]time.Time
	late   map[string]int
}

func (c *oldBeat) sampler(zone string) *process {
	p := &process{world: c.w, service: "jauge-api", zone: zone, software: "1.0", slots: plainSlots}
	p.serve = func(w http.ResponseWriter, r *http.Request) {
		id, _ := p.identity()
		_, _ = io.Copy(io.Discard, r.Body)
		attempt := r.Header.Get("X-Attempt-Id")
		c.mu.Lock()
		if at, draining := c.drains[id]; draining && time.Since(at) > drainMS*time.Millisecond {
			c.late[id]++
			c.w.record.add("run", "sampler", id, "attempt", attempt, "after-the-ack", time.Since(at).Round(time.Millisecond))
		}
		c.mu.Unlock()
		select {
		case <-time.After(workTime):
		case <-r.Context().Done():
			return
		}
		w.Header().Set("X-Attempt-Id", attempt)
		w.Header().Set("X-Server-Stamp", stamp(id))
		_, _ = w.Write(bytes.Repeat([]byte("7"), 800))
	}
	return p
}

// runOldBeat plays samplers that leave, while a status report that they sent before is carried
// out late. It reports whether the rule held.
func runOldBeat(w *world, trouble bool) (held bool, err error) {
	c := &oldBeat{w: w, drains: map[string]time.Time{}, late: map[string]int{}}
	const host = "ficu95.example"
	var samplers []*process
	for n := range 6 {
		p := c.sampler(zones[n%3])
		if err := p.start(); err != nil {
			return false, err
		}
		samplers = append(samplers, p)
	}
	w.store.put("keyed.op", "config", configuration(3, []map[string]any{
		route("r-a", host, "/lohu930/", "idempotent", "jauge-api", map[string]any{"timeout_ms": 800, "slo_ms": 150, "max_attempts": 2}),
	}, []map[string]any{{"name": "jauge-api", "health_path": "/healthz", "max_conns": 208, "protocol": "h1", "tls": false}}))
	for n := range 3 {
		if _, err := w.startVM(n, ""); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(stableMS * time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group sync.WaitGroup
	var answers sync.Map
	for n := range 6 {
		group.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				status := call(ctx, w.vms[n%3], host, fmt.Sprintf("/lohu930/tank-%d-%d", n, i), fmt.Sprintf("%016x", 1<<40+n<<32+i), clientWait, []byte("level?"))
				count, _ := answers.LoadOrStore(status, new(int64))
				*count.(*int64)++
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	for _, p := range samplers[:oldBeatTurns] {
		if trouble {
			p.announceLate(lateBy)
		}
		time.Sleep(drainsAfter)
		id, _ := p.identity()
		go p.drain(lingers)
		await(time.Second, func() bool { p.mu.Lock(); defer p.mu.Unlock(); return p.draining })
		time.Sleep(5 * time.Millisecond)
		c.mu.Lock()
		c.drains[id] = time.Now()
		c.mu.Unlock()
		// The next turn begins when the store has been stable for a while.
		time.Sleep(lateBy - drainsAfter + stableMS*time.Millisecond)
	}
	cancel()
	group.Wait()
	answers.Range(func(status, count any) bool {
		w.record.add("answers", "status", status, "count", *count.(*int64))
		return true
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	total := 0
	for _, id := range sortedKeys(c.late) {
		total += c.late[id]
	}
	w.record.add("judged", "samplers-that-left", len(c.drains), "requests-later-than-drain-ms", total, "at-samplers", len(c.late))
	return total == 0, nil
}
