// Package relay serves callers' requests: it finds the route, acquires a server
// from the dispatcher, forwards the request, and decides after each attempt
// whether to retry.
package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/zeebo/xxh3"

	"lagoonlink.org/lagoonlink/internal/dispatch"
	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/incarnation"
	"lagoonlink.org/lagoonlink/internal/inforce"
	"lagoonlink.org/lagoonlink/internal/metrics"
	"lagoonlink.org/lagoonlink/internal/pause"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/placement"
	"lagoonlink.org/rollout/request"
	"lagoonlink.org/rollout/routing"
	"lagoonlink.org/rollout/tenancy"
)

// Limits and delays of attempts.
const (
	// maxRefusals is the number of attempts that servers may refuse without running
	// the request before it is rejected. Each refusal costs the caller the time of a
	// round trip.
	maxRefusals  = 6
	refusalDelay = 8 * time.Millisecond
	// responseMargin is subtracted from the caller's timeout, so that the response
	// reaches the caller in time.
	responseMargin = 15 * time.Millisecond
	// defaultTimeout applies if the caller states no timeout.
	defaultTimeout = 10 * time.Second
	// retryAfter replaces the retry delay of a rejection if it is missing or longer
	// than a second. A request to a plain service takes some ten milliseconds, so
	// capacity becomes available soon.
	retryAfter = 100 * time.Millisecond
	// attemptTimeShare is the share of the remaining time that an attempt gets if
	// another one may follow, but it gets at least minAttemptObjectives times the
	// route's latency objective.
	attemptTimeShare     = 0.45
	minAttemptObjectives = 1.5
)

// refusalStatuses guarantee that the request has not run.
var refusalStatuses = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// Config configures a Relay.
type Config struct {
	InForce   *inforce.Holder
	Dispatch  *dispatch.Dispatcher
	Forwarder rollout.Forwarder
	Origins   rollout.StreamOrigins
	// Peers serves requests while this VM reaches no backend server. It may be nil.
	Peers rollout.PeerForwarder
	// Incarnations confirms the servers that continue streams.
	Incarnations *incarnation.Checker
	// StopsAt returns when this VM ends and its connections with it, or the zero time while it
	// is not stopping. It may be nil.
	StopsAt func() time.Time
	// Revocation states how removed API keys are treated.
	Revocation tenancy.Policy
	// ConfigurationAge returns the time for which the configuration in force may have been
	// replaced unseen. It is only called if the configuration declares tenants.
	ConfigurationAge func() time.Duration
	// TenantLabels bounds the tenants in labels of metrics. It may be nil.
	TenantLabels *metrics.Labels
	// Usage counts the requests that servers began to run. It may be nil.
	Usage   rollout.UsageReceiver
	Logger  *event.Logger
	Metrics tally.Scope
}

// Relay forwards callers' requests to backend servers.
type Relay struct{ config Config }

// New returns a relay.
func New(c Config) *Relay { return &Relay{config: c} }

type servedRequest struct {
	relay   *Relay
	request rollout.ForwardedRequest
	// route is the route on which the request arrived.
	route       rollout.Route
	fingerprint request.Fingerprint
	// software is the software version that began the stream that the request resumes,
	// or nil if any server may run the request.
	software *rollout.SoftwareVersion
	start    time.Time
	// sentTo is the target of the last attempt.
	sentTo dispatch.Target
	// attemptsRun counts the attempts that ran or may have run, refusals the ones that
	// certainly did not run.
	attemptsRun int
	refusals    int
	// began is set once the request was counted as begun.
	began bool
	avoid []rollout.ServerName
	// waited is the time for which the request waited for servers.
	waited time.Duration
	// verdict is NotRun until an attempt may have run, then MayHaveRun.
	verdict rollout.Verdict
}

// Route returns the route for a request's host and target, which is the path with
// an optional query. It fails if no route matches or no configuration is in force.
func (r *Relay) Route(host, target string) (rollout.Route, error) {
	v, err := r.config.InForce.Require()
	if err != nil {
		return rollout.Route{}, err
	}
	path := pathOf(target)
	route, ok := v.Routes.Find(host, path)
	if !ok {
		return rollout.Route{}, rollout.Refuse(rollout.ReasonUnknownTarget, "no route of host %s matches path %s in configuration version %d", host, path, v.Routes.Version())
	}
	return route, nil
}

// Limits returns the limits for callers' requests. They are zero if no
// configuration with routes is in force.
func (r *Relay) Limits() rollout.CallerLimits {
	if v := r.config.InForce.Current(); v != nil && v.Routes != nil {
		return v.Routes.Limits()
	}
	return rollout.CallerLimits{}
}

// Serve forwards a request and returns the response. The timeout is the one that
// the caller states, or 0 if it states none; the route's timeout limits it. If the
// route streams, the caller of Serve must close the response's stream.
func (r *Relay) Serve(ctx context.Context, q rollout.ForwardedRequest, route rollout.Route, timeout time.Duration) (rollout.ForwardedResponse, error) {
	start := time.Now()
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	ctx, cancel := context.WithDeadline(ctx, start.Add(timeout-min(responseMargin, timeout/10)))
	defer func() {
		if !q.Streamed {
			cancel()
		}
	}()
	q.Streamed = route.Kind == rollout.RouteStream
	s := &servedRequest{
		relay: r, request: q, route: route, start: start, verdict: rollout.NotRun, began: q.Counted,
		fingerprint: request.Fingerprint(xxh3.HashString(q.Host+q.Target) ^ xxh3.Hash(q.Body)),
	}
	var response rollout.ForwardedResponse
	err := s.checkStop(start.Add(timeout))
	if err == nil {
		response, err = s.serve(ctx)
	}
	r.record(s, response, err)
	return response, err
}

// checkStop refuses a request that may be in progress when this VM ends: its caller would
// lose the response and, unless the request may be repeated, could not ask for it again.
func (s *servedRequest) checkStop(deadline time.Time) error {
	if s.relay.config.StopsAt == nil {
		return nil
	}
	if end := s.relay.config.StopsAt(); !end.IsZero() && deadline.After(end) {
		return s.refusal(rollout.Refuse(rollout.ReasonDraining, "the VM ends in %s, before the request's deadline", time.Until(end).Round(time.Millisecond)))
	}
	return nil
}

// currentRoute returns the request's route under a configuration, or the one on which the
// request arrived if that was removed since.
func (s *servedRequest) currentRoute(v *inforce.View) rollout.Route {
	if v != nil && v.Routes != nil {
		if route, ok := v.Routes.Find(s.request.Host, pathOf(s.request.Target)); ok {
			return route
		}
	}
	return s.route
}

// target returns the request's service or pool under a configuration. All attempts under
// the same routes have the same target.
func (s *servedRequest) target(v *inforce.View) dispatch.Target {
	return dispatch.TargetOf(v, routing.Choose(s.currentRoute(v), xxh3.HashString(s.request.ID)))
}

// pathOf returns the path of a request target.
func pathOf(target string) string {
	if u, err := url.ParseRequestURI(target); err == nil {
		return u.Path
	}
	return target
}

func (s *servedRequest) serve(ctx context.Context) (rollout.ForwardedResponse, error) {
	if s.relay.Isolated(ctx) {
		return s.serveIsolated(ctx)
	}
	if s.request.Streamed && s.request.Resumed {
		software, err := s.relay.config.Origins.Find(ctx, s.request.Resumes)
		if err != nil {
			return rollout.ForwardedResponse{}, s.refusal(err)
		}
		s.software = &software
	}
	for {
		queuedAt := time.Now()
		grant, err := s.relay.config.Dispatch.Acquire(ctx, s.newRequest(ctx))
		s.waited += time.Since(queuedAt)
		if err != nil {
			return rollout.ForwardedResponse{}, s.refusal(err)
		}
		s.sentTo = grant.Target()
		response, err := s.attempt(ctx, grant)
		if err == nil {
			if response.Status < 500 || !s.mayRetry(ctx) {
				return response, nil
			}
			s.avoid = append(s.avoid, grant.Server.Name)
			continue
		}
		if rollout.VerdictOf(err) == rollout.NotRun {
			s.refusals++
			s.avoid = append(s.avoid, grant.Server.Name)
			if s.refusals >= maxRefusals || ctx.Err() != nil {
				return rollout.ForwardedResponse{}, s.refusal(err)
			}
			if s.relay.Isolated(ctx) {
				return s.serveIsolated(ctx)
			}
			pause.For(ctx, refusalDelay)
			continue
		}
		s.verdict = rollout.MayHaveRun
		s.avoid = append(s.avoid, grant.Server.Name)
		if !s.mayRetry(ctx) {
			return rollout.ForwardedResponse{}, s.failure(ctx, err)
		}
		if s.relay.Isolated(ctx) {
			return s.serveIsolated(ctx)
		}
	}
}

// mayRetry reports whether a request that may have run can be sent to another
// server. The route in force may permit less than the one on which the request arrived.
func (s *servedRequest) mayRetry(ctx context.Context) bool {
	current := s.currentRoute(s.relay.config.InForce.Current())
	return s.route.Kind == rollout.RouteIdempotent && current.Kind == rollout.RouteIdempotent &&
		s.attemptsRun < min(s.maxAttempts(s.route), current.MaxAttempts) && ctx.Err() == nil
}

// maxAttempts returns the number of servers that the request may run on by a route.
func (s *servedRequest) maxAttempts(route rollout.Route) int {
	if s.request.MaxAttempts > 0 {
		return min(s.request.MaxAttempts, route.MaxAttempts)
	}
	return route.MaxAttempts
}

func (s *servedRequest) newRequest(ctx context.Context) dispatch.Request {
	deadline, _ := ctx.Deadline()
	class := rollout.ClassService
	queue, priority := s.route.Name, 0
	if v := s.relay.config.InForce.Current(); v != nil {
		if s.target(v).Pool != "" {
			class = rollout.ClassInteractive
		}
		route := s.currentRoute(v)
		queue, priority = v.Tenants.Queue(s.request.Tenant, route)
		if v.Tenants != nil {
			deadline = queueDeadline(time.Now(), deadline, route.Objective)
		}
	}
	return dispatch.Request{
		Resolve:      func(v *inforce.View) (dispatch.Target, error) { return s.target(v), nil },
		Requirements: placement.Requirements{Class: class, Avoid: s.avoid, Software: s.software, Bytes: len(s.request.Body)}, Tenant: queue, Priority: priority, Share: 1, Cost: 1,
		Deadline: deadline, Fingerprint: s.fingerprint,
	}
}

// queueDeadline returns until when a request may wait for a server. The item that has
// waited longest goes first at times, and without a reserve it would reach the server too
// late to be answered.
func queueDeadline(now, deadline time.Time, objective time.Duration) time.Time {
	return deadline.Add(-max(0, min(objective/2, deadline.Sub(now)/4)))
}

// attempt sends the request to one server and reports the outcome to the
// dispatcher, for a streamed response when the stream is closed.
func (s *servedRequest) attempt(ctx context.Context, grant *dispatch.Grant) (rollout.ForwardedResponse, error) {
	attemptCtx, cancel := s.withAttemptTimeout(ctx)
	start := time.Now()
	response, err := s.forward(attemptCtx, grant)
	result := dispatch.Result{}
	verdict := rollout.VerdictOf(err)
	switch {
	case err == nil:
		s.attemptsRun++
		result.SecondsPerUnit = time.Since(start).Seconds()
		result.Failed = response.Status >= 500
	case verdict == rollout.NotRun:
		result.Outcome = placement.RefusalOutcome(rollout.FailureOf(err))
		result.Failed = result.Failed && ctx.Err() == nil
	default:
		s.attemptsRun++
		result.Failed = ctx.Err() == nil
		result.ConnectionLost = attemptCtx.Err() == nil
	}
	if !s.request.Streamed && verdict != rollout.NotRun && !slices.Contains(refusalStatuses, response.Status) {
		s.countBegan(start)
	}
	if response.Stream != nil {
		if !s.request.Resumed {
			s.relay.config.Origins.Began(s.request.ID, grant.Server)
		}
		s.logStream(grant, start)
		response.Stream = &grantedStream{ResponseStream: response.Stream, ctx: attemptCtx, cancel: cancel, grant: grant, result: result, began: s.countBegan}
		return response, nil
	}
	cancel()
	grant.Done(result)
	return response, err
}

// countBegan counts the request as begun at a time, unless it was counted before. A request
// that continues a stream was counted when that began.
func (s *servedRequest) countBegan(at time.Time) {
	if s.began || s.request.Resumed || s.relay.config.Usage == nil {
		return
	}
	s.began = true
	s.relay.config.Usage.RequestBegan(s.request.Tenant, s.request.ID, at)
}

// forward sends the request to the granted server. A request that continues a stream is
// only sent to a server of a pool that confirms its incarnation.
func (s *servedRequest) forward(ctx context.Context, grant *dispatch.Grant) (rollout.ForwardedResponse, error) {
	if s.software != nil && grant.Target().Pool != "" && s.relay.config.Incarnations != nil {
		if err := s.relay.config.Incarnations.Confirm(ctx, grant.Server, s.request.ID); err != nil {
			return rollout.ForwardedResponse{}, err
		}
	}
	return s.relay.config.Forwarder.Forward(ctx, grant.Server, s.request)
}

// logStream logs the start of a stream whose attempt was sent at the given time.
func (s *servedRequest) logStream(grant *dispatch.Grant, sent time.Time) {
	s.relay.config.Logger.Write(event.StreamStarted, event.Fields{
		"Request": s.request.ID, "Route": s.route.Name, "Server": grant.Server.Name, "Software": grant.Server.Software, "Incarnation": grant.Server.Incarnation, "Resumed": s.request.Resumed, "Resumes": s.request.Resumes,
		"Waited": sent.Sub(s.start).Seconds(), "Took": time.Since(sent).Seconds(), "Refusals": s.refusals,
	})
}

// withAttemptTimeout returns the context of an attempt. If another attempt may
// follow, its timeout leaves time for that one, as far as minAttemptObjectives
// permits.
func (s *servedRequest) withAttemptTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok || s.route.Kind != rollout.RouteIdempotent || s.attemptsRun+1 >= s.maxAttempts(s.route) {
		return context.WithCancel(ctx)
	}
	remaining := time.Until(deadline)
	timeout := max(time.Duration(attemptTimeShare*float64(remaining)), time.Duration(minAttemptObjectives*float64(s.route.Objective)))
	return context.WithTimeout(ctx, min(remaining, timeout))
}

// grantedStream is a streamed response that returns its grant to the dispatcher
// when it is closed.
type grantedStream struct {
	rollout.ResponseStream
	// ctx ends when the caller leaves or the request's deadline passes.
	ctx    context.Context
	cancel context.CancelFunc
	grant  *dispatch.Grant
	result dispatch.Result
	// began is called with the time of the first bytes.
	began func(at time.Time)
}

// Read reads from the stream. A stream that breaks off counts against its server as a lost
// connection does before the first byte.
func (g *grantedStream) Read(data []byte) (int, error) {
	n, err := g.ResponseStream.Read(data)
	if n > 0 && g.began != nil {
		g.began(time.Now())
		g.began = nil
	}
	if err != nil && !errors.Is(err, io.EOF) && g.ctx.Err() == nil {
		g.result.Failed, g.result.ConnectionLost = true, true
	}
	return n, err
}

// Close closes the stream and returns the grant.
func (g *grantedStream) Close() error {
	err := g.ResponseStream.Close()
	g.cancel()
	g.grant.Done(g.result)
	return err
}

// refusal returns the failure of a request that no server accepted. Its verdict is
// NotRun only if no attempt may have run.
func (s *servedRequest) refusal(err error) error {
	f := *rollout.FailureOf(err)
	f.Verdict = s.verdict
	if s.attemptsRun > 0 {
		f.Verdict = rollout.MayHaveRun
	}
	// An overload states when capacity is available, such as the next permit of a server.
	if f.RetryAfter == 0 || f.RetryAfter > time.Second && f.Reason != rollout.ReasonOverloaded {
		f.RetryAfter = retryAfter
	}
	return &f
}

// failure returns the failure of a request whose last attempt may have run.
func (s *servedRequest) failure(ctx context.Context, err error) error {
	f := *rollout.FailureOf(err)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		f.Reason = rollout.ReasonDeadline
	}
	return &f
}

func (r *Relay) record(s *servedRequest, a rollout.ForwardedResponse, err error) {
	duration := time.Since(s.start)
	scope := r.config.Metrics.Tagged(map[string]string{"route": s.route.Name})
	if err != nil {
		scope.Counter("requests_failed").Inc(1)
	}
	scope.Histogram("request_seconds", metrics.LatencyBuckets).RecordDuration(duration)
	if s.request.Tenant != "" {
		r.recordTenant(s, duration, err)
	}
	fields := event.Fields{
		"Request": s.request.ID, "Route": s.route.Name, "Service": s.sentTo, "Attempts": s.attemptsRun, "Refusals": s.refusals,
		"Servers": s.avoid, "Took": duration.Round(time.Microsecond).String(),
	}
	if s.request.FromPeer {
		fields["FromPeer"] = true
	}
	if s.request.Tenant != "" {
		fields["Tenant"], fields["Waited"] = s.request.Tenant, s.waited.Seconds()
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
		r.config.Logger.Write(event.RequestIncomplete, fields)
	}
}
