package jobs

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/pause"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/job"
)

// Queue and append settings of a writer.
const (
	// writeQueueSize limits the outputs that wait to be appended. A full queue
	// blocks the runs.
	writeQueueSize = 1024
	// batchDelay is how long the first output of a batch waits for others.
	batchDelay      = 15 * time.Millisecond
	writeRetryDelay = 150 * time.Millisecond
)

// sampleOutput is the result of a sample or a fragment of its text. Exactly one of
// result and fragment is set.
type sampleOutput struct {
	job      string
	text     []byte
	result   *job.Result
	fragment *job.Fragment
	// textStored reports whether the text is in the journal already, at the location
	// that the result states.
	textStored bool
	// stored gets the location of the text once the output is in the journal. It is
	// nil if nobody waits, and otherwise has a capacity of 1.
	stored chan<- job.Location
}

// location returns the location of the text, to be read or set.
func (o sampleOutput) location() *job.Location {
	if o.result != nil {
		return &o.result.Text
	}
	return &o.fragment.Text
}

func (o sampleOutput) record() job.Record { return job.Record{Result: o.result, Fragment: o.fragment} }

// writer appends the outputs of one partition: first the texts, then the index
// records that refer to them. An append that may have succeeded is repeated; only
// the first record of a result counts.
type writer struct {
	config Config
	number int
	queue  chan sampleOutput
	// pending counts the outputs that are queued or being appended.
	pending sync.WaitGroup
	failing bool
	// stopped is closed when run returns.
	stopped chan struct{}
}

func newWriter(c Config, number int) *writer {
	return &writer{config: c, number: number, queue: make(chan sampleOutput, writeQueueSize), stopped: make(chan struct{})}
}

// enqueue queues an output. It blocks while the queue is full, and drops the
// output once the writer has stopped.
func (w *writer) enqueue(o sampleOutput) {
	w.pending.Add(1)
	select {
	case w.queue <- o:
	case <-w.stopped:
		w.pending.Done()
	}
}

// tryEnqueue queues a fragment if less than half of the queue is in use.
func (w *writer) tryEnqueue(o sampleOutput) {
	if len(w.queue) < writeQueueSize/2 {
		w.enqueue(o)
	}
}

func (w *writer) run(ctx context.Context) {
	defer close(w.stopped)
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-w.queue:
			batch := w.collectBatch(ctx, first)
			w.write(ctx, batch)
			w.pending.Add(-len(batch))
		}
	}
}

func (w *writer) collectBatch(ctx context.Context, first sampleOutput) []sampleOutput {
	batch, size := []sampleOutput{first}, len(first.text)
	pause.For(ctx, batchDelay)
	for size < w.config.CallBytes/2 {
		select {
		case o := <-w.queue:
			batch, size = append(batch, o), size+len(o.text)
		default:
			return groupByJob(batch)
		}
	}
	return groupByJob(batch)
}

// groupByJob makes the texts of the results of each job adjacent, so that one call reads
// them. Fragments come first: a fragment after the result of its sample would be kept.
func groupByJob(batch []sampleOutput) []sampleOutput {
	slices.SortStableFunc(batch, func(a, b sampleOutput) int {
		if a.job == b.job && (a.result == nil) != (b.result == nil) {
			if a.result == nil {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.job, b.job)
	})
	return batch
}

func (w *writer) write(ctx context.Context, batch []sampleOutput) {
	var texts [][]byte
	for _, o := range batch {
		if o.textStored {
			continue
		}
		parts := job.Split(o.text, w.config.RecordBytes)
		*o.location() = job.Location{
			Partition: w.number, Offset: rollout.Offset(len(texts)), Bytes: len(o.text), Records: len(parts),
		}
		texts = append(texts, parts...)
	}
	var first rollout.Offset
	if len(texts) > 0 {
		var ok bool
		if first, ok = w.appendUntilDone(ctx, rollout.Partition{Topic: job.TopicText, Number: w.number}, texts); !ok {
			return
		}
	}
	var records [][]byte
	for _, o := range batch {
		if !o.textStored {
			o.location().Offset += first
		}
		encoded, err := job.Encode(o.record())
		if err != nil {
			w.config.Logger.Write(event.JournalUnwritable, event.Fields{"Partition": w.number, "Error": err})
			continue
		}
		records = append(records, encoded)
	}
	if _, ok := w.appendUntilDone(ctx, rollout.Partition{Topic: job.TopicIndex, Number: w.number}, records); !ok {
		return
	}
	for _, o := range batch {
		if o.stored != nil {
			o.stored <- *o.location()
		}
	}
}

// appendUntilDone retries an append until it succeeds or ctx is done.
func (w *writer) appendUntilDone(ctx context.Context, p rollout.Partition, records [][]byte) (rollout.Offset, bool) {
	for {
		first, err := w.config.Journal.Append(ctx, p, records)
		if err == nil {
			if w.failing {
				w.config.Logger.Write(event.JournalWritable, event.Fields{"Partition": p})
			}
			w.failing = false
			return first, true
		}
		if ctx.Err() != nil {
			return 0, false
		}
		if !w.failing {
			w.config.Logger.Write(event.JournalUnwritable, event.Fields{"Partition": p, "Error": err})
		}
		w.failing = true
		pause.For(ctx, writeRetryDelay)
	}
}
