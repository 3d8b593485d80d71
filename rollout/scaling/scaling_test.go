package scaling_test

import (
	"math"
	"testing"
	"time"

	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/scaling"
)

// now returns a time some seconds after the start.
func now(seconds float64) time.Time {
	return time.Unix(0, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// input has one server in each zone and a job of some samples that is due 7.5 s later.
func input(at time.Time, spot float64, samples int) scaling.Input {
	in := scaling.Input{Scaling: constant(spot, 1, 1, 1)(0), Zones: zones, Slots: slots, Present: map[scaling.Kind]int{}}
	for _, z := range zones {
		in.Present[scaling.Kind{Zone: z}] = 1
	}
	if samples > 0 {
		in.Work = []scaling.Work{{Samples: samples, Due: at.Add(jobDue)}}
	}
	return in
}

// accept applies orders as if their servers served at once.
func accept(p *scaling.Planner, at time.Time, in scaling.Input, orders []scaling.Order) {
	for _, o := range orders {
		p.Sent(at, o, in.Present[o.Kind], true)
		in.Present[o.Kind] = o.Count
	}
}

// count returns the servers of both kinds, and of zone z1.
func count(in scaling.Input) (base, reclaimable, z1 int) {
	for k, n := range in.Present {
		if k.Reclaimable {
			reclaimable += n
		} else {
			base += n
		}
		if k.Zone == "z1" {
			z1 += n
		}
	}
	return base, reclaimable, z1
}

// A zone whose reclaimable servers are all taken must not stop a step.
func TestKinds(t *testing.T) {
	for name, c := range map[string]struct {
		spot  float64
		cheap bool
	}{
		"cheap reclaimable servers": {0.4, true}, "expensive ones": {1.1, false}, "none offered": {0, false},
	} {
		t.Run(name, func(t *testing.T) {
			p, in := scaling.NewPlanner(now(0)), input(now(0), c.spot, 400)
			accept(p, now(0), in, p.Decide(now(0), in))
			base, reclaimable, z1 := count(in)
			assert.True(t, "at least half can't be reclaimed", base >= reclaimable)
			assert.Equal(t, "reclaimable servers are used", reclaimable > 0, c.cheap)
			assert.AtMost(t, "servers of a zone", z1, in.Scaling.Max)
		})
	}
}

// A lull between two steps must change nothing, and a long one must reach the minimum.
func TestLull(t *testing.T) {
	p, in := scaling.NewPlanner(now(0)), input(now(0), 0.4, 200)
	accept(p, now(0), in, p.Decide(now(0), in))
	base, reclaimable, _ := count(in)
	in.Work = nil
	for at := 1.0; at < 30; at++ {
		assert.Equal(t, "orders in a lull", len(p.Decide(now(at), in)), 0)
	}
	for at := 30.0; at < 200; at++ {
		accept(p, now(at), in, p.Decide(now(at), in))
	}
	assert.True(t, "there was a burst", base+reclaimable > 3)
	base, reclaimable, _ = count(in)
	assert.Equal(t, "servers", []int{base, reclaimable}, []int{3, 0})
}

// A new holder of the duty does not know the work of the last half minute, so it must not
// reduce anything at once.
func TestNewHolder(t *testing.T) {
	p, in := scaling.NewPlanner(now(0)), input(now(0), 0.4, 0)
	in.Present[scaling.Kind{Zone: "z1"}] = 4
	assert.Equal(t, "orders at once", len(p.Decide(now(1), in)), 0)
	assert.Equal(t, "orders later", p.Decide(now(40), in), []scaling.Order{{Kind: scaling.Kind{Zone: "z1"}, Count: 1}})
}

// Servers that were refused must be ordered elsewhere meanwhile, and again later.
func TestRefused(t *testing.T) {
	p, in := scaling.NewPlanner(now(0)), input(now(0), 0.4, 200)
	for _, o := range p.Decide(now(0), in) {
		p.Sent(now(0), o, in.Present[o.Kind], !o.Reclaimable)
		if !o.Reclaimable {
			in.Present[o.Kind] = o.Count
		}
	}
	before, _, _ := count(in)
	in.Work[0].Due = now(1).Add(jobDue)
	orders := p.Decide(now(1), in)
	for _, o := range orders {
		assert.True(t, "no order of the refused kind", !o.Reclaimable)
	}
	accept(p, now(1), in, orders)
	after, _, _ := count(in)
	assert.True(t, "others replace them", after > before)
	again := false
	for _, o := range p.Decide(now(6), in) {
		again = again || o.Reclaimable
	}
	assert.True(t, "ordered again", again)
}

// Reclaimed servers must be ordered again although the wanted number is the same.
func TestReclaimed(t *testing.T) {
	p, in := scaling.NewPlanner(now(0)), input(now(0), 0.4, 200)
	accept(p, now(0), in, p.Decide(now(0), in))
	k := scaling.Kind{Zone: "z1", Reclaimable: true}
	wanted := in.Present[k]
	assert.True(t, "there are some", wanted > 0)
	in.Present[k] = 0
	in.Work[0].Due = now(3).Add(jobDue)
	for _, o := range p.Decide(now(3), in) {
		assert.True(t, "not while they may be booting", o.Kind != k)
	}
	found := 0
	in.Work[0].Due = now(8).Add(jobDue)
	for _, o := range p.Decide(now(8), in) {
		if o.Kind == k {
			found = o.Count
		}
	}
	assert.Equal(t, "ordered again", found, wanted)
}

// Servers that the steps fill at once must be kept although the work would be done in time
// with fewer: samples that wait for others make a step late. Lost ones must be replaced.
func TestSlackIsKept(t *testing.T) {
	p, in := scaling.NewPlanner(now(0)), input(now(0), 0.4, 0)
	in.Scaling.Max = 24
	for _, z := range zones {
		in.Present[scaling.Kind{Zone: z}] = 15
	}
	orders := 0
	for at := 0.0; at < 120; at += 0.5 {
		// Four jobs each 4 s, whose samples end evenly within 3 s.
		open := 600 * max(0, 1-math.Mod(at, 4)/3)
		in.Work = []scaling.Work{{Samples: int(open), Due: now(at).Add(jobDue)}}
		in.Results += 75
		made := p.Decide(now(at), in)
		orders += len(made)
		accept(p, now(at), in, made)
	}
	assert.Equal(t, "orders", orders, 0)
	k := scaling.Kind{Zone: "z1"}
	in.Present[k] = 4
	for at := 120.0; at < 124; at += 0.5 {
		accept(p, now(at), in, p.Decide(now(at), in))
	}
	base, reclaimable, _ := count(in)
	assert.Equal(t, "servers after a loss", base+reclaimable, 45)
}

// Plain requests are planned by their load.
func TestPlainLoad(t *testing.T) {
	p, in := scaling.NewPlanner(now(0)), input(now(0), 0.4, 0)
	in.Load = 100
	assert.Equal(t, "slots", p.Needed(now(0), in), 110)
}
