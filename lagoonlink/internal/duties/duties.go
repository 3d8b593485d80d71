// Package duties makes the calls to the platform that only one VM may make at a time:
// reports of usage and orders of servers. The candidate is the VM that owns the first
// partition of the job index. It holds the right by records of the journal; package duty
// decides from them what it may do.
package duties

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/uptime"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/duty"
	"lagoonlink.org/rollout/usage"
)

// Intervals and sizes.
const (
	// stepInterval is how often a candidate checks what to do.
	stepInterval = 100 * time.Millisecond
	// readInterval is how often a candidate that does not hold the right reads the records.
	readInterval = 500 * time.Millisecond
	maxReadBytes = 512 << 10
	// timeoutsPerLease is the lease divided by the timeout of a call to the store, so that
	// a renewal may be repeated within the lease.
	timeoutsPerLease = 3
)

var (
	partition      = rollout.Partition{Topic: duty.Topic}
	usagePartition = rollout.Partition{Topic: usage.Topic}
)

// Config configures a Holder.
type Config struct {
	VM rollout.VMName
	// Incarnation identifies this process among those of the VM.
	Incarnation string
	Journal     rollout.Journal
	Cloud       rollout.Cloud
	// IsCandidate reports whether this VM should hold the right.
	IsCandidate func() bool
	// Lease is how long this VM may act after a record that it appended.
	Lease time.Duration
	// ChecksFence reports whether the platform refuses calls with an old fencing token.
	ChecksFence bool
	// Rate is the number of calls a second that the platform takes from all VMs.
	Rate float64
	// ReportsUsage reports whether usage is reported, in windows of length Window. A report
	// is due Late after its window's end.
	ReportsUsage bool
	Window, Late time.Duration
	// ReadsLoad reports whether the load of services is needed.
	ReadsLoad bool
	// Now reads a clock that also runs while the VM is suspended; WallTime reads the time
	// of day. If they are nil, those of the system are used.
	Now      func() time.Duration
	WallTime func() time.Time
	Logger   *event.Logger
	Metrics  tally.Scope
}

// Holder holds the right to make singleton calls while this VM is the candidate.
type Holder struct {
	config    Config
	timing    usage.Timing
	startedAt time.Time

	mu    sync.Mutex
	state *duty.State
	// lastCall is when the last call was started.
	lastCall time.Duration
	// load is the load of each service in the window that was added up at loadAt.
	load   map[rollout.ServiceName]float64
	loadAt time.Duration

	// The following fields are only used by the task that keeps the hold.
	reports *reports
	readAt  time.Duration
	// failing is set while the records can't be read or appended.
	failing bool
	// heldToken is the token of the last log line, 0 if the right was not held.
	heldToken uint64
}

// New returns a Holder that has read no record.
func New(c Config) *Holder {
	if c.Now == nil {
		c.Now = uptime.Now
	}
	if c.WallTime == nil {
		c.WallTime = time.Now
	}
	c.Rate = max(c.Rate, minRate)
	h := &Holder{config: c, timing: usage.NewTiming(c.Late), startedAt: c.WallTime(), readAt: -readInterval}
	h.state = duty.NewState(h.self(), c.Lease)
	return h
}

func (h *Holder) self() duty.Process {
	return duty.Process{VM: h.config.VM, Incarnation: h.config.Incarnation}
}

// Run keeps the hold and sends the reports until the context ends. It always returns nil.
func (h *Holder) Run(ctx context.Context) error {
	var group sync.WaitGroup
	for _, task := range []func(context.Context){h.step, h.sendReports} {
		group.Go(func() {
			tick := time.NewTicker(stepInterval)
			defer tick.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-tick.C:
					task(ctx)
				}
			}
		})
	}
	group.Wait()
	return nil
}

// Held reports whether this VM holds the right.
func (h *Holder) Held() bool {
	_, _, held := h.held()
	return held
}

func (h *Holder) held() (token uint64, until time.Duration, held bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	token, until, held = h.state.Held(h.config.Now())
	return token, until, held && h.config.IsCandidate()
}

func (h *Holder) withState(fn func(s *duty.State)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	fn(h.state)
}

// step reads, claims or renews as far as it is time to, and fixes the reports that are due.
func (h *Holder) step(ctx context.Context) {
	if !h.config.IsCandidate() {
		h.withState((*duty.State).Resign)
		h.logHold("NotCandidate")
		return
	}
	err := h.keep(ctx)
	if _, _, held := h.held(); held && err == nil && h.config.ReportsUsage {
		err = h.fixReports(ctx)
	} else if held && err == nil && h.config.ReadsLoad {
		err = h.readLoad(ctx)
	}
	var mismatch *rollout.OffsetMismatchError
	if err != nil && !h.failing && ctx.Err() == nil && !errors.As(err, &mismatch) {
		h.config.Logger.Write(event.JournalUnwritable, event.Fields{"Partition": partition, "Error": err})
	}
	if err == nil && h.failing {
		h.config.Logger.Write(event.JournalWritable, event.Fields{"Partition": partition})
	}
	h.failing = err != nil && !errors.As(err, &mismatch)
	h.logHold("Lapsed")
}

// logHold logs a change of the hold. The reason is that of a loss, unless another VM holds
// the right.
func (h *Holder) logHold(reason string) {
	token, until, held := h.held()
	if !held {
		token = 0
	}
	if token == h.heldToken {
		return
	}
	fields := event.Fields{"Held": held, "Token": token, "Before": h.heldToken}
	h.withState(func(s *duty.State) {
		fields["Fixed"], fields["Next"] = s.Fixed(), s.Next()
		if !held {
			fields["Reason"] = reason
		}
	})
	if held {
		fields["For"] = (until - h.config.Now()).Seconds()
	}
	h.heldToken = token
	h.config.Logger.Write(event.DutyHeld, fields)
}

// keep reads the records if necessary and appends a claim or a renewal.
func (h *Holder) keep(ctx context.Context) error {
	now := h.config.Now()
	_, _, held := h.held()
	var caughtUp bool
	h.withState(func(s *duty.State) { caughtUp = s.CaughtUp() })
	if !caughtUp || !held && now >= h.readAt+readInterval {
		h.readAt = now
		if err := h.read(ctx); err != nil {
			return err
		}
	}
	var action duty.Action
	h.withState(func(s *duty.State) { action = s.Decide(h.config.Now()) })
	if action == duty.Wait {
		return nil
	}
	if err := h.setOrigin(ctx); err != nil {
		return err
	}
	return h.append(ctx, action, nil, 0)
}

func (h *Holder) storeTimeout() time.Duration { return h.config.Lease / timeoutsPerLease }

// read reads the records to their end.
func (h *Holder) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, h.storeTimeout())
	defer cancel()
	for {
		var from rollout.Offset
		h.withState(func(s *duty.State) { from = s.Next() })
		r, err := h.config.Journal.Read(ctx, partition, from, maxReadBytes, 0)
		var trimmed *rollout.TrimmedError
		if errors.As(err, &trimmed) && trimmed.First > from || err == nil && r.First > from && len(r.Records) == 0 {
			first := r.First
			if trimmed != nil {
				first = trimmed.First
			}
			h.withState(func(s *duty.State) { s.SkipTo(first, h.config.Now()) })
			h.reports = nil
			continue
		}
		if err != nil {
			return err
		}
		for _, e := range r.Records {
			h.apply(e)
		}
		atEnd := false
		h.withState(func(s *duty.State) {
			s.ReadEnd(r.Next)
			atEnd = s.CaughtUp()
		})
		if atEnd || len(r.Records) == 0 {
			return nil
		}
	}
}

func (h *Holder) apply(e rollout.Record) {
	r, err := duty.Decode(e.Data)
	if err != nil {
		h.config.Logger.Write(event.RecordUnreadable, event.Fields{"Feed": partition, "Key": e.Offset, "Error": err})
	}
	if err != nil || r.Holder != h.self() {
		// Another holder may have fixed reports.
		h.reports = nil
	}
	h.withState(func(s *duty.State) {
		if err != nil {
			s.SkipInvalid(e.Offset, h.config.Now())
			return
		}
		s.Apply(e.Offset, r, h.config.Now())
	})
}

// setOrigin determines the first window to be reported if no record states it. If there
// never was a record, that is the window in which this process was started. Otherwise it is
// the current one, because records that were trimmed may have reported earlier ones.
func (h *Holder) setOrigin(ctx context.Context) error {
	var stated, earlier bool
	h.withState(func(s *duty.State) { stated, earlier = s.Known() && s.Fixed() > 0, s.Known() || s.Skipped() })
	if stated || !h.config.ReportsUsage {
		return nil
	}
	from, since := rollout.Offset(0), h.startedAt
	if earlier {
		since = h.config.WallTime()
		var err error
		if from, err = h.endOfUsage(ctx); err != nil {
			return err
		}
	}
	h.withState(func(s *duty.State) { s.SetOrigin(usage.WindowAt(since, h.config.Window), from) })
	return nil
}

// append appends a record at the end that this VM has read. It is a claim, a renewal or a
// renewal that fixes a report.
func (h *Holder) append(ctx context.Context, a duty.Action, report *rollout.UsageReport, usageFrom rollout.Offset) error {
	started := h.config.Now()
	var at rollout.Offset
	var record duty.Record
	h.withState(func(s *duty.State) { at, record = s.Next(), s.Record(a, report, usageFrom) })
	data, err := duty.Encode(record)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, h.storeTimeout())
	defer cancel()
	err = h.config.Journal.AppendAt(ctx, partition, at, [][]byte{data})
	h.withState(func(s *duty.State) {
		if err != nil {
			s.AppendFailed()
			return
		}
		s.Appended(at, record, started)
	})
	return err
}
