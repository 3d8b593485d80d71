// Package feed follows a topic that keeps the newest value of each key. It takes a
// new snapshot when the topic has dropped changes that the follower has not read.
package feed

import (
	"cmp"
	"context"
	"errors"
	"time"

	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/pause"
	"lagoonlink.org/lagoonlink/internal/uptime"
	"lagoonlink.org/rollout"
)

// Read and retry delays.
const (
	// readWait is how long a read waits for a change. If a connection stops
	// delivering data without an error, or the store does not notice an append
	// that arrives during a read, changes are delayed by at most this wait plus
	// the store's response time.
	readWait = 500 * time.Millisecond
	// retryDelay is the delay after a failed read.
	retryDelay = 150 * time.Millisecond
	// behindSpacing is the delay after a snapshot that a follower took because it was
	// behind, so that it skips values that are replaced meanwhile.
	behindSpacing = 250 * time.Millisecond
)

// Follower receives the contents of a feed. Run makes all calls from one
// goroutine.
type Follower[T any] struct {
	// Name identifies the feed in logs.
	Name string
	// Replace receives the newest values of all keys.
	Replace func([]rollout.Change[T])
	// Apply receives changes in order.
	Apply func([]rollout.Change[T])
	// Reachable is called after each successful read, Unreachable after each
	// failed one.
	Reachable   func()
	Unreachable func()
	// Current is called when the changes up to the end of the feed have been applied, with
	// the time (package uptime) at which the read began that found the end. It may be nil.
	Current func(asOf time.Duration)
	// Wait is how long a read waits for a change; 0 selects readWait.
	Wait time.Duration
	// NewestOnly takes a snapshot when a read did not reach the end of the feed, in place of
	// reading the changes in between. Where values are large and follow each other quickly,
	// all VMs together could not read each of them within the store's rate of bytes.
	NewestOnly bool
	// Spacing is the minimum time between two reads. It batches many small changes
	// into one call.
	Spacing time.Duration
	Logger  *event.Logger
}

// Run follows a feed until ctx is done. It always returns nil.
func Run[T any](ctx context.Context, f rollout.Feed[T], to Follower[T]) error {
	r := runner[T]{feed: f, follower: to}
	for ctx.Err() == nil {
		err := r.readOnce(ctx)
		r.reportStatus(ctx, err)
		spacing := to.Spacing
		switch {
		case err != nil:
			spacing = retryDelay
		case r.behind && r.synced:
			spacing, r.behind = behindSpacing, false
		}
		pause.For(ctx, spacing)
	}
	return nil
}

type runner[T any] struct {
	feed     rollout.Feed[T]
	follower Follower[T]
	next     rollout.Offset
	synced   bool
	failing  bool
	// behind reports whether the next snapshot is taken because the follower is behind.
	behind bool
}

// readOnce reads the feed once. It starts from a snapshot on the first read, after changes
// were dropped, and when a follower of the newest values is behind.
func (r *runner[T]) readOnce(ctx context.Context) error {
	startedAt := uptime.Now()
	if !r.synced {
		changes, next, err := r.feed.Snapshot(ctx)
		if err != nil {
			return err
		}
		r.follower.Reachable()
		r.next, r.synced = next, true
		r.follower.Replace(changes)
		r.reportCurrent(startedAt)
		return nil
	}
	read, err := r.feed.Since(ctx, r.next, cmp.Or(r.follower.Wait, readWait))
	var trimmed *rollout.TrimmedError
	if errors.As(err, &trimmed) {
		r.follower.Logger.Write(event.FeedTrimmed, event.Fields{"Feed": r.follower.Name, "From": r.next, "First": trimmed.First})
		r.synced = false
		return nil
	}
	if err != nil {
		return err
	}
	r.follower.Reachable()
	r.next = read.Next
	if len(read.Changes) > 0 {
		r.follower.Apply(read.Changes)
	}
	if read.AtEnd {
		r.reportCurrent(startedAt)
	} else if r.follower.NewestOnly {
		r.synced, r.behind = false, true
	}
	return nil
}

func (r *runner[T]) reportCurrent(asOf time.Duration) {
	if r.follower.Current != nil {
		r.follower.Current(asOf)
	}
}

func (r *runner[T]) reportStatus(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		r.follower.Unreachable()
	}
	if err != nil && !r.failing {
		r.follower.Logger.Write(event.FeedUnreadable, event.Fields{"Feed": r.follower.Name, "Next": r.next, "Error": err})
	}
	if err == nil && r.failing {
		r.follower.Logger.Write(event.FeedReadable, event.Fields{"Feed": r.follower.Name, "Next": r.next})
	}
	r.failing = err != nil
}
