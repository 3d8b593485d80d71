// Package attempt makes attempts at requests of the own face. An attempt runs on one backend
// server, which this VM chooses or, while it reaches none, another VM: one hop, never two
// (docs/design/unreachable-servers.md). Whether a failed attempt is followed by another one is
// decided by its caller.
package attempt

import (
	"context"
	"errors"
	"time"

	"lagoonlink.org/lagoonlink/internal/dispatch"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/placement"
)

// Reach tells whether this VM reaches backend servers.
type Reach interface {
	// Isolated waits while that is being decided.
	Isolated(ctx context.Context) bool
	// Observe records the outcome of an attempt.
	Observe(ctx context.Context, s rollout.Server, err error)
}

// Config configures a Maker.
type Config struct {
	Dispatch *dispatch.Dispatcher
	Engine   rollout.Engine
	Service  rollout.ServiceCaller
	Reach    Reach
	// Peers makes attempts through other VMs. If it is nil, requests are refused while this
	// VM reaches no server.
	Peers *Client
}

// Maker makes attempts.
type Maker struct{ config Config }

// NewMaker returns a Maker.
func NewMaker(c Config) *Maker { return &Maker{config: c} }

// Attempt is one attempt at a request. Exactly one of Generate and Call must be called, at
// most once, and End exactly once.
type Attempt struct {
	maker   *Maker
	request dispatch.Request
	// grant is nil if another VM makes the attempt.
	grant  *dispatch.Grant
	server rollout.ServerName
	// refused reports whether no VM has begun the attempt.
	refused bool
	start   time.Time
	called  bool
	tokens  int
}

// Begin waits until a server can take the request. While this VM reaches no server, the
// attempt is one through another VM, which is asked by Generate or Call.
func (m *Maker) Begin(ctx context.Context, r dispatch.Request) (*Attempt, error) {
	if m.config.Reach.Isolated(ctx) {
		if m.config.Peers == nil {
			return nil, errNobodyReaches()
		}
		return &Attempt{maker: m, request: r, start: time.Now()}, nil
	}
	return m.beginHere(ctx, r)
}

// beginHere waits until a server can take the request from this VM.
func (m *Maker) beginHere(ctx context.Context, r dispatch.Request) (*Attempt, error) {
	grant, err := m.config.Dispatch.Acquire(ctx, r)
	if err != nil && rollout.FailureOf(err).Reason == rollout.ReasonNoServer && len(r.Requirements.Avoid) > 0 {
		// Only servers to be avoided are left; one that failed may have recovered.
		r.Requirements.Avoid = nil
		grant, err = m.config.Dispatch.Acquire(ctx, r)
	}
	if err != nil {
		return nil, err
	}
	return &Attempt{maker: m, request: r, grant: grant, server: grant.Server.Name, start: time.Now()}, nil
}

// Server returns the server of the attempt, or "" while it isn't known.
func (a *Attempt) Server() rollout.ServerName { return a.server }

// Refused reports whether the attempt failed before any VM had begun it.
func (a *Attempt) Refused() bool { return a.refused }

// Generate begins a generation. The caller must close the reader before it calls End.
func (a *Attempt) Generate(ctx context.Context, g rollout.Generation) (rollout.PieceReader, error) {
	var reader rollout.PieceReader
	var err error
	if a.grant != nil {
		reader, err = a.maker.config.Engine.Generate(ctx, a.grant.Server.Address, g)
	} else {
		reader, a.server, err = a.maker.config.Peers.generate(ctx, a.request, g)
		a.refused = err != nil && a.server == "" && rollout.VerdictOf(err) == rollout.NotRun
	}
	if err != nil {
		return nil, err
	}
	return &countedPieces{PieceReader: reader, attempt: a}, nil
}

// Call makes a call of a plain service.
func (a *Attempt) Call(ctx context.Context, c rollout.Call) (rollout.CallResponse, error) {
	a.called = true
	if a.grant != nil {
		return a.maker.config.Service.Call(ctx, a.grant.Server.Address, c)
	}
	var response rollout.CallResponse
	var err error
	response, a.server, err = a.maker.config.Peers.call(ctx, a.request, c)
	a.refused = err != nil && a.server == "" && rollout.VerdictOf(err) == rollout.NotRun
	return response, err
}

// ObserveVersion records a weight version that the server reported with tokens.
func (a *Attempt) ObserveVersion(v rollout.WeightVersion) {
	if a.grant != nil {
		a.grant.ObserveVersion(a.request.Requirements.Model, v)
	}
}

// End reports the outcome of the attempt, which ended with err. The context is that of the
// request.
func (a *Attempt) End(ctx context.Context, err error) {
	if a.grant == nil {
		return
	}
	elapsed := time.Since(a.start)
	if a.called {
		a.grant.Done(callResult(ctx, err, elapsed))
	} else {
		a.grant.Done(generationResult(ctx, err, elapsed, a.tokens))
	}
	a.maker.config.Reach.Observe(ctx, a.grant.Server, err)
}

// countedPieces counts the tokens of an attempt.
type countedPieces struct {
	rollout.PieceReader
	attempt *Attempt
}

// Next returns the next piece.
func (p *countedPieces) Next() (rollout.Piece, error) {
	piece, err := p.PieceReader.Next()
	p.attempt.tokens += piece.Tokens
	return piece, err
}

// generationResult returns the result of a generation that ran for elapsed and ended with
// err. An error after the context ended counts neither as a success nor as a failure of the
// server.
func generationResult(ctx context.Context, err error, elapsed time.Duration, tokens int) dispatch.Result {
	var r dispatch.Result
	if err == nil {
		r.SecondsPerUnit = elapsed.Seconds() / float64(max(tokens, 1))
		return r
	}
	if ctx.Err() != nil {
		return r
	}
	f := rollout.FailureOf(err)
	switch {
	case f.Reason == rollout.ReasonDraining:
		r.Leaving = true
	case f.Reason == rollout.ReasonServerRefused:
		r.Refused = true
	default:
		r.Failed = true
		r.ConnectionLost = f.Verdict == rollout.MayHaveRun
	}
	return r
}

// callResult returns the result of a call. One that the caller canceled says nothing about
// the server.
func callResult(ctx context.Context, err error, elapsed time.Duration) dispatch.Result {
	if err == nil {
		return dispatch.Result{Outcome: placement.Outcome{SecondsPerUnit: elapsed.Seconds()}}
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return dispatch.Result{}
	}
	f := rollout.FailureOf(err)
	r := dispatch.Result{Outcome: placement.Outcome{
		Failed:  f.Reason != rollout.ReasonDraining && f.Reason != rollout.ReasonServerRefused,
		Refused: f.Reason == rollout.ReasonServerRefused,
		Leaving: f.Reason == rollout.ReasonDraining,
	}}
	r.ConnectionLost = r.Failed && f.Verdict == rollout.MayHaveRun
	return r
}
