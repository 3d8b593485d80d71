// Package journal is a stand-in of the platform's append-only log: offsets, a
// rate limit on appends, limited retention, outages, slow spells, and replies
// that are lost after the append took effect.
package journal

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/exchange"
	"lagoonlink.org/rollout/platform"
)

// Config configures the log.
type Config struct {
	Address string
	Seed    uint64
	// AppendsASecond bounds the appends of all streams.
	AppendsASecond float64
	// Keep bounds the records that a stream keeps; 0 keeps all.
	Keep int
}

// Faults are switches that can be thrown at any time.
type Faults struct {
	// Outage refuses or breaks every request.
	Outage bool
	// LoseReplies is the share of appends that take effect without a reply.
	LoseReplies float64
	// Delay is added to every request.
	Delay time.Duration
}

const (
	maxRecordBytes = 1 << 20
	burst          = 50
)

type stream struct {
	first   rollout.Offset
	records []rollout.Record
	grown   chan struct{}
}

// Journal is the stand-in.
type Journal struct {
	config  Config
	limiter *rate.Limiter

	mu      sync.Mutex
	faults  Faults
	streams map[string]*stream
	appends map[string]int
	random  *rand.Rand
}

// New returns a log that is not running yet.
func New(c Config) *Journal {
	return &Journal{
		config:  c,
		limiter: rate.NewLimiter(rate.Limit(c.AppendsASecond), burst),
		streams: map[string]*stream{},
		appends: map[string]int{},
		random:  rand.New(rand.NewPCG(c.Seed, 2)),
	}
}

// SetFaults throws the switches.
func (j *Journal) SetFaults(change func(*Faults)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	change(&j.faults)
}

// Appends returns how many records were appended to each stream.
func (j *Journal) Appends() map[string]int {
	j.mu.Lock()
	defer j.mu.Unlock()
	out := map[string]int{}
	for s, n := range j.appends {
		out[s] = n
	}
	return out
}

// Run serves until the context ends.
func (j *Journal) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}/records", j.append)
	mux.HandleFunc("GET /streams/{stream}/records", j.read)
	return Serve(ctx, j.config.Address, mux)
}

// Serve serves a handler at an address until the context ends.
func Serve(ctx context.Context, address string, h http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h}
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	if err := s.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}

// pass applies outage and delay, and reports whether the request goes on.
func (j *Journal) pass(r *http.Request) bool {
	j.mu.Lock()
	f := j.faults
	j.mu.Unlock()
	if f.Delay > 0 {
		t := time.NewTimer(f.Delay)
		defer t.Stop()
		select {
		case <-t.C:
		case <-r.Context().Done():
		}
	}
	return !f.Outage
}

func (j *Journal) append(w http.ResponseWriter, r *http.Request) {
	if !j.pass(r) {
		panic(http.ErrAbortHandler)
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !j.limiter.Allow() {
		w.Header().Set(exchange.HeaderVerdict, rollout.NotRun.String())
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many appends", http.StatusTooManyRequests)
		return
	}
	at, lost := j.add(r.PathValue("stream"), data)
	if lost {
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(platform.AppendAnswer{Offset: at})
}

func (j *Journal) add(name string, data []byte) (at rollout.Offset, lost bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := j.stream(name)
	at = s.first + rollout.Offset(len(s.records))
	s.records = append(s.records, rollout.Record{Offset: at, Data: data})
	if j.config.Keep > 0 && len(s.records) > j.config.Keep {
		drop := len(s.records) - j.config.Keep
		s.records = s.records[drop:]
		s.first += rollout.Offset(drop)
	}
	j.appends[name]++
	close(s.grown)
	s.grown = make(chan struct{})
	return at, j.random.Float64() < j.faults.LoseReplies
}

func (j *Journal) stream(name string) *stream {
	s := j.streams[name]
	if s == nil {
		s = &stream{grown: make(chan struct{})}
		j.streams[name] = s
	}
	return s
}

func (j *Journal) read(w http.ResponseWriter, r *http.Request) {
	if !j.pass(r) {
		panic(http.ErrAbortHandler)
	}
	q := r.URL.Query()
	from, err1 := strconv.ParseUint(q.Get("From"), 10, 64)
	limit, err2 := strconv.Atoi(q.Get("Limit"))
	ms, err3 := strconv.Atoi(q.Get("WaitMilliseconds"))
	if err1 != nil || err2 != nil || err3 != nil || limit < 1 {
		http.Error(w, "expected From, Limit and WaitMilliseconds", http.StatusBadRequest)
		return
	}
	result, grown := j.records(r.PathValue("stream"), rollout.Offset(from), limit)
	if len(result.Records) == 0 && ms > 0 {
		t := time.NewTimer(time.Duration(ms) * time.Millisecond)
		defer t.Stop()
		select {
		case <-grown:
			result, _ = j.records(r.PathValue("stream"), rollout.Offset(from), limit)
		case <-t.C:
		case <-r.Context().Done():
		}
	}
	if !j.pass(r) {
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(result)
}

func (j *Journal) records(name string, from rollout.Offset, limit int) (rollout.ReadResult, chan struct{}) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := j.stream(name)
	next := s.first + rollout.Offset(len(s.records))
	result := rollout.ReadResult{First: s.first, Next: next}
	start := max(from, s.first)
	if start < next {
		records := s.records[start-s.first:]
		result.Records = append(result.Records, records[:min(limit, len(records))]...)
	}
	return result, s.grown
}
