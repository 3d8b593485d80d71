// Package jobs is the duty that keeps jobs and runs their samples. Every entry VM
// answers for all jobs and reads their index as far as it needs it; the owner of a
// job's partition runs its samples. What was acknowledged lies in the journal.
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
	"lagoonlink.org/lagoonlink/internal/inforce"
	"lagoonlink.org/lagoonlink/internal/ownership"
	"lagoonlink.org/lagoonlink/internal/pause"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/job"
)

// Numbers of following the index.
const (
	// followShort and followLong bound how long a read waits for a record: short
	// after records came, longer while none come. The store may answer a read that
	// meets an append only when its wait ends.
	followShort = 60 * time.Millisecond
	followLong  = 500 * time.Millisecond
	// followBytes bounds one read.
	followBytes = 1 << 20
	// spacing is the least time between two reads of a partition that another VM
	// owns, so that many small records cost one call.
	spacing = 60 * time.Millisecond
	// followRetry is the pause after a failed read.
	followRetry = 200 * time.Millisecond
	// wantedFor is how long a partition is followed after a caller waited: the
	// longest wait of a caller and a little more.
	wantedFor = 1500 * time.Millisecond
	// fresh is how old a read may be for its partition to count as up to date.
	// An answer may be a second behind.
	fresh = 400 * time.Millisecond
	// keepFor is how long a job stays readable after its submission, twice the
	// time that the platform asks for.
	keepFor = 240 * time.Second
	// forgetEvery is how often old jobs are looked for.
	forgetEvery = 10 * time.Second
)

// Config configures the duty.
type Config struct {
	VM         rollout.VMName
	Partitions int
	// RecordBytes and CallBytes bound a record and all records of one append.
	RecordBytes int
	CallBytes   int
	Journal     rollout.Journal
	Engine      rollout.SampleEngine
	Dispatch    *dispatch.Dispatcher
	Fleet       *fleet.Fleet
	InForce     *inforce.Holder
	Owner       *ownership.Owner
	Logger      *event.Logger
	Metrics     tally.Scope
}

// partition is the fold of one partition of the index.
type partition struct {
	id rollout.Partition

	mu   sync.Mutex
	fold *job.Fold
	// read is when the partition was last read to its end.
	read time.Time
	// wanted is when a caller last waited for a record.
	wanted time.Time
	// woken asks the follower to look again whether it should read.
	woken chan struct{}
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// Keeper is the duty.
type Keeper struct {
	config     Config
	partitions []*partition
	writers    []*writer
	runner     *runner
}

// New returns the duty.
func New(c Config) *Keeper {
	k := &Keeper{config: c}
	for n := range c.Partitions {
		k.partitions = append(k.partitions, &partition{
			id: rollout.Partition{Topic: job.TopicIndex, Number: n}, fold: job.NewFold(),
			changed: make(chan struct{}), woken: make(chan struct{}, 1),
		})
		k.writers = append(k.writers, newWriter(c, n))
	}
	k.runner = newRunner(k)
	return k
}

// want keeps the partition followed for a while, for a caller waits for a record.
func (p *partition) want() {
	p.mu.Lock()
	p.wanted = time.Now()
	p.mu.Unlock()
	p.wake()
}

func (p *partition) wake() {
	select {
	case p.woken <- struct{}{}:
	default:
	}
}

func (p *partition) next() rollout.Offset {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fold.Next()
}

func (k *Keeper) of(id string) *partition {
	return k.partitions[job.PartitionOf(id, len(k.partitions))]
}

// Run follows all partitions, writes results and runs samples until the context
// ends.
func (k *Keeper) Run(ctx context.Context) error {
	var group sync.WaitGroup
	k.runner.open(ctx)
	for n := range k.partitions {
		group.Go(func() { k.follow(ctx, k.partitions[n]) })
		group.Go(func() { k.writers[n].run(ctx) })
	}
	group.Go(func() { k.forget(ctx) })
	k.runner.run(ctx)
	group.Wait()
	return nil
}

// follow reads a partition while this VM needs it, until the context ends.
func (k *Keeper) follow(ctx context.Context, p *partition) {
	failing, wait := false, followShort
	for ctx.Err() == nil {
		if !k.needs(p) {
			select {
			case <-p.woken:
			case <-ctx.Done():
			}
			continue
		}
		before := p.next()
		_, err := k.read(ctx, p, wait)
		if wait = min(2*wait, followLong); p.next() > before {
			wait = followShort
		}
		if ctx.Err() != nil {
			return
		}
		if err != nil && !failing {
			k.config.Logger.Write(event.JournalUnreadable, event.Fields{"Partition": p.id, "Error": err})
		}
		if err == nil && failing {
			k.config.Logger.Write(event.JournalReadable, event.Fields{"Partition": p.id})
		}
		failing = err != nil
		switch {
		case failing:
			pause.For(ctx, followRetry)
		case !k.owns(p.id.Number):
			pause.For(ctx, spacing)
		}
	}
}

// needs reports whether this VM follows a partition: it runs the samples there, it
// gives the orders to engines and learns from all submissions how far behind they
// may be, or a caller waited lately. Following costs the store reads, and all VMs
// share its rate; a VM that does not follow reads on when it is asked.
func (k *Keeper) needs(p *partition) bool {
	if k.owns(p.id.Number) || k.Leads() {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.wanted) < wantedFor
}

// Leads reports whether this VM gives the orders to engines: it owns the first
// partition.
func (k *Keeper) Leads() bool { return k.owns(0) }

// begins reports whether this VM begins to run the jobs of a partition.
func (k *Keeper) begins(number int) bool { return k.owns(number) && k.config.Owner.Valid() }

func (k *Keeper) owns(number int) bool {
	for _, p := range k.config.Owner.Current().Partitions {
		if p.Topic == job.TopicIndex && p.Number == number {
			return true
		}
	}
	return false
}

// read reads records once and folds them. It returns the partition's end.
func (k *Keeper) read(ctx context.Context, p *partition, wait time.Duration) (rollout.Offset, error) {
	from := p.next()
	r, err := k.config.Journal.Read(ctx, p.id, from, followBytes, wait)
	var trimmed *rollout.TrimmedError
	if errors.As(err, &trimmed) {
		k.config.Logger.Write(event.JournalTrimmed, event.Fields{"Partition": p.id, "From": from, "First": trimmed.First})
		p.mu.Lock()
		p.fold.Skip(trimmed.First)
		p.mu.Unlock()
		return trimmed.First, nil
	}
	if err != nil {
		return 0, err
	}
	k.apply(p, r)
	return r.Next, nil
}

// apply folds records and passes on what they changed.
func (k *Keeper) apply(p *partition, r rollout.ReadResult) {
	var events []job.Event
	p.mu.Lock()
	for _, e := range r.Records {
		record, err := job.Decode(e.Data)
		if err != nil {
			k.config.Logger.Write(event.EntryUnreadable, event.Fields{"Feed": p.id, "Key": e.Offset, "Error": err})
			p.fold.Bad(e.Offset)
			continue
		}
		if ev, changed := p.fold.Apply(e.Offset, record); changed {
			events = append(events, ev)
		}
	}
	if p.fold.Next() >= r.Next {
		p.read = time.Now()
	}
	if len(events) > 0 {
		close(p.changed)
		p.changed = make(chan struct{})
	}
	p.mu.Unlock()
	for _, ev := range events {
		k.runner.happened(p.id.Number, ev)
	}
}

// catchUp reads a partition up to the end that it has now.
func (k *Keeper) catchUp(ctx context.Context, p *partition) error {
	for {
		end, err := k.read(ctx, p, 0)
		if err != nil {
			return err
		}
		if p.next() >= end {
			return nil
		}
	}
}

func (k *Keeper) forget(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, forgetEvery)
		for _, p := range k.partitions {
			p.mu.Lock()
			p.fold.Forget(time.Now().Add(-keepFor))
			p.mu.Unlock()
		}
	}
}
