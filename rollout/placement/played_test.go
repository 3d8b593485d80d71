package placement_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/placement"
)

// playedServer runs requests in slots and queues the others.
type playedServer struct {
	declared       rollout.Server
	slots, running int
	waiting        []func()
	// pace is how long work takes at a time in seconds, as a multiple of the usual time.
	pace func(at float64) float64
	// gone reports whether the server refuses requests, cut whether they get lost.
	gone, cut func(at float64) bool
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
	// lastStated holds the loads that the servers stated last.
	lastStated map[rollout.ServerName]int
}

type playedRequest struct {
	start float64
	avoid []rollout.ServerName
}

// Times in seconds: the resolution, when a caller gives up, and when an attempt without a
// response ends.
const tick, patience, attemptTime = 0.0001, 1.0, 0.25

// player plays a load in virtual time.
type player struct {
	load
	strategy
	now    float64
	events [][]func()
	random *rand.Rand
	times  []float64
	// sent and left count the requests of each 100 ms.
	sent, left []float64
}

func play(l load, s strategy, seed uint64) outcome {
	p := &player{load: l, strategy: s, random: rand.New(rand.NewPCG(seed, 1))}
	p.servers, p.vms = slices.Clone(l.servers), slices.Clone(l.vms)
	end := l.seconds + 10*patience
	p.events, p.sent, p.left = make([][]func(), int(end/tick)), make([]float64, int(10*end)+1), make([]float64, int(10*end)+1)
	for i := range p.vms {
		v := &p.vms[i]
		c := placement.Config{Zone: v.zone, MaxConcurrency: 12, Reserve: 8, InitialLimit: 12, Policy: s.policy}
		var declared []rollout.Server
		for _, server := range l.servers {
			if !s.stay || server.declared.Zone == v.zone {
				declared = append(declared, server.declared)
			}
		}
		v.pool, v.lastStated = placement.New(c), map[rollout.ServerName]int{}
		v.pool.Configure(c, declared)
		p.arrive(v)
	}
	for i := range p.events {
		p.now = float64(i) * tick
		for len(p.events[i]) > 0 {
			run := p.events[i][0]
			p.events[i] = p.events[i][1:]
			run()
		}
	}
	return p.outcome()
}

// at runs a function after a delay, or never if that is after the end.
func (p *player) at(delay float64, run func()) {
	if i := int((p.now+delay)/tick) + 1; i < len(p.events) {
		p.events[i] = append(p.events[i], run)
	}
}

func (p *player) time() time.Time { return start.Add(time.Duration(p.now * float64(time.Second))) }

func (p *player) arrive(v *playedVM) {
	p.at(p.random.ExpFloat64()/v.rate, func() {
		if p.now < p.seconds {
			v.waiting = append(v.waiting, &playedRequest{start: p.now})
			p.placeWaiting(v)
			p.arrive(v)
		}
	})
}

// placeWaiting places the requests that wait at the VM, and tries again later if a server
// is missing.
func (p *player) placeWaiting(v *playedVM) {
	for len(v.waiting) > 0 && p.place(v, v.waiting[0]) {
		v.waiting = v.waiting[1:]
	}
	if len(v.waiting) > 0 && !v.retries {
		v.retries = true
		p.at(0.05, func() {
			v.retries = false
			p.placeWaiting(v)
		})
	}
}

func (p *player) place(v *playedVM, r *playedRequest) bool {
	if p.now-r.start >= patience {
		p.times = append(p.times, patience)
		return true
	}
	q := placement.Requirements{Class: rollout.ClassService, Avoid: r.avoid}
	chosen, ok := v.pool.Pick(p.time(), q)
	if !ok {
		return false
	}
	if p.leastStated {
		chosen.Name = slices.MinFunc(v.pool.Views(p.time()), func(a, b placement.View) int { return v.lastStated[a.Server] - v.lastStated[b.Server] }).Server
	}
	s := &p.servers[slices.IndexFunc(p.servers, func(s playedServer) bool { return s.declared.Name == chosen.Name })]
	v.pool.Sent(p.time(), chosen.Name, q)
	oneWay, sentAt, lost := 0.0001, p.now, s.cut(p.now)
	p.sent[int(10*p.now)]++
	if s.declared.Zone != v.zone {
		oneWay, lost = p.roundTrip/2, lost || p.random.Float64() < p.loss
		p.left[int(10*p.now)]++
	}
	if lost {
		p.at(attemptTime, func() { p.ended(v, r, chosen.Name, nil, sentAt) })
		return true
	}
	p.at(oneWay, func() {
		p.serve(s, func(l *rollout.ServerLoad) {
			p.at(oneWay, func() { p.ended(v, r, chosen.Name, l, sentAt) })
		})
	})
	return true
}

// serve runs a request at a server, which answers with its load, or nil if it is gone.
func (p *player) serve(s *playedServer, answer func(*rollout.ServerLoad)) {
	run := func() {
		s.running++
		p.at(p.work*(0.5+p.random.Float64())*s.pace(p.now), func() {
			s.running--
			if len(s.waiting) > 0 {
				next := s.waiting[0]
				s.waiting = s.waiting[1:]
				next()
			}
			l := &rollout.ServerLoad{Running: s.running, Waiting: len(s.waiting), Slots: s.slots, Pace: 100 * s.pace(p.now)}
			if s.lies {
				l = &rollout.ServerLoad{Slots: s.slots, Pace: 100}
			}
			answer(l)
		})
	}
	switch {
	case s.gone(p.now):
		answer(nil)
	case s.running < s.slots:
		run()
	default:
		s.waiting = append(s.waiting, run)
	}
}

// ended ends an attempt with the load in the response, or with a failure if it is nil.
func (p *player) ended(v *playedVM, r *playedRequest, name rollout.ServerName, l *rollout.ServerLoad, sentAt float64) {
	o := placement.Outcome{Class: rollout.ClassService, Failed: l == nil}
	if l != nil {
		o.SecondsPerUnit, l.At = p.now-sentAt, p.time()
		v.lastStated[name] = l.Running + l.Waiting
		p.times = append(p.times, min(patience, p.now-r.start))
		if p.stated {
			v.pool.ObserveLoad(name, *l)
		}
	}
	v.pool.Ended(p.time(), name, o)
	if l == nil {
		r.avoid = []rollout.ServerName{name}
		v.waiting = append(v.waiting, r)
	}
	p.placeWaiting(v)
}
