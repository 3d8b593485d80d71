// Package relay serves callers' requests to plain services: it finds the route,
// asks the dispatcher for a server, forwards the request, and decides after each
// attempt whether another may follow.
package relay

import (
	"context"
	"errors"
	"net/url"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/zeebo/xxh3"

	"lagoonlink.org/lagoonlink/internal/dispatch"
	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/inforce"
	"lagoonlink.org/lagoonlink/internal/metrics"
	"lagoonlink.org/lagoonlink/internal/pause"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/placement"
	"lagoonlink.org/rollout/request"
	"lagoonlink.org/rollout/routing"
)

// Numbers of the attempts.
const (
	// maxRefusals bounds how often servers may refuse one request unrun before it
	// is refused: each refusal costs the caller a round trip.
	maxRefusals = 6
	// refusalPause is the pause after a refusal.
	refusalPause = 8 * time.Millisecond
	// replyMargin is kept of the time to answer, so that the answer is back in it.
	replyMargin = 15 * time.Millisecond
	// defaultDeadline is used for a request that states none.
	defaultDeadline = 10 * time.Second
	// retryAfter is the advice with a refusal: a request of a plain service takes
	// some ten milliseconds, so a place is free soon.
	retryAfter = 100 * time.Millisecond
	// firstTryShare is how much of the time that is left an attempt gets while
	// another may follow, but never less than firstTryObjectives objectives.
	firstTryShare      = 0.45
	firstTryObjectives = 1.5
)

// Config configures the duty.
type Config struct {
	InForce   *inforce.Holder
	Dispatch  *dispatch.Dispatcher
	Forwarder rollout.Forwarder
	Logger    *event.Logger
	Metrics   tally.Scope
}

// Relay serves requests.
type Relay struct{ config Config }

// New returns a relay.
func New(c Config) *Relay { return &Relay{config: c} }

// served is one request being served.
type served struct {
	relay   *Relay
	request rollout.ForwardedRequest
	route   rollout.Route
	// target is chosen once, so that all attempts go to the same service.
	target      dispatch.Target
	fingerprint request.Fingerprint
	begun       time.Time
	ran         int
	refusals    int
	avoid       []rollout.ServerName
	// verdict is MayHaveRun once an attempt may have run.
	verdict rollout.Verdict
}

// Route returns the route of a request, or a refusal.
func (r *Relay) Route(host, target string) (rollout.Route, error) {
	v, err := r.config.InForce.Require()
	if err != nil {
		return rollout.Route{}, err
	}
	path := target
	if u, err := url.ParseRequestURI(target); err == nil {
		path = u.Path
	}
	route, ok := v.Routes.Find(host, path)
	if !ok {
		return rollout.Route{}, rollout.Refuse(rollout.ReasonUnknownTarget, "no route of %s begins %s in version %d", host, path, v.Routes.Version())
	}
	return route, nil
}

// Limits returns what callers may send, or nothing before it is known.
func (r *Relay) Limits() rollout.CallerLimits {
	if v := r.config.InForce.Current(); v != nil && v.Routes != nil {
		return v.Routes.Limits()
	}
	return rollout.CallerLimits{}
}

// Serve answers a request. The wait is what the caller is willing to wait; 0
// when it did not say.
func (r *Relay) Serve(ctx context.Context, q rollout.ForwardedRequest, route rollout.Route, wait time.Duration) (rollout.ForwardedAnswer, error) {
	begun := time.Now()
	if wait <= 0 {
		wait = defaultDeadline
	}
	if route.Timeout > 0 {
		wait = min(wait, route.Timeout)
	}
	ctx, cancel := context.WithDeadline(ctx, begun.Add(wait-min(replyMargin, wait/10)))
	defer func() {
		if !q.Streamed {
			cancel()
		}
	}()
	q.Streamed = route.Kind == rollout.RouteStream
	service := routing.Choose(route, xxh3.HashString(q.ID))
	s := &served{
		relay: r, request: q, route: route, target: r.target(service), begun: begun, verdict: rollout.NotRun,
		fingerprint: request.Fingerprint(xxh3.HashString(q.Host+q.Target) ^ xxh3.Hash(q.Body)),
	}
	answer, err := s.serve(ctx)
	r.note(s, answer, err)
	return answer, err
}

// target returns the pool or the service of a name.
func (r *Relay) target(name rollout.ServiceName) dispatch.Target {
	if v := r.config.InForce.Current(); v != nil {
		if _, ok := v.Configuration.FindPool(rollout.PoolName(name)); ok {
			return dispatch.Target{Pool: rollout.PoolName(name)}
		}
	}
	return dispatch.Target{Service: name}
}

func (s *served) serve(ctx context.Context) (rollout.ForwardedAnswer, error) {
	for {
		grant, err := s.relay.config.Dispatch.Acquire(ctx, s.ask(ctx))
		if err != nil {
			return rollout.ForwardedAnswer{}, s.refusal(err)
		}
		answer, err := s.attempt(ctx, grant)
		if err == nil {
			if answer.Status < 500 || !s.mayRepeat(ctx) {
				return answer, nil
			}
			s.avoid = append(s.avoid, grant.Server.Name)
			continue
		}
		if rollout.VerdictOf(err) == rollout.NotRun {
			s.refusals++
			s.avoid = append(s.avoid, grant.Server.Name)
			if s.refusals >= maxRefusals || ctx.Err() != nil {
				return rollout.ForwardedAnswer{}, s.refusal(err)
			}
			pause.For(ctx, refusalPause)
			continue
		}
		s.verdict = rollout.MayHaveRun
		s.avoid = append(s.avoid, grant.Server.Name)
		if !s.mayRepeat(ctx) {
			return rollout.ForwardedAnswer{}, s.failure(ctx, err)
		}
	}
}

// mayRepeat reports whether a request that ran may be sent to another server.
func (s *served) mayRepeat(ctx context.Context) bool {
	return s.route.Kind == rollout.RouteIdempotent && s.ran < s.route.MaxAttempts && ctx.Err() == nil
}

func (s *served) ask(ctx context.Context) dispatch.Ask {
	deadline, _ := ctx.Deadline()
	class := rollout.ClassService
	if s.target.Pool != "" {
		class = rollout.ClassInteractive
	}
	return dispatch.Ask{
		Target: s.target, Want: placement.Want{Class: class, Avoid: s.avoid}, Tenant: s.route.Name, Share: 1, Cost: 1,
		Deadline: deadline, Fingerprint: s.fingerprint,
	}
}

// attempt sends the request to one server and reports what the dispatcher
// should learn from it.
func (s *served) attempt(ctx context.Context, grant *dispatch.Grant) (rollout.ForwardedAnswer, error) {
	tryContext, cancel := s.limit(ctx)
	begun := time.Now()
	answer, err := s.relay.config.Forwarder.Forward(tryContext, grant.Server, s.request)
	result := dispatch.Result{}
	verdict := rollout.VerdictOf(err)
	switch {
	case err == nil:
		s.ran++
		result.PerUnit = time.Since(begun).Seconds()
		result.Failed = answer.Status >= 500
	case verdict == rollout.NotRun:
		result.Refused = rollout.FailureOf(err).Reason == rollout.ReasonServerRefused
		result.Failed = !result.Refused && ctx.Err() == nil
	default:
		s.ran++
		result.Failed = ctx.Err() == nil
		result.Broken = tryContext.Err() == nil
	}
	if answer.Stream != nil {
		answer.Stream = &held{AnswerStream: answer.Stream, done: func() { cancel(); grant.Done(result) }}
		return answer, nil
	}
	cancel()
	grant.Done(result)
	return answer, err
}

// limit bounds an attempt after which another may follow.
func (s *served) limit(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok || s.route.Kind != rollout.RouteIdempotent || s.ran+1 >= s.route.MaxAttempts {
		return context.WithCancel(ctx)
	}
	left := time.Until(deadline)
	share := max(time.Duration(firstTryShare*float64(left)), time.Duration(firstTryObjectives*float64(s.route.Objective)))
	return context.WithTimeout(ctx, min(left, share))
}

// held gives its grant back when the stream is closed.
type held struct {
	rollout.AnswerStream
	done func()
}

// Close ends the stream.
func (h *held) Close() error {
	err := h.AnswerStream.Close()
	h.done()
	return err
}

// refusal returns the failure for a request for which no server was found. It
// promises that the request has not run only when no attempt may have run.
func (s *served) refusal(err error) error {
	f := *rollout.FailureOf(err)
	f.Verdict = s.verdict
	if s.ran > 0 {
		f.Verdict = rollout.MayHaveRun
	}
	if f.RetryAfter == 0 || f.RetryAfter > time.Second {
		f.RetryAfter = retryAfter
	}
	return &f
}

func (s *served) failure(ctx context.Context, err error) error {
	f := *rollout.FailureOf(err)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		f.Reason = rollout.ReasonDeadline
	}
	return &f
}

func (r *Relay) note(s *served, a rollout.ForwardedAnswer, err error) {
	took := time.Since(s.begun)
	tagged := r.config.Metrics.Tagged(map[string]string{"route": s.route.Name})
	if err != nil {
		tagged.Counter("requests_failed").Inc(1)
	}
	tagged.Histogram("request_seconds", metrics.Latencies).RecordDuration(took)
	fields := event.Fields{
		"Request": s.request.ID, "Route": s.route.Name, "Service": s.target, "Attempts": s.ran, "Refusals": s.refusals,
		"Servers": s.avoid, "Took": took.Round(time.Microsecond).String(),
	}
	switch {
	case err == nil:
		fields["Status"] = a.Status
		r.config.Logger.Write(event.RequestServed, fields)
	case rollout.VerdictOf(err) == rollout.NotRun:
		fields["Reason"], fields["Error"] = rollout.FailureOf(err).Reason, err
		r.config.Logger.Write(event.RequestRefused, fields)
	default:
		fields["Reason"], fields["Error"] = rollout.FailureOf(err).Reason, err
		r.config.Logger.Write(event.RequestLost, fields)
	}
}
