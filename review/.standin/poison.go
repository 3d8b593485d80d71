package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["crashing-stream"] = func(folder string) { crashingStream(folder, "crashing") }
	// A control, which holds: the samplers crash before they answer.
	cases["crashing-early"] = func(folder string) { crashingStream(folder, "crashing-early") }
}

// poisonBody is the body of the request that crashes each sampler that runs it.
const poisonBody = "the request that crashes samplers"

// child is a sampler that runs as a process of its own.
type child struct {
	id, address string
	command     *exec.Cmd
	exited      chan struct{}
}

// startChild starts a sampler process and registers it while it lives. Its lines go to
// onLine.
func startChild(st *store, kind string, onLine func(id, line string)) *child {
	command := exec.Command("/proc/self/exe", "sampler", kind)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	output, err := command.StdoutPipe()
	if err != nil {
		cannotRun("sampler: %v", err)
	}
	if _, err := command.StdinPipe(); err != nil {
		cannotRun("sampler: %v", err)
	}
	if err := command.Start(); err != nil {
		cannotRun("sampler: %v", err)
	}
	atEnd(func() { _ = command.Process.Kill() })
	lines := bufio.NewScanner(output)
	if !lines.Scan() {
		cannotRun("the sampler says nothing")
	}
	c := &child{command: command, exited: make(chan struct{})}
	c.id, c.address, _ = strings.Cut(lines.Text(), " ")
	note("sampler %s, process %d", c.id, command.Process.Pid)
	s := newSampler("talkers", 12, 12)
	s.id, s.address = c.id, c.address
	st.put("keyed.servers", s.id, s.entry(0))
	go func() {
		for lines.Scan() {
			onLine(c.id, lines.Text())
		}
		_ = command.Wait()
		close(c.exited)
	}()
	go func() {
		for n := 1; ; n++ {
			select {
			case <-time.After(1200 * time.Millisecond):
				st.put("keyed.servers", s.id, s.entry(n))
			case <-c.exited:
				// The entry is dropped after three heartbeats of silence.
				time.Sleep(3600 * time.Millisecond)
				st.put("keyed.servers", s.id, nil)
				return
			}
		}
	}()
	return c
}

// streamConfig is a configuration with one streaming route.
func streamConfig() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r-talk", "host": "talk.example", "path_prefix": "/talk/", "route_kind": "streaming", "timeout_ms": 10000, "slo_ms": 500,
			"priority": 1, "service": "talkers", "max_attempts": 2,
		}},
		"services": []any{map[string]any{"name": "talkers", "health_path": "/healthz", "max_conns": 192, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// crashingStream: one consumer repeats a request that crashes each sampler that begins to
// run it, with its first event. Once it has crashed three, it must not reach more.
func crashingStream(folder, crashing string) {
	const (
		samplers   = 8
		downFor    = 3 * time.Second
		interval   = time.Second
		length     = 24 * time.Second
		stable     = 3 * time.Second
		maxRetries = 3
		talkers    = 16
	)
	st, err := startStore()
	if err != nil {
		cannotRun("store: %v", err)
	}
	st.put("keyed.op", "config", streamConfig())
	var state sync.Mutex
	var crashes []time.Time
	late := []string{}
	poisonSent := map[string]time.Time{}
	kind := "sound"
	if trouble {
		kind = crashing
	}
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
				<-startChild(st, kind, onLine).exited
				time.Sleep(downFor)
			}
		}()
		time.Sleep(50 * time.Millisecond)
	}
	vms := []*vm{newVM(0, folder, st.address), newVM(1, folder, st.address)}
	for _, v := range vms {
		v.waitReady(15 * time.Second)
	}
	time.Sleep(3500 * time.Millisecond)

	send := func(v *vm, id, path, body string) (int, int, error) {
		r, _ := http.NewRequest(http.MethodPost, "http://"+v.front+path, strings.NewReader(body))
		r.GetBody = nil
		r.Host = "talk.example"
		r.Header.Set("X-Attempt-Id", id)
		r.Header.Set("X-Deadline-Ms", "8000")
		response, err := newClient(12 * time.Second).Do(r)
		if err != nil {
			return 0, 0, err
		}
		defer response.Body.Close()
		data, err := io.ReadAll(response.Body)
		return response.StatusCode, strings.Count(string(data), "\n\n"), err
	}
	end := time.Now().Add(length)
	var group sync.WaitGroup
	broken, complete := 0, 0
	for n := range talkers {
		group.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				id := fmt.Sprintf("t%02d-%04d", n, k)
				status, events, err := send(vms[n%len(vms)], id, "/talk/"+id, "talk "+id)
				state.Lock()
				if status == http.StatusOK && err == nil && events == streamEvents {
					complete++
				} else {
					broken++
				}
				state.Unlock()
			}
		})
	}
	group.Go(func() {
		for k := 0; time.Now().Before(end); k++ {
			id := fmt.Sprintf("p-%04d", k)
			v := vms[k%len(vms)]
			state.Lock()
			poisonSent[id] = time.Now()
			state.Unlock()
			status, events, err := send(v, id, "/talk/notice", poisonBody)
			note("consumer: request %s at %s: status %d, %d events, %v", id, v.name, status, events, err)
			time.Sleep(interval)
		}
	})
	group.Wait()
	state.Lock()
	defer state.Unlock()
	var violations []string
	if len(late) > maxRetries {
		for _, id := range late {
			violations = append(violations, fmt.Sprintf("request %s reached a sampler, sent more than %s after the request had crashed the third", id, stable))
		}
	}
	note("%d crashes, %d of requests sent later than %s after the third; %d answers of other consumers complete, %d not", len(crashes), len(late), stable, complete, broken)
	verdict("BUDGET", violations)
}
