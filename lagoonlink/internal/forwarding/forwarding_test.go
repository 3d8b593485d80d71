package forwarding_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
)

// TestCallersOfIsolatedVMsAreServed guards against VMs that try every server until the
// deadline and then refuse, while other VMs reach the servers.
func TestCallersOfIsolatedVMsAreServed(t *testing.T) {
	for name, state := range map[string]int32{"connections are refused": refused, "connections hang": hanging} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			a, _ := s.startVM(t, "a", rollout.RouteIdempotent, 1), s.startVM(t, "b", rollout.RouteIdempotent, 1)
			a.state.Store(state)
			for n := range 8 {
				id, start := fmt.Sprint("request", n), time.Now()
				response, err := a.call(t.Context(), id, 800*time.Millisecond)
				assert.NoError(t, id, err)
				assert.Equal(t, "response", string(response.Body), "POST /x?y=1 body of "+id)
				assert.Equal(t, "runs", s.runsOf(id), 1)
				if n > 0 {
					assert.AtMost(t, "milliseconds", time.Since(start).Milliseconds(), 300)
				}
			}
			// A VM whose paths are back sends its requests itself.
			a.state.Store(connected)
			time.Sleep(600 * time.Millisecond)
			assert.True(t, "reaches servers", !a.relay.Isolated(t.Context()))
		})
	}
}

// TestServersDownForAll guards against requests that VMs pass on to each other, or hold until
// their deadline, when no VM reaches a server.
func TestServersDownForAll(t *testing.T) {
	s := newSite(t)
	a, b := s.startVM(t, "a", rollout.RouteIdempotent, 1), s.startVM(t, "b", rollout.RouteIdempotent, 1)
	a.state.Store(refused)
	b.state.Store(refused)
	for n := range 4 {
		start := time.Now()
		_, err := a.call(t.Context(), fmt.Sprint(n), 5*time.Second)
		assert.Equal(t, "verdict", rollout.VerdictOf(err), rollout.NotRun)
		assert.Equal(t, "reason", rollout.FailureOf(err).Reason, rollout.ReasonNoServer)
		assert.AtMost(t, "milliseconds", time.Since(start).Milliseconds(), 500)
	}
}

func TestVerdictsAreKept(t *testing.T) {
	for name, c := range map[string]struct {
		kind    rollout.RouteKind
		version rollout.ConfigurationVersion
		handle  http.HandlerFunc
		prepare func(b *vm)
		status  int
		verdict rollout.Verdict
		runs    int
	}{
		"a failure of the server":                    {rollout.RouteNonIdempotent, 1, fail, nil, 500, rollout.Ran, 1},
		"a failure of the server, idempotent":        {rollout.RouteIdempotent, 1, fail, nil, 500, rollout.Ran, 2},
		"the server breaks off":                      {rollout.RouteNonIdempotent, 1, breakOff, nil, 0, rollout.MayHaveRun, 1},
		"the other VM is lost with the request":      {rollout.RouteNonIdempotent, 1, nil, func(b *vm) { b.site.setHandler(func(http.ResponseWriter, *http.Request) { _ = b.server.Close() }) }, 0, rollout.MayHaveRun, 1},
		"the other VM is stopping":                   {rollout.RouteNonIdempotent, 1, nil, func(b *vm) { b.server.Leave() }, 0, rollout.NotRun, 0},
		"the other VM has an older configuration":    {rollout.RouteNonIdempotent, 0, nil, nil, 0, rollout.NotRun, 0},
		"the other VM has a newer configuration":     {rollout.RouteNonIdempotent, 2, nil, nil, 200, rollout.Ran, 1},
		"the other VM is cut off and doesn't say so": {rollout.RouteNonIdempotent, 1, nil, func(b *vm) { b.state.Store(refused) }, 0, rollout.NotRun, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			s.setHandler(c.handle)
			a, b := s.startVM(t, "a", c.kind, 1), s.startVM(t, "b", c.kind, c.version)
			a.state.Store(refused)
			assert.True(t, "isolated", awaitIsolated(a))
			if c.prepare != nil {
				c.prepare(b)
			}
			response, err := a.call(t.Context(), "id", 800*time.Millisecond)
			verdict := rollout.Ran
			if err != nil {
				verdict = rollout.VerdictOf(err)
			}
			assert.Equal(t, "verdict", verdict, c.verdict)
			assert.Equal(t, "status", response.Status, c.status)
			assert.AtMost(t, "runs", s.runsOf("id"), c.runs)
		})
	}
}

// TestDeadlinesAreKept guards against servers that work on a request for longer than its caller
// waits because it came over a hop.
func TestDeadlinesAreKept(t *testing.T) {
	const timeout = 600 * time.Millisecond
	s := newSite(t)
	a, _ := s.startVM(t, "a", rollout.RouteNonIdempotent, 1), s.startVM(t, "b", rollout.RouteNonIdempotent, 1)
	a.state.Store(refused)
	assert.True(t, "isolated", awaitIsolated(a))
	s.setHandler(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	start := time.Now()
	_, err := a.call(t.Context(), "id", timeout)
	assert.Equal(t, "verdict", rollout.VerdictOf(err), rollout.MayHaveRun)
	assert.AtMost(t, "milliseconds", time.Since(start).Milliseconds(), timeout.Milliseconds())
	// The server gets the time that is left, less the margins of two VMs.
	left := s.deadlineOf("id").Sub(start)
	assert.AtMost(t, "milliseconds that the server has", left.Milliseconds(), timeout.Milliseconds())
	assert.True(t, fmt.Sprintf("the server has most of the time: %s", left), left > timeout/2)
}

// TestVMsThatAreGoneArePassedOver: they are still announced, but nothing is sent to them.
func TestVMsThatAreGoneArePassedOver(t *testing.T) {
	s := newSite(t)
	a, b := s.startVM(t, "a", rollout.RouteNonIdempotent, 1), s.startVM(t, "b", rollout.RouteNonIdempotent, 1)
	b.stop()
	a.state.Store(refused)
	_, err := a.call(t.Context(), "id", 800*time.Millisecond)
	assert.Equal(t, "verdict", rollout.VerdictOf(err), rollout.NotRun)
	s.startVM(t, "c", rollout.RouteNonIdempotent, 1)
	time.Sleep(600 * time.Millisecond)
	for n := range 10 {
		response, err := a.call(t.Context(), fmt.Sprint(n), 800*time.Millisecond)
		assert.NoError(t, "call", err)
		assert.Equal(t, "status", response.Status, http.StatusOK)
	}
}

func fail(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }

func breakOff(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "begin")
	panic(http.ErrAbortHandler)
}

// awaitIsolated makes a VM that is cut off notice it with a request that other VMs may serve.
func awaitIsolated(v *vm) bool {
	for range 20 {
		_, _ = v.call(context.Background(), "first", 500*time.Millisecond)
		if v.relay.Isolated(context.Background()) {
			return true
		}
	}
	return false
}

// TestLostHopsUseUpAttempts guards against requests that run on more servers than their route
// permits because the VMs that ran them are lost.
func TestLostHopsUseUpAttempts(t *testing.T) {
	s := newSite(t)
	a := s.startVM(t, "a", rollout.RouteIdempotent, 1)
	for _, name := range []string{"b", "c", "d"} {
		s.startVM(t, name, rollout.RouteIdempotent, 1)
	}
	a.state.Store(refused)
	assert.True(t, "isolated", awaitIsolated(a))
	s.setHandler(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	for n := range 20 {
		id := fmt.Sprint("request", n)
		_, err := a.call(t.Context(), id, 800*time.Millisecond)
		assert.Equal(t, "verdict", rollout.VerdictOf(err), rollout.MayHaveRun)
		assert.Equal(t, "servers that ran "+id, s.runsOf(id), a.route.MaxAttempts)
	}
}

func TestAbandonedRequestsAreCanceledAtTheServer(t *testing.T) {
	s := newSite(t)
	a, _ := s.startVM(t, "a", rollout.RouteIdempotent, 1), s.startVM(t, "b", rollout.RouteIdempotent, 1)
	a.state.Store(refused)
	assert.True(t, "isolated", awaitIsolated(a))
	began := make(chan struct{}, 8)
	s.setHandler(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		began <- struct{}{}
		<-r.Context().Done()
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-began
		cancel()
	}()
	_, err := a.call(ctx, "id", 5*time.Second)
	assert.Equal(t, "reason", rollout.FailureOf(err).Reason, rollout.ReasonCanceled)
	for end := time.Now().Add(500 * time.Millisecond); !s.wasCanceled("id"); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the server is still at work half a second later")
		}
	}
}

func TestStreams(t *testing.T) {
	for name, broken := range map[string]bool{"complete": false, "broken off": true} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			a, _ := s.startVM(t, "a", rollout.RouteStream, 1), s.startVM(t, "b", rollout.RouteStream, 1)
			a.state.Store(refused)
			assert.True(t, "isolated", awaitIsolated(a))
			next := make(chan struct{})
			s.setHandler(func(w http.ResponseWriter, _ *http.Request) {
				for n := range 3 {
					_, _ = fmt.Fprintf(w, "id: %d\n\n", n)
					_ = http.NewResponseController(w).Flush()
					<-next
				}
				if broken {
					panic(http.ErrAbortHandler)
				}
			})
			response, err := a.call(t.Context(), "id", 5*time.Second)
			assert.NoError(t, "call", err)
			buffer := make([]byte, 100)
			for n := range 3 {
				// Each event arrives before the server sends the next one.
				size, err := response.Stream.Read(buffer)
				assert.NoError(t, "read", err)
				assert.Equal(t, "event", string(buffer[:size]), fmt.Sprintf("id: %d\n\n", n))
				next <- struct{}{}
			}
			_, err = response.Stream.Read(buffer)
			assert.Equal(t, "ends as complete", errors.Is(err, io.EOF), !broken)
			assert.NoError(t, "close", response.Stream.Close())
		})
	}
}
