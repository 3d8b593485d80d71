// Package dispatch queues requests in front of the backend servers, which have no
// notion of priority, and chooses the server for each. One goroutine owns the
// queues and the placement state of all pools and services of this VM. Other
// goroutines send it messages over a bounded channel and wait for a grant. When
// the channel is full, requests are refused with the verdict NotRun.
package dispatch

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/inforce"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/fair"
	"lagoonlink.org/rollout/placement"
	"lagoonlink.org/rollout/request"
	"lagoonlink.org/rollout/routing"
)

// Config configures a Dispatcher.
type Config struct {
	Zone rollout.Zone
	// QueueSize is the capacity of the message channel.
	QueueSize int
	Limits    fair.Limits
	Policy    placement.Policy
	InForce   *inforce.Holder
	Logger    *event.Logger
	// StartLimit returns the initial concurrency limit of a server about which
	// nothing is known, given its maximum; 0 selects the default. It may be nil.
	StartLimit func(maxConcurrency int) int
	// Reachable reports whether the server at the address accepts connections.
	Reachable func(address string) bool
	// Refuses reports whether the machine at the address refuses connections, so that it
	// runs but the server's process has ended. It is only called for a server that is not
	// reachable, and may be nil.
	Refuses func(address string) bool
	// Book asks for permits to send a number of requests to a server with a request rate
	// limit, urgent ones before others; AddPermits must be called with the answer. It must not block, and reports
	// whether an answer will follow. It may be nil if no server has a limit.
	Book func(s rollout.ServerName, requests int, urgent bool) bool
	// Announce is called when suspicions have changed, so that they are sent to
	// the other VMs without delay.
	Announce func()
	// BytePrice is the price of a byte between zones, in seconds of waiting; 0 means none.
	BytePrice float64
	// Metrics is the scope for counters and gauges; nil means none.
	Metrics tally.Scope
}

// Target identifies a pool or a service. Exactly one of the fields is set.
type Target struct {
	Pool    rollout.PoolName
	Service rollout.ServiceName
}

// TargetOf returns the target of a service name: the pool if one has that name,
// otherwise the plain service.
func TargetOf(v *inforce.View, name rollout.ServiceName) Target {
	if _, ok := v.Configuration.FindPool(rollout.PoolName(name)); ok {
		return Target{Pool: rollout.PoolName(name)}
	}
	return Target{Service: name}
}

// Request describes a request that needs a backend server. Tenant, Priority, Share, Cost,
// Deadline, Boost and Rank are those of fair.Item.
type Request struct {
	Target Target
	// Resolve, if set, determines the target in place of Target: when the request is
	// queued, and again while it waits, whenever another configuration comes into force.
	Resolve      Resolver
	Requirements placement.Requirements
	Tenant       string
	Priority     int
	Share        int
	Cost         float64
	Deadline     time.Time
	Boost        bool
	Rank         int
	// Immediate refuses the request instead of queueing it if no server can take it
	// now.
	Immediate bool
	// SoftwareDeadline is when the request stops waiting for a server of its software version
	// if one of another version can take it; zero means never. It is refused then.
	SoftwareDeadline time.Time
	// Fingerprint identifies the request's content when crashes of servers are
	// attributed to requests.
	Fingerprint request.Fingerprint
	// Deferred reports whether the request is a sample or a scoring request of a job, which
	// is owed although servers crashed while they ran it. It is never refused for that, but
	// runs apart from other suspects.
	Deferred bool
	// Harmless reports whether the request is known not to crash servers: crashes while it
	// runs are not attributed to it.
	Harmless bool
}

// Grant is the permission to send one request to a server. Done must be called
// exactly once.
type Grant struct {
	Server     rollout.Server
	dispatcher *Dispatcher
	target     Target
	id         uint64
}

// Result is the result of a granted request.
type Result struct {
	placement.Outcome
	// ConnectionLost reports whether the connection was lost during the request.
	ConnectionLost bool
}

// Done releases the grant. If the connection was lost, it first checks whether
// the server has crashed, so that the crash is recorded before the request is
// retried or its caller gets an answer.
func (g *Grant) Done(r Result) {
	c := g.dispatcher.config
	crashed := r.ConnectionLost && !c.Reachable(g.Server.Address)
	ended := crashed && c.Refuses != nil && c.Refuses(g.Server.Address)
	g.dispatcher.send(doneMessage{target: g.target, id: g.id, result: r, crashed: crashed, ended: ended})
}

// Target returns the target to which the server belongs.
func (g *Grant) Target() Target { return g.target }

// ObserveVersion records a weight version that the server reported with tokens.
func (g *Grant) ObserveVersion(m rollout.ModelName, v rollout.WeightVersion) {
	g.dispatcher.send(versionMessage{target: g.target, server: g.Server.Name, model: m, version: v})
}

type grantReply struct {
	grant *Grant
	err   error
}

// Messages to the goroutine that executes Run.
type (
	enqueueMessage struct {
		id    uint64
		req   Request
		reply chan grantReply
		// queuedAt is when the request was first queued.
		queuedAt time.Time
	}
	cancelMessage struct{ id uint64 }
	doneMessage   struct {
		target Target
		id     uint64
		result Result
		// crashed reports whether the server has stopped accepting connections, ended
		// whether its process is known to have ended.
		crashed, ended bool
	}
	versionMessage struct {
		target  Target
		server  rollout.ServerName
		model   rollout.ModelName
		version rollout.WeightVersion
	}
	loadMessage struct {
		pool   rollout.PoolName
		server rollout.ServerName
		report rollout.LoadReport
	}
	leavingMessage    struct{ leaving map[string]bool }
	suspicionsMessage struct{ suspicions []request.SharedSuspicion }
	viewsMessage      struct{ reply chan []TargetView }
)

// Dispatcher queues requests and grants them servers.
type Dispatcher struct {
	config     Config
	messages   chan any
	lastID     atomic.Uint64
	suspicions atomic.Pointer[[]request.SharedSuspicion]
	targets    map[Target]*targetState
	suspects   *request.Suspects
	leaving    map[string]bool
	// rateLimits holds the request rate limits of servers, also of unknown ones.
	rateLimits  map[rollout.ServerName]float64
	appliedView *inforce.View
	// resolvedRoutes is the routing table under which the queued requests were resolved.
	resolvedRoutes *routing.Table
	// zonesReportedAt is when the requests that left the zone were last counted.
	zonesReportedAt time.Time
	// labelledServices is the number of services with metrics.
	labelledServices int
	// stopped is closed when Run returns; messages are not answered after that.
	stopped chan struct{}
}

// send sends a message to Run, or drops it if Run has returned.
func (d *Dispatcher) send(m any) {
	select {
	case d.messages <- m:
	case <-d.stopped:
	}
}

// inFlightRequest is a granted request whose Grant is not yet done.
type inFlightRequest struct {
	req    Request
	server rollout.ServerName
	// suspected reports whether the request was suspected of crashing servers
	// when it was granted.
	suspected       bool
	crashAttributed bool
}

// targetState holds the queue and the servers of one target.
type targetState struct {
	target Target
	// declared reports whether the configuration in force declares the target.
	declared bool
	queue    *fair.Queue
	pool     *placement.Pool
	waiting  map[uint64]enqueueMessage
	inFlight map[uint64]*inFlightRequest
	// departures is what is reported of requests that leave the zone.
	departures departures
	// heldUpLoggedAt is when requests that wait long were last logged.
	heldUpLoggedAt time.Time
}

// New returns a Dispatcher. Methods that wait for a reply need Run to be running;
// Wait and Abandon also return once it has returned.
func New(c Config) *Dispatcher {
	if c.StartLimit == nil {
		c.StartLimit = func(int) int { return 0 }
	}
	if c.Metrics == nil {
		c.Metrics = tally.NoopScope
	}
	return &Dispatcher{
		config:   c,
		messages: make(chan any, c.QueueSize),
		targets:  map[Target]*targetState{},
		suspects: request.NewSuspects(),
		stopped:  make(chan struct{}),

		rateLimits: map[rollout.ServerName]float64{},
	}
}

// Acquire enqueues a request and waits for its grant until the context ends.
func (d *Dispatcher) Acquire(ctx context.Context, req Request) (*Grant, error) {
	t, err := d.Enqueue(req)
	if err != nil {
		return nil, err
	}
	return t.Wait(ctx)
}

// Ticket is a queued request. Wait or Abandon must be called exactly once;
// otherwise a server slot may stay reserved for a request that is never sent.
type Ticket struct {
	dispatcher *Dispatcher
	id         uint64
	reply      chan grantReply
}

// Enqueue adds a request to its queue, after all requests enqueued before it. It
// does not block: if the message channel is full, the request is refused.
func (d *Dispatcher) Enqueue(req Request) (*Ticket, error) {
	m := enqueueMessage{id: d.lastID.Add(1), req: req, reply: make(chan grantReply, 1)}
	select {
	case d.messages <- m:
	default:
		d.config.Logger.Write(event.QueueFull, event.Fields{"Duty": "dispatch"})
		return nil, rollout.Refuse(rollout.ReasonOverloaded, "the dispatcher's message channel is full").WithRetryAfter(time.Second)
	}
	return &Ticket{dispatcher: d, id: m.id, reply: m.reply}, nil
}

// Wait waits for the grant until the context ends.
func (t *Ticket) Wait(ctx context.Context) (*Grant, error) {
	select {
	case r := <-t.reply:
		return r.grant, r.err
	case <-t.dispatcher.stopped:
		return nil, rollout.Refuse(rollout.ReasonDraining, "the process is shutting down")
	case <-ctx.Done():
	}
	t.Abandon()
	return nil, contextFailure(ctx)
}

// Abandon cancels the queued request. If it has been granted meanwhile, the grant
// is released.
func (t *Ticket) Abandon() {
	t.dispatcher.send(cancelMessage{id: t.id})
	select {
	case r := <-t.reply:
		if r.grant != nil {
			r.grant.Done(Result{})
		}
	case <-t.dispatcher.stopped:
	}
}

func contextFailure(ctx context.Context) error {
	if ctx.Err() == context.DeadlineExceeded {
		return rollout.Refuse(rollout.ReasonDeadline, "the deadline passed in the queue")
	}
	return rollout.Refuse(rollout.ReasonCanceled, "the request was canceled in the queue")
}

// UpdateLoad records a load report by an engine.
func (d *Dispatcher) UpdateLoad(p rollout.PoolName, s rollout.ServerName, r rollout.LoadReport) {
	d.send(loadMessage{pool: p, server: s, report: r})
}

// SetListedLeaving records the addresses of the servers that the platform lists
// as leaving.
func (d *Dispatcher) SetListedLeaving(leaving map[string]bool) {
	d.send(leavingMessage{leaving: leaving})
}

// callersShare is the share of the places at a plain service's server that scoring
// requests leave to callers.
const callersShare = 2.0 / 3

// tickInterval is the interval at which queued requests are checked for expired
// deadlines.
const tickInterval = 50 * time.Millisecond

// Run processes messages and configuration changes until the context ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	changes := d.config.InForce.Watch()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer close(d.stopped)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changes:
			d.applyCurrent()
		case m := <-d.messages:
			d.handle(time.Now(), m)
		case now := <-ticker.C:
			for _, ts := range d.targets {
				if len(ts.waiting) > 0 {
					d.refuseUnservable(now, ts)
					d.grantQueued(now, ts)
					d.logHeldUp(now, ts)
				}
			}
			d.reportZones(now)
		}
	}
}

// applyCurrent applies the view in force unless it is already applied.
func (d *Dispatcher) applyCurrent() {
	if v := d.config.InForce.Current(); v != nil && v != d.appliedView {
		d.appliedView = v
		d.applyConfiguration(v)
	}
}

func (d *Dispatcher) handle(now time.Time, m any) {
	// A message may refer to a configuration that came into force just before it
	// was sent and whose change notification has not been handled yet.
	d.applyCurrent()
	switch m := m.(type) {
	case enqueueMessage:
		d.enqueue(now, m)
	case cancelMessage:
		d.cancel(m)
	case doneMessage:
		d.complete(now, m)
	case versionMessage:
		if ts := d.targets[m.target]; ts != nil {
			ts.pool.ObserveVersion(m.server, m.model, m.version)
		}
	case loadMessage:
		if ts := d.targets[Target{Pool: m.pool}]; ts != nil {
			ts.pool.UpdateLoad(m.server, m.report)
			d.grantQueued(now, ts)
		}
	case serverLoadMessage:
		for _, ts := range d.targets {
			ts.pool.ObserveLoad(m.server, m.load)
		}
	case rateLimitMessage:
		d.setRateLimit(now, m)
	case permitsMessage:
		for _, ts := range d.targets {
			ts.pool.AddPermits(m.server, m.permits, m.bookAfter)
			d.grantQueued(now, ts)
		}
	case leavingMessage:
		d.leaving = m.leaving
		for _, ts := range d.targets {
			ts.pool.SetListedLeaving(m.leaving)
		}
	case suspicionsMessage:
		changed := false
		for _, r := range m.suspicions {
			changed = d.suspects.Merge(now, r) || changed
		}
		if changed {
			d.publishSuspicions(now)
		}
	case viewsMessage:
		m.reply <- d.views(now)
	}
}

// applyConfiguration updates the targets to match a configuration. A target that
// is no longer declared is kept without servers, so that its requests in flight
// can complete; its queued requests move to another target or are refused.
func (d *Dispatcher) applyConfiguration(v *inforce.View) {
	declared := map[Target]bool{}
	for _, p := range v.Configuration.Pools {
		t := Target{Pool: p.Name}
		declared[t] = true
		c := d.placementConfig(p.MaxConcurrency, p.InteractiveReserve)
		c.Engines = true
		d.ensureTarget(t).pool.Configure(c, p.Servers)
	}
	for _, s := range v.Configuration.Services {
		t := Target{Service: s.Name}
		declared[t] = true
		reserve := int(callersShare * float64(s.MaxConcurrency))
		d.ensureTarget(t).pool.Configure(d.placementConfig(s.MaxConcurrency, reserve), s.Servers)
	}
	now := time.Now()
	for t, ts := range d.targets {
		if ts.declared = declared[t]; !ts.declared {
			ts.pool.Configure(d.placementConfig(1, 0), nil)
		}
		ts.pool.SetListedLeaving(d.leaving)
		for s, rate := range d.rateLimits {
			ts.pool.SetRateLimit(s, rate)
		}
	}
	if d.resolvedRoutes != v.Routes {
		d.resolvedRoutes = v.Routes
		d.resolveQueued(now)
	}
	for _, ts := range d.targets {
		d.refuseUnservable(now, ts)
		d.grantQueued(now, ts)
	}
}

func (d *Dispatcher) placementConfig(maxConcurrency, reserve int) placement.Config {
	return placement.Config{Zone: d.config.Zone, MaxConcurrency: maxConcurrency, Reserve: reserve, Policy: d.config.Policy, InitialLimit: d.config.StartLimit(maxConcurrency), BytePrice: d.config.BytePrice}
}

func (d *Dispatcher) ensureTarget(t Target) *targetState {
	ts := d.targets[t]
	if ts == nil {
		ts = &targetState{
			target:   t,
			queue:    fair.New(d.config.Limits),
			pool:     placement.New(placement.Config{}),
			waiting:  map[uint64]enqueueMessage{},
			inFlight: map[uint64]*inFlightRequest{},
		}
		d.targets[t] = ts
	}
	return ts
}

func (d *Dispatcher) enqueue(now time.Time, m enqueueMessage) {
	if err := d.resolve(&m.req); err != nil {
		m.reply <- grantReply{err: err}
		return
	}
	ts := d.targets[m.req.Target]
	if ts == nil {
		m.reply <- grantReply{err: rollout.Refuse(rollout.ReasonUnknownTarget, "pool or service %s%s is not declared", m.req.Target.Pool, m.req.Target.Service)}
		return
	}
	if d.standing(now, m.req) == request.Convicted {
		f := rollout.Refuse(rollout.ReasonSuspect, "requests with fingerprint %016x crashed their backend servers", uint64(m.req.Fingerprint))
		m.reply <- grantReply{err: f.WithRetryAfter(time.Minute)}
		return
	}
	if !ts.pool.Serves(now, m.req.Requirements) {
		m.reply <- grantReply{err: noServer(m.req.Target)}
		return
	}
	req := m.req
	if at, limited := ts.pool.EarliestPermit(now, req.Requirements); limited && !req.Deadline.IsZero() && at.After(req.Deadline) {
		f := rollout.Refuse(rollout.ReasonOverloaded, "all backend servers of %s%s have request rate limits, which are used up until the deadline", req.Target.Pool, req.Target.Service)
		m.reply <- grantReply{err: f.WithRetryAfter(at.Sub(now))}
		return
	}
	f := ts.queue.Push(now, fair.Item{ID: m.id, Tenant: req.Tenant, Class: req.Requirements.Class, Priority: req.Priority, Share: req.Share, Cost: req.Cost, Deadline: req.Deadline, Boost: req.Boost, Rank: req.Rank})
	if f != nil {
		m.reply <- grantReply{err: f}
		return
	}
	if m.queuedAt.IsZero() {
		m.queuedAt = now
	}
	ts.waiting[m.id] = m
	d.grantQueued(now, ts)
	if _, waiting := ts.waiting[m.id]; waiting && req.Immediate {
		ts.queue.Remove(m.id)
		d.refuseQueued(ts, m.id, rollout.Refuse(rollout.ReasonNoServer, "no backend server can take the request now"))
	}
}

func (d *Dispatcher) cancel(m cancelMessage) {
	for _, ts := range d.targets {
		if ts.queue.Remove(m.id) {
			d.refuseQueued(ts, m.id, rollout.Refuse(rollout.ReasonCanceled, "the request was canceled in the queue"))
			return
		}
	}
}

// grantQueued refuses the queued requests whose deadline has passed and grants
// requests while a server can take the next one.
func (d *Dispatcher) grantQueued(now time.Time, ts *targetState) {
	for _, it := range ts.queue.Expire(now) {
		d.refuseQueued(ts, it.ID, rollout.Refuse(rollout.ReasonDeadline, "the deadline passed in the queue"))
	}
	for {
		var server rollout.Server
		var unplaced *placement.Requirements
		it, ok := ts.queue.Next(func(it fair.Item) bool {
			req := ts.waiting[it.ID].req
			if d.standing(now, req) == request.Suspected {
				req.Requirements.Avoid = append(slices.Clone(req.Requirements.Avoid), ts.suspectServers()...)
			}
			var found bool
			server, found = ts.pool.Pick(now, req.Requirements)
			if !found && unplaced == nil {
				unplaced = &req.Requirements
			}
			return found
		})
		if !ok {
			if unplaced != nil {
				d.book(now, ts, *unplaced)
			}
			return
		}
		w := ts.waiting[it.ID]
		delete(ts.waiting, it.ID)
		ts.pool.Sent(now, server.Name, w.req.Requirements)
		suspected := d.standing(now, w.req) == request.Suspected
		ts.inFlight[it.ID] = &inFlightRequest{req: w.req, server: server.Name, suspected: suspected}
		w.reply <- grantReply{grant: &Grant{Server: server, dispatcher: d, target: ts.target, id: it.ID}}
	}
}

func noServer(t Target) *rollout.Failure {
	return rollout.Refuse(rollout.ReasonNoServer, "no backend server of %s%s can take the request", t.Pool, t.Service).WithRetryAfter(time.Second)
}

// refuseQueued answers a request that the queue has already dropped.
func (d *Dispatcher) refuseQueued(ts *targetState, id uint64, f *rollout.Failure) {
	if w, ok := ts.waiting[id]; ok {
		delete(ts.waiting, id)
		w.reply <- grantReply{err: f}
	}
}

func (d *Dispatcher) complete(now time.Time, m doneMessage) {
	ts := d.targets[m.target]
	if ts == nil || ts.inFlight[m.id] == nil {
		return
	}
	f := ts.inFlight[m.id]
	if m.crashed && !f.crashAttributed {
		d.attributeCrash(now, ts, f.server, m.ended)
	}
	delete(ts.inFlight, m.id)
	if !m.result.Failed && !m.result.Refused && !f.crashAttributed && d.suspects.Standing(now, f.req.Fingerprint) != request.Clear {
		d.suspects.Succeeded(f.req.Fingerprint)
		d.publishSuspicions(now)
	}
	outcome := m.result.Outcome
	outcome.Class = f.req.Requirements.Class
	ts.pool.Ended(now, f.server, outcome)
	d.grantQueued(now, ts)
}
