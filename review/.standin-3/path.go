package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// runPath plays consumers whose paths hold a vertical bar, as clients that follow the URL
// Standard send it. It reports whether samplers got the paths that the consumers sent.
func runPath(w *world, trouble bool) (held bool, err error) {
	const host = "ficu95.example"
	bar := "%7C"
	if trouble {
		bar = "|"
	}
	paths := []string{"/lohu930/cuve" + bar + "42", "/lohu930/quai%2F7" + bar + "A", "/lohu930/cuve-42?niveau=1" + bar + "2"}
	var mu sync.Mutex
	sent, wrong, ran := map[string]string{}, 0, 0
	for n := range 3 {
		p := &process{world: w, service: "jauge-api", zone: zones[n%3], software: "1.0", slots: plainSlots}
		p.serve = func(rw http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			id, _ := p.identity()
			attempt := r.Header.Get("X-Attempt-Id")
			mu.Lock()
			ran++
			want := sent[attempt]
			if r.RequestURI != want {
				wrong++
			}
			w.record.add("run", "sampler", id, "attempt", attempt, "path", r.RequestURI, "sent", want, "same", r.RequestURI == want)
			mu.Unlock()
			time.Sleep(workTime)
			rw.Header().Set("X-Attempt-Id", attempt)
			rw.Header().Set("X-Server-Stamp", stamp(id))
			_, _ = rw.Write(bytes.Repeat([]byte("7"), 800))
		}
		if err := p.start(); err != nil {
			return false, err
		}
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
	time.Sleep(time.Second)
	for i := range 30 {
		path, attempt := paths[i%len(paths)], fmt.Sprintf("%016x", 0xc0de00+i)
		mu.Lock()
		sent[attempt] = path
		mu.Unlock()
		status, err := rawCall(w.vms[i%len(w.vms)], host, path, attempt)
		w.record.add("answer", "attempt", attempt, "path", path, "status", status, "error", err)
		time.Sleep(50 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	w.record.add("judged", "run", ran, "with-another-path", wrong)
	if ran == 0 {
		return false, fmt.Errorf("no request has run")
	}
	return wrong == 0, nil
}

// rawCall sends a request whose path no library touches.
func rawCall(v *vm, host, path, attempt string) (int, error) {
	c, err := net.DialTimeout("tcp", v.front, time.Second)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 800\r\nContent-Length: 6\r\n\r\nlevel?", path, host, attempt); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
