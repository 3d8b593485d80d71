package placement

import (
	"slices"
	"time"
)

// Obstacles counts the servers of a pool by the first reason for which a request can't be sent
// to them now.
type Obstacles struct {
	Leaving, OtherSoftware, Avoided, Ejected, Refusing, Slow, OlderWeights, Full, NoPermit int
	// None counts the servers that could take the request.
	None int
}

// Obstacles returns why the servers can't take a request now.
func (p *Pool) Obstacles(now time.Time, r Requirements) Obstacles {
	var o Obstacles
	for _, s := range p.servers {
		*o.of(p, now, s, r)++
	}
	return o
}

// of returns the counter for a server. The cases are those of suits and hasRoom.
func (o *Obstacles) of(p *Pool, now time.Time, s *server, r Requirements) *int {
	switch {
	case p.canTake(now, s, r):
		return &o.None
	case s.isLeaving(now):
		return &o.Leaving
	case slices.Contains(r.Avoid, s.declared.Name):
		return &o.Avoided
	case !s.suits(now, r):
		return &o.OtherSoftware
	case now.Before(s.ejectedUntil):
		return &o.Ejected
	case float64(s.inFlight) >= p.classLimit(s, r.Class):
		return &o.Full
	case !s.hasWeights(r):
		return &o.OlderWeights
	case s.isTooSlow(now, r):
		return &o.Slow
	case !p.hasRoom(now, s, r):
		return &o.Refusing
	}
	return &o.NoPermit
}
