// Package quota divides the request rate limits of backend servers among the VMs. A
// VM books requests on a shared log before it sends them; all VMs charge the bookings
// in the order of the log to a token bucket for each server, so that no VM has to know
// how many others there are. It does no I/O and reads no clock; the caller passes the
// time.
//
// It answers the load of many VMs that each send a server a few requests a second,
// when the server's limit is lower than their sum, down to one request a second.
//
// Each record states when it was written, by its VM's wall clock. All decisions follow
// from the records alone, so all VMs that have read them agree on what was granted, no
// matter when they read them.
//
// Invariant: in any period of length d, the bookings granted for a server with a limit
// of r requests a second don't exceed r*d + burst, where burst is the larger of 1 and
// what the limit allows in burstPeriod, if the clocks of the VMs agree. A clock that is
// ahead adds the requests of its lead once.
package quota

import (
	"maps"
	"time"

	"lagoonlink.org/rollout"
)

const (
	// burstPeriod is the period whose requests may be sent at once after a pause.
	burstPeriod = 400 * time.Millisecond
	// urgentHorizon is how far ahead urgent requests may be booked; others can't be booked
	// ahead. Bookings beyond the horizon are void, so that many VMs that book at the same
	// time don't take the following seconds.
	urgentHorizon = 500 * time.Millisecond
	// PermitValidity is how long a booked request may be sent after the time for which
	// it was booked.
	PermitValidity = 500 * time.Millisecond
	// maxLead is the lead of another VM's clock over this record's that is tolerated. A
	// longer one is taken as an error of that clock.
	maxLead = 5 * time.Second
	// maxWait bounds the computed waits; a limit may be arbitrarily low.
	maxWait = time.Hour
	// forgetAfter is how long the limit of a server is kept that no VM books.
	forgetAfter = 5 * time.Minute
)

// Ledger holds the limits and the bookings of all servers. It is not safe for
// concurrent use.
type Ledger struct {
	buckets map[rollout.ServerName]bucket
}

// bucket is a token bucket. It may be overdrawn by what fits into the horizon.
type bucket struct {
	rate   float64
	tokens float64
	// at is the latest time of the records.
	at time.Time
}

// NewLedger returns a ledger without limits.
func NewLedger() *Ledger { return &Ledger{buckets: map[rollout.ServerName]bucket{}} }

func (b bucket) burst() float64 { return max(1, b.rate*burstPeriod.Seconds()) }

// withTime returns the bucket with the tokens added up to the given time.
func (b bucket) withTime(at time.Time) bucket {
	elapsed := at.Sub(b.at)
	switch {
	case elapsed > 0:
		b.tokens = min(b.burst(), b.tokens+b.rate*elapsed.Seconds())
		b.at = at
	case elapsed < -maxLead:
		b.at = at
	}
	return b
}

// wait returns the time until a request with the bucket's last token may be sent.
func (b bucket) wait() time.Duration {
	seconds := min(-b.tokens/b.rate, maxWait.Seconds())
	return max(0, time.Duration(seconds*float64(time.Second)))
}

// Limited reports whether any server has a limit.
func (l *Ledger) Limited() bool { return len(l.buckets) > 0 }

// Rate returns the limit of a server in requests a second, or 0 if it has none.
func (l *Ledger) Rate(server rollout.ServerName) float64 { return l.buckets[server].rate }

// SetLimit applies a limit that was recorded at the given time, and reports whether it
// changed anything.
func (l *Ledger) SetLimit(at time.Time, m Limit) bool {
	b, known := l.buckets[m.Server]
	if b.rate == m.Rate {
		return false
	}
	if m.Rate <= 0 {
		delete(l.buckets, m.Server)
		return true
	}
	if !known {
		b = bucket{tokens: 1, at: at}
	}
	b = b.withTime(at)
	b.rate = m.Rate
	b.tokens = min(b.tokens, b.burst())
	l.buckets[m.Server] = b
	return true
}

// Book applies a booking that was recorded at the given time. It returns how long after
// it each granted request may be sent; a booking beyond the horizon is granted in part
// or not at all.
func (l *Ledger) Book(at time.Time, booking Booking) []time.Duration {
	b, ok := l.buckets[booking.Server]
	if !ok {
		return nil
	}
	b = b.withTime(at)
	var waits []time.Duration
	for range booking.Requests {
		next := b
		next.tokens--
		if next.wait() > horizon(booking.Urgent) {
			break
		}
		b = next
		waits = append(waits, b.wait())
	}
	l.buckets[booking.Server] = b
	return waits
}

func horizon(urgent bool) time.Duration {
	if urgent {
		return urgentHorizon
	}
	return 0
}

// UntilBookable returns the time until a booking of one request for a server would be
// granted.
func (l *Ledger) UntilBookable(now time.Time, server rollout.ServerName, urgent bool) time.Duration {
	b, ok := l.buckets[server]
	if !ok {
		return 0
	}
	b = b.withTime(now)
	b.tokens--
	return max(0, b.wait()-horizon(urgent))
}

// Forget drops the limits of servers that no VM has booked for a long time, such as
// those that are gone, and returns the servers.
func (l *Ledger) Forget(now time.Time) []rollout.ServerName {
	var forgotten []rollout.ServerName
	maps.DeleteFunc(l.buckets, func(s rollout.ServerName, b bucket) bool {
		if now.Sub(b.at) < forgetAfter {
			return false
		}
		forgotten = append(forgotten, s)
		return true
	})
	return forgotten
}
