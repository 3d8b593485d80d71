// Package orders rolls out new weights to the engines of this VM's zone. For each
// pool, the VM that ranks first in the zone by hash is the leader: it reads the
// weight store, claims the right to send orders on the platform's log when an
// engine lacks a version, and sends the orders in waves. Two VMs may consider
// themselves leader at the same time; correctness then depends only on the claims
// and on the weight versions that engines report with tokens.
package orders

import (
	"context"
	"time"

	"lagoonlink.org/lagoonlink/internal/dispatch"
	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/inforce"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/membership"
	"lagoonlink.org/rollout/weights"
)

// Config configures Orders.
type Config struct {
	VM       rollout.VMName
	Zone     rollout.Zone
	Log      rollout.Log
	Weights  rollout.WeightStore
	Engine   rollout.Engine
	Dispatch *dispatch.Dispatcher
	InForce  *inforce.Holder
	Roster   func() membership.Roster
	Logger   *event.Logger
	// WeightsEvery is the interval at which the weight store is polled.
	WeightsEvery time.Duration
	// Lease is how long a claim to send orders is valid.
	Lease time.Duration
	// Guard is how much longer than Lease other VMs wait before they claim the
	// orders of a pool with engines that ignore fencing tokens.
	Guard time.Duration
	// ReportsPerSecond limits the number of load reports requested per second.
	ReportsPerSecond int
}

// Intervals, timeouts and limits.
const (
	tickInterval = 100 * time.Millisecond
	callTimeout  = 2 * time.Second
	// claimsReadLimit is the maximum number of claims per read of the log.
	claimsReadLimit = 512
	// claimRetryDelay is the minimum interval between two claims for a pool, and
	// the delay after a failed read of claims.
	claimRetryDelay    = 500 * time.Millisecond
	maxConcurrentCalls = 64
	// swapReportsPerSecond limits the load reports requested per second during a
	// weight swap.
	swapReportsPerSecond = 100
)

type loadResult struct {
	pool   rollout.PoolName
	server rollout.ServerName
	report rollout.LoadReport
	// askedAt is when the report was requested.
	askedAt time.Time
}

type orderResult struct {
	pool   rollout.PoolName
	server rollout.ServerName
	order  rollout.Order
	err    error
}

type appendResult struct {
	err error
}

type readResult struct {
	result rollout.ReadResult
	err    error
}

type poolState struct {
	pool  rollout.Pool
	waves *weights.Waves
	// claim is this VM's last claim and claimedAt the time at which its append
	// began, from which the lease counts.
	claim          weights.Claim
	claimedAt      time.Time
	claimNotBefore time.Time
	// wonFence is the fencing token of the last claim logged as won.
	wonFence rollout.Offset
}

// Orders rolls out new weights to the engines of one zone.
type Orders struct {
	config         Config
	pools          map[rollout.PoolName]*poolState
	claims         *weights.Claims
	loadResults    chan loadResult
	orderResults   chan orderResult
	appendResults  chan appendResult
	latestVersions chan map[rollout.ModelName]rollout.WeightVersion
	readResults    chan readResult
	// callSlots limits the concurrent calls to engines.
	callSlots chan struct{}
	// nonce is that of the last claim. It starts at the current time, so that the
	// claims of a restarted VM differ from its earlier ones.
	nonce         uint64
	readingClaims bool
	// caughtUp reports whether the claims have been read up to the end of the log.
	caughtUp       bool
	fetchingLatest bool
	lastFetch      time.Time
	nextEngine     int
	// reportedAt is when the newest known report of each engine was requested.
	reportedAt map[rollout.ServerName]time.Time
	// reportBudget is the number of load reports that may be requested now. It
	// was last refilled at lastRefill.
	reportBudget float64
	lastRefill   time.Time
}

// New returns an Orders. It does nothing until Run is called.
func New(c Config) *Orders {
	return &Orders{
		config:         c,
		pools:          map[rollout.PoolName]*poolState{},
		claims:         weights.NewClaims(),
		reportedAt:     map[rollout.ServerName]time.Time{},
		loadResults:    make(chan loadResult, maxConcurrentCalls),
		orderResults:   make(chan orderResult, maxConcurrentCalls),
		appendResults:  make(chan appendResult, maxConcurrentCalls),
		latestVersions: make(chan map[rollout.ModelName]rollout.WeightVersion, 1),
		readResults:    make(chan readResult, 1),
		callSlots:      make(chan struct{}, maxConcurrentCalls),
		nonce:          uint64(time.Now().UnixNano()),
	}
}

// Run processes configuration changes, results of calls and timer ticks until the
// context ends. Calls to engines, the log and the weight store run in goroutines
// of their own and return their results over channels.
func (o *Orders) Run(ctx context.Context) error {
	changes := o.config.InForce.Watch()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changes:
			o.applyConfiguration(o.config.InForce.Current().Configuration)
		case r := <-o.loadResults:
			o.handleLoad(r)
		case r := <-o.orderResults:
			o.handleOrderResult(r)
		case r := <-o.appendResults:
			if r.err != nil {
				o.config.Logger.Write(event.ClaimFailed, event.Fields{"Error": r.err})
			}
		case l := <-o.latestVersions:
			o.setTargets(l)
		case r := <-o.readResults:
			o.handleClaims(r)
		case now := <-ticker.C:
			o.tick(ctx, now)
		}
	}
}

// applyConfiguration updates the pools and their engines in this zone to match a
// configuration.
func (o *Orders) applyConfiguration(c rollout.Configuration) {
	declared := map[rollout.PoolName]bool{}
	reportedAt := map[rollout.ServerName]time.Time{}
	for _, p := range c.Pools {
		declared[p.Name] = true
		s := o.pools[p.Name]
		if s == nil {
			s = &poolState{waves: weights.NewWaves(weights.DefaultConfig())}
			o.pools[p.Name] = s
		}
		s.pool = p
		var names []rollout.ServerName
		for _, e := range p.Servers {
			reportedAt[e.Name] = o.reportedAt[e.Name]
			if e.Zone == o.config.Zone && !e.Leaving {
				names = append(names, e.Name)
			}
		}
		s.waves.SetServers(names)
	}
	o.reportedAt = reportedAt
	for name := range o.pools {
		if !declared[name] {
			delete(o.pools, name)
		}
	}
}

// handleLoad applies a report, unless one that was requested later has come first.
func (o *Orders) handleLoad(r loadResult) {
	if r.askedAt.Before(o.reportedAt[r.server]) {
		return
	}
	o.reportedAt[r.server] = r.askedAt
	o.config.Dispatch.UpdateLoad(r.pool, r.server, r.report)
	if s := o.pools[r.pool]; s != nil {
		s.waves.ObserveReport(r.server, r.report.Loaded)
	}
}

func (o *Orders) handleOrderResult(r orderResult) {
	if r.err == nil {
		return
	}
	o.config.Logger.Write(event.OrderFailed, event.Fields{"Server": r.server, "Model": r.order.Model, "Version": r.order.Version, "Error": r.err})
	if s := o.pools[r.pool]; s != nil {
		s.waves.RecordFailure(time.Now(), r.server, r.order.Model)
	}
}

func (o *Orders) setTargets(latest map[rollout.ModelName]rollout.WeightVersion) {
	o.fetchingLatest = false
	for _, s := range o.pools {
		for _, m := range s.pool.Models {
			s.waves.SetTarget(m, latest[m])
		}
	}
}

func (o *Orders) handleClaims(r readResult) {
	o.readingClaims = false
	if r.err != nil {
		return
	}
	o.claims.Apply(time.Now(), r.result)
	o.caughtUp = len(r.result.Records) == 0 || r.result.Records[len(r.result.Records)-1].Offset+1 >= r.result.Next
}

func (o *Orders) tick(ctx context.Context, now time.Time) {
	o.fetchLatest(ctx, now)
	o.pollLoads(ctx, now)
	o.readClaims(ctx)
	for _, s := range o.pools {
		if o.leads(s) && s.waves.Due() {
			o.sendDueOrders(ctx, now, s)
		}
	}
}

// claimKey returns the key of the claims for a pool's orders in this zone.
func (o *Orders) claimKey(s *poolState) string {
	return "orders/" + string(s.pool.Name) + "/" + string(o.config.Zone)
}

// leads reports whether this VM ranks first in its zone for the pool.
func (o *Orders) leads(s *poolState) bool {
	ranked := o.config.Roster().Rank(o.claimKey(s), o.config.Zone)
	return len(ranked) > 0 && ranked[0].Name == o.config.VM
}

// sendDueOrders sends the orders that are due if this VM holds a valid claim, and
// appends a claim otherwise.
func (o *Orders) sendDueOrders(ctx context.Context, now time.Time, s *poolState) {
	fence, won := o.claims.Fence(s.claim)
	if !won || s.claim.Key == "" || now.Sub(s.claimedAt) >= o.config.Lease {
		o.appendClaim(ctx, now, s)
		return
	}
	if s.wonFence != fence {
		s.wonFence = fence
		o.config.Logger.Write(event.ClaimWon, event.Fields{"Key": s.claim.Key, "Fence": fence})
	}
	expires := s.claimedAt.Add(o.config.Lease)
	for _, send := range s.waves.Next(now, fence) {
		o.sendOrder(ctx, s.pool, send, expires)
	}
}

// allCheckFence reports whether all engines of the zone check fencing tokens. If
// they do, a claim need not wait for the lease of the previous holder to end.
func (s *poolState) allCheckFence(z rollout.Zone) bool {
	for _, e := range s.pool.Servers {
		if e.Zone == z && !e.ChecksFence {
			return false
		}
	}
	return true
}

// appendClaim appends a claim for the orders of a pool. Its lease is measured on
// this VM's monotonic clock and starts before the append.
func (o *Orders) appendClaim(ctx context.Context, now time.Time, s *poolState) {
	if !o.caughtUp || now.Before(s.claimNotBefore) {
		return
	}
	key := o.claimKey(s)
	prior, claimable := o.claims.Prior(now, key, o.config.Lease, o.config.Guard)
	_, mine := o.claims.Fence(s.claim)
	if !claimable && !mine && !s.allCheckFence(o.config.Zone) {
		return
	}
	o.nonce++
	s.claim = weights.Claim{Key: key, VM: o.config.VM, Nonce: o.nonce, Prior: prior}
	s.claimedAt = now
	s.claimNotBefore = now.Add(claimRetryDelay)
	data, err := weights.EncodeClaim(s.claim)
	if err != nil {
		o.config.Logger.Write(event.ClaimFailed, event.Fields{"Error": err})
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		_, err := o.config.Log.Append(ctx, rollout.StreamClaims, data)
		o.appendResults <- appendResult{err: err}
	}()
}

// sendOrder sends an order in a goroutine, unless the lease of its claim, which
// ends at expires, has ended by the time of sending. It blocks until a call slot
// is free.
func (o *Orders) sendOrder(ctx context.Context, p rollout.Pool, s weights.ServerOrder, expires time.Time) {
	address := ""
	for _, e := range p.Servers {
		if e.Name == s.Server {
			address = e.Address
		}
	}
	o.callSlots <- struct{}{}
	go func() {
		defer func() { <-o.callSlots }()
		ctx, cancel := context.WithDeadline(ctx, expires)
		defer cancel()
		if !time.Now().Before(expires) {
			o.config.Logger.Write(event.OrderClaimExpired, event.Fields{"Server": s.Server})
			o.orderResults <- orderResult{p.Name, s.Server, s.Order, rollout.Refuse(rollout.ReasonDeadline, "the lease of the claim has expired")}
			return
		}
		o.config.Logger.Write(event.OrderSent, event.Fields{"Server": s.Server, "Model": s.Order.Model, "Version": s.Order.Version, "Fence": s.Order.Fence})
		o.orderResults <- orderResult{p.Name, s.Server, s.Order, o.config.Engine.Order(ctx, address, s.Order)}
	}()
}

// fetchLatest reads the newest weight versions from the weight store every
// WeightsEvery while this VM leads a pool.
func (o *Orders) fetchLatest(ctx context.Context, now time.Time) {
	if o.fetchingLatest || now.Sub(o.lastFetch) < o.config.WeightsEvery || !o.leadsAny() {
		return
	}
	o.fetchingLatest, o.lastFetch = true, now
	go func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		l, err := o.config.Weights.Latest(ctx)
		if err != nil {
			o.config.Logger.Write(event.WeightsUnreadable, event.Fields{"Error": err})
		}
		o.latestVersions <- l
	}()
}

func (o *Orders) leadsAny() bool {
	for _, s := range o.pools {
		if o.leads(s) {
			return true
		}
	}
	return false
}

// readClaims reads the next claims from the log while this VM leads a pool.
func (o *Orders) readClaims(ctx context.Context) {
	if o.readingClaims || !o.leadsAny() {
		return
	}
	o.readingClaims = true
	go func(from rollout.Offset) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		r, err := o.config.Log.Read(ctx, rollout.StreamClaims, from, claimsReadLimit, time.Second)
		if err != nil {
			time.Sleep(claimRetryDelay)
		}
		o.readResults <- readResult{r, err}
	}(o.claims.Next())
}

// pollLoads requests load reports from the engines in turn, within a rate limit.
// While this VM rolls out weights in its zone, it polls only the engines of the
// affected pools, at a higher rate.
func (o *Orders) pollLoads(ctx context.Context, now time.Time) {
	rate, engines := float64(o.config.ReportsPerSecond), o.engines()
	if swapping := o.swappingEngines(engines); len(swapping) > 0 {
		rate, engines = swapReportsPerSecond, swapping
	}
	if !o.lastRefill.IsZero() {
		o.reportBudget = min(o.reportBudget+now.Sub(o.lastRefill).Seconds()*rate, rate)
	}
	o.lastRefill = now
	for o.reportBudget >= 1 && len(engines) > 0 {
		o.reportBudget--
		o.nextEngine++
		o.pollLoad(ctx, engines[o.nextEngine%len(engines)])
	}
}

// swappingEngines returns the engines of this zone that belong to pools in which
// this VM is rolling out weights.
func (o *Orders) swappingEngines(all []poolEngine) []poolEngine {
	var out []poolEngine
	for _, e := range all {
		if s := o.pools[e.pool]; s != nil && e.server.Zone == o.config.Zone && o.leads(s) && s.waves.Due() {
			out = append(out, e)
		}
	}
	return out
}

type poolEngine struct {
	pool   rollout.PoolName
	server rollout.Server
}

// engines returns the engines of all pools and zones in declared order.
func (o *Orders) engines() []poolEngine {
	v := o.config.InForce.Current()
	if v == nil {
		return nil
	}
	var out []poolEngine
	for _, p := range v.Configuration.Pools {
		for _, s := range p.Servers {
			out = append(out, poolEngine{p.Name, s})
		}
	}
	return out
}

// pollLoad requests a load report from an engine, or does nothing if no call slot
// is free.
func (o *Orders) pollLoad(ctx context.Context, e poolEngine) {
	select {
	case o.callSlots <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-o.callSlots }()
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		askedAt := time.Now()
		r, err := o.config.Engine.Load(ctx, e.server.Address)
		if err != nil {
			return
		}
		select {
		case o.loadResults <- loadResult{e.pool, e.server.Name, r, askedAt}:
		case <-ctx.Done():
		}
	}()
}
