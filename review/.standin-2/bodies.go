package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The consumers of the case.
const (
	// bodyReaders consumers at each machine request bodies, usualReaders without trouble.
	bodyReaders  = 150
	usualReaders = 2
	// bodyItems items of bodyBytes, the largest body of a request on the sheet, make a batch
	// of 2.5 MB.
	bodyItems = 500
	bodyBytes = 3600
	// bodiesFor is how long they do so.
	bodiesFor = 30 * time.Second
)

// playBodies lets consumers request the bodies of the items of one batch, and checks the rule
// Fault.
func playBodies(r *record, trouble bool) (*verdict, error) {
	in, err := newInstallation(r, memoryMB)
	if err != nil {
		return nil, err
	}
	defer in.stop()
	in.store.putJSON("keyed.op", "config", engineConfiguration())
	for range 3 {
		if _, err := in.startSampler("models", samplerConfig{Slots: 12, Model: "m", GapMS: 130}, func(samplerEvent) {}); err != nil {
			return nil, err
		}
	}
	if err := in.startVMs(memoryVMs); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	var items []batchItem
	for n := range bodyItems {
		id := fmt.Sprintf("e%04d", n)
		items = append(items, batchItem{
			ID: id, Path: "/steps/" + id, Body: []byte(strings.Repeat("x", bodyBytes)), Tokens: 1066, Group: fmt.Sprintf("g%d", n/4),
			Headers: map[string]string{"X-Model": "m", "X-Token-Counts": "1016,50", "X-Prefix-Hash": fmt.Sprintf("%x:1000,%x:16", 4096+n/4, 8192+n)},
		})
	}
	body, err := json.Marshal(map[string]any{"step": 0, "model": "m", "min_version": 1, "group_count": bodyItems / 4, "items": items})
	if err != nil {
		return nil, err
	}
	status, _, err := call(http.MethodPost, in.vms[0].front, "steps.example", "/steps/step-0", map[string]string{"X-Attempt-Id": "step-0"}, body)
	r.printf("batch of %d bytes: %d %v", len(body), status, err)
	if status != http.StatusAccepted {
		return nil, fmt.Errorf("the batch was not accepted: %d %v", status, err)
	}
	readers := bodyReaders
	if !trouble {
		readers = usualReaders
	}
	done := make(chan struct{})
	var group, watch sync.WaitGroup
	var counts [6]atomic.Int64
	ends := make([]int, memoryVMs)
	end := time.Now().Add(bodiesFor)
	for n, v := range in.vms {
		watch.Go(func() { ends[n] = in.enforce(v, done) })
		for k := range readers {
			group.Go(func() {
				for item := bodyItems - 1 - k; time.Now().Before(end); {
					status, _, again, err := callAgain(http.MethodGet, v.front, "steps.example", fmt.Sprintf("/api/items/step-0?id=e%04d", item), nil, nil)
					counts[status/100].Add(1)
					if err != nil {
						again = 100 * time.Millisecond
					}
					time.Sleep(again)
				}
			})
		}
	}
	group.Wait()
	close(done)
	watch.Wait()
	r.printf("bodies: no answer %d, 2xx %d, 4xx %d, 5xx %d", counts[0].Load(), counts[2].Load(), counts[4].Load(), counts[5].Load())
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
