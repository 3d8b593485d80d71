// Package service is a stand-in of a plain service that records which requests
// ran, so that a report can tell what really happened.
package service

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/exchange"
)

// Ledger counts how often each request ran, over all servers of a service.
type Ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{runs: map[string]int{}} }

// Runs returns how often the request with a key ran.
func (l *Ledger) Runs(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[key]
}

func (l *Ledger) ran(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[key]++
}

// Config configures a server of a service.
type Config struct {
	Name    rollout.ServerName
	Address string
	// Work is how long a call takes.
	Work time.Duration
	// Restart is how long a crashed server stays away.
	Restart time.Duration
	Ledger  *Ledger
}

// Faults are switches that can be thrown at any time.
type Faults struct {
	// LoseEvery breaks every n-th connection after the call ran; 0 never.
	LoseEvery int
	// ShortEvery announces a longer body than it sends every n-th call.
	ShortEvery int
	// Leaving refuses new calls as not run.
	Leaving bool
}

// Service is the stand-in.
type Service struct {
	config Config

	mu     sync.Mutex
	faults Faults
	calls  int
	server *http.Server
	onCall func(time.Time)
}

// New returns a server that is not running yet.
func New(c Config) *Service { return &Service{config: c} }

// OnCall sets what is called when a call is taken.
func (s *Service) OnCall(f func(time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onCall = f
}

// SetFaults throws the switches.
func (s *Service) SetFaults(change func(*Faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
}

// Crash breaks every connection.
func (s *Service) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		go s.server.Close()
	}
}

// Run serves until the context ends, over crashes.
func (s *Service) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := s.serve(ctx); err != nil {
			return fmt.Errorf("service %s: %w", s.config.Name, err)
		}
		t := time.NewTimer(s.config.Restart)
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
	return nil
}

func (s *Service) serve(ctx context.Context) error {
	listener, err := net.Listen("tcp", s.config.Address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(s.call)}
	s.mu.Lock()
	s.server = server
	s.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}

// maxBody bounds a call's body.
const maxBody = 1 << 20

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	f, n := s.begin()
	if f.Leaving {
		w.Header().Set(exchange.HeaderVerdict, rollout.NotRun.String())
		w.Header().Set(exchange.HeaderLeaving, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.config.Ledger.ran(string(body))
	time.Sleep(s.config.Work)
	if f.LoseEvery > 0 && n%f.LoseEvery == 0 {
		panic(http.ErrAbortHandler)
	}
	answer := Answer(string(body))
	if f.ShortEvery > 0 && n%f.ShortEvery == 0 {
		w.Header().Set("Content-Length", fmt.Sprint(len(answer)+10))
		fmt.Fprint(w, answer)
		return
	}
	w.Header().Set("Content-Type", "text/plain")
	fmt.Fprint(w, answer)
}

func (s *Service) begin() (Faults, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.onCall != nil && !s.faults.Leaving {
		s.onCall(time.Now())
	}
	return s.faults, s.calls
}

// Answer is the whole answer to a call with a body.
func Answer(body string) string { return "done: " + body }
