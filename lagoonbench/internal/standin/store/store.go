// Package store is a stand-in of the platform's weight store as entry VMs see
// it: the latest version of each model. Its rate limit shows in how long the
// engine stand-ins take to load.
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

// Store is the stand-in.
type Store struct {
	address string

	mu     sync.Mutex
	latest map[rollout.ModelName]rollout.WeightVersion
	outage bool
}

// New returns a store that is not running yet.
func New(address string, initial map[rollout.ModelName]rollout.WeightVersion) *Store {
	return &Store{address: address, latest: maps.Clone(initial)}
}

// Publish makes a version the latest of its model.
func (s *Store) Publish(m rollout.ModelName, v rollout.WeightVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latest[m] = max(s.latest[m], v)
}

// Latest returns the latest versions.
func (s *Store) Latest() map[rollout.ModelName]rollout.WeightVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.latest)
}

// SetOutage breaks every request while it is set.
func (s *Store) SetOutage(outage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = outage
}

// Run serves until the context ends.
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
