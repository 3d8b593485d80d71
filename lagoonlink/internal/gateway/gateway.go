// Package gateway assembles an entry VM of a deployment that keeps its state in
// the platform's store. The VM's tasks run as one group: when one returns, all
// are stopped. A termination signal starts a graceful shutdown: readiness checks
// fail, the partial output of running samples is stored, the partitions are
// released to other VMs, and requests in progress are completed.
package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"lagoonlink.org/lagoonlink/internal/admission"
	"lagoonlink.org/lagoonlink/internal/departure"
	"lagoonlink.org/lagoonlink/internal/directory"
	"lagoonlink.org/lagoonlink/internal/dispatch"
	"lagoonlink.org/lagoonlink/internal/duties"
	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/fleet"
	"lagoonlink.org/lagoonlink/internal/forwarding"
	"lagoonlink.org/lagoonlink/internal/incarnation"
	"lagoonlink.org/lagoonlink/internal/inforce"
	"lagoonlink.org/lagoonlink/internal/jobs"
	"lagoonlink.org/lagoonlink/internal/metrics"
	"lagoonlink.org/lagoonlink/internal/origins"
	"lagoonlink.org/lagoonlink/internal/ownership"
	"lagoonlink.org/lagoonlink/internal/pause"
	"lagoonlink.org/lagoonlink/internal/quotas"
	"lagoonlink.org/lagoonlink/internal/reach"
	"lagoonlink.org/lagoonlink/internal/relay"
	"lagoonlink.org/lagoonlink/internal/scaler"
	"lagoonlink.org/lagoonlink/internal/suspicions"
	"lagoonlink.org/lagoonlink/internal/swaps"
	"lagoonlink.org/lagoonlink/internal/usage"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/candidacy"
	"lagoonlink.org/rollout/fair"
	"lagoonlink.org/rollout/httpclient"
	"lagoonlink.org/rollout/isolation"
	"lagoonlink.org/rollout/job"
	"lagoonlink.org/rollout/placement"
	"lagoonlink.org/rollout/tenancy"
)

// Sizes and timeouts of the process.
const (
	// runnerGroup is the name of the group whose members share the partitions of jobs.
	runnerGroup = "runners"
	// dispatchQueueSize is the capacity of the dispatcher's message queue.
	dispatchQueueSize = 4096
	// maxQueued limits the queued items of a class and of a tenant. It holds the
	// samples of several steps of the largest trainers.
	maxQueued = 16384
	// leaseMultiple is the lease of a group membership as a multiple of the shortest
	// lease: long enough to survive two lost joins, short enough that other VMs
	// take over quickly from a VM that died.
	leaseMultiple = 1.5
	// drainNotice is how long a stopping VM still accepts new connections. The load
	// balancer checks readiness once a second and removes a VM after two failures.
	drainNotice = 2500 * time.Millisecond
	// stopRunsTimeout limits the time for storing the partial output of running samples.
	stopRunsTimeout = 1200 * time.Millisecond
	// graceMargin is the part of the platform's grace period that the shutdown
	// leaves unused, so that the process exits before SIGKILL.
	graceMargin = 700 * time.Millisecond
	// reloadInterval is how often the settings are read again, because they may
	// change without a signal.
	reloadInterval = time.Second
	// minOperatorWait and maxOperatorWait bound the wait of a read of the operators' topic.
	// All VMs share the store's rate of calls.
	minOperatorWait = 60 * time.Millisecond
	maxOperatorWait = 500 * time.Millisecond
)

// Listener accepts connections of callers and trainers, and answers the load
// balancer's readiness checks.
type Listener interface {
	Serve(ctx context.Context) error
	ServeReady(ctx context.Context) error
	// Active returns the number of requests in progress, Connections that of the
	// open connections of callers.
	Active() int
	Connections() int
	Drain()
	Shutdown(ctx context.Context) error
	Close() error
}

// Config configures the VM. The clients of the platform's services are passed in.
type Config struct {
	VM   rollout.VMName
	Zone rollout.Zone
	// Address is the VM's IP address. Another VM may get the name of one that was
	// removed; orders to engines therefore state both.
	Address string
	// Capacity is the VM's share of a processor in thousandths of a core, or 0 if it
	// is unknown.
	Capacity int
	// Partitions is the number of partitions of a topic.
	Partitions int
	// RecordBytes is the largest record of the store, CallBytes the largest total of
	// the records of one append.
	RecordBytes int
	CallBytes   int
	// MemoryMB is the memory of the VM, or 0 if it is unknown.
	MemoryMB int
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// OrderLease is the shortest time between orders of two VMs to one engine.
	OrderLease time.Duration
	// ChecksFence reports whether engines refuse orders with an old fencing token.
	ChecksFence bool
	// MinMembershipLease is the shortest lease of a group membership.
	MinMembershipLease time.Duration
	// Revocation states how removed API keys are treated.
	Revocation tenancy.Policy
	// Duties configures the calls that only one VM may make at a time.
	Duties Duties

	Journal  rollout.Journal
	Groups   rollout.Groups
	Operator rollout.Feed[rollout.Declared]
	Servers  rollout.Feed[rollout.RegisteredServer]
	// InternalAddress takes requests of other VMs. If it is empty, requests are neither taken
	// from other VMs nor sent to them.
	InternalAddress string
	// ServerClient sends requests to other VMs within the memory for responses of servers.
	ServerClient *httpclient.Client
	// Admission bounds the memory of requests of other VMs.
	Admission *admission.Controller

	Forwarder rollout.Forwarder
	Engine    rollout.SampleEngine
	Scorer    rollout.SampleScorer
	Control   rollout.EngineControl
	// Limits reports the request rate limits that servers state in their responses.
	Limits rollout.LimitSource
	// Departures reports the servers that state in their responses that they are leaving.
	Departures rollout.LeavingSource
	// Loads reports the load that servers state in their responses.
	Loads rollout.ServerLoadSource
	// BytePrice is the price of a byte between zones, in seconds of waiting; 0 means none.
	BytePrice float64
	// NewListener returns the server for callers, trainers and readiness checks.
	NewListener func(requests *relay.Relay, manager *jobs.Manager, ready func() bool) Listener
	// Terminate and Hangup deliver the signals to stop and to read the settings again.
	// The handlers are installed when the program starts, because a signal without
	// a handler would kill the process.
	Terminate, Hangup <-chan os.Signal
	// Reload reads the settings again. It returns the names of the changed settings
	// that were applied and of those that need a restart.
	Reload func() (changed, restart []string, err error)
	// MetricsAddress is the address at which MetricsHandler is served; if empty, the
	// metrics are not served.
	MetricsAddress string
	MetricsHandler http.Handler

	Logger  *event.Logger
	Sink    *event.Sink
	Metrics tally.Scope
}

// Duties configures the calls that only one VM may make at a time.
type Duties struct {
	// Cloud receives the calls. If it is nil, none are made.
	Cloud rollout.Cloud
	// ReportsUsage and OrdersServers select the calls.
	ReportsUsage, OrdersServers bool
	// Rate is the number of calls a second that Cloud takes from all VMs.
	Rate float64
	// Window is the length of a window of usage. Its report is due Late after its end.
	Window, Late time.Duration
}

// enabled reports whether any calls are made.
func (d Duties) enabled() bool { return d.Cloud != nil && (d.ReportsUsage || d.OrdersServers) }

// Gateway is one entry VM.
type Gateway struct {
	config     Config
	dispatch   *dispatch.Dispatcher
	fleet      *fleet.Fleet
	owner      *ownership.Owner
	manager    *jobs.Manager
	swaps      *swaps.Coordinator
	quotas     *quotas.Tracker
	origins    *origins.Registry
	suspicions *suspicions.Syncer
	// duties, usage and scaler are nil if there are no calls of their kind.
	duties *duties.Holder
	usage  *usage.Tracker
	scaler *scaler.Scaler
	// incarnation identifies this process in the records of these tasks.
	incarnation string
	// reach, directory and peers are nil if requests are not passed between VMs.
	reach     *reach.Watcher
	directory *directory.Directory
	peers     *forwarding.Server
	listener  Listener
	stopping  chan struct{}
	// stopsAt is when a stopping VM ends the requests that are still in progress.
	stopsAt atomic.Pointer[time.Time]
}

// New returns an entry VM that is not running yet.
func New(c Config) *Gateway {
	g := &Gateway{config: c, stopping: make(chan struct{})}
	inForce, tenantLabels := &inforce.Holder{}, metrics.NewLabels()
	g.dispatch = dispatch.New(dispatch.Config{
		Zone: c.Zone, QueueSize: dispatchQueueSize, Limits: fair.Limits{Items: maxQueued, TenantItems: maxQueued}, Policy: placement.PolicyLocality,
		InForce: inForce, Logger: c.Logger, Reachable: httpclient.Reachable, Refuses: httpclient.Refuses, Announce: func() { g.suspicions.Announce() },
		// Servers register their own concurrency limit, so it is used from the start.
		StartLimit: func(most int) int { return most },
		BytePrice:  c.BytePrice, Metrics: c.Metrics,
		Book: func(s rollout.ServerName, requests int, urgent bool) bool {
			return g.quotas.Book(s, requests, urgent)
		},
	})
	g.suspicions = suspicions.New(suspicions.Config{Journal: c.Journal, Suspicions: g.dispatch.Suspicions, OnSuspicions: g.dispatch.MergeSuspicions, Logger: c.Logger})
	g.quotas = quotas.New(quotas.Config{VM: c.VM, Journal: c.Journal, Permits: g.dispatch, Logger: c.Logger})
	c.Limits.NotifyLimits(g.quotas)
	c.Loads.NotifyLoads(g.dispatch)
	g.fleet = fleet.New(fleet.Config{Operator: c.Operator, Servers: c.Servers, InForce: inForce, Dispatch: g.dispatch, ChecksFence: c.ChecksFence, OperatorWait: operatorWait(c.Revocation), Logger: c.Logger})
	c.Departures.NotifyLeaving(g.fleet)
	forwarder, scorer := g.newUsage()
	engine := c.Engine
	if c.InternalAddress != "" {
		g.newReach(inForce, forwarder, scorer)
		forwarder, engine, scorer = g.reach, g.reach, g.reach
	}
	gate := departure.New(departure.Config{Servers: g.fleet, Forwarder: forwarder, Engine: engine, Scorer: scorer})
	g.owner = ownership.New(ownership.Config{
		VM: c.VM, Groups: c.Groups, Group: runnerGroup, Topics: []string{job.TopicIndex}, Lease: time.Duration(leaseMultiple * float64(c.MinMembershipLease)),
		Candidate: candidacy.Candidate{Capacity: c.Capacity, Partitions: c.Partitions}, HandsOver: g.handsOver, HandOver: func(ctx context.Context) { g.manager.HandOver(ctx) }, Logger: c.Logger,
	})
	incarnations := incarnation.New(incarnation.Config{Control: c.Control, Logger: c.Logger})
	var reserve func(context.Context, int) error
	if c.Admission != nil {
		reserve = c.Admission.Reserve
	}
	g.manager = jobs.New(jobs.Config{
		Reserve: reserve, VM: c.VM, Partitions: c.Partitions, RecordBytes: c.RecordBytes, CallBytes: c.CallBytes, MemoryBytes: c.MemoryMB << 20, Journal: c.Journal, Engine: gate, Scorer: gate,
		Dispatch: g.dispatch, Fleet: g.fleet, Incarnations: incarnations, InForce: inForce, Owner: g.owner, Logger: c.Logger, Metrics: c.Metrics, TenantLabels: tenantLabels,
	})
	g.swaps = swaps.New(swaps.Config{
		Holder: rollout.VMName(string(c.VM) + "@" + c.Address), Journal: c.Journal, Control: c.Control, Fleet: g.fleet, IssuesOrders: g.manager.IssuesOrders, SwapPolicy: g.manager.SwapPolicy, ChecksFence: c.ChecksFence,
		Lease: c.OrderLease, Logger: c.Logger,
	})
	g.origins = origins.New(origins.Config{Journal: c.Journal, Servers: g.fleet, Logger: c.Logger})
	g.newDuties()
	relayConfig := relay.Config{
		InForce: inForce, Dispatch: g.dispatch, Forwarder: gate, Origins: g.origins, Incarnations: incarnations, Revocation: c.Revocation, ConfigurationAge: g.fleet.ConfigurationAge,
		StopsAt: g.stopTime, TenantLabels: tenantLabels, Logger: c.Logger, Metrics: c.Metrics,
	}
	if g.usage != nil && c.Duties.ReportsUsage {
		relayConfig.Usage = g.usage
	}
	if g.reach != nil {
		relayConfig.Peers = forwarding.NewClient(forwarding.ClientConfig{Zone: c.Zone, HTTP: c.ServerClient, Reach: g.reach, Directory: g.directory})
	}
	requests := relay.New(relayConfig)
	if g.reach != nil {
		g.peers = forwarding.NewServer(forwarding.ServerConfig{Address: c.InternalAddress, InForce: inForce, Requests: requests, Admission: c.Admission})
	}
	g.listener = c.NewListener(requests, g.manager, g.ready)
	return g
}

// newReach creates the tasks that watch whether this VM reaches backend servers and tell the
// other VMs.
func (g *Gateway) newReach(inForce *inforce.Holder, forwarder rollout.Forwarder, scorer rollout.SampleScorer) {
	c := g.config
	g.reach = reach.New(reach.Config{
		Zone: c.Zone, InForce: inForce, Probe: httpclient.Connects, Seed: rand.IntN(1 << 20), Forwarder: forwarder, Engine: c.Engine, Scorer: scorer,
		Logger: c.Logger, Metrics: c.Metrics,
	})
	g.directory = directory.New(directory.Config{
		VM: c.VM, Zone: c.Zone, Address: c.InternalAddress, Journal: c.Journal, Reaches: func() bool { return !g.reach.IsolatedNow() },
		Changed: g.reach.Watch(), Logger: c.Logger,
	})
}

// handsOver reports whether this VM reaches no backend server and another one does.
func (g *Gateway) handsOver(ctx context.Context) bool {
	return g.reach != nil && g.reach.IsolatedNow() &&
		slices.ContainsFunc(g.directory.Peers(ctx), func(p isolation.Peer) bool { return p.Reaches })
}

// operatorWait returns how long a read of the operators' topic waits, or 0 for the default.
// Where a VM refuses requests if it has not read the topic for a time, three reads and the
// time-out of one that fails (0.85 s with the pause) fit into that time, from 1.4 s on.
func operatorWait(p tenancy.Policy) time.Duration {
	if !p.StrictRevoke {
		return 0
	}
	return min(max(p.RevokeAfter/8, minOperatorWait), maxOperatorWait)
}

// newUsage creates the task that counts requests, if singleton calls are made. It returns
// the clients with which requests are sent.
func (g *Gateway) newUsage() (rollout.Forwarder, rollout.SampleScorer) {
	c, d := g.config, g.config.Duties
	if !d.enabled() {
		return c.Forwarder, c.Scorer
	}
	// The number identifies this process among those of VMs with the same name.
	g.incarnation = strconv.FormatUint(rand.Uint64(), 36)
	g.usage = usage.New(usage.Config{
		VM: c.VM, Incarnation: g.incarnation, Journal: c.Journal, Window: d.Window, Late: d.Late, Logger: c.Logger, Metrics: c.Metrics,
	})
	if !d.OrdersServers {
		return c.Forwarder, c.Scorer
	}
	m := usage.NewMeter(usage.MeterConfig{Forwarder: c.Forwarder, Scorer: c.Scorer, ServiceOf: g.fleet.ServiceOf, Busy: g.usage.ServiceBusy})
	return m, m
}

// newDuties creates the tasks for calls that only one VM may make at a time, if there are
// such calls.
func (g *Gateway) newDuties() {
	c, d := g.config, g.config.Duties
	if !d.enabled() {
		return
	}
	g.duties = duties.New(duties.Config{
		VM: c.VM, Incarnation: g.incarnation, Journal: c.Journal, Cloud: d.Cloud, IsCandidate: g.manager.IssuesOrders, Lease: c.OrderLease, ChecksFence: c.ChecksFence,
		Rate: d.Rate, ReportsUsage: d.ReportsUsage, ReadsLoad: d.OrdersServers, Window: d.Window, Late: d.Late, Logger: c.Logger, Metrics: c.Metrics,
	})
	if d.OrdersServers {
		g.scaler = scaler.New(scaler.Config{Orders: g.duties, Services: g.fleet.ScaledServices, Work: g.manager.OpenWork, Logger: c.Logger})
	}
}

// ready reports whether the load balancer may send new connections.
func (g *Gateway) ready() bool {
	select {
	case <-g.stopping:
		return false
	default:
		return g.fleet.Ready()
	}
}

// stopTime returns when a stopping VM ends, or the zero time.
func (g *Gateway) stopTime() time.Time {
	if end := g.stopsAt.Load(); end != nil {
		return *end
	}
	return time.Time{}
}

// Run runs the VM until a termination signal arrives, a task fails or the context
// ends.
func (g *Gateway) Run(parent context.Context) error {
	g.config.Logger.Write(event.Started, event.Fields{"VM": g.config.VM, "Zone": g.config.Zone})
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	var tasks run.Group
	first := make(chan string, 1)
	tasksByName := map[string]func(context.Context) error{
		"log":      g.config.Sink.Run,
		"dispatch": g.dispatch.Run,
		"operator": g.fleet.FollowOperator,
		"servers":  g.fleet.FollowServers,
		"expiry":   g.fleet.Expire,
		"owner":    g.owner.Run,
		"jobs":     g.manager.Run,
		"follow":   g.swaps.Follow,
		"swaps":    g.swaps.Run,
		"reload":   g.reload,
		"tell":     g.suspicions.Publish,
		"hear":     g.suspicions.Follow,
		"quotas":   g.quotas.Run,
		"began":    g.origins.Publish,
		"resumed":  g.origins.Follow,
		"callers":  g.serveCallers,
		"ready":    g.listener.ServeReady,
		"signals":  g.stopOnSignal,
		"metrics":  g.serveMetrics,
	}
	if g.duties != nil {
		tasksByName["duties"] = g.duties.Run
	}
	if g.usage != nil {
		tasksByName["usage"] = g.usage.Run
	}
	if g.scaler != nil {
		tasksByName["scaler"] = g.scaler.Run
	}
	if g.reach != nil {
		tasksByName["reach"] = g.reach.Run
		tasksByName["directory"] = g.directory.Run
		tasksByName["peers"] = g.servePeers
	}
	for name, task := range tasksByName {
		tasks.Add(func() error {
			defer func() {
				select {
				case first <- name:
				default:
				}
			}()
			return g.logTaskError(name, task(ctx))
		}, func(error) {
			cancel()
			// This runs once for each task; errors of closing again don't matter.
			_ = g.listener.Close()
			if g.peers != nil {
				_ = g.peers.Close()
			}
		})
	}
	err := tasks.Run()
	g.config.Logger.Write(event.Stopped, event.Fields{"Task": <-first, "Error": err, "Active": g.listener.Active(), "Connections": g.listener.Connections()})
	return errors.Join(err, g.config.Sink.Flush())
}

func (g *Gateway) logTaskError(name string, err error) error {
	if err != nil {
		g.config.Logger.Write(event.TaskFailed, event.Fields{"Duty": name, "Error": err})
	}
	return err
}

// servePeers takes requests of other VMs until the context ends. A failure, such as a port
// that is in use, is logged and does not stop the VM.
func (g *Gateway) servePeers(ctx context.Context) error {
	if err := g.peers.Serve(ctx); err != nil && ctx.Err() == nil {
		g.directory.Leave()
		g.config.Logger.Write(event.PeersUnserved, event.Fields{"Address": g.config.InternalAddress, "Error": err})
	}
	<-ctx.Done()
	return nil
}

// serveCallers serves callers. It returns after a shutdown, when the requests of callers and
// those of other VMs are completed.
func (g *Gateway) serveCallers(ctx context.Context) error {
	err := g.listener.Serve(ctx)
	if err == nil && g.peers != nil {
		select {
		case <-g.peers.Stopped():
		case <-ctx.Done():
		}
	}
	return err
}

// stopOnSignal waits for a termination signal and then shuts down gracefully.
func (g *Gateway) stopOnSignal(ctx context.Context) error {
	select {
	case <-g.config.Terminate:
	case <-ctx.Done():
		return nil
	}
	g.stop(ctx)
	return nil
}

// serveMetrics serves the metrics until the context ends. A failure, such as a
// port that is in use, is logged and does not stop the VM.
func (g *Gateway) serveMetrics(ctx context.Context) error {
	if g.config.MetricsAddress != "" {
		s := &http.Server{Addr: g.config.MetricsAddress, Handler: g.config.MetricsHandler, ReadHeaderTimeout: time.Second}
		// Close makes ListenAndServe return; its own error doesn't matter.
		defer context.AfterFunc(ctx, func() { _ = s.Close() })()
		if err := s.ListenAndServe(); ctx.Err() == nil {
			g.config.Logger.Write(event.MetricsUnavailable, event.Fields{"Address": g.config.MetricsAddress, "Error": err})
		}
	}
	<-ctx.Done()
	return nil
}

func (g *Gateway) stop(ctx context.Context) {
	started := time.Now()
	end := started.Add(g.config.Grace - graceMargin)
	g.stopsAt.Store(&end)
	g.logDrain(event.Draining, started, nil)
	close(g.stopping)
	g.listener.Drain()
	if g.peers != nil {
		g.directory.Leave()
		g.peers.Leave()
	}
	stopCtx, cancel := context.WithTimeout(ctx, stopRunsTimeout)
	g.manager.Stop(stopCtx)
	cancel()
	g.owner.Leave(ctx)
	pause.For(ctx, drainNotice-time.Since(started))
	shutdownCtx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	var servers errgroup.Group
	servers.Go(func() error { return g.listener.Shutdown(shutdownCtx) })
	if g.peers != nil {
		servers.Go(func() error { return g.peers.Shutdown(shutdownCtx) })
	}
	if err := servers.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		g.logDrain(event.DrainTimeout, started, err)
		return
	}
	g.logDrain(event.Drained, started, nil)
}

// logDrain logs a stage of the graceful shutdown that started at the given time.
func (g *Gateway) logDrain(e event.Event, started time.Time, err error) {
	g.config.Logger.Write(e, event.Fields{
		"Active": g.listener.Active(), "Connections": g.listener.Connections(), "SinceSignal": time.Since(started).Round(time.Millisecond).String(), "Error": err,
	})
}

// reload reads the settings again on SIGHUP and every reloadInterval.
func (g *Gateway) reload(ctx context.Context) error {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.config.Hangup:
		case <-ticker.C:
		}
		changed, restart, err := g.config.Reload()
		if err != nil || len(changed)+len(restart) > 0 {
			g.config.Logger.Write(event.SettingsReloaded, event.Fields{"Changed": changed, "Restart": restart, "Error": err})
		}
	}
}
