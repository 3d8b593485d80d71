// Package jobs stores jobs and runs their samples. Every entry VM serves requests
// for all jobs and reads the job index as far as it needs it. The owner of a job's
// partition runs the job's samples. Everything that was acknowledged is stored in
// the journal.
package jobs

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"lagoonlink.org/lagoonlink/internal/dispatch"
	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/fleet"
	"lagoonlink.org/lagoonlink/internal/incarnation"
	"lagoonlink.org/lagoonlink/internal/inforce"
	"lagoonlink.org/lagoonlink/internal/metrics"
	"lagoonlink.org/lagoonlink/internal/ownership"
	"lagoonlink.org/lagoonlink/internal/pause"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/job"
)

// Timing and limits for reading the index.
const (
	// minReadWait and maxReadWait bound how long a read waits for a record. The
	// wait is short after records arrived and doubles while none arrive. The store
	// may answer a read that arrives during an append only when the wait ends.
	minReadWait  = 60 * time.Millisecond
	maxReadWait  = 500 * time.Millisecond
	maxReadBytes = 1 << 20
	// readInterval is the minimum time between two reads of a partition that
	// another VM owns, so that many small records cost one call.
	readInterval   = 60 * time.Millisecond
	readRetryDelay = 200 * time.Millisecond
	// demandTTL is how long a partition is followed after a caller waited for it:
	// slightly more than the longest wait of a caller.
	demandTTL = 1500 * time.Millisecond
	// maxStaleness is the maximum age of a read for its partition to count as up
	// to date. A response may be one second out of date.
	maxStaleness = 400 * time.Millisecond
	// jobTTL is how long a job stays readable after its submission, twice the time
	// that the platform requires.
	jobTTL = 240 * time.Second
	// pruneInterval is how often old jobs are dropped.
	pruneInterval = 10 * time.Second
)

// Config configures a Manager.
type Config struct {
	VM         rollout.VMName
	Partitions int
	// RecordBytes limits the size of one record, CallBytes the total size of the
	// records of one append.
	RecordBytes int
	CallBytes   int
	// MemoryBytes is the memory of the VM; 0 if it is unknown.
	MemoryBytes int
	// Reserve reserves memory for a caller's request until it has ended. Its errors are
	// refusals. It may be nil.
	Reserve  func(ctx context.Context, bytes int) error
	Journal  rollout.Journal
	Engine   rollout.SampleEngine
	Scorer   rollout.SampleScorer
	Dispatch *dispatch.Dispatcher
	Fleet    *fleet.Fleet
	// Incarnations confirms the servers that continue texts. It may be nil.
	Incarnations *incarnation.Checker
	InForce      *inforce.Holder
	Owner        *ownership.Owner
	Logger       *event.Logger
	Metrics      tally.Scope
	// TenantLabels bounds the tenants in labels of metrics. It may be nil.
	TenantLabels *metrics.Labels
}

// partition holds the folded state of one index partition.
type partition struct {
	id rollout.Partition

	mu   sync.Mutex
	fold *job.Fold
	// caughtUpAt is when the partition was last read to its end.
	caughtUpAt time.Time
	// demandedAt is when a caller last waited for a record.
	demandedAt time.Time
	// wakeups makes the follower check again whether it should read.
	wakeups chan struct{}
	// changed is closed and replaced on each change.
	changed chan struct{}
}

// Manager serves the requests for jobs and runs the samples of the partitions that
// this VM owns.
type Manager struct {
	config     Config
	partitions []*partition
	writers    []*writer
	reader     *reader
	runner     *runner
}

// New returns a Manager. It does no work until Run is called.
func New(c Config) *Manager {
	m := &Manager{config: c, reader: newReader(c)}
	for n := range c.Partitions {
		m.partitions = append(m.partitions, &partition{
			id: rollout.Partition{Topic: job.TopicIndex, Number: n}, fold: job.NewFold(),
			changed: make(chan struct{}), wakeups: make(chan struct{}, 1),
		})
		m.writers = append(m.writers, newWriter(c, n))
	}
	m.runner = newRunner(m)
	return m
}

// demand keeps the partition followed for demandTTL because a caller waits for a
// record.
func (p *partition) demand() {
	p.mu.Lock()
	p.demandedAt = time.Now()
	p.mu.Unlock()
	p.wake()
}

func (p *partition) wake() {
	select {
	case p.wakeups <- struct{}{}:
	default:
	}
}

func (p *partition) nextOffset() rollout.Offset {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fold.Next()
}

func (m *Manager) partitionOf(id string) *partition {
	return m.partitions[job.PartitionOf(id, len(m.partitions))]
}

// Run follows all partitions, writes results and runs samples until ctx is done.
// It always returns nil.
func (m *Manager) Run(ctx context.Context) error {
	var group sync.WaitGroup
	m.runner.allowRuns(ctx)
	for n := range m.partitions {
		group.Go(func() { m.follow(ctx, m.partitions[n]) })
		group.Go(func() { m.writers[n].run(ctx) })
	}
	group.Go(func() { m.pruneJobs(ctx) })
	m.runner.run(ctx)
	group.Wait()
	return nil
}

// follow reads a partition while this VM needs it, until ctx is done.
func (m *Manager) follow(ctx context.Context, p *partition) {
	failing, wait := false, minReadWait
	for ctx.Err() == nil {
		if !m.shouldFollow(p) {
			select {
			case <-p.wakeups:
			case <-ctx.Done():
			}
			continue
		}
		before := p.nextOffset()
		_, err := m.readOnce(ctx, p, wait)
		if wait = min(2*wait, maxReadWait); p.nextOffset() > before {
			wait = minReadWait
		}
		if ctx.Err() != nil {
			return
		}
		if err != nil && !failing {
			m.config.Logger.Write(event.JournalUnreadable, event.Fields{"Partition": p.id, "Error": err})
		}
		if err == nil && failing {
			m.config.Logger.Write(event.JournalReadable, event.Fields{"Partition": p.id})
		}
		failing = err != nil
		switch {
		case failing:
			pause.For(ctx, readRetryDelay)
		case !m.owns(p.id.Number):
			pause.For(ctx, readInterval)
		}
	}
}

// shouldFollow reports whether this VM should follow a partition: it runs the
// partition's samples, or it issues the orders to engines and needs all
// submissions to know how far behind their samples may be, or a caller waited
// recently. Other VMs do not follow the partition, because reads count against the
// store's request rate, which all VMs share. They catch up when a request needs
// it.
func (m *Manager) shouldFollow(p *partition) bool {
	if m.owns(p.id.Number) || m.IssuesOrders() {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.demandedAt) < demandTTL
}

// IssuesOrders reports whether this VM issues the orders to engines, that is,
// whether it owns the first partition.
func (m *Manager) IssuesOrders() bool { return m.owns(0) }

// mayStartRuns reports whether this VM may start jobs of a partition: it owns the
// partition and its membership has not lapsed.
func (m *Manager) mayStartRuns(number int) bool { return m.owns(number) && m.config.Owner.Valid() }

func (m *Manager) owns(number int) bool {
	for _, p := range m.config.Owner.Current().Partitions {
		if p.Topic == job.TopicIndex && p.Number == number {
			return true
		}
	}
	return false
}

// readOnce reads records once and applies them. It reports whether it has read to the end
// that the partition had then. If the next records were trimmed, it skips them, and what
// follows them is still to be read.
func (m *Manager) readOnce(ctx context.Context, p *partition, wait time.Duration) (atEnd bool, err error) {
	from := p.nextOffset()
	r, err := m.config.Journal.Read(ctx, p.id, from, maxReadBytes, wait)
	var trimmed *rollout.TrimmedError
	if errors.As(err, &trimmed) && trimmed.First > from {
		m.config.Logger.Write(event.JournalTrimmed, event.Fields{"Partition": p.id, "From": from, "First": trimmed.First})
		p.mu.Lock()
		p.fold.SkipTo(trimmed.First)
		p.mu.Unlock()
		return false, nil
	}
	if err != nil {
		return false, err
	}
	m.apply(p, r)
	return p.nextOffset() >= r.Next, nil
}

// apply applies records to the fold and passes the resulting events to the runner.
func (m *Manager) apply(p *partition, r rollout.ReadResult) {
	var events []job.Event
	p.mu.Lock()
	for _, e := range r.Records {
		record, err := job.Decode(e.Data)
		if err != nil {
			m.config.Logger.Write(event.RecordUnreadable, event.Fields{"Feed": p.id, "Key": e.Offset, "Error": err})
			p.fold.SkipInvalid(e.Offset)
			continue
		}
		if ev, changed := p.fold.Apply(e.Offset, record); changed {
			events = append(events, ev)
		}
	}
	if p.fold.Next() >= r.Next {
		p.caughtUpAt = time.Now()
	}
	if len(events) > 0 {
		close(p.changed)
		p.changed = make(chan struct{})
	}
	p.mu.Unlock()
	for _, ev := range events {
		m.runner.handleEvent(p.id.Number, ev)
	}
}

// catchUp reads a partition to its current end.
func (m *Manager) catchUp(ctx context.Context, p *partition) error {
	for {
		if atEnd, err := m.readOnce(ctx, p, 0); err != nil || atEnd {
			return err
		}
	}
}

func (m *Manager) pruneJobs(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, pruneInterval)
		for _, p := range m.partitions {
			p.mu.Lock()
			p.fold.RemoveBefore(time.Now().Add(-jobTTL))
			p.mu.Unlock()
		}
	}
}
