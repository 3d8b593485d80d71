// Package scoring decides how the requests that score samples are sent to a plain
// service: in which order, when a second attempt starts beside a slow one, when a
// failed one is repeated and when a sample is given up, and how many samples may
// wait for their scores.
//
// The load that it answers: a step's samples end in bursts, so that up to some
// hundred scoring requests meet the requests of callers at a service that has places
// for some ten.
//
// The package does no I/O and reads no clock; the caller passes the time.
package scoring

import (
	"time"

	"lagoonlink.org/rollout"
)

// Parameters of attempts.
const (
	// initialLimit is how long an attempt may take before a second one starts, until
	// the service's response times are known.
	initialLimit = 1500 * time.Millisecond
	// minLimit and maxLimit bound that time once they are known.
	minLimit = 200 * time.Millisecond
	maxLimit = 4 * time.Second
	// deviations is the number of mean deviations above the mean response time at
	// which an attempt counts as slow.
	deviations = 5
	// meanWeight and deviationWeight are the weights of the newest response time in
	// the moving averages.
	meanWeight      = 0.125
	deviationWeight = 0.25
	// firstDelay is the delay before the first repetition. Each further repetition
	// doubles it, up to maxDelay.
	firstDelay = 40 * time.Millisecond
	maxDelay   = time.Second
	// failureRank is added to the rank of a sample for each failed attempt. It is
	// above the number of samples of a group, so that samples that fail every time
	// come after all others of their step.
	failureRank = 1 << 20
)

// ResponseTimes is a moving average of a service's response times.
type ResponseTimes struct{ mean, deviation time.Duration }

// Observe adds the response time of a successful attempt.
func (r *ResponseTimes) Observe(took time.Duration) {
	if r.mean == 0 {
		r.mean, r.deviation = took, took/2
		return
	}
	difference := (took - r.mean).Abs()
	r.deviation += time.Duration(deviationWeight * float64(difference-r.deviation))
	r.mean += time.Duration(meanWeight * float64(took-r.mean))
}

// Limit returns how long an attempt may take before a second one starts on another
// server. The first one goes on: a slow server may be sound.
func (r *ResponseTimes) Limit() time.Duration {
	if r.mean == 0 {
		return initialLimit
	}
	return min(max(r.mean+deviations*r.deviation, minLimit), maxLimit)
}

// Attempts is the state of the attempts to score one sample.
type Attempts struct {
	// MaxFailures is the number of attempts that may fail at a server before the
	// sample is given up; less than 1 counts as 1.
	MaxFailures int
	failures    int
	repeated    int
}

// Failures returns the number of attempts that failed at a server.
func (a *Attempts) Failures() int { return a.failures }

// Decision states what follows a failed attempt.
type Decision struct {
	// GiveUp reports whether the sample can't be scored.
	GiveUp bool
	// Delay is the time before the next attempt.
	Delay time.Duration
}

// Failed decides what follows an attempt that gave no score. Only a failure that a
// server reported itself counts against the sample. After a timeout, a lost
// connection, a refusal or an invalid response the request may succeed elsewhere.
func (a *Attempts) Failed(f *rollout.Failure) Decision {
	if f.Verdict == rollout.Ran && f.Reason == rollout.ReasonServerFailed {
		a.failures++
		if a.failures >= max(1, a.MaxFailures) {
			return Decision{GiveUp: true}
		}
	}
	delay := maxDelay
	// Shifts by more than a few bits exceed maxDelay anyway.
	if a.repeated < 10 {
		delay = min(firstDelay<<a.repeated, maxDelay)
	}
	a.repeated++
	return Decision{Delay: delay}
}

// Rank returns the rank of a sample among those of its step that wait for scores,
// given the number of samples of its group that have no result yet. Lower ranks go
// first: a trainer gets nothing of a group before all of its samples have results.
func (a *Attempts) Rank(missing int) int { return missing + a.failures*failureRank }
