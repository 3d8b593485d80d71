// Package suspicions shares with all entry VMs which requests are suspected of
// crashing their servers, for such a request comes again at any VM. They travel on
// a topic of the journal.
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

// Topic is the topic of suspicions. It has one partition in use.
const Topic = "suspicions"

// Numbers of the duty.
const (
	// readWait is how long a read waits for a suspicion. A convicted request has to
	// be known everywhere within the time in which a VM counts as out of touch.
	readWait = 500 * time.Millisecond
	// readPause is the pause after a failed read or append.
	readPause = 250 * time.Millisecond
	// readBytes bounds one read.
	readBytes = 64 << 10
)

// Config configures the duty.
type Config struct {
	Journal rollout.Journal
	// Rumors returns what this VM suspects; Heard takes what others do.
	Rumors func() []request.Rumor
	Heard  func([]request.Rumor)
	Logger *event.Logger
}

// Suspicions is the duty.
type Suspicions struct {
	config Config
	news   chan struct{}
}

// New returns the duty.
func New(c Config) *Suspicions { return &Suspicions{config: c, news: make(chan struct{}, 1)} }

var partition = rollout.Partition{Topic: Topic}

// Announce tells that this VM's suspicions changed.
func (s *Suspicions) Announce() {
	select {
	case s.news <- struct{}{}:
	default:
	}
}

// Tell appends this VM's suspicions when they change, until the context ends.
func (s *Suspicions) Tell(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.news:
		}
		if err := s.tell(ctx); err != nil && ctx.Err() == nil {
			s.config.Logger.Write(event.JournalUnwritable, event.Fields{"Partition": partition, "Error": err})
			pause.For(ctx, readPause)
			s.Announce()
		}
	}
}

func (s *Suspicions) tell(ctx context.Context) error {
	rumors := s.config.Rumors()
	if len(rumors) == 0 {
		return nil
	}
	data, err := cbor.Marshal(rumors)
	if err != nil {
		return rollout.Tried(err, "encode suspicions")
	}
	_, err = s.config.Journal.Append(ctx, partition, [][]byte{data})
	return err
}

// Follow reads the suspicions of all VMs until the context ends. Hearing its own
// changes nothing.
func (s *Suspicions) Follow(ctx context.Context) error {
	next := rollout.Offset(0)
	for ctx.Err() == nil {
		r, err := s.config.Journal.Read(ctx, partition, next, readBytes, readWait)
		var trimmed *rollout.TrimmedError
		switch {
		case errors.As(err, &trimmed):
			next = trimmed.First
		case err != nil:
			// The feeds of the same store log its loss.
			pause.For(ctx, readPause)
		}
		for _, e := range r.Records {
			next = e.Offset + 1
			var rumors []request.Rumor
			if err := cbor.Unmarshal(e.Data, &rumors); err != nil {
				s.config.Logger.Write(event.EntryUnreadable, event.Fields{"Feed": partition, "Key": e.Offset, "Error": err})
				continue
			}
			s.config.Heard(rumors)
		}
	}
	return nil
}
