// Package suspicions shares among all entry VMs which requests are suspected of
// crashing their servers, because such a request may be resent through any VM. The
// suspicions are records of a journal topic.
package suspicions

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/pause"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/request"
)

// Topic is the journal topic of suspicions. Only one of its partitions is used.
const Topic = "suspicions"

// Limits and delays of journal access.
const (
	// readWait is how long a read waits for a record. A convicted request must be
	// known to all VMs within the time after which a VM counts as disconnected.
	readWait = 500 * time.Millisecond
	// retryDelay is the delay after a failed read or append.
	retryDelay = 250 * time.Millisecond
	// maxReadBytes limits the size of one read.
	maxReadBytes = 64 << 10
)

// Config configures a Syncer.
type Config struct {
	Journal rollout.Journal
	// Suspicions returns the suspicions of this VM; OnSuspicions receives those
	// read from the journal, this VM's own included.
	Suspicions   func() []request.SharedSuspicion
	OnSuspicions func([]request.SharedSuspicion)
	Logger       *event.Logger
}

// Syncer exchanges suspicions with the other VMs through the journal.
type Syncer struct {
	config  Config
	changed chan struct{}
}

// New returns a Syncer; Publish and Follow do its work.
func New(c Config) *Syncer { return &Syncer{config: c, changed: make(chan struct{}, 1)} }

var partition = rollout.Partition{Topic: Topic}

// Announce signals Publish that this VM's suspicions changed. It never blocks.
func (s *Syncer) Announce() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// Publish appends this VM's suspicions to the journal whenever Announce signals a
// change, until the context ends. It retries a failed append.
func (s *Syncer) Publish(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.changed:
		}
		if err := s.appendRecord(ctx); err != nil && ctx.Err() == nil {
			s.config.Logger.Write(event.JournalUnwritable, event.Fields{"Partition": partition, "Error": err})
			pause.For(ctx, retryDelay)
			s.Announce()
		}
	}
}

func (s *Syncer) appendRecord(ctx context.Context) error {
	suspicions := s.config.Suspicions()
	if len(suspicions) == 0 {
		return nil
	}
	data, err := cbor.Marshal(suspicions)
	if err != nil {
		return rollout.Wrapf(err, "encode suspicions")
	}
	_, err = s.config.Journal.Append(ctx, partition, [][]byte{data})
	return err
}

// Follow reads the suspicions of all VMs from the journal until the context ends.
// Reading this VM's own suspicions has no effect.
func (s *Syncer) Follow(ctx context.Context) error {
	next := rollout.Offset(0)
	for ctx.Err() == nil {
		result, err := s.config.Journal.Read(ctx, partition, next, maxReadBytes, readWait)
		var trimmed *rollout.TrimmedError
		switch {
		case errors.As(err, &trimmed):
			next = trimmed.First
		case err != nil:
			// Not logged here: the feeds of the same store log that it is unavailable.
			pause.For(ctx, retryDelay)
		}
		for _, r := range result.Records {
			next = r.Offset + 1
			var suspicions []request.SharedSuspicion
			if err := cbor.Unmarshal(r.Data, &suspicions); err != nil {
				s.config.Logger.Write(event.RecordUnreadable, event.Fields{"Feed": partition, "Key": r.Offset, "Error": err})
				continue
			}
			s.config.OnSuspicions(suspicions)
		}
	}
	return nil
}
