package dispatch_test

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"lagoonlink.org/lagoonlink/internal/dispatch"
	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/inforce"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/fair"
	"lagoonlink.org/rollout/placement"
	"lagoonlink.org/rollout/request"
)

var target = dispatch.Target{Pool: "p"}

// start runs a dispatcher for a pool with the given servers.
func start(t *testing.T, servers ...rollout.ServerName) (*dispatch.Dispatcher, *inforce.Holder, context.CancelFunc) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	inForce := &inforce.Holder{}
	inForce.Set(view(1, servers...))
	d := dispatch.New(dispatch.Config{
		QueueSize: 64, Limits: fair.Limits{Items: 64, TenantItems: 64}, InForce: inForce, Logger: event.NewLogger(log),
		Reachable: func(string) bool { return false }, Announce: func() {},
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
	})
	return d, inForce, cancel
}

func view(version rollout.ConfigurationVersion, servers ...rollout.ServerName) *inforce.View {
	pool := rollout.Pool{Name: "p", Models: []rollout.ModelName{"m"}, MaxConcurrency: 4}
	for _, s := range servers {
		pool.Servers = append(pool.Servers, rollout.Server{Name: s, Address: string(s)})
	}
	return &inforce.View{Version: version, Configuration: rollout.Configuration{Pools: []rollout.Pool{pool}}}
}

func newRequest(oldest rollout.WeightVersion, f request.Fingerprint) dispatch.Request {
	return dispatch.Request{Target: target, Requirements: placement.Requirements{Class: rollout.ClassRollout, Model: "m", MinVersion: oldest}, Tenant: "t", Cost: 1, Fingerprint: f}
}

func acquire(t *testing.T, d *dispatch.Dispatcher, a dispatch.Request, wait time.Duration) (*dispatch.Grant, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	return d.Acquire(ctx, a)
}

// TestReportOfNewServer guards against losing the load report of a server that a
// pending configuration change declares, after which requests would go to a
// server whose weights are too old. Both the change and the report are pending
// when Run starts. Select chooses between them at random, so the test repeats
// with many dispatchers.
func TestReportOfNewServer(t *testing.T) {
	for range 40 {
		log := logrus.New()
		log.SetOutput(io.Discard)
		inForce := &inforce.Holder{}
		d := dispatch.New(dispatch.Config{
			QueueSize: 64, Limits: fair.Limits{Items: 64, TenantItems: 64}, InForce: inForce, Logger: event.NewLogger(log),
			Reachable: func(string) bool { return false }, Announce: func() {},
		})
		inForce.Set(view(1, "a"))
		d.UpdateLoad("p", "a", rollout.LoadReport{Loaded: map[rollout.ModelName]rollout.WeightVersion{"m": 1}})
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = d.Run(ctx)
		}()
		d.Views(ctx)
		_, err := acquire(t, d, newRequest(2, 0), 5*time.Millisecond)
		assert.True(t, "no grant for weights that are too old", err != nil)
		cancel()
		<-ended
	}
}

// TestAbandonReleasesSlots abandons granted and queued tickets and checks that the
// server's slots become free again.
func TestAbandonReleasesSlots(t *testing.T) {
	d, _, _ := start(t, "a")
	var tickets []*dispatch.Ticket
	for range 9 {
		ticket, err := d.Enqueue(newRequest(0, 0))
		assert.NoError(t, "enqueue", err)
		tickets = append(tickets, ticket)
	}
	d.Views(context.Background())
	for _, ticket := range tickets {
		ticket.Abandon()
	}
	for range 4 {
		_, err := acquire(t, d, newRequest(0, 0), 5*time.Second)
		assert.NoError(t, "acquire a slot of an abandoned ticket", err)
	}
}

// TestWaitAfterRunReturns checks that waiting for a ticket fails with ReasonDraining
// once Run has returned, instead of blocking.
func TestWaitAfterRunReturns(t *testing.T) {
	d, _, cancel := start(t, "a")
	d.UpdateLoad("p", "a", rollout.LoadReport{Loaded: map[rollout.ModelName]rollout.WeightVersion{"m": 1}})
	ticket, err := d.Enqueue(newRequest(2, 0))
	assert.NoError(t, "enqueue", err)
	cancel()
	ctx, done := context.WithTimeout(context.Background(), 10*time.Second)
	defer done()
	_, err = ticket.Wait(ctx)
	assert.Equal(t, "reason", rollout.FailureOf(err).Reason, rollout.ReasonDraining)
}

// TestSuspectsRunApart crashes a server with several requests in flight and
// checks that they are then granted at most one per server, on several servers at
// the same time.
func TestSuspectsRunApart(t *testing.T) {
	d, _, _ := start(t, "a", "b", "c")
	var grants []*dispatch.Grant
	for f := range request.Fingerprint(12) {
		g, err := acquire(t, d, newRequest(0, f+1), time.Second)
		assert.NoError(t, "grant", err)
		grants = append(grants, g)
	}
	for _, g := range grants {
		g.Done(dispatch.Result{ConnectionLost: g.Server.Name == "a", Outcome: placement.Outcome{Failed: g.Server.Name == "a"}})
	}
	used := map[rollout.ServerName]int{}
	for f, g := range grants {
		if g.Server.Name != "a" {
			continue
		}
		again, err := acquire(t, d, newRequest(0, request.Fingerprint(f+1)), 100*time.Millisecond)
		if err == nil {
			used[again.Server.Name]++
		}
	}
	assert.True(t, "several run at the same time", len(used) > 1)
	for name, n := range used {
		assert.Equal(t, "suspects on "+string(name), n, 1)
	}
}

// TestDeferredRequestsAreNotRefused checks that a request which is owed is granted after
// several servers crashed while they ran it, whereas another one is refused.
func TestDeferredRequestsAreNotRefused(t *testing.T) {
	for name, deferred := range map[string]bool{"deferred": true, "of a caller": false} {
		t.Run(name, func(t *testing.T) {
			d, _, _ := start(t, "a", "b", "c")
			req := newRequest(0, 7)
			req.Deferred = deferred
			var err error
			for range 6 {
				var g *dispatch.Grant
				if g, err = acquire(t, d, req, 5*time.Second); err != nil {
					break
				}
				g.Done(dispatch.Result{ConnectionLost: true, Outcome: placement.Outcome{Failed: true}})
			}
			if deferred {
				assert.NoError(t, "grants", err)
				return
			}
			assert.Equal(t, "reason", rollout.FailureOf(err).Reason, rollout.ReasonSuspect)
		})
	}
}

// TestSamplesAreNoSuspects guards against samples that run one at a time on each server because
// a server was lost while it ran them.
func TestSamplesAreNoSuspects(t *testing.T) {
	d, _, _ := start(t, "a", "b")
	sample := func(f request.Fingerprint) dispatch.Request {
		req := newRequest(0, f)
		req.Deferred, req.Harmless = true, true
		return req
	}
	grants := map[request.Fingerprint]*dispatch.Grant{}
	for f := range request.Fingerprint(8) {
		g, err := acquire(t, d, sample(f), time.Second)
		assert.NoError(t, "grant", err)
		grants[f] = g
	}
	var lost []request.Fingerprint
	for f, g := range grants {
		if g.Server.Name == "a" {
			lost = append(lost, f)
			g.Done(dispatch.Result{ConnectionLost: true, Outcome: placement.Outcome{Failed: true}})
			continue
		}
		g.Done(dispatch.Result{Outcome: placement.Outcome{SecondsPerUnit: 0.01}})
	}
	assert.Equal(t, "lost samples", len(lost), 4)
	assert.Equal(t, "suspicions", len(d.Suspicions()), 0)
	// Another VM may run an older build, which suspects them.
	d.MergeSuspicions([]request.SharedSuspicion{{Fingerprint: lost[0], Crashes: 2, Convicted: true}, {Fingerprint: lost[1], Crashes: 1}})
	for _, f := range lost {
		_, err := acquire(t, d, sample(f), time.Second)
		assert.NoError(t, "grant beside the others", err)
	}
}

// TestRequestsForSomeServersAreRefused guards against requests that may use only some of the
// servers and wait for weights that none of these has or loads.
func TestRequestsForSomeServersAreRefused(t *testing.T) {
	software := rollout.SoftwareVersion("v1")
	loaded := func(v rollout.WeightVersion) rollout.LoadReport {
		return rollout.LoadReport{Loaded: map[rollout.ModelName]rollout.WeightVersion{"m": v}}
	}
	for name, c := range map[string]struct {
		restrict func(*placement.Requirements)
		// a and b are the reports of the servers, of which the request may use b alone.
		a, b    rollout.LoadReport
		refused bool
	}{
		"none of its software version has them": {func(r *placement.Requirements) { r.Software = &software }, loaded(2), loaded(1), true},
		"all that have them are avoided":        {func(r *placement.Requirements) { r.Avoid = []rollout.ServerName{"a"} }, loaded(2), loaded(1), true},
		"one of its software version has them":  {func(r *placement.Requirements) { r.Software = &software }, loaded(1), loaded(2), false},
		"one loads them":                        {func(r *placement.Requirements) { r.Software = &software }, loaded(2), rollout.LoadReport{Loaded: map[rollout.ModelName]rollout.WeightVersion{}}, false},
		"no server has them":                    {func(*placement.Requirements) {}, loaded(1), loaded(1), false},
	} {
		t.Run(name, func(t *testing.T) {
			d, inForce, _ := start(t)
			v := view(2, "a", "b")
			v.Configuration.Pools[0].Servers[0].Software, v.Configuration.Pools[0].Servers[1].Software = "v2", software
			inForce.Set(v)
			d.UpdateLoad("p", "a", c.a)
			// The request is queued before the weights of its server are known.
			d.UpdateLoad("p", "b", rollout.LoadReport{Loaded: map[rollout.ModelName]rollout.WeightVersion{}})
			r := newRequest(2, 0)
			c.restrict(&r.Requirements)
			queued, err := d.Enqueue(r)
			assert.NoError(t, "enqueue", err)
			d.Views(t.Context())
			d.UpdateLoad("p", "b", c.b)
			timeout := 5 * time.Second
			if !c.refused {
				timeout = 300 * time.Millisecond
			}
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			_, err = queued.Wait(ctx)
			assert.Equal(t, "the queued request is refused", rollout.FailureOf(err).Reason == rollout.ReasonNoServer, c.refused)
			_, err = acquire(t, d, r, timeout)
			assert.Equal(t, "the next one is refused", rollout.FailureOf(err).Reason == rollout.ReasonNoServer, c.refused)
		})
	}
}

// TestWaitForSoftwareVersionEnds guards against requests that wait for a busy server of their
// software version while servers of another one are idle.
func TestWaitForSoftwareVersionEnds(t *testing.T) {
	software := rollout.SoftwareVersion("v1")
	d, inForce, _ := start(t)
	v := view(2, "a", "b")
	v.Configuration.Pools[0].Servers[0].Software, v.Configuration.Pools[0].Servers[1].Software = "v2", software
	inForce.Set(v)
	fill := func() (granted []*dispatch.Grant) {
		for {
			r := newRequest(0, 0)
			r.Immediate = true
			g, err := acquire(t, d, r, 5*time.Second)
			if err != nil {
				return granted
			}
			granted = append(granted, g)
		}
	}
	granted := fill()
	r := newRequest(0, 0)
	r.Requirements.Software, r.SoftwareDeadline = &software, time.Now().Add(20*time.Millisecond)
	waits, err := d.Enqueue(r)
	assert.NoError(t, "enqueue", err)
	_, err = acquire(t, d, r, 200*time.Millisecond)
	assert.Equal(t, "ends while all servers are busy", rollout.FailureOf(err).Reason, rollout.ReasonDeadline)
	for _, g := range granted {
		if g.Server.Name == "a" {
			g.Done(dispatch.Result{})
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, err = waits.Wait(ctx)
	assert.Equal(t, "ends when another server is free", rollout.FailureOf(err).Reason, rollout.ReasonNoServer)
	r.SoftwareDeadline = time.Time{}
	_, err = acquire(t, d, r, 200*time.Millisecond)
	assert.Equal(t, "ends without a deadline for its software version", rollout.FailureOf(err).Reason, rollout.ReasonDeadline)
}

// TestRequestsThatWaitLongAreLogged checks that the log tells what a request waits for.
func TestRequestsThatWaitLongAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines bytes.Buffer
		log := logrus.New()
		log.SetOutput(&lines)
		log.SetFormatter(&logrus.JSONFormatter{})
		inForce := &inforce.Holder{}
		inForce.Set(view(1, "a", "b"))
		d := dispatch.New(dispatch.Config{QueueSize: 64, Limits: fair.Limits{Items: 64, TenantItems: 64}, InForce: inForce, Logger: event.NewLogger(log)})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = d.Run(ctx)
		}()
		d.UpdateLoad("p", "a", rollout.LoadReport{Leaving: true})
		d.UpdateLoad("p", "b", rollout.LoadReport{Loaded: map[rollout.ModelName]rollout.WeightVersion{"m": 1}})
		_, err := acquire(t, d, newRequest(2, 0), 4*time.Second)
		assert.Equal(t, "the request is not granted", rollout.FailureOf(err).Reason, rollout.ReasonDeadline)
		cancel()
		<-ended
		assert.Equal(t, "lines", strings.Count(lines.String(), "\"Event\":738"), 3)
		for _, part := range []string{`"Tenant":"t"`, `"MinVersion":2`, `"Leaving":1`, `"OlderWeights":1`, `"None":0`} {
			assert.True(t, "a line states "+part, strings.Contains(lines.String(), part))
		}
	})
}
