// Package exchange makes HTTP requests whose errors carry a verdict. Whether
// anything of a request left is known at one place, the socket write: every
// connection counts the bytes written to it, and a request whose connection
// wrote nothing since it was handed over did certainly not run.
//
// Connections are not reused after an answer that was not read to its end. The
// standard library's client is used rather than hertz's because it reports the
// connection that a request got and ends a streamed answer with its context.
package exchange

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"lagoonlink.org/rollout"
)

// Headers by which a backend server tells what became of a request.
const (
	// HeaderVerdict is NotRun when the server refused the request unrun.
	HeaderVerdict = "Lagoonlink-Verdict"
	// HeaderLeaving is "true" when the server takes no new work.
	HeaderLeaving = "Lagoonlink-Leaving"
)

// Config configures a client.
type Config struct {
	// Connect bounds the making of a connection.
	Connect time.Duration
	// IdlePerServer bounds idle connections kept to each server.
	IdlePerServer int
	// AnswerStart bounds the wait for an answer's head; 0 leaves it to the context.
	AnswerStart time.Duration
	// Idle is how long an idle connection is kept; 0 means 30 s.
	Idle time.Duration
	// Silence is how long a connection may leave bytes or keep-alive probes
	// unacknowledged before it counts as broken; 0 leaves it to the system.
	Silence time.Duration
	// Buffer is the size of a connection's two buffers; 0 means 16 KiB.
	Buffer int
}

// Numbers for connections that are kept idle.
const (
	idleTimeout = 30 * time.Second
	bufferBytes = 16 << 10
)

// Client makes requests.
type Client struct {
	http *http.Client
	// sent and received count bytes over all connections.
	sent, received atomic.Uint64
}

// Traffic returns how many bytes were sent and received so far.
func (c *Client) Traffic() (sent, received uint64) { return c.sent.Load(), c.received.Load() }

// countingConn counts what is written to a connection.
type countingConn struct {
	net.Conn
	client  *Client
	written atomic.Uint64
}

// Write counts the bytes even when the write fails, for some may have left.
func (c *countingConn) Write(data []byte) (int, error) {
	c.written.Add(uint64(len(data)))
	c.client.sent.Add(uint64(len(data)))
	return c.Conn.Write(data)
}

// Read counts the bytes that came.
func (c *countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.client.received.Add(uint64(n))
	return n, err
}

// New returns a client.
func New(c Config) *Client {
	client := &Client{}
	dialer := &net.Dialer{Timeout: c.Connect}
	if c.Silence > 0 {
		breakSilent(dialer, c.Silence)
	}
	if c.Idle == 0 {
		c.Idle = idleTimeout
	}
	if c.Buffer == 0 {
		c.Buffer = bufferBytes
	}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn, client: client}, nil
	}
	client.http = &http.Client{
		Transport: &http.Transport{
			DialContext:           dial,
			MaxIdleConnsPerHost:   c.IdlePerServer,
			IdleConnTimeout:       c.Idle,
			ResponseHeaderTimeout: c.AnswerStart,
			DisableCompression:    true,
			WriteBufferSize:       c.Buffer,
			ReadBufferSize:        c.Buffer,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return client
}

// watch tells whether anything was written for a request.
type watch struct {
	conn   atomic.Pointer[countingConn]
	before atomic.Uint64
}

func (w *watch) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		c, ok := i.Conn.(*countingConn)
		if !ok {
			return
		}
		w.before.Store(c.written.Load())
		w.conn.Store(c)
	}}
}

// verdict returns NotRun when certainly nothing of the request left.
func (w *watch) verdict() rollout.Verdict {
	c := w.conn.Load()
	if c == nil || c.written.Load() == w.before.Load() {
		return rollout.NotRun
	}
	return rollout.MayHaveRun
}

// Do makes a request and returns the answer's head. Errors are Failures.
func (c *Client) Do(r *http.Request) (*http.Response, error) {
	w := &watch{}
	answer, err := c.http.Do(r.WithContext(httptrace.WithClientTrace(r.Context(), w.trace())))
	if err == nil {
		return answer, nil
	}
	reason := rollout.ReasonServerFailed
	switch {
	case errors.Is(r.Context().Err(), context.Canceled):
		reason = rollout.ReasonCanceled
	case errors.Is(r.Context().Err(), context.DeadlineExceeded):
		reason = rollout.ReasonDeadline
	}
	return nil, rollout.Fail(w.verdict(), reason, err)
}

// Refusal returns the failure that a server's answer states by its headers, or
// nil when the answer is an answer. The body is not read.
func Refusal(answer *http.Response) *rollout.Failure {
	if v, _ := rollout.ParseVerdict(answer.Header.Get(HeaderVerdict)); v != rollout.NotRun {
		return nil
	}
	reason := rollout.ReasonServerRefused
	if answer.Header.Get(HeaderLeaving) == "true" {
		reason = rollout.ReasonDraining
	}
	return rollout.Refuse(reason, "status %d", answer.StatusCode).WithRetryAfter(retryAfter(answer))
}

func retryAfter(answer *http.Response) time.Duration {
	seconds, err := strconv.Atoi(answer.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// ReadAll reads a body of at most limit bytes. A body that ends early, is
// longer or cannot be read gives a failure that may have run.
func ReadAll(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, rollout.Fail(rollout.MayHaveRun, rollout.ReasonTruncated, err)
	}
	if int64(len(data)) > limit {
		f := rollout.Fail(rollout.MayHaveRun, rollout.ReasonTruncated, nil)
		return nil, f.WithDetail("the answer is longer than %d bytes", limit)
	}
	return data, nil
}

// onceBody hides a body's replayability, so that the client never sends a
// request again by itself.
type onceBody struct{ io.Reader }

// Close does nothing; the reader holds no resource.
func (onceBody) Close() error { return nil }

// Once returns a body that the client cannot send twice.
func Once(r io.Reader) io.ReadCloser { return onceBody{r} }

// Waits between the tries of Reachable.
var reachableWaits = []time.Duration{0, 40 * time.Millisecond, 110 * time.Millisecond}

// reachableTimeout bounds one try of Reachable.
const reachableTimeout = 300 * time.Millisecond

// Reachable reports whether a server goes on taking connections, looking a few
// times over a moment. It tells a crash from a single broken answer.
func Reachable(address string) bool {
	for _, wait := range reachableWaits {
		time.Sleep(wait)
		conn, err := net.DialTimeout("tcp", address, reachableTimeout)
		if err != nil {
			return false
		}
		// Nothing was sent on the connection that closing could lose.
		_ = conn.Close()
	}
	return true
}
