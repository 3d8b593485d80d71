package standin

import (
	"context"
	"sync"
	"time"

	"lagoonlink.org/rollout"
)

// Feed is a fake of a topic that keeps the newest value of each key.
type Feed[T any] struct {
	mu      sync.Mutex
	changes []rollout.Change[T]
	// first is the offset of the oldest change that Since returns.
	first int
	down  bool
	// changed is closed and replaced when the feed changes.
	changed chan struct{}
}

// NewFeed returns an empty feed.
func NewFeed[T any]() *Feed[T] { return &Feed[T]{changed: make(chan struct{})} }

// Put publishes changes.
func (f *Feed[T]) Put(changes ...rollout.Change[T]) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changes = append(f.changes, changes...)
	close(f.changed)
	f.changed = make(chan struct{})
}

// TrimHistory drops all changes so far, so that only a snapshot returns their values.
func (f *Feed[T]) TrimHistory() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.first = len(f.changes)
}

// SetDown makes the feed unreachable if down is true, and reachable otherwise.
func (f *Feed[T]) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
	close(f.changed)
	f.changed = make(chan struct{})
}

// Snapshot implements rollout.Feed.
func (f *Feed[T]) Snapshot(context.Context) ([]rollout.Change[T], rollout.Offset, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, 0, rollout.Refuse(rollout.ReasonLogUnavailable, "the store is down")
	}
	newest := map[string]int{}
	for i, c := range f.changes {
		newest[c.Key] = i
	}
	var out []rollout.Change[T]
	for i, c := range f.changes {
		if newest[c.Key] == i && !c.Deleted {
			out = append(out, c)
		}
	}
	return out, rollout.Offset(len(f.changes)), nil
}

// Since implements rollout.Feed.
func (f *Feed[T]) Since(ctx context.Context, from rollout.Offset, wait time.Duration) (rollout.Changes[T], error) {
	timeout := time.After(wait)
	for {
		f.mu.Lock()
		down, first, changed := f.down, f.first, f.changed
		out := append([]rollout.Change[T](nil), f.changes[min(int(from), len(f.changes)):]...)
		f.mu.Unlock()
		switch {
		case down:
			return rollout.Changes[T]{}, rollout.Refuse(rollout.ReasonLogUnavailable, "the store is down")
		case int(from) < first:
			return rollout.Changes[T]{}, &rollout.TrimmedError{First: rollout.Offset(first)}
		case len(out) > 0:
			return rollout.Changes[T]{Changes: out, Next: from + rollout.Offset(len(out)), AtEnd: true}, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return rollout.Changes[T]{Next: from, AtEnd: true}, nil
		case <-ctx.Done():
			return rollout.Changes[T]{}, rollout.Fail(rollout.NotRun, rollout.ReasonCanceled, ctx.Err())
		}
	}
}
