package relay_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"lagoonlink.org/lagoonlink/internal/dispatch"
	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/inforce"
	"lagoonlink.org/lagoonlink/internal/origins"
	"lagoonlink.org/lagoonlink/internal/relay"
	"lagoonlink.org/lagoonlink/internal/standin"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/fair"
	"lagoonlink.org/rollout/routing"
)

// Outcomes of attempts that tests put into a scriptedForwarder's script.
var (
	ok             = rollout.ForwardedResponse{Status: 200, Body: []byte("ok")}
	status500      = rollout.ForwardedResponse{Status: 500, Body: []byte("oops")}
	refused        = rollout.Refuse(rollout.ReasonServerRefused, "full")
	connectionLost = rollout.Fail(rollout.MayHaveRun, rollout.ReasonTruncated, io.ErrUnexpectedEOF)
	notConnected   = rollout.Fail(rollout.NotRun, rollout.ReasonServerFailed, errors.New("no connection"))
)

// scriptedForwarder returns the outcomes of its script in turn, the last one
// repeatedly, and records the servers. A nil outcome blocks until the context ends.
type scriptedForwarder struct {
	mu      sync.Mutex
	script  []any
	servers []rollout.ServerName
	// began holds the tenants of the requests that were counted, sentAt the times of their
	// attempts.
	began  []string
	sentAt []time.Time
}

// RequestBegan implements rollout.UsageReceiver.
func (f *scriptedForwarder) RequestBegan(tenant, _ string, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.began, f.sentAt = append(f.began, tenant), append(f.sentAt, at)
}

func (f *scriptedForwarder) Forward(ctx context.Context, server rollout.Server, _ rollout.ForwardedRequest) (rollout.ForwardedResponse, error) {
	f.mu.Lock()
	outcome := f.script[min(len(f.servers), len(f.script)-1)]
	f.servers = append(f.servers, server.Name)
	f.mu.Unlock()
	switch outcome := outcome.(type) {
	case rollout.ForwardedResponse:
		return outcome, nil
	case *rollout.Failure:
		return rollout.ForwardedResponse{}, outcome
	}
	<-ctx.Done()
	return rollout.ForwardedResponse{}, rollout.Fail(rollout.MayHaveRun, rollout.ReasonDeadline, ctx.Err())
}

// serve serves one request on a route of the given kind with scripted outcomes.
func serve(t *testing.T, kind rollout.RouteKind, timeout time.Duration, script ...any) (rollout.ForwardedResponse, *scriptedForwarder, error) {
	t.Helper()
	return serveUntil(t, nil, kind, timeout, script...)
}

// serveUntil is serve on a VM that ends at a time.
func serveUntil(t *testing.T, stopsAt func() time.Time, kind rollout.RouteKind, timeout time.Duration, script ...any) (rollout.ForwardedResponse, *scriptedForwarder, error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, "listen", err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	logger := event.NewLogger(log)
	route := rollout.Route{Name: "r", Host: "h", Prefix: "/", Kind: kind, Objective: 20 * time.Millisecond, MaxAttempts: 2, Splits: []rollout.Split{{Service: "s"}}}
	service := rollout.Service{Name: "s", MaxConcurrency: 4}
	for n := range 6 {
		service.Servers = append(service.Servers, rollout.Server{Name: rollout.ServerName(fmt.Sprint("s", n)), Address: listener.Addr().String()})
	}
	inForce := &inforce.Holder{}
	inForce.Set(&inforce.View{Version: 1, Configuration: rollout.Configuration{Services: []rollout.Service{service}}, Routes: routing.New(rollout.RouteTable{Routes: []rollout.Route{route}})})
	d := dispatch.New(dispatch.Config{
		QueueSize: 64, Limits: fair.Limits{Items: 64, TenantItems: 64}, InForce: inForce, Logger: logger,
		Reachable: func(string) bool { return true }, Announce: func() {},
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = d.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
		assert.NoError(t, "close", listener.Close())
	})
	// Views returns nil until the dispatcher has applied the configuration.
	for d.Views(ctx) == nil {
		time.Sleep(time.Millisecond)
	}
	f := &scriptedForwarder{script: script}
	r := relay.New(relay.Config{
		InForce: inForce, Dispatch: d, Forwarder: f, Usage: f, StopsAt: stopsAt, Logger: logger, Metrics: tally.NoopScope,
		Origins: origins.New(origins.Config{Journal: standin.NewStore(1).ForVM("a"), Logger: logger}),
	})
	matched, err := r.Route("h", "/x")
	assert.NoError(t, "route", err)
	response, err := r.Serve(ctx, rollout.ForwardedRequest{ID: "1", Method: "POST", Host: "h", Target: "/x", Tenant: "x"}, matched, timeout)
	return response, f, err
}

func TestAttempts(t *testing.T) {
	for name, c := range map[string]struct {
		kind     rollout.RouteKind
		script   []any
		status   int
		verdict  rollout.Verdict
		attempts int
	}{
		"served":                            {rollout.RouteIdempotent, []any{ok}, 200, rollout.Ran, 1},
		"refused, then served":              {rollout.RouteIdempotent, []any{refused, notConnected, ok}, 200, rollout.Ran, 3},
		"refused, not idempotent":           {rollout.RouteNonIdempotent, []any{refused, ok}, 200, rollout.Ran, 2},
		"refused until maxRefusals":         {rollout.RouteIdempotent, []any{refused}, 0, rollout.NotRun, 6},
		"connection lost, then served":      {rollout.RouteIdempotent, []any{connectionLost, ok}, 200, rollout.Ran, 2},
		"connection lost until MaxAttempts": {rollout.RouteIdempotent, []any{connectionLost}, 0, rollout.MayHaveRun, 2},
		"connection lost, not idempotent":   {rollout.RouteNonIdempotent, []any{connectionLost, ok}, 0, rollout.MayHaveRun, 1},
		"refused after it may have run":     {rollout.RouteIdempotent, []any{connectionLost, refused}, 0, rollout.MayHaveRun, 6},
		"status 500, then served":           {rollout.RouteIdempotent, []any{status500, ok}, 200, rollout.Ran, 2},
		"status 500 until MaxAttempts":      {rollout.RouteIdempotent, []any{status500}, 500, rollout.Ran, 2},
		"status 500, not idempotent":        {rollout.RouteNonIdempotent, []any{status500, ok}, 500, rollout.Ran, 1},
		"no response, then served":          {rollout.RouteIdempotent, []any{nil, ok}, 200, rollout.Ran, 2},
		"no response, not idempotent":       {rollout.RouteNonIdempotent, []any{nil}, 0, rollout.MayHaveRun, 1},
	} {
		t.Run(name, func(t *testing.T) {
			response, f, err := serve(t, c.kind, 400*time.Millisecond, c.script...)
			assert.Equal(t, "status", response.Status, c.status)
			if c.verdict != rollout.Ran {
				assert.Equal(t, "verdict", rollout.VerdictOf(err), c.verdict)
			}
			assert.Equal(t, "attempts", len(f.servers), c.attempts)
			if len(f.servers) > 1 {
				assert.True(t, "the second attempt uses another server", f.servers[0] != f.servers[1])
			}
		})
	}
}

func TestDeadline(t *testing.T) {
	start := time.Now()
	_, _, err := serve(t, rollout.RouteNonIdempotent, 120*time.Millisecond, nil)
	assert.Equal(t, "reason", rollout.FailureOf(err).Reason, rollout.ReasonDeadline)
	assert.AtMost(t, "milliseconds", time.Since(start).Milliseconds(), 400)
}

func TestNoConfiguration(t *testing.T) {
	r := relay.New(relay.Config{InForce: &inforce.Holder{}})
	_, err := r.Route("h", "/x")
	assert.Equal(t, "reason", rollout.FailureOf(err).Reason, rollout.ReasonNoConfiguration)
	assert.Equal(t, "verdict", rollout.VerdictOf(err), rollout.NotRun)
}

// TestStoppingVMRefusesWhatMayOutlastIt guards against requests that are cut without an answer
// at the end of a planned stop, among them some that may not be repeated.
func TestStoppingVMRefusesWhatMayOutlastIt(t *testing.T) {
	for name, c := range map[string]struct {
		stopsIn, timeout time.Duration
		served           bool
	}{
		"not stopping":         {0, 5 * time.Second, true},
		"ends before the stop": {5 * time.Second, time.Second, true},
		"may outlast the stop": {time.Second, 5 * time.Second, false},
		"has no deadline":      {time.Second, 0, false},
		"the grace is over":    {-time.Second, time.Second, false},
	} {
		for _, kind := range []rollout.RouteKind{rollout.RouteIdempotent, rollout.RouteNonIdempotent} {
			t.Run(name, func(t *testing.T) {
				stopsAt := func() time.Time {
					if c.stopsIn == 0 {
						return time.Time{}
					}
					return time.Now().Add(c.stopsIn)
				}
				response, f, err := serveUntil(t, stopsAt, kind, c.timeout, ok)
				if c.served {
					assert.NoError(t, "serve", err)
					assert.Equal(t, "status", response.Status, 200)
					return
				}
				assert.Equal(t, "verdict", rollout.VerdictOf(err), rollout.NotRun)
				assert.Equal(t, "attempts", len(f.servers), 0)
			})
		}
	}
}
