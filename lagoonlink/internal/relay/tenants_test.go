package relay_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
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
	"lagoonlink.org/rollout/tenancy"
)

// orderForwarder records the tenants in the order in which their requests reach a server.
// The first request waits until it is released.
type orderForwarder struct {
	mu      sync.Mutex
	tenants []string
	started chan struct{}
	release chan struct{}
}

func (f *orderForwarder) Forward(_ context.Context, _ rollout.Server, r rollout.ForwardedRequest) (rollout.ForwardedResponse, error) {
	f.mu.Lock()
	f.tenants = append(f.tenants, r.Tenant)
	first := len(f.tenants) == 1
	f.mu.Unlock()
	if first {
		close(f.started)
		<-f.release
	}
	return ok, nil
}

// TestQueuesOfTenants guards against a tenant that waits for all requests of another one,
// and against priorities that have no effect. A single server takes one request at a time.
func TestQueuesOfTenants(t *testing.T) {
	var log syncBuilder
	text := logrus.New()
	text.SetOutput(&log)
	logger := event.NewLogger(text)
	hash := func(key string) []rollout.KeyHash {
		h, _ := tenancy.HashKey(key)
		return []rollout.KeyHash{h}
	}
	high := 0
	route := rollout.Route{Name: "r", Host: "h", Prefix: "/", Kind: rollout.RouteNonIdempotent, Priority: 2, MaxAttempts: 1, Splits: []rollout.Split{{Service: "s"}}}
	v := queuedView(1, route, map[string][]rollout.Server{"s": {{Name: "s", Address: "127.0.0.1:1"}}})
	v.Tenants = tenancy.New(rollout.RouteTable{Version: 1, Tenants: []rollout.Tenant{
		{Name: "large", Keys: hash("key-large")}, {Name: "small", Keys: hash("key-small")}, {Name: "urgent", Keys: hash("key-urgent"), Priority: &high},
	}})
	inForce := &inforce.Holder{}
	inForce.Set(v)
	d := dispatch.New(dispatch.Config{
		QueueSize: 64, Limits: fair.Limits{Items: 64, TenantItems: 64}, InForce: inForce, Logger: logger,
		Reachable: func(string) bool { return true }, Announce: func() {}, StartLimit: func(int) int { return 1 },
	})
	ctx, cancel := context.WithCancel(t.Context())
	var tasks, requests sync.WaitGroup
	defer tasks.Wait()
	defer cancel()
	tasks.Go(func() { _ = d.Run(ctx) })
	f := &orderForwarder{started: make(chan struct{}), release: make(chan struct{})}
	r := relay.New(relay.Config{
		InForce: inForce, Dispatch: d, Forwarder: f, Logger: logger, Metrics: tally.NoopScope,
		ConfigurationAge: func() time.Duration { return 0 },
	})
	serve := func(tenant string) {
		caller, err := r.Authenticate("r-"+tenant, route, []string{"key-" + tenant})
		assert.NoError(t, "authenticate", err)
		requests.Go(func() {
			_, err := r.Serve(ctx, rollout.ForwardedRequest{ID: "r-" + tenant, Method: "POST", Host: "h", Target: "/x", Tenant: caller.Tenant}, route, 10*time.Second)
			assert.NoError(t, "serve "+tenant, err)
		})
	}
	serve("large")
	<-f.started
	for n, tenant := range []string{"large", "large", "large", "large", "small", "urgent"} {
		serve(tenant)
		awaitQueued(t, d, n+1)
	}
	close(f.release)
	requests.Wait()
	assert.Equal(t, "first after the one in progress", f.tenants[1], "urgent")
	assert.True(t, fmt.Sprint("the small tenant doesn't wait for all of the large one: ", f.tenants), slices.Index(f.tenants, "small") <= 3)
	_, err := r.Authenticate("r-unknown", route, []string{"key-unknown"})
	assert.Equal(t, "reason for an unknown key", rollout.FailureOf(err).Reason, rollout.ReasonUnauthorized)
	assert.True(t, "the refusal is logged", strings.Contains(log.String(), "Request=r-unknown"))
	assert.True(t, "no key in the log", !strings.Contains(log.String(), "key-"))
}

// awaitQueued waits until a number of requests are queued.
func awaitQueued(t *testing.T, d *dispatch.Dispatcher, want int) {
	t.Helper()
	got := -1
	for end := time.Now().Add(10 * time.Second); got != want && time.Now().Before(end); time.Sleep(time.Millisecond) {
		got = 0
		for _, v := range d.Views(t.Context()) {
			for _, n := range v.Queued {
				got += n
			}
		}
	}
	assert.Equal(t, "queued requests", got, want)
}

// syncBuilder is a strings.Builder that is safe for concurrent use.
type syncBuilder struct {
	mu sync.Mutex
	b  strings.Builder
}

func (s *syncBuilder) Write(data []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(data)
}

func (s *syncBuilder) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}
