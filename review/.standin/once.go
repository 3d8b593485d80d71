package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["late-refusal"] = lateRefusal }

// lateRefusal: consumers call a non_idempotent route; one of three samplers sends a second
// copy of a few of its answers late, at the point where the next response on that channel
// is expected.
func lateRefusal(folder string) {
	const (
		// copyShare is the share of its answers that the faulty sampler sends twice.
		copyShare = 0.03
		consumers = 64
		length    = 30 * time.Second
		work      = 25 * time.Millisecond
		// The sampler is faulty for faultyFor, three times, every faultyEvery.
		faultyEvery = 9 * time.Second
		faultyFor   = 5 * time.Second
	)
	st, err := startStore()
	if err != nil {
		cannotRun("store: %v", err)
	}
	st.put("keyed.op", "config", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r-book", "host": "book.example", "path_prefix": "/book/", "route_kind": "non_idempotent", "timeout_ms": 2000, "slo_ms": 150,
			"priority": 1, "service": "bookings", "max_attempts": 2,
		}},
		"services": []any{map[string]any{"name": "bookings", "health_path": "/healthz", "max_conns": 192, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	type runs struct {
		count    int
		samplers []string
	}
	var state sync.Mutex
	ran := map[string]*runs{}
	copies, refusalCopies, refusals := 0, 0, 0
	faulty := false
	for n := range 3 {
		s := newSampler("bookings", 6, 3)
		s.run = func(c *channel, q *request) {
			state.Lock()
			r := ran[q.attempt]
			if r == nil {
				r = &runs{}
				ran[q.attempt] = r
			}
			r.count++
			r.samplers = append(r.samplers, s.id)
			state.Unlock()
			time.Sleep(work/2 + rand.N(work))
			s.answer(c, q, http.StatusOK, http.Header{"X-Server-Stamp": {"stamp-" + q.attempt}, "X-Sampler-Load": {fmt.Sprintf("%d,0,6", s.slots)}}, []byte("booked "+q.attempt+strings.Repeat(".", 700)))
		}
		s.afterAnswer = func(c *channel, q *request, status int, answer []byte) {
			state.Lock()
			defer state.Unlock()
			if status == http.StatusServiceUnavailable {
				refusals++
			}
			if n != 0 || !faulty || rand.Float64() >= copyShare {
				return
			}
			c.late = answer
			copies++
			if status == http.StatusServiceUnavailable {
				refusalCopies++
			}
		}
		s.listen()
		s.beat(st)
		note("sampler %s of bookings, faulty %v", s.id, n == 0 && trouble)
	}
	vms := []*vm{newVM(0, folder, st.address), newVM(1, folder, st.address)}
	for _, v := range vms {
		v.waitReady(15 * time.Second)
	}
	time.Sleep(time.Second)

	type answer struct {
		status int
		stamp  string
	}
	answers := map[string]answer{}
	var violations []string
	var group sync.WaitGroup
	if trouble {
		setFaulty := func(f bool) {
			state.Lock()
			defer state.Unlock()
			faulty = f
			note("the faulty sampler sends second copies: %v", f)
		}
		for n := range 3 {
			from := 3*time.Second + time.Duration(n)*faultyEvery
			time.AfterFunc(from, func() { setFaulty(true) })
			time.AfterFunc(from+faultyFor, func() { setFaulty(false) })
		}
	}
	end := time.Now().Add(length)
	for n := range consumers {
		group.Go(func() {
			client := newClient(3 * time.Second)
			for k := 0; time.Now().Before(end); k++ {
				id := fmt.Sprintf("%02d-%05d", n, k)
				r, _ := http.NewRequest(http.MethodPost, "http://"+vms[n%len(vms)].front+"/book/"+id, strings.NewReader("slot for "+id+strings.Repeat(".", 500)))
				r.GetBody = nil
				r.Host = "book.example"
				r.Header.Set("X-Attempt-Id", id)
				r.Header.Set("X-Deadline-Ms", "2000")
				response, err := client.Do(r)
				if err != nil {
					state.Lock()
					answers[id] = answer{status: 0}
					state.Unlock()
					continue
				}
				_, _ = io.ReadAll(response.Body)
				_ = response.Body.Close()
				state.Lock()
				answers[id] = answer{response.StatusCode, response.Header.Get("X-Server-Stamp")}
				state.Unlock()
				if wait, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
					time.Sleep(time.Duration(wait * float64(time.Second)))
				}
			}
		})
	}
	group.Wait()
	time.Sleep(time.Second)
	state.Lock()
	defer state.Unlock()
	statuses := map[int]int{}
	for id, a := range answers {
		statuses[a.status]++
		r := ran[id]
		if r == nil {
			r = &runs{}
		}
		if r.count > 1 {
			violations = append(violations, fmt.Sprintf("TWICE: request %s ran %d times, at %v; its consumer got %d %q", id, r.count, r.samplers, a.status, a.stamp))
		}
		if r.count > 0 && a.status == http.StatusServiceUnavailable {
			violations = append(violations, fmt.Sprintf("REFUSED: request %s ran at %v; its consumer got 503", id, r.samplers))
		}
	}
	note("%d requests sent, answers by status (0: none) %v; %d answers of the samplers were refusals; %d answers came a second time, %d of them refusals", len(answers), statuses, refusals, copies, refusalCopies)
	verdict("TWICE", violations)
}
