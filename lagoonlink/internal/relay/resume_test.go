package relay_test

import (
	"context"
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
	"lagoonlink.org/lagoonlink/internal/incarnation"
	"lagoonlink.org/lagoonlink/internal/inforce"
	"lagoonlink.org/lagoonlink/internal/origins"
	"lagoonlink.org/lagoonlink/internal/relay"
	"lagoonlink.org/lagoonlink/internal/standin"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/fair"
	"lagoonlink.org/rollout/routing"
)

// streamForwarder answers each request with a stream and returns the software version of
// the server in the body.
type streamForwarder struct {
	mu sync.Mutex
	// sent counts the requests of each server.
	sent map[rollout.ServerName]int
}

func (f *streamForwarder) reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent = map[rollout.ServerName]int{}
}

func (f *streamForwarder) count(s rollout.ServerName) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sent[s]
}

func (f *streamForwarder) Forward(_ context.Context, server rollout.Server, _ rollout.ForwardedRequest) (rollout.ForwardedResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent[server.Name]++
	return rollout.ForwardedResponse{Status: 200, Stream: io.NopCloser(strings.NewReader(string(server.Software)))}, nil
}

var streamRoute = rollout.Route{Name: "r", Host: "h", Prefix: "/", Kind: rollout.RouteStream, Resumable: true, MaxAttempts: 3, Splits: []rollout.Split{{Service: "s"}}}

// streamVM is one VM in front of servers that answer with streams.
type streamVM struct {
	relay     *relay.Relay
	dispatch  *dispatch.Dispatcher
	inForce   *inforce.Holder
	forwarder *streamForwarder
	control   *incarnations
	stop      func()
}

// startStreamVM starts a VM in front of servers of the given software versions, two of
// each.
func startStreamVM(t *testing.T, store *standin.Store, name rollout.VMName, versions ...rollout.SoftwareVersion) *streamVM {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	logger := event.NewLogger(log)
	v := &streamVM{inForce: &inforce.Holder{}, forwarder: &streamForwarder{sent: map[rollout.ServerName]int{}}, control: &incarnations{}}
	v.setServers(1, versions...)
	d := dispatch.New(dispatch.Config{
		QueueSize: 64, Limits: fair.Limits{Items: 64, TenantItems: 64}, InForce: v.inForce, Logger: logger,
		Reachable: func(string) bool { return true }, Announce: func() {},
	})
	v.dispatch = d
	registry := origins.New(origins.Config{Journal: store.ForVM(name), Logger: logger})
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for _, task := range []func(context.Context) error{d.Run, registry.Publish, registry.Follow} {
		group.Go(func() { _ = task(ctx) })
	}
	v.stop = sync.OnceFunc(func() {
		cancel()
		group.Wait()
	})
	t.Cleanup(v.stop)
	for d.Views(ctx) == nil {
		time.Sleep(time.Millisecond)
	}
	v.relay = relay.New(relay.Config{
		InForce: v.inForce, Dispatch: d, Forwarder: v.forwarder, Origins: registry, Logger: logger, Metrics: tally.NoopScope,
		Incarnations: incarnation.New(incarnation.Config{Control: v.control, Logger: logger}),
	})
	return v
}

func (v *streamVM) setServers(version rollout.ConfigurationVersion, software ...rollout.SoftwareVersion) {
	pool := rollout.Pool{Name: "s", Models: []rollout.ModelName{"m"}, MaxConcurrency: 4}
	for _, s := range software {
		for n := range 2 {
			pool.Servers = append(pool.Servers, rollout.Server{Name: rollout.ServerName(fmt.Sprint(s, n)), Address: "127.0.0.1:1", Software: s, Incarnation: 1})
		}
	}
	v.inForce.Set(&inforce.View{Version: version, Configuration: rollout.Configuration{Pools: []rollout.Pool{pool}}, Routes: routing.New(rollout.RouteTable{Routes: []rollout.Route{streamRoute}})})
}

// stream sends a request and returns the software version that answered it. If resumes is
// not empty, the request continues the stream of that request.
func (v *streamVM) stream(t *testing.T, id, resumes string) (string, error) {
	t.Helper()
	response, err := v.relay.Serve(t.Context(), rollout.ForwardedRequest{
		ID: id, Method: "POST", Host: "h", Target: "/x", Resumed: resumes != "", Resumes: resumes,
	}, streamRoute, time.Second)
	if err != nil {
		return "", err
	}
	data, err := io.ReadAll(response.Stream)
	assert.NoError(t, "read", err)
	return string(data), response.Stream.Close()
}

// TestTakenUpStreamsStayAtTheirSoftwareVersion guards against streams that hold events of
// two software versions, when callers take them up at VMs that didn't begin them.
func TestTakenUpStreamsStayAtTheirSoftwareVersion(t *testing.T) {
	store := standin.NewStore(1)
	a := startStreamVM(t, store, "a", "v1", "v2")
	b := startStreamVM(t, store, "b", "v1", "v2")
	began := map[string]string{}
	for n := range 20 {
		id := fmt.Sprint("r", n)
		got, err := a.stream(t, id, "")
		assert.NoError(t, "begin", err)
		began[id] = got
	}
	resume := func(t *testing.T, v *streamVM) {
		t.Helper()
		for id, want := range began {
			got, err := v.stream(t, id+"-again", id)
			assert.NoError(t, "resume", err)
			assert.Equal(t, "software version", got, want)
		}
	}
	t.Run("at the same VM", func(t *testing.T) { resume(t, a) })
	// The journal gets the origins a moment after the streams began.
	for len(store.Records(rollout.Partition{Topic: "streams"})) == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond)
	t.Run("at another VM", func(t *testing.T) { resume(t, b) })
	a.stop()
	b.stop()
	c := startStreamVM(t, store, "c", "v1", "v2")
	t.Run("after all VMs were restarted", func(t *testing.T) { resume(t, c) })
	t.Run("after the servers of one version left", func(t *testing.T) {
		c.setServers(2, "v2")
		for id, v := range began {
			got, err := c.stream(t, id+"-late", id)
			if v == "v2" {
				assert.Equal(t, "software version", got, v)
				continue
			}
			assert.Equal(t, "verdict", rollout.VerdictOf(err), rollout.NotRun)
			assert.Equal(t, "reason", rollout.FailureOf(err).Reason, rollout.ReasonNoServer)
		}
	})
}

func TestStreamsOfUnknownOriginAreRefused(t *testing.T) {
	for name, down := range map[string]bool{"the journal doesn't know it": false, "the journal is away": true} {
		t.Run(name, func(t *testing.T) {
			store := standin.NewStore(1)
			store.SetDown("a", down)
			v := startStreamVM(t, store, "a", "v1", "v2")
			for _, resumes := range []string{"never-seen", " "} {
				_, err := v.stream(t, "r", resumes)
				assert.Equal(t, "verdict", rollout.VerdictOf(err), rollout.NotRun)
				assert.Equal(t, "reason", rollout.FailureOf(err).Reason, rollout.ReasonOriginUnknown)
			}
			_, err := v.stream(t, "new", "")
			assert.NoError(t, "a new stream", err)
		})
	}
}

// TestRetryAfterOfLimitedServers checks that a caller whose request doesn't fit into the
// servers' limits is told at once when it will.
func TestRetryAfterOfLimitedServers(t *testing.T) {
	v := startStreamVM(t, standin.NewStore(1), "a", "v1")
	for _, s := range []rollout.ServerName{"v10", "v11"} {
		v.dispatch.SetRateLimit(s, 0.1)
		v.dispatch.AddPermits(s, nil, time.Now().Add(5*time.Second))
	}
	start := time.Now()
	_, err := v.stream(t, "r", "")
	f := rollout.FailureOf(err)
	assert.Equal(t, "verdict", f.Verdict, rollout.NotRun)
	assert.Equal(t, "reason", f.Reason, rollout.ReasonOverloaded)
	assert.True(t, "Retry-After is the time of the next permit", f.RetryAfter > 4*time.Second && f.RetryAfter <= 5*time.Second)
	assert.AtMost(t, "milliseconds until the refusal", time.Since(start).Milliseconds(), 300)
}
