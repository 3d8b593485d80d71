package registry

import (
	"maps"
	"time"

	"lagoonlink.org/rollout"
)

// lateTimeout is how long an entry that seems older than the newest known one of its server is
// ignored while that isn't confirmed. It is longer than a write takes to be carried out late,
// and than the platform keeps the entry of a server that is silent.
const lateTimeout = 10 * time.Second

// lateEntry is an entry that was written after a newer one.
type lateEntry struct {
	server rollout.RegisteredServer
	// since is when the first such entry in a row was read.
	since time.Time
}

// isLate reports whether an entry is older than the newest known one of its server, although
// it was written later. Only the server's own counts tell that, so entries without a start time
// count in the order in which they are written.
func (r *Registry) isLate(s rollout.RegisteredServer) bool {
	incarnation, sequence := r.newestEntry(s.Name)
	if incarnation == 0 || s.Incarnation == 0 {
		return false
	}
	if s.Incarnation != incarnation {
		return s.Incarnation < incarnation
	}
	return s.Sequence != 0 && s.Sequence < sequence
}

// newestEntry returns the incarnation and the sequence number of the newest known entry of a
// name, whose server may be gone. Both are 0 if there is none.
func (r *Registry) newestEntry(name rollout.ServerName) (incarnation int64, sequence uint64) {
	if s, known := r.Find(name); known {
		return s.Incarnation, s.Sequence
	}
	if list := r.history[name]; len(list) > 0 {
		last := list[len(list)-1]
		return last.incarnation, last.sequence
	}
	return 0, 0
}

// countRemoved records the sequence number of the newest entry of a name that was removed.
// Heartbeats that only repeat an entry are not applied, so it may be higher than the known one.
func (r *Registry) countRemoved(name rollout.ServerName, sequence uint64) {
	_, late := r.late[name]
	delete(r.late, name)
	if list := r.history[name]; len(list) > 0 && !late {
		last := &list[len(list)-1]
		last.sequence = max(last.sequence, sequence)
	}
	if s, lapsed := r.lapsed[name]; lapsed && !late {
		s.Sequence = max(s.Sequence, sequence)
		r.lapsed[name] = s
	}
}

// holdLate keeps a late entry, in case its server goes on from there.
func (r *Registry) holdLate(now time.Time, s rollout.RegisteredServer) {
	l, held := r.late[s.Name]
	if !held {
		l.since = now
	}
	l.server = s
	r.late[s.Name] = l
	r.ignored = append(r.ignored, s)
}

// register puts an entry in the place of the one that is known.
func (r *Registry) register(now time.Time, s rollout.RegisteredServer) {
	if old, known := r.Find(s.Name); known && old.Incarnation != s.Incarnation {
		r.remember(now, old)
	}
	r.servers[s.Name] = s
	delete(r.lapsed, s.Name)
	delete(r.late, s.Name)
}

// expireLate registers the servers whose newest known entry was not confirmed for lateTimeout,
// as the store has them. It reports whether there were any.
func (r *Registry) expireLate(now time.Time) (changed bool) {
	for _, l := range maps.Clone(r.late) {
		if !r.outageRecent(now) && now.Sub(l.since) >= lateTimeout {
			r.register(now, l.server)
			changed = true
		}
	}
	return changed
}

// TakeIgnored returns the entries that were ignored since the last call because they are older
// than what is known of their servers.
func (r *Registry) TakeIgnored() []rollout.RegisteredServer {
	ignored := r.ignored
	r.ignored = nil
	return ignored
}
