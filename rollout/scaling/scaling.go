// Package scaling decides how many servers of each kind a service should have in each
// zone. It weighs the cost of an idle server against that of a late group of samples.
package scaling

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lagoonlink.org/rollout"
)

// hold is the time for which a server is kept for work that may come. At price 1 it costs
// 0.2 in that time (0.0059 a second), a twentieth of the 4 that a late group of samples costs,
// on the scale of the deployments that this was made for.
const hold = 34 * time.Second

// Rules of the decision.
const (
	// baseShare is the part of the wanted servers that can't be reclaimed. If all
	// reclaimable servers of one of three zones are taken, five sixths are left.
	baseShare = 0.5
	// priceSpread is how much more than the cheapest zone a zone may cost to get servers
	// before the cheaper zones are full.
	priceSpread = 1.5
	// targetLoad is the share of the slots that the work may take, because samples differ
	// in length.
	targetLoad = 0.85
	// refusedFor is how long a kind of servers counts as not available in a zone after a
	// refused order. They are missing for about 10 s after a zone was reclaimed.
	refusedFor = 5 * time.Second
	// bootSlack is added to the boot time before missing servers are ordered again:
	// registrations are seen up to 2 s late.
	bootSlack = 3 * time.Second
	// minLeft is the shortest time for which work that is due or overdue is planned.
	minLeft = time.Second
	// maxOverdue is how long work counts after it was due.
	maxOverdue = 30 * time.Second
)

// Kind is the servers of one kind in a zone.
type Kind struct {
	Zone        rollout.Zone
	Reclaimable bool
}

// Work is the open samples of one job.
type Work struct {
	Samples int
	Due     time.Time
}

// Input is what is known of a service at a time.
type Input struct {
	Scaling rollout.Scaling
	// Zones are the zones in which servers may be ordered.
	Zones []rollout.Zone
	// Slots is the number of requests that one server runs at once.
	Slots int
	// Present counts the servers that are registered and not leaving.
	Present map[Kind]int
	// Work holds the open samples of each job.
	Work []Work
	// Results counts the samples that got a result so far.
	Results int
	// Load is the load of plain requests: their rate times their duration.
	Load float64
}

// Order states how many servers of a kind are wanted.
type Order struct {
	Kind
	Count int
}

// peak is a wanted number and when it was last wanted.
type peak struct {
	count int
	at    time.Time
}

// order is the last order of a kind.
type order struct {
	count   int
	at      time.Time
	refused time.Time
}

// Planner decides for one service.
type Planner struct {
	startedAt time.Time
	// took is the mean time of a sample in a slot, or 0 if none is known.
	took time.Duration
	// last is the time of the last decision, running the number of busy slots then.
	last    time.Time
	running float64
	// busy is the time in slots since countedAt, in seconds, results the number of results
	// at that time.
	countedAt time.Time
	results   int
	busy      float64
	// target is the number of servers that the service should have, 0 before the first decision.
	target int
	// peaks holds the highest demand of the time for which servers are kept, newest last.
	peaks  []peak
	orders map[Kind]order
}

// NewPlanner returns a Planner that knows no earlier orders. It reduces nothing until it
// has seen the work for as long as servers are kept.
func NewPlanner(now time.Time) *Planner {
	return &Planner{startedAt: now, orders: map[Kind]order{}}
}

// Constants of the estimate of a sample's time.
const (
	// defaultTook is assumed until samples have ended.
	defaultTook = 2 * time.Second
	// minTook and maxTook bound the estimate: one observation may be far off when few
	// samples end.
	minTook = 50 * time.Millisecond
	maxTook = 30 * time.Second
	// minObserved is the shortest time over which results are counted, and tookWeight the
	// weight of one second of it in the moving average.
	minObserved = 5 * time.Second
	tookWeight  = 0.03
)

// Took returns the estimated time of a sample in a slot.
func (p *Planner) Took() time.Duration {
	if p.took == 0 {
		return defaultTook
	}
	return p.took
}

// slotsOf returns the number of slots of the servers that are present.
func (in *Input) slotsOf() int {
	n := 0
	for _, count := range in.Present {
		n += count * in.Slots
	}
	return n
}

// observe updates the estimate: slots that were busy for some time produced the results.
func (p *Planner) observe(now time.Time, in Input) {
	open := 0
	for _, w := range in.Work {
		open += w.Samples
	}
	if !p.last.IsZero() {
		p.busy += p.running * max(0, now.Sub(p.last).Seconds())
	}
	p.last, p.running = now, float64(min(in.slotsOf(), open))
	if p.countedAt.IsZero() || in.Results < p.results {
		// Results of old jobs are dropped.
		p.busy = 0
		p.countedAt, p.results = now, in.Results
	}
	elapsed, done := now.Sub(p.countedAt).Seconds(), in.Results-p.results
	if elapsed < minObserved.Seconds() || done <= 0 {
		return
	}
	took := p.busy / float64(done) * float64(time.Second)
	weight := min(1, tookWeight*elapsed)
	if p.took == 0 {
		weight = 1
	}
	p.took += time.Duration(weight * (took - float64(p.took)))
	p.took = min(max(p.took, minTook), maxTook)
	p.countedAt, p.results, p.busy = now, in.Results, 0
}

// Needed returns the number of slots that complete all work in time.
func (p *Planner) Needed(now time.Time, in Input) float64 {
	work := slices.Clone(in.Work)
	slices.SortFunc(work, func(a, b Work) int { return a.Due.Compare(b.Due) })
	total, needed, have := 0.0, 0.0, float64(in.slotsOf())
	for _, w := range work {
		if now.Sub(w.Due) > maxOverdue {
			continue
		}
		total += float64(w.Samples) * p.Took().Seconds()
		left := max(w.Due.Sub(now), minLeft, p.Took()).Seconds()
		n := total / left
		if boot := in.Scaling.Boot.Seconds(); n > have && left > boot+p.Took().Seconds() {
			// New servers have to make up for what is not done while they boot.
			n = max(n, (total-have*boot)/(left-boot))
		}
		needed = max(needed, n)
	}
	needed /= targetLoad
	if in.Load > 0 {
		// The square root covers the variation of independent requests.
		needed += in.Load + math.Sqrt(in.Load)
	}
	return needed
}

// Concurrent returns the number of slots in which all open samples run at once, none of which
// then waits for another. A step ends with its longest samples, which may take nearly all the
// time until it is due.
func (p *Planner) Concurrent(now time.Time, in Input) float64 {
	open := 0
	for _, w := range in.Work {
		if now.Sub(w.Due) <= maxOverdue {
			open += w.Samples
		}
	}
	return float64(open) / targetLoad
}

// Decide returns the orders to send now. Servers are added when the work can't be done in
// time, and given up only when the others could run all of it at once for as long as a server
// is kept. In between the number stays, and lost servers are replaced.
func (p *Planner) Decide(now time.Time, in Input) []Order {
	p.observe(now, in)
	slots := float64(max(1, in.Slots))
	needed := int(math.Ceil(p.Needed(now, in) / slots))
	demand := max(needed, int(math.Ceil(p.Concurrent(now, in)/slots)))
	if p.target == 0 {
		for _, n := range in.Present {
			p.target += n
		}
	}
	held := p.highest(now, demand)
	if now.Sub(p.startedAt) < hold {
		held = max(held, p.target)
	}
	p.target = min(max(p.target, needed), held)
	p.target = min(max(p.target, in.Scaling.Min*len(in.Zones)), in.Scaling.Max*len(in.Zones))
	wanted := p.spread(now, in)
	var out []Order
	for _, zone := range in.Zones {
		for _, reclaimable := range []bool{false, true} {
			k := Kind{zone, reclaimable}
			if o, ok := p.decideKind(now, in, k, wanted[k]); ok {
				out = append(out, o)
			}
		}
	}
	return out
}

// decideKind returns the order for a kind of which a number is wanted, if one is due.
func (p *Planner) decideKind(now time.Time, in Input, k Kind, count int) (Order, bool) {
	last, known := p.orders[k]
	if !known {
		last.count = in.Present[k]
	}
	settled := p.settled(now, in, last)
	switch {
	case now.Sub(last.refused) < refusedFor && count >= last.count:
		return Order{}, false
	case count != last.count:
	case in.Present[k] == count || !settled:
		return Order{}, false
	}
	return Order{k, count}, true
}

// highest returns the highest demand of the time for which a server is kept.
func (p *Planner) highest(now time.Time, demand int) int {
	list := slices.DeleteFunc(p.peaks, func(q peak) bool { return q.count <= demand || now.Sub(q.at) > hold })
	p.peaks = append(list, peak{demand, now})
	return p.peaks[0].count
}

// assumed returns the number of servers of a kind that are present or may be booting.
func (p *Planner) assumed(now time.Time, in Input, k Kind) int {
	if last, known := p.orders[k]; known && !p.settled(now, in, last) {
		return last.count
	}
	return in.Present[k]
}

// settled reports whether the servers of an order must be registered by now.
func (p *Planner) settled(now time.Time, in Input, o order) bool {
	return now.Sub(o.at) > in.Scaling.Boot+bootSlack
}

// price returns the price of a server of a kind.
func (in *Input) price(k Kind) float64 {
	price, ok := in.Scaling.ZonePrices[k.Zone]
	if !ok {
		price = 1
	}
	if k.Reclaimable {
		price *= in.Scaling.SpotPrice
	}
	return price
}

// spread distributes the wanted servers over zones and kinds. Servers that exist stay where
// they are, unless there are too many.
func (p *Planner) spread(now time.Time, in Input) map[Kind]int {
	out := map[Kind]int{}
	zones := slices.Clone(in.Zones)
	slices.SortStableFunc(zones, func(a, b rollout.Zone) int {
		return cmp.Compare(in.price(Kind{Zone: a}), in.price(Kind{Zone: b}))
	})
	base, total := 0, 0
	for _, z := range zones {
		k, cheap := Kind{z, false}, Kind{z, true}
		out[k], out[cheap] = max(p.assumed(now, in, k), in.Scaling.Min), p.assumed(now, in, cheap)
		base += out[k]
		total += out[k] + out[cheap]
	}
	reclaimable := in.Scaling.SpotPrice > 0 && in.Scaling.SpotPrice < 1
	for ; total < p.target; total++ {
		burst := reclaimable && float64(base) >= baseShare*float64(total+1)
		if !burst || !p.place(now, in, zones, out, true) {
			if !p.place(now, in, zones, out, false) && (!reclaimable || !p.place(now, in, zones, out, true)) {
				break
			}
			base++
		}
	}
	slices.Reverse(zones)
	for ; total > p.target; total-- {
		surplus := float64(base-1) >= baseShare*float64(total-1)
		switch {
		case surplus && remove(in, zones, out, false):
			base--
		case remove(in, zones, out, true):
		case remove(in, zones, out, false):
			base--
		default:
			return out
		}
	}
	return out
}

// remove takes a server of a kind from the first zone that has one to spare, and reports
// whether there was one.
func remove(in Input, zones []rollout.Zone, out map[Kind]int, reclaimable bool) bool {
	for _, z := range zones {
		k := Kind{z, reclaimable}
		if reclaimable && out[k] > 0 || !reclaimable && out[k] > in.Scaling.Min {
			out[k]--
			return true
		}
	}
	return false
}

// place adds a server of a kind in the zone that has fewest of it, among those that have
// room, do not cost much more than the cheapest of these, and did not refuse it recently.
func (p *Planner) place(now time.Time, in Input, zones []rollout.Zone, out map[Kind]int, reclaimable bool) bool {
	best, cheapest := Kind{}, 0.0
	for _, z := range zones {
		k := Kind{z, reclaimable}
		room := out[Kind{z, false}]+out[Kind{z, true}] < in.Scaling.Max
		refused := now.Sub(p.orders[k].refused) < refusedFor && out[k] >= in.Present[k]
		if !room || refused {
			continue
		}
		switch price := in.price(k); {
		case best.Zone == "":
			best, cheapest = k, price
		case price <= cheapest*priceSpread && out[k] < out[best]:
			best = k
		}
	}
	if best.Zone == "" {
		return false
	}
	out[best]++
	return true
}

// Sent records an order and whether the platform accepted it. An order without a response
// counts as refused, so that it is repeated.
func (p *Planner) Sent(now time.Time, o Order, present int, accepted bool) {
	if accepted {
		p.orders[o.Kind] = order{count: o.Count, at: now}
		return
	}
	last, known := p.orders[o.Kind]
	if !known {
		last.count = present
	}
	last.refused = now
	p.orders[o.Kind] = last
}
