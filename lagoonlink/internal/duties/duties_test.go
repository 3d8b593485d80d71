package duties

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/standin"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/duty"
	"lagoonlink.org/rollout/usage"
)

const (
	lease  = 3 * time.Second
	window = 5 * time.Second
	late   = 10 * time.Second
)

// clock is a fake clock that all VMs of a test share.
type clock struct {
	now   time.Duration
	start time.Time
}

// faultyJournal is a VM's client of the store whose conditional appends can fail.
type faultyJournal struct {
	rollout.Journal
	// loseResponses makes appends take effect without a response.
	loseResponses bool
	// onAppend is called after an append took effect and before its response.
	onAppend func()
}

func (j *faultyJournal) AppendAt(ctx context.Context, p rollout.Partition, at rollout.Offset, records [][]byte) error {
	err := j.Journal.AppendAt(ctx, p, at, records)
	if j.onAppend != nil {
		j.onAppend()
	}
	if err == nil && j.loseResponses {
		return rollout.Fail(rollout.MayHaveRun, rollout.ReasonLogUnavailable, context.DeadlineExceeded)
	}
	return err
}

// fakeCall is a call that the platform received.
type fakeCall struct {
	holder rollout.VMName
	token  uint64
	at     time.Duration
	body   string
}

// fakeCloud records the calls that it receives, from all VMs.
type fakeCloud struct {
	clock    *clock
	calls    []fakeCall
	outcomes []rollout.DutyOutcome
}

func (f *fakeCloud) receive(t rollout.DutyToken, body string) (rollout.DutyOutcome, error) {
	if !t.Valid() {
		return rollout.DutyNotSent, errors.New("not valid")
	}
	f.calls = append(f.calls, fakeCall{t.Holder, t.Number, f.clock.now, body})
	outcome := rollout.DutyAccepted
	if len(f.outcomes) > 0 {
		outcome, f.outcomes = f.outcomes[0], f.outcomes[1:]
	}
	return outcome, nil
}

func (f *fakeCloud) ReportUsage(_ context.Context, r rollout.UsageReport, t rollout.DutyToken) (rollout.DutyOutcome, error) {
	return f.receive(t, fmt.Sprint(r.Window, r.Counts))
}

func (f *fakeCloud) OrderServers(_ context.Context, o rollout.ServerOrder, t rollout.DutyToken) (rollout.DutyOutcome, error) {
	return f.receive(t, fmt.Sprint(o.Service, o.Zone, o.Count))
}

// bodies returns the bodies of the calls.
func (f *fakeCloud) bodies() (out []string) {
	for _, c := range f.calls {
		out = append(out, c.body)
	}
	return out
}

// site is several VMs with one clock, store and platform.
type site struct {
	t     *testing.T
	clock *clock
	store *standin.Store
	cloud *fakeCloud
}

// vm is one VM's Holder and what a test changes of it.
type vm struct {
	*Holder
	journal   *faultyJournal
	candidate bool
}

// newSite starts at the start of window 1000.
func newSite(t *testing.T) *site {
	c := &clock{start: usage.EndOf(999, window)}
	return &site{t: t, clock: c, store: standin.NewStore(1), cloud: &fakeCloud{clock: c}}
}

func (s *site) newVM(name rollout.VMName) *vm {
	log := logrus.New()
	log.SetOutput(io.Discard)
	v := &vm{journal: &faultyJournal{Journal: s.store.ForVM(name)}, candidate: true}
	v.Holder = New(Config{
		VM: name, Incarnation: "1", Journal: v.journal, Cloud: s.cloud, IsCandidate: func() bool { return v.candidate }, Lease: lease, ChecksFence: true, Rate: 50,
		ReportsUsage: true, Window: window, Late: late,
		Now:      func() time.Duration { return s.clock.now },
		WallTime: func() time.Time { return s.clock.start.Add(s.clock.now) },
		Logger:   event.NewLogger(log), Metrics: tally.NoopScope,
	})
	return v
}

// run lets time pass in steps in which all VMs act.
func (s *site) run(d time.Duration, vms ...*vm) {
	for end := s.clock.now + d; s.clock.now < end; s.clock.now += stepInterval {
		for _, v := range vms {
			v.step(s.t.Context())
			s.send(v)
		}
	}
}

// send sends a report without the pause after a failure.
func (s *site) send(v *vm) {
	ctx, cancel := context.WithCancel(s.t.Context())
	cancel()
	v.sendReports(ctx)
}

// count stores a usage record of a VM.
func (s *site) count(name rollout.VMName, sequence, window uint64, counts map[string]int) {
	s.t.Helper()
	data, err := usage.Encode(usage.Record{VM: name, Incarnation: "1", Sequence: sequence, Window: window, Counts: counts})
	assert.NoError(s.t, "encode", err)
	_, err = s.store.ForVM(name).Append(s.t.Context(), usagePartition, [][]byte{data})
	assert.NoError(s.t, "append", err)
}

// checkCalls checks what must hold whatever fails: tokens never decrease and belong to one
// holder each, and different holders' calls are apart.
func (s *site) checkCalls() {
	s.t.Helper()
	for i, c := range s.cloud.calls[min(1, len(s.cloud.calls)):] {
		before := s.cloud.calls[i]
		if c.token < before.token || c.holder != before.holder && (c.token == before.token || c.at < before.at+duty.ClaimMargin) {
			s.t.Errorf("call %v follows %v", c, before)
		}
	}
}

func TestReports(t *testing.T) {
	s := newSite(t)
	a := s.newVM("a")
	s.count("b", 1, 1000, map[string]int{"x": 2})
	s.count("c", 1, 1000, map[string]int{"x": 1, "y": 3})
	s.count("c", 1, 1000, map[string]int{"x": 1, "y": 3})
	s.run(window+3900*time.Millisecond, a)
	assert.Equal(t, "calls before the counts are complete", len(s.cloud.calls), 0)
	s.run(7*time.Second, a)
	assert.Equal(t, "calls", s.cloud.bodies(), []string{"1000 map[x:3 y:3]", "1001 map[]"})
	s.checkCalls()
}

// A holder that was killed after it fixed a report and before it sent it leaves the counts
// to the next holder, also if more counts arrived since. Counts of the next window that a
// stopping VM stored before are not lost.
func TestKilledBetweenFixAndCall(t *testing.T) {
	s := newSite(t)
	a, b := s.newVM("a"), s.newVM("b")
	s.count("c", 1, 1000, map[string]int{"x": 2})
	s.count("d", 1, 1001, map[string]int{"y": 1})
	for end := s.clock.now + time.Minute; a.state.Fixed() < 1000 && s.clock.now < end; {
		a.step(t.Context())
		s.clock.now += stepInterval
	}
	s.count("c", 2, 1000, map[string]int{"x": 5})
	s.count("c", 3, 1001, map[string]int{"x": 7})
	s.run(8*time.Second, b)
	assert.Equal(t, "calls", s.cloud.bodies(), []string{"1000 map[x:2]", "1001 map[x:7 y:1]"})
}

// A holder that is suspended while its claim or renewal is answered must not act when it
// is resumed.
func TestSuspendedAtRenewal(t *testing.T) {
	s := newSite(t)
	a, b := s.newVM("a"), s.newVM("b")
	s.run(2*time.Second, a)
	a.journal.onAppend = func() {
		a.journal.onAppend = nil
		s.run(10*time.Second, b)
	}
	for end := s.clock.now + time.Minute; a.journal.onAppend != nil && s.clock.now < end; {
		a.step(t.Context())
		s.clock.now += stepInterval
	}
	assert.True(t, "the other VM holds", b.Held())
	assert.True(t, "the resumed VM does not", !a.Held())
	s.run(10*time.Second, a, b)
	assert.True(t, "reports were sent", len(s.cloud.calls) >= 3)
	s.checkCalls()
}

// A call that is prepared before a suspension must not be sent after it.
func TestSuspendedBeforeCall(t *testing.T) {
	s := newSite(t)
	a := s.newVM("a")
	s.run(time.Second, a)
	token, ok := a.reserveCall()
	assert.True(t, "may call", ok && token.Valid())
	s.clock.now += a.callLimit()
	assert.True(t, "not valid after the suspension", !token.Valid())
}

// A call must end before the hold does, so that an abandoned call does not arrive after
// one of the next holder.
func TestNoCallNearEndOfHold(t *testing.T) {
	s := newSite(t)
	a := s.newVM("a")
	s.run(time.Second, a)
	_, until, _ := a.held()
	s.clock.now = until - a.callLimit() + time.Millisecond
	_, ok := a.reserveCall()
	assert.True(t, "no call", a.Held() && !ok)
}

// The holder's appends reach the store, but no response reaches the holder.
func TestCutOffInOneDirection(t *testing.T) {
	s := newSite(t)
	a, b := s.newVM("a"), s.newVM("b")
	s.run(2*time.Second, a, b)
	a.journal.loseResponses = true
	a.journal.Journal = unreadable{a.journal.Journal}
	s.run(20*time.Second, a, b)
	assert.True(t, "the hold ended", !a.Held())
	assert.True(t, "the other VM holds", b.Held())
	seen := map[string]bool{}
	for _, c := range s.cloud.calls {
		assert.True(t, "no window twice: "+c.body, !seen[c.body[:4]])
		seen[c.body[:4]] = true
	}
	assert.Equal(t, "windows", len(seen), 3)
	s.checkCalls()
}

// unreadable is a store whose responses to reads are lost.
type unreadable struct{ rollout.Journal }

func (unreadable) Read(context.Context, rollout.Partition, rollout.Offset, int, time.Duration) (rollout.ReadResult, error) {
	return rollout.ReadResult{}, rollout.Fail(rollout.MayHaveRun, rollout.ReasonLogUnavailable, context.DeadlineExceeded)
}

// While the store is unavailable, nobody acts; afterwards the missing reports follow.
func TestStoreUnavailable(t *testing.T) {
	s := newSite(t)
	a := s.newVM("a")
	s.run(11*time.Second, a)
	s.store.SetDown("a", true)
	s.run(6*time.Second, a)
	assert.True(t, "the hold ended", !a.Held())
	s.store.SetDown("a", false)
	s.run(4*time.Second, a)
	assert.Equal(t, "calls", s.cloud.bodies(), []string{"1000 map[]", "1001 map[]", "1002 map[]"})
	s.checkCalls()
}

// A new holder to which no record is left must not report windows that may have been
// reported.
func TestTrimmedRecords(t *testing.T) {
	s := newSite(t)
	a, b := s.newVM("a"), s.newVM("b")
	s.run(11*time.Second, a)
	s.store.Trim(partition)
	s.store.Trim(usagePartition)
	s.clock.now += 10 * time.Second
	s.run(14*time.Second, b)
	// The VM claimed in window 1005, 25 s after the start, a lease and the margin after it
	// learned of the trim.
	assert.Equal(t, "calls", s.cloud.bodies(), []string{"1000 map[]", "1005 map[]"})
	s.checkCalls()
}

// A candidate whose view of the records is old must not claim.
func TestOldEnd(t *testing.T) {
	s := newSite(t)
	a, b := s.newVM("a"), s.newVM("b")
	assert.NoError(t, "read", b.read(t.Context()))
	s.run(time.Second, a)
	assert.True(t, "the claim fails", b.append(t.Context(), duty.Claim, nil, 0) != nil)
	assert.True(t, "holds", a.Held() && !b.Held())
	s.run(10*time.Second, b)
	assert.True(t, "claims later", b.Held())
}

// No response, a full rate and a refusal: the report is repeated with the same counts, after
// a refusal with a new token.
func TestOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		outcome  rollout.DutyOutcome
		newToken bool
	}{
		"no response":  {rollout.DutyUnknown, false},
		"rate limited": {rollout.DutyRateLimited, false},
		"fenced":       {rollout.DutyFenced, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			a := s.newVM("a")
			s.cloud.outcomes = []rollout.DutyOutcome{c.outcome}
			s.count("c", 1, 1000, map[string]int{"x": 2})
			for end := s.clock.now + time.Minute; len(s.cloud.calls) == 0 && s.clock.now < end; {
				s.run(stepInterval, a)
			}
			s.count("c", 2, 1000, map[string]int{"x": 2})
			s.run(2*time.Second, a)
			assert.Equal(t, "calls", s.cloud.bodies(), []string{"1000 map[x:2]", "1000 map[x:2]"})
			assert.Equal(t, "another token", s.cloud.calls[1].token > s.cloud.calls[0].token, c.newToken)
		})
	}
}

// A platform that never answers must not be called for a window for ever.
func TestReportGivenUp(t *testing.T) {
	s := newSite(t)
	a := s.newVM("a")
	for range 1000 {
		s.cloud.outcomes = append(s.cloud.outcomes, rollout.DutyUnknown)
	}
	s.run(window+2*late+time.Second, a)
	assert.Equal(t, "the first report that is left", a.state.Unreported()[0].Window, 1001)
	s.checkCalls()
}

// The status of an order does not tell a missing server from an old token, so the VM may
// not use the token again where tokens are checked.
func TestUnavailable(t *testing.T) {
	s := newSite(t)
	a := s.newVM("a")
	s.run(time.Second, a)
	s.cloud.outcomes = []rollout.DutyOutcome{rollout.DutyUnavailable}
	order := rollout.ServerOrder{Service: "s", Zone: "z", Count: 2}
	outcome, sent := a.OrderServers(t.Context(), order)
	assert.Equal(t, "outcome", []any{outcome, sent}, []any{rollout.DutyUnavailable, true})
	_, sent = a.OrderServers(t.Context(), order)
	assert.True(t, "no call with the refused token", !sent)
	s.run(2*time.Second, a)
	_, sent = a.OrderServers(t.Context(), order)
	assert.True(t, "a call with a new token", sent && s.cloud.calls[1].token > s.cloud.calls[0].token)
}

// While orders are refused again and again, the VM claims again and again. It must not
// begin to add the usage records from further and further back.
func TestUsageWhileRefused(t *testing.T) {
	s := newSite(t)
	a := s.newVM("a")
	for n := range uint64(6) {
		s.count("c", n, 1000+n, map[string]int{"x": 2})
		for range 5 {
			s.run(time.Second, a)
			s.cloud.outcomes = []rollout.DutyOutcome{rollout.DutyUnavailable}
			a.OrderServers(t.Context(), rollout.ServerOrder{Service: "s", Zone: "z"})
			s.cloud.outcomes = nil
		}
	}
	assert.True(t, "the first usage record to read moves on", a.state.UsageFrom() >= 3)
	reported := 0
	for _, body := range s.cloud.bodies() {
		if window, counts, ok := strings.Cut(body, " "); ok && window < "1005" {
			assert.Equal(t, "counts of "+window, counts, "map[x:2]")
			reported++
		}
	}
	assert.Equal(t, "reports", reported, 5)
	s.checkCalls()
}

// The load must be known with and without reports, only for windows of which all records
// were read, and not for long after the last of them.
func TestLoad(t *testing.T) {
	for name, reports := range map[string]bool{"with reports": true, "without reports": false} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			a := s.newVM("a")
			a.config.ReportsUsage, a.config.ReadsLoad = reports, true
			s.run(window, a)
			for n := range uint64(2) {
				_, known := a.Load()
				assert.True(t, "not known too early", !known || !reports)
				data, err := usage.Encode(usage.Record{VM: "c", Incarnation: "1", Sequence: n, Window: 1000 + n, Busy: map[rollout.ServiceName]float64{"s": 10}})
				assert.NoError(t, "encode", err)
				_, err = s.store.ForVM("c").Append(t.Context(), usagePartition, [][]byte{data})
				assert.NoError(t, "append", err)
				s.run(window, a)
			}
			load, known := a.Load()
			assert.Equal(t, "load", []any{load["s"], known}, []any{2.0, true})
			a.candidate = false
			s.run(maxLoadWindows*window, a)
			_, known = a.Load()
			assert.True(t, "not known later", !known)
		})
	}
}
