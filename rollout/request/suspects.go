package request

import (
	"slices"
	"time"
)

// Fingerprint is a hash of a request's content. VMs exchange fingerprints so that
// the content itself is never sent.
type Fingerprint uint64

// Standing is how requests with a fingerprint are treated.
type Standing uint8

// The standings of a fingerprint.
const (
	// Clear requests run on any server.
	Clear Standing = iota
	// Suspected requests run one at a time per server, apart from other suspects.
	Suspected
	// Convicted requests are refused until the conviction expires.
	Convicted
)

// Durations and limits of suspicions.
const (
	suspicionDuration = time.Minute
	// convictionDuration is how long the first conviction lasts; it doubles with
	// every further crash. After that the request is suspected again, so that a
	// wrongly convicted request can become clear.
	convictionDuration     = time.Minute
	maxConvictionDoublings = 5
	maxSuspects            = 1024
)

type suspicion struct {
	standing Standing
	crashes  int
	until    time.Time
}

// Suspects attributes server crashes to the requests that were in flight. After
// a first crash all of them are suspected and run apart from each other. If the
// server of a suspected request crashes too, the request is convicted, so a
// request crashes at most two servers before it is refused. A suspected request
// that succeeds is clear again.
type Suspects struct {
	entries map[Fingerprint]suspicion
}

// NewSuspects returns a tracker without suspicions.
func NewSuspects() *Suspects { return &Suspects{entries: map[Fingerprint]suspicion{}} }

// Standing returns the standing of a fingerprint at the given time.
func (s *Suspects) Standing(now time.Time, f Fingerprint) Standing {
	e, ok := s.entries[f]
	switch {
	case !ok || e.expired(now):
		return Clear
	case now.After(e.until):
		return Suspected
	}
	return e.standing
}

// expired reports whether a suspicion no longer applies. An expired conviction
// counts as a suspicion for another suspicionDuration.
func (e suspicion) expired(now time.Time) bool {
	if e.standing == Convicted {
		return now.After(e.until.Add(suspicionDuration))
	}
	return now.After(e.until)
}

// InFlightRequest is a request that was in flight when its server crashed.
type InFlightRequest struct {
	Fingerprint Fingerprint
	// Isolated reports whether the request was already suspected when it was sent,
	// and so was isolated from other suspects.
	Isolated bool
}

// Crashed records that a server crashed while the given requests were in flight,
// and returns their fingerprints without duplicates. Several requests with one
// fingerprint count as one. Only isolated requests are convicted, because the
// others may have been in flight by coincidence.
func (s *Suspects) Crashed(now time.Time, inFlight []InFlightRequest) []Fingerprint {
	s.removeExpired(now)
	isolated := map[Fingerprint]bool{}
	var fingerprints []Fingerprint
	for _, f := range inFlight {
		if _, seen := isolated[f.Fingerprint]; !seen {
			fingerprints = append(fingerprints, f.Fingerprint)
		}
		isolated[f.Fingerprint] = isolated[f.Fingerprint] || f.Isolated
	}
	for _, f := range fingerprints {
		s.recordCrash(now, f, isolated[f])
	}
	return fingerprints
}

// recordCrash ignores new fingerprints when maxSuspects are known.
func (s *Suspects) recordCrash(now time.Time, f Fingerprint, isolated bool) {
	e, known := s.entries[f]
	if !known && len(s.entries) >= maxSuspects {
		return
	}
	e.crashes++
	if isolated {
		e.standing = Convicted
		e.until = now.Add(convictionDuration << min(max(e.crashes-2, 0), maxConvictionDoublings))
	} else if e.standing != Convicted {
		e.standing, e.until = Suspected, now.Add(suspicionDuration)
	}
	s.entries[f] = e
}

// Succeeded records that a request succeeded, which clears its fingerprint.
func (s *Suspects) Succeeded(f Fingerprint) { delete(s.entries, f) }

// SharedSuspicion is a suspicion in the form that VMs exchange.
type SharedSuspicion struct {
	Fingerprint Fingerprint
	Crashes     int
	Convicted   bool
}

// Shared returns up to limit current suspicions to send to other VMs, convictions
// first.
func (s *Suspects) Shared(now time.Time, limit int) []SharedSuspicion {
	var all []SharedSuspicion
	for f, e := range s.entries {
		if !e.expired(now) {
			all = append(all, SharedSuspicion{Fingerprint: f, Crashes: e.crashes, Convicted: e.standing == Convicted && !now.After(e.until)})
		}
	}
	slices.SortFunc(all, func(a, b SharedSuspicion) int {
		if a.Convicted != b.Convicted {
			if a.Convicted {
				return -1
			}
			return 1
		}
		if a.Fingerprint < b.Fingerprint {
			return -1
		}
		return 1
	})
	return all[:min(limit, len(all))]
}

// Merge merges a suspicion from another VM and reports whether it changed
// anything.
func (s *Suspects) Merge(now time.Time, other SharedSuspicion) bool {
	e := s.entries[other.Fingerprint]
	if e.crashes >= other.Crashes && (e.standing == Convicted || !other.Convicted) {
		return false
	}
	if len(s.entries) >= maxSuspects && e.crashes == 0 {
		return false
	}
	e.crashes = max(e.crashes, other.Crashes)
	if other.Convicted {
		e.standing, e.until = Convicted, now.Add(convictionDuration)
	} else if e.standing == Clear {
		e.standing, e.until = Suspected, now.Add(suspicionDuration)
	}
	s.entries[other.Fingerprint] = e
	return true
}

func (s *Suspects) removeExpired(now time.Time) {
	for f, e := range s.entries {
		if e.expired(now) {
			delete(s.entries, f)
		}
	}
}
