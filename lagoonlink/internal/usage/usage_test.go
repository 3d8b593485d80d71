package usage

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/standin"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/usage"
)

const window = 5 * time.Second

func newTracker(store *standin.Store) *Tracker {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(Config{VM: "a", Incarnation: "1", Journal: store.ForVM("a"), Window: window, Late: 10 * time.Second, Logger: event.NewLogger(log), Metrics: tally.NoopScope})
}

// report adds all records of the store.
func report(t *testing.T, store *standin.Store, number uint64) map[string]int {
	t.Helper()
	f := usage.NewFold(number - 1)
	for _, data := range store.Records(partition) {
		r, err := usage.Decode(data)
		assert.NoError(t, "decode", err)
		f.Apply(r)
	}
	return f.Report(number).Counts
}

// pass stores what is to be stored some time after the end of window 1000.
func (t *Tracker) pass(ctx context.Context, after time.Duration) {
	now := usage.EndOf(1000, window).Add(after)
	t.take(now, t.storeAfter, t.timing.StoreAgain)
	t.store(ctx, now)
}

func TestStore(t *testing.T) {
	store := standin.NewStore(1)
	c := newTracker(store)
	c.pass(t.Context(), 2*time.Second)
	assert.Equal(t, "records without a request", len(store.Records(partition)), 0)
	at := usage.EndOf(1000, window)
	c.RequestBegan("x", "1", at.Add(-time.Second))
	c.RequestBegan("x", "2", at)
	c.pass(t.Context(), 900*time.Millisecond)
	assert.Equal(t, "records while other VMs' clocks may still be in the window", len(store.Records(partition)), 0)
	for _, after := range []time.Duration{2, 3, 4} {
		c.pass(t.Context(), after*time.Second)
	}
	assert.Equal(t, "records", len(store.Records(partition)), 1)
	assert.Equal(t, "report", report(t, store, 1000), map[string]int{"x": 1})
}

// An append without a response may have taken effect. Its repeat must not count twice.
func TestLostResponse(t *testing.T) {
	store := standin.NewStore(1)
	store.LoseReplies(usage.Topic, 2)
	c := newTracker(store)
	c.RequestBegan("x", "1", usage.EndOf(999, window))
	for _, after := range []time.Duration{2000, 2250, 2500, 2750} {
		c.pass(t.Context(), after*time.Millisecond)
	}
	assert.Equal(t, "records", len(store.Records(partition)), 3)
	assert.Equal(t, "report", report(t, store, 1000), map[string]int{"x": 1})
}

// The counts of a store's outage are stored after it, unless no report can contain them.
func TestStoreUnavailable(t *testing.T) {
	store := standin.NewStore(1)
	store.SetDown("a", true)
	c := newTracker(store)
	c.RequestBegan("x", "1", usage.EndOf(999, window))
	c.pass(t.Context(), 2*time.Second)
	c.RequestBegan("x", "2", usage.EndOf(1000, window))
	c.pass(t.Context(), 19*time.Second)
	store.SetDown("a", false)
	c.pass(t.Context(), 20*time.Second)
	assert.Equal(t, "reports", []map[string]int{report(t, store, 1000), report(t, store, 1001)}, []map[string]int{{}, {"x": 1}})
}

// A process that is stopped must store the counts of the current window.
func TestStop(t *testing.T) {
	store := standin.NewStore(1)
	c := newTracker(store)
	now := time.Now()
	c.RequestBegan("x", "1", now)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.NoError(t, "run", c.Run(ctx))
	assert.Equal(t, "report", report(t, store, usage.WindowAt(now, window)), map[string]int{"x": 1})
}
