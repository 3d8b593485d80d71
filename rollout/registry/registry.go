// Package registry tracks which backend servers may be used, based on their
// entries in the service discovery store. It does no I/O and reads no clock; the
// caller passes the time.
//
// A later entry is not always a later word of its server: a write without a response may be
// carried out seconds later. Entries are ordered by the server's start and its own count of
// them.
//
// A deleted entry means that its server is gone, except around an outage of the
// store, when entries of running servers may lapse too. Such a server stays in
// use until it has had time to register again.
package registry

import (
	"maps"
	"slices"
	"time"

	"lagoonlink.org/rollout"
)

// ReregisterTimeout is how long a running server may take to register again after
// the store is reachable again; a server still missing then is gone. The
// platform specifies about two seconds.
const ReregisterTimeout = 2 * time.Second

// Registry is the set of known servers. It is not safe for concurrent use.
type Registry struct {
	servers map[rollout.ServerName]rollout.RegisteredServer
	// lapsed holds the servers whose entry was deleted around an outage.
	lapsed map[rollout.ServerName]rollout.RegisteredServer
	// outage reports whether the store is unreachable; restoredAt is when the
	// last outage ended.
	outage     bool
	restoredAt time.Time
	// history holds the recent incarnations of each name, oldest first.
	history map[rollout.ServerName][]past
	// leaving holds the servers that stated in responses that they are leaving.
	leaving map[rollout.ServerName]leaving
	// late holds the entries that are older than the newest known ones but were written after
	// them; ignored are those that TakeIgnored returns next.
	late    map[rollout.ServerName]lateEntry
	ignored []rollout.RegisteredServer
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{
		servers: map[rollout.ServerName]rollout.RegisteredServer{},
		lapsed:  map[rollout.ServerName]rollout.RegisteredServer{},
		history: map[rollout.ServerName][]past{},
		leaving: map[rollout.ServerName]leaving{},
		late:    map[rollout.ServerName]lateEntry{},
	}
}

// StoreUnreachable records that the store is unreachable.
func (r *Registry) StoreUnreachable() { r.outage = true }

// StoreReachable records that the store is reachable.
func (r *Registry) StoreReachable(now time.Time) {
	if r.outage {
		r.outage, r.restoredAt = false, now
	}
}

// outageRecent reports whether an entry may have lapsed because of an outage:
// during the outage and for ReregisterTimeout after it.
func (r *Registry) outageRecent(now time.Time) bool {
	return r.outage || (!r.restoredAt.IsZero() && now.Sub(r.restoredAt) < ReregisterTimeout)
}

// Apply applies changes of entries in order.
func (r *Registry) Apply(now time.Time, changes []rollout.Change[rollout.RegisteredServer]) {
	for _, c := range changes {
		if c.Unchanged {
			continue
		}
		name := rollout.ServerName(c.Key)
		switch {
		case c.Err != nil || c.Deleted:
			// An entry that cannot be decoded removes its server, also around an outage.
			r.removeServer(now, name, c.Err != nil)
			r.countRemoved(name, c.Sequence)
		case r.isLate(c.Value):
			r.holdLate(now, c.Value)
		default:
			r.register(now, c.Value)
		}
	}
}

// removeServer removes a server. It keeps the server as lapsed if its entry may
// have been lost in an outage, unless the entry is unreadable or the server is
// leaving.
func (r *Registry) removeServer(now time.Time, name rollout.ServerName, unreadable bool) {
	s, known := r.servers[name]
	if !known {
		return
	}
	delete(r.servers, name)
	r.remember(now, s)
	if !unreadable && !s.Leaving && r.outageRecent(now) {
		r.lapsed[name] = s
	}
}

// Replace applies a snapshot of all entries. Servers without an entry are removed,
// or kept as lapsed around an outage.
func (r *Registry) Replace(now time.Time, changes []rollout.Change[rollout.RegisteredServer]) {
	listed := map[rollout.ServerName]bool{}
	for _, c := range changes {
		if c.Err == nil && !c.Deleted {
			listed[rollout.ServerName(c.Key)] = true
		}
	}
	for name := range maps.Clone(r.servers) {
		if !listed[name] {
			r.removeServer(now, name, false)
		}
	}
	r.Apply(now, changes)
}

// Expire removes the lapsed servers that did not register again in time, registers those
// whose entry seemed late for too long, and reports whether there were any.
func (r *Registry) Expire(now time.Time) bool {
	r.forget(now)
	r.forgetLeaving(now)
	changed := r.expireLate(now)
	if len(r.lapsed) == 0 || r.outageRecent(now) {
		return changed
	}
	clear(r.lapsed)
	return true
}

// Find returns the server with the given name, also if it is lapsed or leaving.
func (r *Registry) Find(name rollout.ServerName) (rollout.RegisteredServer, bool) {
	s, ok := r.servers[name]
	if !ok {
		s, ok = r.lapsed[name]
	}
	return r.withLeaving(s), ok
}

// Servers returns all servers, including lapsed and leaving ones, sorted by name.
func (r *Registry) Servers() []rollout.RegisteredServer {
	var out []rollout.RegisteredServer
	for _, s := range r.servers {
		out = append(out, r.withLeaving(s))
	}
	for _, s := range r.lapsed {
		out = append(out, r.withLeaving(s))
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
