package rollout

import (
	"errors"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
)

// Verdict states whether a request may have run on a backend server.
type Verdict uint8

// Verdicts. The zero value is the conservative one.
const (
	// MayHaveRun means that at least part of the request was sent to a backend
	// server and there is no proof that the server refused it.
	MayHaveRun Verdict = iota
	// NotRun means that the request definitely did not run: either nothing was
	// sent, or the server stated by its protocol that it refused the request.
	NotRun
	// Ran means that a backend server answered the request.
	Ran
)

// String returns the name of the verdict as used in problem documents.
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

// ParseVerdict returns the verdict with the given name. For an unknown name it
// returns MayHaveRun and an error.
func ParseVerdict(name string) (Verdict, error) {
	for _, v := range []Verdict{MayHaveRun, NotRun, Ran} {
		if v.String() == name {
			return v, nil
		}
	}
	return MayHaveRun, fmt.Errorf("verdict: got %q, expected NotRun, MayHaveRun or Ran", name)
}

// Reason is a stable, documented failure code.
type Reason string

// Reasons reported to callers, trainers and operators.
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
	ReasonOriginUnknown    Reason = "OriginUnknown"
	ReasonIdentityUnknown  Reason = "IdentityUnknown"
	ReasonAlreadyRequested Reason = "AlreadyRequested"
	ReasonJobConflict      Reason = "JobConflict"
	// ReasonConfigurationOutdated means that the VM may lack the newest configuration.
	ReasonConfigurationOutdated Reason = "ConfigurationOutdated"
	ReasonInternal              Reason = "Internal"
)

// Failure is the error type that the packages on the request path return. It
// carries the verdict from the code that determined it.
type Failure struct {
	Verdict Verdict
	Reason  Reason
	Detail  string
	// RetryAfter is the recommended delay before a retry; 0 means no
	// recommendation.
	RetryAfter time.Duration
	// Cause is the underlying error, if any.
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

// WithRetryAfter returns a copy with the retry delay set.
func (f Failure) WithRetryAfter(wait time.Duration) *Failure {
	f.RetryAfter = wait
	return &f
}

// Refuse returns a failure of a request that did not run (verdict NotRun).
func Refuse(reason Reason, format string, arguments ...any) *Failure {
	return &Failure{Verdict: NotRun, Reason: reason, Detail: fmt.Sprintf(format, arguments...)}
}

// Fail returns a failure with the given verdict, reason and cause.
func Fail(verdict Verdict, reason Reason, cause error) *Failure {
	return &Failure{Verdict: verdict, Reason: reason, Cause: cause}
}

// VerdictOf returns the verdict of the Failure in err's chain, or MayHaveRun if
// there is none.
func VerdictOf(err error) Verdict {
	var f *Failure
	if errors.As(err, &f) {
		return f.Verdict
	}
	return MayHaveRun
}

// FailureOf returns the Failure in err's chain. If there is none, it wraps err in
// a Failure with verdict MayHaveRun and ReasonInternal.
func FailureOf(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return Fail(MayHaveRun, ReasonInternal, err)
}

// Wrapf prepends a description of the failed operation to err. The verdict and
// the stack trace of err are kept; a nil err stays nil.
func Wrapf(err error, format string, arguments ...any) error {
	if err == nil {
		return nil
	}
	return merry.Prependf(err, format, arguments...)
}
