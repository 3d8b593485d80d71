package rollout

import (
	"errors"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
)

// Verdict says whether a request may have run on a backend server.
type Verdict uint8

// The verdicts. The zero value is the cautious one.
const (
	// MayHaveRun means that some of the request left for a backend server and
	// nothing proves that it was refused.
	MayHaveRun Verdict = iota
	// NotRun means that the request certainly did not run: nothing of it left,
	// or the server's own protocol says that it refused it.
	NotRun
	// Ran means that a backend server answered.
	Ran
)

// String returns the verdict's name as used in problem documents.
func (v Verdict) String() string {
	switch v {
	case MayHaveRun:
		return "MayHaveRun"
	case NotRun:
		return "NotRun"
	case Ran:
		return "Ran"
	}
	return fmt.Sprintf("Verdict(%d)", uint8(v))
}

// ParseVerdict returns the verdict with the given name. Unknown names give
// MayHaveRun and an error.
func ParseVerdict(name string) (Verdict, error) {
	for _, v := range []Verdict{MayHaveRun, NotRun, Ran} {
		if v.String() == name {
			return v, nil
		}
	}
	return MayHaveRun, fmt.Errorf("verdict: got %q, expected NotRun, MayHaveRun or Ran", name)
}

// Reason is a stable, documented cause of a refusal.
type Reason string

// The reasons that callers, trainers and operators meet.
const (
	ReasonBadRequest       Reason = "BadRequest"
	ReasonTooLarge         Reason = "TooLarge"
	ReasonUnauthorized     Reason = "Unauthorized"
	ReasonUnknownTarget    Reason = "UnknownTarget"
	ReasonNoConfiguration  Reason = "NoConfiguration"
	ReasonOverloaded       Reason = "Overloaded"
	ReasonDeadline         Reason = "DeadlineExceeded"
	ReasonDraining         Reason = "Draining"
	ReasonNoServer         Reason = "NoServer"
	ReasonServerRefused    Reason = "ServerRefused"
	ReasonServerFailed     Reason = "ServerFailed"
	ReasonTruncated        Reason = "AnswerTruncated"
	ReasonCanceled         Reason = "Canceled"
	ReasonStepUnknown      Reason = "StepUnknown"
	ReasonPullSuperseded   Reason = "PullSuperseded"
	ReasonPeerUnreachable  Reason = "PeerUnreachable"
	ReasonLogUnavailable   Reason = "LogUnavailable"
	ReasonLogLimited       Reason = "LogRateLimited"
	ReasonSuspect          Reason = "SuspectedOfCrashingServers"
	ReasonIdentityUnknown  Reason = "IdentityUnknown"
	ReasonAlreadyRequested Reason = "AlreadyRequested"
	ReasonInternal         Reason = "Internal"
)

// Failure is the error that crosses package borders on a request's way. It
// carries the verdict from the place that knows it.
type Failure struct {
	Verdict Verdict
	Reason  Reason
	Detail  string
	// RetryAfter is how long the caller should wait; 0 gives no advice.
	RetryAfter time.Duration
	// Cause is the error below, if any.
	Cause error
}

// Error returns the reason, the detail and the cause.
func (f *Failure) Error() string {
	text := string(f.Reason) + " (" + f.Verdict.String() + ")"
	if f.Detail != "" {
		text += ": " + f.Detail
	}
	if f.Cause != nil {
		text += ": " + f.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// WithDetail returns a copy with the detail set.
func (f Failure) WithDetail(format string, arguments ...any) *Failure {
	f.Detail = fmt.Sprintf(format, arguments...)
	return &f
}

// WithRetryAfter returns a copy with the advice set.
func (f Failure) WithRetryAfter(wait time.Duration) *Failure {
	f.RetryAfter = wait
	return &f
}

// Refuse returns a failure that certainly did not run.
func Refuse(reason Reason, format string, arguments ...any) *Failure {
	return &Failure{Verdict: NotRun, Reason: reason, Detail: fmt.Sprintf(format, arguments...)}
}

// Fail returns a failure with an explicit verdict and cause.
func Fail(verdict Verdict, reason Reason, cause error) *Failure {
	return &Failure{Verdict: verdict, Reason: reason, Cause: cause}
}

// VerdictOf returns the verdict that err carries. An error without one may
// have run.
func VerdictOf(err error) Verdict {
	var f *Failure
	if errors.As(err, &f) {
		return f.Verdict
	}
	return MayHaveRun
}

// FailureOf returns the Failure that err carries, or an internal failure that
// may have run.
func FailureOf(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return Fail(MayHaveRun, ReasonInternal, err)
}

// Tried wraps err with what was tried, and keeps its verdict and stack.
func Tried(err error, format string, arguments ...any) error {
	if err == nil {
		return nil
	}
	return merry.Prependf(err, format, arguments...)
}
