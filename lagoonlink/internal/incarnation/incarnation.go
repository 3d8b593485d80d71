// Package incarnation checks that a backend server is the incarnation that this VM knows.
// A server may start again under its name with other software, and a VM whose view of the
// servers is out of date takes it for what it was before.
package incarnation

import (
	"context"
	"time"

	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/rollout"
)

// confirmTimeout limits the question to a server; zones are 2 ms apart.
const confirmTimeout = 300 * time.Millisecond

// Config configures a Checker.
type Config struct {
	// Control asks servers for their state. If it is nil, no server is asked.
	Control rollout.EngineControl
	Logger  *event.Logger
}

// Checker confirms incarnations.
type Checker struct{ config Config }

// New returns a Checker.
func New(c Config) *Checker { return &Checker{config: c} }

// Confirm asks a server whether it is the incarnation that this VM knows, before a request
// continues there what another run began. It fails with the verdict NotRun if the server
// states another one or can't be asked. A server that states none, in its entry or in its
// state, is taken for the one that is known.
func (c *Checker) Confirm(ctx context.Context, s rollout.Server, request string) error {
	if c.config.Control == nil || s.Incarnation == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	state, err := c.config.Control.State(ctx, s)
	if err == nil && (state.Incarnation == s.Incarnation || state.Incarnation == 0) {
		return nil
	}
	c.config.Logger.Write(event.IncarnationUnconfirmed, event.Fields{
		"Server": s.Name, "Request": request, "Known": s.Incarnation, "Reported": state.Incarnation, "Software": s.Software, "Error": err,
	})
	f := rollout.Refuse(rollout.ReasonServerRefused, "server %s is not confirmed to be incarnation %d", s.Name, s.Incarnation)
	f.Cause = err
	return f
}
