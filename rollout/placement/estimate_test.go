package placement_test

import (
	"testing"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/placement"
)

// statingPool returns a pool of servers a, b and c in the own zone and far in another one,
// all of which answered a request within 10 ms and stated to be idle.
func statingPool(c placement.Config) (*placement.Pool, time.Time) {
	c.Zone, c.MaxConcurrency, c.InitialLimit = "Bole", 12, 12
	p := placement.New(c)
	p.Configure(c, append(servers("a", "b", "c"), rollout.Server{Name: "far", Zone: "Yeka", Address: "far"}))
	now := start.Add(time.Minute)
	for _, s := range []rollout.ServerName{"a", "b", "c", "far"} {
		answer(p, now, s, rollout.ServerLoad{Slots: 6, Pace: 100}, 10*time.Millisecond)
	}
	return p, now
}

// answer plays a request that a server answered.
func answer(p *placement.Pool, now time.Time, s rollout.ServerName, l rollout.ServerLoad, took time.Duration) {
	l.At = now
	p.Sent(now, s, placement.Requirements{})
	p.ObserveLoad(s, l)
	p.Ended(now, s, placement.Outcome{SecondsPerUnit: took.Seconds()})
}

// picks counts how often each server is picked.
func picks(p *placement.Pool, now time.Time, r placement.Requirements) map[rollout.ServerName]int {
	counts := map[rollout.ServerName]int{}
	for range 30 {
		counts[pick(p, now, r)]++
	}
	return counts
}

func TestChoiceFollowsStatedLoad(t *testing.T) {
	full := rollout.ServerLoad{Running: 6, Waiting: 6, Slots: 6, Pace: 100}
	slow := rollout.ServerLoad{Slots: 6, Pace: 250}
	for _, c := range []struct {
		name  string
		state func(p *placement.Pool, now time.Time)
		after time.Duration
		want  map[rollout.ServerName]int
	}{
		{"all idle", func(*placement.Pool, time.Time) {}, 0, map[rollout.ServerName]int{"a": 10, "b": 10, "c": 10}},
		{"a queue", func(p *placement.Pool, now time.Time) { answer(p, now, "a", full, 20*time.Millisecond) }, 0, map[rollout.ServerName]int{"b": 15, "c": 15}},
		{"a slow machine", func(p *placement.Pool, now time.Time) { answer(p, now, "b", slow, 25*time.Millisecond) }, 0, map[rollout.ServerName]int{"a": 15, "c": 15}},
		{"figures that are too old", func(p *placement.Pool, now time.Time) {
			answer(p, now, "a", full, 20*time.Millisecond)
			answer(p, now, "b", slow, 25*time.Millisecond)
		}, 16 * time.Second, map[rollout.ServerName]int{"a": 10, "b": 10, "c": 10}},
		{"a server that lies", func(p *placement.Pool, now time.Time) {
			for range 20 {
				answer(p, now, "a", rollout.ServerLoad{Slots: 6, Pace: 100}, 100*time.Millisecond)
			}
		}, 0, map[rollout.ServerName]int{"b": 15, "c": 15}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, now := statingPool(placement.Config{})
			c.state(p, now)
			assert.Equal(t, "picks", picks(p, now.Add(c.after), placement.Requirements{}), c.want)
		})
	}
}

// TestOwnRequestsCountAtAServerThatStatesToBeIdle guards against flooding such a server.
func TestOwnRequestsCountAtAServerThatStatesToBeIdle(t *testing.T) {
	p, now := statingPool(placement.Config{})
	sent := map[rollout.ServerName]int{}
	for range 18 {
		p.ObserveLoad("a", rollout.ServerLoad{Slots: 6, Pace: 100, At: now})
		s := pick(p, now, placement.Requirements{})
		sent[s]++
		p.Sent(now, s, placement.Requirements{})
	}
	assert.AtMost(t, "requests at the idle server", sent["a"], 7)
}

func TestServersThatStateNoPaceAreChosenAsBefore(t *testing.T) {
	with, now := statingPool(placement.Config{})
	c := placement.Config{Zone: "Bole", MaxConcurrency: 12, InitialLimit: 12}
	without, reference := placement.New(c), placement.New(c)
	declared := append(servers("a", "b"), rollout.Server{Name: "far", Zone: "Yeka", Address: "far"})
	without.Configure(c, declared)
	reference.Configure(c, declared)
	for range 40 {
		s := pick(without, now, placement.Requirements{})
		assert.Equal(t, "server", s, pick(reference, now, placement.Requirements{}))
		without.Sent(now, s, placement.Requirements{})
		reference.Sent(now, s, placement.Requirements{})
	}
	assert.Equal(t, "requests placed by load", without.TakeSpillReport().Sent, 0)
	s := pick(with, now, placement.Requirements{})
	with.Sent(now, s, placement.Requirements{})
	assert.True(t, "requests placed by load where servers state a pace", with.TakeSpillReport().Sent > 0)
}

// TestRequestsLeaveAndReturn plays a home zone whose servers are full for some seconds.
func TestRequestsLeaveAndReturn(t *testing.T) {
	p, now := statingPool(placement.Config{})
	left := func(seconds float64, l rollout.ServerLoad, took time.Duration) int {
		count := 0
		for end := now.Add(time.Duration(seconds * float64(time.Second))); now.Before(end); now = now.Add(10 * time.Millisecond) {
			s := pick(p, now, placement.Requirements{})
			if s == "far" {
				count++
				answer(p, now, s, rollout.ServerLoad{Slots: 6, Pace: 100}, 21*time.Millisecond)
				continue
			}
			answer(p, now, s, l, took)
		}
		return count
	}
	idle := rollout.ServerLoad{Slots: 6, Pace: 100}
	assert.Equal(t, "requests of 100 that left an idle zone", left(1, idle, 10*time.Millisecond), 0)
	full := rollout.ServerLoad{Running: 6, Waiting: 60, Slots: 6, Pace: 100}
	assert.True(t, "most requests leave a full zone", left(2, full, 110*time.Millisecond) > 120)
	left(20, idle, 10*time.Millisecond)
	assert.Equal(t, "requests of 100 that left after the return", left(1, idle, 10*time.Millisecond), 0)
	r := p.TakeSpillReport()
	assert.True(t, "the report counts the requests that left", r.Left > 120 && r.Sent > r.Left)
}

func TestRequestsLeaveAZoneThatCannotTakeThem(t *testing.T) {
	p, now := statingPool(placement.Config{})
	r := placement.Requirements{Avoid: []rollout.ServerName{"a", "b", "c"}}
	assert.Equal(t, "server", pick(p, now, r), rollout.ServerName("far"))
	p.Sent(now, "far", r)
	assert.Equal(t, "requests without a server at home", p.TakeSpillReport().Unserved, 1)
}

func TestSlowEngineGetsFewerSamples(t *testing.T) {
	p, now := statingPool(placement.Config{Engines: true})
	r := placement.Requirements{Class: rollout.ClassRollout}
	p.ObserveLoad("a", rollout.ServerLoad{Slots: 6, Pace: 250, At: now})
	assert.Equal(t, "picks of the slow engine", picks(p, now, r)["a"], 0)
	assert.True(t, "samples ignore zones", picks(p, now, r)["far"] > 0)
	assert.True(t, "picks after the state is too old", picks(p, now.Add(600*time.Millisecond), r)["a"] > 0)
	for _, s := range []rollout.ServerName{"b", "c", "far"} {
		for range 6 {
			p.Sent(now, s, r)
		}
	}
	assert.Equal(t, "server while the others are busy", pick(p, now, r), rollout.ServerName("a"))
}

func TestBytePriceKeepsSamplesAtHomeOnlyAmongEquals(t *testing.T) {
	p, now := statingPool(placement.Config{Engines: true, BytePrice: 1e-6})
	r := placement.Requirements{Class: rollout.ClassRollout}
	assert.Equal(t, "picks in the other zone", picks(p, now, r)["far"], 0)
	for _, s := range []rollout.ServerName{"a", "b", "c"} {
		p.Sent(now, s, r)
	}
	assert.Equal(t, "server while the home zone has more requests", pick(p, now, r), rollout.ServerName("far"))
}
