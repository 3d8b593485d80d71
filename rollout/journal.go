package rollout

import (
	"context"
	"fmt"
	"time"
)

// Partition identifies one ordered sequence of records of a topic.
type Partition struct {
	Topic  string
	Number int
}

// String returns the partition as topic/number, the form used in logs.
func (p Partition) String() string { return fmt.Sprintf("%s/%d", p.Topic, p.Number) }

// Journal is a partitioned log that holds the state that must survive the
// failure of an entry VM. Acknowledged records are never lost before their
// retention ends.
type Journal interface {
	// Append atomically adds the records and returns the offset of the first. If
	// the error's verdict is MayHaveRun, the records may have been added, or may
	// still be added later.
	Append(ctx context.Context, p Partition, records [][]byte) (Offset, error)
	// AppendAt is like Append, but only succeeds if at is the partition's end
	// offset. Otherwise it adds nothing and returns an OffsetMismatchError.
	AppendAt(ctx context.Context, p Partition, at Offset, records [][]byte) error
	// Read returns records starting at offset from, about maxBytes in total and
	// at least one if there is any. If there is no record yet, it waits up to
	// wait for one. If the record at from is no longer retained, it returns a
	// TrimmedError.
	Read(ctx context.Context, p Partition, from Offset, maxBytes int, wait time.Duration) (ReadResult, error)
}

// TrimmedError reports that the requested records are no longer retained.
type TrimmedError struct {
	// First is the oldest retained offset.
	First Offset
}

// Error returns a message with the oldest retained offset.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("records are no longer retained; the oldest offset is %d", e.First)
}

// OffsetMismatchError reports that a conditional append failed because the
// partition's end offset is not the expected one.
type OffsetMismatchError struct {
	// End is the partition's end offset: that of the next record to be appended.
	End Offset
}

// Error returns a message with the partition's end offset.
func (e *OffsetMismatchError) Error() string {
	return fmt.Sprintf("append offset does not match: the partition ends at %d", e.End)
}

// Change is a change of one key of a feed.
type Change[T any] struct {
	Key   string
	Value T
	// Deleted reports whether the key was deleted.
	Deleted bool
	// Sequence is that of a deleted key's newest entry, as in RegisteredServer, or 0 if it
	// isn't known.
	Sequence uint64
	// Err is the error of decoding the entry; if it is set, Value is not.
	Err error
	// Unchanged reports that the entry says the same as the key's former one, such as a
	// heartbeat; if it is set, Value is not.
	Unchanged bool
}

// Changes are changes of a feed in order.
type Changes[T any] struct {
	Changes []Change[T]
	// Next is the offset from which to continue.
	Next Offset
	// AtEnd reports whether there was no further change at the time of the read.
	AtEnd bool
}

// Feed is a compacted topic: it retains the newest value of each key.
type Feed[T any] interface {
	// Snapshot returns the newest value of each key, and the offset from which
	// to continue with Since.
	Snapshot(ctx context.Context) ([]Change[T], Offset, error)
	// Since returns the changes starting at offset from. If there is no change yet, it
	// waits up to wait for one. It may leave out changes that later ones of the same read
	// replace. It returns a TrimmedError if changes at from are no longer retained; the
	// consumer then needs a new snapshot.
	Since(ctx context.Context, from Offset, wait time.Duration) (Changes[T], error)
}

// Declared is a publication by an operator or a trainer: either a route table
// or a weight version. Exactly one of the fields is set.
type Declared struct {
	Table *RouteTable
	Named *NamedVersion
}

// Membership is a VM's membership in a group whose members share the partitions
// of some topics.
type Membership struct {
	Group  string
	Member VMName
	Topics []string
	// Lease is how long the membership stays valid after the last join.
	Lease time.Duration
	// Generation is the latest group generation known to the VM, or 0.
	Generation uint64
}

// Assignment is the set of partitions that a group assigns to one member.
type Assignment struct {
	// Generation increases with every change of the group's membership.
	Generation uint64
	Partitions []Partition
}

// PartitionOwner is a partition and the member that owns it. Member is empty if
// the partition has no owner.
type PartitionOwner struct {
	Partition Partition
	Member    VMName
}

// Groups assigns partitions to the live members of groups.
type Groups interface {
	// Join joins a group or renews the membership.
	Join(ctx context.Context, m Membership) (Assignment, error)
	// Owners returns the owner of each partition. The VM need not be a member.
	Owners(ctx context.Context, group string) ([]PartitionOwner, error)
	// Leave ends the membership immediately.
	Leave(ctx context.Context, m Membership) error
}

// HeaderField is one header field of a forwarded request or response.
type HeaderField struct {
	Name  string
	Value string
}

// ForwardedRequest is a caller's request as it is sent to a backend server.
type ForwardedRequest struct {
	// ID is the caller's own ID of this attempt; the server echoes it.
	ID     string
	Method string
	Host   string
	// Target is the path and query, exactly as received.
	Target string
	Header []HeaderField
	Body   []byte
	// Streamed requests that the response's body be streamed.
	Streamed bool
	// Resumed reports whether the request continues a stream that an earlier request of
	// the caller began.
	Resumed bool
	// Resumes is the ID of the request that brought the first event of that stream; it
	// is empty if the caller doesn't state it.
	Resumes string
	// Tenant is the name of the tenant that sent the request; it is empty if nobody's key
	// was checked.
	Tenant string
	// FromPeer reports whether another VM sent the request, because it reaches no server. It
	// is never sent on to a third VM.
	FromPeer bool
	// MaxAttempts limits the servers that the request may run on, as the route does; 0 means
	// that only the route does.
	MaxAttempts int
	// Counted reports whether the request was counted as begun before.
	Counted bool
}

// ForwardedResponse is a backend server's response.
type ForwardedResponse struct {
	Status int
	Header []HeaderField
	Body   []byte
	// Stream reads the body of a streamed response and must be closed. It is nil
	// if the response is not streamed.
	Stream ResponseStream
}

// ResponseStream reads a streamed body. Read returns io.EOF only if the server
// completed the body; a truncated body yields another error.
type ResponseStream interface {
	Read(p []byte) (int, error)
	Close() error
}

// Forwarder forwards callers' requests to backend servers unmodified. Its errors
// are Failures. The context's deadline is propagated to the server.
type Forwarder interface {
	Forward(ctx context.Context, s Server, r ForwardedRequest) (ForwardedResponse, error)
}

// PeerForwarder serves requests through other VMs while this VM reaches no backend server.
type PeerForwarder interface {
	// Isolated reports whether this VM reaches no server. It waits while that is decided.
	Isolated(ctx context.Context) bool
	// Peers returns the VMs that may serve a request with the given ID, in the order in which
	// they are asked.
	Peers(ctx context.Context, id string) []PeerVM
	// Forward sends a request to a VM, which runs it or refuses it. Its errors are Failures.
	// The version is that of the configuration under which the request was admitted: a VM
	// with an older one refuses it.
	Forward(ctx context.Context, to PeerVM, r ForwardedRequest, version ConfigurationVersion) (ForwardedResponse, error)
}

// PeerVM is another entry VM.
type PeerVM struct {
	Name VMName
	// Address takes requests of other VMs.
	Address string
}

// ObservedLimit is what a server's response says about the server's request rate limit.
type ObservedLimit struct {
	// Rate is the number of requests a second that the server takes from all VMs
	// together; 0 means that it states no limit.
	Rate float64
	// SentAt is when the request was sent.
	SentAt time.Time
}

// LimitReceiver receives the request rate limits that servers state in responses. Its
// method must not block.
type LimitReceiver interface {
	ObserveLimit(s ServerName, o ObservedLimit)
}

// LimitSource reports the request rate limits in the responses that it receives.
type LimitSource interface {
	// NotifyLimits sets the receiver. It must be called before requests are sent.
	NotifyLimits(r LimitReceiver)
}

// ObservedLeaving is a response in which a server states that it is leaving.
type ObservedLeaving struct {
	Server      ServerName
	Incarnation int64
	// Request is the ID of the request that the response belongs to; it is empty for a
	// control call. Source names the kind of call.
	Request string
	Source  string
}

// LeavingReceiver receives the servers that state in responses that they are leaving. Its
// method is called before the response is passed on, and must not wait for I/O.
type LeavingReceiver interface {
	ObserveLeaving(o ObservedLeaving)
}

// LeavingSource reports the servers that state in responses that they are leaving.
type LeavingSource interface {
	// NotifyLeaving sets the receiver. It must be called before requests are sent.
	NotifyLeaving(r LeavingReceiver)
}

// PermitReceiver receives the request rate limits of servers and the permits to send
// requests to them.
type PermitReceiver interface {
	// SetRateLimit sets a server's limit in requests a second; 0 means none.
	SetRateLimit(s ServerName, rate float64)
	// AddPermits answers a booking. A request may be sent from the time of each permit;
	// another booking makes sense from bookAfter on.
	AddPermits(s ServerName, permits []time.Time, bookAfter time.Time)
}

// StreamOrigins knows which software version began a stream.
type StreamOrigins interface {
	// Began records that a server sent the first event of the stream of a request.
	Began(request string, s Server)
	// Find returns the software version that began the stream of a request. It fails
	// with the verdict NotRun if that can't be determined.
	Find(ctx context.Context, request string) (SoftwareVersion, error)
}

// StreamOrigin is the server that began a stream, as the VM knew it that passed the first
// event on.
type StreamOrigin struct {
	Server      ServerName
	Incarnation int64
	Software    SoftwareVersion
	// BeganAt is when the stream began, by the VM's wall clock.
	BeganAt time.Time
}

// ServerHistory knows the recent incarnations of servers.
type ServerHistory interface {
	// SoftwareAt returns the software version of the server that began a stream, or false
	// if it isn't known.
	SoftwareAt(o StreamOrigin) (SoftwareVersion, bool)
}

// EngineState is the state that a model engine reports on request.
type EngineState struct {
	// Busy reports whether the engine is executing an order.
	Busy bool
	// Accepted is the number of orders accepted since the engine started.
	Accepted uint64
	// Versions holds the loaded weight version of each model.
	Versions map[ModelName]WeightVersion
	// Incarnation is when the engine started, as in RegisteredServer.
	Incarnation int64
}

// SwapMode selects how an engine treats running requests when it swaps weights.
type SwapMode uint8

// Modes of a weight swap.
const (
	// SwapContinue continues running requests with the new version.
	SwapContinue SwapMode = iota
	// SwapAwait delays the swap until running requests have ended.
	SwapAwait
)

// EngineOrder instructs an engine to load a weight version of a model.
type EngineOrder struct {
	Model   ModelName
	Version WeightVersion
	Mode    SwapMode
	// Holder is the VM that holds the right to send orders to the engine.
	Holder VMName
	// Fence is the holder's fencing token.
	Fence uint64
	// Accepted is the precondition of the order: the number of orders that the
	// engine has accepted so far.
	Accepted uint64
}

// OrderOutcome is an engine's response to an order.
type OrderOutcome uint8

// Outcomes of an order. OrderUnknown means that no conclusive response arrived;
// the engine may still execute the order.
const (
	OrderUnknown OrderOutcome = iota
	OrderStarted
	OrderAlreadyDone
	OrderConflict
	OrderFenced
	OrderRejected
)

// EngineControl sends orders to engines.
type EngineControl interface {
	State(ctx context.Context, s Server) (EngineState, error)
	SendOrder(ctx context.Context, s Server, o EngineOrder) (OrderOutcome, error)
}

// SampleRequest asks an engine for one sample of a job.
type SampleRequest struct {
	ID   string
	Host string
	// Path, Header and Body are sent as submitted with the job.
	Path   string
	Header []HeaderField
	Body   []byte
	// Pieces is the number of pieces already received; the engine resumes after
	// them.
	Pieces int
	// Tenant is the name of the tenant that the job belongs to, or empty.
	Tenant string
}

// ScoreRequest asks a plain service for the score of a sample's text.
type ScoreRequest struct {
	ID   string
	Host string
	Path string
	Body []byte
	// Tenant is the name of the tenant that the job belongs to, or empty.
	Tenant string
}

// SampleScorer sends scoring requests to the servers of plain services. A failure that
// the server reported itself has the verdict Ran and the reason ServerFailed.
type SampleScorer interface {
	Score(ctx context.Context, s Server, r ScoreRequest) (score string, err error)
}

// SampleEngine generates samples. The reader's pieces have no Finish; io.EOF
// means that the engine completed the sample.
type SampleEngine interface {
	Sample(ctx context.Context, s Server, r SampleRequest) (PieceReader, error)
}
