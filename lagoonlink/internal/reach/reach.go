// Package reach watches whether this VM reaches backend servers. It observes the requests
// that the VM sends and probes servers when one gives no response; package isolation decides.
package reach

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/inforce"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/isolation"
)

const (
	// queueSize is the capacity of the queue of probes. One decision makes fewer.
	queueSize = 64
	// starvedAfter is the time after which a failed probe only shows that this VM had no
	// processor: probes fail sooner. It is repeated up to maxStarved times.
	starvedAfter = 240 * time.Millisecond
	maxStarved   = 3
	// tickInterval is how often an isolated VM checks whether a probe is due.
	tickInterval = 100 * time.Millisecond
)

// Config configures a Watcher.
type Config struct {
	Zone    rollout.Zone
	InForce *inforce.Holder
	// Probe reports whether a new connection to an address is established.
	Probe func(ctx context.Context, address string) bool
	// Seed makes VMs probe different servers first.
	Seed int
	// Forwarder, Engine and Scorer send requests. They may be nil if all attempts are
	// reported to Observe.
	Forwarder rollout.Forwarder
	Engine    rollout.SampleEngine
	Scorer    rollout.SampleScorer
	Logger    *event.Logger
	Metrics   tally.Scope
}

// Watcher sends requests to servers and watches whether they respond. Run must be running.
type Watcher struct {
	config Config
	probes chan rollout.Server

	mu      sync.Mutex
	monitor *isolation.Monitor
	// decided is closed and replaced whenever a doubt is answered or the decision changes.
	decided  chan struct{}
	watchers []chan struct{}
}

var (
	_ rollout.Forwarder    = (*Watcher)(nil)
	_ rollout.SampleEngine = (*Watcher)(nil)
	_ rollout.SampleScorer = (*Watcher)(nil)
)

// New returns a Watcher of a VM that reaches servers.
func New(c Config) *Watcher {
	return &Watcher{config: c, probes: make(chan rollout.Server, queueSize), monitor: isolation.NewMonitor(c.Zone, c.Seed), decided: make(chan struct{})}
}

// Isolated reports whether this VM reaches no server. It waits while that is being decided.
func (w *Watcher) Isolated(ctx context.Context) bool {
	for {
		w.mu.Lock()
		isolated, deciding, decided := w.monitor.Isolated(), w.monitor.Deciding(), w.decided
		w.mu.Unlock()
		if !deciding {
			return isolated
		}
		select {
		case <-decided:
		case <-ctx.Done():
			return false
		}
	}
}

// IsolatedNow reports whether this VM was last found to reach no server.
func (w *Watcher) IsolatedNow() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.monitor.Isolated()
}

// Watch returns a channel that receives a value after each change of what IsolatedNow
// returns.
func (w *Watcher) Watch() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := make(chan struct{}, 1)
	w.watchers = append(w.watchers, c)
	return c
}

// Run probes servers until the context ends. It always returns nil.
func (w *Watcher) Run(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-w.probes:
			group.Go(func() {
				reached := w.probe(ctx, s)
				if ctx.Err() == nil {
					w.probed(s, reached)
				}
			})
		case now := <-tick.C:
			w.mu.Lock()
			if w.monitor.Isolated() {
				w.enqueue(w.monitor.Retry(now, w.servers()))
			}
			w.mu.Unlock()
		}
	}
}

// probe reports whether a server accepts a connection. If this VM has no processor to tell,
// the server counts as reached.
func (w *Watcher) probe(ctx context.Context, s rollout.Server) bool {
	for range maxStarved {
		start := time.Now()
		if w.config.Probe(ctx, s.Address) {
			return true
		}
		if time.Since(start) < starvedAfter {
			return false
		}
	}
	return true
}

// doubt records that a server gave no response.
func (w *Watcher) doubt(s rollout.Server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.enqueue(w.monitor.Doubt(time.Now(), s.Name, w.servers()))
}

func (w *Watcher) probed(s rollout.Server, reached bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	next, changed := w.monitor.Probed(time.Now(), s.Name, reached, w.servers())
	w.enqueue(next)
	if changed {
		w.report(s, reached)
	}
	if !w.monitor.Deciding() {
		close(w.decided)
		w.decided = make(chan struct{})
	}
}

// report logs that the decision changed and wakes the watchers. The caller holds w.mu.
func (w *Watcher) report(s rollout.Server, reached bool) {
	e, gauge := event.ServersUnreachable, 1.0
	if reached {
		e, gauge = event.ServersReachable, 0
	}
	w.config.Logger.Write(e, event.Fields{"Server": s.Name, "Servers": len(w.servers())})
	w.config.Metrics.Gauge("isolated").Update(gauge)
	for _, c := range w.watchers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// enqueue queues probes. The caller holds w.mu.
func (w *Watcher) enqueue(servers []rollout.Server) {
	for _, s := range servers {
		select {
		case w.probes <- s:
		default:
			w.config.Logger.Write(event.QueueFull, event.Fields{"Duty": "reach", "Server": s.Name})
			go w.probed(s, false)
		}
	}
}

// servers returns the servers that the configuration in force declares and that are not
// leaving.
func (w *Watcher) servers() []rollout.Server {
	v := w.config.InForce.Current()
	if v == nil {
		return nil
	}
	var out []rollout.Server
	add := func(servers []rollout.Server) {
		for _, s := range servers {
			if !s.Leaving {
				out = append(out, s)
			}
		}
	}
	for _, p := range v.Configuration.Pools {
		add(p.Servers)
	}
	for _, s := range v.Configuration.Services {
		add(s.Servers)
	}
	return out
}

// Observe records the outcome of an attempt that has not received the header of a response
// if err is set. The context is that of the attempt.
func (w *Watcher) Observe(ctx context.Context, s rollout.Server, err error) {
	if err != nil && noResponse(ctx, err) {
		w.doubt(s)
	}
}

// noResponse reports whether an attempt failed because nothing came from the server: there
// was no connection, it was lost, or the time for the attempt was over. A caller that leaves
// proves nothing.
func noResponse(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		var t interface{ Timeout() bool }
		return errors.As(context.Cause(ctx), &t) && t.Timeout()
	}
	f := rollout.FailureOf(err)
	return f.Verdict != rollout.Ran && (f.Reason == rollout.ReasonServerFailed || f.Reason == rollout.ReasonTruncated)
}

// Forward implements rollout.Forwarder.
func (w *Watcher) Forward(ctx context.Context, s rollout.Server, r rollout.ForwardedRequest) (rollout.ForwardedResponse, error) {
	response, err := w.config.Forwarder.Forward(ctx, s, r)
	w.Observe(ctx, s, err)
	if response.Stream != nil {
		response.Stream = &watchedStream{ResponseStream: response.Stream, watcher: w, ctx: ctx, server: s}
	}
	return response, err
}

// Sample implements rollout.SampleEngine.
func (w *Watcher) Sample(ctx context.Context, s rollout.Server, r rollout.SampleRequest) (rollout.PieceReader, error) {
	reader, err := w.config.Engine.Sample(ctx, s, r)
	w.Observe(ctx, s, err)
	if err != nil {
		return nil, err
	}
	return &watchedPieces{PieceReader: reader, watcher: w, ctx: ctx, server: s}, nil
}

// Score implements rollout.SampleScorer.
func (w *Watcher) Score(ctx context.Context, s rollout.Server, r rollout.ScoreRequest) (string, error) {
	score, err := w.config.Scorer.Score(ctx, s, r)
	w.Observe(ctx, s, err)
	return score, err
}

// watchedStream observes how a streamed response ends.
type watchedStream struct {
	rollout.ResponseStream
	watcher *Watcher
	ctx     context.Context
	server  rollout.Server
}

// Read reads from the stream.
func (s *watchedStream) Read(data []byte) (int, error) {
	n, err := s.ResponseStream.Read(data)
	if err != nil && !errors.Is(err, io.EOF) && s.ctx.Err() == nil {
		s.watcher.doubt(s.server)
	}
	return n, err
}

// watchedPieces observes how a sample's response ends.
type watchedPieces struct {
	rollout.PieceReader
	watcher *Watcher
	ctx     context.Context
	server  rollout.Server
}

// Next returns the next piece.
func (p *watchedPieces) Next() (rollout.Piece, error) {
	piece, err := p.PieceReader.Next()
	if err != nil && !errors.Is(err, io.EOF) {
		p.watcher.Observe(p.ctx, p.server, err)
	}
	return piece, err
}
