// Package vm assembles an entry VM and runs its background tasks as one group:
// when one of them returns, all are stopped. A termination signal starts a
// graceful shutdown: readiness fails, the VM waits for the load balancer to notice
// and leaves the peers' membership, new requests are rejected with verdict NotRun,
// requests in progress complete, and the tasks stop.
package vm

import (
	"context"
	"crypto/ed25519"
	"encoding/hex"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/oklog/run"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"lagoonlink.org/lagoonlink/internal/attempt"
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
	"lagoonlink.org/lagoonlink/internal/reach"
	"lagoonlink.org/lagoonlink/internal/settings"
	"lagoonlink.org/lagoonlink/internal/status"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/configuration"
	"lagoonlink.org/rollout/engine"
	"lagoonlink.org/rollout/fair"
	"lagoonlink.org/rollout/httpclient"
	"lagoonlink.org/rollout/isolation"
	"lagoonlink.org/rollout/lifecycle"
	"lagoonlink.org/rollout/membership"
	"lagoonlink.org/rollout/placement"
	"lagoonlink.org/rollout/platform"
	"lagoonlink.org/rollout/service"
	"lagoonlink.org/rollout/wire"
)

// Limits of the outgoing HTTP connections. Control connections carry requests to
// the platform, load reports and orders.
const (
	connectTimeout   = 500 * time.Millisecond
	maxIdlePerServer = 64
	maxIdleControl   = 4
	// peerLostAfter is how long another VM may leave data or keep-alive probes unacknowledged.
	peerLostAfter = 3 * time.Second
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
	attempts *attempt.Server
	status   *status.Server
	reach    *reach.Watcher
	closers  []io.Closer
}

// New assembles an entry VM. It opens the UDP socket for peers; the other ports
// are opened by Run.
func New(s settings.Settings) (*VM, error) {
	hlog.SetOutput(io.Discard)
	keys, err := s.Peers.ReadKeys()
	if err != nil {
		return nil, err
	}
	v := &VM{settings: s, logger: event.NewLogger(newLogger(s.Log)), inForce: &inforce.Holder{}}
	scope, handler := v.newMetrics()
	serverClient := httpclient.New(httpclient.Config{ConnectTimeout: connectTimeout, MaxIdlePerServer: maxIdlePerServer, MaxBufferedBytes: int64(s.Limits.ResponseBytes)})
	controlClient := httpclient.New(httpclient.Config{ConnectTimeout: connectTimeout, MaxIdlePerServer: maxIdleControl})
	v.platform = platform.New(controlClient,
		platform.Addresses{Log: s.Platform.Log, Weights: s.Platform.Weights, VMs: s.Platform.VMs})
	engines := engine.New(serverClient, s.Timing.Silence)
	v.dispatch = dispatch.New(v.dispatchConfig())
	v.reach = reach.New(reach.Config{Zone: rollout.Zone(s.VM.Zone), InForce: v.inForce, Probe: httpclient.Connects, Seed: rand.IntN(1 << 20), Logger: v.logger, Metrics: scope})
	if v.node, err = peer.Listen(v.peerConfig(keys)); err != nil {
		return nil, err
	}
	peers := attempt.NewClient(attempt.ClientConfig{
		Zone: rollout.Zone(s.VM.Zone), VMs: v.otherVMs, HTTP: newPeerClient(s), Authorize: v.node.Authorize, Silence: s.Timing.Silence,
		InForce: v.inForce, Logger: v.logger, Metrics: scope,
	})
	maker := attempt.NewMaker(attempt.Config{Dispatch: v.dispatch, Engine: engines, Service: service.New(serverClient), Reach: v.reach, Peers: peers})
	control := attempt.NewControl(attempt.ControlConfig{Engine: engine.New(controlClient, s.Timing.Silence), Reach: v.reach, Peers: peers, InForce: v.inForce})
	v.attempts = attempt.NewServer(attempt.ServerConfig{Maker: maker, Control: control, InForce: v.inForce, IsolatedNow: v.reach.IsolatedNow, MaxBytes: int64(s.Limits.PeerBytes)})
	v.holder = holder.New(holder.Config{
		VM: rollout.VMName(s.VM.Name), QueueSize: s.Limits.Ring, StepIdle: s.Timing.StepIdle, DisableHedging: s.Bench.NoTwins,
		InForce: v.inForce, Attempts: maker, Logger: v.logger, Metrics: scope,
	})
	v.follower = follow.New(follow.Config{
		VM: rollout.VMName(s.VM.Name), Zone: rollout.Zone(s.VM.Zone), Log: v.platform, Peers: v.node, InForce: v.inForce,
		Logger: v.logger, SnapshotEvery: s.Timing.SnapshotEvery, Checks: configuration.Checks{VerifySignature: signatureCheck(s.Publish)},
	})
	v.orders = orders.New(orders.Config{
		VM: rollout.VMName(s.VM.Name), Zone: rollout.Zone(s.VM.Zone), Log: v.platform, Weights: v.platform, Engine: control,
		Dispatch: v.dispatch, InForce: v.inForce, Roster: v.node.Roster, Logger: v.logger, WeightsEvery: s.Timing.WeightsEvery,
		Lease: s.Timing.Lease, Guard: s.Timing.Guard, ReportsPerSecond: s.Limits.ReportsASecond,
	})
	v.entry = entry.New(entry.Config{
		VM: rollout.VMName(s.VM.Name), Address: s.Listen.Callers, MaxBodyBytes: s.Limits.BodyBytes, RequestTimeout: s.Timing.Request,
		InForce: v.inForce, Attempts: maker, Holder: v.holder, Peers: v.node,
		Identities: identity.New(rollout.VMName(s.VM.Name), uint64(time.Now().UnixNano())), Logger: v.logger, Metrics: scope,
	})
	v.status = status.New(status.Config{
		VM: rollout.VMName(s.VM.Name), Zone: rollout.Zone(s.VM.Zone), Address: s.Listen.Operations, InForce: v.inForce,
		Dispatch: v.dispatch, Holder: v.holder, Node: v.node, LogLastRead: v.follower.LastRead, Active: v.entry.Active,
		Metrics: handler, Logger: v.logger, ControlTraffic: controlClient.Traffic,
	})
	return v, nil
}

func newLogger(c settings.Log) *logrus.Logger {
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

func (v *VM) newMetrics() (tally.Scope, http.Handler) {
	scope, handler, closer := metrics.New(map[string]string{"vm": v.settings.VM.Name, "zone": v.settings.VM.Zone})
	v.closers = append(v.closers, closer)
	return scope, handler
}

var placementPolicies = map[string]placement.Policy{
	"locality":          placement.PolicyLocality,
	"round-robin":       placement.PolicyRoundRobin,
	"least-outstanding": placement.PolicyLeastOutstanding,
}

func (v *VM) dispatchConfig() dispatch.Config {
	s := v.settings
	return dispatch.Config{
		Zone:      rollout.Zone(s.VM.Zone),
		QueueSize: s.Limits.Ring,
		Limits:    fair.Limits{Items: s.Limits.QueuedPerClass, TenantItems: s.Limits.QueuedPerTenant},
		Policy:    placementPolicies[s.Bench.Placement],
		InForce:   v.inForce,
		Logger:    v.logger,
		Reachable: httpclient.Reachable, Refuses: httpclient.Refuses,
		Announce: func() { v.node.Announce() },
	}
}

func (v *VM) peerConfig(keys [][]byte) peer.Config {
	s := v.settings
	return peer.Config{
		VM:            rollout.VMName(s.VM.Name),
		Zone:          rollout.Zone(s.VM.Zone),
		Address:       s.Listen.Peers,
		Seeds:         s.Peers.Seeds,
		Keys:          keys,
		QueueSize:     s.Limits.Ring,
		Logger:        v.logger,
		Suspicions:    v.dispatch.Suspicions,
		OnSuspicions:  v.dispatch.MergeSuspicions,
		OnFacts:       func(from membership.Member, f membership.Facts) { v.follower.QueueFacts(from, f) },
		HandleRequest: v.handlePeerRequest,
		// The server of attempts needs the node, so it is looked up when it is used.
		Handlers: map[string]http.Handler{attempt.Path: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { v.attempts.ServeHTTP(w, r) })},
	}
}

// newPeerClient returns the client for attempts through other VMs. It finds out by itself when
// one of them is gone, because samples have no deadline.
func newPeerClient(s settings.Settings) *httpclient.Client {
	return httpclient.New(httpclient.Config{
		ConnectTimeout: connectTimeout, MaxIdlePerServer: maxIdlePerServer, UnacknowledgedTimeout: peerLostAfter, MaxBufferedBytes: int64(s.Limits.ResponseBytes),
	})
}

// otherVMs returns the other VMs that are alive.
func (v *VM) otherVMs() []isolation.Peer {
	var out []isolation.Peer
	for _, m := range v.node.Members() {
		if m.State == lifecycle.VMAlive {
			out = append(out, isolation.Peer{VM: m.Name, Zone: m.Zone, Address: m.Address})
		}
	}
	return out
}

func (v *VM) handlePeerRequest(ctx context.Context, b wire.Body) wire.Body {
	if b.FetchState == nil {
		return v.entry.Handle(ctx, b)
	}
	s, ok := v.follower.State()
	if !ok {
		return wire.Body{Failure: wire.NewFailure(rollout.Refuse(rollout.ReasonNoConfiguration, "no configuration state has been read from the log yet"))}
	}
	return wire.Body{State: &s}
}

// signatureCheck returns a function that verifies that a publication is signed
// with one of the operators' keys. It returns nil if no keys are configured, in
// which case publications need no signature.
func signatureCheck(p settings.Publish) func(configuration.Publication) error {
	if len(p.Keys) == 0 {
		return nil
	}
	return func(pub configuration.Publication) error {
		for _, encoded := range p.Keys {
			key, err := hex.DecodeString(encoded)
			if err == nil && ed25519.Verify(key, pub.SigningBytes(), pub.Signature) {
				return nil
			}
		}
		return errors.New("the publication is not signed with an operator's key")
	}
}

// Run runs the entry VM until a graceful shutdown completes or a task fails.
func (v *VM) Run() error {
	v.logger.Write(event.Started, event.Fields{"VM": v.settings.VM.Name, "Zone": v.settings.VM.Zone})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group run.Group
	for name, task := range v.tasks() {
		group.Add(func() error { return v.logTaskError(name, task(ctx)) }, func(error) { cancel() })
	}
	group.Add(func() error { return v.drainOnSignal(ctx) }, func(error) { cancel() })
	err := group.Run()
	for _, c := range v.closers {
		_ = c.Close()
	}
	return err
}

// tasks returns the background tasks by the name that log lines carry.
func (v *VM) tasks() map[string]func(context.Context) error {
	return map[string]func(context.Context) error{
		"dispatch":   v.dispatch.Run,
		"holder":     v.holder.Run,
		"datagrams":  v.node.ReadDatagrams,
		"membership": v.node.RunMembership,
		"peers":      v.node.Serve,
		"follow":     v.follower.Run,
		"orders":     v.orders.Run,
		"list":       v.pollVMList,
		"entry":      v.entry.Run,
		"reach":      v.reach.Run,
		"status":     v.status.Run,
	}
}

func (v *VM) logTaskError(name string, err error) error {
	if err != nil {
		v.logger.Write(event.TaskFailed, event.Fields{"Duty": name, "Error": err})
	}
	return err
}

// pollVMList reads the platform's list of VMs every Timing.ListEvery. The list
// provides seed addresses of entry VMs and the backend servers that are leaving.
// A failure is logged once, until a read succeeds again.
func (v *VM) pollVMList(ctx context.Context) error {
	ticker := time.NewTicker(v.settings.Timing.ListEvery)
	defer ticker.Stop()
	failing := false
	for {
		list, err := v.fetchVMList(ctx)
		if err != nil && !failing && ctx.Err() == nil {
			v.logger.Write(event.VMListUnreadable, event.Fields{"Error": err})
		}
		failing = err != nil
		if err == nil {
			v.applyVMList(list)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (v *VM) fetchVMList(ctx context.Context) ([]rollout.ListedVM, error) {
	ctx, cancel := context.WithTimeout(ctx, v.settings.Timing.ListEvery)
	defer cancel()
	return v.platform.List(ctx)
}

// entryPrefix is the prefix of the names of entry VMs in the platform's list.
const entryPrefix = "entry/"

func (v *VM) applyVMList(list []rollout.ListedVM) {
	var seeds []string
	leaving := map[string]bool{}
	for _, m := range list {
		switch {
		case len(m.Name) > len(entryPrefix) && m.Name[:len(entryPrefix)] == entryPrefix:
			seeds = append(seeds, m.Address)
		case m.Leaving:
			leaving[m.Address] = true
		}
	}
	v.node.Seed(seeds)
	v.dispatch.SetListedLeaving(leaving)
}

// drainOnSignal reports the VM as ready, waits for a termination signal, and then
// performs the graceful shutdown.
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
	v.attempts.Leave()
	pause.For(ctx, v.settings.Timing.Notice)
	v.node.Leave(ctx)
	v.entry.Drain()
	v.awaitIdle(ctx)
	return nil
}

// drainPollInterval is how often a draining VM checks for requests in progress.
const drainPollInterval = 20 * time.Millisecond

// awaitIdle waits until no request is in progress, for at most Timing.Drain.
func (v *VM) awaitIdle(ctx context.Context) {
	deadline := time.Now().Add(v.settings.Timing.Drain)
	for v.entry.Active()+v.attempts.Active() > 0 {
		if time.Now().After(deadline) {
			v.logger.Write(event.DrainTimeout, event.Fields{"Active": v.entry.Active() + v.attempts.Active()})
			return
		}
		pause.For(ctx, drainPollInterval)
	}
	v.logger.Write(event.Drained, event.Fields{})
}
