package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// The step of the case. Its samplers are those of a small site: 12 slots each, and pauses
// between events that stay under the 150 ms of the sheet.
const (
	stepSamplers = 6
	stepSlots    = 12
	stepGapMS    = 130
	stepEvents   = 53
	stepGroups   = 15
	stepPerGroup = 4
	// stepWanted is 90 in 100 of the groups.
	stepWanted = 14
	// stepTime is how long the trainer waits for its step (deadline 12,000 ms on the sheet).
	stepTime = 12 * time.Second
	// releaseAt is when the release begins after the step was accepted. Half of the samplers
	// are replaced, one each second. An old one serves for drain_ms and linger_ms.
	releaseAt    = 200 * time.Millisecond
	releaseCount = stepSamplers / 2
	releaseGap   = time.Second
	releaseServe = 3500 * time.Millisecond
	// atNoSampler is the time in the rule.
	atNoSampler = 5 * time.Second
)

// itemRuns is what the samplers told of one item.
type itemRuns struct {
	begun, running int
	finished       bool
	// idleSince is when the last run ended.
	idleSince time.Time
}

// watcher collects what samplers tell.
type watcher struct {
	record *record
	mu     sync.Mutex
	items  map[string]*itemRuns
	// running is the number of requests at each sampler.
	running map[string]map[string]bool
	// samples are the numbers of requests at all samplers together, by moment.
	samples []loadSample
}

type loadSample struct {
	at      time.Time
	running int
}

func (o *watcher) tell(e samplerEvent) {
	o.record.printf("sampler %s: item %s %s (after event %d)", e.Sampler, e.Request, e.What, e.From)
	o.mu.Lock()
	defer o.mu.Unlock()
	it := o.items[e.Request]
	if it == nil {
		it = &itemRuns{}
		o.items[e.Request] = it
	}
	if o.running[e.Sampler] == nil {
		o.running[e.Sampler] = map[string]bool{}
	}
	switch e.What {
	case "begins":
		it.begun++
		it.running++
		o.running[e.Sampler][e.Request] = true
	case "ends", "dropped":
		it.running--
		it.idleSince = time.Unix(0, e.At)
		it.finished = it.finished || e.What == "ends"
		delete(o.running[e.Sampler], e.Request)
	}
}

// release replaces samplers one after the other: the new one starts first, then the old one
// drains and ends.
func (o *watcher) release(in *installation, config samplerConfig) {
	time.Sleep(releaseAt)
	for _, old := range slices.Clone(in.samplers[:releaseCount]) {
		if p, err := in.startSampler("models", config, o.tell); err != nil {
			o.record.printf("start of a sampler: %v", err)
		} else {
			o.record.printf("sampler %s takes the place of %s, which is draining", p.config.ID, old.config.ID)
		}
		go func() {
			old.leave(releaseServe)
			ended := time.Now()
			time.Sleep(50 * time.Millisecond)
			o.record.printf("sampler %s has left; %d items were in progress there", old.config.ID, o.ended(old.config.ID, ended))
		}()
		time.Sleep(releaseGap)
	}
}

// ended ends the runs of a sampler that has ended, and returns their number.
func (o *watcher) ended(id string, at time.Time) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	lost := len(o.running[id])
	for item := range o.running[id] {
		o.items[item].running--
		o.items[item].idleSince = at
	}
	delete(o.running, id)
	return lost
}

func (o *watcher) sample(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case now := <-time.After(50 * time.Millisecond):
			o.mu.Lock()
			n := 0
			for _, at := range o.running {
				n += len(at)
			}
			o.samples = append(o.samples, loadSample{now, n})
			o.mu.Unlock()
		}
	}
}

// most returns the largest number of requests at all samplers in a span.
func (o *watcher) most(from, to time.Time) int {
	n := 0
	for _, s := range o.samples {
		if s.at.After(from) && s.at.Before(to) {
			n = max(n, s.running)
		}
	}
	return n
}

func engineConfiguration() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "r-steps", "host": "steps.example", "path_prefix": "/steps/", "route_kind": "rollout", "timeout_ms": 10000, "slo_ms": 500, "priority": 1, "service": "models",
			"max_attempts": 3, "retention_s": 40.0, "result_deadline_ms": 7500, "single_version": false, "sticky": true, "resumable": true,
		}},
		"services": []map[string]any{{
			"name": "models", "health_path": "/healthz", "max_conns": 325, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": stepSlots, "kv_capacity": 65008, "kv_token_bytes": 163840, "link_mbps": 4400000.0, "models": []map[string]any{{"name": "m"}}},
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

type batchItem struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"tokens"`
	Group   string            `json:"group"`
}

// call makes one call of a consumer, on a channel of its own.
func call(method, address, host, path string, header map[string]string, body []byte) (int, []byte, error) {
	status, data, _, err := callAgain(method, address, host, path, header, body)
	return status, data, err
}

// callAgain is like call, and also returns the time of Retry-After.
func callAgain(method, address, host, path string, header map[string]string, body []byte) (int, []byte, time.Duration, error) {
	r, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, 0, err
	}
	r.Host, r.Close = host, true
	for name, value := range header {
		r.Header.Set(name, value)
	}
	c := http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := c.Do(r)
	if err != nil {
		return 0, nil, 0, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return response.StatusCode, data, time.Duration(seconds * float64(time.Second)), err
}

// playRelease asks for one step, replaces half of the samplers that run it one after the
// other, and checks the rule LOST when the step's time is up.
func playRelease(r *record, trouble bool) (*verdict, error) {
	in, err := newInstallation(r, 174)
	if err != nil {
		return nil, err
	}
	defer in.stop()
	o := &watcher{record: r, items: map[string]*itemRuns{}, running: map[string]map[string]bool{}}
	in.store.putJSON("keyed.op", "config", engineConfiguration())
	config := samplerConfig{Slots: stepSlots, Model: "m", GapMS: stepGapMS}
	for range stepSamplers {
		if _, err := in.startSampler("models", config, o.tell); err != nil {
			return nil, err
		}
	}
	if err := in.startVMs(3); err != nil {
		return nil, err
	}
	// The machines count as in touch, and the store as stable, from now on (stable_ms 3,000).
	time.Sleep(4 * time.Second)

	var items []batchItem
	for g := range stepGroups {
		for n := range stepPerGroup {
			id := fmt.Sprintf("e%02d%02d", g, n)
			items = append(items, batchItem{
				ID: id, Path: "/steps/" + id, Body: []byte("prompt " + id), Tokens: 1016 + stepEvents, Group: fmt.Sprintf("g%d", g),
				Headers: map[string]string{"X-Model": "m", "X-Token-Counts": fmt.Sprintf("1016,%d", stepEvents), "X-Prefix-Hash": fmt.Sprintf("%x:1000,%x:16", 4096+g, 8192+g)},
			})
		}
	}
	body, err := json.Marshal(map[string]any{"step": 0, "model": "m", "min_version": 1, "group_count": stepGroups * 9 / 10, "items": items})
	if err != nil {
		return nil, err
	}
	status, _, err := call(http.MethodPost, in.vms[0].front, "steps.example", "/steps/step-0", map[string]string{"X-Attempt-Id": "step-0", "Content-Type": "application/json"}, body)
	asked := time.Now()
	r.printf("step of %d items: %d %v", len(items), status, err)
	if status != http.StatusAccepted {
		return nil, fmt.Errorf("the step was not accepted: %d %v", status, err)
	}
	done := make(chan struct{})
	go o.sample(done)
	if trouble {
		go o.release(in, config)
	}
	listed := map[string]string{}
	groups := map[string]int{}
	for next, round := 0, 0; time.Since(asked) < stepTime && len(listed) < len(items); round++ {
		status, data, err := call(http.MethodGet, in.vms[round%len(in.vms)].front, "steps.example", fmt.Sprintf("/api/lots/step-0?after=%d", next), map[string]string{"X-Wait-Ms": "500"}, nil)
		var page struct {
			Next    int
			Results []struct{ ID, State, Text string }
		}
		if err != nil || status != http.StatusOK || json.Unmarshal(data, &page) != nil {
			r.printf("read: %d %v", status, err)
			time.Sleep(200 * time.Millisecond)
			continue
		}
		next = page.Next
		for _, e := range page.Results {
			listed[e.ID] = e.State
			groups[e.ID[:3]]++
			r.printf("result of %s: %s, %d bytes", e.ID, e.State, len(e.Text))
		}
	}
	end := time.Now()
	close(done)
	whole := 0
	for _, n := range groups {
		if n == stepPerGroup {
			whole++
		}
	}
	r.printf("after %.1f s %d of %d results and %d of %d groups are there", end.Sub(asked).Seconds(), len(listed), len(items), whole, stepGroups)
	v := &verdict{}
	if whole >= stepWanted {
		return v, nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	most := o.most(end.Add(-atNoSampler), end)
	half := stepSamplers * stepSlots / 2
	r.printf("in the last %.0f s at most %d of %d places of the samplers were taken", atNoSampler.Seconds(), most, stepSamplers*stepSlots)
	for _, item := range items {
		it := o.items[item.ID]
		if listed[item.ID] != "" || it == nil || it.finished || it.running > 0 {
			continue
		}
		waited := end.Sub(it.idleSince)
		r.printf("item %s, begun %d times, has been at no sampler for %.1f s", item.ID, it.begun, waited.Seconds())
		if waited >= atNoSampler && most < half {
			v.add("LOST: the step ran out of time; item %s, which no sampler had finished or failed, had been at no sampler for %.1f s, and at most %d of %d places were taken", item.ID, waited.Seconds(), most, stepSamplers*stepSlots)
		}
	}
	return v, nil
}
