package forwarding_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"lagoonlink.org/lagoonlink/internal/admission"
	"lagoonlink.org/lagoonlink/internal/directory"
	"lagoonlink.org/lagoonlink/internal/dispatch"
	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/forwarding"
	"lagoonlink.org/lagoonlink/internal/inforce"
	"lagoonlink.org/lagoonlink/internal/origins"
	"lagoonlink.org/lagoonlink/internal/reach"
	"lagoonlink.org/lagoonlink/internal/relay"
	"lagoonlink.org/lagoonlink/internal/standin"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/fair"
	"lagoonlink.org/rollout/httpclient"
	"lagoonlink.org/rollout/memory"
	"lagoonlink.org/rollout/routing"
)

// Ways in which a VM reaches no server.
const (
	connected int32 = iota
	refused
	hanging
)

// site is a deployment with VMs and servers, whose paths can be cut.
type site struct {
	store   *standin.Store
	servers []rollout.Server
	logger  *event.Logger

	mu sync.Mutex
	// runs counts the runs of each request, canceled those whose caller left.
	runs     map[string]int
	canceled map[string]bool
	// deadlines holds the deadline with which each request was last sent to a server.
	deadlines map[string]time.Time
	// handle replaces the servers' handler.
	handle http.HandlerFunc
	// memoryBytes is the memory of the VMs that are started.
	memoryBytes int64
}

func newSite(t *testing.T) *site {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &site{store: standin.NewStore(1), logger: event.NewLogger(log), runs: map[string]int{}, canceled: map[string]bool{}, deadlines: map[string]time.Time{}, memoryBytes: 64 << 20}
	for n := range 3 {
		server := httptest.NewServer(http.HandlerFunc(s.serve))
		t.Cleanup(server.Close)
		s.servers = append(s.servers, rollout.Server{Name: rollout.ServerName(fmt.Sprint("s", n)), Zone: "z", Address: server.Listener.Addr().String()})
	}
	return s
}

func (s *site) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Id")
	s.mu.Lock()
	s.runs[id]++
	handle := s.handle
	s.mu.Unlock()
	if handle != nil {
		handle(w, r)
	} else {
		body, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.RequestURI, body)
	}
	if r.Context().Err() != nil {
		s.mu.Lock()
		s.canceled[id] = true
		s.mu.Unlock()
	}
}

func (s *site) setHandler(h http.HandlerFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handle = h
}

func (s *site) runsOf(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// sent records the deadline with which a request is sent to a server.
func (s *site) sent(id string, deadline time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadlines[id] = deadline
}

func (s *site) deadlineOf(id string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.deadlines[id]
}

func (s *site) wasCanceled(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.canceled[id]
}

// paths forwards requests to servers unless the VM is cut off from them.
type paths struct {
	site   *site
	client *httpclient.Client
	state  atomic.Int32
}

func (p *paths) Forward(ctx context.Context, s rollout.Server, r rollout.ForwardedRequest) (rollout.ForwardedResponse, error) {
	if deadline, ok := ctx.Deadline(); ok {
		p.site.sent(r.ID, deadline)
	}
	switch p.state.Load() {
	case refused:
		return rollout.ForwardedResponse{}, rollout.Fail(rollout.NotRun, rollout.ReasonServerFailed, errors.New("connection refused"))
	case hanging:
		<-ctx.Done()
		return rollout.ForwardedResponse{}, rollout.Fail(rollout.MayHaveRun, rollout.ReasonDeadline, ctx.Err())
	}
	request, err := httpclient.NewRequest(ctx, r.Method, "http://"+s.Address+r.Target, r.Body)
	if err != nil {
		return rollout.ForwardedResponse{}, err
	}
	request.Header.Set("Id", r.ID)
	response, err := p.client.Do(request)
	if err != nil {
		return rollout.ForwardedResponse{}, err
	}
	if r.Streamed {
		return rollout.ForwardedResponse{Status: response.StatusCode, Stream: response.Body}, nil
	}
	defer response.Body.Close()
	body, err := p.client.ReadBody(response.Body, 1<<20)
	return rollout.ForwardedResponse{Status: response.StatusCode, Body: body}, err
}

func (p *paths) probe(context.Context, string) bool { return p.state.Load() == connected }

// vm is an entry VM of a site.
type vm struct {
	*paths
	relay   *relay.Relay
	inForce *inforce.Holder
	server  *forwarding.Server
	store   *standin.Client
	route   rollout.Route
	address string
	stop    context.CancelFunc
}

// startVM starts a VM that knows the routes in a version of the configuration.
func (s *site) startVM(t *testing.T, name string, kind rollout.RouteKind, version rollout.ConfigurationVersion) *vm {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, "listen", err)
	address := l.Addr().String()
	assert.NoError(t, "close", l.Close())
	v := &vm{paths: &paths{site: s, client: httpclient.New(httpclient.Config{MaxBufferedBytes: 1 << 20})}, inForce: &inforce.Holder{}, store: s.store.ForVM(rollout.VMName(name)), address: address}
	v.route = rollout.Route{Name: "r", Host: "h", Prefix: "/", Kind: kind, Objective: 50 * time.Millisecond, MaxAttempts: 2, Splits: []rollout.Split{{Service: "s"}}}
	v.inForce.Set(&inforce.View{
		Version: 1, Configuration: rollout.Configuration{Services: []rollout.Service{{Name: "s", Servers: s.servers, MaxConcurrency: 8}}},
		Routes: routing.New(rollout.RouteTable{Version: version, Routes: []rollout.Route{v.route}}),
	})
	d := dispatch.New(dispatch.Config{
		QueueSize: 64, Limits: fair.Limits{Items: 64, TenantItems: 64}, InForce: v.inForce, Logger: s.logger,
		Reachable: func(string) bool { return true }, Announce: func() {},
	})
	w := reach.New(reach.Config{Zone: "z", InForce: v.inForce, Probe: v.probe, Forwarder: v.paths, Logger: s.logger, Metrics: tally.NoopScope})
	dir := directory.New(directory.Config{
		VM: rollout.VMName(name), Zone: "z", Address: address, Journal: v.store, Reaches: func() bool { return !w.IsolatedNow() }, Changed: w.Watch(), Logger: s.logger,
	})
	v.relay = relay.New(relay.Config{
		InForce: v.inForce, Dispatch: d, Forwarder: w, Logger: s.logger, Metrics: tally.NoopScope,
		Origins: origins.New(origins.Config{Journal: v.store, Logger: s.logger}),
		Peers:   forwarding.NewClient(forwarding.ClientConfig{Zone: "z", HTTP: v.client, Reach: w, Directory: dir}),
	})
	admit := admission.New(admission.Config{Limits: memory.Derive(s.memoryBytes, 1000), Logger: s.logger, Metrics: tally.NoopScope})
	v.server = forwarding.NewServer(forwarding.ServerConfig{Address: address, InForce: v.inForce, Requests: v.relay, Admission: admit})
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	v.stop = sync.OnceFunc(func() {
		cancel()
		_ = v.server.Close()
		tasks.Wait()
	})
	t.Cleanup(v.stop)
	announced := len(s.store.Records(announcements))
	for _, task := range []func(context.Context) error{d.Run, w.Run, dir.Run, v.server.Serve} {
		tasks.Go(func() { _ = task(ctx) })
	}
	for d.Views(ctx) == nil || len(s.store.Records(announcements)) == announced {
		time.Sleep(time.Millisecond)
	}
	awaitListening(t, address)
	return v
}

var announcements = rollout.Partition{Topic: directory.Topic}

func awaitListening(t *testing.T, address string) {
	t.Helper()
	for !httpclient.Connects(t.Context(), address) {
		time.Sleep(time.Millisecond)
	}
}

// call sends a request with a small body to the VM.
func (v *vm) call(ctx context.Context, id string, timeout time.Duration) (rollout.ForwardedResponse, error) {
	return v.send(ctx, id, []byte("body of "+id), timeout)
}

func (v *vm) send(ctx context.Context, id string, body []byte, timeout time.Duration) (rollout.ForwardedResponse, error) {
	return v.relay.Serve(ctx, rollout.ForwardedRequest{ID: id, Method: "POST", Host: "h", Target: "/x?y=1", Body: body}, v.route, timeout)
}
