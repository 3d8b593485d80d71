package placement_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/placement"
)

// playedServer runs requests in slots and queues the others.
type playedServer struct {
	declared rollout.Server
	slots    int
	running  int
	waiting  []func()
	// pace is how long work takes at a time, as a multiple of the usual time.
	pace func(seconds float64) float64
	// gone reports whether the server refuses connections.
	gone func(seconds float64) bool
	// lies makes the server state that it is idle and as fast as usual.
	lies bool
}

// playedVM places the requests of one VM alone.
type playedVM struct {
	zone    rollout.Zone
	rate    float64
	pool    *placement.Pool
	waiting []*playedRequest
	// retries reports whether the waiting requests are placed again soon.
	retries bool
}

type playedRequest struct {
	start float64
	avoid []rollout.ServerName
}

// load is one played load.
type load struct {
	roundTrip, work float64
	servers         []playedServer
	vms             []playedVM
	seconds         float64
}

// strategy is how the VMs choose servers.
type strategy struct {
	policy placement.Policy
	// stated passes the stated loads to the pools, stay removes the servers of other
	// zones, leastStated chooses the server that last stated the lowest load.
	stated, stay, leastStated bool
}

// outcome is what callers saw.
type outcome struct {
	mean, p99    float64
	left, failed float64
	// swings counts how often the share of requests that leave in 100 ms rose or fell by
	// more than a half.
	swings int
}

func (o outcome) String() string {
	return fmt.Sprintf("mean %6.1f ms, p99 %7.1f ms, left %5.1f %%, failed %5.2f %%, swings %d", 1e3*o.mean, 1e3*o.p99, 100*o.left, 100*o.failed, o.swings)
}

type playedEvent struct {
	at  float64
	run func()
}
type playedEvents []playedEvent

func (h playedEvents) Len() int           { return len(h) }
func (h playedEvents) Less(i, j int) bool { return h[i].at < h[j].at }
func (h playedEvents) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *playedEvents) Push(x any)        { *h = append(*h, x.(playedEvent)) }
func (h *playedEvents) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// player plays a load in virtual time.
type player struct {
	load
	strategy
	now    float64
	events playedEvents
	random *rand.Rand
	times  []float64
	failed int
	// sent and left count the requests sent in each 100 ms; lastStated holds the loads for
	// the strategy leastStated.
	sent, left []int
	lastStated map[rollout.ServerName]int
}

// patience is the time in seconds after which a caller gives up.
const patience = 1.0

func play(l load, s strategy, seed uint64) outcome {
	p := &player{load: l, strategy: s, random: rand.New(rand.NewPCG(seed, 1)), lastStated: map[rollout.ServerName]int{}}
	p.servers, p.vms = slices.Clone(l.servers), slices.Clone(l.vms)
	p.sent, p.left = make([]int, int(10*l.seconds)+100), make([]int, int(10*l.seconds)+100)
	for i := range p.vms {
		v := &p.vms[i]
		c := placement.Config{Zone: v.zone, MaxConcurrency: 12, Reserve: 8, InitialLimit: 12, Policy: s.policy}
		var declared []rollout.Server
		for _, server := range l.servers {
			if !s.stay || server.declared.Zone == v.zone {
				declared = append(declared, server.declared)
			}
		}
		v.pool = placement.New(c)
		v.pool.Configure(c, declared)
		p.arrive(v)
	}
	for len(p.events) > 0 {
		e := heap.Pop(&p.events).(playedEvent)
		p.now = e.at
		e.run()
	}
	slices.Sort(p.times)
	o := outcome{failed: float64(p.failed) / float64(len(p.times)), p99: p.times[len(p.times)*99/100]}
	for _, t := range p.times {
		o.mean += t / float64(len(p.times))
	}
	sent, left, before := 0, 0, math.NaN()
	for i := range p.sent {
		sent, left = sent+p.sent[i], left+p.left[i]
		if p.sent[i] < 10 {
			continue
		}
		share := float64(p.left[i]) / float64(p.sent[i])
		if math.Abs(share-before) > 0.5 {
			o.swings++
		}
		before = share
	}
	o.left = float64(left) / float64(max(1, sent))
	return o
}

func (p *player) at(delay float64, run func()) {
	heap.Push(&p.events, playedEvent{at: p.now + delay, run: run})
}

func (p *player) time() time.Time {
	return start.Add(time.Duration(p.now * float64(time.Second)))
}

func (p *player) arrive(v *playedVM) {
	p.at(p.random.ExpFloat64()/v.rate, func() {
		if p.now < p.seconds {
			p.place(v, &playedRequest{start: p.now})
			p.arrive(v)
		}
	})
}

func (p *player) place(v *playedVM, r *playedRequest) {
	if p.now-r.start >= patience {
		p.failed++
		p.times = append(p.times, patience)
		return
	}
	q := placement.Requirements{Class: rollout.ClassService, Avoid: r.avoid}
	chosen, ok := v.pool.Pick(p.time(), q)
	if !ok {
		v.waiting = append(v.waiting, r)
		if !v.retries {
			v.retries = true
			p.at(0.05, func() {
				v.retries = false
				p.retry(v)
			})
		}
		return
	}
	if p.leastStated {
		least := slices.MinFunc(v.pool.Views(p.time()), func(a, b placement.View) int { return p.lastStated[a.Server] - p.lastStated[b.Server] })
		chosen.Name = least.Server
	}
	s := &p.servers[slices.IndexFunc(p.servers, func(s playedServer) bool { return s.declared.Name == chosen.Name })]
	v.pool.Sent(p.time(), chosen.Name, q)
	oneWay, sentAt, slot := 0.0001, p.now, int(10*p.now)
	p.sent[slot]++
	if s.declared.Zone != v.zone {
		oneWay = p.roundTrip / 2
		p.left[slot]++
	}
	answer := func(failed bool) {
		stated := rollout.ServerLoad{Running: s.running, Waiting: len(s.waiting), Slots: s.slots, Pace: 100 * s.pace(p.now)}
		if s.lies {
			stated = rollout.ServerLoad{Slots: s.slots, Pace: 100}
		}
		p.at(oneWay, func() { p.answered(v, r, chosen.Name, stated, sentAt, failed) })
	}
	run := func() {
		s.running++
		p.at(p.work*(0.5+p.random.Float64())*s.pace(p.now), func() {
			s.running--
			if len(s.waiting) > 0 {
				next := s.waiting[0]
				s.waiting = s.waiting[1:]
				next()
			}
			answer(s.gone(p.now))
		})
	}
	p.at(oneWay, func() {
		switch {
		case s.gone(p.now):
			answer(true)
		case s.running < s.slots:
			run()
		default:
			s.waiting = append(s.waiting, run)
		}
	})
}

func (p *player) answered(v *playedVM, r *playedRequest, name rollout.ServerName, stated rollout.ServerLoad, sentAt float64, failed bool) {
	o := placement.Outcome{Class: rollout.ClassService, Failed: failed}
	if !failed {
		o.SecondsPerUnit = p.now - sentAt
		stated.At = p.time()
		p.lastStated[name] = stated.Running + stated.Waiting
		if p.stated {
			v.pool.ObserveLoad(name, stated)
		}
		p.times = append(p.times, min(patience, p.now-r.start))
	}
	v.pool.Ended(p.time(), name, o)
	if failed {
		r.avoid = []rollout.ServerName{name}
		p.at(0.008, func() { p.place(v, r) })
	}
	p.retry(v)
}

// retry places the requests that wait at the VM.
func (p *player) retry(v *playedVM) {
	waiting := v.waiting
	v.waiting = nil
	for _, r := range waiting {
		p.place(v, r)
	}
}
