// Package vm assembles an entry VM from its duties and runs them as one group:
// when one ends, all end. A termination signal begins a graceful shutdown:
// readiness fails, the balancer gets its notice, new requests are refused as not
// run, requests in progress end, the peers are told, the duties stop.
package vm

import (
	"context"
	"crypto/ed25519"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/oklog/run"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"lagoonlink.org/lagoonlink/internal/dispatch"
	"lagoonlink.org/lagoonlink/internal/entry"
	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/follow"
	"lagoonlink.org/lagoonlink/internal/holder"
	"lagoonlink.org/lagoonlink/internal/identity"
	"lagoonlink.org/lagoonlink/internal/inforce"
	"lagoonlink.org/lagoonlink/internal/metrics"
	"lagoonlink.org/lagoonlink/internal/orders"
	"lagoonlink.org/lagoonlink/internal/pause"
	"lagoonlink.org/lagoonlink/internal/peer"
	"lagoonlink.org/lagoonlink/internal/settings"
	"lagoonlink.org/lagoonlink/internal/status"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/configuration"
	"lagoonlink.org/rollout/engine"
	"lagoonlink.org/rollout/exchange"
	"lagoonlink.org/rollout/fair"
	"lagoonlink.org/rollout/membership"
	"lagoonlink.org/rollout/placement"
	"lagoonlink.org/rollout/platform"
	"lagoonlink.org/rollout/service"
	"lagoonlink.org/rollout/wire"
)

// Numbers of the outgoing connections.
const (
	connectTimeout = 500 * time.Millisecond
	idlePerServer  = 64
	idleControl    = 4
)

// VM is one entry VM.
type VM struct {
	settings settings.Settings
	logger   *event.Logger
	platform *platform.Client
	inForce  *inforce.Holder
	dispatch *dispatch.Dispatcher
	holder   *holder.Holder
	node     *peer.Node
	follower *follow.Follower
	orders   *orders.Orders
	entry    *entry.Entry
	status   *status.Server
	closers  []io.Closer
}

// New assembles an entry VM. It opens the peer sockets.
func New(s settings.Settings) (*VM, error) {
	hlog.SetOutput(io.Discard)
	keys, err := s.Peers.ReadKeys()
	if err != nil {
		return nil, err
	}
	v := &VM{settings: s, logger: event.NewLogger(newLog(s.Log)), inForce: &inforce.Holder{}}
	scope, handler := v.metrics()
	outgoing := exchange.New(exchange.Config{Connect: connectTimeout, IdlePerServer: idlePerServer})
	control := exchange.New(exchange.Config{Connect: connectTimeout, IdlePerServer: idleControl})
	v.platform = platform.New(control,
		platform.Addresses{Log: s.Platform.Log, Weights: s.Platform.Weights, VMs: s.Platform.VMs})
	engines := engine.New(outgoing, s.Timing.Silence)
	v.dispatch = dispatch.New(v.dispatchConfig())
	v.holder = holder.New(holder.Config{
		VM: rollout.VMName(s.VM.Name), Ring: s.Limits.Ring, StepIdle: s.Timing.StepIdle, NoTwins: s.Bench.NoTwins,
		InForce: v.inForce, Dispatch: v.dispatch, Engine: engines, Logger: v.logger, Metrics: scope,
	})
	if v.node, err = peer.Listen(v.peerConfig(keys)); err != nil {
		return nil, err
	}
	v.follower = follow.New(follow.Config{
		VM: rollout.VMName(s.VM.Name), Zone: rollout.Zone(s.VM.Zone), Log: v.platform, Peers: v.node, InForce: v.inForce,
		Logger: v.logger, SnapshotEvery: s.Timing.SnapshotEvery, Checks: configuration.Checks{Signed: signatures(s.Publish)},
	})
	v.orders = orders.New(orders.Config{
		VM: rollout.VMName(s.VM.Name), Zone: rollout.Zone(s.VM.Zone), Log: v.platform, Weights: v.platform, Engine: engine.New(control, s.Timing.Silence),
		Dispatch: v.dispatch, InForce: v.inForce, Roster: v.node.Roster, Logger: v.logger, WeightsEvery: s.Timing.WeightsEvery,
		Lease: s.Timing.Lease, Guard: s.Timing.Guard, ReportsASecond: s.Limits.ReportsASecond,
	})
	v.entry = entry.New(entry.Config{
		VM: rollout.VMName(s.VM.Name), Address: s.Listen.Callers, BodyBytes: s.Limits.BodyBytes, Request: s.Timing.Request,
		InForce: v.inForce, Dispatch: v.dispatch, Holder: v.holder, Peers: v.node, Engine: engines, Service: service.New(outgoing),
		Mint: identity.New(rollout.VMName(s.VM.Name), uint64(time.Now().UnixNano())), Logger: v.logger, Metrics: scope,
	})
	v.status = status.New(status.Config{
		VM: rollout.VMName(s.VM.Name), Zone: rollout.Zone(s.VM.Zone), Address: s.Listen.Operations, InForce: v.inForce,
		Dispatch: v.dispatch, Holder: v.holder, Node: v.node, LastRead: v.follower.LastRead, Active: v.entry.Active,
		Metrics: handler, Logger: v.logger, Control: control.Traffic,
	})
	return v, nil
}

func newLog(c settings.Log) *logrus.Logger {
	l := logrus.New()
	l.SetOutput(os.Stderr)
	if c.Format == "json" {
		l.SetFormatter(&logrus.JSONFormatter{})
	}
	if level, err := logrus.ParseLevel(c.Level); err == nil {
		l.SetLevel(level)
	}
	return l
}

func (v *VM) metrics() (tally.Scope, http.Handler) {
	scope, handler, closer := metrics.New(map[string]string{"vm": v.settings.VM.Name, "zone": v.settings.VM.Zone})
	v.closers = append(v.closers, closer)
	return scope, handler
}

var placements = map[string]placement.Policy{
	"locality":          placement.PolicyLocality,
	"round-robin":       placement.PolicyRoundRobin,
	"least-outstanding": placement.PolicyLeastOutstanding,
}

func (v *VM) dispatchConfig() dispatch.Config {
	s := v.settings
	return dispatch.Config{
		Zone:      rollout.Zone(s.VM.Zone),
		Ring:      s.Limits.Ring,
		Limits:    fair.Limits{Items: s.Limits.QueuedPerClass, TenantItems: s.Limits.QueuedPerTenant},
		Policy:    placements[s.Bench.Placement],
		InForce:   v.inForce,
		Logger:    v.logger,
		Reachable: exchange.Reachable,
		Announce:  func() { v.node.Announce() },
	}
}

func (v *VM) peerConfig(keys [][]byte) peer.Config {
	s := v.settings
	return peer.Config{
		VM:      rollout.VMName(s.VM.Name),
		Zone:    rollout.Zone(s.VM.Zone),
		Address: s.Listen.Peers,
		Seeds:   s.Peers.Seeds,
		Keys:    keys,
		Ring:    s.Limits.Ring,
		Logger:  v.logger,
		Rumors:  v.dispatch.Rumors,
		Heard:   v.dispatch.Heard,
		Facts:   func(from membership.Member, f membership.Facts) { v.follower.Heard(from, f) },
		Handle:  v.handle,
	}
}

// handle answers a peer's request.
func (v *VM) handle(ctx context.Context, b wire.Body) wire.Body {
	if b.FetchState == nil {
		return v.entry.Handle(ctx, b)
	}
	s, ok := v.follower.State()
	if !ok {
		return wire.Body{Failure: wire.AsFailure(rollout.Refuse(rollout.ReasonNoConfiguration, "nothing is folded yet"))}
	}
	return wire.Body{State: &s}
}

// signatures returns the check of publications' signatures, or nil when the
// deployment asks for none.
func signatures(p settings.Publish) func(configuration.Publication) error {
	if len(p.Keys) == 0 {
		return nil
	}
	return func(pub configuration.Publication) error {
		for _, text := range p.Keys {
			key, err := hex.DecodeString(text)
			if err == nil && ed25519.Verify(key, pub.SigningBytes(), pub.Signature) {
				return nil
			}
		}
		return errors.New("the publication is not signed with an operator's key")
	}
}

// Run runs the entry VM until a signal or a failure.
func (v *VM) Run() error {
	v.logger.Write(event.Started, event.Fields{"VM": v.settings.VM.Name, "Zone": v.settings.VM.Zone})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group run.Group
	for name, duty := range v.duties() {
		group.Add(func() error { return v.named(name, duty(ctx)) }, func(error) { cancel() })
	}
	group.Add(func() error { return v.drainOnSignal(ctx) }, func(error) { cancel() })
	err := group.Run()
	for _, c := range v.closers {
		_ = c.Close()
	}
	return err
}

func (v *VM) duties() map[string]func(context.Context) error {
	return map[string]func(context.Context) error{
		"dispatch":   v.dispatch.Run,
		"holder":     v.holder.Run,
		"datagrams":  v.node.ReadDatagrams,
		"membership": v.node.KeepMembership,
		"peers":      v.node.Serve,
		"follow":     v.follower.Run,
		"orders":     v.orders.Run,
		"list":       v.readList,
		"entry":      v.entry.Run,
		"status":     v.status.Run,
	}
}

func (v *VM) named(name string, err error) error {
	if err != nil {
		v.logger.Write(event.DutyFailed, event.Fields{"Duty": name, "Error": err})
	}
	return err
}

// readList reads the platform's list of VMs: it seeds the membership and shows
// which backend servers leave.
func (v *VM) readList(ctx context.Context) error {
	tick := time.NewTicker(v.settings.Timing.ListEvery)
	defer tick.Stop()
	failing := false
	for {
		list, err := v.list(ctx)
		if err != nil && !failing && ctx.Err() == nil {
			v.logger.Write(event.ListUnread, event.Fields{"Error": err})
		}
		failing = err != nil
		if err == nil {
			v.listed(list)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

func (v *VM) list(ctx context.Context) ([]rollout.ListedVM, error) {
	ctx, cancel := context.WithTimeout(ctx, v.settings.Timing.ListEvery)
	defer cancel()
	return v.platform.List(ctx)
}

// entryKind begins the names of entry VMs in the platform's list.
const entryKind = "entry/"

func (v *VM) listed(list []rollout.ListedVM) {
	var seeds []string
	leaving := map[string]bool{}
	for _, m := range list {
		switch {
		case len(m.Name) > len(entryKind) && m.Name[:len(entryKind)] == entryKind:
			seeds = append(seeds, m.Address)
		case m.Leaving:
			leaving[m.Address] = true
		}
	}
	v.node.Seed(seeds)
	v.dispatch.Listed(leaving)
}

// drainOnSignal waits for a termination signal and then stops gracefully.
func (v *VM) drainOnSignal(ctx context.Context) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	v.status.SetReady(true)
	select {
	case <-signals:
	case <-ctx.Done():
		return nil
	}
	v.logger.Write(event.Draining, event.Fields{"Active": v.entry.Active()})
	v.status.SetReady(false)
	pause.For(ctx, v.settings.Timing.Notice)
	v.node.Leave(ctx)
	v.entry.Drain()
	v.awaitIdle(ctx)
	return nil
}

// idlePause is how often a draining VM looks for requests in progress.
const idlePause = 20 * time.Millisecond

func (v *VM) awaitIdle(ctx context.Context) {
	end := time.Now().Add(v.settings.Timing.Drain)
	for v.entry.Active() > 0 {
		if time.Now().After(end) {
			v.logger.Write(event.DrainTimeout, event.Fields{"Active": v.entry.Active()})
			return
		}
		pause.For(ctx, idlePause)
	}
	v.logger.Write(event.Drained, event.Fields{})
}
