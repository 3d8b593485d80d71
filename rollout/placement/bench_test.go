package placement_test

import (
	"fmt"
	"testing"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/placement"
)

// BenchmarkPick measures one placement with and without stated loads: a VM may have 0.13
// of a core.
func BenchmarkPick(b *testing.B) {
	for _, count := range []int{4, 45} {
		for _, stated := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d servers, stated %t", count, stated), func(b *testing.B) { benchmarkPick(b, count, stated) })
		}
	}
}

func benchmarkPick(b *testing.B, count int, stated bool) {
	c := placement.Config{Zone: "z0", MaxConcurrency: 12, Reserve: 2}
	p := placement.New(c)
	var all []rollout.Server
	for i := range count {
		all = append(all, rollout.Server{Name: rollout.ServerName(fmt.Sprint("s", i)), Zone: rollout.Zone(fmt.Sprint("z", i%4)), Address: fmt.Sprint(i)})
	}
	p.Configure(c, all)
	now := start
	r := placement.Requirements{Class: rollout.ClassService}
	for b.Loop() {
		now = now.Add(time.Millisecond)
		s, _ := p.Pick(now, r)
		p.Sent(now, s.Name, r)
		if stated {
			p.ObserveLoad(s.Name, rollout.ServerLoad{Running: 3, Slots: 6, Pace: 100, At: now})
		}
		p.Ended(now, s.Name, placement.Outcome{Class: r.Class, SecondsPerUnit: 0.01})
	}
}
