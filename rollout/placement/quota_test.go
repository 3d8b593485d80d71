package placement_test

import (
	"testing"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/placement"
	"lagoonlink.org/rollout/quota"
)

func TestLimitedServerGetsOneRequestForEachPermit(t *testing.T) {
	p := newPool("a")
	p.SetRateLimit("a", 2)
	r := placement.Requirements{}
	assert.Equal(t, "without a permit", pick(p, start, r), rollout.ServerName(""))
	assert.Equal(t, "booked at", p.StartBookings(start, r, 3), []rollout.ServerName{"a"})
	assert.Equal(t, "booked again meanwhile", len(p.StartBookings(start, r, 3)), 0)
	p.AddPermits("a", []time.Time{start.Add(100 * time.Millisecond)}, start)
	assert.Equal(t, "before the permit's time", pick(p, start, r), rollout.ServerName(""))
	now := start.Add(100 * time.Millisecond)
	assert.Equal(t, "with a permit", pick(p, now, r), rollout.ServerName("a"))
	p.Sent(now, "a", r)
	assert.Equal(t, "after the permit was used", pick(p, now, r), rollout.ServerName(""))
	p.AddPermits("a", []time.Time{now}, now)
	assert.Equal(t, "with an expired permit", pick(p, now.Add(2*quota.PermitValidity), r), rollout.ServerName(""))
	p.SetRateLimit("a", 0)
	assert.Equal(t, "after the limit ended", pick(p, now, r), rollout.ServerName("a"))
}

func TestBookingsCountWhatIsOutstanding(t *testing.T) {
	p := newPool("a", "b", "c", "d")
	for _, s := range []rollout.ServerName{"a", "b", "c"} {
		p.SetRateLimit(s, 2)
	}
	r := placement.Requirements{}
	assert.Equal(t, "bookings for one request", len(p.StartBookings(start, r, 1)), 1)
	assert.Equal(t, "bookings for the same request", len(p.StartBookings(start, r, 1)), 0)
	assert.Equal(t, "bookings for two more", len(p.StartBookings(start, r, 3)), 2)
	for _, s := range []rollout.ServerName{"a", "b", "c"} {
		p.AddPermits(s, nil, start.Add(time.Second))
	}
	assert.Equal(t, "bookings before the next makes sense", len(p.StartBookings(start, r, 3)), 0)
	assert.Equal(t, "bookings then", len(p.StartBookings(start.Add(time.Second), r, 3)), 3)
}

func TestEarliestPermit(t *testing.T) {
	p := newPool("a", "b")
	r := placement.Requirements{}
	p.SetRateLimit("a", 2)
	_, limited := p.EarliestPermit(start, r)
	assert.True(t, "one server has no limit", !limited)
	p.SetRateLimit("b", 2)
	p.AddPermits("a", nil, start.Add(2*time.Second))
	p.AddPermits("b", nil, start.Add(time.Second))
	at, limited := p.EarliestPermit(start, r)
	assert.True(t, "all servers have limits", limited)
	assert.Equal(t, "earliest", at, start.Add(time.Second))
}
