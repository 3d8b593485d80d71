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
	"lagoonlink.org/lagoonlink/internal/relay"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/fair"
	"lagoonlink.org/rollout/routing"
)

// outcomes of a server that the tests script.
var (
	ok       = rollout.ForwardedAnswer{Status: 200, Body: []byte("ok")}
	failed   = rollout.ForwardedAnswer{Status: 500, Body: []byte("oops")}
	refused  = rollout.Refuse(rollout.ReasonServerRefused, "full")
	broken   = rollout.Fail(rollout.MayHaveRun, rollout.ReasonTruncated, io.ErrUnexpectedEOF)
	unopened = rollout.Fail(rollout.NotRun, rollout.ReasonServerFailed, errors.New("no connection"))
)

// scripted answers the attempts of a request in turn; nil hangs.
type scripted struct {
	mu      sync.Mutex
	script  []any
	servers []rollout.ServerName
}

func (s *scripted) Forward(ctx context.Context, server rollout.Server, _ rollout.ForwardedRequest) (rollout.ForwardedAnswer, error) {
	s.mu.Lock()
	step := s.script[min(len(s.servers), len(s.script)-1)]
	s.servers = append(s.servers, server.Name)
	s.mu.Unlock()
	switch step := step.(type) {
	case rollout.ForwardedAnswer:
		return step, nil
	case *rollout.Failure:
		return rollout.ForwardedAnswer{}, step
	}
	<-ctx.Done()
	return rollout.ForwardedAnswer{}, rollout.Fail(rollout.MayHaveRun, rollout.ReasonDeadline, ctx.Err())
}

// serve runs one request of a route against a script.
func serve(t *testing.T, kind rollout.RouteKind, wait time.Duration, script ...any) (rollout.ForwardedAnswer, *scripted, error) {
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
		Ring: 64, Limits: fair.Limits{Items: 64, TenantItems: 64}, InForce: inForce, Logger: logger,
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
	// The dispatcher knows the service once its desks are declared.
	for d.Views(ctx) == nil {
		time.Sleep(time.Millisecond)
	}
	f := &scripted{script: script}
	r := relay.New(relay.Config{InForce: inForce, Dispatch: d, Forwarder: f, Logger: logger, Metrics: tally.NoopScope})
	found, err := r.Route("h", "/x")
	assert.NoError(t, "route", err)
	answer, err := r.Serve(ctx, rollout.ForwardedRequest{ID: "1", Method: "POST", Host: "h", Target: "/x"}, found, wait)
	return answer, f, err
}

func TestAttempts(t *testing.T) {
	for name, c := range map[string]struct {
		kind     rollout.RouteKind
		script   []any
		status   int
		verdict  rollout.Verdict
		attempts int
	}{
		"served":                              {rollout.RouteIdempotent, []any{ok}, 200, rollout.Ran, 1},
		"refused unrun, then served":          {rollout.RouteIdempotent, []any{refused, unopened, ok}, 200, rollout.Ran, 3},
		"refused unrun, not idempotent":       {rollout.RouteOnce, []any{refused, ok}, 200, rollout.Ran, 2},
		"refused by all":                      {rollout.RouteIdempotent, []any{refused}, 0, rollout.NotRun, 6},
		"broken, then served":                 {rollout.RouteIdempotent, []any{broken, ok}, 200, rollout.Ran, 2},
		"broken on as many as may be":         {rollout.RouteIdempotent, []any{broken}, 0, rollout.MayHaveRun, 2},
		"broken, not idempotent":              {rollout.RouteOnce, []any{broken, ok}, 0, rollout.MayHaveRun, 1},
		"refused after it may have run":       {rollout.RouteIdempotent, []any{broken, refused}, 0, rollout.MayHaveRun, 6},
		"failed by the server, then served":   {rollout.RouteIdempotent, []any{failed, ok}, 200, rollout.Ran, 2},
		"failed by the server, passed on":     {rollout.RouteIdempotent, []any{failed}, 500, rollout.Ran, 2},
		"failed, not idempotent, passed on":   {rollout.RouteOnce, []any{failed, ok}, 500, rollout.Ran, 1},
		"silent, then served by another":      {rollout.RouteIdempotent, []any{nil, ok}, 200, rollout.Ran, 2},
		"silent, not idempotent, out of time": {rollout.RouteOnce, []any{nil}, 0, rollout.MayHaveRun, 1},
	} {
		t.Run(name, func(t *testing.T) {
			answer, f, err := serve(t, c.kind, 400*time.Millisecond, c.script...)
			assert.Equal(t, "status", answer.Status, c.status)
			if c.verdict != rollout.Ran {
				assert.Equal(t, "verdict", rollout.VerdictOf(err), c.verdict)
			}
			assert.Equal(t, "attempts", len(f.servers), c.attempts)
			if len(f.servers) > 1 {
				assert.True(t, "another server", f.servers[0] != f.servers[1])
			}
		})
	}
}

func TestDeadline(t *testing.T) {
	begun := time.Now()
	_, _, err := serve(t, rollout.RouteOnce, 120*time.Millisecond, nil)
	assert.Equal(t, "reason", rollout.FailureOf(err).Reason, rollout.ReasonDeadline)
	assert.AtMost(t, "time", time.Since(begun).Milliseconds(), 400)
}

func TestNoConfiguration(t *testing.T) {
	r := relay.New(relay.Config{InForce: &inforce.Holder{}})
	_, err := r.Route("h", "/x")
	assert.Equal(t, "reason", rollout.FailureOf(err).Reason, rollout.ReasonNoConfiguration)
	assert.Equal(t, "verdict", rollout.VerdictOf(err), rollout.NotRun)
}
