package spill_test

import (
	"math"
	"testing"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/spill"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const interval = 10 * time.Millisecond

// decide updates the controller for some time and returns the share then.
func decide(c *spill.Controller, from time.Time, period time.Duration, home spill.Zone, others []spill.Zone, demand float64) float64 {
	for now := from; now.Before(from.Add(period)); now = now.Add(interval) {
		c.Update(now, home, others, demand)
	}
	return c.Decision().Share
}

// TestLeavingWeighsAllCosts guards against requests that leave though the way costs more
// than the waiting that it saves.
func TestLeavingWeighsAllCosts(t *testing.T) {
	other := spill.Zone{Name: "b", Seconds: 0.025, RoundTrip: 0.011, Spare: 1000}
	for _, c := range []struct {
		name   string
		home   float64
		change func(z *spill.Zone)
		leaves bool
	}{
		{"equal", 0.025, func(*spill.Zone) {}, false},
		{"less than the round trip", 0.035, func(*spill.Zone) {}, false},
		{"much more than the round trip", 0.060, func(*spill.Zone) {}, true},
		{"a near zone", 0.035, func(z *spill.Zone) { z.RoundTrip = 0.002 }, true},
		{"loss", 0.060, func(z *spill.Zone) { z.Loss = 0.1 }, false},
		{"a price", 0.060, func(z *spill.Zone) { z.Price = 0.02 }, false},
		{"no spare capacity", 0.060, func(z *spill.Zone) { z.Spare = 0 }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			z := other
			c.change(&z)
			share := decide(&spill.Controller{}, start, time.Second, spill.Zone{Name: "a", Seconds: c.home}, []spill.Zone{z}, 100)
			assert.Equal(t, "requests leave", share > 0, c.leaves)
		})
	}
}

func TestShareMovesByBoundedSteps(t *testing.T) {
	c := &spill.Controller{}
	others := []spill.Zone{{Name: "b", Seconds: 0.01, RoundTrip: 0.002, Spare: 1000}}
	home, before := spill.Zone{Name: "a", Seconds: 1}, 0.0
	for n := range 200 {
		home.Seconds = float64(1 - n/100)
		c.Update(start.Add(time.Duration(n)*time.Second), home, others, 1)
		share := c.Decision().Share
		assert.AtMost(t, "step", math.Abs(share-before), 0.51)
		if n == 99 {
			assert.True(t, "nearly all may leave", share > 0.99)
		}
		before = share
	}
	assert.Equal(t, "share after the return", before, 0)
}

// TestShareLeavesSpareCapacity guards against a demand that overloads the other zone.
func TestShareLeavesSpareCapacity(t *testing.T) {
	others := []spill.Zone{{Name: "b", Seconds: 0.01, Spare: 60}, {Name: "c", Seconds: 2, Spare: 1000}}
	c := &spill.Controller{}
	share := decide(c, start, 3*time.Second, spill.Zone{Name: "a", Seconds: 1}, others, 300)
	assert.AtMost(t, "requests a second that leave", 300*share, 75)
	assert.True(t, "most of the capacity is used", 300*share > 40)
	assert.Equal(t, "zones", c.Decision().To, []rollout.Zone{"b"})
}

func TestSmallGainKeepsNothingAway(t *testing.T) {
	c := &spill.Controller{}
	others := []spill.Zone{{Name: "b", Seconds: 0.01, RoundTrip: 0.002, Spare: 1000}}
	decide(c, start, time.Second, spill.Zone{Name: "a", Seconds: 0.1}, others, 10)
	assert.True(t, "all may leave", c.Decision().Share > 0.99)
	share := decide(c, start.Add(time.Second), 2*time.Second, spill.Zone{Name: "a", Seconds: 0.013}, others, 10)
	assert.Equal(t, "share after the gain became small", share, 0)
}

func TestMayLeaveKeepsTheShare(t *testing.T) {
	c := &spill.Controller{}
	others := []spill.Zone{{Name: "b", Seconds: 0.01, Spare: 1000}}
	for c.Decision().Share < 0.25 {
		c.Update(start.Add(time.Duration(len(others))*interval), spill.Zone{Name: "a", Seconds: 1}, others, 1)
		others = append(others, others[0])
	}
	share, left := c.Decision().Share, 0
	for range 1000 {
		leaves := c.MayLeave()
		c.Sent(leaves)
		if leaves {
			left++
		}
	}
	assert.AtMost(t, "requests that left beyond the share", math.Abs(float64(left)-1000*share), 2)
}
