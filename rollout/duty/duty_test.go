package duty_test

import (
	"testing"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/duty"
)

const lease = 3 * time.Second

var a, b = duty.Process{VM: "a", Incarnation: "1"}, duty.Process{VM: "b", Incarnation: "1"}

// newState returns the state of VM a, which has read an empty topic.
func newState() *duty.State {
	s := duty.NewState(a, lease)
	s.ReadEnd(0)
	return s
}

// claim appends a claim at the end that s has read.
func claim(s *duty.State, now time.Duration) {
	s.Appended(s.Next(), s.Record(duty.Claim, nil, 0), now)
}

func TestClaimAfterForeignRecord(t *testing.T) {
	s := newState()
	assert.Equal(t, "an empty topic", s.Decide(0), duty.Claim)
	// However old the record is, its writer may have appended it just now.
	s.Apply(0, duty.Record{Holder: b, Fixed: 9}, 5*time.Second)
	assert.Equal(t, "just after the record", s.Decide(5*time.Second+lease), duty.Wait)
	assert.Equal(t, "a lease and the margin later", s.Decide(5*time.Second+lease+duty.ClaimMargin), duty.Claim)
	assert.Equal(t, "the claim keeps the fixed window", s.Record(duty.Claim, nil, 0).Fixed, 9)
}

// A process that was started again must wait like any other VM.
func TestClaimAfterRestart(t *testing.T) {
	s := newState()
	s.Apply(0, duty.Record{Holder: duty.Process{VM: "a", Incarnation: "0"}}, 0)
	_, _, held := s.Held(0)
	assert.True(t, "does not hold", !held)
	assert.Equal(t, "next", s.Decide(lease), duty.Wait)
}

// Records that were trimmed unread may be those of a living holder.
func TestClaimAfterTrim(t *testing.T) {
	s := duty.NewState(a, lease)
	assert.Equal(t, "before the end was read", s.Decide(0), duty.Wait)
	s.SkipTo(7, 0)
	s.ReadEnd(7)
	assert.Equal(t, "right after it", s.Decide(lease), duty.Wait)
	assert.Equal(t, "later", s.Decide(lease+duty.ClaimMargin), duty.Claim)
}

func TestHold(t *testing.T) {
	s := newState()
	claim(s, time.Second)
	token, until, held := s.Held(2 * time.Second)
	assert.Equal(t, "hold", []any{token, until, held}, []any{uint64(1), time.Second + lease, true})
	assert.Equal(t, "soon", s.Decide(time.Second+lease/4), duty.Wait)
	assert.Equal(t, "at a third of the lease", s.Decide(time.Second+lease/3), duty.Renew)
	_, _, held = s.Held(time.Second + lease)
	assert.True(t, "ends a lease after the start of the append", !held)
	s.Appended(1, s.Record(duty.Renew, nil, 0), 5*time.Second)
	token, _, held = s.Held(6 * time.Second)
	assert.Equal(t, "the token outlives a renewal", []any{token, held}, []any{uint64(1), true})
	s.Apply(2, duty.Record{Holder: b}, 6*time.Second)
	_, _, held = s.Held(6 * time.Second)
	assert.True(t, "ends with another VM's claim", !held)
}

// An append without a response may take effect later; until its effect is known, nothing
// is appended. A claim that took effect is completed by a renewal.
func TestLostResponse(t *testing.T) {
	s := newState()
	record := s.Record(duty.Claim, nil, 0)
	s.AppendFailed()
	assert.Equal(t, "before the records are read", s.Decide(0), duty.Wait)
	s.Apply(0, record, 0)
	s.ReadEnd(1)
	_, _, held := s.Held(0)
	assert.True(t, "a claim that was read gives no hold", !held)
	assert.Equal(t, "next", s.Decide(0), duty.Renew)
	s.Appended(1, s.Record(duty.Renew, nil, 0), 0)
	token, _, held := s.Held(0)
	assert.Equal(t, "hold", []any{token, held}, []any{uint64(1), true})
}

// A token that the platform refused must not be used again.
func TestRefusedToken(t *testing.T) {
	s := newState()
	claim(s, 0)
	s.Refused(1)
	_, _, held := s.Held(0)
	assert.True(t, "the hold ends", !held)
	s.Appended(1, s.Record(duty.Renew, nil, 0), time.Millisecond)
	_, _, held = s.Held(time.Millisecond)
	assert.True(t, "a renewal does not restore it", !held)
	assert.Equal(t, "next", s.Decide(lease), duty.Claim)
	claim(s, lease)
	token, _, held := s.Held(lease)
	assert.Equal(t, "hold", []any{token, held}, []any{uint64(3), true})
}

// A new holder must send the reports that the earlier one fixed, with the same counts, and
// none that was accepted.
func TestReportsOfEarlierHolder(t *testing.T) {
	s := newState()
	s.Apply(0, duty.Record{Holder: b, Fixed: 10}, 0)
	s.Apply(1, duty.Record{Holder: b, Token: 1, Fixed: 11, Report: &rollout.UsageReport{Window: 11}, UsageFrom: 3}, 0)
	s.Apply(2, duty.Record{Holder: b, Token: 1, Fixed: 12, Report: &rollout.UsageReport{Window: 12, Counts: map[string]int{"x": 2}}, Reported: 11, UsageFrom: 5}, 0)
	s.SetOrigin(99, 0)
	assert.Equal(t, "unreported", s.Unreported(), []rollout.UsageReport{{Window: 12, Counts: map[string]int{"x": 2}}})
	assert.Equal(t, "fixed, first usage record", []uint64{s.Fixed(), uint64(s.UsageFrom())}, []uint64{12, 5})
	s.MarkReported(12)
	assert.Equal(t, "after the response", len(s.Unreported()), 0)
}

func TestRecord(t *testing.T) {
	want := duty.Record{Schema: 1, Holder: a, Token: 4, Fixed: 8, Reported: 7, UsageFrom: 3, Report: &rollout.UsageReport{Window: 8, Counts: map[string]int{"x": 1}}}
	data, err := duty.Encode(want)
	assert.NoError(t, "encode", err)
	got, err := duty.Decode(data)
	assert.NoError(t, "decode", err)
	assert.Equal(t, "record", got, want)
	want.Report.Window = 9
	data, err = duty.Encode(want)
	assert.NoError(t, "encode", err)
	_, err = duty.Decode(data)
	assert.ErrorContains(t, "a report of another window", err, "window 9")
}
