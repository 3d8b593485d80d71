package request

import (
	"slices"
	"time"
)

// Fingerprint identifies a request's content; it is a hash, so that content
// never travels.
type Fingerprint uint64

// Standing says how a request that was in flight at a crash is treated.
type Standing uint8

// The standings of a fingerprint.
const (
	// Clear requests run anywhere.
	Clear Standing = iota
	// Suspected requests run alone on a server, one at a time.
	Suspected
	// Convicted requests are refused until the conviction lapses.
	Convicted
)

// Numbers of the suspicion of crashing requests.
const (
	suspicionTime = time.Minute
	// A conviction lasts a minute, and twice as long with every further crash;
	// then the request is suspected again, so that an innocent can clear itself.
	convictionTime = time.Minute
	maxDoublings   = 5
	maxSuspects    = 1024
)

type suspicion struct {
	standing Standing
	crashes  int
	until    time.Time
}

// Suspects attributes crashes of servers to the requests that were in flight.
// After a first crash all of them are suspected and run one at a time, apart
// from others; the request that is then alone on a server that crashes is
// convicted, so that a request crashes at most two servers. A suspected request
// that ends well is clear again.
type Suspects struct {
	known map[Fingerprint]suspicion
}

// NewSuspects returns a state without suspicions.
func NewSuspects() *Suspects { return &Suspects{known: map[Fingerprint]suspicion{}} }

// Standing returns the standing of a fingerprint.
func (s *Suspects) Standing(now time.Time, f Fingerprint) Standing {
	k, ok := s.known[f]
	switch {
	case !ok || k.gone(now):
		return Clear
	case now.After(k.until):
		return Suspected
	}
	return k.standing
}

// gone reports whether a suspicion is over; after a conviction the request is
// suspected for a while.
func (k suspicion) gone(now time.Time) bool {
	if k.standing == Convicted {
		return now.After(k.until.Add(suspicionTime))
	}
	return now.After(k.until)
}

// Flight is a request that was in flight when its server crashed.
type Flight struct {
	Fingerprint Fingerprint
	// Watched tells that it was sent as a suspect, apart from other suspects.
	Watched bool
}

// Crashed tells that a server crashed while the given requests were in flight,
// and returns those whose standing changed. Several flights of one fingerprint
// count once. Only a watched flight convicts: the others may just have been
// there.
func (s *Suspects) Crashed(now time.Time, inFlight []Flight) []Fingerprint {
	s.sweep(now)
	watched := map[Fingerprint]bool{}
	var order []Fingerprint
	for _, f := range inFlight {
		if _, twice := watched[f.Fingerprint]; !twice {
			order = append(order, f.Fingerprint)
		}
		watched[f.Fingerprint] = watched[f.Fingerprint] || f.Watched
	}
	for _, f := range order {
		s.blame(now, f, watched[f])
	}
	return order
}

func (s *Suspects) blame(now time.Time, f Fingerprint, watched bool) {
	k, known := s.known[f]
	if !known && len(s.known) >= maxSuspects {
		return
	}
	k.crashes++
	if watched {
		k.standing = Convicted
		k.until = now.Add(convictionTime << min(max(k.crashes-2, 0), maxDoublings))
	} else if k.standing != Convicted {
		k.standing, k.until = Suspected, now.Add(suspicionTime)
	}
	s.known[f] = k
}

// Ended tells that a request ended well.
func (s *Suspects) Ended(f Fingerprint) { delete(s.known, f) }

// Rumor is a suspicion as it travels between VMs.
type Rumor struct {
	Fingerprint Fingerprint
	Crashes     int
	Convicted   bool
}

// Rumors returns up to limit suspicions, convictions first.
func (s *Suspects) Rumors(now time.Time, limit int) []Rumor {
	var all []Rumor
	for f, k := range s.known {
		if !k.gone(now) {
			all = append(all, Rumor{Fingerprint: f, Crashes: k.crashes, Convicted: k.standing == Convicted && !now.After(k.until)})
		}
	}
	slices.SortFunc(all, func(a, b Rumor) int {
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

// Heard takes a suspicion from another VM, and reports whether it was news.
func (s *Suspects) Heard(now time.Time, r Rumor) bool {
	k := s.known[r.Fingerprint]
	if k.crashes >= r.Crashes && (k.standing == Convicted || !r.Convicted) {
		return false
	}
	if len(s.known) >= maxSuspects && k.crashes == 0 {
		return false
	}
	k.crashes = max(k.crashes, r.Crashes)
	if r.Convicted {
		k.standing, k.until = Convicted, now.Add(convictionTime)
	} else if k.standing == Clear {
		k.standing, k.until = Suspected, now.Add(suspicionTime)
	}
	s.known[r.Fingerprint] = k
	return true
}

func (s *Suspects) sweep(now time.Time) {
	for f, k := range s.known {
		if k.gone(now) {
			delete(s.known, f)
		}
	}
}
