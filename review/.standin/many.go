package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["crashing-many"] = crashingMany }

// crashingMany: a request that crashes each sampler that runs it comes at many machines,
// which have other requests at the same samplers.
func crashingMany(folder string) {
	const (
		samplers   = 16
		machines   = 8
		downFor    = 3 * time.Second
		interval   = 1500 * time.Millisecond
		atOnce     = 4
		length     = 40 * time.Second
		stable     = 3 * time.Second
		maxRetries = 3
		callers    = 48
	)
	st, err := startStore()
	if err != nil {
		cannotRun("store: %v", err)
	}
	c := streamConfig()
	route := c["routes"].([]any)[0].(map[string]any)
	route["route_kind"], route["timeout_ms"], route["slo_ms"] = "idempotent", 2000, 150
	st.put("keyed.op", "config", c)
	var state sync.Mutex
	var crashes []time.Time
	late := []string{}
	poisonSent := map[string]time.Time{}
	onLine := func(id, line string) {
		attempt, crashed := strings.CutPrefix(line, "crash ")
		if !crashed {
			return
		}
		state.Lock()
		defer state.Unlock()
		sent := poisonSent[attempt]
		if len(crashes) >= 3 && sent.After(crashes[2].Add(stable)) {
			late = append(late, attempt)
		}
		crashes = append(crashes, time.Now())
		note("sampler %s crashes on request %s, crash %d", id, attempt, len(crashes))
	}
	for range samplers {
		go func() {
			for {
				<-startChild(st, "plain", onLine).exited
				time.Sleep(downFor)
			}
		}()
		time.Sleep(50 * time.Millisecond)
	}
	var vms []*vm
	for n := range machines {
		vms = append(vms, newVM(n, folder, st.address))
	}
	for _, v := range vms {
		v.waitReady(15 * time.Second)
	}
	time.Sleep(3500 * time.Millisecond)
	send := func(client *http.Client, v *vm, id, path, body string) (int, error) {
		r, _ := http.NewRequest(http.MethodPost, "http://"+v.front+path, strings.NewReader(body))
		r.GetBody = nil
		r.Host = "talk.example"
		r.Header.Set("X-Attempt-Id", id)
		r.Header.Set("X-Deadline-Ms", "800")
		response, err := client.Do(r)
		if err != nil {
			return 0, err
		}
		defer response.Body.Close()
		_, err = io.ReadAll(response.Body)
		return response.StatusCode, err
	}
	end := time.Now().Add(length)
	var group sync.WaitGroup
	for n := range callers {
		group.Go(func() {
			client := newClient(3 * time.Second)
			for k := 0; time.Now().Before(end); k++ {
				id := fmt.Sprintf("t%02d-%04d", n, k)
				_, _ = send(client, vms[n%len(vms)], id, "/talk/"+id, "talk "+id)
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	for k := 0; trouble && time.Now().Before(end); k++ {
		id := fmt.Sprintf("p-%04d", k)
		v := vms[k%len(vms)]
		if k%atOnce == 0 {
			time.Sleep(interval)
		}
		group.Go(func() {
			state.Lock()
			poisonSent[id] = time.Now()
			state.Unlock()
			status, err := send(newClient(3*time.Second), v, id, "/talk/notice", poisonBody)
			note("consumer: request %s at %s: status %d, %v", id, v.name, status, err)
		})
	}
	group.Wait()
	state.Lock()
	defer state.Unlock()
	var violations []string
	if len(late) > maxRetries {
		for _, id := range late {
			violations = append(violations, fmt.Sprintf("request %s reached a sampler, sent more than %s after the request had crashed the third", id, stable))
		}
	}
	note("%d crashes, %d of requests sent later than %s after the third", len(crashes), len(late), stable)
	verdict("BUDGET", violations)
}
