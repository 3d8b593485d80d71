package duty

import (
	"slices"
	"time"

	"lagoonlink.org/rollout"
)

// ClaimMargin is added to the lease to give the time without a record of another holder
// after which a VM may claim. Calls of the earlier holder that were abandoned at the end
// of its hold arrive within it.
const ClaimMargin = time.Second

// renewalsPerLease is how often a hold is renewed within a lease, so that it survives one
// failed renewal.
const renewalsPerLease = 3

// Action is what a candidate should append next.
type Action uint8

// Actions of a candidate.
const (
	Wait Action = iota
	Claim
	Renew
)

// State is what one VM knows of the records. All times are those of a clock that also
// runs while the VM is suspended.
type State struct {
	self  Process
	lease time.Duration

	next     rollout.Offset
	caughtUp bool
	// known reports whether Fixed, Reported and UsageFrom are those of a record.
	known bool
	// skipped reports whether records were trimmed before they were read.
	skipped bool
	// token and owner are those of the newest record.
	token uint64
	owner Process
	// foreignAt is when the newest record of another holder was read.
	foreign   bool
	foreignAt time.Duration
	// heldUntil and renewedAt belong to this VM's last acknowledged record.
	heldUntil, renewedAt time.Duration
	// spent is set if the platform refused the token; no further call is made with it.
	spent bool

	fixed, reported uint64
	usageFrom       rollout.Offset
	reports         []rollout.UsageReport
}

// NewState returns the state of a VM that has read no record yet.
func NewState(self Process, lease time.Duration) *State { return &State{self: self, lease: lease} }

// Next returns the offset of the next record to read.
func (s *State) Next() rollout.Offset { return s.next }

// CaughtUp reports whether the records were read to their end and no append has failed
// since.
func (s *State) CaughtUp() bool { return s.caughtUp }

// Known reports whether any record was read or written.
func (s *State) Known() bool { return s.known }

// Skipped reports whether records were trimmed before they were read.
func (s *State) Skipped() bool { return s.skipped }

// Fixed returns the highest window whose report is fixed.
func (s *State) Fixed() uint64 { return s.fixed }

// Reported returns the highest window up to which all reports were accepted or given up.
func (s *State) Reported() uint64 { return s.reported }

// UsageFrom returns the offset from which usage records must be read.
func (s *State) UsageFrom() rollout.Offset { return s.usageFrom }

// SetOrigin sets the first window to be reported and the first usage record to be read. It
// has no effect if a record states them; one that was written while no usage was reported
// does not.
func (s *State) SetOrigin(window uint64, usageFrom rollout.Offset) {
	if (!s.known || s.fixed == 0) && window > 0 {
		s.fixed, s.reported, s.usageFrom = window-1, window-1, usageFrom
	}
}

// Abandon gives up the windows up to the given one, for which no report is fixed.
func (s *State) Abandon(window uint64) { s.fixed = max(s.fixed, window) }

// SkipTo records that the records before an offset were trimmed. One of them may have been
// written by another holder.
func (s *State) SkipTo(first rollout.Offset, now time.Duration) {
	if first <= s.next {
		return
	}
	s.next, s.skipped = first, true
	s.foreign, s.foreignAt, s.heldUntil = true, now, 0
}

// SkipInvalid records that a record can't be decoded. Another holder may have written it.
func (s *State) SkipInvalid(at rollout.Offset, now time.Duration) {
	s.next = max(s.next, at+1)
	s.foreign, s.foreignAt, s.heldUntil = true, now, 0
}

// Apply applies a record that was read.
func (s *State) Apply(at rollout.Offset, r Record, now time.Duration) {
	if at < s.next {
		return
	}
	s.next = at + 1
	s.apply(at, r)
	if r.Holder != s.self {
		s.foreign, s.foreignAt, s.heldUntil = true, now, 0
	}
}

func (s *State) apply(at rollout.Offset, r Record) {
	token := r.Token
	if token == 0 {
		token = uint64(at) + 1
	}
	if token != s.token {
		s.spent = false
	}
	if !s.known {
		// What a record states replaces this VM's own origin.
		s.fixed, s.reported, s.usageFrom, s.known = r.Fixed, r.Reported, r.UsageFrom, true
	}
	s.token, s.owner = token, r.Holder
	s.fixed, s.reported = max(s.fixed, r.Fixed), max(s.reported, r.Reported)
	s.usageFrom = max(s.usageFrom, r.UsageFrom)
	if r.Report != nil {
		s.reports = append(s.reports, *r.Report)
	}
	s.dropReported()
}

func (s *State) dropReported() {
	s.reports = slices.DeleteFunc(s.reports, func(r rollout.UsageReport) bool { return r.Window <= s.reported })
}

// ReadEnd records that all records before the partition's end were read.
func (s *State) ReadEnd(end rollout.Offset) { s.caughtUp = s.next >= end }

// Appended records that this VM's record was appended at an offset. The time is that
// before the call.
func (s *State) Appended(at rollout.Offset, r Record, started time.Duration) {
	s.next = at + 1
	s.apply(at, r)
	s.renewedAt, s.heldUntil = started, started+s.lease
}

// AppendFailed records that an append failed. It may have taken effect or may do so
// later, so the records must be read to their end again.
func (s *State) AppendFailed() { s.caughtUp = false }

// Resign ends the hold of a VM that is no longer a candidate.
func (s *State) Resign() { s.heldUntil, s.caughtUp = 0, false }

// Refused records that the platform refused a token. The VM needs a new claim, which only
// succeeds if there is no record of another holder that it has not read.
func (s *State) Refused(token uint64) {
	if token == s.token && s.owner == s.self {
		s.spent = true
	}
}

// Decide returns what a candidate should append now.
func (s *State) Decide(now time.Duration) Action {
	switch {
	case !s.caughtUp:
		return Wait
	case s.known && s.owner == s.self && !s.spent:
		if s.heldUntil > 0 && now < s.renewedAt+s.lease/renewalsPerLease {
			return Wait
		}
		return Renew
	case s.known && s.owner == s.self:
		// A token that was refused is replaced at the rate of renewals.
		if now < s.renewedAt+s.lease/renewalsPerLease {
			return Wait
		}
		return Claim
	case s.foreign && now < s.foreignAt+s.lease+ClaimMargin:
		return Wait
	}
	return Claim
}

// Record returns the record for an action, or that which fixes a report if there is one.
func (s *State) Record(a Action, report *rollout.UsageReport, usageFrom rollout.Offset) Record {
	r := Record{Holder: s.self, Token: s.token, Fixed: s.fixed, Reported: s.reported, UsageFrom: max(s.usageFrom, usageFrom), Report: report}
	if a == Claim {
		r.Token = 0
	}
	if report != nil {
		r.Fixed = report.Window
	}
	return r
}

// Held returns the fencing token and the time until which this VM may act, or false if it
// may not.
func (s *State) Held(now time.Duration) (token uint64, until time.Duration, held bool) {
	return s.token, s.heldUntil, s.owner == s.self && !s.spent && now < s.heldUntil
}

// MarkReported records that the report of a window was accepted or given up. Reports are
// sent in the order of their windows.
func (s *State) MarkReported(window uint64) {
	s.reported = max(s.reported, window)
	s.dropReported()
}

// Unreported returns the fixed reports that are to be sent, the earliest first.
func (s *State) Unreported() []rollout.UsageReport { return slices.Clone(s.reports) }
