// Package dispatch is the duty that orders work before the backend servers,
// which know no priorities. One goroutine owns the queues and the placement of
// every pool and service of this VM; others reach it through a bounded ring and
// wait for a grant. A full ring refuses work as not run.
package dispatch

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/inforce"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/fair"
	"lagoonlink.org/rollout/placement"
	"lagoonlink.org/rollout/request"
)

// Config configures the duty.
type Config struct {
	Zone    rollout.Zone
	Ring    int
	Limits  fair.Limits
	Policy  placement.Policy
	InForce *inforce.Holder
	Logger  *event.Logger
	// StartLimit returns the limit of a server that nothing is known of, from the
	// most that it may have; 0 means the default.
	StartLimit func(most int) int
	// Reachable reports whether a server still takes connections.
	Reachable func(address string) bool
	// Announce is called when suspicions changed, so that other VMs hear at once.
	Announce func()
}

// Target names a pool or a service.
type Target struct {
	Pool    rollout.PoolName
	Service rollout.ServiceName
}

// Ask describes work that wants a backend server.
type Ask struct {
	Target      Target
	Want        placement.Want
	Tenant      string
	Share       int
	Cost        float64
	Deadline    time.Time
	Boost       bool
	Fingerprint request.Fingerprint
}

// Grant is the right to send one request to a server. Done must be called once.
type Grant struct {
	Server rollout.Server
	owner  *Dispatcher
	target Target
	id     uint64
}

// Result is how granted work ended.
type Result struct {
	placement.Outcome
	// Broken tells that the connection broke during the work.
	Broken bool
}

// Done gives the grant back. After a broken connection it first looks whether
// the server crashed, so that a crash is known before the work is tried again
// or its caller hears of it.
func (g *Grant) Done(r Result) {
	crashed := r.Broken && !g.owner.config.Reachable(g.Server.Address)
	g.owner.send(doneMessage{target: g.target, id: g.id, result: r, crashed: crashed})
}

// Saw tells a version that came with the server's tokens.
func (g *Grant) Saw(m rollout.ModelName, v rollout.WeightVersion) {
	g.owner.send(sawMessage{target: g.target, server: g.Server.Name, model: m, version: v})
}

type reply struct {
	grant *Grant
	err   error
}

// The messages on the ring.
type (
	askMessage struct {
		id    uint64
		ask   Ask
		reply chan reply
	}
	cancelMessage struct {
		target Target
		id     uint64
	}
	doneMessage struct {
		target Target
		id     uint64
		result Result
		// crashed tells that the server takes no connections any more.
		crashed bool
	}
	sawMessage struct {
		target  Target
		server  rollout.ServerName
		model   rollout.ModelName
		version rollout.WeightVersion
	}
	reportMessage struct {
		pool   rollout.PoolName
		server rollout.ServerName
		report rollout.LoadReport
	}
	listMessage  struct{ leaving map[string]bool }
	rumorMessage struct{ rumors []request.Rumor }
	viewMessage  struct{ reply chan []DeskView }
)

// Dispatcher is the duty.
type Dispatcher struct {
	config   Config
	ring     chan any
	ids      atomic.Uint64
	rumors   atomic.Pointer[[]request.Rumor]
	desks    map[Target]*desk
	suspects *request.Suspects
	leaving  map[string]bool
	// view is what was declared last.
	view *inforce.View
	// ended is closed when Run returns; nothing answers after it.
	ended chan struct{}
}

// send puts a message on the ring, or drops it when the duty has ended.
func (d *Dispatcher) send(m any) {
	select {
	case d.ring <- m:
	case <-d.ended:
	}
}

// flight is granted work.
type flight struct {
	ask    Ask
	server rollout.ServerName
	// watched tells that it was sent as a suspect.
	watched bool
	blamed  bool
}

// desk is the queue and the servers of one target.
type desk struct {
	target  Target
	queue   *fair.Queue
	pool    *placement.Pool
	waiting map[uint64]askMessage
	flights map[uint64]*flight
}

// New returns the duty; Run must be running for the other methods to return.
func New(c Config) *Dispatcher {
	if c.StartLimit == nil {
		c.StartLimit = func(int) int { return 0 }
	}
	return &Dispatcher{
		config:   c,
		ring:     make(chan any, c.Ring),
		desks:    map[Target]*desk{},
		suspects: request.NewSuspects(),
		ended:    make(chan struct{}),
	}
}

// Acquire waits for a grant until the context ends.
func (d *Dispatcher) Acquire(ctx context.Context, a Ask) (*Grant, error) {
	t, err := d.Enqueue(a)
	if err != nil {
		return nil, err
	}
	return t.Wait(ctx)
}

// Ticket is a place in a queue. Wait or Abandon must be called once, or a server
// may keep a place for work that never comes.
type Ticket struct {
	owner  *Dispatcher
	target Target
	id     uint64
	reply  chan reply
}

// Enqueue puts work in its queue behind what was enqueued before.
func (d *Dispatcher) Enqueue(a Ask) (*Ticket, error) {
	m := askMessage{id: d.ids.Add(1), ask: a, reply: make(chan reply, 1)}
	select {
	case d.ring <- m:
	default:
		d.config.Logger.Write(event.RingFull, event.Fields{"Duty": "dispatch"})
		return nil, rollout.Refuse(rollout.ReasonOverloaded, "the dispatch ring is full").WithRetryAfter(time.Second)
	}
	return &Ticket{owner: d, target: a.Target, id: m.id, reply: m.reply}, nil
}

// Wait waits for the grant until the context ends.
func (t *Ticket) Wait(ctx context.Context) (*Grant, error) {
	select {
	case r := <-t.reply:
		return r.grant, r.err
	case <-t.owner.ended:
		return nil, rollout.Refuse(rollout.ReasonDraining, "the process stops")
	case <-ctx.Done():
	}
	t.Abandon()
	return nil, canceled(ctx)
}

// Abandon gives the place up, and a grant that was already given for it.
func (t *Ticket) Abandon() {
	t.owner.send(cancelMessage{target: t.target, id: t.id})
	select {
	case r := <-t.reply:
		if r.grant != nil {
			r.grant.Done(Result{})
		}
	case <-t.owner.ended:
	}
}

func canceled(ctx context.Context) error {
	if ctx.Err() == context.DeadlineExceeded {
		return rollout.Refuse(rollout.ReasonDeadline, "the deadline passed in the queue")
	}
	return rollout.Refuse(rollout.ReasonCanceled, "the request was canceled in the queue")
}

// Reported passes on an engine's load report.
func (d *Dispatcher) Reported(p rollout.PoolName, s rollout.ServerName, r rollout.LoadReport) {
	d.send(reportMessage{pool: p, server: s, report: r})
}

// Listed passes on the addresses that the platform's list shows as leaving.
func (d *Dispatcher) Listed(leaving map[string]bool) { d.send(listMessage{leaving: leaving}) }

// Heard passes on suspicions from other VMs.
func (d *Dispatcher) Heard(rumors []request.Rumor) {
	if len(rumors) > 0 {
		d.send(rumorMessage{rumors: rumors})
	}
}

// Rumors returns the suspicions to tell other VMs.
func (d *Dispatcher) Rumors() []request.Rumor {
	if r := d.rumors.Load(); r != nil {
		return *r
	}
	return nil
}

// Views returns what a status page shows of each target.
func (d *Dispatcher) Views(ctx context.Context) []DeskView {
	m := viewMessage{reply: make(chan []DeskView, 1)}
	select {
	case d.ring <- m:
	case <-ctx.Done():
		return nil
	}
	select {
	case v := <-m.reply:
		return v
	case <-ctx.Done():
		return nil
	}
}

// tickEvery is how often queued work is checked against its deadline.
const tickEvery = 50 * time.Millisecond

// Run is the duty's loop.
func (d *Dispatcher) Run(ctx context.Context) error {
	changes := d.config.InForce.Watch()
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	defer close(d.ended)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changes:
			d.refresh()
		case m := <-d.ring:
			d.handle(time.Now(), m)
		case now := <-tick.C:
			for _, k := range d.desks {
				if len(k.waiting) > 0 {
					d.serve(now, k)
				}
			}
		}
	}
}

// refresh declares the view in force unless it is declared already.
func (d *Dispatcher) refresh() {
	if v := d.config.InForce.Current(); v != nil && v != d.view {
		d.view = v
		d.declare(v)
	}
}

func (d *Dispatcher) handle(now time.Time, m any) {
	// What a message is about may have come into force just before it was sent.
	d.refresh()
	switch m := m.(type) {
	case askMessage:
		d.ask(now, m)
	case cancelMessage:
		d.cancel(m)
	case doneMessage:
		d.done(now, m)
	case sawMessage:
		if k := d.desks[m.target]; k != nil {
			k.pool.Saw(m.server, m.model, m.version)
		}
	case reportMessage:
		if k := d.desks[Target{Pool: m.pool}]; k != nil {
			k.pool.Reported(m.server, m.report)
			d.serve(now, k)
		}
	case listMessage:
		d.leaving = m.leaving
		for _, k := range d.desks {
			k.pool.Listed(m.leaving)
		}
	case rumorMessage:
		news := false
		for _, r := range m.rumors {
			news = d.suspects.Heard(now, r) || news
		}
		if news {
			d.publishRumors(now)
		}
	case viewMessage:
		m.reply <- d.views(now)
	}
}

// declare makes the desks agree with a configuration. Desks that are no longer
// declared refuse what waits and go on settling what is in flight.
func (d *Dispatcher) declare(v *inforce.View) {
	seen := map[Target]bool{}
	for _, p := range v.Configuration.Pools {
		t := Target{Pool: p.Name}
		seen[t] = true
		d.desk(t).pool.Declare(d.placement(p.MaxConcurrency, p.InteractiveReserve), p.Servers)
	}
	for _, s := range v.Configuration.Services {
		t := Target{Service: s.Name}
		seen[t] = true
		d.desk(t).pool.Declare(d.placement(s.MaxConcurrency, 0), s.Servers)
	}
	for t, k := range d.desks {
		if !seen[t] {
			k.pool.Declare(d.placement(1, 0), nil)
		}
		k.pool.Listed(d.leaving)
		d.serve(time.Now(), k)
	}
}

func (d *Dispatcher) placement(most, reserve int) placement.Config {
	return placement.Config{Zone: d.config.Zone, MaxConcurrency: most, Reserve: reserve, Policy: d.config.Policy, Start: d.config.StartLimit(most)}
}

func (d *Dispatcher) desk(t Target) *desk {
	k := d.desks[t]
	if k == nil {
		k = &desk{
			target:  t,
			queue:   fair.New(d.config.Limits),
			pool:    placement.New(placement.Config{}),
			waiting: map[uint64]askMessage{},
			flights: map[uint64]*flight{},
		}
		d.desks[t] = k
	}
	return k
}

func (d *Dispatcher) ask(now time.Time, m askMessage) {
	k := d.desks[m.ask.Target]
	if k == nil {
		m.reply <- reply{err: rollout.Refuse(rollout.ReasonUnknownTarget, "pool or service %s%s is not declared", m.ask.Target.Pool, m.ask.Target.Service)}
		return
	}
	if d.suspects.Standing(now, m.ask.Fingerprint) == request.Convicted {
		f := rollout.Refuse(rollout.ReasonSuspect, "requests of fingerprint %016x crashed their servers", uint64(m.ask.Fingerprint))
		m.reply <- reply{err: f.WithRetryAfter(time.Minute)}
		return
	}
	if !k.pool.Serves(now, m.ask.Want) {
		m.reply <- reply{err: rollout.Refuse(rollout.ReasonNoServer, "no backend server of %s%s may take the request", m.ask.Target.Pool, m.ask.Target.Service).WithRetryAfter(time.Second)}
		return
	}
	a := m.ask
	f := k.queue.Push(now, fair.Item{ID: m.id, Tenant: a.Tenant, Class: a.Want.Class, Share: a.Share, Cost: a.Cost, Deadline: a.Deadline, Boost: a.Boost})
	if f != nil {
		m.reply <- reply{err: f}
		return
	}
	k.waiting[m.id] = m
	d.serve(now, k)
}

func (d *Dispatcher) cancel(m cancelMessage) {
	k := d.desks[m.target]
	if k == nil {
		return
	}
	if w, ok := k.waiting[m.id]; ok {
		k.queue.Remove(m.id)
		delete(k.waiting, m.id)
		w.reply <- reply{err: rollout.Refuse(rollout.ReasonCanceled, "the request was canceled in the queue")}
	}
}

// serve grants what fits and refuses what is too late.
func (d *Dispatcher) serve(now time.Time, k *desk) {
	for _, it := range k.queue.Expire(now) {
		d.refuse(k, it.ID, rollout.Refuse(rollout.ReasonDeadline, "the deadline passed in the queue"))
	}
	for {
		var server rollout.Server
		it, ok := k.queue.Next(func(it fair.Item) bool {
			a := k.waiting[it.ID].ask
			if d.suspects.Standing(now, a.Fingerprint) == request.Suspected {
				a.Want.Avoid = append(slices.Clone(a.Want.Avoid), k.watchedServers()...)
			}
			var found bool
			server, found = k.pool.Pick(now, a.Want)
			return found
		})
		if !ok {
			return
		}
		w := k.waiting[it.ID]
		delete(k.waiting, it.ID)
		k.pool.Sent(now, server.Name, w.ask.Want)
		watched := d.suspects.Standing(now, w.ask.Fingerprint) == request.Suspected
		k.flights[it.ID] = &flight{ask: w.ask, server: server.Name, watched: watched}
		w.reply <- reply{grant: &Grant{Server: server, owner: d, target: k.target, id: it.ID}}
	}
}

// watchedServers returns the servers on which a suspected request runs: no
// other suspect may join it there, so that a crash tells which one it was.
func (k *desk) watchedServers() []rollout.ServerName {
	var out []rollout.ServerName
	for _, f := range k.flights {
		if f.watched {
			out = append(out, f.server)
		}
	}
	return out
}

func (d *Dispatcher) refuse(k *desk, id uint64, f *rollout.Failure) {
	if w, ok := k.waiting[id]; ok {
		delete(k.waiting, id)
		w.reply <- reply{err: f}
	}
}

func (d *Dispatcher) done(now time.Time, m doneMessage) {
	k := d.desks[m.target]
	if k == nil || k.flights[m.id] == nil {
		return
	}
	f := k.flights[m.id]
	if m.crashed && !f.blamed {
		d.crashed(now, k, f.server)
	}
	delete(k.flights, m.id)
	if !m.result.Failed && !m.result.Refused && !f.blamed && d.suspects.Standing(now, f.ask.Fingerprint) != request.Clear {
		d.suspects.Ended(f.ask.Fingerprint)
		d.publishRumors(now)
	}
	k.pool.Ended(now, f.server, m.result.Outcome)
	d.serve(now, k)
}

// crashed attributes a crash to everything in flight on the server. All of it
// fails within moments; the first failure counts for all.
func (d *Dispatcher) crashed(now time.Time, k *desk, server rollout.ServerName) {
	var flights []request.Flight
	for _, f := range k.flights {
		if f.server == server && !f.blamed {
			f.blamed = true
			flights = append(flights, request.Flight{Fingerprint: f.ask.Fingerprint, Watched: f.watched})
		}
	}
	if changed := d.suspects.Crashed(now, flights); len(changed) > 0 {
		d.config.Logger.Write(event.RequestSuspected, event.Fields{"Server": server, "Fingerprints": len(changed)})
		d.publishRumors(now)
	}
}

// maxRumors bounds the suspicions that travel on one probe.
const maxRumors = 8

func (d *Dispatcher) publishRumors(now time.Time) {
	rumors := d.suspects.Rumors(now, maxRumors)
	d.rumors.Store(&rumors)
	d.config.Announce()
}

// DeskView is what a status page shows of a target.
type DeskView struct {
	Target  Target
	Queued  map[string]int
	Servers []placement.View
}

func (d *Dispatcher) views(now time.Time) []DeskView {
	var out []DeskView
	for _, k := range d.desks {
		queued := map[string]int{}
		for _, c := range []rollout.Class{rollout.ClassService, rollout.ClassInteractive, rollout.ClassRollout} {
			if n := k.queue.Len(c); n > 0 {
				queued[c.String()] = n
			}
		}
		out = append(out, DeskView{Target: k.target, Queued: queued, Servers: k.pool.Views(now)})
	}
	return out
}
