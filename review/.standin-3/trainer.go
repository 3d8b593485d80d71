package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	trainerHost = "ficu95.example"
	// trainerWait is how long a trainer waits for a step.
	trainerWait = 12 * time.Second
	readPeriod  = 500 * time.Millisecond
)

// step is one batch submission of a trainer and what was read of it.
type step struct {
	w      *world
	id     string
	vms    []*vm
	at     time.Time
	groups int
	want   int
	size   int
	items  []string

	mu      sync.Mutex
	results map[string]string
	texts   map[string]string
	next    int
}

// submitStep submits a step until it is accepted.
func (w *world) submitStep(id string, vms []*vm, prefix, model string, number, minVersion, groups, want, size int) (*step, error) {
	s := &step{w: w, id: id, vms: vms, at: time.Now(), groups: groups, want: want, size: size, results: map[string]string{}, texts: map[string]string{}}
	var items []map[string]any
	for g := range groups {
		for k := range size {
			item := fmt.Sprintf("%s%02x%02x", id[4:], g, k)
			s.items = append(s.items, item)
			items = append(items, map[string]any{
				"id": item, "path": prefix + fmt.Sprintf("%d/%02x", g, k), "group": fmt.Sprintf("g%s%02x", id, g), "tokens": 1300,
				"headers": map[string]string{"X-Model": model, "X-Token-Counts": "1016,300", "X-Prefix-Hash": fmt.Sprintf("%x%02x:1000,%s:16", number+1, g, item)},
				"body":    bytes.Repeat([]byte{byte(g), byte(k)}, 300),
			})
		}
	}
	body, err := json.Marshal(map[string]any{"step": number, "model": model, "min_version": minVersion, "group_count": want, "items": items})
	if err != nil {
		return nil, err
	}
	for try := 0; try < 5; try++ {
		r, err := http.NewRequest(http.MethodPost, "http://"+vms[try%len(vms)].front+prefix+id, bytes.NewReader(body))
		if err != nil {
			return nil, err
		}
		r.Host = trainerHost
		r.Header.Set("X-Attempt-Id", id)
		r.Header.Set("Content-Type", "application/json")
		response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 3 * time.Second}).Do(r)
		if err != nil {
			w.record.add("submit", "step", id, "error", err)
			continue
		}
		response.Body.Close()
		w.record.add("submit", "step", id, "model", model, "number", number, "min-version", minVersion, "items", len(items), "status", response.StatusCode)
		if response.StatusCode == http.StatusAccepted {
			return s, nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return nil, fmt.Errorf("step %s is not accepted", id)
}

// read reads new results once.
func (s *step) read(v *vm) {
	r, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/api/lots/%s?after=%d", v.front, s.id, s.next), nil)
	if err != nil {
		return
	}
	r.Host = trainerHost
	r.Header.Set("X-Wait-Ms", "1000")
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2500 * time.Millisecond}).Do(r)
	if err != nil {
		s.w.record.add("read", "step", s.id, "error", err)
		return
	}
	defer response.Body.Close()
	var out struct {
		Total, Next int
		Results     []struct{ ID, State, Text string }
	}
	data, _ := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusOK || json.Unmarshal(data, &out) != nil {
		s.w.record.add("read", "step", s.id, "status", response.StatusCode)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range out.Results {
		s.results[e.ID] = e.State
		s.texts[e.ID] = e.Text
	}
	s.next = out.Next
	if len(out.Results) > 0 {
		s.w.record.add("read", "step", s.id, "results", len(s.results), "of", out.Total, "groups", s.complete())
	}
}

// complete returns the number of complete groups. It is called with s.mu held.
func (s *step) complete() int {
	n := 0
	for g := range s.groups {
		whole := true
		for k := range s.size {
			_, ok := s.results[s.items[g*s.size+k]]
			whole = whole && ok
		}
		if whole {
			n++
		}
	}
	return n
}

// wait reads until enough groups are complete or the trainer's time is over, and ends the
// step. It reports whether enough were complete.
func (s *step) wait() bool {
	done := false
	for i := 0; !done && time.Since(s.at) < trainerWait; i++ {
		s.read(s.vms[i%len(s.vms)])
		s.mu.Lock()
		done = s.complete() >= s.want
		s.mu.Unlock()
		if !done {
			time.Sleep(min(readPeriod, max(0, trainerWait-time.Since(s.at))))
		}
	}
	s.w.record.add("step-ends", "step", s.id, "complete", done, "after", time.Since(s.at).Round(time.Millisecond))
	return done
}

// end ends the step at the system.
func (s *step) end() int {
	for try := range 4 {
		r, err := http.NewRequest(http.MethodDelete, "http://"+s.vms[try%len(s.vms)].front+"/api/lots/"+s.id, nil)
		if err != nil {
			return 0
		}
		r.Host = trainerHost
		response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 3 * time.Second}).Do(r)
		if err != nil {
			continue
		}
		response.Body.Close()
		s.w.record.add("end", "step", s.id, "status", strconv.Itoa(response.StatusCode))
		if response.StatusCode == http.StatusOK {
			return 200
		}
	}
	return 0
}
