package usage

import (
	"context"
	"time"

	"lagoonlink.org/rollout"
)

// MeterConfig configures a Meter.
type MeterConfig struct {
	Forwarder rollout.Forwarder
	Scorer    rollout.SampleScorer
	// ServiceOf returns the service of a server, if it is known.
	ServiceOf func(rollout.ServerName) (rollout.ServiceName, bool)
	// Busy receives the time that each request spent at a server.
	Busy func(s rollout.ServiceName, took time.Duration)
}

// Meter measures how long requests other than those for samples spend at servers.
type Meter struct{ config MeterConfig }

var (
	_ rollout.Forwarder    = (*Meter)(nil)
	_ rollout.SampleScorer = (*Meter)(nil)
)

// NewMeter returns a Meter.
func NewMeter(c MeterConfig) *Meter { return &Meter{config: c} }

// observe adds the time since a request was sent, unless a server refused it.
func (m *Meter) observe(s rollout.Server, sent time.Time, err error) {
	if err != nil && rollout.VerdictOf(err) == rollout.NotRun {
		return
	}
	if service, ok := m.config.ServiceOf(s.Name); ok {
		m.config.Busy(service, time.Since(sent))
	}
}

// Forward implements rollout.Forwarder.
func (m *Meter) Forward(ctx context.Context, s rollout.Server, r rollout.ForwardedRequest) (rollout.ForwardedResponse, error) {
	sent := time.Now()
	response, err := m.config.Forwarder.Forward(ctx, s, r)
	if err == nil && response.Stream != nil {
		response.Stream = &meteredStream{ResponseStream: response.Stream, closed: func() { m.observe(s, sent, nil) }}
		return response, nil
	}
	m.observe(s, sent, err)
	return response, err
}

// Score implements rollout.SampleScorer.
func (m *Meter) Score(ctx context.Context, s rollout.Server, r rollout.ScoreRequest) (string, error) {
	sent := time.Now()
	score, err := m.config.Scorer.Score(ctx, s, r)
	m.observe(s, sent, err)
	return score, err
}

// meteredStream is a stream whose request ends when it is closed.
type meteredStream struct {
	rollout.ResponseStream
	closed func()
}

// Close closes the stream.
func (m *meteredStream) Close() error {
	m.closed()
	return m.ResponseStream.Close()
}
