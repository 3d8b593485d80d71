package attempt_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"lagoonlink.org/lagoonlink/internal/attempt"
	"lagoonlink.org/lagoonlink/internal/dispatch"
	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/inforce"
	"lagoonlink.org/lagoonlink/internal/reach"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/fair"
	"lagoonlink.org/rollout/httpclient"
	"lagoonlink.org/rollout/isolation"
	"lagoonlink.org/rollout/placement"
)

// Ways in which a VM reaches no server.
const (
	connected int32 = iota
	refused
	hanging
)

// site is a deployment with VMs and servers.
type site struct {
	logger *event.Logger
	// serve runs a request at a server; next delays each piece of a generation.
	serve func(ctx context.Context, server string) (rollout.CallResponse, error)
	next  func(ctx context.Context, piece int) error

	mu   sync.Mutex
	vms  []*vm
	runs map[string]int
	// orders are those that engines took, fence the highest token that they saw.
	orders []string
	fence  rollout.Offset
	// deadlines holds the deadline of each request at its server.
	deadlines map[string]time.Time
}

func newSite() *site {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &site{logger: event.NewLogger(log), runs: map[string]int{}, deadlines: map[string]time.Time{}}
}

func (s *site) runsOf(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

func (s *site) ran(ctx context.Context, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
	s.deadlines[id], _ = ctx.Deadline()
}

// vm is an entry VM. It is the engine and the service that its requests reach.
type vm struct {
	site     *site
	name     rollout.VMName
	state    atomic.Int32
	http     *httptest.Server
	dispatch *dispatch.Dispatcher
	reach    *reach.Watcher
	inForce  *inforce.Holder
	maker    *attempt.Maker
	control  *attempt.Control
	server   *attempt.Server
	asked    atomic.Int64
}

// startVM starts a VM whose configuration has a version.
func (s *site) startVM(t *testing.T, name string, version rollout.ConfigurationVersion) *vm {
	t.Helper()
	v := &vm{site: s, name: rollout.VMName(name), inForce: &inforce.Holder{}}
	servers := []rollout.Server{{Name: "s0", Zone: "z", Address: "s0"}, {Name: "s1", Zone: "z", Address: "s1"}}
	v.inForce.Set(&inforce.View{Version: version, Configuration: rollout.Configuration{
		Pools:    []rollout.Pool{{Name: "p", Models: []rollout.ModelName{"m"}, MaxConcurrency: 8, Servers: servers}},
		Services: []rollout.Service{{Name: "s", MaxConcurrency: 8, Timeout: 5 * time.Second, Servers: servers}},
		Callers:  []rollout.Caller{{Name: "c", Share: 1, Pools: []rollout.PoolName{"p"}, Services: []rollout.ServiceName{"s"}, TokenHash: inforce.HashToken(token)}},
		Trainers: []rollout.Trainer{{Name: "t", Pool: "p", Model: "m", Zone: "z", Share: 1, MaxVersionsBehind: 9, StepDeadline: time.Minute, TokenHash: inforce.HashToken(token)}},
	}})
	v.dispatch = dispatch.New(dispatch.Config{
		QueueSize: 64, Limits: fair.Limits{Items: 64, TenantItems: 64}, InForce: v.inForce, Logger: s.logger,
		Reachable: func(string) bool { return true }, Announce: func() {},
	})
	v.reach = reach.New(reach.Config{Zone: "z", InForce: v.inForce, Probe: func(context.Context, string) bool { return v.state.Load() == connected }, Logger: s.logger, Metrics: tally.NoopScope})
	peers := attempt.NewClient(attempt.ClientConfig{
		Zone: "z", VMs: func() []isolation.Peer { return s.others(v) }, HTTP: httpclient.New(httpclient.Config{ConnectTimeout: time.Second, MaxIdlePerServer: 8, MaxBufferedBytes: 64 << 20}),
		Authorize: func(*http.Request, string) {}, Silence: time.Second, InForce: v.inForce, Logger: s.logger, Metrics: tally.NoopScope,
	})
	v.maker = attempt.NewMaker(attempt.Config{Dispatch: v.dispatch, Engine: v, Service: v, Reach: v.reach, Peers: peers})
	v.control = attempt.NewControl(attempt.ControlConfig{Engine: v, Reach: v.reach, Peers: peers, InForce: v.inForce})
	v.server = attempt.NewServer(attempt.ServerConfig{Maker: v.maker, Control: v.control, InForce: v.inForce, IsolatedNow: v.reach.IsolatedNow, MaxBytes: 4 << 20})
	v.http = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		v.asked.Add(1)
		v.server.ServeHTTP(w, r)
	}))
	s.add(v)
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	t.Cleanup(func() {
		v.http.CloseClientConnections()
		v.http.Close()
		cancel()
		tasks.Wait()
	})
	for _, task := range []func(context.Context) error{v.dispatch.Run, v.reach.Run} {
		tasks.Go(func() { _ = task(ctx) })
	}
	for v.dispatch.Views(ctx) == nil {
		time.Sleep(time.Millisecond)
	}
	return v
}

func (s *site) add(v *vm) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = append(s.vms, v)
}

func (s *site) others(v *vm) []isolation.Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []isolation.Peer
	for _, o := range s.vms {
		if o != v {
			out = append(out, isolation.Peer{VM: o.name, Zone: "z", Address: o.http.Listener.Addr().String()})
		}
	}
	return out
}

// path fails unless the VM reaches servers.
func (v *vm) path(ctx context.Context) error {
	switch v.state.Load() {
	case refused:
		return rollout.Fail(rollout.NotRun, rollout.ReasonServerFailed, errors.New("connection refused"))
	case hanging:
		select {
		case <-ctx.Done():
		case <-time.After(200 * time.Millisecond):
		}
		return rollout.Fail(rollout.MayHaveRun, rollout.ReasonServerFailed, errors.New("no response"))
	}
	return nil
}

// Call implements rollout.ServiceCaller.
func (v *vm) Call(ctx context.Context, address string, c rollout.Call) (rollout.CallResponse, error) {
	if err := v.path(ctx); err != nil {
		return rollout.CallResponse{}, err
	}
	v.site.ran(ctx, c.ID)
	if v.site.serve != nil {
		return v.site.serve(ctx, address)
	}
	return rollout.CallResponse{Status: 201, ContentType: "text/plain", Body: []byte(c.Method + c.Path + string(c.Body))}, nil
}

// Generate implements rollout.Engine.
func (v *vm) Generate(ctx context.Context, _ string, g rollout.Generation) (rollout.PieceReader, error) {
	if err := v.path(ctx); err != nil {
		return nil, err
	}
	v.site.ran(ctx, g.ID)
	return &pieces{ctx: ctx, site: v.site, text: g.Prior + g.Prompt}, nil
}

// Load implements rollout.Engine.
func (v *vm) Load(ctx context.Context, _ string) (rollout.LoadReport, error) {
	return rollout.LoadReport{Running: 7}, v.path(ctx)
}

// Order implements rollout.Engine. An engine refuses fencing tokens below the highest one.
func (v *vm) Order(ctx context.Context, address string, o rollout.Order) error {
	if err := v.path(ctx); err != nil {
		return err
	}
	v.site.mu.Lock()
	defer v.site.mu.Unlock()
	if o.Fence < v.site.fence {
		return rollout.Refuse(rollout.ReasonServerRefused, "a higher fencing token was seen")
	}
	v.site.fence = o.Fence
	v.site.orders = append(v.site.orders, fmt.Sprint(address, " ", o.Model, " ", o.Version))
	return nil
}

// pieces generates three pieces of one token.
type pieces struct {
	ctx  context.Context
	site *site
	text string
	n    int
}

func (p *pieces) Next() (rollout.Piece, error) {
	if p.n == 3 {
		return rollout.Piece{}, io.EOF
	}
	p.n++
	if p.site.next != nil {
		if err := p.site.next(p.ctx, p.n); err != nil {
			return rollout.Piece{}, err
		}
	}
	piece := rollout.Piece{Text: fmt.Sprint(p.text, p.n), Tokens: 1, Version: rollout.WeightVersion(p.n)}
	if p.n == 3 {
		piece.Finish = "stop"
	}
	return piece, nil
}

func (*pieces) Close() error { return nil }

// call makes one attempt at a call.
func (v *vm) call(ctx context.Context, id string, body []byte) (rollout.CallResponse, *attempt.Attempt, error) {
	a, err := v.maker.Begin(ctx, dispatch.Request{Target: dispatch.Target{Service: "s"}, Tenant: "t", Share: 1})
	if err != nil {
		return rollout.CallResponse{}, nil, err
	}
	response, err := a.Call(ctx, rollout.Call{ID: id, Method: "PUT", Path: "/x?y=1", Body: body})
	a.End(ctx, err)
	return response, a, err
}

// generate makes one attempt at a generation and returns its text.
func (v *vm) generate(ctx context.Context, id string) (string, error) {
	a, err := v.maker.Begin(ctx, dispatch.Request{Target: dispatch.Target{Pool: "p"}, Requirements: placement.Requirements{Class: rollout.ClassRollout, Model: "m"}, Tenant: "t", Share: 1})
	if err != nil {
		return "", err
	}
	text, err := readAll(ctx, a, id)
	a.End(ctx, err)
	return text, err
}

func readAll(ctx context.Context, a *attempt.Attempt, id string) (string, error) {
	r, err := a.Generate(ctx, rollout.Generation{ID: id, Model: "m", Prompt: "b", Prior: "a"})
	if err != nil {
		return "", err
	}
	defer r.Close()
	var text strings.Builder
	for {
		p, err := r.Next()
		if errors.Is(err, io.EOF) {
			return text.String(), nil
		}
		if err != nil {
			return text.String(), err
		}
		fmt.Fprintf(&text, "%s/%d ", p.Text, p.Version)
	}
}

// isolate cuts a VM off and waits until it has noticed.
func (v *vm) isolate(t *testing.T, state int32) {
	t.Helper()
	v.state.Store(state)
	for end := time.Now().Add(5 * time.Second); !v.reach.Isolated(t.Context()); {
		if time.Now().After(end) {
			t.Fatal("the VM doesn't notice that it reaches no server")
		}
		_, _, _ = v.call(t.Context(), "notice", nil)
	}
}

// awaitIdle waits until no server is at work on a request of the VM any more.
func (v *vm) awaitIdle(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(500 * time.Millisecond); v.server.Active() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the VM is still at work half a second later")
		}
	}
}

var _ rollout.Engine = (*vm)(nil)

func assertNotRun(t *testing.T, err error, want rollout.Reason) {
	t.Helper()
	assert.Equal(t, "verdict", rollout.VerdictOf(err), rollout.NotRun)
	assert.Equal(t, "reason", rollout.FailureOf(err).Reason, want)
}
