package dispatch

import (
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/placement"
	"lagoonlink.org/rollout/quota"
)

// bookingRetryDelay is the delay after a booking that could not be queued.
const bookingRetryDelay = 100 * time.Millisecond

// bookingPeriod is the period whose requests one booking may take, so that a VM with many
// waiting requests leaves some of a server's limit to others.
const bookingPeriod = 200 * time.Millisecond

// Messages about the request rate limits of servers.
type (
	rateLimitMessage struct {
		server rollout.ServerName
		rate   float64
	}
	permitsMessage struct {
		server    rollout.ServerName
		permits   []time.Time
		bookAfter time.Time
	}
)

// SetRateLimit records a server's request rate limit in requests a second; 0 means none.
func (d *Dispatcher) SetRateLimit(s rollout.ServerName, rate float64) {
	d.send(rateLimitMessage{server: s, rate: rate})
}

// AddPermits answers a booking: a request may be sent to the server from each of the
// given times, and the next booking makes sense from bookAfter on.
func (d *Dispatcher) AddPermits(s rollout.ServerName, permits []time.Time, bookAfter time.Time) {
	d.send(permitsMessage{server: s, permits: permits, bookAfter: bookAfter})
}

func (d *Dispatcher) setRateLimit(now time.Time, m rateLimitMessage) {
	if m.rate > 0 {
		d.rateLimits[m.server] = m.rate
	} else {
		delete(d.rateLimits, m.server)
	}
	for _, ts := range d.targets {
		ts.pool.SetRateLimit(m.server, m.rate)
		d.grantQueued(now, ts)
	}
}

// book books permits for waiting requests, the first of which has the given requirements,
// at servers with request rate limits.
func (d *Dispatcher) book(now time.Time, ts *targetState, r placement.Requirements) {
	if len(d.rateLimits) == 0 || d.config.Book == nil {
		return
	}
	urgent := r.Class != rollout.ClassRollout && r.Class != rollout.ClassScoring
	servers := ts.pool.StartBookings(now, r, len(ts.waiting))
	for _, s := range servers {
		if !d.config.Book(s, bookingSize(len(ts.waiting), len(servers), d.rateLimits[s]), urgent) {
			ts.pool.AddPermits(s, nil, now.Add(bookingRetryDelay))
		}
	}
}

// bookingSize returns the number of requests to book at one of several servers for a
// number of waiting requests: at most what the server's limit allows in bookingPeriod.
func bookingSize(waiting, servers int, rate float64) int {
	share := (waiting + servers - 1) / servers
	return max(1, min(share, int(rate*bookingPeriod.Seconds()), quota.MaxBooking))
}
