// Package engine is a stand-in for a model engine. It simulates continuous
// batching: the rate of each stream falls as the batch grows, so that total
// throughput levels off. It has a bounded prefix cache, reports its load with a
// delay, loads weights when ordered to, and can inject typical engine faults.
// Each token encodes its request, position and weight version, which package
// truth decodes to check results.
//
// The stand-ins use the HTTP server of the standard library so that they share
// no faults with the programs under test.
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
	"lagoonlink.org/rollout/httpclient"
)

// Config configures an engine.
type Config struct {
	Name    rollout.ServerName
	Address string
	Seed    uint64
	// Rate is the tokens per second of a single stream in an empty batch.
	Rate float64
	// Knee is the batch size at which the rate of a stream is half of Rate.
	Knee float64
	// MaxBatch is the maximum number of concurrent streams. Further requests are
	// refused with the verdict NotRun.
	MaxBatch int
	// Tick is the interval at which the batch generates tokens.
	Tick time.Duration
	// SwapTime is the duration of a weight load. All streams pause during the
	// last tenth of it.
	SwapTime time.Duration
	// ReportLag is the age of the state shown in a load report.
	ReportLag time.Duration
	// PrefillRate is the prefill rate of uncached prompts, in bytes per second.
	PrefillRate float64
	// CachedPrompts is the capacity of the prefix cache, in prompts.
	CachedPrompts int
	// ChecksFence makes the engine refuse orders with a fencing number lower than
	// one it has accepted.
	ChecksFence bool
	// MedianTokens and LengthSigma are the median and the log-scale standard
	// deviation of the log-normal generation length, which the request's limit
	// truncates.
	MedianTokens float64
	LengthSigma  float64
	// Initial holds the weight versions loaded at startup.
	Initial map[rollout.ModelName]rollout.WeightVersion
	// Instant makes the engine answer each request at once and in one event, to
	// measure the latency of the path to the engine alone.
	Instant bool
	// RestartDelay is the delay before a crashed engine restarts.
	RestartDelay time.Duration
}

// Faults selects the faults to inject. It can change at any time.
type Faults struct {
	// FailSwaps is the share of weight loads that fail.
	FailSwaps float64
	// TruncateShare is the share of streams that are cut off without an end
	// marker.
	TruncateShare float64
	// GarbageShare is the share of streams that end in malformed data.
	GarbageShare float64
	// ForeignShare is the share of streams whose events, from a random token on,
	// have the ID of another request.
	ForeignShare float64
	// UnlabeledShare is the share of streams whose events, from a random token on,
	// have no weight version.
	UnlabeledShare float64
	// SlowFactor divides the rate of every stream; 0 means 1.
	SlowFactor float64
	// Leaving makes the engine refuse new streams with the verdict NotRun.
	Leaving bool
}

// Counts holds the counters of an engine.
type Counts struct {
	Streams, Tokens, Crashes, Swaps, FailedSwaps, FencedOrders int
	// SampleTokens counts the tokens generated for samples of trainers, whose
	// request IDs contain the path of a step and so a slash.
	SampleTokens int
	// CachedStreams counts the streams whose prompt was in the prefix cache.
	CachedStreams int
}

type stream struct {
	request     adapter.CompletionRequest
	origin      truth.Origin
	generated   int
	tokenBudget float64
	prefilledAt time.Time
	pieces      chan piece
	closed      bool
	fault       fault
	faultAt     int
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

type pendingLoad struct {
	model       rollout.ModelName
	version     rollout.WeightVersion
	completesAt time.Time
	willFail    bool
}

// Engine simulates a model engine.
type Engine struct {
	config Config

	mu           sync.Mutex
	faults       Faults
	counts       Counts
	server       *http.Server
	streams      map[*stream]bool
	loaded       map[rollout.ModelName]rollout.WeightVersion
	pendingLoads []pendingLoad
	fence        rollout.Offset
	prefixCache  map[uint64]time.Time
	loadReports  []recordedReport
	random       *rand.Rand
	lastTick     time.Time
	tokens       int
	down         bool
	onStream     func(time.Time)
}

type recordedReport struct {
	recordedAt time.Time
	report     rollout.LoadReport
}

// PoisonPrompt crashes the engine if a prompt contains it.
const PoisonPrompt = "POISON"

// New returns an engine with the given configuration. Run starts it.
func New(c Config) *Engine {
	return &Engine{
		config:      c,
		streams:     map[*stream]bool{},
		prefixCache: map[uint64]time.Time{},
		random:      rand.New(rand.NewPCG(c.Seed, 1)),
	}
}

// OnStream sets the function to call when a stream is admitted. It is called
// with the engine's lock held.
func (e *Engine) OnStream(f func(time.Time)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onStream = f
}

// SetFaults applies change to the injected faults.
func (e *Engine) SetFaults(change func(*Faults)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.faults)
}

// Counts returns a copy of the counters.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// Running returns the number of streams in the batch.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.streams)
}

// Loaded returns the loaded weight version of each model.
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

// Run serves until ctx is done, restarting after each crash. It returns an error
// if the server can't listen or serve.
func (e *Engine) Run(ctx context.Context) error {
	go e.runTicker(ctx)
	for ctx.Err() == nil {
		if err := e.serve(ctx); err != nil {
			return fmt.Errorf("engine %s: %w", e.config.Name, err)
		}
		sleep(ctx, e.config.RestartDelay)
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
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
	mux.HandleFunc("POST "+adapter.PathCompletions, e.handleCompletion)
	mux.HandleFunc("GET "+adapter.PathLoad, e.handleLoad)
	mux.HandleFunc("POST "+adapter.PathOrders, e.handleOrder)
	s := &http.Server{Handler: mux}
	e.reset(s)
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	if err := s.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}

func (e *Engine) reset(s *http.Server) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.server, e.down = s, false
	e.loaded = clone(e.config.Initial)
	e.pendingLoads, e.fence = nil, 0
	clear(e.prefixCache)
	e.loadReports = nil
}

// Crash closes all connections and discards all state, as a process crash does.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashLocked()
}

func (e *Engine) crashLocked() {
	if e.down || e.server == nil {
		return
	}
	e.down = true
	e.counts.Crashes++
	for s := range e.streams {
		s.closed = true
		close(s.pieces)
	}
	clear(e.streams)
	go e.server.Close()
}

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
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
		case p, ok := <-s.pieces:
			if !ok || p.fault == truncate || p.fault == poison {
				panic(http.ErrAbortHandler)
			}
			if !writeEvent(w, encoder, flusher, p) {
				return
			}
		}
	}
}

// writeEvent sends one event and reports whether more events follow.
func writeEvent(w http.ResponseWriter, encoder *json.Encoder, flusher *http.ResponseController, p piece) bool {
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
	w.Header().Set(httpclient.HeaderVerdict, rollout.NotRun.String())
	if leaving {
		w.Header().Set(httpclient.HeaderLeaving, "true")
	}
	http.Error(w, "refused", http.StatusServiceUnavailable)
}

// admit adds a request to the batch. If the engine refuses the request, s is nil
// and leaving reports whether that is because the engine is leaving.
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
	e.startGeneration(s)
	s.prefilledAt = now.Add(e.prefillTime(now, s.origin.Prompt, len(request.Prompt)))
	if e.config.Instant {
		s.tokenBudget = float64(s.origin.Length)
		e.emit(s)
		return s, false
	}
	e.streams[s] = true
	return s, false
}

// startGeneration resumes from the request's prior text, or chooses the length of
// a new generation. It also chooses the fault to inject.
func (e *Engine) startGeneration(s *stream) {
	if t, err := truth.Parse(s.request.Prior); err == nil && t.Tokens > 0 {
		s.origin, s.generated = t.Origin, t.Tokens
	} else {
		length := int(e.config.MedianTokens * math.Exp(e.config.LengthSigma*e.random.NormFloat64()))
		s.origin = truth.Origin{
			Prompt: truth.HashPrompt(s.request.Prompt),
			Nonce:  e.random.Uint64(),
			Length: max(1, min(length, s.request.MaxTokens)),
		}
	}
	s.fault, s.faultAt = e.chooseFault(s), s.generated+1+e.random.IntN(max(1, s.origin.Length-s.generated))
}

func (e *Engine) chooseFault(s *stream) fault {
	if contains(s.request.Prompt, PoisonPrompt) {
		return poison
	}
	remaining := e.random.Float64()
	for _, c := range []struct {
		share float64
		fault fault
	}{
		{e.faults.TruncateShare, truncate},
		{e.faults.GarbageShare, garbage},
		{e.faults.ForeignShare, foreign},
		{e.faults.UnlabeledShare, unlabeled},
	} {
		if remaining < c.share {
			return c.fault
		}
		remaining -= c.share
	}
	return noFault
}

func contains(text, substring string) bool {
	for i := 0; i+len(substring) <= len(text); i++ {
		if text[i:i+len(substring)] == substring {
			return true
		}
	}
	return false
}

// cachedPrefillShare is the share of the prefill time that a cached prompt takes.
const cachedPrefillShare = 0.1

func (e *Engine) prefillTime(now time.Time, prompt uint64, size int) time.Duration {
	cost := time.Duration(float64(size) / e.config.PrefillRate * float64(time.Second))
	if _, cached := e.prefixCache[prompt]; cached {
		e.counts.CachedStreams++
		cost = time.Duration(float64(cost) * cachedPrefillShare)
	}
	e.prefixCache[prompt] = now
	if len(e.prefixCache) > e.config.CachedPrompts {
		oldest, oldestTime := prompt, now
		for h, t := range e.prefixCache {
			if t.Before(oldestTime) {
				oldest, oldestTime = h, t
			}
		}
		delete(e.prefixCache, oldest)
	}
	return cost
}

func (e *Engine) remove(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.streams, s)
}

func (e *Engine) runTicker(ctx context.Context) {
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

// tick generates the tokens of the batch for the time since the last tick, for
// at most four tick intervals.
func (e *Engine) tick(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	elapsed := min(now.Sub(e.lastTick), 4*e.config.Tick)
	e.lastTick = now
	if e.down || e.loaded == nil {
		return
	}
	e.recordLoad(now)
	if e.advanceLoads(now) {
		return
	}
	slowFactor := max(e.faults.SlowFactor, 1)
	rate := e.config.Rate / slowFactor / (1 + float64(len(e.streams))/e.config.Knee)
	for s := range e.streams {
		if now.Before(s.prefilledAt) {
			continue
		}
		s.tokenBudget += rate * elapsed.Seconds()
		if !e.emit(s) {
			return
		}
	}
}

// swapPauseShare is the final share of SwapTime during which streams are paused.
const swapPauseShare = 0.1

// advanceLoads completes the weight loads that are due and reports whether a load
// in progress pauses the streams.
func (e *Engine) advanceLoads(now time.Time) bool {
	paused := false
	remaining := e.pendingLoads[:0]
	for _, l := range e.pendingLoads {
		switch {
		case now.Before(l.completesAt):
			remaining = append(remaining, l)
			paused = paused || l.completesAt.Sub(now) < time.Duration(swapPauseShare*float64(e.config.SwapTime))
		case l.willFail:
			e.counts.FailedSwaps++
		default:
			e.counts.Swaps++
			e.loaded[l.model] = l.version
		}
	}
	e.pendingLoads = remaining
	return paused
}

// emit sends the next tokens of a stream, if any are due and its channel has
// room. It returns false if the injected fault crashed the engine.
func (e *Engine) emit(s *stream) bool {
	n := min(int(s.tokenBudget), s.origin.Length-s.generated)
	if n <= 0 || len(s.pieces) == cap(s.pieces) {
		return true
	}
	s.tokenBudget -= float64(n)
	version := e.loaded[rollout.ModelName(s.request.Model)]
	text := ""
	for i := range n {
		text += truth.Token(s.origin, s.generated+i, version)
	}
	s.generated += n
	e.counts.Tokens += n
	if contains(s.request.RequestID, "/") {
		e.counts.SampleTokens += n
	}
	e.tokens += n
	p := piece{last: s.generated == s.origin.Length, event: adapter.CompletionEvent{
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
	if s.fault != noFault && s.generated >= s.faultAt {
		p.fault = s.fault
		if s.fault == poison {
			e.crashLocked()
			return false
		}
		if s.fault == unlabeled {
			p.event.WeightVersion = 0
		}
	}
	s.pieces <- p
	return true
}

func (e *Engine) recordLoad(now time.Time) {
	r := rollout.LoadReport{Running: len(e.streams), Loaded: clone(e.loaded), Leaving: e.faults.Leaving}
	e.loadReports = append(e.loadReports, recordedReport{now, r})
	for len(e.loadReports) > 1 && now.Sub(e.loadReports[1].recordedAt) >= e.config.ReportLag {
		e.loadReports = e.loadReports[1:]
	}
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	var report rollout.LoadReport
	if len(e.loadReports) > 0 {
		report = e.loadReports[0].report
	}
	e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(report)
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o rollout.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.acceptOrder(o) {
		refuse(w, false)
	}
}

// acceptOrder starts a weight load, or returns false if the fencing number of the
// order is outdated.
func (e *Engine) acceptOrder(o rollout.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.ChecksFence && o.Fence < e.fence {
		e.counts.FencedOrders++
		return false
	}
	e.fence = max(e.fence, o.Fence)
	willFail := e.random.Float64() < e.faults.FailSwaps
	e.pendingLoads = append(e.pendingLoads, pendingLoad{o.Model, o.Version, time.Now().Add(e.config.SwapTime), willFail})
	return true
}
