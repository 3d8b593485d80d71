package placement

import (
	"cmp"
	"slices"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/quota"
)

// rateQuota is this VM's part of a server's request rate limit.
type rateQuota struct {
	// rate is the limit in requests a second, or 0 if the server has none.
	rate float64
	// permits are the times from which one request each may be sent, in order.
	permits []time.Time
	// booking reports whether permits are being booked; the next booking may start at
	// bookAfter.
	booking   bool
	bookAfter time.Time
}

// dropExpired drops the permits that can no longer be used.
func (q *rateQuota) dropExpired(now time.Time) {
	q.permits = slices.DeleteFunc(q.permits, func(t time.Time) bool { return now.Sub(t) > quota.PermitValidity })
}

// permits reports whether the server's limit lets this VM send a request now.
func (s *server) permits(now time.Time) bool {
	if s.quota.rate <= 0 {
		return true
	}
	s.quota.dropExpired(now)
	return len(s.quota.permits) > 0 && !now.Before(s.quota.permits[0])
}

// takePermit uses up the permit for a request, if the server has a limit.
func (s *server) takePermit() {
	if len(s.quota.permits) > 0 {
		s.quota.permits = s.quota.permits[1:]
	}
}

// SetRateLimit sets a server's request rate limit in requests a second; 0 means none.
// Requests to a server with a limit need permits.
func (p *Pool) SetRateLimit(name rollout.ServerName, rate float64) {
	s := p.lookup(name)
	switch {
	case s == nil:
	case rate <= 0:
		s.quota = rateQuota{}
	default:
		s.quota.rate = rate
	}
}

// AddPermits ends a booking. The granted permits may be used from the given times; the
// next booking may start at bookAfter.
func (p *Pool) AddPermits(name rollout.ServerName, permits []time.Time, bookAfter time.Time) {
	s := p.lookup(name)
	if s == nil || s.quota.rate <= 0 {
		return
	}
	s.quota.booking, s.quota.bookAfter = false, bookAfter
	s.quota.permits = append(s.quota.permits, permits...)
	slices.SortFunc(s.quota.permits, time.Time.Compare)
}

// StartBookings returns the servers at which permits should be booked for waiting
// requests, the first of which has the given requirements, and marks them as being
// booked. It counts on the permits and bookings that are outstanding.
func (p *Pool) StartBookings(now time.Time, r Requirements, waiting int) []rollout.ServerName {
	var candidates []*server
	for _, s := range p.servers {
		s.quota.dropExpired(now)
		if s.quota.booking {
			waiting--
		}
		waiting -= len(s.quota.permits)
		if s.quota.rate > 0 && !s.quota.booking && len(s.quota.permits) == 0 && !now.Before(s.quota.bookAfter) && p.hasRoom(now, s, r) {
			candidates = append(candidates, s)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *server) int { return cmp.Compare(p.score(a, r), p.score(b, r)) })
	var names []rollout.ServerName
	for _, s := range candidates[:min(len(candidates), max(0, waiting))] {
		s.quota.booking = true
		names = append(names, s.declared.Name)
	}
	return names
}

// EarliestPermit returns the earliest time at which a server may get the request, and
// whether all servers that could take it have request rate limits. If one of them has
// none, the time is now.
func (p *Pool) EarliestPermit(now time.Time, r Requirements) (earliest time.Time, limited bool) {
	for _, s := range p.servers {
		if !s.suits(now, r) {
			continue
		}
		if s.quota.rate <= 0 {
			return now, false
		}
		at := s.quota.bookAfter
		if s.quota.dropExpired(now); len(s.quota.permits) > 0 {
			at = s.quota.permits[0]
		}
		if !limited || at.Before(earliest) {
			earliest, limited = at, true
		}
	}
	return earliest, limited
}
