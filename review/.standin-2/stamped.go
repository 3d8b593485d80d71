package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// The consumers of the case and the answers that they ask for.
const (
	stampedVMs     = 3
	stampedServers = 3
	// readersPerVM consumers ask each machine, one each readerGap, on a channel of their own.
	readersPerVM = 24
	readerGap    = 150 * time.Millisecond
	// answerBytes is the size of an answer. The configuration allows requests of 32 MiB; no
	// page limits an answer.
	answerBytes = 4 << 20
	// slowBytes are read each slowTick by a slow consumer: 512 KB/s. An answer takes 8 s, less
	// than the route's timeout_ms.
	slowBytes = 64 << 10
	slowTick  = 125 * time.Millisecond
)

func plainConfiguration() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "r-files", "host": "files.example", "path_prefix": "/files/", "route_kind": "idempotent", "timeout_ms": 10000, "slo_ms": 1000, "priority": 1, "service": "files", "max_attempts": 2,
		}},
		"services": []map[string]any{{"name": "files", "health_path": "/healthz", "max_conns": 208, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// stampedAnswer is the status that a sampler gave with a stamp.
type stampedAnswers struct {
	mu     sync.Mutex
	status map[string]int
}

func (a *stampedAnswers) tell(e samplerEvent) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e.What == "begins" {
		a.status[e.Stamp] = e.Status
	}
}

func (a *stampedAnswers) given(stamp string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.status[stamp]
}

// readAnswer sends one request and reads the answer, slowly if slow is set.
func readAnswer(address, id string, slow bool) (status int, stamp string, n int, err error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0, "", 0, err
	}
	defer conn.Close()
	body := "file " + id
	_, err = fmt.Fprintf(conn, "POST /files/%s HTTP/1.1\r\nHost: files.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 10000\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
	if err != nil {
		return 0, "", 0, err
	}
	if err := conn.SetDeadline(time.Now().Add(40 * time.Second)); err != nil {
		return 0, "", 0, err
	}
	response, err := http.ReadResponse(bufio.NewReaderSize(conn, 4<<10), &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, "", 0, err
	}
	defer response.Body.Close()
	status, stamp = response.StatusCode, response.Header.Get("X-Server-Stamp")
	for buffer := make([]byte, slowBytes); err == nil; {
		var got int
		got, err = io.ReadFull(response.Body, buffer)
		if n += got; slow {
			time.Sleep(slowTick)
		}
	}
	if err == io.EOF || err == io.ErrUnexpectedEOF && n == int(response.ContentLength) {
		err = nil
	}
	return status, stamp, n, err
}

// playStamped lets consumers read large answers slowly, and checks that no failure bears the
// stamp of a sampler that had given another status.
func playStamped(r *record, trouble bool) (*verdict, error) {
	in, err := newInstallation(r, 174)
	if err != nil {
		return nil, err
	}
	defer in.stop()
	answers := &stampedAnswers{status: map[string]int{}}
	in.store.putJSON("keyed.op", "config", plainConfiguration())
	for range stampedServers {
		if _, err := in.startSampler("files", samplerConfig{Slots: 6, AnswerBytes: answerBytes}, answers.tell); err != nil {
			return nil, err
		}
	}
	if err := in.startVMs(stampedVMs); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)

	v := &verdict{}
	var mu sync.Mutex
	var group sync.WaitGroup
	counts := map[string]int{}
	for n := range readersPerVM {
		for m, machine := range in.vms {
			group.Go(func() {
				id := fmt.Sprintf("f%02d%02d", m, n)
				status, stamp, got, err := readAnswer(machine.front, id, trouble)
				// The sampler's line may come a little later than its answer.
				time.Sleep(200 * time.Millisecond)
				given := answers.given(stamp)
				r.printf("request %s at %s: status %d, stamp %q (the sampler gave %d), %d bytes, error %v", id, machine.name, status, stamp, given, got, err)
				mu.Lock()
				defer mu.Unlock()
				counts[fmt.Sprintf("status %d, stamped %v, whole %v", status, stamp != "", got == answerBytes)]++
				if status >= 300 && given != 0 && given != status {
					v.add("MIXED: request %s was answered with the failure %d, which bears the stamp %s, with which a sampler had answered %d", id, status, stamp, given)
				}
			})
		}
		time.Sleep(readerGap)
	}
	group.Wait()
	for text, n := range counts {
		r.printf("%d answers: %s", n, text)
	}
	for _, machine := range in.vms {
		select {
		case <-machine.exited:
			return nil, fmt.Errorf("machine %s has ended", machine.name)
		default:
		}
	}
	return v, nil
}
