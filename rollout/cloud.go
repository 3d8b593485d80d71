package rollout

import (
	"context"
	"time"
)

// DutyToken permits calls that only one VM may make at a time.
type DutyToken struct {
	// Holder is the VM that makes the calls.
	Holder VMName
	// Number is the fencing token. It is higher than that of every earlier holder.
	Number uint64
	// Valid reports whether a call with the token may still be sent. It is called
	// immediately before the call's first byte is sent.
	Valid func() bool
}

// UsageReport states how many requests of each tenant servers began to run in a window.
type UsageReport struct {
	// Window is the number of whole windows between the start of 1970 and this one.
	Window uint64
	Counts map[string]int
}

// ServerOrder states how many servers of one kind a service should have in a zone.
type ServerOrder struct {
	Service ServiceName
	Zone    Zone
	Count   int
	// Reclaimable selects the servers that the platform may take back at short notice.
	Reclaimable bool
}

// DutyOutcome is the platform's response to a singleton call.
type DutyOutcome uint8

// Outcomes of a singleton call. DutyUnknown means that no conclusive response arrived;
// the call may still be executed.
const (
	DutyUnknown DutyOutcome = iota
	DutyAccepted
	// DutyFenced means that a call with a higher token was received before.
	DutyFenced
	// DutyUnavailable means that no server is available at the moment, or that a call with
	// a higher token was received before.
	DutyUnavailable
	DutyRateLimited
	// DutyNotSent means that nothing of the call was sent.
	DutyNotSent
)

// String returns the name of the outcome as used in logs and metrics.
func (o DutyOutcome) String() string {
	switch o {
	case DutyAccepted:
		return "Accepted"
	case DutyFenced:
		return "Fenced"
	case DutyUnavailable:
		return "Unavailable"
	case DutyRateLimited:
		return "RateLimited"
	case DutyNotSent:
		return "NotSent"
	}
	return "Unknown"
}

// Cloud takes reports of usage and orders of servers. Each call must be made by only one
// VM at a time.
type Cloud interface {
	ReportUsage(ctx context.Context, r UsageReport, t DutyToken) (DutyOutcome, error)
	OrderServers(ctx context.Context, o ServerOrder, t DutyToken) (DutyOutcome, error)
}

// UsageReceiver counts the requests that servers began to run. Its method must not block.
type UsageReceiver interface {
	// RequestBegan counts a request of a tenant. The time is when the attempt was sent or,
	// for a stream, when its first bytes arrived, by the wall clock.
	RequestBegan(tenant, request string, at time.Time)
}
