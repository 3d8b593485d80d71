package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

var lastSampler atomic.Int64

// process is a sampler's process: it listens on one address and can crash and start again.
type process struct {
	world    *world
	service  string
	zone     string
	software string
	address  string
	slots    int
	// more are the fields of its entry that only some samplers have.
	more func() map[string]any
	// serve handles the requests.
	serve func(w http.ResponseWriter, r *http.Request)

	mu       sync.Mutex
	id       string
	born     int64
	draining bool
	up       bool
	server   *http.Server
	conns    map[net.Conn]bool
	seq      int
	running  atomic.Int64
	stops    chan struct{}
}

// start starts the process under a new id, at its address if it had one.
func (p *process) start() error {
	at := p.address
	if at == "" {
		at = net.JoinHostPort(loopback(210), "0")
	}
	l, err := net.Listen("tcp", at)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.address, p.id, p.born, p.up, p.draining = l.Addr().String(), fmt.Sprintf("i-%08x", 0x5000+lastSampler.Add(1)), time.Now().UnixMilli(), true, false
	p.conns, p.seq, p.stops = map[net.Conn]bool{}, 0, make(chan struct{})
	server := &http.Server{Handler: p, ConnState: func(c net.Conn, s http.ConnState) {
		p.mu.Lock()
		defer p.mu.Unlock()
		if s == http.StateClosed {
			delete(p.conns, c)
		} else {
			p.conns[c] = true
		}
	}}
	p.server = server
	stops, id := p.stops, p.id
	p.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	p.world.record.add("sampler-starts", "id", id, "service", p.service, "software", p.software, "addr", p.address)
	p.announce()
	go func() {
		for {
			select {
			case <-stops:
				return
			case <-time.After(heartbeat):
				p.announce()
			}
		}
	}()
	return nil
}

func (p *process) announce() {
	if id, entry := p.report(); entry != nil {
		p.world.store.put("keyed.servers", id, entry)
	}
}

// announceLate makes a status report that gets no answer and is carried out later.
func (p *process) announceLate(delay time.Duration) {
	id, entry := p.report()
	if entry == nil {
		return
	}
	p.world.record.add("report-unanswered", "id", id, "state", entry["state"], "seq", entry["seq"])
	time.AfterFunc(delay, func() {
		p.world.store.put("keyed.servers", id, entry)
		p.world.record.add("report-carried-out", "id", id, "state", entry["state"], "seq", entry["seq"])
	})
}

// report returns the next status report, or nil if the process has ended.
func (p *process) report() (id string, entry map[string]any) {
	p.mu.Lock()
	if !p.up {
		p.mu.Unlock()
		return "", nil
	}
	state := "ready"
	if p.draining {
		state = "draining"
	}
	p.seq++
	entry = map[string]any{
		"service": p.service, "addr": p.address, "zone": p.zone, "version": p.software, "slots": p.slots, "state": state,
		"cold_left_ms": 0, "seq": p.seq, "born": p.born,
	}
	id = p.id
	p.mu.Unlock()
	if p.more != nil {
		for k, v := range p.more() {
			entry[k] = v
		}
	}
	return id, entry
}

// stop ends the process at once. Its channels are reset, as those of a process that is
// killed while it works.
func (p *process) stop(why string) {
	p.mu.Lock()
	if !p.up {
		p.mu.Unlock()
		return
	}
	p.up = false
	id, server := p.id, p.server
	close(p.stops)
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	p.mu.Unlock()
	p.world.record.add(why, "id", id)
	_ = server.Close()
}

// crash ends the process without a word. Its entry goes after three status reports have
// failed to come.
func (p *process) crash() {
	p.mu.Lock()
	id := p.id
	p.mu.Unlock()
	p.stop("sampler-crashes")
	go func() {
		time.Sleep(3 * heartbeat)
		p.world.store.put("keyed.servers", id, nil)
	}()
}

// drain reports that the sampler leaves, serves on for drain_ms and linger, and exits.
func (p *process) drain(linger time.Duration) {
	p.mu.Lock()
	p.draining = true
	id := p.id
	p.mu.Unlock()
	p.announce()
	p.world.record.add("sampler-drains", "id", id)
	time.Sleep(drainMS*time.Millisecond + linger)
	p.stop("sampler-exits")
	p.world.store.put("keyed.servers", id, nil)
}

func (p *process) identity() (id string, up bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.id, p.up
}

func (p *process) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	id, draining := p.id, p.draining
	p.mu.Unlock()
	if draining {
		w.Header().Set("Server-Leaving", "1")
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != id {
		w.Header().Set("X-Instance-Id", id)
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", id)
		return
	}
	p.serve(w, r)
}

// deadline returns the time that a request leaves.
func deadline(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	if err != nil {
		return time.Minute
	}
	return time.Duration(ms) * time.Millisecond
}

var lastStamp atomic.Int64

func stamp(id string) string { return fmt.Sprintf("%s.%06x", id, lastStamp.Add(1)) }
