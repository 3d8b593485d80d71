package relay_test

import (
	"context"
	"io"
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

// busyForwarder answers requests at all servers but "busy", which keeps its requests
// until they are canceled.
type busyForwarder struct {
	mu      sync.Mutex
	servers map[string]rollout.ServerName
	sent    chan string
}

func (f *busyForwarder) Forward(ctx context.Context, server rollout.Server, r rollout.ForwardedRequest) (rollout.ForwardedResponse, error) {
	f.mu.Lock()
	f.servers[r.ID] = server.Name
	f.mu.Unlock()
	f.sent <- r.ID
	if server.Name == "busy" {
		<-ctx.Done()
		return rollout.ForwardedResponse{}, rollout.Fail(rollout.MayHaveRun, rollout.ReasonDeadline, ctx.Err())
	}
	return ok, nil
}

// queuedView returns a configuration whose route leads to a service, with the servers of
// the services that are declared.
func queuedView(version rollout.ConfigurationVersion, route rollout.Route, services map[string][]rollout.Server) *inforce.View {
	v := &inforce.View{Version: version, Routes: routing.New(rollout.RouteTable{Version: version, Routes: []rollout.Route{route}})}
	for name, list := range services {
		v.Configuration.Services = append(v.Configuration.Services, rollout.Service{Name: rollout.ServiceName(name), MaxConcurrency: 1, Servers: list})
	}
	return v
}

// TestQueuedRequestIsDecidedAgain guards against requests that wait until their deadline
// for a service that their route no longer leads to or that has no servers left.
func TestQueuedRequestIsDecidedAgain(t *testing.T) {
	const timeout = 5 * time.Second
	route := func(service rollout.ServiceName) rollout.Route {
		return rollout.Route{Name: "r", Host: "h", Prefix: "/", Kind: rollout.RouteNonIdempotent, MaxAttempts: 2, Splits: []rollout.Split{{Service: service}}}
	}
	busy, free := []rollout.Server{{Name: "busy", Address: "127.0.0.1:1"}}, []rollout.Server{{Name: "free", Address: "127.0.0.1:2"}}
	leaving := []rollout.Server{{Name: "busy", Address: "127.0.0.1:1", Leaving: true}}
	for name, c := range map[string]struct {
		second *inforce.View
		// server serves the request; it is refused if this is empty.
		server rollout.ServerName
	}{
		"the route moves to another service": {queuedView(2, route("new"), map[string][]rollout.Server{"old": busy, "new": free}), "free"},
		"the service is removed":             {queuedView(2, route("new"), map[string][]rollout.Server{"new": free}), "free"},
		"the only server leaves":             {queuedView(2, route("old"), map[string][]rollout.Server{"old": leaving}), ""},
		"the only server is gone":            {queuedView(2, route("old"), map[string][]rollout.Server{"old": nil}), ""},
		"the route and its service are removed": {
			queuedView(2, rollout.Route{Name: "x", Host: "other", Prefix: "/", Splits: []rollout.Split{{Service: "new"}}}, map[string][]rollout.Server{"new": free}), "",
		},
	} {
		t.Run(name, func(t *testing.T) {
			log := logrus.New()
			log.SetOutput(io.Discard)
			logger := event.NewLogger(log)
			inForce := &inforce.Holder{}
			inForce.Set(queuedView(1, route("old"), map[string][]rollout.Server{"old": busy, "new": free}))
			d := dispatch.New(dispatch.Config{
				QueueSize: 64, Limits: fair.Limits{Items: 64, TenantItems: 64}, InForce: inForce, Logger: logger,
				Reachable: func(string) bool { return true }, Announce: func() {}, StartLimit: func(int) int { return 1 },
			})
			ctx, cancel := context.WithCancel(t.Context())
			var tasks sync.WaitGroup
			defer tasks.Wait()
			defer cancel()
			tasks.Go(func() { _ = d.Run(ctx) })
			f := &busyForwarder{servers: map[string]rollout.ServerName{}, sent: make(chan string, 8)}
			r := relay.New(relay.Config{InForce: inForce, Dispatch: d, Forwarder: f, Logger: logger, Metrics: tally.NoopScope})
			serve := func(id string) error {
				matched, err := r.Route("h", "/x")
				assert.NoError(t, "route", err)
				_, err = r.Serve(ctx, rollout.ForwardedRequest{ID: id, Method: "POST", Host: "h", Target: "/x"}, matched, timeout)
				return err
			}
			tasks.Go(func() { _ = serve("first") })
			assert.Equal(t, "request at the busy server", <-f.sent, "first")
			start, ended := time.Now(), make(chan error, 1)
			tasks.Go(func() { ended <- serve("second") })
			for queued := false; !queued; time.Sleep(time.Millisecond) {
				for _, v := range d.Views(ctx) {
					queued = queued || len(v.Queued) > 0
				}
			}
			inForce.Set(c.second)
			err := <-ended
			assert.AtMost(t, "milliseconds", time.Since(start).Milliseconds(), timeout.Milliseconds()/2)
			f.mu.Lock()
			assert.Equal(t, "server", f.servers["second"], c.server)
			f.mu.Unlock()
			if c.server == "" {
				assert.Equal(t, "verdict", rollout.VerdictOf(err), rollout.NotRun)
				assert.Equal(t, "reason", rollout.FailureOf(err).Reason, rollout.ReasonNoServer)
				return
			}
			assert.NoError(t, "serve", err)
		})
	}
}
