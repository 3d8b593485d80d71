// Package scaler orders servers for the services whose number of servers may be changed.
// Only the holder of the duty does so; package scaling decides.
package scaler

import (
	"context"
	"time"

	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/fleet"
	"lagoonlink.org/lagoonlink/internal/jobs"
	"lagoonlink.org/lagoonlink/internal/pause"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/scaling"
)

// Intervals.
const (
	decisionInterval = 500 * time.Millisecond
	// forgetAfter is the time without the duty after which another VM may have ordered
	// servers: a claim of this VM that replaces a refused token takes less.
	forgetAfter = 3 * time.Second
	// callSpacing and callAttempts bound the wait for a call that the rate of calls delays.
	callSpacing  = 50 * time.Millisecond
	callAttempts = 4
	// failureDelay is the delay after a call without a conclusive response.
	failureDelay = time.Second
)

// Orders sends orders while this VM holds the duty.
type Orders interface {
	Held() bool
	// Load returns the mean number of requests at the servers of each service, or false if
	// it isn't known.
	Load() (load map[rollout.ServiceName]float64, known bool)
	OrderServers(ctx context.Context, o rollout.ServerOrder) (outcome rollout.DutyOutcome, sent bool)
}

// Config configures a Scaler.
type Config struct {
	Orders Orders
	// Services returns the services whose number of servers may be changed, Work the open
	// jobs of each pool.
	Services func() []fleet.ScaledService
	Work     func() map[rollout.PoolName]jobs.PoolWork
	Logger   *event.Logger
}

// Scaler orders servers.
type Scaler struct {
	config   Config
	planners map[rollout.ServiceName]*scaling.Planner
	heldAt   time.Time
	// retryAt is when calls are made again after a failure.
	retryAt time.Time
}

// New returns a Scaler.
func New(c Config) *Scaler {
	return &Scaler{config: c, planners: map[rollout.ServiceName]*scaling.Planner{}}
}

// Run decides periodically until the context ends. It always returns nil.
func (s *Scaler) Run(ctx context.Context) error {
	tick := time.NewTicker(decisionInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			s.decide(ctx, time.Now())
		}
	}
}

// decide decides for all services if this VM holds the duty.
func (s *Scaler) decide(ctx context.Context, now time.Time) {
	if !s.config.Orders.Held() {
		if now.Sub(s.heldAt) > forgetAfter {
			clear(s.planners)
		}
		return
	}
	s.heldAt = now
	work := s.config.Work()
	load, loadKnown := s.config.Orders.Load()
	for _, service := range s.config.Services() {
		// Without the load of a plain service its servers are left as they are.
		if !service.Engines && !loadKnown {
			continue
		}
		p := s.planners[service.Name]
		if p == nil {
			p = scaling.NewPlanner(now)
			s.planners[service.Name] = p
		}
		w := work[rollout.PoolName(service.Name)]
		in := scaling.Input{
			Scaling: service.Scaling, Zones: service.Zones, Slots: service.Slots, Present: service.Present, Work: w.Jobs, Results: w.Results, Load: load[service.Name],
		}
		orders := p.Decide(now, in)
		if now.Before(s.retryAt) {
			continue
		}
		for _, o := range orders {
			if !s.send(ctx, now, service.Name, p, in, o) {
				break
			}
		}
	}
}

// send sends an order and reports whether another one may follow now.
func (s *Scaler) send(ctx context.Context, now time.Time, name rollout.ServiceName, p *scaling.Planner, in scaling.Input, o scaling.Order) bool {
	order := rollout.ServerOrder{Service: name, Zone: o.Zone, Count: o.Count, Reclaimable: o.Reclaimable}
	outcome, sent := s.config.Orders.OrderServers(ctx, order)
	for attempt := 1; attempt < callAttempts && !sent && s.config.Orders.Held(); attempt++ {
		pause.For(ctx, callSpacing)
		outcome, sent = s.config.Orders.OrderServers(ctx, order)
	}
	if !sent {
		return false
	}
	samples := 0
	for _, w := range in.Work {
		samples += w.Samples
	}
	s.config.Logger.Write(event.ServersOrdered, event.Fields{
		"Service": name, "Zone": o.Zone, "Reclaimable": o.Reclaimable, "Count": o.Count, "Present": in.Present[o.Kind], "Outcome": outcome.String(),
		"Jobs": len(in.Work), "Samples": samples, "Took": p.Took().Seconds(), "Load": in.Load, "Needed": p.Needed(now, in), "Slots": in.Slots,
	})
	switch outcome {
	case rollout.DutyAccepted, rollout.DutyUnavailable:
		p.Sent(now, o, in.Present[o.Kind], outcome == rollout.DutyAccepted)
		return true
	}
	s.retryAt = now.Add(failureDelay)
	return false
}
