// Package departure keeps requests from backend servers that have stated that they are
// leaving. Placement doesn't choose such a server; this package refuses, right before they
// are sent, the requests for which it was chosen before.
package departure

import (
	"context"

	"lagoonlink.org/rollout"
)

// Servers knows which servers have stated that they are leaving.
type Servers interface {
	IsLeaving(s rollout.Server) bool
}

// Config configures a Gate.
type Config struct {
	Servers   Servers
	Forwarder rollout.Forwarder
	Engine    rollout.SampleEngine
	Scorer    rollout.SampleScorer
}

// Gate sends requests to the servers that are not leaving, and refuses the others with the
// verdict NotRun and ReasonDraining.
type Gate struct{ config Config }

var (
	_ rollout.Forwarder    = (*Gate)(nil)
	_ rollout.SampleEngine = (*Gate)(nil)
	_ rollout.SampleScorer = (*Gate)(nil)
)

// New returns a Gate.
func New(c Config) *Gate { return &Gate{config: c} }

func (g *Gate) check(s rollout.Server) error {
	if g.config.Servers.IsLeaving(s) {
		return rollout.Refuse(rollout.ReasonDraining, "server %s is leaving", s.Name)
	}
	return nil
}

// Forward implements rollout.Forwarder.
func (g *Gate) Forward(ctx context.Context, s rollout.Server, r rollout.ForwardedRequest) (rollout.ForwardedResponse, error) {
	if err := g.check(s); err != nil {
		return rollout.ForwardedResponse{}, err
	}
	return g.config.Forwarder.Forward(ctx, s, r)
}

// Sample implements rollout.SampleEngine.
func (g *Gate) Sample(ctx context.Context, s rollout.Server, r rollout.SampleRequest) (rollout.PieceReader, error) {
	if err := g.check(s); err != nil {
		return nil, err
	}
	return g.config.Engine.Sample(ctx, s, r)
}

// Score implements rollout.SampleScorer.
func (g *Gate) Score(ctx context.Context, s rollout.Server, r rollout.ScoreRequest) (string, error) {
	if err := g.check(s); err != nil {
		return "", err
	}
	return g.config.Scorer.Score(ctx, s, r)
}
