// Package spill decides which share of a VM's requests to a service leaves the VM's
// availability zone, and to which zones. Each VM decides alone, from what it observes.
//
// The share moves by bounded steps and with hysteresis: VMs that see the same condition at
// the same time neither overload a neighbor zone at once nor move back and forth.
package spill

import (
	"math"
	"time"

	"lagoonlink.org/rollout"
)

// Parameters of the share.
const (
	// minGain is the smallest gain, in seconds, for which requests leave, and
	// minGainShare the smallest one as a share of the cost in the home zone.
	minGain      = 0.002
	minGainShare = 0.2
	// riseRate is how fast the share rises, per second. A server's machine is slowed for
	// some hundred milliseconds at a time, so a slower reaction is too late.
	riseRate = 10.0
	// fallRate is how fast the share falls, per second, when leaving brings no gain. It is
	// lower, because a request that may leave stays if the home zone is the better one at
	// that moment.
	fallRate = 1.0
	// maxElapsed limits the time that counts between two updates, so that the share of a
	// VM with few requests moves by at most maxElapsed x riseRate with each of them.
	maxElapsed = 50 * time.Millisecond
	// forgetAfter is the time without updates after which all requests stay again.
	forgetAfter = 30 * time.Second
	// maxShare leaves some requests in the home zone, which show when it recovers. They
	// are fewer than one in a hundred, so that they don't decide the 99th percentile.
	maxShare = 0.995
	// spareAveragingTime is the time constant in seconds of the average spare capacity. The
	// share rises only while the requests that leave take less than maxSpareShare of it.
	spareAveragingTime = 0.5
	maxSpareShare      = 0.8
	// lossSeconds is the cost, in seconds, of a request that fails: about the time of a
	// lost packet's retransmission.
	lossSeconds = 0.3
)

// Zone is the state of a zone as a VM knows it.
type Zone struct {
	Name rollout.Zone
	// Seconds is the estimated time until a request to its best server would be
	// complete, without the way there.
	Seconds float64
	// RoundTrip is the time in seconds to the zone and back, less that to a server of
	// the home zone.
	RoundTrip float64
	// Loss is the share of recent requests that failed.
	Loss float64
	// Price is the price of sending a request there, in seconds.
	Price float64
	// Spare is the number of further requests a second that its servers could run.
	Spare float64
}

// Cost returns the cost of a request to the zone in seconds.
func (z Zone) Cost() float64 { return z.Seconds + z.PathCost() }

// PathCost returns the part of the cost that does not depend on the zone's servers.
func (z Zone) PathCost() float64 { return z.RoundTrip + lossSeconds*z.Loss + z.Price }

// Gains reports whether leaving gains enough, given the costs in the home zone and elsewhere.
func Gains(home, other float64) bool {
	return home-other > max(minGain, minGainShare*home)
}

// Decision is what may leave the home zone, and why.
type Decision struct {
	// Share is the share of requests that may leave, To the zones to which they may go.
	Share float64
	To    []rollout.Zone
	// Home and Other are the home zone and the other zone of the lowest cost.
	Home, Other Zone
	// Demand is the VM's recent demand in requests a second.
	Demand float64
}

// Controller holds the share of a service's requests that may leave the home zone.
type Controller struct {
	decision  Decision
	updatedAt time.Time
	// spare is the average spare capacity of the zones to which requests may leave, in
	// requests a second.
	spare      float64
	spareKnown bool
	// credit is the share of a request that may leave and has not left.
	credit float64
}

// Update decides again from the present costs and the VM's demand in requests a second.
func (c *Controller) Update(now time.Time, home Zone, others []Zone, demand float64) {
	d := &c.decision
	elapsed := min(now.Sub(c.updatedAt), maxElapsed).Seconds()
	if now.Sub(c.updatedAt) > forgetAfter {
		d.Share = 0
	}
	c.updatedAt = now
	d.Home, d.Demand, d.To = home, demand, d.To[:0]
	best, spare := math.Inf(1), 0.0
	for _, z := range others {
		cost := z.Cost()
		if cost < best {
			best, d.Other = cost, z
		}
		if cost < home.Cost() {
			d.To = append(d.To, z.Name)
			spare += z.Spare
		}
	}
	c.averageSpare(spare, elapsed)
	leaving := d.Share * demand
	switch {
	case !Gains(home.Cost(), best) || leaving > c.spare:
		d.Share -= fallRate * elapsed
	case leaving < maxSpareShare*c.spare:
		d.Share += riseRate * elapsed
	}
	d.Share = max(0, min(d.Share, maxShare))
}

// averageSpare averages the spare capacity of the zones to which requests may leave, because
// a server without a free slot has one a moment later.
func (c *Controller) averageSpare(spare, elapsed float64) {
	if !c.spareKnown {
		c.spare, c.spareKnown = spare, true
	}
	c.spare += elapsed / spareAveragingTime * (spare - c.spare)
}

// MayLeave reports whether the next request may leave the home zone.
func (c *Controller) MayLeave() bool { return c.credit+c.decision.Share >= 1 }

// Sent records a request, and whether it left the home zone.
func (c *Controller) Sent(left bool) {
	c.credit += c.decision.Share
	if left {
		c.credit--
	}
	c.credit = max(-1, min(c.credit, 1))
}

// Decision returns the latest decision. Its zones are valid until the next update.
func (c *Controller) Decision() Decision { return c.decision }
