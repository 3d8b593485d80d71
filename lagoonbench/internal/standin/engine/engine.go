// Package engine is a stand-in of a model engine. It batches continuously: the
// rate of each stream falls as the batch grows, so that throughput stops growing
// at a knee. It keeps a prefix cache in limited memory, reports its load with a
// lag, loads weights on orders, and has switches for the faults that an engine
// can have. Tokens carry the truth about themselves (package truth).
//
// Stand-ins use the standard library's server, so that they share no fault with
// the programs under test.
package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"lagoonlink.org/lagoonbench/internal/truth"
	"lagoonlink.org/rollout"
	adapter "lagoonlink.org/rollout/engine"
	"lagoonlink.org/rollout/exchange"
)

// Config configures an engine.
type Config struct {
	Name    rollout.ServerName
	Address string
	Seed    uint64
	// Rate is tokens a second of a stream that is alone.
	Rate float64
	// Knee is the batch at which a stream's rate has halved.
	Knee float64
	// MaxBatch bounds the streams; more are refused as not run.
	MaxBatch int
	// Tick is the time between two steps of the batch.
	Tick time.Duration
	// SwapTime is how long loading a version takes; streams pause for the last
	// tenth of it.
	SwapTime time.Duration
	// ReportLag is the age of what a load report shows.
	ReportLag time.Duration
	// PrefillRate is prompt bytes a second that are not in the cache.
	PrefillRate float64
	// CachedPrompts bounds the prefix cache.
	CachedPrompts int
	// ChecksFence tells whether orders with an old fencing number are refused.
	ChecksFence bool
	// MeanTokens and Tail shape the lengths: log-normal, cut at the asked limit.
	MeanTokens float64
	Tail       float64
	// Initial are the versions loaded at a start.
	Initial map[rollout.ModelName]rollout.WeightVersion
	// Instant answers whole at once, for measurements of the way there.
	Instant bool
	// Restart is how long a crashed engine stays away.
	Restart time.Duration
}

// Faults are switches that can be thrown at any time.
type Faults struct {
	// FailSwaps is the share of loads that fail.
	FailSwaps float64
	// TruncateShare is the share of streams that end early without a mark.
	TruncateShare float64
	// GarbageShare is the share of streams that turn into garbage.
	GarbageShare float64
	// ForeignShare is the share of streams that send another request's event.
	ForeignShare float64
	// UnlabeledShare is the share of streams whose tokens name no version.
	UnlabeledShare float64
	// SlowFactor divides the rate of every stream; 0 means 1.
	SlowFactor float64
	// Leaving refuses new streams as not run.
	Leaving bool
}

// Counts is what an engine saw.
type Counts struct {
	Streams, Tokens, Crashes, Swaps, FailedSwaps, FencedOrders int
	// SampleTokens were generated for trainers' samples, whose request IDs have
	// the path of a step.
	SampleTokens int
	// CachedStreams found their prompt in the prefix cache.
	CachedStreams int
}

// stream is one generation.
type stream struct {
	request  adapter.CompletionRequest
	origin   truth.Origin
	position int
	credit   float64
	ready    time.Time
	pieces   chan piece
	gone     bool
	fault    fault
	faultAt  int
}

type fault uint8

const (
	noFault fault = iota
	truncate
	garbage
	foreign
	unlabeled
	poison
)

type piece struct {
	event adapter.CompletionEvent
	last  bool
	fault fault
}

type loading struct {
	model   rollout.ModelName
	version rollout.WeightVersion
	done    time.Time
	fails   bool
}

// Engine is the stand-in.
type Engine struct {
	config Config

	mu       sync.Mutex
	faults   Faults
	counts   Counts
	server   *http.Server
	streams  map[*stream]bool
	loaded   map[rollout.ModelName]rollout.WeightVersion
	loads    []loading
	fence    rollout.Offset
	cache    map[uint64]time.Time
	reports  []timedReport
	random   *rand.Rand
	lastTick time.Time
	tokens   int
	down     bool
	onStream func(time.Time)
}

type timedReport struct {
	at     time.Time
	report rollout.LoadReport
}

// PoisonPrompt makes an engine crash when a prompt contains it.
const PoisonPrompt = "POISON"

// New returns an engine that is not running yet.
func New(c Config) *Engine {
	return &Engine{
		config:  c,
		streams: map[*stream]bool{},
		cache:   map[uint64]time.Time{},
		random:  rand.New(rand.NewPCG(c.Seed, 1)),
	}
}

// OnStream sets what is called when a stream is taken.
func (e *Engine) OnStream(f func(time.Time)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onStream = f
}

// SetFaults throws the switches.
func (e *Engine) SetFaults(change func(*Faults)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.faults)
}

// Counts returns what the engine saw.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// Running returns how many streams are in the batch.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.streams)
}

// Loaded returns the versions loaded.
func (e *Engine) Loaded() map[rollout.ModelName]rollout.WeightVersion {
	e.mu.Lock()
	defer e.mu.Unlock()
	return clone(e.loaded)
}

func clone(m map[rollout.ModelName]rollout.WeightVersion) map[rollout.ModelName]rollout.WeightVersion {
	c := make(map[rollout.ModelName]rollout.WeightVersion, len(m))
	for k, v := range m {
		c[k] = v
	}
	return c
}

// Run serves until the context ends, over crashes.
func (e *Engine) Run(ctx context.Context) error {
	go e.ticks(ctx)
	for ctx.Err() == nil {
		if err := e.serve(ctx); err != nil {
			return fmt.Errorf("engine %s: %w", e.config.Name, err)
		}
		wait(ctx, e.config.Restart)
	}
	return nil
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (e *Engine) serve(ctx context.Context) error {
	listener, err := net.Listen("tcp", e.config.Address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+adapter.PathCompletions, e.completions)
	mux.HandleFunc("GET "+adapter.PathLoad, e.load)
	mux.HandleFunc("POST "+adapter.PathOrders, e.order)
	s := &http.Server{Handler: mux}
	e.boot(s)
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	if err := s.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}

func (e *Engine) boot(s *http.Server) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.server, e.down = s, false
	e.loaded = clone(e.config.Initial)
	e.loads, e.fence = nil, 0
	clear(e.cache)
	e.reports = nil
}

// Crash breaks every connection and loses everything in memory.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

func (e *Engine) crash() {
	if e.down || e.server == nil {
		return
	}
	e.down = true
	e.counts.Crashes++
	for s := range e.streams {
		s.gone = true
		close(s.pieces)
	}
	clear(e.streams)
	go e.server.Close()
}

func (e *Engine) completions(w http.ResponseWriter, r *http.Request) {
	var request adapter.CompletionRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s, leaving := e.admit(request)
	if s == nil {
		refuse(w, leaving)
		return
	}
	defer e.remove(s)
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	for {
		select {
		case <-r.Context().Done():
			return
		case p, open := <-s.pieces:
			if !open || p.fault == truncate || p.fault == poison {
				panic(http.ErrAbortHandler)
			}
			if !write(w, encoder, flusher, p) {
				return
			}
		}
	}
}

// write sends one event and reports whether more follow.
func write(w http.ResponseWriter, encoder *json.Encoder, flusher *http.ResponseController, p piece) bool {
	fmt.Fprint(w, "data: ")
	if p.fault == garbage {
		fmt.Fprint(w, "\x00{\"id\":[[[\n\n")
		return false
	}
	if p.fault == foreign {
		p.event.ID = "another-request"
	}
	if encoder.Encode(p.event) != nil {
		return false
	}
	fmt.Fprint(w, "\n")
	if p.last {
		fmt.Fprint(w, "data: [DONE]\n\n")
	}
	return flusher.Flush() == nil && !p.last
}

func refuse(w http.ResponseWriter, leaving bool) {
	w.Header().Set(exchange.HeaderVerdict, rollout.NotRun.String())
	if leaving {
		w.Header().Set(exchange.HeaderLeaving, "true")
	}
	http.Error(w, "refused", http.StatusServiceUnavailable)
}

// admit takes a request into the batch, or returns nil.
func (e *Engine) admit(request adapter.CompletionRequest) (s *stream, leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	model := rollout.ModelName(request.Model)
	if e.faults.Leaving || e.down || len(e.streams) >= e.config.MaxBatch || e.loaded[model] == 0 {
		return nil, e.faults.Leaving
	}
	now := time.Now()
	if e.onStream != nil {
		e.onStream(now)
	}
	e.counts.Streams++
	s = &stream{request: request, pieces: make(chan piece, 256)}
	e.begin(s)
	s.ready = now.Add(e.prefill(now, s.origin.Prompt, len(request.Prompt)))
	if e.config.Instant {
		s.credit = float64(s.origin.Length)
		e.emit(s)
		return s, false
	}
	e.streams[s] = true
	return s, false
}

// begin chooses the length of a generation, or goes on from the prior text.
func (e *Engine) begin(s *stream) {
	if t, err := truth.Parse(s.request.Prior); err == nil && t.Tokens > 0 {
		s.origin, s.position = t.Origin, t.Tokens
	} else {
		length := int(e.config.MeanTokens * math.Exp(e.config.Tail*e.random.NormFloat64()))
		s.origin = truth.Origin{
			Prompt: truth.HashPrompt(s.request.Prompt),
			Nonce:  e.random.Uint64(),
			Length: max(1, min(length, s.request.MaxTokens)),
		}
	}
	s.fault, s.faultAt = e.chooseFault(s), s.position+1+e.random.IntN(max(1, s.origin.Length-s.position))
}

func (e *Engine) chooseFault(s *stream) fault {
	if contains(s.request.Prompt, PoisonPrompt) {
		return poison
	}
	draw := e.random.Float64()
	for _, c := range []struct {
		share float64
		fault fault
	}{
		{e.faults.TruncateShare, truncate},
		{e.faults.GarbageShare, garbage},
		{e.faults.ForeignShare, foreign},
		{e.faults.UnlabeledShare, unlabeled},
	} {
		if draw < c.share {
			return c.fault
		}
		draw -= c.share
	}
	return noFault
}

func contains(text, part string) bool {
	for i := 0; i+len(part) <= len(text); i++ {
		if text[i:i+len(part)] == part {
			return true
		}
	}
	return false
}

// cachedShare is the part of a prefill that a cached prompt still costs.
const cachedShare = 0.1

func (e *Engine) prefill(now time.Time, prompt uint64, size int) time.Duration {
	cost := time.Duration(float64(size) / e.config.PrefillRate * float64(time.Second))
	if _, cached := e.cache[prompt]; cached {
		e.counts.CachedStreams++
		cost = time.Duration(float64(cost) * cachedShare)
	}
	e.cache[prompt] = now
	if len(e.cache) > e.config.CachedPrompts {
		oldest, at := prompt, now
		for h, t := range e.cache {
			if t.Before(at) {
				oldest, at = h, t
			}
		}
		delete(e.cache, oldest)
	}
	return cost
}

func (e *Engine) remove(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.streams, s)
}

func (e *Engine) ticks(ctx context.Context) {
	tick := time.NewTicker(e.config.Tick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			e.tick(now)
		}
	}
}

// tick makes the batch's tokens for the time since the last tick.
func (e *Engine) tick(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	elapsed := min(now.Sub(e.lastTick), 4*e.config.Tick)
	e.lastTick = now
	if e.down || e.loaded == nil {
		return
	}
	e.report(now)
	if e.advanceLoads(now) {
		return
	}
	slow := max(e.faults.SlowFactor, 1)
	rate := e.config.Rate / slow / (1 + float64(len(e.streams))/e.config.Knee)
	for s := range e.streams {
		if now.Before(s.ready) {
			continue
		}
		s.credit += rate * elapsed.Seconds()
		if !e.emit(s) {
			return
		}
	}
}

// pauseShare is the last part of a load during which streams stand still.
const pauseShare = 0.1

// advanceLoads finishes loads that are due, and reports whether streams pause.
func (e *Engine) advanceLoads(now time.Time) bool {
	paused := false
	rest := e.loads[:0]
	for _, l := range e.loads {
		switch {
		case now.Before(l.done):
			rest = append(rest, l)
			paused = paused || l.done.Sub(now) < time.Duration(pauseShare*float64(e.config.SwapTime))
		case l.fails:
			e.counts.FailedSwaps++
		default:
			e.counts.Swaps++
			e.loaded[l.model] = l.version
		}
	}
	e.loads = rest
	return paused
}

// emit sends a stream's next tokens. It reports false when the engine crashed.
func (e *Engine) emit(s *stream) bool {
	n := min(int(s.credit), s.origin.Length-s.position)
	if n <= 0 || len(s.pieces) == cap(s.pieces) {
		return true
	}
	s.credit -= float64(n)
	version := e.loaded[rollout.ModelName(s.request.Model)]
	text := ""
	for i := range n {
		text += truth.Token(s.origin, s.position+i, version)
	}
	s.position += n
	e.counts.Tokens += n
	if contains(s.request.RequestID, "/") {
		e.counts.SampleTokens += n
	}
	e.tokens += n
	p := piece{last: s.position == s.origin.Length, event: adapter.CompletionEvent{
		ID:            s.request.RequestID,
		Object:        "text_completion",
		Model:         s.request.Model,
		Choices:       []adapter.CompletionChoice{{Text: text}},
		Tokens:        n,
		WeightVersion: uint64(version),
	}}
	if p.last {
		stop := "stop"
		p.event.Choices[0].FinishReason = &stop
	}
	if s.fault != noFault && s.position >= s.faultAt {
		p.fault = s.fault
		if s.fault == poison {
			e.crash()
			return false
		}
		if s.fault == unlabeled {
			p.event.WeightVersion = 0
		}
	}
	s.pieces <- p
	return true
}

func (e *Engine) report(now time.Time) {
	r := rollout.LoadReport{Running: len(e.streams), Loaded: clone(e.loaded), Leaving: e.faults.Leaving}
	e.reports = append(e.reports, timedReport{now, r})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.config.ReportLag {
		e.reports = e.reports[1:]
	}
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	var report rollout.LoadReport
	if len(e.reports) > 0 {
		report = e.reports[0].report
	}
	e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(report)
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o rollout.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.take(o) {
		refuse(w, false)
	}
}

// take begins a load, or refuses an order with an old fencing number.
func (e *Engine) take(o rollout.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.ChecksFence && o.Fence < e.fence {
		e.counts.FencedOrders++
		return false
	}
	e.fence = max(e.fence, o.Fence)
	fails := e.random.Float64() < e.faults.FailSwaps
	e.loads = append(e.loads, loading{o.Model, o.Version, time.Now().Add(e.config.SwapTime), fails})
	return true
}
