package standin

import (
	"context"
	"sync"
	"time"

	"lagoonlink.org/rollout"
)

// ScoreCall is one scoring request that a fake server received.
type ScoreCall struct {
	Server rollout.ServerName
	At     time.Time
	Tenant string
}

// Scorers is a fake of all servers of a scoring service.
type Scorers struct {
	mu      sync.Mutex
	respond func(ctx context.Context, s rollout.Server, r rollout.ScoreRequest) error
	calls   map[string][]ScoreCall
	// running and mostRunning count the requests in progress.
	running, mostRunning int
}

var _ rollout.SampleScorer = (*Scorers)(nil)

// NewScorers returns servers that score every sample at once.
func NewScorers() *Scorers { return &Scorers{calls: map[string][]ScoreCall{}} }

// SetResponse makes requests fail with the error that f returns, or succeed if it
// returns nil. f is called without a lock and may wait.
func (s *Scorers) SetResponse(f func(ctx context.Context, s rollout.Server, r rollout.ScoreRequest) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.respond = f
}

// Calls returns the scoring requests with an id, in the order of their arrival.
func (s *Scorers) Calls(id string) []ScoreCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]ScoreCall(nil), s.calls[id]...)
}

// MostRunning returns the largest number of requests that were in progress at once.
func (s *Scorers) MostRunning() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mostRunning
}

// Running returns the number of requests in progress.
func (s *Scorers) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// Score implements rollout.SampleScorer. The score of a request is "score of " and its
// id.
func (s *Scorers) Score(ctx context.Context, server rollout.Server, r rollout.ScoreRequest) (string, error) {
	s.mu.Lock()
	s.calls[r.ID] = append(s.calls[r.ID], ScoreCall{Server: server.Name, At: time.Now(), Tenant: r.Tenant})
	s.running++
	s.mostRunning = max(s.mostRunning, s.running)
	respond := s.respond
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	if respond != nil {
		if err := respond(ctx, server, r); err != nil {
			return "", err
		}
	}
	return "score of " + r.ID, nil
}
