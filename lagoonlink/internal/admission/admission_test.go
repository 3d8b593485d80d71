package admission_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"lagoonlink.org/lagoonlink/internal/admission"
	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/memory"
)

const (
	testTimeout = 10 * time.Second
	mib         = 1 << 20
	// pastGrace is longer than the time after which a stalled request can be evicted.
	pastGrace = 600 * time.Millisecond
)

// server runs a handler behind a Controller. The handler reserves memory for the body, reads
// it and responds with a body of the size in the header Size; requests to /slow wait for
// release first. The bodies of requests to /unread are not read.
type server struct {
	address string
	release chan struct{}
	started chan struct{}
}

func start(t *testing.T, l memory.Limits, idle time.Duration) *server {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := admission.New(admission.Config{Limits: l, IdleTimeout: func() time.Duration { return idle }, Logger: event.NewLogger(log), Metrics: tally.NoopScope})
	s := &server{release: make(chan struct{}), started: make(chan struct{}, 8)}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/unread" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		err := c.Reserve(r.Context(), int(max(0, r.ContentLength)))
		if err == nil {
			if _, readErr := io.Copy(io.Discard, r.Body); readErr != nil {
				w.Header().Set("Connection", "close")
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			if r.URL.Path == "/slow" {
				s.started <- struct{}{}
				<-s.release
			}
			size := 1
			_, _ = fmt.Sscan(r.Header.Get("Size"), &size)
			if err = c.Respond(r.Context(), size); err == nil {
				_, _ = w.Write(bytes.Repeat([]byte("x"), size))
				return
			}
		}
		w.Header().Set("Connection", "close")
		status := http.StatusServiceUnavailable
		if rollout.FailureOf(err).Reason == rollout.ReasonTooLarge {
			status = http.StatusRequestEntityTooLarge
		}
		w.WriteHeader(status)
	})
	listening, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, "listen", err)
	h := &http.Server{Handler: c.Handler(handler), ConnContext: c.ConnContext, ConnState: c.ConnState}
	go func() { _ = h.Serve(c.Listener(listening)) }()
	t.Cleanup(func() { _ = h.Close() })
	s.address = listening.Addr().String()
	return s
}

// caller is a connection of a caller.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func (s *server) dial(t *testing.T) *caller {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	assert.NoError(t, "connect", err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NoError(t, "set a deadline", c.SetDeadline(time.Now().Add(testTimeout)))
	return &caller{c, bufio.NewReader(c)}
}

// send sends a request whose body of size bytes ends missing bytes too early.
func (c *caller) send(t *testing.T, path, header string, size, missing int) {
	t.Helper()
	_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: a.example\r\n%sContent-Length: %d\r\n\r\n%s", path, header, size, strings.Repeat("x", size-missing))
	assert.NoError(t, "send", err)
}

// status returns the status of the next response, or 0 if the connection is closed.
func (c *caller) status(t *testing.T) int {
	t.Helper()
	r, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r.StatusCode
}

func limits() memory.Limits { return memory.Limits{Total: 3 * mib, Small: mib / 4, Connections: 16} }

func TestMemory(t *testing.T) {
	t.Run("a request without room is refused, a small one is served", func(t *testing.T) {
		s := start(t, limits(), 0)
		held, refused, small := s.dial(t), s.dial(t), s.dial(t)
		held.send(t, "/slow", "", 2*mib, 0)
		<-s.started
		refused.send(t, "/", "", mib, mib)
		assert.Equal(t, "status without room", refused.status(t), http.StatusServiceUnavailable)
		assert.Equal(t, "the connection is closed", refused.status(t), 0)
		small.send(t, "/", "", 1000, 0)
		assert.Equal(t, "status of a small request", small.status(t), http.StatusOK)
		close(s.release)
		assert.Equal(t, "status of the request that waited for a server", held.status(t), http.StatusOK)
	})
	t.Run("a request that never fits", func(t *testing.T) {
		s := start(t, limits(), 0)
		c := s.dial(t)
		c.send(t, "/", "", 4*mib, 4*mib)
		assert.Equal(t, "status", c.status(t), http.StatusRequestEntityTooLarge)
	})
	t.Run("a stalled body makes room", func(t *testing.T) {
		s := start(t, limits(), 0)
		stalled, next := s.dial(t), s.dial(t)
		stalled.send(t, "/", "", 2*mib, 1)
		time.Sleep(pastGrace)
		next.send(t, "/", "", mib, 0)
		assert.Equal(t, "status of the next request", next.status(t), http.StatusOK)
		assert.Equal(t, "the stalled connection is closed", stalled.status(t), 0)
	})
	t.Run("an unread response makes room", func(t *testing.T) {
		s := start(t, limits(), 0)
		unread, next := s.dial(t), s.dial(t)
		tcp, ok := unread.Conn.(*net.TCPConn)
		assert.True(t, "TCP", ok)
		assert.NoError(t, "set the buffer", tcp.SetReadBuffer(4<<10))
		unread.send(t, "/", fmt.Sprintf("Size: %d\r\n", 2*mib), 0, 0)
		time.Sleep(2 * pastGrace)
		next.send(t, "/", "", mib, 0)
		assert.Equal(t, "status of the next request", next.status(t), http.StatusOK)
	})
	t.Run("a body that the handler does not read", func(t *testing.T) {
		// The server reads the rest after the handler has returned; it is no part of a head.
		s := start(t, limits(), 0)
		c := s.dial(t)
		for range 3 {
			c.send(t, "/unread", "", 200<<10, 0)
			assert.Equal(t, "status", c.status(t), http.StatusNotFound)
		}
		c.send(t, "/", "", 10, 0)
		assert.Equal(t, "status of the next request", c.status(t), http.StatusOK)
	})
	t.Run("a large head without room", func(t *testing.T) {
		s := start(t, memory.Limits{Total: mib / 2, Small: mib / 4, Connections: 16}, 0)
		c := s.dial(t)
		_, err := fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: a.example\r\n%s", strings.Repeat("A: b\r\n", 4000))
		assert.NoError(t, "send", err)
		assert.Equal(t, "the connection is closed", c.status(t), 0)
	})
}

func TestIdleTimeout(t *testing.T) {
	const idle = 200 * time.Millisecond
	t.Run("a body that does not arrive", func(t *testing.T) {
		s := start(t, limits(), idle)
		c := s.dial(t)
		c.send(t, "/", "", 1000, 1)
		assert.Equal(t, "status", c.status(t), http.StatusBadRequest)
		assert.Equal(t, "the connection is closed", c.status(t), 0)
	})
	t.Run("a connection between two requests, and a slow server", func(t *testing.T) {
		s := start(t, limits(), idle)
		c := s.dial(t)
		c.send(t, "/", "", 1000, 0)
		assert.Equal(t, "first status", c.status(t), http.StatusOK)
		time.Sleep(2 * idle)
		c.send(t, "/slow", "", 1000, 0)
		<-s.started
		time.Sleep(2 * idle)
		close(s.release)
		assert.Equal(t, "second status", c.status(t), http.StatusOK)
	})
}

func TestConnections(t *testing.T) {
	l := limits()
	l.Connections = 2
	s := start(t, l, 0)
	busy := s.dial(t)
	busy.send(t, "/slow", "", 10, 0)
	<-s.started
	idle := s.dial(t)
	idle.send(t, "/", "", 10, 0)
	assert.Equal(t, "status", idle.status(t), http.StatusOK)
	next := s.dial(t)
	next.send(t, "/", "", 10, 0)
	assert.Equal(t, "status of the new connection", next.status(t), http.StatusOK)
	assert.Equal(t, "the idle connection is closed", idle.status(t), 0)
	close(s.release)
	assert.Equal(t, "status of the connection in use", busy.status(t), http.StatusOK)
}
