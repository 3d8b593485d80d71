package rollout

import (
	"context"
	"time"
)

// Streams of the platform's log that lagoonlink keeps.
const (
	// StreamConfiguration holds publications and their snapshots.
	StreamConfiguration = "configuration"
	// StreamClaims holds claims of who may send orders.
	StreamClaims = "claims"
)

// Record is one record of a stream.
type Record struct {
	Offset Offset
	Data   []byte
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds a record and returns its offset. An error whose verdict is
	// MayHaveRun may have appended it.
	Append(ctx context.Context, stream string, data []byte) (Offset, error)
	// Read returns up to limit records from offset from on, and the first offset
	// that the stream still keeps. It waits up to wait for a first record.
	Read(ctx context.Context, stream string, from Offset, limit int, wait time.Duration) (ReadResult, error)
}

// ReadResult is what Log.Read returns.
type ReadResult struct {
	Records []Record
	// First is the oldest offset that the stream still keeps.
	First Offset
	// Next is the offset that the next record will get.
	Next Offset
}

// WeightStore is the platform's store of weights.
type WeightStore interface {
	// Latest returns the newest version of each model.
	Latest(ctx context.Context) (map[ModelName]WeightVersion, error)
}

// ListedVM is one entry of the platform's list of VMs, which lags.
type ListedVM struct {
	Name    string
	Zone    Zone
	Address string
	Leaving bool
}

// VMList is the platform's lagging list of live and leaving VMs, entry VMs and
// backend servers alike.
type VMList interface {
	List(ctx context.Context) ([]ListedVM, error)
}

// Generation is a request to a model engine.
type Generation struct {
	// ID is unique; the engine echoes it with every piece of the answer.
	ID        string
	Model     ModelName
	Prompt    string
	MaxTokens int
	// Stop ends the text when the engine generates it.
	Stop []string
	// Temperature is passed to the engine when set.
	Temperature *float64
	// Prior is text that was generated before, which the engine continues.
	Prior string
	// PriorTokens is how many tokens Prior has.
	PriorTokens int
}

// Piece is a part of an engine's streamed answer.
type Piece struct {
	Text   string
	Tokens int
	// Version generated this piece; 0 means that the engine did not say.
	Version WeightVersion
	// Finish is set on the last piece: "stop" or "length".
	Finish string
}

// PieceReader reads an engine's answer. Next returns io.EOF only after a piece
// with Finish and the engine's own end mark; any other end is an error.
type PieceReader interface {
	Next() (Piece, error)
	// Close ends the stream; the engine stops generating if it was not done.
	Close() error
}

// LoadReport is an engine's own, lagging report.
type LoadReport struct {
	Running int
	Waiting int
	// TokenRate is tokens generated a second over the engine's last interval.
	TokenRate float64
	Loaded    map[ModelName]WeightVersion
	Leaving   bool
}

// Order tells an engine to load a version of a model.
type Order struct {
	Model   ModelName
	Version WeightVersion
	// Fence is the log offset of the claim under which the order is sent.
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
	// ID is passed on, so that the service can tell repeated calls apart.
	ID string
}

// CallAnswer is a plain service's whole answer.
type CallAnswer struct {
	Status      int
	ContentType string
	Body        []byte
}

// ServiceCaller calls plain services.
type ServiceCaller interface {
	Call(ctx context.Context, address string, c Call) (CallAnswer, error)
}
