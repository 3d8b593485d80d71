package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["early-error"] = earlyError }

const batchHost = "roll.example"

// rolloutConfig is a configuration with one rollout route to one service of model samplers.
func rolloutConfig(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-roll", "host": batchHost, "path_prefix": "/roll/", "route_kind": "rollout", "timeout_ms": 10000, "slo_ms": 500, "priority": 1,
			"service": "readers", "max_attempts": maxAttempts, "retention_s": 40.0, "result_deadline_ms": 7500, "single_version": false, "sticky": true, "resumable": true,
		}},
		"services": []any{map[string]any{
			"name": "readers", "health_path": "/healthz", "max_conns": 325, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 12, "kv_capacity": 100000, "models": []any{map[string]any{"name": "m0"}}},
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

const maxAttempts = 3

type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
	Tokens  int               `json:"tokens"`
	Group   string            `json:"group"`
}

func newItems(batch string, groups, size int) []item {
	var items []item
	for g := range groups {
		for k := range size {
			id := fmt.Sprintf("%s-%02d-%d", batch, g, k)
			items = append(items, item{
				ID: id, Path: "/roll/3/" + id, Body: base64.StdEncoding.EncodeToString([]byte("prompt of " + id)), Tokens: 140, Group: fmt.Sprintf("%s-g%02d", batch, g),
				Headers: map[string]string{"X-Model": "m0", "X-Token-Counts": "40,100", "X-Prefix-Hash": fmt.Sprintf("%x:32,%x:8", g+1, 1000+g*size+k), "X-Length-Hint": "40"},
			})
		}
	}
	return items
}

// call makes one call on a new channel and returns the status, or 0 without an answer.
func call(method, address, target, attempt string, header map[string]string, body []byte) (int, []byte) {
	r, err := http.NewRequest(method, "http://"+address+target, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.GetBody = nil
	r.Host = batchHost
	r.Close = true
	if attempt != "" {
		r.Header.Set("X-Attempt-Id", attempt)
	}
	for name, value := range header {
		r.Header.Set(name, value)
	}
	response, err := newClient(12 * time.Second).Do(r)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}

// submit hands in a batch at one machine after the other until one accepts it.
func submit(vms []*vm, batch string, minVersion int, items []item, groups int) bool {
	body, _ := json.Marshal(map[string]any{"step": 0, "model": "m0", "min_version": minVersion, "group_count": groups, "items": items})
	for n := range 20 {
		v := vms[n%len(vms)]
		status, _ := call(http.MethodPost, v.front, "/roll/"+batch, batch, nil, body)
		note("trainer: batch %s of %d items at %s: status %d", batch, len(items), v.name, status)
		if status == http.StatusAccepted {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

type result struct {
	ID       string   `json:"id"`
	State    string   `json:"state"`
	Text     string   `json:"text"`
	Versions []uint64 `json:"versions"`
}

// results reads the results of a batch from a position on. It returns false without an
// answer of 200.
func results(v *vm, batch string, after int) (list []result, total int, ok bool) {
	status, data := call(http.MethodGet, v.front, "/api/lots/"+batch+"?after="+strconv.Itoa(after), "", map[string]string{"X-Wait-Ms": "500"}, nil)
	var page struct {
		Total   int      `json:"total"`
		Results []result `json:"results"`
	}
	if status != http.StatusOK || json.Unmarshal(data, &page) != nil {
		return nil, 0, false
	}
	return page.Results, page.Total, true
}

// streamEventsOf streams the events of an item in chunks, after the one that Last-Event-Id
// names.
func streamItem(s *sampler, c *channel, q *request, events int, interval time.Duration) bool {
	last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	s.mu.Lock()
	version := s.models["m0"]
	s.mu.Unlock()
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: stamp-%s\r\nX-Weight-Versions: %d\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", q.attempt, q.attempt, version)
	for n := last + 1; n <= events; n++ {
		select {
		case <-q.gone:
			return false
		case <-time.After(interval):
		}
		text := ""
		s.mu.Lock()
		if now := s.models["m0"]; now != version {
			version = now
			text = fmt.Sprintf("x-weight-versions: %d\n", version)
		}
		s.mu.Unlock()
		text += fmt.Sprintf("id: %d\ndata: %s v%d\n\n", n, eventText(q.attempt, n), version)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// earlyError: the machines are killed and start again while the store's partition of the
// operator's entries is down. Afterwards one sampler fails a part of its requests.
func earlyError(folder string) {
	const (
		groups, size = 24, 8
		events       = 30
		interval     = 50 * time.Millisecond
		downFor      = 4500 * time.Millisecond
		greyShare    = 0.4
	)
	st, err := startStore()
	if err != nil {
		cannotRun("store: %v", err)
	}
	st.put("keyed.op", "config", rolloutConfig(1))
	var state sync.Mutex
	grey := false
	failures := map[string]int{}
	for n := range 7 {
		s := newSampler("readers", 12, 36)
		s.models["m0"] = 1
		s.run = func(c *channel, q *request) {
			state.Lock()
			fail := n == 0 && grey && rand.Float64() < greyShare
			if fail {
				failures[q.attempt]++
			}
			state.Unlock()
			if fail {
				note("sampler %s: item %s answered 500", s.id, q.attempt)
				s.answer(c, q, http.StatusInternalServerError, http.Header{"X-Server-Stamp": {"stamp-" + q.attempt}}, []byte("failed"))
				return
			}
			streamItem(s, c, q, events, interval)
		}
		s.listen()
		s.beat(st)
		note("sampler %s", s.id)
	}
	vms := []*vm{newVM(0, folder, st.address), newVM(1, folder, st.address)}
	for _, v := range vms {
		v.waitReady(15 * time.Second)
	}
	time.Sleep(2 * time.Second)
	if !submit(vms, "b1", 1, newItems("b1", groups, size), groups) {
		cannotRun("the batch isn't accepted")
	}
	setGrey := func(g bool) {
		state.Lock()
		defer state.Unlock()
		grey = g
		note("one sampler of 7 fails %.0f%% of its requests: %v", 100*greyShare, g)
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		note("store: the partition of keyed.op is down")
		st.setDown(func(k partitionKey) bool { return k.topic == "keyed.op" })
		for _, v := range vms {
			v.signal(syscall.SIGKILL)
			<-v.exited
		}
		time.Sleep(500 * time.Millisecond)
		for _, v := range vms {
			v.start()
		}
		time.Sleep(downFor - 500*time.Millisecond)
		st.setDown(nil)
		note("store: the partition of keyed.op is back")
	}
	setGrey(true)
	time.AfterFunc(5*time.Second, func() { setGrey(false) })
	var got []result
	total := 0
	for n, end := 0, time.Now().Add(30*time.Second); time.Now().Before(end) && (total == 0 || len(got) < total); n++ {
		list, t, ok := results(vms[n%len(vms)], "b1", len(got))
		if ok {
			got, total = append(got, list...), t
		}
		time.Sleep(200 * time.Millisecond)
	}
	state.Lock()
	defer state.Unlock()
	var violations []string
	done, errored := 0, 0
	for _, r := range got {
		if r.State == "done" {
			done++
			continue
		}
		errored++
		if failures[r.ID] < maxAttempts {
			violations = append(violations, fmt.Sprintf("item %s is %s after %d answers of 500; max_attempts is %d", r.ID, r.State, failures[r.ID], maxAttempts))
		}
	}
	note("%d of %d items listed, %d done, %d errored; %d items got an answer of 500", len(got), total, done, errored, len(failures))
	verdict("MIXED", violations)
}
