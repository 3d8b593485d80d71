package registry

import (
	"time"

	"lagoonlink.org/rollout"
)

// leavingAge is how long it is kept that an incarnation stated that it is leaving, after
// its entry was last seen. It is longer than a server serves after that.
const leavingAge = 10 * time.Minute

// leaving is an incarnation of a server that stated in a response that it is leaving.
type leaving struct {
	incarnation int64
	// statedAt is when it last stated that, lastSeen when it last stated that or was
	// registered, by the caller's clock.
	statedAt, lastSeen time.Time
}

// ObserveLeaving records that an incarnation of a server stated in a response that it is
// leaving. The store's word, which may be older, doesn't withdraw that; only another
// incarnation under the same name starts without it. It reports whether that is new.
func (r *Registry) ObserveLeaving(now time.Time, name rollout.ServerName, incarnation int64) bool {
	old, known := r.leaving[name]
	if known && old.incarnation > incarnation {
		// A late response of an earlier incarnation.
		return false
	}
	r.leaving[name] = leaving{incarnation: incarnation, statedAt: now, lastSeen: now}
	return !known || old.incarnation != incarnation
}

// IsLeaving reports whether an incarnation of a server stated in a response that it is
// leaving. An incarnation that had started before the statement made it itself, although
// the VM still knew an older one then.
func (r *Registry) IsLeaving(name rollout.ServerName, incarnation int64) bool {
	l, ok := r.leaving[name]
	if !ok || incarnation < l.incarnation {
		return false
	}
	return incarnation == l.incarnation || incarnation <= l.statedAt.Add(-clockTolerance).UnixMilli()
}

// withLeaving returns a server as it is to be used: leaving if it stated so.
func (r *Registry) withLeaving(s rollout.RegisteredServer) rollout.RegisteredServer {
	s.Leaving = s.Leaving || r.IsLeaving(s.Name, s.Incarnation)
	return s
}

// forgetLeaving drops the incarnations that were last seen too long ago.
func (r *Registry) forgetLeaving(now time.Time) {
	for name, l := range r.leaving {
		if s, ok := r.Find(name); ok && s.Incarnation == l.incarnation {
			l.lastSeen = now
			r.leaving[name] = l
		}
		if now.Sub(l.lastSeen) >= leavingAge {
			delete(r.leaving, name)
		}
	}
}
