package feed_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/feed"
	"lagoonlink.org/lagoonlink/internal/uptime"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
)

// scriptedFeed returns the reads of its script in turn and then ends the test. A nil read
// is an error.
type scriptedFeed struct {
	script []*rollout.Changes[string]
	waits  []time.Duration
	// startedAt holds when each read began.
	startedAt []time.Duration
	end       context.CancelFunc
}

func (f *scriptedFeed) Snapshot(context.Context) ([]rollout.Change[string], rollout.Offset, error) {
	f.startedAt = append(f.startedAt, uptime.Now())
	return nil, 0, nil
}

func (f *scriptedFeed) Since(_ context.Context, _ rollout.Offset, wait time.Duration) (rollout.Changes[string], error) {
	f.startedAt, f.waits = append(f.startedAt, uptime.Now()), append(f.waits, wait)
	time.Sleep(5 * time.Millisecond)
	if len(f.script) == 0 {
		f.end()
		return rollout.Changes[string]{}, errors.New("end of the test")
	}
	read := f.script[0]
	f.script = f.script[1:]
	if read == nil {
		return rollout.Changes[string]{}, errors.New("the store is down")
	}
	return *read, nil
}

// TestCurrent guards against a VM that believes to know the newest values although a read
// failed, did not reach the end, has not been applied, or began before a change.
func TestCurrent(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	f := &scriptedFeed{end: cancel, script: []*rollout.Changes[string]{
		{AtEnd: true},
		{Changes: []rollout.Change[string]{{Key: "a"}}, Next: 1},
		nil,
		{Changes: []rollout.Change[string]{{Key: "b"}}, Next: 2, AtEnd: true},
	}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	var calls []string
	var asOf []time.Duration
	assert.NoError(t, "run", feed.Run(ctx, f, feed.Follower[string]{
		Name: "f", Logger: event.NewLogger(log), Wait: 70 * time.Millisecond,
		Reachable: func() {}, Unreachable: func() {},
		Replace: func([]rollout.Change[string]) { calls = append(calls, "snapshot") },
		Apply:   func(c []rollout.Change[string]) { calls = append(calls, c[0].Key) },
		Current: func(at time.Duration) { calls, asOf = append(calls, "current"), append(asOf, at) },
	}))
	assert.Equal(t, "calls", calls, []string{"snapshot", "current", "current", "a", "b", "current"})
	// The reads that found the end are the snapshot and the first and fourth of the script.
	for i, read := range []int{0, 1, 4} {
		assert.True(t, "the time is not after the start of the read", asOf[i] <= f.startedAt[read])
		assert.True(t, "the time is not before the read", read == 0 || asOf[i] > f.startedAt[read-1])
	}
	assert.Equal(t, "wait", f.waits[0], 70*time.Millisecond)
}

// TestFollowerIsBehind guards against VMs that read every one of several large values which
// follow each other faster than the store can send them.
func TestFollowerIsBehind(t *testing.T) {
	for newestOnly, want := range map[bool][]string{true: {"snapshot", "a", "snapshot", "c"}, false: {"snapshot", "a", "c"}} {
		ctx, cancel := context.WithCancel(t.Context())
		f := &scriptedFeed{end: cancel, script: []*rollout.Changes[string]{
			{Changes: []rollout.Change[string]{{Key: "a"}}, Next: 1},
			{Changes: []rollout.Change[string]{{Key: "c"}}, Next: 3, AtEnd: true},
		}}
		log := logrus.New()
		log.SetOutput(io.Discard)
		var calls []string
		assert.NoError(t, "run", feed.Run(ctx, f, feed.Follower[string]{
			Name: "f", Logger: event.NewLogger(log), NewestOnly: newestOnly,
			Reachable: func() {}, Unreachable: func() {},
			Replace: func([]rollout.Change[string]) { calls = append(calls, "snapshot") },
			Apply:   func(c []rollout.Change[string]) { calls = append(calls, c[0].Key) },
		}))
		assert.Equal(t, "calls", calls, want)
	}
}
