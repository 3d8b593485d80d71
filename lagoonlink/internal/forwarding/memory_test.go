package forwarding_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/httpclient"
	"lagoonlink.org/rollout/memory"
)

// smallMemory leaves an account of some 5 MB.
const smallMemory = 40 << 20

// TestStalledHopsLoseTheirMemory guards against VMs that stop in the middle of a hop and keep
// the memory of the VM that serves it.
func TestStalledHopsLoseTheirMemory(t *testing.T) {
	s := newSite(t)
	s.memoryBytes = smallMemory
	a, b := s.startVM(t, "a", rollout.RouteIdempotent, 1), s.startVM(t, "b", rollout.RouteIdempotent, 1)
	a.state.Store(refused)
	assert.True(t, "isolated", awaitIsolated(a))
	for range 4 {
		stalled, err := net.Dial("tcp", b.address)
		assert.NoError(t, "dial", err)
		defer stalled.Close()
		_, err = fmt.Fprintf(stalled, "POST /forwarded/1 HTTP/1.1\r\nHost: b\r\nContent-Length: %d\r\n\r\n\x00", 1<<20)
		assert.NoError(t, "write", err)
	}
	time.Sleep(time.Second)
	body := make([]byte, 1000<<10)
	for n := range 4 {
		response, err := a.send(t.Context(), fmt.Sprint(n), body, 2*time.Second)
		assert.NoError(t, "call", err)
		assert.Equal(t, "status", response.Status, http.StatusOK)
	}
}

// TestConnectionsOfHopsAreBounded guards against connections to the internal port that no
// account of memory knows.
func TestConnectionsOfHopsAreBounded(t *testing.T) {
	s := newSite(t)
	s.memoryBytes = smallMemory
	b := s.startVM(t, "b", rollout.RouteIdempotent, 1)
	limit := memory.Derive(smallMemory, 1000).Connections
	var opened []net.Conn
	for range limit + 20 {
		c, err := net.Dial("tcp", b.address)
		assert.NoError(t, "dial", err)
		defer c.Close()
		opened = append(opened, c)
	}
	closed := 0
	for end := time.Now().Add(time.Second); closed < 20 && time.Now().Before(end); {
		closed = 0
		for _, c := range opened {
			_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
			if _, err := c.Read(make([]byte, 1)); err != nil && !isTimeout(err) {
				closed++
			}
		}
	}
	assert.Equal(t, "closed connections", closed, 20)
	assert.True(t, "takes further ones", httpclient.Connects(t.Context(), b.address))
}

func isTimeout(err error) bool {
	t, ok := err.(net.Error)
	return ok && t.Timeout()
}

// TestBodiesOfHopsThatDoNotFitAreRefused guards against requests that run although there is no
// memory for them, and against ones that get half of a body.
func TestBodiesOfHopsThatDoNotFitAreRefused(t *testing.T) {
	s := newSite(t)
	a := s.startVM(t, "a", rollout.RouteNonIdempotent, 1)
	s.memoryBytes = smallMemory
	s.startVM(t, "b", rollout.RouteNonIdempotent, 1)
	a.state.Store(refused)
	assert.True(t, "isolated", awaitIsolated(a))
	_, err := a.send(t.Context(), "large", make([]byte, 16<<20), 2*time.Second)
	assert.Equal(t, "verdict", rollout.VerdictOf(err), rollout.NotRun)
	assert.Equal(t, "reason", rollout.FailureOf(err).Reason, rollout.ReasonOverloaded)
	assert.Equal(t, "runs", s.runsOf("large"), 0)
	_, err = a.send(t.Context(), "small", []byte("x"), 2*time.Second)
	assert.NoError(t, "call", err)
}

// TestSlowReadersSlowTheServerDown guards against streams that a VM of a hop keeps in memory
// for a caller that doesn't read.
func TestSlowReadersSlowTheServerDown(t *testing.T) {
	s := newSite(t)
	offered := 4 * s.memoryBytes
	a, _ := s.startVM(t, "a", rollout.RouteStream, 1), s.startVM(t, "b", rollout.RouteStream, 1)
	a.state.Store(refused)
	assert.True(t, "isolated", awaitIsolated(a))
	var sent atomic.Int64
	s.setHandler(func(w http.ResponseWriter, _ *http.Request) {
		for chunk := make([]byte, 64<<10); sent.Load() < offered; {
			n, err := w.Write(chunk)
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	})
	response, err := a.call(t.Context(), "id", 20*time.Second)
	assert.NoError(t, "call", err)
	time.Sleep(time.Second)
	assert.AtMost(t, "bytes sent to a caller that doesn't read", sent.Load(), s.memoryBytes)
	n, err := io.Copy(io.Discard, readerOf(response.Stream))
	assert.NoError(t, "read", err)
	assert.Equal(t, "bytes", n, offered)
	assert.NoError(t, "close", response.Stream.Close())
}

// readerOf hides the other methods of a stream.
func readerOf(s rollout.ResponseStream) io.Reader { return struct{ io.Reader }{s} }
