package request_test

import (
	"fmt"
	"testing"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/request"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestWhatIsRetried(t *testing.T) {
	for _, c := range []struct {
		idempotent bool
		verdict    rollout.Verdict
		reason     rollout.Reason
		want       bool
	}{
		{true, rollout.NotRun, rollout.ReasonServerRefused, true},
		{true, rollout.MayHaveRun, rollout.ReasonServerFailed, true},
		{false, rollout.NotRun, rollout.ReasonServerRefused, true},
		{false, rollout.MayHaveRun, rollout.ReasonServerFailed, false},
		{false, rollout.Ran, rollout.ReasonTruncated, false},
		{true, rollout.NotRun, rollout.ReasonCanceled, false},
		{true, rollout.NotRun, rollout.ReasonBadRequest, false},
		{true, rollout.MayHaveRun, rollout.ReasonDeadline, false},
	} {
		t.Run(fmt.Sprintf("idempotent %t, %s, %s", c.idempotent, c.verdict, c.reason), func(t *testing.T) {
			r := request.Request{Idempotent: c.idempotent}
			_, d := r.Failed(start, "one", &rollout.Failure{Verdict: c.verdict, Reason: c.reason}, request.NewBudget(), 0.5)
			assert.Equal(t, "retry", d.Retry, c.want)
		})
	}
}

func TestRetryBounds(t *testing.T) {
	refusal := rollout.Refuse(rollout.ReasonServerRefused, "full")
	t.Run("attempts", func(t *testing.T) {
		r, d := request.Request{Idempotent: true}, request.Decision{Retry: true}
		for d.Retry {
			r, d = r.Failed(start, "one", refusal, request.NewBudget(), 0)
		}
		assert.Equal(t, "attempts", r.Attempts, 4)
		assert.Equal(t, "the caller gets the refusal", d.Failure, refusal)
	})
	t.Run("deadline", func(t *testing.T) {
		r := request.Request{Idempotent: true, Deadline: start.Add(time.Millisecond)}
		_, d := r.Failed(start, "one", refusal, request.NewBudget(), 1)
		assert.Equal(t, "reason", d.Failure.Reason, rollout.ReasonDeadline)
		assert.Equal(t, "verdict", d.Failure.Verdict, rollout.NotRun)
	})
	t.Run("a share of the traffic", func(t *testing.T) {
		b, retries := request.NewBudget(), 0
		for range 1000 {
			b.Deposit()
			if b.Withdraw() {
				retries++
			}
		}
		assert.AtMost(t, "retries of 1000 requests", retries, 110)
	})
	t.Run("a value is not shared", func(t *testing.T) {
		r := request.Request{Idempotent: true}
		r, _ = r.Failed(start, "one", refusal, request.NewBudget(), 0)
		a, _ := r.Failed(start, "two", refusal, request.NewBudget(), 0)
		b, _ := r.Failed(start, "three", refusal, request.NewBudget(), 0)
		assert.Equal(t, "avoided by a", a.Avoid, []rollout.ServerName{"one", "two"})
		assert.Equal(t, "avoided by b", b.Avoid, []rollout.ServerName{"one", "three"})
	})
}

func TestSuspects(t *testing.T) {
	t.Run("a crashing request takes two servers at most", func(t *testing.T) {
		s := request.NewSuspects()
		s.Crashed(start, []request.Fingerprint{1, 2, 3})
		assert.Equal(t, "after one crash", s.Standing(start, 1), request.Suspected)
		s.Ended(2)
		s.Ended(3)
		s.Crashed(start, []request.Fingerprint{1})
		assert.Equal(t, "after two crashes", s.Standing(start, 1), request.Convicted)
		assert.Equal(t, "an innocent is clear", s.Standing(start, 2), request.Clear)
	})
	t.Run("newcomers beside a suspect are only suspected", func(t *testing.T) {
		s := request.NewSuspects()
		s.Crashed(start, []request.Fingerprint{1})
		s.Crashed(start, []request.Fingerprint{1, 9})
		assert.Equal(t, "the suspect", s.Standing(start, 1), request.Convicted)
		assert.Equal(t, "the newcomer", s.Standing(start, 9), request.Suspected)
	})
	t.Run("suspicion lapses", func(t *testing.T) {
		s := request.NewSuspects()
		s.Crashed(start, []request.Fingerprint{1})
		assert.Equal(t, "after a while", s.Standing(start.Add(2*time.Minute), 1), request.Clear)
	})
	t.Run("rumors travel and convict elsewhere", func(t *testing.T) {
		a, b := request.NewSuspects(), request.NewSuspects()
		a.Crashed(start, []request.Fingerprint{1})
		a.Crashed(start, []request.Fingerprint{1})
		for _, r := range a.Rumors(start, 8) {
			b.Heard(start, r)
		}
		assert.Equal(t, "standing on the other VM", b.Standing(start, 1), request.Convicted)
	})
	t.Run("a first crash elsewhere counts", func(t *testing.T) {
		a, b := request.NewSuspects(), request.NewSuspects()
		a.Crashed(start, []request.Fingerprint{1, 2})
		for _, r := range a.Rumors(start, 8) {
			b.Heard(start, r)
		}
		b.Crashed(start, []request.Fingerprint{1})
		assert.Equal(t, "after the second crash, on another VM", b.Standing(start, 1), request.Convicted)
	})
}
