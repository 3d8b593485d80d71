// Package usage counts the requests that servers began to run for this VM and stores the
// counts, one record for each window of time. The holder of the duty reports them.
package usage

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/usage"
)

// Intervals and timeouts.
const (
	// checkInterval is how often the task looks for windows that have ended, and the delay
	// before a failed append is repeated.
	checkInterval = 250 * time.Millisecond
	// appendTimeout limits an append. One that is lost leaves time for another before the
	// report is fixed.
	appendTimeout = 800 * time.Millisecond
	// finalTimeout limits the append of a process that is shutting down.
	finalTimeout = 500 * time.Millisecond
)

var partition = rollout.Partition{Topic: usage.Topic}

// Config configures a Tracker.
type Config struct {
	VM rollout.VMName
	// Incarnation identifies this process among those of the VM.
	Incarnation string
	Journal     rollout.Journal
	// Window is the length of a window. Its report is due Late after its end.
	Window, Late time.Duration
	Logger       *event.Logger
	Metrics      tally.Scope
}

// Tracker counts requests. Run stores the counts.
type Tracker struct {
	config Config
	timing usage.Timing
	// storeAfter is when after its end a window is stored.
	storeAfter time.Duration

	mu      sync.Mutex
	counter *usage.Counter

	// pending holds the records that are not known to be stored.
	pending  []usage.Record
	sequence uint64
	failing  bool
}

// New returns a Tracker that has counted nothing.
func New(c Config) *Tracker {
	t := &Tracker{config: c, timing: usage.NewTiming(c.Late), counter: usage.NewCounter(c.Window)}
	t.storeAfter = t.timing.Store + rand.N(t.timing.StoreLatest-t.timing.Store)
	return t
}

var _ rollout.UsageReceiver = (*Tracker)(nil)

// RequestBegan implements rollout.UsageReceiver.
func (t *Tracker) RequestBegan(tenant, request string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counter.Add(tenant, request, at)
}

// ServiceBusy adds the time that a request which ends now spent at a server of a service.
func (t *Tracker) ServiceBusy(s rollout.ServiceName, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counter.AddBusy(s, took, time.Now())
}

// Run stores the counts until the context ends, and then all that are left. It always
// returns nil.
func (t *Tracker) Run(ctx context.Context) error {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			final, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalTimeout)
			defer cancel()
			t.take(time.Now(), -t.config.Window, -t.config.Window)
			t.store(final, time.Now())
			return nil
		case now := <-tick.C:
			t.take(now, t.storeAfter, t.timing.StoreAgain)
			t.store(ctx, now)
		}
	}
}

// take makes records of the counts of windows that ended some time ago.
func (t *Tracker) take(now time.Time, first, again time.Duration) {
	t.mu.Lock()
	taken, late := t.counter.Take(now, first, again, t.timing.Lost)
	t.mu.Unlock()
	t.countLate(late)
	for _, w := range taken {
		t.sequence++
		t.pending = append(t.pending, usage.Record{
			VM: t.config.VM, Incarnation: t.config.Incarnation, Sequence: t.sequence, Window: w.Window, Counts: w.Counts, Busy: w.Busy,
		})
	}
}

// store appends the pending records. They are kept while they are not known to be stored;
// a record that is stored twice counts once.
func (t *Tracker) store(ctx context.Context, now time.Time) {
	for len(t.pending) > 0 && now.Sub(usage.EndOf(t.pending[0].Window, t.config.Window)) >= t.timing.Lost {
		t.countLate(usage.Total(t.pending[0].Counts))
		t.pending = t.pending[1:]
	}
	var encoded [][]byte
	for _, r := range t.pending {
		data, err := usage.Encode(r)
		if err != nil {
			t.failed(err)
			return
		}
		encoded = append(encoded, data)
	}
	if len(encoded) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := t.config.Journal.Append(ctx, partition, encoded); err != nil {
		t.failed(err)
		return
	}
	t.pending, t.failing = nil, false
}

// failed logs the first of several failures to store counts.
func (t *Tracker) failed(err error) {
	if !t.failing {
		t.config.Logger.Write(event.UsageUnwritable, event.Fields{"Partition": partition, "Pending": len(t.pending), "Window": t.pending[0].Window, "Error": err})
	}
	t.failing = true
}

func (t *Tracker) countLate(requests int) {
	if requests == 0 {
		return
	}
	t.config.Metrics.Counter("usage_late_requests").Inc(int64(requests))
	t.config.Logger.Write(event.UsageLate, event.Fields{"Requests": requests, "At": "Counting"})
}
