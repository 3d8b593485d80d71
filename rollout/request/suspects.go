package request

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lagoonlink.org/rollout"
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
	// cutWindow is the time within which losses of servers may have one cause, such as a
	// zone that is cut off; a silent connection takes some seconds to fail.
	cutWindow = 3 * time.Second
	// unrelatedServers is the number of servers lost within cutWindow without a request in
	// flight from which the loss of other servers is no evidence against that request.
	unrelatedServers = 2
	// withdrawalDuration is how long a withdrawn suspicion is shared and suspicions of other
	// VMs against the same fingerprint are ignored.
	withdrawalDuration = 10 * time.Second
	// urgentPeriod is the time within which a change reaches the other VMs in any case.
	urgentPeriod = 3 * time.Second
)

type suspicion struct {
	standing Standing
	crashes  int
	// own counts the crashes that this VM saw itself.
	own   int
	until time.Time
	// changedAt is when crashes or standing last changed.
	changedAt time.Time
}

// loss is the loss of one server with the fingerprints of the requests in flight there.
type loss struct {
	at time.Time
	// ended reports whether the server's process is known to have ended; otherwise the
	// server may have been cut off.
	ended        bool
	server       rollout.ServerName
	fingerprints map[Fingerprint]bool
}

// Suspects attributes server crashes to the requests that were in flight. After
// a first crash all of them are suspected and run apart from each other. If the
// server of a suspected request crashes too, the request is convicted, so a
// request crashes at most two servers before it is refused. A suspected request
// that succeeds is clear again.
//
// When a zone or this VM is cut off, servers appear to crash that have not. Then other
// servers are lost at the same time without the request in flight, and the suspicion is
// withdrawn. That happens once in a suspicionDuration for each fingerprint, so that
// several requests that crash servers at the same time don't clear one another for ever.
// Servers whose processes are known to have ended take no part in it: they may all have
// run the same request, which came at several VMs.
type Suspects struct {
	entries map[Fingerprint]suspicion
	// losses are the losses of the last cutWindow.
	losses []loss
	// withdrawn holds when the suspicion against a fingerprint was withdrawn.
	withdrawn map[Fingerprint]time.Time
}

// NewSuspects returns a tracker without suspicions.
func NewSuspects() *Suspects {
	return &Suspects{entries: map[Fingerprint]suspicion{}, withdrawn: map[Fingerprint]time.Time{}}
}

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

// Crashed records that a server was lost while the given requests were in flight,
// and returns the number of their fingerprints and that of the suspicions that it
// withdrew, which may be older. Several requests with one fingerprint count as one.
// Only isolated requests are convicted, because the others may have been in flight
// by coincidence.
func (s *Suspects) Crashed(now time.Time, server rollout.ServerName, inFlight []InFlightRequest) (suspected, withdrawn int) {
	return s.lost(now, server, false, inFlight)
}

// Ended records like Crashed that a server was lost, but one whose process is known to have
// ended: a cut is no explanation.
func (s *Suspects) Ended(now time.Time, server rollout.ServerName, inFlight []InFlightRequest) (suspected, withdrawn int) {
	return s.lost(now, server, true, inFlight)
}

func (s *Suspects) lost(now time.Time, server rollout.ServerName, ended bool, inFlight []InFlightRequest) (suspected, withdrawn int) {
	s.removeExpired(now)
	isolated := map[Fingerprint]bool{}
	var fingerprints []Fingerprint
	for _, f := range inFlight {
		if _, seen := isolated[f.Fingerprint]; !seen {
			fingerprints = append(fingerprints, f.Fingerprint)
		}
		isolated[f.Fingerprint] = isolated[f.Fingerprint] || f.Isolated
	}
	l := loss{at: now, ended: ended, server: server, fingerprints: map[Fingerprint]bool{}}
	for _, f := range fingerprints {
		s.recordCrash(now, f, isolated[f])
		l.fingerprints[f] = true
	}
	s.losses = append(s.losses, l)
	return len(fingerprints), s.withdrawUnfounded(now)
}

// withdrawUnfounded withdraws the suspicions that rest on losses during which other
// servers were lost too, and returns their number.
func (s *Suspects) withdrawUnfounded(now time.Time) (withdrawn int) {
	recent := map[Fingerprint]bool{}
	for _, l := range s.losses {
		if !l.ended {
			maps.Copy(recent, l.fingerprints)
		}
	}
	for f := range recent {
		if at, done := s.withdrawn[f]; done && now.Sub(at) >= cutWindow {
			continue
		}
		if s.serversLostWithout(f) < unrelatedServers {
			continue
		}
		e := s.entries[f]
		for _, l := range s.losses {
			if l.fingerprints[f] && !l.ended {
				e.crashes--
				e.own--
				delete(l.fingerprints, f)
			}
		}
		if e.crashes <= 0 {
			delete(s.entries, f)
		} else {
			e.standing, e.changedAt = Suspected, now
			s.entries[f] = e
		}
		if _, done := s.withdrawn[f]; !done {
			s.withdrawn[f] = now
		}
		withdrawn++
	}
	return withdrawn
}

// serversLostWithout returns the number of servers that were lost within cutWindow
// without the request in flight.
func (s *Suspects) serversLostWithout(f Fingerprint) int {
	with, without := map[rollout.ServerName]bool{}, map[rollout.ServerName]bool{}
	for _, l := range s.losses {
		if l.ended {
			continue
		}
		if l.fingerprints[f] {
			with[l.server] = true
		} else {
			without[l.server] = true
		}
	}
	for server := range with {
		delete(without, server)
	}
	return len(without)
}

// recordCrash ignores new fingerprints when maxSuspects are known.
func (s *Suspects) recordCrash(now time.Time, f Fingerprint, isolated bool) {
	e, known := s.entries[f]
	if !known && len(s.entries) >= maxSuspects {
		return
	}
	e.crashes++
	e.own++
	e.changedAt = now
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
	// Withdrawn reports that the VM no longer holds its suspicion.
	Withdrawn bool `cbor:",omitempty"`
}

// Shared returns up to limit current suspicions to send to other VMs, newest changes first. Of
// the changes within urgentPeriod, withdrawals and convictions come before others: a crash may
// make suspects of more requests than fit, before a conviction has been sent.
func (s *Suspects) Shared(now time.Time, limit int) []SharedSuspicion {
	type change struct {
		SharedSuspicion
		at     time.Time
		urgent bool
	}
	var all []change
	for f, at := range s.withdrawn {
		if now.Sub(at) < withdrawalDuration {
			all = append(all, change{SharedSuspicion{Fingerprint: f, Withdrawn: true}, at, now.Sub(at) < urgentPeriod})
		}
	}
	for f, e := range s.entries {
		if !e.expired(now) {
			convicted := e.standing == Convicted && !now.After(e.until)
			all = append(all, change{SharedSuspicion{Fingerprint: f, Crashes: e.crashes, Convicted: convicted}, e.changedAt, convicted && now.Sub(e.changedAt) < urgentPeriod})
		}
	}
	slices.SortFunc(all, func(a, b change) int {
		return cmp.Or(boolOrder(a.urgent, b.urgent), b.at.Compare(a.at), boolOrder(a.Withdrawn, b.Withdrawn), boolOrder(a.Convicted, b.Convicted), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	out := make([]SharedSuspicion, min(limit, len(all)))
	for i := range out {
		out[i] = all[i].SharedSuspicion
	}
	return out
}

// boolOrder orders true before false.
func boolOrder(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// Merge merges a suspicion from another VM and reports whether it changed
// anything. A withdrawal doesn't outweigh crashes that this VM saw itself.
func (s *Suspects) Merge(now time.Time, other SharedSuspicion) bool {
	e, known := s.entries[other.Fingerprint]
	if at, ok := s.withdrawn[other.Fingerprint]; ok && now.Sub(at) < withdrawalDuration && (!other.Convicted || now.Sub(at) < cutWindow) {
		return false
	}
	if other.Withdrawn {
		if e.own > 0 {
			return false
		}
		if !known {
			// This VM must not take losses of the same cause for a cut again.
			s.withdrawn[other.Fingerprint] = now
			return false
		}
		delete(s.entries, other.Fingerprint)
		s.withdrawn[other.Fingerprint] = now
		return true
	}
	if e.crashes >= other.Crashes && (e.standing == Convicted || !other.Convicted) {
		return false
	}
	if len(s.entries) >= maxSuspects && e.crashes == 0 {
		return false
	}
	e.crashes, e.changedAt = max(e.crashes, other.Crashes), now
	if other.Convicted {
		e.standing, e.until = Convicted, now.Add(convictionDuration)
	} else if e.standing == Clear {
		e.standing, e.until = Suspected, now.Add(suspicionDuration)
	}
	s.entries[other.Fingerprint] = e
	return true
}

func (s *Suspects) removeExpired(now time.Time) {
	s.losses = slices.DeleteFunc(s.losses, func(l loss) bool { return now.Sub(l.at) >= cutWindow })
	maps.DeleteFunc(s.withdrawn, func(_ Fingerprint, at time.Time) bool { return now.Sub(at) >= suspicionDuration })
	for f, e := range s.entries {
		if e.expired(now) {
			delete(s.entries, f)
		}
	}
}
