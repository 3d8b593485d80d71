// Package service is a stand-in for a plain service. It records which requests
// ran, so that the verdicts that callers received can be checked.
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
	"lagoonlink.org/rollout/httpclient"
	adapter "lagoonlink.org/rollout/service"
)

// Ledger counts how often each request ran, over all servers of a service. It is
// safe for concurrent use.
type Ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{runs: map[string]int{}} }

// Runs returns how often the request with the given key ran.
func (l *Ledger) Runs(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[key]
}

func (l *Ledger) recordRun(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[key]++
}

// Config configures a server of a service.
type Config struct {
	Name    rollout.ServerName
	Address string
	// ProcessingTime is the processing time of a call.
	ProcessingTime time.Duration
	// RestartDelay is the delay before a crashed server restarts.
	RestartDelay time.Duration
	Ledger       *Ledger
}

// Faults selects the faults to inject. It can change at any time.
type Faults struct {
	// DropResponseEvery aborts the connection of every n-th call after the call
	// ran; 0 disables it.
	DropResponseEvery int
	// TruncateEvery truncates the response of every n-th call: Content-Length is
	// greater than the body sent. 0 disables it.
	TruncateEvery int
	// Leaving makes the server refuse new calls with the verdict NotRun.
	Leaving bool
}

// Service simulates one server of a service.
type Service struct {
	config Config

	mu     sync.Mutex
	faults Faults
	calls  int
	server *http.Server
	onCall func(time.Time)
}

// New returns a server with the given configuration. Run starts it.
func New(c Config) *Service { return &Service{config: c} }

// OnCall sets the function to call when a call is accepted. It is called with
// the server's lock held.
func (s *Service) OnCall(f func(time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onCall = f
}

// SetFaults applies change to the injected faults.
func (s *Service) SetFaults(change func(*Faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
}

// Crash closes the listener and all connections. The ledger is kept.
func (s *Service) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		go s.server.Close()
	}
}

// Run serves until ctx is done, restarting after each crash. It returns an error
// if the server can't listen or serve.
func (s *Service) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := s.serve(ctx); err != nil {
			return fmt.Errorf("service %s: %w", s.config.Name, err)
		}
		t := time.NewTimer(s.config.RestartDelay)
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
	server := &http.Server{Handler: http.HandlerFunc(s.handleCall)}
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

const maxBodyBytes = 1 << 20

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	f, n := s.beginCall()
	w.Header().Set(adapter.HeaderRequestID, r.Header.Get(adapter.HeaderRequestID))
	if f.Leaving {
		w.Header().Set(httpclient.HeaderVerdict, rollout.NotRun.String())
		w.Header().Set(httpclient.HeaderLeaving, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.config.Ledger.recordRun(string(body))
	time.Sleep(s.config.ProcessingTime)
	if f.DropResponseEvery > 0 && n%f.DropResponseEvery == 0 {
		panic(http.ErrAbortHandler)
	}
	answer := Answer(string(body))
	if f.TruncateEvery > 0 && n%f.TruncateEvery == 0 {
		w.Header().Set("Content-Length", fmt.Sprint(len(answer)+10))
		fmt.Fprint(w, answer)
		return
	}
	w.Header().Set("Content-Type", "text/plain")
	fmt.Fprint(w, answer)
}

func (s *Service) beginCall() (Faults, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.onCall != nil && !s.faults.Leaving {
		s.onCall(time.Now())
	}
	return s.faults, s.calls
}

// Answer returns the complete answer to a call with the given body.
func Answer(body string) string { return "done: " + body }
