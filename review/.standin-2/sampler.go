package main

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// samplerConfig is what a sampler process is told at its start.
type samplerConfig struct {
	ID      string
	Address string
	// Slots is the number of requests that run at once; further ones are refused.
	Slots int
	// Model is the model that the sampler serves, or empty for a plain service.
	Model string
	// GapMS is the time between two events of a stream.
	GapMS int
	// AnswerBytes is the size of the answers of a plain service.
	AnswerBytes int
	// EventBytes pads the data of each event.
	EventBytes int
	// Born is the Unix millisecond of the start.
	Born int64
}

// samplerEvent is a line that a sampler process writes when it begins or ends a request.
type samplerEvent struct {
	At      int64
	Sampler string
	Request string
	// What is "begins", "ends", "dropped" or "refused".
	What string
	// From is the event after which a stream goes on.
	From   int
	Path   string
	Status int
	Stamp  string
}

// runSampler is the sampler process. It tells what it runs on standard output.
func runSampler(text string) error {
	var c samplerConfig
	if err := json.Unmarshal([]byte(text), &c); err != nil {
		return err
	}
	l, err := net.Listen("tcp", c.Address)
	if err != nil {
		return err
	}
	s := &sampler{config: c, out: json.NewEncoder(os.Stdout)}
	server := &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	return server.Serve(l)
}

type sampler struct {
	config  samplerConfig
	running atomic.Int64
	stamps  atomic.Int64

	mu  sync.Mutex
	out *json.Encoder
}

func (s *sampler) tell(e samplerEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.At, e.Sampler = time.Now().UnixNano(), s.config.ID
	_ = s.out.Encode(e)
}

func (s *sampler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.config.ID {
		w.Header().Set("X-Instance-Id", s.config.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	load := fmt.Sprintf("%d,0,%d", s.running.Load(), s.config.Slots)
	switch r.Method + " " + r.URL.Path {
	case "GET /healthz":
		w.Header().Set("X-Instance-Id", s.config.ID)
		w.Header().Set("X-Sampler-Load", load)
		return
	case "GET /api/report":
		respond(w, http.StatusOK, map[string]any{
			"stage": "dual", "models": s.models(), "busy": false, "seq": 0, "waiting": 0, "running": s.running.Load(), "kv_used": 0, "kv_total": 65008, "handles": 0, "born": s.config.Born,
		})
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if bytes.HasPrefix(body, []byte(crashBody)) {
		s.tell(samplerEvent{Request: id, What: "crashes", Path: r.RequestURI})
		os.Exit(1)
	}
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Sampler-Load", load)
	defer s.running.Add(-1)
	if s.running.Add(1) > int64(s.config.Slots) {
		s.tell(samplerEvent{Request: id, What: "refused"})
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	stamp := fmt.Sprintf("%s.%d", s.config.ID, s.stamps.Add(1))
	w.Header().Set("X-Server-Stamp", stamp)
	if s.config.Model != "" {
		s.stream(w, r, id)
		return
	}
	s.tell(samplerEvent{Request: id, What: "begins", Path: r.RequestURI, Status: http.StatusOK, Stamp: stamp})
	w.Header().Set("Content-Length", strconv.Itoa(s.config.AnswerBytes))
	w.WriteHeader(http.StatusOK)
	block := []byte(strings.Repeat("x", 32<<10))
	for left := s.config.AnswerBytes; left > 0; left -= len(block) {
		if _, err := w.Write(block[:min(left, len(block))]); err != nil {
			s.tell(samplerEvent{Request: id, What: "dropped"})
			return
		}
	}
	s.tell(samplerEvent{Request: id, What: "ends", Status: http.StatusOK, Stamp: stamp})
}

func (s *sampler) models() []map[string]any {
	if s.config.Model == "" {
		return nil
	}
	return []map[string]any{{"name": s.config.Model, "version": 1, "adapters": []string{}}}
}

// stream sends the events of an item. Their number is the last figure of X-Token-Counts.
func (s *sampler) stream(w http.ResponseWriter, r *http.Request, id string) {
	_, count, _ := strings.Cut(r.Header.Get("X-Token-Counts"), ",")
	events, _ := strconv.Atoi(strings.TrimSpace(count))
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	s.tell(samplerEvent{Request: id, What: "begins", From: from, Path: r.RequestURI})
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", "1")
	w.WriteHeader(http.StatusOK)
	tick := time.NewTicker(time.Duration(s.config.GapMS) * time.Millisecond)
	defer tick.Stop()
	for n := from + 1; n <= events; n++ {
		select {
		case <-tick.C:
		case <-r.Context().Done():
			s.tell(samplerEvent{Request: id, What: "dropped", From: n - 1})
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s event %d%s\n\n", n, id, n, strings.Repeat("x", s.config.EventBytes)); err != nil {
			s.tell(samplerEvent{Request: id, What: "dropped", From: n - 1})
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
	s.tell(samplerEvent{Request: id, What: "ends", From: events})
}

// samplerProcess is a sampler that runs as a process of its own and is registered in the
// store.
type samplerProcess struct {
	config  samplerConfig
	service string
	command *exec.Cmd
	// draining is closed when the sampler reports that it is draining, stopped when it has
	// ended.
	draining, stopped chan struct{}
	// acked is closed when the store has accepted that report.
	acked chan struct{}
	// removed is set if the sampler removes its entry without having reported draining.
	removed atomic.Bool
	once    sync.Once
	stop    sync.Once
}

// heartbeat is the interval of the samplers' status reports (heartbeat_ms).
const heartbeat = 1200 * time.Millisecond

// startSampler starts a sampler, which reports itself until it is killed. Its entry is
// removed after three intervals of silence.
func (in *installation) startSampler(service string, c samplerConfig, events func(samplerEvent)) (*samplerProcess, error) {
	address, err := freeAddress(loopbackIP(100))
	if err != nil {
		return nil, err
	}
	var id [4]byte
	_, _ = rand.Read(id[:])
	c.ID, c.Address, c.Born = fmt.Sprintf("i-%x", id), address, time.Now().UnixMilli()
	text, err := json.Marshal(c)
	if err != nil {
		return nil, err
	}
	p := &samplerProcess{config: c, service: service, draining: make(chan struct{}), acked: make(chan struct{}), stopped: make(chan struct{})}
	p.command = exec.Command(os.Args[0], "sampler", string(text))
	p.command.Stderr = os.Stderr
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := p.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	in.samplers = append(in.samplers, p)
	go func() {
		for lines := bufio.NewScanner(out); lines.Scan(); {
			var e samplerEvent
			if json.Unmarshal(lines.Bytes(), &e) == nil {
				events(e)
			}
		}
	}()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if conn, err := net.Dial("tcp", address); err == nil {
			_ = conn.Close()
			break
		} else if time.Now().After(end) {
			return nil, err
		}
	}
	go in.report(p)
	return p, nil
}

// report registers the sampler and repeats its status report.
func (in *installation) report(p *samplerProcess) {
	state, draining := "ready", p.draining
	for seq := 1; ; seq++ {
		entry := map[string]any{
			"service": p.service, "addr": p.config.Address, "zone": "brest", "version": "v1", "slots": p.config.Slots, "state": state, "cold_left_ms": 0, "seq": seq, "born": p.config.Born,
		}
		if p.config.Model != "" {
			entry["stage"] = "dual"
			entry["models"] = []map[string]any{{"name": p.config.Model, "version": 1, "adapters": []string{}}}
		}
		in.store.putJSON("keyed.servers", p.config.ID, entry)
		if state == "draining" && draining != nil {
			draining = nil
			close(p.acked)
		}
		select {
		case <-time.After(heartbeat):
		case <-draining:
			state = "draining"
		case <-p.stopped:
			if state == "ready" && !p.removed.Load() {
				// It said nothing: its entry lapses.
				time.Sleep(3 * heartbeat)
			}
			in.store.put("keyed.servers", p.config.ID, nil)
			return
		}
	}
}

// leave reports that the sampler is draining, lets it serve for a time after the store has
// accepted that, and ends it.
func (p *samplerProcess) leave(serve time.Duration) {
	close(p.draining)
	<-p.acked
	time.Sleep(serve)
	p.kill()
}

// kill ends the sampler at once.
func (p *samplerProcess) kill() {
	p.once.Do(func() {
		_ = p.command.Process.Kill()
		_ = p.command.Wait()
		p.stop.Do(func() { close(p.stopped) })
	})
}

// remove removes the sampler's entry; the sampler serves on.
func (p *samplerProcess) remove(in *installation) time.Time {
	p.removed.Store(true)
	p.stop.Do(func() { close(p.stopped) })
	for {
		in.store.mu.Lock()
		records := in.store.partition("keyed.servers", 0).records
		last := records[len(records)-1]
		in.store.mu.Unlock()
		if len(last) == 1+len(p.config.ID) && string(last[1:]) == p.config.ID {
			return time.Now()
		}
		time.Sleep(time.Millisecond)
	}
}
