package relay_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
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

// breakingForwarder answers with streams. Those of requests whose body is "poison" break
// off with err after their first bytes.
type breakingForwarder struct {
	err  error
	mu   sync.Mutex
	sent map[string]int
}

func (f *breakingForwarder) Forward(_ context.Context, _ rollout.Server, r rollout.ForwardedRequest) (rollout.ForwardedResponse, error) {
	f.mu.Lock()
	f.sent[string(r.Body)]++
	f.mu.Unlock()
	body := io.Reader(strings.NewReader("data: a\n\n"))
	if string(r.Body) == "poison" {
		body = io.MultiReader(body, failingReader{f.err})
	}
	return rollout.ForwardedResponse{Status: 200, Stream: io.NopCloser(body)}, nil
}

type failingReader struct{ err error }

func (f failingReader) Read([]byte) (int, error) { return 0, f.err }

// TestStreamThatCrashesItsServers guards against a request that crashes each server whose
// stream it reads, and is sent to a further one every time that it comes again.
func TestStreamThatCrashesItsServers(t *testing.T) {
	const requests = 12
	for name, c := range map[string]struct {
		err       error
		reachable bool
		// most is the number of servers that the request may reach.
		most int
	}{
		"the servers crash":              {errors.New("connection reset"), false, 3},
		"only the connections are reset": {errors.New("connection reset"), true, requests},
		"the streams end whole":          {io.EOF, false, requests},
	} {
		t.Run(name, func(t *testing.T) {
			log := logrus.New()
			log.SetOutput(io.Discard)
			logger, inForce := event.NewLogger(log), &inforce.Holder{}
			pool := rollout.Pool{Name: "s", Models: []rollout.ModelName{"m"}, MaxConcurrency: 8}
			for n := range 2 * requests {
				pool.Servers = append(pool.Servers, rollout.Server{Name: rollout.ServerName(fmt.Sprint("s", n)), Address: "127.0.0.1:1", Software: "v1"})
			}
			inForce.Set(&inforce.View{Version: 1, Configuration: rollout.Configuration{Pools: []rollout.Pool{pool}}, Routes: routing.New(rollout.RouteTable{Routes: []rollout.Route{streamRoute}})})
			d := dispatch.New(dispatch.Config{
				QueueSize: 64, Limits: fair.Limits{Items: 64, TenantItems: 64}, InForce: inForce, Logger: logger,
				Reachable: func(string) bool { return c.reachable }, Announce: func() {},
			})
			ctx, cancel := context.WithCancel(t.Context())
			var tasks sync.WaitGroup
			defer tasks.Wait()
			defer cancel()
			tasks.Go(func() { _ = d.Run(ctx) })
			f := &breakingForwarder{err: c.err, sent: map[string]int{}}
			r := relay.New(relay.Config{
				InForce: inForce, Dispatch: d, Forwarder: f, Logger: logger, Metrics: tally.NoopScope,
				Origins: origins.New(origins.Config{Journal: standin.NewStore(1).ForVM("a"), Logger: logger}),
			})
			for n := range requests {
				for _, body := range []string{"poison", fmt.Sprint("sound", n)} {
					response, err := r.Serve(ctx, rollout.ForwardedRequest{ID: fmt.Sprint(body, n), Method: "POST", Host: "h", Target: "/x", Body: []byte(body)}, streamRoute, time.Second)
					if err != nil {
						assert.Equal(t, "body of a refused request", body, "poison")
						assert.Equal(t, "reason", rollout.FailureOf(err).Reason, rollout.ReasonSuspect)
						continue
					}
					_, _ = io.ReadAll(response.Stream)
					assert.NoError(t, "close", response.Stream.Close())
				}
			}
			assert.AtMost(t, "servers that the request reached", f.sent["poison"], c.most)
			if c.most == requests {
				assert.Equal(t, "servers that the request reached", f.sent["poison"], requests)
			}
		})
	}
}
