package placement

import (
	"math"
	"slices"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/spill"
)

// Parameters of the choice between zones.
const (
	// assumedRoundTrip is the round trip in seconds to a zone to which no request was
	// sent yet: about that of the farthest zones of a region.
	assumedRoundTrip = 0.010
	// lossWeight is the weight of the newest request in a zone's share of failures, which
	// is worth nothing from lossMaxAge on.
	lossWeight = 0.1
	lossMaxAge = 2 * time.Second
	// spillInterval is the minimum time between two decisions about leaving the zone.
	spillInterval = 5 * time.Millisecond
	// similarEstimates is the factor up to which estimates count as equal. Such servers
	// take turns, so that VMs with the same figures don't choose the same server.
	similarEstimates = 1.1
	// bytesWeight is the weight of the newest request in the mean size of requests.
	bytesWeight = 0.05
	// bytePricePenalty is the penalty of a rollout's server in another zone while bytes
	// between zones have a price: less than that of one request, so that the home zone is
	// preferred only among servers that are otherwise equal.
	bytePricePenalty = 0.001
)

// zone is the state of an availability zone.
type zone struct {
	name rollout.Zone
	// shortest is the shortest recent time to answer in seconds, 0 if none is known.
	shortest float64
	// roundTrip is the time in seconds to the zone and back, less that to the home zone.
	roundTrip float64
	loss      float64
	lossAt    time.Time
	// best, spare, pathCost and mayEnter are scratch space of Pool.chooseByEstimate.
	best, spare, pathCost float64
	mayEnter              bool
}

// findZone returns the state of a zone, which is kept while the pool exists.
func (p *Pool) findZone(name rollout.Zone) *zone {
	for _, z := range p.zones {
		if z.name == name {
			return z
		}
	}
	z := &zone{name: name}
	if name != p.config.Zone {
		z.roundTrip = assumedRoundTrip
	}
	p.zones = append(p.zones, z)
	return z
}

// measureRoundTrips computes the round trips to the zones from the shortest recent times to
// answer: those of the home zone contain the time of work only. Without a server there,
// round trips are relative to those of the nearest zone.
func (p *Pool) measureRoundTrips() {
	for _, s := range p.servers {
		s.zone.best = math.Inf(1)
	}
	for _, s := range p.servers {
		for _, t := range s.load.shortest {
			if t > 0 && t < s.zone.best {
				s.zone.best, s.zone.shortest = t, t
			}
		}
	}
	base := 0.0
	for _, z := range p.zones {
		if z.name == p.config.Zone && z.shortest > 0 {
			base = z.shortest
			break
		}
		if z.shortest > 0 && (base == 0 || z.shortest < base) {
			base = z.shortest
		}
	}
	for _, z := range p.zones {
		if z.shortest > 0 && z.name != p.config.Zone {
			z.roundTrip = max(0, z.shortest-base)
		}
	}
}

// recordLoss records whether a request to a server of the zone failed.
func (z *zone) recordLoss(now time.Time, failed bool) {
	if now.Sub(z.lossAt) >= lossMaxAge {
		z.loss = 0
	}
	loss := 0.0
	if failed {
		loss = 1
	}
	z.loss += lossWeight * (loss - z.loss)
	z.lossAt = now
}

// view returns the zone as seen by the decision about leaving the home zone.
func (p *Pool) view(now time.Time, z *zone) spill.Zone {
	v := spill.Zone{Name: z.name, Seconds: z.best, RoundTrip: z.roundTrip, Loss: z.loss * worth(now.Sub(z.lossAt), lossMaxAge), Spare: z.spare}
	if z.name != p.config.Zone {
		v.Price = p.config.BytePrice * p.meanBytes
	}
	return v
}

// chooseByEstimate returns the server at which the request is probably complete first. It
// is in another zone only if no server of the home zone can take the request, or if it is
// one of the requests that may leave.
func (p *Pool) chooseByEstimate(now time.Time, eligible []*server) *server {
	p.refresh(now)
	home := p.findZone(p.config.Zone)
	for _, z := range p.zones {
		z.best, z.spare, z.mayEnter = math.Inf(1), 0, false
	}
	decide := now.Sub(p.spillAt) >= spillInterval
	for _, s := range eligible {
		s.load.estimate = p.estimateSeconds(now, s)
		s.zone.best = min(s.zone.best, s.load.estimate)
		if decide {
			s.zone.spare += p.spare(now, s)
		}
	}
	homeServes := !math.IsInf(home.best, 1)
	p.unserved = !homeServes
	if decide && homeServes {
		p.spillAt = now
		p.others = p.others[:0]
		for _, z := range p.zones {
			if z != home && !math.IsInf(z.best, 1) {
				p.others = append(p.others, p.view(now, z))
			}
		}
		p.spill.Update(now, p.view(now, home), p.others, p.demand.rate)
	}
	leaves := homeServes && p.spill.MayLeave() && p.leavingGains(now, home)
	for _, z := range p.zones {
		z.mayEnter = !homeServes || leaves != (z == home)
		z.pathCost = p.view(now, z).PathCost()
	}
	return p.soonest(eligible)
}

// leavingGains reports whether a request that leaves the home zone is complete sooner.
func (p *Pool) leavingGains(now time.Time, home *zone) bool {
	best := math.Inf(1)
	for _, z := range p.zones {
		if z != home {
			best = min(best, p.view(now, z).Cost())
		}
	}
	return spill.Gains(p.view(now, home).Cost(), best)
}

// soonest returns the server with the shortest estimate in the zones that the request may
// enter, or one with a similar estimate. It overwrites the slice.
func (p *Pool) soonest(eligible []*server) *server {
	shortest := math.Inf(1)
	for _, s := range eligible {
		if s.zone.mayEnter {
			s.load.estimate += s.zone.pathCost
			shortest = min(shortest, s.load.estimate)
		}
	}
	similar := eligible[:0]
	for _, s := range eligible {
		if s.zone.mayEnter && s.load.estimate <= similarEstimates*shortest {
			similar = append(similar, s)
		}
	}
	p.rotation++
	return similar[p.rotation%len(similar)]
}

// demand counts the requests of the classes that may leave the zone.
type demand struct {
	since time.Time
	count int
	// rate is the number of requests a second in the last period.
	rate float64
}

// demandPeriod is the minimum period over which the demand is measured.
const demandPeriod = time.Second

func (d *demand) add(now time.Time) {
	if elapsed := now.Sub(d.since); elapsed >= demandPeriod {
		d.rate = float64(d.count) / elapsed.Seconds()
		d.count, d.since = 0, now
	}
	d.count++
}

// recordSent records a request whose server was chosen by the estimate.
func (p *Pool) recordSent(now time.Time, s *server, bytes int) {
	p.demand.add(now)
	p.meanBytes += bytesWeight * (float64(bytes) - p.meanBytes)
	left := s.zone.name != p.config.Zone
	p.spill.Sent(left)
	p.report.Sent++
	if left {
		p.report.Left++
	}
	if left && p.unserved {
		p.report.Unserved++
	}
}

// SpillReport says how many requests left the home zone in a period, and why.
type SpillReport struct {
	// Sent counts the requests whose server was chosen by the estimate, Left those of
	// them that left the home zone.
	Sent, Left int
	// Unserved counts those that left because no server of the home zone could take them.
	Unserved int
	// Decision is the latest decision; its zones are a copy.
	Decision spill.Decision
	// DecidedAt is when it was made, StatedAt when a server last stated its load.
	DecidedAt, StatedAt time.Time
}

// TakeSpillReport returns the report of the period since the last call.
func (p *Pool) TakeSpillReport() SpillReport {
	r := p.report
	p.report = SpillReport{}
	r.Decision, r.DecidedAt, r.StatedAt = p.spill.Decision(), p.spillAt, p.statedAt
	r.Decision.To = slices.Clone(r.Decision.To)
	return r
}
