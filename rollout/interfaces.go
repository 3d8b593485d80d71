package rollout

import (
	"context"
	"time"
)

// Streams of the platform's log that lagoonlink writes.
const (
	// StreamConfiguration holds publications and their snapshots.
	StreamConfiguration = "configuration"
	// StreamClaims holds the claims by which VMs obtain the right to send orders.
	StreamClaims = "claims"
)

// Record is one record of a stream.
type Record struct {
	Offset Offset
	Data   []byte
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds a record and returns its offset. If the error's verdict is
	// MayHaveRun, the record may have been appended.
	Append(ctx context.Context, stream string, data []byte) (Offset, error)
	// Read returns up to limit records starting at offset from, and the first
	// offset that the stream retains. If there is no record yet, it waits up to
	// wait for one.
	Read(ctx context.Context, stream string, from Offset, limit int, wait time.Duration) (ReadResult, error)
}

// ReadResult is the result of Log.Read and Journal.Read.
type ReadResult struct {
	Records []Record
	// First is the oldest offset that the stream retains.
	First Offset
	// Next is the offset of the next record to be appended.
	Next Offset
}

// LoadReceiver receives the load reports of the engines of pools.
type LoadReceiver interface {
	UpdateLoad(p PoolName, s ServerName, r LoadReport)
}

// WeightStore is the platform's store of model weights.
type WeightStore interface {
	// Latest returns the newest version of each model.
	Latest(ctx context.Context) (map[ModelName]WeightVersion, error)
}

// ListedVM is one entry of a VMList.
type ListedVM struct {
	Name    string
	Zone    Zone
	Address string
	Leaving bool
}

// VMList is the platform's list of live and leaving VMs, both entry VMs and
// backend servers. It lags behind the actual state.
type VMList interface {
	List(ctx context.Context) ([]ListedVM, error)
}

// Generation is a request to a model engine.
type Generation struct {
	// ID is unique. The engine echoes it with every piece of the response.
	ID        string
	Model     ModelName
	Prompt    string
	MaxTokens int
	// Stop lists the sequences that end generation.
	Stop []string
	// Temperature is the sampling temperature; nil selects the engine's default.
	Temperature *float64
	// Prior is previously generated text that the engine continues.
	Prior string
	// PriorTokens is the number of tokens in Prior.
	PriorTokens int
}

// Piece is a part of an engine's streamed response.
type Piece struct {
	Text   string
	Tokens int
	// Version is the weight version that generated the piece, or 0 if the engine
	// did not report it.
	Version WeightVersion
	// Finish is the finish reason, "stop" or "length". It is set only on the last
	// piece.
	Finish string
}

// PieceReader reads an engine's streamed response. Next returns io.EOF only after
// a piece with Finish and the engine's end-of-stream marker; a stream that ends
// in any other way yields an error.
type PieceReader interface {
	Next() (Piece, error)
	// Close closes the stream. An engine that is still generating stops.
	Close() error
}

// LoadReport is a load report by an engine. It lags behind the actual load.
type LoadReport struct {
	// Running is the number of requests that are being processed.
	Running int
	// Waiting is the number of requests in the engine's queue.
	Waiting int
	// TokenRate is the number of tokens generated per second during the engine's
	// last reporting interval.
	TokenRate float64
	// Loaded holds the loaded weight version of each model.
	Loaded map[ModelName]WeightVersion
	// Leaving reports whether the engine is draining.
	Leaving bool
}

// Order instructs an engine to load a weight version of a model.
type Order struct {
	Model   ModelName
	Version WeightVersion
	// Fence is the fencing token: one more than the log offset of the claim under
	// which the order is sent.
	Fence Offset
}

// Engine is a model engine.
type Engine interface {
	Generate(ctx context.Context, address string, g Generation) (PieceReader, error)
	Load(ctx context.Context, address string) (LoadReport, error)
	Order(ctx context.Context, address string, o Order) error
}

// Call is a request to a plain service.
type Call struct {
	Method string
	// Path includes the query.
	Path        string
	ContentType string
	Body        []byte
	// ID is forwarded, so that the service can detect retried calls.
	ID string
}

// CallResponse is the complete response of a plain service.
type CallResponse struct {
	Status      int
	ContentType string
	Body        []byte
}

// ServiceCaller calls plain services.
type ServiceCaller interface {
	Call(ctx context.Context, address string, c Call) (CallResponse, error)
}
