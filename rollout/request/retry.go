// Package request decides whether a request is retried after a failed attempt,
// and tracks which requests are suspected of crashing the servers that run them.
// It does no I/O and reads no clock; the caller passes the time.
//
// Invariants:
//   - a request that is not idempotent is retried only after a failure whose
//     verdict is NotRun;
//   - no request is retried after its deadline;
//   - the ratio of retries to requests stays within the budget.
package request

import (
	"time"

	"lagoonlink.org/rollout"
)

// Budget is a token bucket that limits the ratio of retries to requests, so that
// retries do not amplify an overload.
type Budget struct {
	tokens float64
}

// Parameters of the retry budget and of the backoff.
const (
	budgetShare   = 0.1
	budgetMax     = 50.0
	budgetInitial = 10.0
	maxAttempts   = 4
	backoffBase   = 10 * time.Millisecond
	backoffMax    = time.Second
)

// NewBudget returns a budget that allows budgetInitial retries before the first
// deposit.
func NewBudget() *Budget { return &Budget{tokens: budgetInitial} }

// Deposit adds the tokens for a new request.
func (b *Budget) Deposit() { b.tokens = min(b.tokens+budgetShare, budgetMax) }

// Withdraw takes the token for a retry. It reports whether the budget allows the
// retry.
func (b *Budget) Withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Request is the retry state of one request. It is a value: [Request.Failed]
// returns the updated copy.
type Request struct {
	// Idempotent reports whether the request may run more than once.
	Idempotent bool
	// Deadline is when the request expires; zero means never.
	Deadline time.Time
	// Relayed reports whether a part of the answer has been sent to the caller.
	// Then only a continuation from the same position may follow.
	Relayed bool
	// Attempts is the number of failed attempts.
	Attempts int
	// Avoid lists the servers of the failed attempts.
	Avoid []rollout.ServerName
	// MayHaveRun reports whether an attempt may have run. Then no later refusal
	// may claim that the request did not run.
	MayHaveRun bool
}

// Final returns the failure to report to the caller. Its verdict covers all
// attempts.
func (r Request) Final(f *rollout.Failure) *rollout.Failure {
	if !r.MayHaveRun || f.Verdict != rollout.NotRun {
		return f
	}
	final := *f
	final.Verdict = rollout.MayHaveRun
	return &final
}

// Decision is the result of [Request.Failed].
type Decision struct {
	// Retry reports whether to retry after Wait. Otherwise Failure is the
	// response to the caller.
	Retry   bool
	Wait    time.Duration
	Failure *rollout.Failure
}

// Failed decides what to do after an attempt on the given server failed. Jitter is
// a random number from 0 to 1 that the caller draws. A retry withdraws from the
// budget.
func (r Request) Failed(now time.Time, server rollout.ServerName, f *rollout.Failure, b *Budget, jitter float64) (Request, Decision) {
	r.Attempts++
	r.MayHaveRun = r.MayHaveRun || f.Verdict != rollout.NotRun
	if server != "" {
		r.Avoid = append(r.Avoid[:len(r.Avoid):len(r.Avoid)], server)
	}
	if !r.mayRetry(f) {
		return r, Decision{Failure: r.Final(f)}
	}
	wait := backoff(r.Attempts, jitter)
	if !r.Deadline.IsZero() && now.Add(wait).After(r.Deadline) {
		return r, Decision{Failure: r.Final(rollout.Fail(f.Verdict, rollout.ReasonDeadline, f))}
	}
	if r.Attempts >= maxAttempts || !b.Withdraw() {
		return r, Decision{Failure: r.Final(f)}
	}
	return r, Decision{Retry: true, Wait: wait}
}

// mayRetry reports whether a retry after the failure is safe and can help.
func (r Request) mayRetry(f *rollout.Failure) bool {
	switch f.Reason {
	case rollout.ReasonCanceled, rollout.ReasonBadRequest, rollout.ReasonDeadline, rollout.ReasonSuspect:
		return false
	}
	return f.Verdict == rollout.NotRun || r.Idempotent
}

// backoff returns the delay before the next attempt: exponential from
// backoffBase up to backoffMax, of which the jitter keeps between half and all.
func backoff(attempts int, jitter float64) time.Duration {
	wait := min(backoffBase<<min(attempts-1, 10), backoffMax)
	return time.Duration(float64(wait) * (0.5 + jitter/2))
}
