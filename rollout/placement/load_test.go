package placement_test

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/placement"
)

// load is one played load. Its times are in seconds; loss is the share of requests between
// zones that get lost.
type load struct {
	roundTrip, work, seconds, loss float64
	servers                        []playedServer
	vms                            []playedVM
}

// strategy is how the VMs choose servers: stated passes the stated loads to the pools, stay
// removes the servers of other zones, leastStated chooses the lowest load stated last.
type strategy struct {
	policy                    placement.Policy
	stated, stay, leastStated bool
}

// outcome is what callers saw. The swings count how often the share of requests that left in
// 100 ms rose or fell by more than a half.
type outcome struct {
	mean, p99, left, failed float64
	swings                  int
}

func (o outcome) String() string {
	return fmt.Sprintf("mean %6.1f ms, p99 %7.1f ms, left %5.1f %%, failed %5.2f %%, swings %d", 1e3*o.mean, 1e3*o.p99, 100*o.left, 100*o.failed, o.swings)
}

func (p *player) outcome() outcome {
	slices.Sort(p.times)
	o := outcome{p99: p.times[len(p.times)*99/100]}
	for _, t := range p.times {
		o.mean += t / float64(len(p.times))
		if t >= patience {
			o.failed += 1 / float64(len(p.times))
		}
	}
	sent, left, before := 0.0, 0.0, math.NaN()
	for i := range p.sent {
		sent, left = sent+p.sent[i], left+p.left[i]
		if share := p.left[i] / p.sent[i]; p.sent[i] >= 10 {
			if math.Abs(share-before) > 0.5 {
				o.swings++
			}
			before = share
		}
	}
	o.left = left / sent
	return o
}

var strategies = []struct {
	name string
	strategy
}{
	{"stated load", strategy{stated: true}},
	{"as before", strategy{}},
	{"least outstanding", strategy{policy: placement.PolicyLeastOutstanding}},
	{"round robin", strategy{policy: placement.PolicyRoundRobin}},
	{"never leave", strategy{stated: true, stay: true}},
	{"least stated", strategy{leastStated: true}},
}

func usualPace(float64) float64 { return 1 }
func never(float64) bool        { return false }

// slowedPace slows a server 2.5 times for 15 % of the time, for 300 ms in a row.
func slowedPace(shift float64) func(float64) float64 {
	return func(seconds float64) float64 {
		if n := seconds + shift; n-float64(int(n/2))*2 < 0.3 {
			return 2.5
		}
		return 1
	}
}

// newLoad returns an equal load on three zones with a server of 6 slots each. Requests take
// longer if there are few of them.
func newLoad(vms int, rate float64) load {
	l := load{roundTrip: 0.0108, work: 0.010, seconds: 5}
	if rate < 1 {
		l.work, l.seconds = 0.025, 60
	}
	for i := range 3 {
		l.servers = append(l.servers, playedServer{
			declared: rollout.Server{Name: rollout.ServerName(fmt.Sprint("s", i)), Zone: rollout.Zone(fmt.Sprint("z", i)), Address: fmt.Sprint(i)},
			slots:    6, pace: usualPace, gone: never, cut: never,
		})
	}
	for i := range vms {
		l.vms = append(l.vms, playedVM{zone: rollout.Zone(fmt.Sprint("z", i%3)), rate: rate})
	}
	return l
}

var playedLoads = []struct {
	name   string
	change func(l *load)
}{
	{"equal", func(*load) {}},
	{"uneven", func(l *load) {
		for i := range l.vms {
			if i%3 == 0 {
				l.vms[i].rate *= 2.3
			} else {
				l.vms[i].rate *= 0.2
			}
		}
	}},
	{"changing", func(l *load) {
		for i := range l.servers {
			l.servers[i].pace = slowedPace(0.7 * float64(i))
		}
	}},
	{"lying", func(l *load) {
		l.servers[0].lies, l.servers[0].pace = true, func(float64) float64 { return 4 }
	}},
	{"too few", func(l *load) { l.servers[0].slots = 2 }},
	{"none", func(l *load) { l.servers = l.servers[1:] }},
	{"gone", func(l *load) {
		l.servers[0].gone = func(s float64) bool { return s > l.seconds*0.3 && s < l.seconds*0.6 }
	}},
	{"cut off", func(l *load) {
		l.servers[0].cut = func(s float64) bool { return s > l.seconds*0.3 && s < l.seconds*0.6 }
	}},
	{"slow, lossy links", func(l *load) {
		l.loss = 0.05
		l.servers[0].pace = func(float64) float64 { return 4 }
	}},
	{"slow", func(l *load) { l.servers[0].pace = func(float64) float64 { return 4 } }},
}

// playedDemands are few VMs with many requests and many VMs with few, in zones that are far
// from each other or near.
var playedDemands = []struct {
	vms             int
	rate, roundTrip float64
}{{3, 300, 0.0108}, {68, 13, 0.0018}, {68, 0.2, 0.0108}}

// TestPlayedLoads guards against placement by stated load that serves callers worse than
// simple strategies do, lets requests fail, or moves them back and forth between zones.
func TestPlayedLoads(t *testing.T) {
	for _, c := range playedLoads {
		for _, d := range playedDemands {
			t.Run(fmt.Sprintf("%s, %d VMs with %g a second, %.1f ms", c.name, d.vms, d.rate, 1e3*d.roundTrip), func(t *testing.T) {
				l := newLoad(d.vms, d.rate)
				l.roundTrip = d.roundTrip
				c.change(&l)
				stated, least, fewest := outcome{}, math.Inf(1), 1.0
				for _, s := range strategies {
					o := play(l, s.strategy, 1)
					t.Logf("%-18s %s", s.name, o)
					if s.name == "stated load" {
						stated = o
					} else {
						least, fewest = min(least, o.mean), min(fewest, o.failed)
					}
				}
				assert.AtMost(t, "mean time relative to the best baseline", stated.mean/least, 1.2)
				assert.AtMost(t, "share of failed requests", stated.failed, fewest)
				assert.Equal(t, "swings", stated.swings, 0)
			})
		}
	}
}
