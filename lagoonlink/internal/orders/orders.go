// Package orders is the duty that brings new weights to the engines of this
// VM's zone. For each pool the zone's first VM by hash reads the weight store,
// claims the orders on the platform's log when an engine lacks a version, and
// sends them in waves. Everything that must hold if two VMs do so at once is
// carried by the claims and by the labels that come with tokens.
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

// Config configures the duty.
type Config struct {
	VM           rollout.VMName
	Zone         rollout.Zone
	Log          rollout.Log
	Weights      rollout.WeightStore
	Engine       rollout.Engine
	Dispatch     *dispatch.Dispatcher
	InForce      *inforce.Holder
	Roster       func() membership.Roster
	Logger       *event.Logger
	WeightsEvery time.Duration
	Lease        time.Duration
	Guard        time.Duration
	// ReportsASecond bounds the load reports asked for each second.
	ReportsASecond int
}

// Numbers of the duty.
const (
	stepEvery     = 100 * time.Millisecond
	callTimeout   = 2 * time.Second
	readLimit     = 512
	claimPause    = 500 * time.Millisecond
	maxConcurrent = 64
	// swapReportsASecond are asked while weights change.
	swapReportsASecond = 100
)

type report struct {
	pool   rollout.PoolName
	server rollout.ServerName
	report rollout.LoadReport
}

type orderDone struct {
	pool   rollout.PoolName
	server rollout.ServerName
	order  rollout.Order
	err    error
}

type claimDone struct {
	err error
}

type claimsRead struct {
	result rollout.ReadResult
	err    error
}

// poolState is the duty's state of one pool.
type poolState struct {
	pool  rollout.Pool
	waves *weights.Waves
	// claim is this VM's last claim; asked is when its append began.
	claim  weights.Claim
	asked  time.Time
	paused time.Time
	won    rollout.Offset
}

// Orders is the duty.
type Orders struct {
	config  Config
	pools   map[rollout.PoolName]*poolState
	claims  *weights.Claims
	reports chan report
	orders  chan orderDone
	claimed chan claimDone
	latest  chan map[rollout.ModelName]rollout.WeightVersion
	read    chan claimsRead
	slots   chan struct{}
	nonce   uint64
	reading bool
	caught  bool
	asking  bool
	weights time.Time
	next    int
	asked   float64
	last    time.Time
}

// New returns the duty.
func New(c Config) *Orders {
	return &Orders{
		config:  c,
		pools:   map[rollout.PoolName]*poolState{},
		claims:  weights.NewClaims(),
		reports: make(chan report, maxConcurrent),
		orders:  make(chan orderDone, maxConcurrent),
		claimed: make(chan claimDone, maxConcurrent),
		latest:  make(chan map[rollout.ModelName]rollout.WeightVersion, 1),
		read:    make(chan claimsRead, 1),
		slots:   make(chan struct{}, maxConcurrent),
		nonce:   uint64(time.Now().UnixNano()),
	}
}

// Run is the duty's loop. Calls run apart and come back on rings.
func (o *Orders) Run(ctx context.Context) error {
	changes := o.config.InForce.Watch()
	tick := time.NewTicker(stepEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changes:
			o.declare(o.config.InForce.Current().Configuration)
		case r := <-o.reports:
			o.reported(r)
		case d := <-o.orders:
			o.ordered(d)
		case c := <-o.claimed:
			if c.err != nil {
				o.config.Logger.Write(event.ClaimFailed, event.Fields{"Error": c.err})
			}
		case l := <-o.latest:
			o.target(l)
		case r := <-o.read:
			o.took(r)
		case now := <-tick.C:
			o.step(ctx, now)
		}
	}
}

// declare follows the configuration: this VM orders the engines of its zone.
func (o *Orders) declare(c rollout.Configuration) {
	seen := map[rollout.PoolName]bool{}
	for _, p := range c.Pools {
		seen[p.Name] = true
		s := o.pools[p.Name]
		if s == nil {
			s = &poolState{waves: weights.NewWaves(weights.DefaultConfig())}
			o.pools[p.Name] = s
		}
		s.pool = p
		var names []rollout.ServerName
		for _, e := range p.Servers {
			if e.Zone == o.config.Zone && !e.Leaving {
				names = append(names, e.Name)
			}
		}
		s.waves.Declare(names)
	}
	for name := range o.pools {
		if !seen[name] {
			delete(o.pools, name)
		}
	}
}

func (o *Orders) reported(r report) {
	o.config.Dispatch.Reported(r.pool, r.server, r.report)
	if s := o.pools[r.pool]; s != nil {
		s.waves.Reported(r.server, r.report.Loaded)
	}
}

func (o *Orders) ordered(d orderDone) {
	if d.err == nil {
		return
	}
	o.config.Logger.Write(event.OrderFailed, event.Fields{"Server": d.server, "Model": d.order.Model, "Version": d.order.Version, "Error": d.err})
	if s := o.pools[d.pool]; s != nil {
		s.waves.Failed(time.Now(), d.server, d.order.Model)
	}
}

func (o *Orders) target(latest map[rollout.ModelName]rollout.WeightVersion) {
	o.asking = false
	for _, s := range o.pools {
		for _, m := range s.pool.Models {
			s.waves.Target(m, latest[m])
		}
	}
}

func (o *Orders) took(r claimsRead) {
	o.reading = false
	if r.err != nil {
		return
	}
	o.claims.Read(time.Now(), r.result)
	o.caught = len(r.result.Records) == 0 || r.result.Records[len(r.result.Records)-1].Offset+1 >= r.result.Next
}

func (o *Orders) step(ctx context.Context, now time.Time) {
	o.askLatest(ctx, now)
	o.askReports(ctx, now)
	o.readClaims(ctx)
	for _, s := range o.pools {
		if o.holds(s) && s.waves.Due() {
			o.order(ctx, now, s)
		}
	}
}

// key names the claim of a pool's orders in this zone.
func (o *Orders) key(s *poolState) string {
	return "orders/" + string(s.pool.Name) + "/" + string(o.config.Zone)
}

// holds reports whether this VM is the first of its zone for the pool.
func (o *Orders) holds(s *poolState) bool {
	ranked := o.config.Roster().Rank(o.key(s), o.config.Zone)
	return len(ranked) > 0 && ranked[0].Name == o.config.VM
}

// order sends the orders that are due under this VM's claim, or claims.
func (o *Orders) order(ctx context.Context, now time.Time, s *poolState) {
	fence, won := o.claims.Fence(s.claim)
	if !won || s.claim.Key == "" || now.Sub(s.asked) >= o.config.Lease {
		o.claim(ctx, now, s)
		return
	}
	if s.won != fence {
		s.won = fence
		o.config.Logger.Write(event.ClaimWon, event.Fields{"Key": s.claim.Key, "Fence": fence})
	}
	lapses := s.asked.Add(o.config.Lease)
	for _, send := range s.waves.Next(now, fence) {
		o.send(ctx, s.pool, send, lapses)
	}
}

// fenced reports whether every engine of the zone checks fencing numbers, so
// that a former holder's lease need not be waited out.
func (s *poolState) fenced(z rollout.Zone) bool {
	for _, e := range s.pool.Servers {
		if e.Zone == z && !e.ChecksFence {
			return false
		}
	}
	return true
}

// claim appends a claim. Its lease counts from before the append, on this VM's
// monotonic clock.
func (o *Orders) claim(ctx context.Context, now time.Time, s *poolState) {
	if !o.caught || now.Before(s.paused) {
		return
	}
	key := o.key(s)
	prior, free := o.claims.Prior(now, key, o.config.Lease, o.config.Guard)
	_, mine := o.claims.Fence(s.claim)
	if !free && !mine && !s.fenced(o.config.Zone) {
		return
	}
	o.nonce++
	s.claim = weights.Claim{Key: key, VM: o.config.VM, Nonce: o.nonce, Prior: prior}
	s.asked = now
	s.paused = now.Add(claimPause)
	data, err := weights.EncodeClaim(s.claim)
	if err != nil {
		o.config.Logger.Write(event.ClaimFailed, event.Fields{"Error": err})
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		_, err := o.config.Log.Append(ctx, rollout.StreamClaims, data)
		o.claimed <- claimDone{err: err}
	}()
}

// send sends one order, unless its claim has lapsed by the moment of sending.
func (o *Orders) send(ctx context.Context, p rollout.Pool, s weights.Send, lapses time.Time) {
	address := ""
	for _, e := range p.Servers {
		if e.Name == s.Server {
			address = e.Address
		}
	}
	o.slots <- struct{}{}
	go func() {
		defer func() { <-o.slots }()
		ctx, cancel := context.WithDeadline(ctx, lapses)
		defer cancel()
		if !time.Now().Before(lapses) {
			o.config.Logger.Write(event.OrderLapsed, event.Fields{"Server": s.Server})
			o.orders <- orderDone{p.Name, s.Server, s.Order, rollout.Refuse(rollout.ReasonDeadline, "the claim lapsed")}
			return
		}
		o.config.Logger.Write(event.OrderSent, event.Fields{"Server": s.Server, "Model": s.Order.Model, "Version": s.Order.Version, "Fence": s.Order.Fence})
		o.orders <- orderDone{p.Name, s.Server, s.Order, o.config.Engine.Order(ctx, address, s.Order)}
	}()
}

func (o *Orders) askLatest(ctx context.Context, now time.Time) {
	if o.asking || now.Sub(o.weights) < o.config.WeightsEvery || !o.holdsAny() {
		return
	}
	o.asking, o.weights = true, now
	go func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		l, err := o.config.Weights.Latest(ctx)
		if err != nil {
			o.config.Logger.Write(event.WeightsUnread, event.Fields{"Error": err})
		}
		o.latest <- l
	}()
}

func (o *Orders) holdsAny() bool {
	for _, s := range o.pools {
		if o.holds(s) {
			return true
		}
	}
	return false
}

func (o *Orders) readClaims(ctx context.Context) {
	if o.reading || !o.holdsAny() {
		return
	}
	o.reading = true
	go func(from rollout.Offset) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		r, err := o.config.Log.Read(ctx, rollout.StreamClaims, from, readLimit, time.Second)
		if err != nil {
			time.Sleep(claimPause)
		}
		o.read <- claimsRead{r, err}
	}(o.claims.Next())
}

// askReports asks engines for their load, each in turn, within the bound. While
// this VM brings weights to its zone it asks the zone's engines only, and more
// often.
func (o *Orders) askReports(ctx context.Context, now time.Time) {
	bound, engines := float64(o.config.ReportsASecond), o.engines()
	if swapping := o.swapping(engines); len(swapping) > 0 {
		bound, engines = swapReportsASecond, swapping
	}
	if !o.last.IsZero() {
		o.asked = min(o.asked+now.Sub(o.last).Seconds()*bound, bound)
	}
	o.last = now
	for o.asked >= 1 && len(engines) > 0 {
		o.asked--
		o.next++
		o.askReport(ctx, engines[o.next%len(engines)])
	}
}

// swapping returns the engines of this zone in pools whose weights this VM is
// bringing.
func (o *Orders) swapping(all []pooledServer) []pooledServer {
	var out []pooledServer
	for _, e := range all {
		if s := o.pools[e.pool]; s != nil && e.server.Zone == o.config.Zone && o.holds(s) && s.waves.Due() {
			out = append(out, e)
		}
	}
	return out
}

type pooledServer struct {
	pool   rollout.PoolName
	server rollout.Server
}

// engines lists the engines in declared order.
func (o *Orders) engines() []pooledServer {
	v := o.config.InForce.Current()
	if v == nil {
		return nil
	}
	var out []pooledServer
	for _, p := range v.Configuration.Pools {
		for _, s := range p.Servers {
			out = append(out, pooledServer{p.Name, s})
		}
	}
	return out
}

func (o *Orders) askReport(ctx context.Context, e pooledServer) {
	select {
	case o.slots <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-o.slots }()
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		r, err := o.config.Engine.Load(ctx, e.server.Address)
		if err != nil {
			return
		}
		select {
		case o.reports <- report{e.pool, e.server.Name, r}:
		case <-ctx.Done():
		}
	}()
}
