package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The consumers and machines of the case.
const (
	memoryVMs = 3
	// memoryMB is limits.memory_mb of the site.
	memoryMB = 174
	// batches are submitted, one each batchGap, each by a consumer of its own.
	batches  = 40
	batchGap = 100 * time.Millisecond
	// largeItems is the number of items of a large batch, whose body has 1.9 MB
	// (max_body_bytes: 33,554,432); usualItems is that of a step on the sheet.
	largeItems = 2000
	usualItems = 96
	// itemBytes is the body of an item on the sheet.
	itemBytes = 600
	// watched is how long the machines are watched, retryAfter the time before a batch that
	// was not accepted is submitted again.
	watched    = 40 * time.Second
	retryAfter = 500 * time.Millisecond
	// restartAfter is the delay before a process that has ended is started again.
	restartAfter = 500 * time.Millisecond
	// endsPerVM and endedVMs are the figures in the rule.
	endsPerVM = 3
	endedVMs  = 2
)

// privateMB returns the anonymous memory of a process in MB.
func privateMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if name, value, _ := strings.Cut(line, ":"); name == "RssAnon" {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb >> 10
		}
	}
	return 0
}

// enforce kills the process of a machine that exceeds its memory, as the platform does, and
// starts ended processes again. It returns how often the process has ended.
func (in *installation) enforce(v *vm, done <-chan struct{}) (ends int) {
	peak := 0
	for {
		select {
		case <-done:
			in.record.printf("%s: its process ended %d times; the most private memory was %d MB of %d", v.name, ends, peak, in.memoryMB)
			return ends
		case <-v.exited:
			ends++
			in.record.printf("%s: the process has ended", v.name)
			time.Sleep(restartAfter)
			if err := in.start(v); err != nil {
				in.record.printf("%s: %v", v.name, err)
				return ends
			}
		case <-time.After(50 * time.Millisecond):
			mb := privateMB(v.command.Process.Pid)
			if peak = max(peak, mb); mb > in.memoryMB {
				in.record.printf("%s: the process has %d MB of private memory, more than %d, and is killed", v.name, mb, in.memoryMB)
				_ = v.command.Process.Kill()
				<-v.exited
			}
		}
	}
}

// batchBody returns the body of a batch submission.
func batchBody(name string, count int) ([]byte, error) {
	var items []batchItem
	for n := range count {
		id := fmt.Sprintf("%s-%04d", name, n)
		items = append(items, batchItem{
			ID: id, Path: "/steps/" + id, Body: []byte(strings.Repeat("x", itemBytes)), Tokens: 1043, Group: fmt.Sprintf("g%d", n/4),
			Headers: map[string]string{"X-Model": "m", "X-Token-Counts": "1016,27", "X-Prefix-Hash": fmt.Sprintf("%x:1000,%x:16", 4096+n/4, 8192+n)},
		})
	}
	return json.Marshal(map[string]any{"step": 0, "model": "m", "min_version": 1, "group_count": count / 4, "items": items})
}

// bothConfigurations returns a configuration with a route for steps and one for requests.
func bothConfigurations() map[string]any {
	c, plain := engineConfiguration(), plainConfiguration()
	c["routes"] = append(c["routes"].([]map[string]any), plain["routes"].([]map[string]any)...)
	c["services"] = append(c["services"].([]map[string]any), plain["services"].([]map[string]any)...)
	return c
}

// playMemory submits large batches, and checks the rule Fault.
func playMemory(r *record, trouble bool) (*verdict, error) {
	in, err := newInstallation(r, memoryMB)
	if err != nil {
		return nil, err
	}
	defer in.stop()
	in.store.putJSON("keyed.op", "config", bothConfigurations())
	for range 3 {
		if _, err := in.startSampler("models", samplerConfig{Slots: 12, Model: "m", GapMS: 40}, func(samplerEvent) {}); err != nil {
			return nil, err
		}
	}
	if _, err := in.startSampler("files", samplerConfig{Slots: 6, AnswerBytes: 800}, func(samplerEvent) {}); err != nil {
		return nil, err
	}
	if err := in.startVMs(memoryVMs); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)

	count := largeItems
	if !trouble {
		count = usualItems
	}
	done := make(chan struct{})
	var group sync.WaitGroup
	var requests [6]atomic.Int64
	ends := make([]int, memoryVMs)
	for n, v := range in.vms {
		group.Go(func() { ends[n] = in.enforce(v, done) })
		group.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-done:
					return
				case <-time.After(200 * time.Millisecond):
				}
				id := fmt.Sprintf("q%d-%d", n, k)
				status, _, _ := call(http.MethodPost, v.front, "files.example", "/files/"+id, map[string]string{"X-Attempt-Id": id, "X-Deadline-Ms": "800"}, []byte(id))
				requests[status/100].Add(1)
			}
		})
	}
	end := time.Now().Add(watched)
	var accepted atomic.Int64
	for k := range batches {
		group.Go(func() {
			name := fmt.Sprintf("b%02d", k)
			body, err := batchBody(name, count)
			for attempt := k; err == nil && time.Now().Before(end); attempt++ {
				v := in.vms[attempt%memoryVMs]
				status, _, callErr := call(http.MethodPost, v.front, "steps.example", "/steps/"+name, map[string]string{"X-Attempt-Id": name}, body)
				r.printf("batch %s of %d bytes at %s: %d %v", name, len(body), v.name, status, callErr)
				if status == http.StatusAccepted {
					accepted.Add(1)
					return
				}
				time.Sleep(retryAfter)
			}
		})
		time.Sleep(batchGap)
	}
	time.Sleep(time.Until(end))
	close(done)
	group.Wait()
	r.printf("%d of %d batches of %d items were accepted", accepted.Load(), batches, count)
	r.printf("other requests: no answer %d, 2xx %d, 4xx %d, 5xx %d", requests[0].Load(), requests[2].Load(), requests[4].Load(), requests[5].Load())
	v, machines := &verdict{}, 0
	for _, n := range ends {
		if n >= endsPerVM {
			machines++
		}
	}
	if machines >= endedVMs {
		v.add("Fault: on %d of %d machines the process ended %d times or more, by exceeding its memory of %d MB", machines, memoryVMs, endsPerVM, memoryMB)
	}
	return v, nil
}
