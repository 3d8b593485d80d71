package scaling_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/scaling"
)

const (
	step     = 250 * time.Millisecond
	slots    = 8
	took     = 2 * time.Second
	jobEvery = 4 * time.Second
	jobDue   = 7500 * time.Millisecond
	// groupValue and serverCost are per group in time and per second of a server at price 1.
	groupValue, groupSize = 4.0, 4.0
	serverCost            = 0.0059
)

var zones = []rollout.Zone{"z1", "z2", "z3"}

// load describes a run.
type load struct {
	length time.Duration
	// samples returns the size of the job that is submitted at a time.
	samples func(at time.Duration) int
	// scaling returns the prices at a time.
	scaling func(at time.Duration) rollout.Scaling
	// reclaimAt is when zone z1 is reclaimed, 0 for never.
	reclaimAt time.Duration
	// none reports whether no server of a kind is available at a time.
	none func(at time.Duration, reclaimable bool) bool
}

// sample is a sample that is in a slot until end.
type sample struct{ end, due time.Duration }

type server struct {
	scaling.Kind
	ready   time.Duration
	samples []sample
}

// dues returns when the server's samples are due. They start again elsewhere.
func (s *server) dues() (out []time.Duration) {
	for _, q := range s.samples {
		out = append(out, q.due)
	}
	return out
}

// policy returns the orders for an input. busy is the number of busy slots.
type policy func(at time.Duration, in scaling.Input, busy int, p *scaling.Planner) []scaling.Order

func asTheyAre(time.Duration, scaling.Input, int, *scaling.Planner) []scaling.Order { return nil }

func planned(at time.Duration, in scaling.Input, _ int, p *scaling.Planner) []scaling.Order {
	return p.Decide(time.Unix(0, int64(at)), in)
}

// utilisation keeps 70 % of the slots of servers that can't be reclaimed busy.
func utilisation(_ time.Duration, in scaling.Input, busy int, _ *scaling.Planner) (out []scaling.Order) {
	wanted := max(1, int(math.Ceil(float64(busy)/0.7/slots)))
	for i, z := range zones {
		n := min(in.Scaling.Max, max(in.Scaling.Min, (wanted+len(zones)-1-i)/len(zones)))
		if k := (scaling.Kind{Zone: z}); in.Present[k] != n {
			out = append(out, scaling.Order{Kind: k, Count: n})
		}
	}
	return out
}

// outcome is the result of a run.
type outcome struct {
	value, cost    float64
	groups, inTime float64
	orders         int
}

// run plays a load with a policy, starting with one server in each zone.
func run(l load, decide policy) (o outcome) {
	var servers []*server
	var queue []time.Duration // times at which samples are due, in order
	for _, z := range zones {
		servers = append(servers, &server{Kind: scaling.Kind{Zone: z}})
	}
	p := scaling.NewPlanner(time.Unix(0, 0))
	results := 0
	var unavailable time.Duration
	for at := time.Duration(0); at < l.length; at += step {
		spec := l.scaling(at)
		if at%jobEvery == 0 {
			n := l.samples(at)
			queue = append(queue, slices.Repeat([]time.Duration{at + jobDue}, n)...)
			o.groups += float64(n) / groupSize
		}
		busy := 0
		servers = slices.DeleteFunc(servers, func(s *server) bool {
			if l.reclaimAt == 0 || at != l.reclaimAt || !s.Reclaimable || s.Zone != "z1" {
				return false
			}
			queue = append(s.dues(), queue...)
			return true
		})
		if l.reclaimAt > 0 && at == l.reclaimAt {
			unavailable = at + 10*time.Second
		}
		in := scaling.Input{Scaling: spec, Zones: zones, Slots: slots, Present: map[scaling.Kind]int{}}
		for _, s := range servers {
			price := spec.ZonePrices[s.Zone]
			if s.Reclaimable {
				price *= spec.SpotPrice
			}
			o.cost += serverCost * price * step.Seconds()
			if s.ready > at {
				continue
			}
			in.Present[s.Kind]++
			s.samples = slices.DeleteFunc(s.samples, func(q sample) bool {
				if q.end <= at {
					results++
				}
				if q.end <= at && at <= q.due {
					o.inTime += 1 / groupSize
				}
				return q.end <= at
			})
			for len(s.samples) < slots && len(queue) > 0 {
				s.samples, queue = append(s.samples, sample{at + took, queue[0]}), queue[1:]
			}
			busy += len(s.samples)
		}
		open := map[time.Duration]int{}
		for _, due := range queue {
			open[due]++
		}
		for _, s := range servers {
			for _, due := range s.dues() {
				open[due]++
			}
		}
		for due, n := range open {
			in.Work = append(in.Work, scaling.Work{Samples: n, Due: time.Unix(0, int64(due))})
		}
		in.Results = results
		for _, order := range decide(at, in, busy, p) {
			o.orders++
			have := 0
			for _, s := range servers {
				if s.Kind == order.Kind {
					have++
				}
			}
			none := order.Reclaimable && at < unavailable || l.none != nil && l.none(at, order.Reclaimable)
			p.Sent(time.Unix(0, int64(at)), order, in.Present[order.Kind], order.Count <= have || !none)
			for ; have < order.Count && !none; have++ {
				servers = append(servers, &server{Kind: order.Kind, ready: at + spec.Boot})
			}
			for ; have > order.Count; have-- {
				i := slices.IndexFunc(servers, func(s *server) bool { return s.Kind == order.Kind })
				queue = append(servers[i].dues(), queue...)
				servers = slices.Delete(servers, i, i+1)
			}
		}
	}
	o.value = groupValue*o.inTime - o.cost
	return o
}

func constant(spot float64, prices ...float64) func(time.Duration) rollout.Scaling {
	s := rollout.Scaling{Min: 1, Max: 6, Boot: 4 * time.Second, SpotPrice: spot, ZonePrices: map[rollout.Zone]float64{}}
	for i, z := range zones {
		s.ZonePrices[z] = prices[i]
	}
	return func(time.Duration) rollout.Scaling { return s }
}

// The value of a run counts groups in time and the cost of servers. The planner must be
// worth more than servers as they are, and not less than a fixed utilisation.
func TestLoads(t *testing.T) {
	steady := func(time.Duration) int { return 48 }
	for name, l := range map[string]load{
		"a step's burst": {length: 2 * time.Minute, scaling: constant(0.4, 1, 1, 1), samples: func(at time.Duration) int {
			if at >= 40*time.Second && at < 80*time.Second {
				return 160
			}
			return 24
		}},
		"a reclaimed zone": {length: 2 * time.Minute, scaling: constant(0.4, 1, 1, 1), reclaimAt: time.Minute, samples: func(time.Duration) int { return 120 }},
		"nothing to be had": {length: 2 * time.Minute, scaling: constant(0.4, 1, 1, 1), samples: func(time.Duration) int { return 120 }, none: func(at time.Duration, _ bool) bool {
			return at < 30*time.Second
		}},
		"a day's wave": {length: 4 * time.Minute, scaling: constant(0.4, 1, 1.2, 0.9), samples: func(at time.Duration) int {
			return int(80 - 72*math.Cos(2*math.Pi*at.Minutes()/4))
		}},
		"a price that changes": {length: 4 * time.Minute, samples: func(time.Duration) int { return 120 }, scaling: func(at time.Duration) rollout.Scaling {
			if at < 2*time.Minute {
				return constant(0.4, 1, 1, 3)(at)
			}
			return constant(1.1, 3, 1, 1)(at)
		}},
		"little to do": {length: 2 * time.Minute, scaling: constant(0.4, 1, 1, 1), samples: steady},
	} {
		t.Run(name, func(t *testing.T) {
			own, fixed, target := run(l, planned), run(l, asTheyAre), run(l, utilisation)
			for what, o := range map[string]outcome{"planned": own, "as they are": fixed, "utilisation": target} {
				t.Log(fmt.Sprintf("%-12s value %.1f, in time %.3f, cost %.2f, orders %d", what, o.value, o.inTime/o.groups, o.cost, o.orders))
			}
			assert.True(t, "worth as much as the servers as they are", own.value >= 0.98*fixed.value)
			assert.True(t, "worth as much as a fixed utilisation", own.value >= 0.98*target.value)
			assert.AtMost(t, "orders", own.orders, 100)
		})
	}
}
