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
		s.Crashed(start, "b", inFlight(false, 1, 2, 3))
		assert.Equal(t, "standing after one crash", s.Standing(start, 1), request.Suspected)
		s.Succeeded(2)
		s.Crashed(start, "c", append(inFlight(true, 1), inFlight(false, 9)...))
		assert.Equal(t, "standing of the isolated request", s.Standing(start, 1), request.Convicted)
		assert.Equal(t, "standing of a request that succeeded", s.Standing(start, 2), request.Clear)
		assert.Equal(t, "standing of a request in its first crash", s.Standing(start, 9), request.Suspected)
	})
	t.Run("requests that were not isolated are not convicted", func(t *testing.T) {
		s := request.NewSuspects()
		s.Crashed(start, "d", inFlight(false, 5, 5, 5))
		s.Crashed(start, "e", inFlight(false, 5, 5))
		assert.Equal(t, "standing", s.Standing(start, 5), request.Suspected)
	})
	t.Run("a suspicion expires", func(t *testing.T) {
		s := request.NewSuspects()
		s.Crashed(start, "f", inFlight(false, 1))
		assert.Equal(t, "standing after two minutes", s.Standing(start.Add(2*time.Minute), 1), request.Clear)
	})
	t.Run("an expired conviction becomes a suspicion", func(t *testing.T) {
		s := request.NewSuspects()
		s.Crashed(start, "g", inFlight(false, 1))
		s.Crashed(start, "h", inFlight(true, 1))
		assert.Equal(t, "standing after 61 seconds", s.Standing(start.Add(61*time.Second), 1), request.Suspected)
		s.Crashed(start.Add(61*time.Second), "i", inFlight(true, 1))
		assert.Equal(t, "standing 89 seconds after another crash", s.Standing(start.Add(150*time.Second), 1), request.Convicted)
	})
	t.Run("a cut that loses many servers at once suspects nobody", func(t *testing.T) {
		s := request.NewSuspects()
		s.Crashed(start, "a1", inFlight(false, 1, 2))
		s.Crashed(start.Add(2*time.Millisecond), "a2", inFlight(true, 1))
		assert.Equal(t, "standing before other servers are lost", s.Standing(start, 1), request.Convicted)
		s.Crashed(start.Add(9*time.Millisecond), "a3", inFlight(false, 3))
		s.Crashed(start.Add(12*time.Millisecond), "a4", inFlight(false, 4))
		for f := request.Fingerprint(1); f <= 4; f++ {
			assert.Equal(t, "standing after the cut", s.Standing(start.Add(time.Second), f), request.Clear)
		}
		other := request.NewSuspects()
		other.Merge(start, request.SharedSuspicion{Fingerprint: 1, Crashes: 2, Convicted: true})
		for _, shared := range s.Shared(start.Add(time.Second), 8) {
			other.Merge(start.Add(time.Second), shared)
		}
		assert.Equal(t, "standing on another VM after the withdrawal", other.Standing(start.Add(time.Second), 1), request.Clear)
		assert.True(t, "an echo of the conviction is ignored", !other.Merge(start.Add(2*time.Second), request.SharedSuspicion{Fingerprint: 1, Crashes: 2, Convicted: true}))
	})
	t.Run("servers whose processes ended at once don't clear the request that ended them", func(t *testing.T) {
		s := request.NewSuspects()
		s.Ended(start, "a1", inFlight(false, 1, 2))
		for n, server := range []rollout.ServerName{"a2", "a3", "a4"} {
			s.Ended(start.Add(time.Duration(n)*time.Millisecond), server, inFlight(false, request.Fingerprint(10+n)))
		}
		assert.Equal(t, "standing", s.Standing(start, 1), request.Suspected)
		s.Ended(start.Add(time.Second), "a5", inFlight(true, 1))
		assert.Equal(t, "standing after another server", s.Standing(start.Add(time.Second), 1), request.Convicted)
	})
	t.Run("ended processes are no evidence of a cut", func(t *testing.T) {
		s := request.NewSuspects()
		s.Crashed(start, "a1", inFlight(false, 1))
		s.Ended(start, "a2", inFlight(false, 3))
		s.Ended(start, "a3", inFlight(false, 4))
		assert.Equal(t, "standing beside ended processes", s.Standing(start, 1), request.Suspected)
		s.Crashed(start, "a4", inFlight(false, 5))
		s.Crashed(start, "a5", inFlight(false, 6))
		assert.Equal(t, "standing beside servers that are silent", s.Standing(start, 1), request.Clear)
		assert.Equal(t, "standing of a request whose server's process ended", s.Standing(start, 3), request.Suspected)
	})
	t.Run("a withdrawal does not count against a VM's own evidence", func(t *testing.T) {
		s := request.NewSuspects()
		s.Crashed(start, "d1", inFlight(false, 1))
		s.Crashed(start.Add(time.Second), "d2", inFlight(true, 1))
		s.Merge(start.Add(2*time.Second), request.SharedSuspicion{Fingerprint: 1, Withdrawn: true})
		assert.Equal(t, "standing after another VM's withdrawal", s.Standing(start.Add(3*time.Second), 1), request.Convicted)
	})
	t.Run("a request that crashes servers is convicted although others crash too", func(t *testing.T) {
		s := request.NewSuspects()
		s.Crashed(start, "b1", inFlight(false, 1, 2))
		s.Crashed(start.Add(300*time.Millisecond), "b2", inFlight(true, 1))
		s.Crashed(start.Add(400*time.Millisecond), "b3", inFlight(false, 7))
		assert.Equal(t, "standing beside one other loss", s.Standing(start.Add(time.Second), 1), request.Convicted)
	})
	t.Run("several requests that crash servers don't clear one another for ever", func(t *testing.T) {
		s := request.NewSuspects()
		now, crashes := start, 0
		for round := range 4 {
			for f := request.Fingerprint(1); f <= 3; f++ {
				if s.Standing(now, f) == request.Convicted {
					continue
				}
				now = now.Add(500 * time.Millisecond)
				s.Crashed(now, rollout.ServerName(fmt.Sprint("c", round, f)), inFlight(s.Standing(now, f) == request.Suspected, f))
				crashes++
			}
			now = now.Add(3 * time.Second)
		}
		for f := request.Fingerprint(1); f <= 3; f++ {
			assert.Equal(t, "standing", s.Standing(now, f), request.Convicted)
		}
		assert.AtMost(t, "servers that three such requests crash", crashes, 9)
	})
	t.Run("a new conviction is shared beside many older and newer suspicions", func(t *testing.T) {
		s := request.NewSuspects()
		for f := request.Fingerprint(1); f <= 40; f++ {
			s.Ended(start, "o", inFlight(false, f))
			s.Ended(start.Add(time.Second), "p", inFlight(true, f))
		}
		now := start.Add(10 * time.Second)
		s.Ended(now, "q", inFlight(false, 1000))
		s.Ended(now.Add(time.Second), "r", inFlight(true, 1000))
		var crowd []request.Fingerprint
		for f := request.Fingerprint(100); f < 160; f++ {
			crowd = append(crowd, f)
		}
		s.Ended(now.Add(1100*time.Millisecond), "s", inFlight(false, crowd...))
		shared := s.Shared(now.Add(1200*time.Millisecond), 8)
		assert.Equal(t, "suspicions", len(shared), 8)
		assert.Equal(t, "first one", shared[0], request.SharedSuspicion{Fingerprint: 1000, Crashes: 2, Convicted: true})
	})
	t.Run("a conviction is merged on another VM", func(t *testing.T) {
		a, b := request.NewSuspects(), request.NewSuspects()
		a.Crashed(start, "j", inFlight(false, 1))
		a.Crashed(start, "k", inFlight(true, 1))
		for _, r := range a.Shared(start, 8) {
			assert.Equal(t, "first merge changes the suspicion", b.Merge(start, r), true)
			assert.Equal(t, "second merge changes the suspicion", b.Merge(start, r), false)
		}
		assert.Equal(t, "standing on the other VM", b.Standing(start, 1), request.Convicted)
	})
}
