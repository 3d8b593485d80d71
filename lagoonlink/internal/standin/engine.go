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

// Engines are model engines that generate numbered pieces.
type Engines struct {
	// PieceTime is the time for a piece.
	PieceTime time.Duration
	// Pieces is how many pieces a sample has.
	Pieces int

	mu       sync.Mutex
	versions map[rollout.ServerName]map[rollout.ModelName]rollout.WeightVersion
	accepted map[rollout.ServerName]uint64
	fences   map[rollout.ServerName]uint64
	orders   []rollout.EngineOrder
	runs     map[string]int
	failures map[rollout.ServerName]error
	model    rollout.ModelName
}

// NewEngines returns engines that have version 1 of a model.
func NewEngines(model rollout.ModelName, pieces int, pieceTime time.Duration) *Engines {
	return &Engines{
		PieceTime: pieceTime, Pieces: pieces, model: model,
		versions: map[rollout.ServerName]map[rollout.ModelName]rollout.WeightVersion{},
		accepted: map[rollout.ServerName]uint64{}, fences: map[rollout.ServerName]uint64{},
		runs: map[string]int{}, failures: map[rollout.ServerName]error{},
	}
}

// Fail makes a server's runs end with an error after a few pieces; nil ends it.
func (e *Engines) Fail(s rollout.ServerName, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failures[s] = err
}

// Runs returns how often a sample was begun.
func (e *Engines) Runs(sample string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[sample]
}

// Orders returns the orders that were carried out, in their order.
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
	_ rollout.SampleEngine  = (*Engines)(nil)
	_ rollout.EngineControl = (*Engines)(nil)
)

// Text is the whole output of a sample.
func (e *Engines) Text(sample string) string {
	text := ""
	for n := 1; n <= e.Pieces; n++ {
		if n > 1 {
			text += "\n"
		}
		text += fmt.Sprintf("%s:%d", sample, n)
	}
	return text
}

// Sample implements rollout.SampleEngine.
func (e *Engines) Sample(ctx context.Context, s rollout.Server, r rollout.SampleRequest) (rollout.PieceReader, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[r.ID]++
	return &pieces{engines: e, ctx: ctx, server: s.Name, id: r.ID, next: r.Pieces + 1, fail: e.failures[s.Name]}, nil
}

type pieces struct {
	engines *Engines
	ctx     context.Context
	server  rollout.ServerName
	id      string
	next    int
	made    int
	fail    error
}

// failAfter is how many pieces a failing server makes.
const failAfter = 3

// Next implements rollout.PieceReader.
func (p *pieces) Next() (rollout.Piece, error) {
	if p.next > p.engines.Pieces {
		return rollout.Piece{}, io.EOF
	}
	if p.fail != nil && p.made >= failAfter {
		return rollout.Piece{}, p.fail
	}
	select {
	case <-time.After(p.engines.PieceTime):
	case <-p.ctx.Done():
		return rollout.Piece{}, rollout.Fail(rollout.MayHaveRun, rollout.ReasonCanceled, p.ctx.Err())
	}
	piece := rollout.Piece{Text: fmt.Sprintf("%s:%d", p.id, p.next), Tokens: 1, Version: p.engines.version(p.server, p.engines.model)}
	p.next++
	p.made++
	return piece, nil
}

// Close implements rollout.PieceReader.
func (p *pieces) Close() error { return nil }

// State implements rollout.EngineControl.
func (e *Engines) State(_ context.Context, s rollout.Server) (rollout.EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return rollout.EngineState{
		Accepted: e.accepted[s.Name],
		Versions: map[rollout.ModelName]rollout.WeightVersion{e.model: max(1, e.versions[s.Name][e.model])},
	}, nil
}

// errRefused tells that an order was refused without being carried out.
var errRefused = errors.New("refused")

// Give implements rollout.EngineControl. Orders are carried out at once.
func (e *Engines) Give(_ context.Context, s rollout.Server, o rollout.EngineOrder) (rollout.OrderOutcome, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
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
