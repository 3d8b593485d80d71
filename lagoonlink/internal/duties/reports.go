package duties

import (
	"context"
	"errors"
	"time"

	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/pause"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/duty"
	"lagoonlink.org/rollout/usage"
)

const (
	// reportRetryDelay is the delay before a report is sent again, and rateLimitedDelay
	// that after the platform's rate was exceeded.
	reportRetryDelay = 500 * time.Millisecond
	rateLimitedDelay = time.Second
	// clockSkew is the largest difference between the wall clocks of two VMs that is
	// tolerated.
	clockSkew = time.Second
	// maxPositions limits the remembered reads of usage records.
	maxPositions = 64
)

// position is how far the usage records were read at a time.
type position struct {
	at   time.Time
	next rollout.Offset
}

// reports adds the usage records of all VMs during one hold.
type reports struct {
	fold *usage.Fold
	next rollout.Offset
	// positions are in the order of time.
	positions []position
	// records counts the records that were read since the last report.
	records int
}

// fixReports fixes the reports of the windows that ended some time ago: it appends each
// report's counts, so that every later holder sends the same ones.
func (h *Holder) fixReports(ctx context.Context) error {
	var fixed uint64
	var from rollout.Offset
	h.withState(func(s *duty.State) { fixed, from = s.Fixed(), s.UsageFrom() })
	if h.reports == nil {
		h.reports = &reports{fold: usage.NewFold(fixed), next: from}
	}
	now := h.config.WallTime()
	// The newest window that ended at least Fix ago.
	due := usage.WindowAt(now.Add(-h.timing.Fix), h.config.Window)
	if due <= fixed+1 {
		return nil
	}
	due--
	if lost := usage.WindowAt(now.Add(-h.timing.Lost), h.config.Window); lost > fixed+1 {
		h.config.Logger.Write(event.ReportLost, event.Fields{"Window": fixed + 1, "Last": lost - 1, "Fixed": false})
		h.config.Metrics.Counter("usage_windows_lost").Inc(int64(lost - 1 - fixed))
		h.withState(func(s *duty.State) { s.Abandon(lost - 1) })
		h.reports.fold.Fix(lost - 1)
		fixed = lost - 1
	}
	if err := h.readUsage(ctx); err != nil {
		return err
	}
	for window := fixed + 1; window <= due; window++ {
		if err := h.fixReport(ctx, window); err != nil {
			return err
		}
	}
	return nil
}

func (h *Holder) fixReport(ctx context.Context, window uint64) error {
	if _, _, held := h.held(); !held {
		return nil
	}
	report := h.reports.fold.Report(window)
	h.setLoad(window)
	if err := h.append(ctx, duty.Renew, &report, h.reports.before(usage.EndOf(window, h.config.Window).Add(-clockSkew))); err != nil {
		return err
	}
	h.reports.fold.Fix(window)
	h.config.Logger.Write(event.ReportFixed, event.Fields{
		"Window": window, "Tenants": len(report.Counts), "Requests": usage.Total(report.Counts), "Records": h.reports.records,
		"After": h.config.WallTime().Sub(usage.EndOf(window, h.config.Window)).Seconds(),
	})
	h.reports.records = 0
	return nil
}

// readLoad adds up the load of services while no usage is reported.
func (h *Holder) readLoad(ctx context.Context) error {
	ended := usage.WindowAt(h.config.WallTime().Add(-h.timing.Fix), h.config.Window) - 1
	if h.reports == nil {
		next, err := h.endOfUsage(ctx)
		if err != nil {
			return err
		}
		h.reports = &reports{fold: usage.NewFold(ended), next: next}
	}
	// Records of the next window may have been there already, so its load is not known.
	if ended <= h.reports.fold.Fixed() {
		return nil
	}
	if err := h.readUsage(ctx); err != nil {
		return err
	}
	h.setLoad(ended)
	h.reports.fold.Fix(ended)
	return nil
}

// setLoad sets the load of services to that of a window, unless its records may be missing
// because this VM began to read later.
func (h *Holder) setLoad(window uint64) {
	if !h.config.ReadsLoad || window <= h.reports.fold.Origin()+1 {
		return
	}
	load := h.reports.fold.Load(window, h.config.Window)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.load, h.loadAt = load, h.config.Now()
}

// maxLoadWindows is the number of windows after which a load is no longer used.
const maxLoadWindows = 3

// Load returns the mean number of requests at the servers of each service, or false if it
// isn't known.
func (h *Holder) Load() (load map[rollout.ServiceName]float64, known bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	known = h.load != nil && h.config.Now()-h.loadAt < maxLoadWindows*h.config.Window
	return h.load, known
}

// before returns how far the usage records had been read before a time, or 0 if that isn't
// known. Records of a window that starts later than that follow.
func (r *reports) before(at time.Time) rollout.Offset {
	var next rollout.Offset
	for _, p := range r.positions {
		if p.at.Before(at) {
			next = p.next
		}
	}
	return next
}

// readUsage adds all usage records that are not read yet.
func (h *Holder) readUsage(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, h.storeTimeout())
	defer cancel()
	for {
		started := h.config.WallTime()
		r, err := h.config.Journal.Read(ctx, usagePartition, h.reports.next, maxReadBytes, 0)
		var trimmed *rollout.TrimmedError
		if errors.As(err, &trimmed) && trimmed.First > h.reports.next {
			h.config.Logger.Write(event.JournalTrimmed, event.Fields{"Partition": usagePartition, "From": h.reports.next, "First": trimmed.First})
			h.reports.next = trimmed.First
			continue
		}
		if err != nil {
			return err
		}
		for _, e := range r.Records {
			h.addUsage(e)
		}
		if h.reports.next >= r.Next || len(r.Records) == 0 {
			h.reports.positions = append(h.reports.positions, position{started, h.reports.next})
			h.reports.positions = h.reports.positions[max(0, len(h.reports.positions)-maxPositions):]
			return nil
		}
	}
}

func (h *Holder) addUsage(e rollout.Record) {
	h.reports.next = e.Offset + 1
	r, err := usage.Decode(e.Data)
	if err != nil {
		h.config.Logger.Write(event.RecordUnreadable, event.Fields{"Feed": usagePartition, "Key": e.Offset, "Error": err})
		return
	}
	h.reports.records++
	if late := h.reports.fold.Apply(r); late > 0 {
		h.config.Metrics.Counter("usage_late_requests").Inc(int64(late))
		h.config.Logger.Write(event.UsageLate, event.Fields{"Requests": late, "At": "Adding", "VM": r.VM, "Window": r.Window, "Key": e.Offset})
	}
}

// endOfUsage returns the end of the usage records.
func (h *Holder) endOfUsage(ctx context.Context) (rollout.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, h.storeTimeout())
	defer cancel()
	r, err := h.config.Journal.Read(ctx, usagePartition, 0, 1, 0)
	var trimmed *rollout.TrimmedError
	if errors.As(err, &trimmed) {
		r, err = h.config.Journal.Read(ctx, usagePartition, trimmed.First, 1, 0)
	}
	return r.Next, err
}

// sendReports sends the earliest fixed report that the platform has not accepted.
func (h *Holder) sendReports(ctx context.Context) {
	var all []rollout.UsageReport
	h.withState(func(s *duty.State) { all = s.Unreported() })
	if !h.config.ReportsUsage || len(all) == 0 || !h.Held() {
		return
	}
	report := all[0]
	age := h.config.WallTime().Sub(usage.EndOf(report.Window, h.config.Window))
	if age >= h.timing.Lost {
		h.config.Logger.Write(event.ReportLost, event.Fields{"Window": report.Window, "Fixed": true, "After": age.Seconds()})
		h.config.Metrics.Counter("usage_windows_lost").Inc(1)
		h.withState(func(s *duty.State) { s.MarkReported(report.Window) })
		return
	}
	outcome, sent := h.call(ctx, "Usage", func(ctx context.Context, t rollout.DutyToken) (rollout.DutyOutcome, error) {
		return h.config.Cloud.ReportUsage(ctx, report, t)
	})
	switch {
	case outcome == rollout.DutyAccepted:
		h.withState(func(s *duty.State) { s.MarkReported(report.Window) })
		h.config.Logger.Write(event.ReportAccepted, event.Fields{"Window": report.Window, "Requests": usage.Total(report.Counts), "After": age.Seconds()})
	case outcome == rollout.DutyRateLimited:
		pause.For(ctx, rateLimitedDelay)
	case sent:
		pause.For(ctx, reportRetryDelay)
	}
}
