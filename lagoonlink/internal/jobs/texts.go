package jobs

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"

	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/pause"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/job"
)

// texts reads the texts of results. Texts that lie next to one another are read
// with one call.
func (k *Keeper) texts(ctx context.Context, listed []job.Result) ([][]byte, error) {
	out := make([][]byte, len(listed))
	for i := 0; i < len(listed); {
		first := listed[i].Text
		records, bytes, n := 0, 0, 0
		for _, r := range listed[i:] {
			if r.Text.Partition != first.Partition || r.Text.Offset != first.Offset+rollout.Offset(records) {
				break
			}
			records += r.Text.Records
			bytes += r.Text.Bytes
			n++
		}
		data, err := k.readRecords(ctx, rollout.Partition{Topic: job.TopicText, Number: first.Partition}, first.Offset, records, bytes)
		if err != nil {
			return nil, err
		}
		for _, r := range listed[i : i+n] {
			for _, part := range data[:r.Text.Records] {
				out[i] = append(out[i], part...)
			}
			data = data[r.Text.Records:]
			i++
		}
	}
	return out, nil
}

// readRecords reads a number of records from an offset on.
func (k *Keeper) readRecords(ctx context.Context, p rollout.Partition, from rollout.Offset, records, bytes int) ([][]byte, error) {
	out := make([][]byte, 0, records)
	for len(out) < records {
		r, err := k.config.Journal.Read(ctx, p, from+rollout.Offset(len(out)), bytes+recordOverhead*records, 0)
		if err != nil {
			return nil, err
		}
		if len(r.Records) == 0 {
			return nil, fmt.Errorf("%s ends at %d, expected %d records from %d", p, r.Next, records, from)
		}
		for _, e := range r.Records {
			bytes -= len(e.Data)
			out = append(out, e.Data)
		}
	}
	return out[:records], nil
}

// recordOverhead is what a record takes beside its data.
const recordOverhead = 16

// submission reads a job's submission.
func (k *Keeper) submission(ctx context.Context, j *job.Accepted) (*job.Submission, error) {
	at := j.Submission
	parts, err := k.readRecords(ctx, rollout.Partition{Topic: job.TopicSubmission, Number: at.Partition}, at.Offset, at.Records, at.Bytes)
	if err != nil {
		return nil, err
	}
	return job.DecodeSubmission(bytes.Join(parts, nil), j)
}

// Numbers of writing.
const (
	// writeRing bounds the results that wait to be appended; a full ring holds up
	// the runs.
	writeRing = 1024
	// gather is how long the first result of an append waits for others.
	gather = 15 * time.Millisecond
	// writeRetry is the pause after a failed append.
	writeRetry = 150 * time.Millisecond
)

// ended is a sample's end, or a fragment of it.
type ended struct {
	text     []byte
	result   *job.Result
	fragment *job.Fragment
}

func (e ended) setPlace(p job.Place) {
	if e.result != nil {
		e.result.Text = p
		return
	}
	e.fragment.Text = p
}

func (e ended) record() job.Record { return job.Record{Result: e.result, Fragment: e.fragment} }

// writer appends the results of one partition: the texts first, then where they
// lie. An append that may have succeeded is repeated; the first record counts.
type writer struct {
	config Config
	number int
	ring   chan ended
	// pending counts what was put and not yet appended.
	pending sync.WaitGroup
	failing bool
	// stopped is closed when run returns.
	stopped chan struct{}
}

func newWriter(c Config, number int) *writer {
	return &writer{config: c, number: number, ring: make(chan ended, writeRing), stopped: make(chan struct{})}
}

// put queues a sample's end. It waits while the ring is full and the writer runs.
func (w *writer) put(e ended) {
	w.pending.Add(1)
	select {
	case w.ring <- e:
	case <-w.stopped:
		w.pending.Done()
	}
}

// offer queues a fragment unless the ring is half full.
func (w *writer) offer(e ended) {
	if len(w.ring) < writeRing/2 {
		w.put(e)
	}
}

func (w *writer) run(ctx context.Context) {
	defer close(w.stopped)
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-w.ring:
			batch := w.batch(ctx, first)
			w.write(ctx, batch)
			w.pending.Add(-len(batch))
		}
	}
}

// batch gathers results for one append.
func (w *writer) batch(ctx context.Context, first ended) []ended {
	batch, bytes := []ended{first}, len(first.text)
	pause.For(ctx, gather)
	for bytes < w.config.CallBytes/2 {
		select {
		case e := <-w.ring:
			batch, bytes = append(batch, e), bytes+len(e.text)
		default:
			return batch
		}
	}
	return batch
}

func (w *writer) write(ctx context.Context, batch []ended) {
	var texts [][]byte
	for i := range batch {
		parts := job.Split(batch[i].text, w.config.RecordBytes)
		batch[i].setPlace(job.Place{
			Partition: w.number, Offset: rollout.Offset(len(texts)), Bytes: len(batch[i].text), Records: len(parts),
		})
		texts = append(texts, parts...)
	}
	var first rollout.Offset
	if len(texts) > 0 {
		var ok bool
		if first, ok = w.append(ctx, rollout.Partition{Topic: job.TopicText, Number: w.number}, texts); !ok {
			return
		}
	}
	var records [][]byte
	for _, e := range batch {
		r := e.record()
		if r.Result != nil {
			r.Result.Text.Offset += first
		} else {
			r.Fragment.Text.Offset += first
		}
		encoded, err := job.Encode(r)
		if err != nil {
			w.config.Logger.Write(event.JournalUnwritable, event.Fields{"Partition": w.number, "Error": err})
			continue
		}
		records = append(records, encoded)
	}
	w.append(ctx, rollout.Partition{Topic: job.TopicIndex, Number: w.number}, records)
}

// append appends until it succeeds or the context ends.
func (w *writer) append(ctx context.Context, p rollout.Partition, records [][]byte) (rollout.Offset, bool) {
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
		pause.For(ctx, writeRetry)
	}
}
