// Package journal is a stand-in for the platform's append-only log. It simulates
// offsets, a rate limit on appends, limited retention, outages, slow responses,
// and responses that are lost after the append took effect.
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
	"lagoonlink.org/rollout/httpclient"
	"lagoonlink.org/rollout/platform"
)

// Config configures a journal.
type Config struct {
	Address string
	Seed    uint64
	// AppendsPerSecond is the rate limit on appends, over all streams.
	AppendsPerSecond float64
	// MaxRecordsPerStream limits the records that each stream retains; 0 means no
	// limit.
	MaxRecordsPerStream int
}

// Faults selects the faults to inject. It can change at any time.
type Faults struct {
	// Outage aborts every request.
	Outage bool
	// LoseReplies is the share of appends that take effect but get no response.
	LoseReplies float64
	// Delay is the time by which every request is delayed.
	Delay time.Duration
}

const (
	maxRecordBytes = 1 << 20
	appendBurst    = 50
)

type stream struct {
	firstOffset rollout.Offset
	records     []rollout.Record
	// appended is closed and replaced at each append.
	appended chan struct{}
}

// Journal simulates the append-only log.
type Journal struct {
	config  Config
	limiter *rate.Limiter

	mu           sync.Mutex
	faults       Faults
	streams      map[string]*stream
	appendCounts map[string]int
	random       *rand.Rand
}

// New returns an empty journal. Run starts it.
func New(c Config) *Journal {
	return &Journal{
		config:       c,
		limiter:      rate.NewLimiter(rate.Limit(c.AppendsPerSecond), appendBurst),
		streams:      map[string]*stream{},
		appendCounts: map[string]int{},
		random:       rand.New(rand.NewPCG(c.Seed, 2)),
	}
}

// SetFaults applies change to the injected faults.
func (j *Journal) SetFaults(change func(*Faults)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	change(&j.faults)
}

// Appends returns the number of records appended to each stream.
func (j *Journal) Appends() map[string]int {
	j.mu.Lock()
	defer j.mu.Unlock()
	counts := map[string]int{}
	for s, n := range j.appendCounts {
		counts[s] = n
	}
	return counts
}

// Run serves until ctx is done.
func (j *Journal) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}/records", j.handleAppend)
	mux.HandleFunc("GET /streams/{stream}/records", j.handleRead)
	return Serve(ctx, j.config.Address, mux)
}

// Serve serves HTTP requests at the address with h until ctx is done. It returns
// an error if it can't listen or serve.
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

// applyFaults applies the configured delay and reports whether to serve the
// request. It returns false during an outage.
func (j *Journal) applyFaults(r *http.Request) bool {
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

func (j *Journal) handleAppend(w http.ResponseWriter, r *http.Request) {
	if !j.applyFaults(r) {
		panic(http.ErrAbortHandler)
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !j.limiter.Allow() {
		w.Header().Set(httpclient.HeaderVerdict, rollout.NotRun.String())
		w.Header().Set("Retry-After", "1")
		http.Error(w, "append rate limit exceeded", http.StatusTooManyRequests)
		return
	}
	offset, replyLost := j.appendRecord(r.PathValue("stream"), data)
	if replyLost {
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(platform.AppendResponse{Offset: offset})
}

func (j *Journal) appendRecord(name string, data []byte) (offset rollout.Offset, replyLost bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := j.stream(name)
	offset = s.firstOffset + rollout.Offset(len(s.records))
	s.records = append(s.records, rollout.Record{Offset: offset, Data: data})
	if j.config.MaxRecordsPerStream > 0 && len(s.records) > j.config.MaxRecordsPerStream {
		excess := len(s.records) - j.config.MaxRecordsPerStream
		s.records = s.records[excess:]
		s.firstOffset += rollout.Offset(excess)
	}
	j.appendCounts[name]++
	close(s.appended)
	s.appended = make(chan struct{})
	return offset, j.random.Float64() < j.faults.LoseReplies
}

func (j *Journal) stream(name string) *stream {
	s := j.streams[name]
	if s == nil {
		s = &stream{appended: make(chan struct{})}
		j.streams[name] = s
	}
	return s
}

func (j *Journal) handleRead(w http.ResponseWriter, r *http.Request) {
	if !j.applyFaults(r) {
		panic(http.ErrAbortHandler)
	}
	query := r.URL.Query()
	from, err1 := strconv.ParseUint(query.Get("From"), 10, 64)
	limit, err2 := strconv.Atoi(query.Get("Limit"))
	waitMilliseconds, err3 := strconv.Atoi(query.Get("WaitMilliseconds"))
	if err1 != nil || err2 != nil || err3 != nil || limit < 1 {
		http.Error(w, "expected integers From, WaitMilliseconds and Limit of at least 1", http.StatusBadRequest)
		return
	}
	result, appended := j.readRecords(r.PathValue("stream"), rollout.Offset(from), limit)
	if len(result.Records) == 0 && waitMilliseconds > 0 {
		t := time.NewTimer(time.Duration(waitMilliseconds) * time.Millisecond)
		defer t.Stop()
		select {
		case <-appended:
			result, _ = j.readRecords(r.PathValue("stream"), rollout.Offset(from), limit)
		case <-t.C:
		case <-r.Context().Done():
		}
	}
	if !j.applyFaults(r) {
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(result)
}

func (j *Journal) readRecords(name string, from rollout.Offset, limit int) (rollout.ReadResult, chan struct{}) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := j.stream(name)
	next := s.firstOffset + rollout.Offset(len(s.records))
	result := rollout.ReadResult{First: s.firstOffset, Next: next}
	start := max(from, s.firstOffset)
	if start < next {
		records := s.records[start-s.firstOffset:]
		result.Records = append(result.Records, records[:min(limit, len(records))]...)
	}
	return result, s.appended
}
