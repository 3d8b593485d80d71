package attempt_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
)

// TestIsolatedVMsMakeAttemptsThroughOthers guards against VMs of the own face whose callers and
// trainers get nothing while other VMs reach the servers.
func TestIsolatedVMsMakeAttemptsThroughOthers(t *testing.T) {
	for name, state := range map[string]int32{"connections are refused": refused, "connections hang": hanging} {
		t.Run(name, func(t *testing.T) {
			s := newSite()
			a, b := s.startVM(t, "a", 1), s.startVM(t, "b", 1)
			a.isolate(t, state)
			for n := range 8 {
				id := fmt.Sprint("call", n)
				response, begun, err := a.call(t.Context(), id, []byte("body"))
				assert.NoError(t, "call", err)
				assert.Equal(t, "response", fmt.Sprint(response.Status, response.ContentType, string(response.Body)), "201text/plainPUT/x?y=1body")
				assert.True(t, "the server is known", begun.Server() != "")
				assert.Equal(t, "runs", s.runsOf(id), 1)
				text, err := a.generate(t.Context(), fmt.Sprint("sample", n))
				assert.NoError(t, "generate", err)
				assert.Equal(t, "text", text, "ab1/1 ab2/2 ab3/3 ")
			}
			assert.True(t, "b was asked", b.asked.Load() > 0)
			a.state.Store(connected)
			time.Sleep(600 * time.Millisecond)
			assert.True(t, "reaches servers", !a.reach.Isolated(t.Context()))
		})
	}
}

// TestOneHopOnly guards against attempts that VMs pass on to each other while none of them
// reaches a server.
func TestOneHopOnly(t *testing.T) {
	s := newSite()
	a, b := s.startVM(t, "a", 1), s.startVM(t, "b", 1)
	a.isolate(t, refused)
	// b doesn't know yet that it is cut off, then it does.
	b.state.Store(refused)
	for n := range 4 {
		start := time.Now()
		_, err := a.generate(t.Context(), fmt.Sprint(n))
		assert.Equal(t, "verdict", rollout.VerdictOf(err), rollout.NotRun)
		assert.AtMost(t, "milliseconds", time.Since(start).Milliseconds(), 500)
	}
	b.isolate(t, refused)
	asked := a.asked.Load()
	start := time.Now()
	_, begun, err := a.call(t.Context(), "last", nil)
	assertNotRun(t, err, rollout.ReasonNoServer)
	assert.True(t, "refused", begun.Refused())
	assert.Equal(t, "retry delay", rollout.FailureOf(err).RetryAfter, time.Second)
	assert.AtMost(t, "milliseconds", time.Since(start).Milliseconds(), 300)
	assert.Equal(t, "attempts passed back", a.asked.Load(), asked)
}

func TestVerdictsOfAttempts(t *testing.T) {
	for name, c := range map[string]struct {
		version rollout.ConfigurationVersion
		serve   error
		prepare func(b *vm)
		verdict rollout.Verdict
		reason  rollout.Reason
		// begun reports whether a server was involved.
		begun bool
	}{
		"the server refuses":                      {1, rollout.Refuse(rollout.ReasonServerRefused, "full"), nil, rollout.NotRun, rollout.ReasonServerRefused, true},
		"the server breaks off":                   {1, rollout.Fail(rollout.MayHaveRun, rollout.ReasonTruncated, errors.New("end")), nil, rollout.MayHaveRun, rollout.ReasonTruncated, true},
		"the other VM is stopping":                {1, nil, func(b *vm) { b.server.Leave() }, rollout.NotRun, rollout.ReasonNoServer, false},
		"the other VM has an older configuration": {0, nil, nil, rollout.NotRun, rollout.ReasonConfigurationOutdated, false},
		"the other VM is cut off":                 {1, nil, func(b *vm) { b.state.Store(refused) }, rollout.NotRun, rollout.ReasonServerFailed, true},
		"the other VM is gone":                    {1, nil, func(b *vm) { b.http.Close() }, rollout.NotRun, rollout.ReasonNoServer, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite()
			s.serve = func(context.Context, string) (rollout.CallResponse, error) {
				return rollout.CallResponse{}, c.serve
			}
			a, b := s.startVM(t, "a", 1), s.startVM(t, "b", c.version)
			a.isolate(t, refused)
			if c.prepare != nil {
				c.prepare(b)
			}
			// What a knew of b before is out of date then.
			time.Sleep(600 * time.Millisecond)
			_, begun, err := a.call(t.Context(), "id", nil)
			assert.Equal(t, "verdict", rollout.VerdictOf(err), c.verdict)
			assert.Equal(t, "reason", rollout.FailureOf(err).Reason, c.reason)
			assert.Equal(t, "server is known", begun.Server() != "", c.begun)
			assert.Equal(t, "refused", begun.Refused(), !c.begun)
		})
	}
}

// TestLostVMs guards against attempts that count as not run, or as complete, although they were
// lost with the VM that made them.
func TestLostVMs(t *testing.T) {
	s := newSite()
	a, b := s.startVM(t, "a", 1), s.startVM(t, "b", 1)
	a.isolate(t, refused)
	s.serve = func(context.Context, string) (rollout.CallResponse, error) {
		b.http.CloseClientConnections()
		return rollout.CallResponse{Status: 200}, nil
	}
	_, begun, err := a.call(t.Context(), "call", nil)
	assert.Equal(t, "verdict", rollout.VerdictOf(err), rollout.MayHaveRun)
	assert.True(t, "counts as begun", !begun.Refused())
	s.next = func(_ context.Context, piece int) error {
		if piece == 3 {
			b.http.CloseClientConnections()
		}
		return nil
	}
	text, err := a.generate(t.Context(), "sample")
	assert.Equal(t, "verdict", rollout.VerdictOf(err), rollout.MayHaveRun)
	assert.Equal(t, "text so far", text, "ab1/1 ab2/2 ")
}

// TestEndOfAttempts guards against servers that work on an attempt for longer than its caller
// waits: because it came over a hop, was abandoned, or fell silent.
func TestEndOfAttempts(t *testing.T) {
	hang := func(ctx context.Context, piece int) error {
		if piece < 2 {
			return nil
		}
		<-ctx.Done()
		return rollout.Fail(rollout.MayHaveRun, rollout.ReasonCanceled, ctx.Err())
	}
	for name, c := range map[string]struct {
		timeout time.Duration
		cancel  time.Duration
		most    time.Duration
	}{
		"the deadline passes": {timeout: 400 * time.Millisecond, most: 500 * time.Millisecond},
		"the caller leaves":   {timeout: 10 * time.Second, cancel: 300 * time.Millisecond, most: 500 * time.Millisecond},
		"no piece comes":      {most: 1500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite()
			s.next = hang
			a, b := s.startVM(t, "a", 1), s.startVM(t, "b", 1)
			a.isolate(t, refused)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if c.timeout > 0 {
				ctx, cancel = context.WithTimeout(ctx, c.timeout)
				defer cancel()
			}
			if c.cancel > 0 {
				time.AfterFunc(c.cancel, cancel)
			}
			start := time.Now()
			text, err := a.generate(ctx, "id")
			assert.Equal(t, "text so far", text, "ab1/1 ")
			assert.Equal(t, "verdict", rollout.VerdictOf(err), rollout.MayHaveRun)
			assert.AtMost(t, "milliseconds", time.Since(start).Milliseconds(), c.most.Milliseconds())
			b.awaitIdle(t)
			if deadline := s.deadlines["id"]; c.timeout > 0 {
				assert.True(t, "the server gets the time that is left", !deadline.IsZero() && !deadline.After(start.Add(c.timeout)))
			} else {
				assert.True(t, "no deadline", deadline.IsZero())
			}
		})
	}
}

// TestMemoryOfAttempts guards against bodies of other VMs that use the memory of this one up.
func TestMemoryOfAttempts(t *testing.T) {
	s := newSite()
	a, b := s.startVM(t, "a", 1), s.startVM(t, "b", 1)
	a.isolate(t, refused)
	release, started := make(chan struct{}), make(chan struct{}, 8)
	s.serve = func(context.Context, string) (rollout.CallResponse, error) {
		started <- struct{}{}
		<-release
		return rollout.CallResponse{Status: 200, Body: make([]byte, 1<<20)}, nil
	}
	results := make(chan error, 3)
	for n := range 3 {
		go func() {
			_, _, err := a.call(t.Context(), fmt.Sprint("held", n), make([]byte, 1300<<10))
			results <- err
		}()
	}
	for range 3 {
		<-started
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, _, err := a.call(ctx, "too much", make([]byte, 1<<20))
	assertNotRun(t, err, rollout.ReasonOverloaded)
	assert.Equal(t, "runs", s.runsOf("too much"), 0)
	close(release)
	for range 3 {
		assert.NoError(t, "held call", <-results)
	}
	_, _, err = a.call(t.Context(), "after them", make([]byte, 3<<20))
	assert.NoError(t, "call", err)
	// A response for which there is no memory has run.
	s.serve = func(context.Context, string) (rollout.CallResponse, error) {
		return rollout.CallResponse{Status: 200, Body: make([]byte, 5<<20)}, nil
	}
	_, _, err = a.call(t.Context(), "large response", nil)
	assert.Equal(t, "verdict", rollout.VerdictOf(err), rollout.MayHaveRun)
	b.awaitIdle(t)
}

// TestOlderBuildsGetNoAttempts guards against requests that are lost at builds which don't know
// attempts, or know a form with further fields.
func TestOlderBuildsGetNoAttempts(t *testing.T) {
	s := newSite()
	a := s.startVM(t, "a", 1)
	older := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(older.Close)
	posted := false
	older.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		posted = posted || r.Method == http.MethodPost
		http.NotFound(w, r)
	})
	s.add(&vm{site: s, name: "older", http: older})
	a.isolate(t, refused)
	_, _, err := a.call(t.Context(), "id", nil)
	assertNotRun(t, err, rollout.ReasonNoServer)
	s.startVM(t, "newer", 1)
	time.Sleep(600 * time.Millisecond)
	for n := range 10 {
		_, _, err := a.call(t.Context(), fmt.Sprint(n), []byte("x"))
		assert.NoError(t, "call", err)
	}
	assert.True(t, "nothing is sent to the older build", !posted)
}

// TestOrdersOfIsolatedVMs guards against weights that engines don't load because the VM that
// gives the orders reaches none.
func TestOrdersOfIsolatedVMs(t *testing.T) {
	s := newSite()
	a, b := s.startVM(t, "a", 1), s.startVM(t, "b", 1)
	a.isolate(t, refused)
	assert.NoError(t, "order", a.control.Order(t.Context(), "s1", rollout.Order{Model: "m", Version: 4, Fence: 9}))
	assert.Equal(t, "orders", fmt.Sprint(s.orders), "[s1 m 4]")
	report, err := a.control.Load(t.Context(), "s0")
	assert.NoError(t, "load", err)
	assert.Equal(t, "running", report.Running, 7)
	assertNotRun(t, a.control.Order(t.Context(), "s1", rollout.Order{Model: "m", Version: 3, Fence: 8}), rollout.ReasonServerRefused)
	assertNotRun(t, a.control.Order(t.Context(), "elsewhere", rollout.Order{Model: "m", Version: 5, Fence: 10}), rollout.ReasonUnknownTarget)
	b.state.Store(refused)
	assert.Equal(t, "verdict", rollout.VerdictOf(a.control.Order(t.Context(), "s1", rollout.Order{Model: "m", Version: 6, Fence: 11})), rollout.NotRun)
	assert.Equal(t, "orders", len(s.orders), 1)
}

// TestUnusableAttempts guards against processes that end, or servers that run something, for an
// attempt that can't be understood.
func TestUnusableAttempts(t *testing.T) {
	s := newSite()
	b := s.startVM(t, "b", 1)
	for name, body := range map[string]string{
		"empty":                   "",
		"a head beyond the body":  "\xff\xff\xff\xff",
		"no CBOR":                 "\x00\x00\x00\x01\xff",
		"no target":               "\x00\x00\x00\x01\xa0",
		"a target without a call": "\x00\x00\x00\x0b\xa1\x67Service\x61s",
	} {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", b.http.Listener.Addr().String())
			assert.NoError(t, "dial", err)
			defer c.Close()
			_, err = fmt.Fprintf(c, "POST /attempts/1 HTTP/1.1\r\nHost: b\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			assert.NoError(t, "write", err)
			_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
			line := make([]byte, len("HTTP/1.1 200"))
			_, err = c.Read(line)
			assert.NoError(t, "read", err)
			assert.Equal(t, "response", string(line), "HTTP/1.1 200")
		})
	}
	assert.Equal(t, "runs", len(s.runs), 0)
}
