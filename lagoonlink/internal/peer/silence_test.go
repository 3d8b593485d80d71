package peer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/httpclient/standin"
	"lagoonlink.org/rollout/wire"
)

// startPath returns a path to a VM that responds after a delay. The proof of a key is for the
// VM's own address, so it isn't checked.
func startPath(t *testing.T, delay time.Duration) *standin.Silencer {
	t.Helper()
	n := newNode(t, "server", key)
	n.config.HandleRequest = func(context.Context, wire.Body) wire.Body {
		time.Sleep(delay)
		return wire.Body{Closed: &wire.Closed{}}
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { n.accept(t.Context(), w, r) }))
	t.Cleanup(server.Close)
	return standin.NewSilencer(t, server.Listener.Addr().String())
}

// TestSilentConnectionIsReplaced guards against requests to a VM that all wait for a connection
// that has fallen silent for good, while a new one would work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	for name, c := range map[string]struct {
		timeout time.Duration
		// failed is the number of requests that may fail.
		failed int
	}{
		"requests that can wait":         {10 * time.Second, 1},
		"requests with a short deadline": {100 * time.Millisecond, 20},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			path, client := startPath(t, 0), newNode(t, "client", key)
			call := func() error {
				ctx, cancel := context.WithTimeout(t.Context(), c.timeout)
				defer cancel()
				_, err := client.Call(ctx, path.Address, fetchState)
				return err
			}
			assert.NoError(t, "call before the silence", call())
			path.Silence()
			failed, start := 0, time.Now()
			for err := call(); err != nil && failed <= c.failed; err = call() {
				assert.Equal(t, "verdict", rollout.VerdictOf(err), rollout.MayHaveRun)
				failed++
			}
			assert.AtMost(t, "calls that failed after the silence", failed, c.failed)
			assert.AtMost(t, "seconds until a call succeeded", time.Since(start).Seconds(), 5)
		})
	}
}

// TestSlowResponseIsAwaited guards against slow VMs that are taken for silent ones.
func TestSlowResponseIsAwaited(t *testing.T) {
	path, client := startPath(t, probeInterval+2*dialTimeout), newNode(t, "client", key)
	_, err := client.Call(t.Context(), path.Address, fetchState)
	assert.NoError(t, "call", err)
}
