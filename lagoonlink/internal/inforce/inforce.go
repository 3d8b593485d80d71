// Package inforce holds the configuration in force on this VM. A request takes
// one View when it arrives and keeps it to its end, so that it sees one
// configuration throughout.
package inforce

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"sync/atomic"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/routing"
)

// View is an immutable configuration with its version.
type View struct {
	Version       rollout.ConfigurationVersion
	Digest        string
	Configuration rollout.Configuration
	// Routes is the table of routes; nil where the configuration declares callers.
	Routes *routing.Table
	// Since is when it came into force on this VM.
	Since time.Time
}

// Holder hands out the present view.
type Holder struct {
	view atomic.Pointer[View]

	mu       sync.Mutex
	watchers []chan struct{}
}

// Current returns the view in force, or nil when none is known.
func (h *Holder) Current() *View { return h.view.Load() }

// Require returns the view in force, or a refusal.
func (h *Holder) Require() (*View, error) {
	if v := h.view.Load(); v != nil {
		return v, nil
	}
	return nil, rollout.Refuse(rollout.ReasonNoConfiguration, "this VM has no configuration yet").WithRetryAfter(time.Second)
}

// Set puts a view in force unless a later one is, and reports whether it did.
func (h *Holder) Set(v *View) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if old := h.view.Load(); old != nil && old.Version >= v.Version {
		return false
	}
	h.view.Store(v)
	for _, w := range h.watchers {
		select {
		case w <- struct{}{}:
		default:
		}
	}
	return true
}

// Watch returns a channel that gets a value after each change; several changes
// may give one value.
func (h *Holder) Watch() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	w := make(chan struct{}, 1)
	if h.view.Load() != nil {
		w <- struct{}{}
	}
	h.watchers = append(h.watchers, w)
	return w
}

// HashToken returns the form in which a configuration holds a bearer token.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
