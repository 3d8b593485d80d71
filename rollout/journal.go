package rollout

import (
	"context"
	"fmt"
	"time"
)

// Partition is one ordered sequence of records of a topic.
type Partition struct {
	Topic  string
	Number int
}

// String returns the partition as used in logs.
func (p Partition) String() string { return fmt.Sprintf("%s/%d", p.Topic, p.Number) }

// Journal is a partitioned log, on which the entry VMs keep what must outlive
// them. Acknowledged records are never lost before their retention ends.
type Journal interface {
	// Append adds all records or none and returns the offset of the first. An
	// error whose verdict is MayHaveRun may have added them, or may still do so.
	Append(ctx context.Context, p Partition, records [][]byte) (Offset, error)
	// AppendAt is Append on the condition that the partition ends at an offset.
	// When it does not, nothing is added and the error is a MovedError.
	AppendAt(ctx context.Context, p Partition, at Offset, records [][]byte) error
	// Read returns the records from an offset on, about maxBytes of them and at
	// least one when there is one. It waits up to wait for a first record. When
	// the records are no longer kept it returns a TrimmedError.
	Read(ctx context.Context, p Partition, from Offset, maxBytes int, wait time.Duration) (ReadResult, error)
}

// TrimmedError tells that the records asked for are no longer kept.
type TrimmedError struct {
	// First is the oldest offset that is still kept.
	First Offset
}

// Error names the oldest offset kept.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("the records are no longer kept; the first is %d", e.First)
}

// MovedError tells that a partition does not end where an append expected it.
type MovedError struct {
	// End is the offset that the next record will get.
	End Offset
}

// Error names the partition's end.
func (e *MovedError) Error() string { return fmt.Sprintf("the partition ends at %d", e.End) }

// Change is a new value of a key in a feed.
type Change[T any] struct {
	Key   string
	Value T
	// Dropped tells that the key has no value any more.
	Dropped bool
	// Err tells why the entry can't be read; Value is not set then.
	Err error
}

// Feed is a topic that keeps the newest value of each key.
type Feed[T any] interface {
	// Snapshot returns the newest value of each key and the offset to go on from.
	Snapshot(ctx context.Context) ([]Change[T], Offset, error)
	// Since returns the changes from an offset on and the offset to go on from.
	// It waits up to wait for a first change, and returns a TrimmedError when
	// changes were dropped, so that a new snapshot is needed.
	Since(ctx context.Context, from Offset, wait time.Duration) ([]Change[T], Offset, error)
}

// Declared is what operators and trainers publish: a table of routes or a
// weight version. Exactly one of the two is set.
type Declared struct {
	Table *RouteTable
	Named *NamedVersion
}

// Membership is a VM's membership in a group that divides partitions.
type Membership struct {
	Group  string
	Member VMName
	Topics []string
	// Lease is how long the membership lasts after a join arrived.
	Lease time.Duration
	// Generation is the newest one that the VM has seen; 0 for none.
	Generation uint64
}

// Assignment is what a group gives one member.
type Assignment struct {
	// Generation increases with each change of the group.
	Generation uint64
	Partitions []Partition
}

// PartitionOwner tells which member has a partition; the name is empty for none.
type PartitionOwner struct {
	Partition Partition
	Member    VMName
}

// Groups divides partitions among the living members of a group.
type Groups interface {
	// Join enters a group or extends the membership.
	Join(ctx context.Context, m Membership) (Assignment, error)
	// Owners returns who has each partition, also to a VM that is no member.
	Owners(ctx context.Context, group string) ([]PartitionOwner, error)
	// Leave gives up the membership at once.
	Leave(ctx context.Context, m Membership) error
}

// HeaderField is one header line of a forwarded request or answer.
type HeaderField struct {
	Name  string
	Value string
}

// ForwardedRequest is a caller's request as it goes to a backend server.
type ForwardedRequest struct {
	// ID is the caller's own id of this attempt; the server echoes it.
	ID     string
	Method string
	Host   string
	// Target is the path with the query, byte for byte.
	Target string
	Header []HeaderField
	Body   []byte
	// Streamed asks for the answer's body as it arrives.
	Streamed bool
}

// ForwardedAnswer is a backend server's answer.
type ForwardedAnswer struct {
	Status int
	Header []HeaderField
	Body   []byte
	// Stream reads the body of a streamed answer; nil otherwise. It must be closed.
	Stream AnswerStream
}

// AnswerStream reads a streamed body. Read returns io.EOF only when the server
// ended the body itself.
type AnswerStream interface {
	Read(p []byte) (int, error)
	Close() error
}

// Forwarder sends callers' requests to backend servers unchanged. Errors are
// Failures; the context's deadline is passed on.
type Forwarder interface {
	Forward(ctx context.Context, s Server, r ForwardedRequest) (ForwardedAnswer, error)
}

// EngineState is what a model engine says of itself on request.
type EngineState struct {
	// Busy tells that an order is being carried out.
	Busy bool
	// Accepted counts the orders accepted since the engine's start.
	Accepted uint64
	Versions map[ModelName]WeightVersion
}

// SwapMode says what becomes of running requests when weights change.
type SwapMode uint8

// The modes of a change of weights.
const (
	// SwapContinue lets running requests go on under the new version.
	SwapContinue SwapMode = iota
	// SwapAwait waits until they have ended.
	SwapAwait
)

// EngineOrder tells an engine to load a version of a model.
type EngineOrder struct {
	Model   ModelName
	Version WeightVersion
	Mode    SwapMode
	Holder  VMName
	// Fence is the holder's fencing token.
	Fence uint64
	// Accepted is how many orders the engine must have accepted before.
	Accepted uint64
}

// OrderOutcome is an engine's answer to an order.
type OrderOutcome uint8

// The outcomes of an order. An order without an answer may still be carried out.
const (
	OrderUnknown OrderOutcome = iota
	OrderStarted
	OrderAlreadyDone
	OrderConflict
	OrderFenced
	OrderRejected
)

// EngineControl gives orders to engines.
type EngineControl interface {
	State(ctx context.Context, s Server) (EngineState, error)
	Give(ctx context.Context, s Server, o EngineOrder) (OrderOutcome, error)
}

// SampleRequest asks an engine for one sample of a job.
type SampleRequest struct {
	ID   string
	Host string
	// Path, Header and Body are sent as the job gave them.
	Path   string
	Header []HeaderField
	Body   []byte
	// Pieces is how many pieces are already there; the engine goes on after them.
	Pieces int
}

// SampleEngine generates samples. The reader's pieces have no Finish; io.EOF
// means that the engine ended the sample itself.
type SampleEngine interface {
	Sample(ctx context.Context, s Server, r SampleRequest) (PieceReader, error)
}
