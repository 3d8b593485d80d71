package standin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"lagoonlink.org/rollout"
)

// Engines is a fake of all model engines. It generates numbered pieces.
type Engines struct {
	// PieceDelay is the time that an engine takes for a piece.
	PieceDelay time.Duration
	// Pieces is the number of pieces of a sample.
	Pieces int

	mu       sync.Mutex
	versions map[rollout.ServerName]map[rollout.ModelName]rollout.WeightVersion
	accepted map[rollout.ServerName]uint64
	fences   map[rollout.ServerName]uint64
	orders   []rollout.EngineOrder
	// orderTimes holds the time that each order had left to arrive.
	orderTimes []time.Duration
	runs       map[string][]Run
	ended      map[string]time.Time
	failures   map[rollout.ServerName]error
	model      rollout.ModelName
	limits     rollout.LimitReceiver
	leaving    rollout.LeavingReceiver
	// incarnations holds the incarnations that engines report.
	incarnations map[rollout.ServerName]int64
}

// NewEngines returns engines that have loaded version 1 of a model.
func NewEngines(model rollout.ModelName, pieces int, pieceDelay time.Duration) *Engines {
	return &Engines{
		PieceDelay: pieceDelay, Pieces: pieces, model: model,
		versions: map[rollout.ServerName]map[rollout.ModelName]rollout.WeightVersion{},
		accepted: map[rollout.ServerName]uint64{}, fences: map[rollout.ServerName]uint64{},
		incarnations: map[rollout.ServerName]int64{}, runs: map[string][]Run{}, ended: map[string]time.Time{}, failures: map[rollout.ServerName]error{},
	}
}

// SetFailure makes samples that start on a server fail with err after failAfter
// pieces; nil makes them succeed again.
func (e *Engines) SetFailure(s rollout.ServerName, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failures[s] = err
}

// SetIncarnation sets the incarnation that an engine reports.
func (e *Engines) SetIncarnation(s rollout.ServerName, incarnation int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.incarnations[s] = incarnation
}

// SetVersion sets the weight version that an engine has loaded.
func (e *Engines) SetVersion(s rollout.ServerName, v rollout.WeightVersion) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.versions[s] = map[rollout.ModelName]rollout.WeightVersion{e.model: v}
}

// Runs returns how often a sample was started.
func (e *Engines) Runs(sample string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.runs[sample])
}

// Run is one run of a sample on a server, which continues after a number of pieces.
type Run struct {
	Server rollout.ServerName
	After  int
	Tenant string
}

// History returns the runs of a sample, oldest first.
func (e *Engines) History(sample string) []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs[sample]...)
}

// OrderTimes returns the time that each order had left to arrive, oldest first. It is 0
// for an order without a deadline.
func (e *Engines) OrderTimes() []time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]time.Duration(nil), e.orderTimes...)
}

// EndedAt returns when the text of a sample was last complete, or the zero time.
func (e *Engines) EndedAt(sample string) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ended[sample]
}

// Orders returns the orders that were carried out, oldest first.
func (e *Engines) Orders() []rollout.EngineOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]rollout.EngineOrder(nil), e.orders...)
}

func (e *Engines) version(s rollout.ServerName, m rollout.ModelName) rollout.WeightVersion {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(1, e.versions[s][m])
}

var (
	_ rollout.SampleEngine     = (*Engines)(nil)
	_ rollout.EngineControl    = (*Engines)(nil)
	_ rollout.LimitSource      = (*Engines)(nil)
	_ rollout.LeavingSource    = (*Engines)(nil)
	_ rollout.ServerLoadSource = (*Engines)(nil)
)

// NotifyLoads implements rollout.ServerLoadSource. The engines state no load.
func (e *Engines) NotifyLoads(rollout.ServerLoadReceiver) {}

// NotifyLimits implements rollout.LimitSource.
func (e *Engines) NotifyLimits(r rollout.LimitReceiver) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limits = r
}

// NotifyLeaving implements rollout.LeavingSource.
func (e *Engines) NotifyLeaving(r rollout.LeavingReceiver) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = r
}

// StateLeaving plays a response in which an engine states that it is leaving.
func (e *Engines) StateLeaving(s rollout.ServerName, incarnation int64) {
	e.mu.Lock()
	receiver := e.leaving
	e.mu.Unlock()
	receiver.ObserveLeaving(rollout.ObservedLeaving{Server: s, Incarnation: incarnation, Request: "test", Source: "Request"})
}

// Output returns the complete output of a sample.
func (e *Engines) Output(sample string) string {
	output := ""
	for n := 1; n <= e.Pieces; n++ {
		if n > 1 {
			output += "\n"
		}
		output += fmt.Sprintf("%s:%d", sample, n)
	}
	return output
}

// Sample implements rollout.SampleEngine.
func (e *Engines) Sample(ctx context.Context, s rollout.Server, r rollout.SampleRequest) (rollout.PieceReader, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[r.ID] = append(e.runs[r.ID], Run{Server: s.Name, After: r.Pieces, Tenant: r.Tenant})
	return &pieceReader{engines: e, ctx: ctx, server: s.Name, id: r.ID, next: r.Pieces + 1, failure: e.failures[s.Name]}, nil
}

type pieceReader struct {
	engines   *Engines
	ctx       context.Context
	server    rollout.ServerName
	id        string
	next      int
	generated int
	failure   error
}

// failAfter is the number of pieces that a failing server generates.
const failAfter = 3

// Next implements rollout.PieceReader.
func (p *pieceReader) Next() (rollout.Piece, error) {
	if p.next > p.engines.Pieces {
		p.engines.mu.Lock()
		defer p.engines.mu.Unlock()
		p.engines.ended[p.id] = time.Now()
		return rollout.Piece{}, io.EOF
	}
	if p.failure != nil && p.generated >= failAfter {
		return rollout.Piece{}, p.failure
	}
	select {
	case <-time.After(p.engines.PieceDelay):
	case <-p.ctx.Done():
		return rollout.Piece{}, rollout.Fail(rollout.MayHaveRun, rollout.ReasonCanceled, p.ctx.Err())
	}
	piece := rollout.Piece{Text: fmt.Sprintf("%s:%d", p.id, p.next), Tokens: 1, Version: p.engines.version(p.server, p.engines.model)}
	p.next++
	p.generated++
	return piece, nil
}

// Close implements rollout.PieceReader.
func (p *pieceReader) Close() error { return nil }

// State implements rollout.EngineControl.
func (e *Engines) State(_ context.Context, s rollout.Server) (rollout.EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return rollout.EngineState{
		Accepted: e.accepted[s.Name], Incarnation: e.incarnations[s.Name],
		Versions: map[rollout.ModelName]rollout.WeightVersion{e.model: max(1, e.versions[s.Name][e.model])},
	}, nil
}

var errRefused = errors.New("refused")

// SendOrder implements rollout.EngineControl. Orders are carried out at once.
func (e *Engines) SendOrder(ctx context.Context, s rollout.Server, o rollout.EngineOrder) (rollout.OrderOutcome, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	left := time.Duration(0)
	if deadline, ok := ctx.Deadline(); ok {
		left = time.Until(deadline)
	}
	e.orderTimes = append(e.orderTimes, left)
	switch {
	case o.Fence < e.fences[s.Name]:
		return rollout.OrderFenced, rollout.Fail(rollout.NotRun, rollout.ReasonServerRefused, errRefused)
	case o.Accepted != e.accepted[s.Name]:
		return rollout.OrderConflict, rollout.Fail(rollout.NotRun, rollout.ReasonServerRefused, errRefused)
	}
	e.fences[s.Name] = o.Fence
	e.accepted[s.Name]++
	if e.versions[s.Name] == nil {
		e.versions[s.Name] = map[rollout.ModelName]rollout.WeightVersion{}
	}
	e.versions[s.Name][o.Model] = o.Version
	e.orders = append(e.orders, o)
	return rollout.OrderStarted, nil
}
