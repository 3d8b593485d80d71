// Package registry keeps which backend servers may be used, from their entries
// in service discovery. It is pure: the caller passes the time.
//
// An entry that goes away means that its server is gone, except around an
// outage of the store: entries may lapse then although their servers live. Such
// a server stays in use until it had time to register again.
package registry

import (
	"maps"
	"slices"
	"time"

	"lagoonlink.org/rollout"
)

// RegisterAgain is how long after the store's return a living server may take
// to register again; a server that is missing after it is gone. The platform
// states about two seconds.
const RegisterAgain = 2 * time.Second

// Registry holds the servers' entries.
type Registry struct {
	servers map[rollout.ServerName]rollout.RegisteredServer
	// lapsed holds servers whose entry went away around an outage.
	lapsed map[rollout.ServerName]rollout.RegisteredServer
	// outage tells that the store can't be reached; returned is when it last
	// could be again.
	outage   bool
	returned time.Time
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{
		servers: map[rollout.ServerName]rollout.RegisteredServer{},
		lapsed:  map[rollout.ServerName]rollout.RegisteredServer{},
	}
}

// Lost tells that the store can't be reached.
func (r *Registry) Lost() { r.outage = true }

// Regained tells that the store was reached.
func (r *Registry) Regained(now time.Time) {
	if r.outage {
		r.outage, r.returned = false, now
	}
}

// recent reports whether an entry may have lapsed because of an outage.
func (r *Registry) recent(now time.Time) bool {
	return r.outage || (!r.returned.IsZero() && now.Sub(r.returned) < RegisterAgain)
}

// Apply takes changes in their order.
func (r *Registry) Apply(now time.Time, changes []rollout.Change[rollout.RegisteredServer]) {
	for _, c := range changes {
		name := rollout.ServerName(c.Key)
		if c.Err == nil && !c.Dropped {
			r.servers[name] = c.Value
			delete(r.lapsed, name)
			continue
		}
		// An entry that can't be read names no server to use.
		r.drop(now, name, c.Err != nil)
	}
}

func (r *Registry) drop(now time.Time, name rollout.ServerName, certain bool) {
	s, known := r.servers[name]
	if !known {
		return
	}
	delete(r.servers, name)
	if !certain && !s.Leaving && r.recent(now) {
		r.lapsed[name] = s
	}
}

// Replace takes the newest entries of all servers; those without one are gone,
// or lapsed after an outage.
func (r *Registry) Replace(now time.Time, changes []rollout.Change[rollout.RegisteredServer]) {
	listed := map[rollout.ServerName]bool{}
	for _, c := range changes {
		if c.Err == nil && !c.Dropped {
			listed[rollout.ServerName(c.Key)] = true
		}
	}
	for name := range maps.Clone(r.servers) {
		if !listed[name] {
			r.drop(now, name, false)
		}
	}
	r.Apply(now, changes)
}

// Expire drops lapsed servers that did not register again in time, and reports
// whether there were any.
func (r *Registry) Expire(now time.Time) bool {
	if len(r.lapsed) == 0 || r.recent(now) {
		return false
	}
	clear(r.lapsed)
	return true
}

// Servers returns the servers that may be used or are leaving, by name.
func (r *Registry) Servers() []rollout.RegisteredServer {
	var out []rollout.RegisteredServer
	for _, s := range r.servers {
		out = append(out, s)
	}
	for _, s := range r.lapsed {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b rollout.RegisteredServer) int {
		switch {
		case a.Name < b.Name:
			return -1
		case a.Name > b.Name:
			return 1
		}
		return 0
	})
	return out
}
