// Package store is a stand-in for the platform's weight store. It serves the
// latest weight version of each model to entry VMs. The rate limit of a real
// store is simulated by the load time of the engine stand-ins.
package store

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"sync"

	"lagoonlink.org/lagoonbench/internal/standin/journal"
	"lagoonlink.org/rollout"
)

// Store simulates the weight store.
type Store struct {
	address string

	mu     sync.Mutex
	latest map[rollout.ModelName]rollout.WeightVersion
	outage bool
}

// New returns a store with the initial versions. Run starts it.
func New(address string, initial map[rollout.ModelName]rollout.WeightVersion) *Store {
	return &Store{address: address, latest: maps.Clone(initial)}
}

// Publish makes v the latest version of model m, unless a newer one is published.
func (s *Store) Publish(m rollout.ModelName, v rollout.WeightVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latest[m] = max(s.latest[m], v)
}

// Latest returns the latest version of each model.
func (s *Store) Latest() map[rollout.ModelName]rollout.WeightVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.latest)
}

// SetOutage starts or ends an outage, during which every request is aborted.
func (s *Store) SetOutage(outage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = outage
}

// Run serves until ctx is done.
func (s *Store) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		latest, outage := maps.Clone(s.latest), s.outage
		s.mu.Unlock()
		if outage {
			panic(http.ErrAbortHandler)
		}
		_ = json.NewEncoder(w).Encode(latest)
	})
	return journal.Serve(ctx, s.address, mux)
}
