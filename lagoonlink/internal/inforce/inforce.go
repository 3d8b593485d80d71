// Package inforce holds the configuration in force on this VM. A request loads one
// View on arrival and uses it until the request ends, so it sees a consistent
// configuration throughout.
package inforce

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"sync/atomic"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/routing"
	"lagoonlink.org/rollout/tenancy"
)

// View is an immutable configuration with its version.
type View struct {
	Version       rollout.ConfigurationVersion
	Digest        string
	Configuration rollout.Configuration
	// Routes is the routing table. It is nil if the configuration declares
	// callers.
	Routes *routing.Table
	// Tenants is nil if the configuration declares no tenants.
	Tenants *tenancy.Table
	// Since is when the view came into force on this VM.
	Since time.Time
}

// Holder stores the current view. It is safe for concurrent use.
type Holder struct {
	view atomic.Pointer[View]

	mu       sync.Mutex
	watchers []chan struct{}
	// changed is closed and replaced on each change; it is nil before anybody waits.
	changed chan struct{}
}

// Current returns the view in force, or nil if there is none yet.
func (h *Holder) Current() *View { return h.view.Load() }

// Require returns the view in force. If there is none yet, it returns a refusal
// with ReasonNoConfiguration.
func (h *Holder) Require() (*View, error) {
	if v := h.view.Load(); v != nil {
		return v, nil
	}
	return nil, rollout.Refuse(rollout.ReasonNoConfiguration, "this VM has no configuration yet").WithRetryAfter(time.Second)
}

// Set puts v in force unless the current view has the same or a later version. It
// reports whether v is now in force.
func (h *Holder) Set(v *View) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if old := h.view.Load(); old != nil && old.Version >= v.Version {
		return false
	}
	h.view.Store(v)
	if h.changed != nil {
		close(h.changed)
		h.changed = nil
	}
	for _, w := range h.watchers {
		select {
		case w <- struct{}{}:
		default:
		}
	}
	return true
}

// Watch returns a channel that receives a value after each change, and one
// immediately if a view is already in force. Several changes may be merged into
// one value.
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

// Await returns the view in force as soon as ready returns true for it. It fails with the
// error of ctx if that ends first.
func (h *Holder) Await(ctx context.Context, ready func(*View) bool) (*View, error) {
	for {
		h.mu.Lock()
		if h.changed == nil {
			h.changed = make(chan struct{})
		}
		v, changed := h.view.Load(), h.changed
		h.mu.Unlock()
		if v != nil && ready(v) {
			return v, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// HashToken returns the hex-encoded SHA-256 hash by which a configuration stores a
// bearer token.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
