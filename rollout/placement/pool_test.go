package placement_test

import (
	"testing"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/placement"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func servers(names ...rollout.ServerName) []rollout.Server {
	var out []rollout.Server
	for _, n := range names {
		out = append(out, rollout.Server{Name: n, Zone: "Bole", Address: string(n)})
	}
	return out
}

func newPool(names ...rollout.ServerName) *placement.Pool {
	c := placement.Config{Zone: "Bole", MaxConcurrency: 16, Reserve: 2}
	p := placement.New(c)
	p.Configure(c, servers(names...))
	return p
}

func pick(p *placement.Pool, now time.Time, r placement.Requirements) rollout.ServerName {
	s, _ := p.Pick(now, r)
	return s.Name
}

func TestIneligibleServersAreNotPicked(t *testing.T) {
	v2 := map[rollout.ModelName]rollout.WeightVersion{"m": 2}
	for _, c := range []struct {
		name         string
		change       func(p *placement.Pool)
		requirements placement.Requirements
	}{
		{"declared as leaving", func(p *placement.Pool) {
			s := servers("a", "b")
			s[0].Leaving = true
			p.Configure(placement.Config{Zone: "Bole", MaxConcurrency: 16}, s)
		}, placement.Requirements{}},
		{"listed as leaving", func(p *placement.Pool) { p.SetListedLeaving(map[string]bool{"a": true}) }, placement.Requirements{}},
		{"reports that it is leaving", func(p *placement.Pool) { p.UpdateLoad("a", rollout.LoadReport{Leaving: true}) }, placement.Requirements{}},
		{"rejected a request because it is leaving", func(p *placement.Pool) { p.Ended(start, "a", placement.Outcome{Leaving: true}) }, placement.Requirements{}},
		{"no longer declared", func(p *placement.Pool) { p.Configure(placement.Config{Zone: "Bole", MaxConcurrency: 16}, servers("b")) }, placement.Requirements{}},
		{"listed in Avoid", func(*placement.Pool) {}, placement.Requirements{Avoid: []rollout.ServerName{"a"}}},
		{"weight version too old", func(p *placement.Pool) {
			p.UpdateLoad("a", rollout.LoadReport{Loaded: map[rollout.ModelName]rollout.WeightVersion{"m": 1}})
			p.UpdateLoad("b", rollout.LoadReport{Loaded: v2})
		}, placement.Requirements{Model: "m", MinVersion: 2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPool("a", "b")
			c.change(p)
			for range 20 {
				assert.Equal(t, "server", pick(p, start.Add(time.Second), c.requirements), rollout.ServerName("b"))
			}
		})
	}
}

func TestLimit(t *testing.T) {
	p := newPool("a")
	sent := 0
	for pick(p, start, placement.Requirements{Class: rollout.ClassRollout}) != "" {
		p.Sent(start, "a", placement.Requirements{})
		sent++
	}
	assert.Equal(t, "rollouts in flight with the reserve free", sent, 6)
	assert.Equal(t, "server for an interactive request", pick(p, start, placement.Requirements{Class: rollout.ClassInteractive}), rollout.ServerName("a"))
	limit := func() float64 { return p.Views(start)[0].Limit }
	before := limit()
	p.Ended(start, "a", placement.Outcome{SecondsPerUnit: 0.01})
	assert.True(t, "a fast answer raises the limit", limit() > before)
	before = limit()
	p.Ended(start, "a", placement.Outcome{SecondsPerUnit: 0.05})
	assert.True(t, "a slow answer lowers the limit", limit() < before)
}

func TestEjection(t *testing.T) {
	p := newPool("a", "b", "c", "d")
	fail := func(name rollout.ServerName) {
		for range 3 {
			p.Ended(start, name, placement.Outcome{Failed: true})
		}
	}
	for _, n := range []rollout.ServerName{"a", "b", "c", "d"} {
		fail(n)
	}
	ejected := 0
	for _, v := range p.Views(start) {
		if v.Ejected {
			ejected++
		}
	}
	assert.Equal(t, "ejected servers, at most half", ejected, 2)
	assert.Equal(t, "limit after the ejection", p.Views(start.Add(time.Minute))[0].Limit, 2.0)
	assert.Equal(t, "ejected after the ejection time", p.Views(start.Add(time.Minute))[0].Ejected, false)
}

func TestPrefixLocality(t *testing.T) {
	p := newPool("a", "b", "c")
	first := pick(p, start, placement.Requirements{Class: rollout.ClassRollout, Prefix: 7})
	p.Sent(start, first, placement.Requirements{Prefix: 7})
	assert.Equal(t, "server for the same prompt prefix", pick(p, start, placement.Requirements{Class: rollout.ClassRollout, Prefix: 7}), first)
	for range 6 {
		p.Sent(start, first, placement.Requirements{Prefix: 7})
	}
	other := pick(p, start, placement.Requirements{Class: rollout.ClassInteractive, Prefix: 7})
	assert.True(t, "a much busier server is not picked again", other != first)
}

func TestOwnZoneFirst(t *testing.T) {
	c := placement.Config{Zone: "Bole", MaxConcurrency: 16}
	p := placement.New(c)
	near := rollout.Server{Name: "near", Zone: "Bole", Address: "near"}
	far := rollout.Server{Name: "far", Zone: "Yeka", Address: "far"}
	p.Configure(c, []rollout.Server{far, near})
	r := placement.Requirements{Class: rollout.ClassInteractive}
	for range 6 {
		assert.Equal(t, "server", pick(p, start, r), rollout.ServerName("near"))
		p.Sent(start, "near", r)
	}
	p.Sent(start, "near", r)
	p.Sent(start, "near", r)
	assert.Equal(t, "server when the own zone is full", pick(p, start, r), rollout.ServerName("far"))
}

// TestClassesWithDifferentTimesKeepTheLimit plays a server at which callers' requests take
// 25 ms and scoring requests 200 ms. Neither is a sign of overload.
func TestClassesWithDifferentTimesKeepTheLimit(t *testing.T) {
	p := newPool("a")
	before := p.Views(start)[0].Limit
	now := start
	for range 40 {
		for class, seconds := range map[rollout.Class]float64{rollout.ClassService: 0.025, rollout.ClassScoring: 0.2} {
			p.Sent(now, "a", placement.Requirements{Class: class})
			now = now.Add(500 * time.Millisecond)
			p.Ended(now, "a", placement.Outcome{Class: class, SecondsPerUnit: seconds})
		}
	}
	assert.True(t, "the limit has not fallen", p.Views(now)[0].Limit >= before)
}
