// Package origins shares among the VMs which software version began each stream,
// through the journal, so that any VM can continue a stream at a server of that
// version, also after all VMs were restarted.
package origins

import (
	"context"
	"errors"
	"sync"
	"time"

	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/pause"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/origin"
)

// Timeouts and sizes.
const (
	// queueSize limits the streams that wait to be appended.
	queueSize = 4096
	// batchDelay is how long the first stream of a record waits for others.
	batchDelay = 10 * time.Millisecond
	// readInterval is how often the journal is read when no stream is taken up. A VM that
	// reads rarely has more to read when one is.
	readInterval = 3 * time.Second
	// callTimeout limits a call to the journal.
	callTimeout = time.Second
	// findTimeout limits the reads for one taken-up stream.
	findTimeout  = 500 * time.Millisecond
	retryDelay   = 250 * time.Millisecond
	maxReadBytes = 512 << 10
)

var partition = rollout.Partition{Topic: origin.Topic}

// Config configures a Registry.
type Config struct {
	Journal rollout.Journal
	// Servers corrects what the VMs that passed streams on knew of the servers. If it is
	// nil, the recorded versions count.
	Servers rollout.ServerHistory
	Logger  *event.Logger
}

// Registry knows the origins of streams. Run must be running.
type Registry struct {
	config Config
	began  chan origin.Stream

	mu    sync.Mutex
	table *origin.Table

	// reading is held while the journal is read; next is the offset to read.
	reading chan struct{}
	next    rollout.Offset
}

var _ rollout.StreamOrigins = (*Registry)(nil)

// New returns a Registry that knows no streams.
func New(c Config) *Registry {
	return &Registry{config: c, began: make(chan origin.Stream, queueSize), table: origin.NewTable(), reading: make(chan struct{}, 1)}
}

// Began records that a server sent the first event of the stream of a request. It
// doesn't block: the journal gets the record a moment later.
func (r *Registry) Began(request string, server rollout.Server) {
	now := time.Now()
	s := origin.Stream{Request: request, Software: server.Software, Server: server.Name, Incarnation: server.Incarnation, BeganAt: now}
	r.mu.Lock()
	r.table.Add(now, s)
	r.mu.Unlock()
	select {
	case r.began <- s:
	default:
		r.config.Logger.Write(event.QueueFull, event.Fields{"Duty": "origins", "Request": request})
	}
}

// Find returns the software version that began the stream of a request. It reads the
// journal if this VM doesn't know the stream, and fails with the verdict NotRun if the
// origin can't be determined.
func (r *Registry) Find(ctx context.Context, request string) (rollout.SoftwareVersion, error) {
	if v, ok := r.known(request); ok {
		return v, nil
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	err := r.readToEnd(ctx)
	if v, ok := r.known(request); ok {
		return v, nil
	}
	f := rollout.Refuse(rollout.ReasonOriginUnknown, "it is not known which software version began the stream of request %q", request)
	f.Cause = err
	return "", f
}

func (r *Registry) known(request string) (rollout.SoftwareVersion, bool) {
	r.mu.Lock()
	s, ok := r.table.Stream(request)
	r.mu.Unlock()
	if !ok {
		return "", false
	}
	if r.config.Servers == nil {
		return s.Software, s.Software != ""
	}
	return r.config.Servers.SoftwareAt(s.Origin())
}

// Follow reads the journal until the context ends.
func (r *Registry) Follow(ctx context.Context) error {
	for ctx.Err() == nil {
		readCtx, cancel := context.WithTimeout(ctx, callTimeout)
		// Not logged here: the feeds of the same store log that it is unavailable.
		_ = r.readToEnd(readCtx)
		cancel()
		pause.For(ctx, readInterval)
	}
	return nil
}

// readToEnd applies all records that the journal holds.
func (r *Registry) readToEnd(ctx context.Context) error {
	select {
	case r.reading <- struct{}{}:
		defer func() { <-r.reading }()
	case <-ctx.Done():
		return ctx.Err()
	}
	for {
		result, err := r.config.Journal.Read(ctx, partition, r.next, maxReadBytes, 0)
		var trimmed *rollout.TrimmedError
		if errors.As(err, &trimmed) && trimmed.First > r.next {
			r.next = trimmed.First
			continue
		}
		if err != nil {
			return err
		}
		for _, e := range result.Records {
			r.apply(e)
			r.next = e.Offset + 1
		}
		if len(result.Records) == 0 || r.next >= result.Next {
			return nil
		}
	}
}

func (r *Registry) apply(e rollout.Record) {
	record, err := origin.Decode(e.Data)
	if err != nil {
		r.config.Logger.Write(event.RecordUnreadable, event.Fields{"Feed": partition, "Key": e.Offset, "Error": err})
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.AddRecord(time.Now(), record)
}

// Publish appends the streams that this VM began to the journal until the context ends.
// It repeats a failed append: a record that is appended twice has no further effect.
func (r *Registry) Publish(ctx context.Context) error {
	failing := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-r.began:
			streams := r.collect(ctx, first)
			for ctx.Err() == nil {
				err := r.append(ctx, streams)
				if err != nil && !failing {
					r.config.Logger.Write(event.JournalUnwritable, event.Fields{"Partition": partition, "Error": err})
				} else if err == nil && failing {
					r.config.Logger.Write(event.JournalWritable, event.Fields{"Partition": partition})
				}
				failing = err != nil
				if !failing {
					break
				}
				pause.For(ctx, retryDelay)
			}
		}
	}
}

func (r *Registry) collect(ctx context.Context, first origin.Stream) []origin.Stream {
	streams := []origin.Stream{first}
	pause.For(ctx, batchDelay)
	for {
		select {
		case s := <-r.began:
			streams = append(streams, s)
		default:
			return streams
		}
	}
}

func (r *Registry) append(ctx context.Context, streams []origin.Stream) error {
	data, err := origin.Encode(origin.Record{At: time.Now(), Streams: streams})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = r.config.Journal.Append(ctx, partition, [][]byte{data})
	return err
}
