package jobs

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/semaphore"

	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/metrics"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/job"
	"lagoonlink.org/rollout/textread"
)

// Limits for reading the data of jobs.
const (
	// maxReadCalls and maxReadsBytes limit the calls of a VM that are in progress and the
	// bytes that they may return. The store serves 6,000 calls and 80 MB a second for all
	// VMs.
	maxReadCalls  = 16
	maxReadsBytes = 4 << 20
	// maxReadGap is the largest gap between two texts that one call reads too. The store
	// serves a call or 13 KB more in the same time; and at 42 Mbit/s, the slowest link of a
	// VM, larger gaps took longer than the calls that they saved.
	maxReadGap = 16 << 10
	// readMemoryShare is the divisor of the VM's memory for the bytes in progress, if that
	// is less than maxReadsBytes: 1.1 MB at 136 MB, which the slowest link of such a VM
	// carries in 0.2 s. With twice as much, pages of 8 callers took up to 1.6 s, not 1.0 s.
	readMemoryShare = 128
	// minReadsBytes is the smallest limit of the bytes in progress: two of the largest
	// records.
	minReadsBytes = 512 << 10
	// minReadShare is the smallest divisor of the bytes in progress for one call. Smaller
	// calls bring the first results earlier when callers share a slow link.
	minReadShare = 8
	// minCallBytes is the smallest limit of one call.
	minCallBytes = 32 << 10
	// slowRead is the duration from which on a read is logged.
	slowRead = 500 * time.Millisecond
)

// readKind is what a read is for. It is the label of the reader's metrics.
type readKind string

const (
	readResults    readKind = "results"
	readSubmission readKind = "submission"
	readFragment   readKind = "fragment"
)

// readRequest asks for the data of locations in a topic.
type readRequest struct {
	kind      readKind
	job       string
	topic     string
	locations []job.Location
	// deadline ends the read once the data of the first location is there. If it is zero,
	// the read only ends when all is read or a call fails.
	deadline time.Time
}

// reader reads the data of jobs by concurrent calls, all of which share one budget.
type reader struct {
	journal rollout.Journal
	logger  *event.Logger
	metrics tally.Scope
	// budget holds the bytes that calls in progress may return, budgetBytes in total. A
	// call takes at least a share of 1/maxReadCalls, which limits their number.
	budget      *semaphore.Weighted
	budgetBytes int
	// active is the number of reads in progress.
	active atomic.Int64
	// callBuckets are the buckets of the number of calls of a read.
	callBuckets tally.Buckets
}

func newReader(c Config) *reader {
	size := maxReadsBytes
	if c.MemoryBytes > 0 {
		size = max(minReadsBytes, min(size, c.MemoryBytes/readMemoryShare))
	}
	return &reader{
		journal: c.Journal, logger: c.Logger, metrics: c.Metrics, budget: semaphore.NewWeighted(int64(size)), budgetBytes: size,
		callBuckets: tally.MustMakeExponentialValueBuckets(1, 2, 9),
	}
}

// readOne reads the data of one location.
func (r *reader) readOne(ctx context.Context, q readRequest, at job.Location) ([]byte, error) {
	q.locations = []job.Location{at}
	data, err := r.read(ctx, q)
	if err != nil {
		return nil, err
	}
	return data[0], nil
}

// read returns the data of the first locations: all of them, or those that were read
// before the deadline passed or a call failed. It returns an error only if the data of the
// first location is not there. All calls are canceled when it returns.
func (r *reader) read(ctx context.Context, q readRequest) ([][]byte, error) {
	startedAt := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	active := int(r.active.Add(1))
	defer r.active.Add(-1)
	limits := textread.Limits{CallBytes: max(minCallBytes, r.budgetBytes/max(minReadShare, active)), GapBytes: maxReadGap}
	p := &pageRead{reader: r, request: q, collection: textread.New(q.locations, limits), answers: make(chan answer, maxReadCalls), end: len(q.locations)}
	if p.pending = p.collection.Plan(); len(p.pending) > 0 {
		p.partition = p.pending[0].Partition
		p.collect(ctx)
		r.observe(ctx, p, time.Since(startedAt))
	}
	if len(q.locations) > 0 && p.collection.Prefix() == 0 {
		return nil, p.err
	}
	return p.collection.Data(), nil
}

// observe logs and measures a read that has ended.
func (r *reader) observe(ctx context.Context, p *pageRead, took time.Duration) {
	calls := p.calls.Load()
	tagged := r.metrics.Tagged(map[string]string{"kind": string(p.request.kind)})
	tagged.Histogram("text_read_seconds", metrics.LatencyBuckets).RecordDuration(took)
	tagged.Histogram("text_read_calls", r.callBuckets).RecordValue(float64(calls))
	fields := event.Fields{
		"Kind": p.request.kind, "Job": p.request.job, "Partition": p.partition, "Calls": calls, "Bytes": p.bytes,
		"Wanted": len(p.request.locations), "Returned": p.collection.Prefix(), "Took": took.String(),
	}
	switch {
	case ctx.Err() != nil:
		r.logger.Write(event.TextReadCanceled, fields)
	case p.err != nil:
		fields["Error"] = p.err
		r.logger.Write(event.TextReadFailed, fields)
	case p.late:
		r.logger.Write(event.TextPageCut, fields)
	case took >= slowRead:
		r.logger.Write(event.TextReadSlow, fields)
	}
}

// answer is the result of the call for a range.
type answer struct {
	asked   textread.Range
	records []rollout.Record
	err     error
}

// pageRead is the state of one read.
type pageRead struct {
	reader     *reader
	request    readRequest
	collection *textread.Collection
	answers    chan answer
	pending    []textread.Range
	// partition is the number of the first partition that is read.
	partition int
	// running is the number of calls in progress or waiting for the budget, and bytes is
	// the size of the records that were returned.
	running, bytes int
	// calls is the number of calls that were made.
	calls atomic.Int64
	// end is the index of the first location that can't be read because of err.
	end int
	err error
	// late reports whether the read ended because its deadline had passed.
	late bool
}

// collect makes the calls until all is read or no more can be returned.
func (p *pageRead) collect(ctx context.Context) {
	var timeUp <-chan time.Time
	if !p.request.deadline.IsZero() {
		t := time.NewTimer(time.Until(p.request.deadline))
		defer t.Stop()
		timeUp = t.C
	}
	passed := false
	for p.collection.Prefix() < p.end {
		if p.late = passed && p.collection.Prefix() > 0; p.late {
			return
		}
		p.start(ctx)
		select {
		case a := <-p.answers:
			p.running--
			p.add(a)
		case <-timeUp:
			passed = true
		case <-ctx.Done():
			p.err = rollout.Fail(rollout.NotRun, rollout.ReasonCanceled, ctx.Err())
			return
		}
	}
}

// start starts the next calls, as many as this read's share of the VM's calls allows, so
// that the first call of a read does not wait for all calls of others. Each sends one
// answer, for which the channel has room.
func (p *pageRead) start(ctx context.Context) {
	share := max(1, maxReadCalls/int(p.reader.active.Load()))
	for ; p.running < share && len(p.pending) > 0; p.pending = p.pending[1:] {
		g := p.pending[0]
		if g.First >= p.end {
			continue
		}
		p.running++
		go func() { p.answers <- p.call(ctx, g) }()
	}
}

// call makes one call within the budget.
func (p *pageRead) call(ctx context.Context, g textread.Range) answer {
	r := p.reader
	size := min(maxReadBytes, (g.Bytes+1023)>>10<<10)
	weight := int64(min(r.budgetBytes, max(r.budgetBytes/maxReadCalls, size)))
	if err := r.budget.Acquire(ctx, weight); err != nil {
		return answer{asked: g, err: rollout.Fail(rollout.NotRun, rollout.ReasonCanceled, err)}
	}
	defer r.budget.Release(weight)
	if g.Records == 1 {
		// A read returns at least one record. Rounding up could return the next one too.
		size = g.Bytes - textread.RecordOverhead
	}
	p.calls.Add(1)
	read, err := r.journal.Read(ctx, rollout.Partition{Topic: p.request.topic, Number: g.Partition}, g.From, size, 0)
	return answer{asked: g, records: read.Records, err: err}
}

// add adds the answer to a call. If the call failed, the locations from its first one on
// are not returned.
func (p *pageRead) add(a answer) {
	var rest []textread.Range
	if a.err == nil {
		for _, e := range a.records {
			p.bytes += len(e.Data)
		}
		rest, a.err = p.collection.Add(a.asked, a.records)
	}
	if a.err != nil {
		if a.asked.First < p.end {
			p.end, p.err = a.asked.First, a.err
		}
		return
	}
	p.pending = append(rest, p.pending...)
}

func (m *Manager) readSubmission(ctx context.Context, j *job.Accepted) (*job.Submission, error) {
	data, err := m.reader.readOne(ctx, readRequest{kind: readSubmission, job: j.ID, topic: job.TopicSubmission}, j.Submission)
	if err != nil {
		return nil, err
	}
	return job.DecodeSubmission(data, j)
}
