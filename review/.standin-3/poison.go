package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Parameters of the case of a request that crashes samplers.
const (
	poisonPath = "/lohu930/tank-4711"
	// crashAfter is how long a sampler works on the request before it crashes.
	crashAfter = 310 * time.Millisecond
	// backAfter is how long a crashed sampler is away.
	backAfter    = 3 * time.Second
	poisonPeriod = 4 * time.Second
	poisonFor    = 60 * time.Second
	workTime     = 25 * time.Millisecond
	clientWait   = 800 * time.Millisecond
	plainSlots   = 6
	plainQueue   = 24
	// linkDelay is the time of one way between zones.
	linkDelay = 1400 * time.Microsecond
)

// poisonCase counts what reaches the samplers of a plain service.
type poisonCase struct {
	w        *world
	trouble  bool
	mu       sync.Mutex
	crashes  []time.Time
	arrivals []arrival
}

type arrival struct {
	at      time.Time
	attempt string
}

func (c *poisonCase) sampler(zone string) *process {
	p := &process{world: c.w, service: "jauge-api", zone: zone, software: "1.0", slots: plainSlots}
	slots := make(chan struct{}, plainSlots)
	p.serve = func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(linkDelay)
		ended := time.After(deadline(r))
		id, _ := p.identity()
		_, _ = io.Copy(io.Discard, r.Body)
		attempt := r.Header.Get("X-Attempt-Id")
		head := func() {
			time.Sleep(linkDelay)
			w.Header().Set("X-Attempt-Id", attempt)
			w.Header().Set("X-Sampler-Load", fmt.Sprintf("%d,%d,%d", len(slots), max(0, int(p.running.Load())-plainSlots), plainSlots))
		}
		refuse := func(status int) {
			head()
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(status)
		}
		if attempt == "" {
			refuse(http.StatusBadRequest)
			return
		}
		if p.running.Add(1) > plainSlots+plainQueue {
			p.running.Add(-1)
			refuse(http.StatusServiceUnavailable)
			return
		}
		defer p.running.Add(-1)
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
		case <-r.Context().Done():
			return
		case <-ended:
			refuse(http.StatusServiceUnavailable)
			return
		}
		poison := c.trouble && r.URL.Path == poisonPath
		work := workTime
		if r.URL.Path == poisonPath {
			c.mu.Lock()
			c.arrivals = append(c.arrivals, arrival{time.Now(), attempt})
			c.mu.Unlock()
			c.w.record.add("run", "sampler", id, "attempt", attempt, "path", r.URL.Path, "left", r.Header.Get("X-Deadline-Ms"))
		}
		if poison {
			work = crashAfter
		}
		select {
		case <-time.After(work):
		case <-r.Context().Done():
			c.w.record.add("dropped", "sampler", id, "attempt", attempt)
			return
		case <-ended:
			c.w.record.add("deadline", "sampler", id, "attempt", attempt)
			head()
			w.Header().Set("X-Server-Stamp", stamp(id))
			w.WriteHeader(http.StatusGatewayTimeout)
			return
		}
		if poison {
			if _, up := p.identity(); up {
				c.mu.Lock()
				c.crashes = append(c.crashes, time.Now())
				c.mu.Unlock()
				p.crash()
				time.AfterFunc(backAfter, func() { _ = p.start() })
			}
			return
		}
		head()
		w.Header().Set("X-Server-Stamp", stamp(id))
		_, _ = w.Write(bytes.Repeat([]byte("7"), 800))
	}
	return p
}

// call makes one consumer attempt and returns its status, or 0 if there was no answer.
func call(ctx context.Context, v *vm, host, path, attempt string, left time.Duration, body []byte) int {
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.front+path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	r.Host = host
	r.Header.Set("X-Attempt-Id", attempt)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// runPoison plays one consumer that sends a request again and again under which samplers
// crash, beside ordinary consumers. It reports whether the rule held.
func runPoison(w *world, trouble bool) (held bool, err error) {
	c := &poisonCase{w: w, trouble: trouble}
	const host = "ficu95.example"
	for n := range 6 {
		if err := c.sampler(zones[n%3]).start(); err != nil {
			return false, err
		}
	}
	w.store.put("keyed.op", "config", configuration(3, []map[string]any{
		route("r-a", host, "/lohu930/", "idempotent", "jauge-api", map[string]any{"timeout_ms": 800, "slo_ms": 150, "max_attempts": 3}),
	}, []map[string]any{{"name": "jauge-api", "health_path": "/healthz", "max_conns": 208, "protocol": "h1", "tls": false}}))
	for n := range 3 {
		if _, err := w.startVM(n, ""); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), poisonFor+stableMS*time.Millisecond)
	defer cancel()
	var group sync.WaitGroup
	var ordinary sync.Map
	for n, v := range w.vms {
		group.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				status := call(ctx, v, host, fmt.Sprintf("/lohu930/tank-%d-%d", n, i), fmt.Sprintf("%016x", 1<<40+n<<32+i), clientWait, []byte("level?"))
				count, _ := ordinary.LoadOrStore(status, new(int64))
				*count.(*int64)++
				time.Sleep(250 * time.Millisecond)
			}
		})
	}
	// A consumer's new channels go to one VM, which is chosen by a hash of the consumer.
	for i, start := 0, time.Now(); time.Since(start) < poisonFor; i++ {
		attempt, sent := fmt.Sprintf("%016x", 0xbad00000+2*i), time.Now()
		status := call(ctx, w.vms[0], host, poisonPath, attempt, clientWait, []byte("level?"))
		w.record.add("answer", "vm", w.vms[0].name, "attempt", attempt, "status", status, "after", time.Since(sent).Round(time.Millisecond))
		// A failure is tried once more at another VM, if there is time.
		if left := clientWait - time.Since(sent); status != http.StatusOK && left > 100*time.Millisecond {
			attempt = fmt.Sprintf("%016x", 0xbad00001+2*i)
			status = call(ctx, w.vms[1], host, poisonPath, attempt, left, []byte("level?"))
			w.record.add("answer", "vm", w.vms[1].name, "attempt", attempt, "status", status)
		}
		time.Sleep(time.Until(sent.Add(poisonPeriod)))
	}
	cancel()
	group.Wait()
	ordinary.Range(func(status, count any) bool {
		w.record.add("ordinary", "status", status, "count", *count.(*int64))
		return true
	})
	return c.judge(), nil
}

// judge applies BUDGET: after the third crash and stable_ms, at most three retries may reach
// samplers.
func (c *poisonCase) judge() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.crashes) < 3 {
		c.w.record.add("judged", "crashes", len(c.crashes), "retries", 0)
		return true
	}
	from := c.crashes[2].Add(stableMS * time.Millisecond)
	attempts, sends := map[string]bool{}, 0
	for _, a := range c.arrivals {
		if a.at.After(from) {
			attempts[a.attempt] = true
			sends++
		}
	}
	c.w.record.add("judged", "crashes", len(c.crashes), "consumer-attempts-that-reached-samplers-later", len(attempts), "sends", sends, "allowed", 3)
	return len(attempts) <= 3
}
