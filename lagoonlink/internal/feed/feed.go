// Package feed follows a topic that keeps the newest value of each key, and
// reads it anew when changes were dropped.
package feed

import (
	"context"
	"errors"
	"time"

	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/pause"
	"lagoonlink.org/rollout"
)

// Numbers of following.
const (
	// wait is how long a read waits for a change. A connection that went silent,
	// or a store that misses an append which meets the read, delays changes by no
	// more than this and the store's reply time.
	wait = 500 * time.Millisecond
	// retryPause is the pause after a failed read.
	retryPause = 150 * time.Millisecond
)

// Follower is told what a feed holds. Its methods are called by one goroutine.
type Follower[T any] struct {
	// Name is used in logs.
	Name string
	// Replace takes the newest values of all keys.
	Replace func([]rollout.Change[T])
	// Apply takes changes in their order.
	Apply func([]rollout.Change[T])
	// Reached and Lost tell whether the store could be read.
	Reached func()
	Lost    func()
	// Spacing is the least time between two reads, so that many small changes
	// cost one call.
	Spacing time.Duration
	Logger  *event.Logger
}

// Run follows a feed until the context ends.
func Run[T any](ctx context.Context, f rollout.Feed[T], to Follower[T]) error {
	r := runner[T]{feed: f, to: to}
	for ctx.Err() == nil {
		err := r.step(ctx)
		r.note(ctx, err)
		spacing := to.Spacing
		if err != nil {
			spacing = retryPause
		}
		pause.For(ctx, spacing)
	}
	return nil
}

type runner[T any] struct {
	feed    rollout.Feed[T]
	to      Follower[T]
	next    rollout.Offset
	known   bool
	failing bool
}

// step reads once. After changes were dropped it starts from a snapshot.
func (r *runner[T]) step(ctx context.Context) error {
	if !r.known {
		changes, next, err := r.feed.Snapshot(ctx)
		if err != nil {
			return err
		}
		r.to.Reached()
		r.next, r.known = next, true
		r.to.Replace(changes)
		return nil
	}
	changes, next, err := r.feed.Since(ctx, r.next, wait)
	var trimmed *rollout.TrimmedError
	if errors.As(err, &trimmed) {
		r.to.Logger.Write(event.FeedTrimmed, event.Fields{"Feed": r.to.Name, "From": r.next, "First": trimmed.First})
		r.known = false
		return nil
	}
	if err != nil {
		return err
	}
	r.to.Reached()
	r.next = next
	if len(changes) > 0 {
		r.to.Apply(changes)
	}
	return nil
}

func (r *runner[T]) note(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		r.to.Lost()
	}
	if err != nil && !r.failing {
		r.to.Logger.Write(event.FeedLost, event.Fields{"Feed": r.to.Name, "Next": r.next, "Error": err})
	}
	if err == nil && r.failing {
		r.to.Logger.Write(event.FeedRegained, event.Fields{"Feed": r.to.Name, "Next": r.next})
	}
	r.failing = err != nil
}
