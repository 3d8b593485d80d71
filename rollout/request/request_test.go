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

func TestRetryDecision(t *testing.T) {
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

func TestRetryLimits(t *testing.T) {
	refusal := rollout.Refuse(rollout.ReasonServerRefused, "full")
	t.Run("attempts", func(t *testing.T) {
		r, d := request.Request{Idempotent: true}, request.Decision{Retry: true}
		for d.Retry {
			r, d = r.Failed(start, "one", refusal, request.NewBudget(), 0)
		}
		assert.Equal(t, "attempts", r.Attempts, 4)
		assert.Equal(t, "failure for the caller", d.Failure, refusal)
	})
	t.Run("deadline", func(t *testing.T) {
		r := request.Request{Idempotent: true, Deadline: start.Add(time.Millisecond)}
		_, d := r.Failed(start, "one", refusal, request.NewBudget(), 1)
		assert.Equal(t, "reason", d.Failure.Reason, rollout.ReasonDeadline)
		assert.Equal(t, "verdict", d.Failure.Verdict, rollout.NotRun)
	})
	t.Run("budget", func(t *testing.T) {
		b, retries := request.NewBudget(), 0
		for range 1000 {
			b.Deposit()
			if b.Withdraw() {
				retries++
			}
		}
		assert.AtMost(t, "retries of 1000 requests", retries, 110)
	})
	t.Run("a later refusal keeps the verdict that an attempt may have run", func(t *testing.T) {
		r := request.Request{Idempotent: true}
		r, _ = r.Failed(start, "one", rollout.Fail(rollout.MayHaveRun, rollout.ReasonServerFailed, nil), request.NewBudget(), 0)
		assert.Equal(t, "verdict", r.Final(refusal).Verdict, rollout.MayHaveRun)
		_, d := r.Failed(start, "two", rollout.Refuse(rollout.ReasonBadRequest, "no"), request.NewBudget(), 0)
		assert.Equal(t, "verdict of the decision", d.Failure.Verdict, rollout.MayHaveRun)
	})
	t.Run("copies do not share the avoided servers", func(t *testing.T) {
		r := request.Request{Idempotent: true}
		r, _ = r.Failed(start, "one", refusal, request.NewBudget(), 0)
		a, _ := r.Failed(start, "two", refusal, request.NewBudget(), 0)
		b, _ := r.Failed(start, "three", refusal, request.NewBudget(), 0)
		assert.Equal(t, "servers that a avoids", a.Avoid, []rollout.ServerName{"one", "two"})
		assert.Equal(t, "servers that b avoids", b.Avoid, []rollout.ServerName{"one", "three"})
	})
}

func inFlight(isolated bool, fingerprints ...request.Fingerprint) []request.InFlightRequest {
	var out []request.InFlightRequest
	for _, f := range fingerprints {
		out = append(out, request.InFlightRequest{Fingerprint: f, Isolated: isolated})
	}
	return out
}

func TestSuspects(t *testing.T) {
	t.Run("a request is convicted after crashing two servers", func(t *testing.T) {
		s := request.NewSuspects()
		s.Crashed(start, inFlight(false, 1, 2, 3))
		assert.Equal(t, "standing after one crash", s.Standing(start, 1), request.Suspected)
		s.Succeeded(2)
		s.Crashed(start, append(inFlight(true, 1), inFlight(false, 9)...))
		assert.Equal(t, "standing of the isolated request", s.Standing(start, 1), request.Convicted)
		assert.Equal(t, "standing of a request that succeeded", s.Standing(start, 2), request.Clear)
		assert.Equal(t, "standing of a request in its first crash", s.Standing(start, 9), request.Suspected)
	})
	t.Run("requests that were not isolated are not convicted", func(t *testing.T) {
		s := request.NewSuspects()
		s.Crashed(start, inFlight(false, 5, 5, 5))
		s.Crashed(start, inFlight(false, 5, 5))
		assert.Equal(t, "standing", s.Standing(start, 5), request.Suspected)
	})
	t.Run("a suspicion expires", func(t *testing.T) {
		s := request.NewSuspects()
		s.Crashed(start, inFlight(false, 1))
		assert.Equal(t, "standing after two minutes", s.Standing(start.Add(2*time.Minute), 1), request.Clear)
	})
	t.Run("an expired conviction becomes a suspicion", func(t *testing.T) {
		s := request.NewSuspects()
		s.Crashed(start, inFlight(false, 1))
		s.Crashed(start, inFlight(true, 1))
		assert.Equal(t, "standing after 61 seconds", s.Standing(start.Add(61*time.Second), 1), request.Suspected)
		s.Crashed(start.Add(61*time.Second), inFlight(true, 1))
		assert.Equal(t, "standing 89 seconds after another crash", s.Standing(start.Add(150*time.Second), 1), request.Convicted)
	})
	t.Run("a conviction is merged on another VM", func(t *testing.T) {
		a, b := request.NewSuspects(), request.NewSuspects()
		a.Crashed(start, inFlight(false, 1))
		a.Crashed(start, inFlight(true, 1))
		for _, r := range a.Shared(start, 8) {
			assert.Equal(t, "first merge changes the suspicion", b.Merge(start, r), true)
			assert.Equal(t, "second merge changes the suspicion", b.Merge(start, r), false)
		}
		assert.Equal(t, "standing on the other VM", b.Standing(start, 1), request.Convicted)
	})
}
