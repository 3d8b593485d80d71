// Package httpclient provides an HTTP client whose errors carry a verdict: whether
// the request may have run on the server. Every connection counts the bytes
// written to its socket. If nothing was written to a connection since it was
// assigned to a request, the request certainly did not run.
//
// A connection is not reused after a response that was not read to its end. It is
// reset, which discards what the kernel has not sent yet: otherwise a request that
// was abandoned while its path was cut would reach the server when the path
// recovers. The client is built on net/http rather than hertz because net/http
// reports the connection assigned to a request and ends a streamed response when its
// context ends.
package httpclient

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lagoonlink.org/rollout"
)

// Response headers with which a backend server refuses a request.
const (
	// HeaderVerdict is "NotRun" if the server refused the request without running
	// it.
	HeaderVerdict = "Lagoonlink-Verdict"
	// HeaderLeaving is "true" if the server accepts no new work.
	HeaderLeaving = "Lagoonlink-Leaving"
)

// Config configures a Client.
type Config struct {
	// ConnectTimeout is the timeout for establishing a connection; 0 means none.
	ConnectTimeout time.Duration
	// MaxIdlePerServer is the maximum number of idle connections kept to each
	// server.
	MaxIdlePerServer int
	// ResponseHeaderTimeout is the time to wait for the header of a response; if it
	// is 0, only the request's context limits the wait.
	ResponseHeaderTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept; 0 means 30 s.
	IdleTimeout time.Duration
	// UnacknowledgedTimeout is how long data or keep-alive probes may remain
	// unacknowledged before the connection is considered broken; 0 means the
	// defaults of Go and the operating system.
	UnacknowledgedTimeout time.Duration
	// BufferSize is the size in bytes of a connection's read buffer and of its write
	// buffer; 0 means 16 KiB.
	BufferSize int
	// RenewAfterSilence closes all idle connections when a request on a kept connection gets
	// no response in time: connections that fall silent often do so together, and the next
	// requests would find out on each of them anew. It is meant for clients of one server.
	RenewAfterSilence bool
	// MaxHeaderBytes limits the header of a response; 0 means 32 KiB.
	MaxHeaderBytes int64
	// MaxBufferedBytes limits the total of the response bodies that DoAll and ReadBody
	// are reading at the same time; 0 means no limit.
	MaxBufferedBytes int64
}

// Defaults for connections.
const (
	defaultIdleTimeout = 30 * time.Second
	defaultBufferBytes = 16 << 10
	defaultHeaderBytes = 32 << 10
	// bodyChunkBytes is the unit in which a body takes its share of MaxBufferedBytes.
	bodyChunkBytes = 4 << 10
)

// Client sends HTTP requests. It does not follow redirects.
type Client struct {
	http      *http.Client
	transport *http.Transport
	// buffered is the total size of the bodies that are being read, maxBuffered its
	// limit.
	buffered    atomic.Int64
	maxBuffered int64
	// renewAfterSilence is Config.RenewAfterSilence.
	renewAfterSilence bool
	// sent and received count the bytes of all connections.
	sent, received atomic.Uint64
}

// Traffic returns the number of bytes sent and received so far.
func (c *Client) Traffic() (sent, received uint64) { return c.sent.Load(), c.received.Load() }

// countingConn is a connection that counts the bytes written to and read from it, and
// the requests in progress on it.
type countingConn struct {
	net.Conn
	client  *Client
	written atomic.Uint64
	// pending counts the requests that the connection was assigned to and whose
	// responses have not been read completely.
	pending atomic.Int64
	writes  writeFailure
	folds   foldDetector
	// ended is closed when nothing more can be read from the connection.
	ended   chan struct{}
	endOnce sync.Once
}

func (c *countingConn) end() { c.endOnce.Do(func() { close(c.ended) }) }

// Close closes the connection in the ordinary way if no request is in progress on it.
// Otherwise it resets the connection.
func (c *countingConn) Close() error {
	c.end()
	if tcp, ok := c.Conn.(*net.TCPConn); ok && c.pending.Load() == 0 {
		// This fails only on a connection that is already closed.
		_ = tcp.SetLinger(-1)
	}
	return c.Conn.Close()
}

// resetOnClose makes the kernel reset the connection when it is closed, also when the
// process is killed, and discard what it has not sent yet.
func resetOnClose(conn net.Conn) error {
	if tcp, ok := conn.(*net.TCPConn); ok {
		return tcp.SetLinger(0)
	}
	return nil
}

// Write counts the bytes even if the write fails, because some of them may have
// been sent. An error is returned after all that the server has sent was read: net/http
// closes the connection then, which would lose a response that ended before its request.
func (c *countingConn) Write(data []byte) (int, error) {
	c.written.Add(uint64(len(data)))
	c.client.sent.Add(uint64(len(data)))
	n, err := c.writes.write(c.Conn, data)
	if err != nil {
		<-c.ended
	}
	return n, err
}

// Read counts the bytes received. It returns io.EOF only if the server closed the connection,
// not if the connection was lost. It fails if the head of a response has a folded line.
func (c *countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.client.received.Add(uint64(n))
	if errors.Is(err, io.EOF) {
		err = c.writes.afterEOF(c.Conn, err)
	}
	if foldErr := c.folds.scan(data[:n]); foldErr != nil {
		n, err = 0, foldErr
	}
	if err != nil {
		c.end()
	}
	return n, err
}

// New returns a client.
func New(c Config) *Client {
	client := &Client{maxBuffered: c.MaxBufferedBytes, renewAfterSilence: c.RenewAfterSilence}
	dialer := &net.Dialer{Timeout: c.ConnectTimeout}
	if c.UnacknowledgedTimeout > 0 {
		setUnacknowledgedTimeout(dialer, c.UnacknowledgedTimeout)
	}
	if c.IdleTimeout == 0 {
		c.IdleTimeout = defaultIdleTimeout
	}
	if c.BufferSize == 0 {
		c.BufferSize = defaultBufferBytes
	}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if err := resetOnClose(conn); err != nil {
			return nil, errors.Join(err, conn.Close())
		}
		return &countingConn{Conn: conn, client: client, ended: make(chan struct{})}, nil
	}
	client.setTransport(&http.Transport{
		DialContext:           dial,
		MaxIdleConnsPerHost:   c.MaxIdlePerServer,
		IdleConnTimeout:       c.IdleTimeout,
		ResponseHeaderTimeout: c.ResponseHeaderTimeout,
		DisableCompression:    true,
		WriteBufferSize:       c.BufferSize,
		ReadBufferSize:        c.BufferSize,

		MaxResponseHeaderBytes: cmp.Or(c.MaxHeaderBytes, defaultHeaderBytes),
	})
	return client
}

func (c *Client) setTransport(t *http.Transport) {
	c.transport = t
	c.http = &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// WithoutReuse returns a client that sends each request on a connection of its own, so
// that the first response on it can't belong to another request. Its bytes count for c.
func (c *Client) WithoutReuse() *Client {
	out := &Client{maxBuffered: c.maxBuffered}
	t := c.transport.Clone()
	t.MaxIdleConnsPerHost = -1
	out.setTransport(t)
	return out
}

// writeTracker determines whether anything was written to the connection that was
// assigned to a request.
type writeTracker struct {
	conn atomic.Pointer[countingConn]
	// writtenBefore is the number of bytes written to conn before it was assigned.
	writtenBefore atomic.Uint64
	// reused reports whether conn had served an earlier request.
	reused atomic.Bool
}

func (t *writeTracker) clientTrace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			c, ok := i.Conn.(*countingConn)
			if !ok {
				return
			}
			c.pending.Add(1)
			c.folds.expected.Store(true)
			t.writtenBefore.Store(c.written.Load())
			t.reused.Store(i.Reused)
			t.conn.Store(c)
		},
		PutIdleConn: func(err error) {
			// The next request may already have been assigned to the connection.
			if c := t.conn.Load(); c != nil && err == nil {
				c.pending.Add(-1)
			}
		},
	}
}

// verdict returns NotRun if certainly nothing of the request was sent.
func (t *writeTracker) verdict() rollout.Verdict {
	c := t.conn.Load()
	if c == nil || c.written.Load() == t.writtenBefore.Load() {
		return rollout.NotRun
	}
	return rollout.MayHaveRun
}

// Do sends a request and returns the response. The caller must close the response's
// body. Errors are of type *rollout.Failure. A response whose head is invalid is an error
// with the verdict MayHaveRun, whatever it states.
func (c *Client) Do(r *http.Request) (*http.Response, error) {
	t := &writeTracker{}
	response, err := c.http.Do(r.WithContext(httptrace.WithClientTrace(r.Context(), t.clientTrace())))
	if err == nil {
		if err = checkHead(response); err == nil {
			return response, nil
		}
		// The connection is reset, because the body was not read.
		_ = response.Body.Close()
		return nil, rollout.Fail(rollout.MayHaveRun, rollout.ReasonServerFailed, err)
	}
	reason := rollout.ReasonServerFailed
	switch {
	case errors.Is(r.Context().Err(), context.Canceled):
		reason = rollout.ReasonCanceled
	case errors.Is(r.Context().Err(), context.DeadlineExceeded):
		reason = rollout.ReasonDeadline
		if c.renewAfterSilence && t.reused.Load() {
			c.transport.CloseIdleConnections()
		}
	}
	return nil, rollout.Fail(t.verdict(), reason, err)
}

// replayedMethods are the methods whose requests without a body the standard library's
// client sends again after a kept connection was lost, though the server may have run
// them. replayedHeaders have the same effect for any method.
var (
	replayedMethods = []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace}
	replayedHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}
)

// SendOnce keeps the client from sending a request again on its own. Other requests
// without a body are left as they are, because a body of unknown length would be sent in
// chunks.
func SendOnce(r *http.Request) {
	r.GetBody = nil
	hasBody := r.Body != nil && r.Body != http.NoBody
	hasHeader := slices.ContainsFunc(replayedHeaders, func(name string) bool { return r.Header.Values(name) != nil })
	if !hasBody && (hasHeader || slices.Contains(replayedMethods, r.Method)) {
		r.Body = singleUseBody{strings.NewReader("")}
	}
}

// DoAll sends a request and reads the whole response body, of at most limit bytes. It
// closes the response's body. Errors are of type *rollout.Failure.
func (c *Client) DoAll(r *http.Request, limit int64) (*http.Response, []byte, error) {
	response, err := c.Do(r)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	data, err := c.ReadBody(response.Body, limit)
	return response, data, err
}

// ReadBody reads a response body like ReadAll. It also fails if the bodies that are
// being read at the same time exceed MaxBufferedBytes, so that servers that send bytes
// without end can't exhaust the memory of the VM.
func (c *Client) ReadBody(body io.Reader, limit int64) ([]byte, error) {
	b := &budgetReader{client: c, body: body}
	defer func() { c.buffered.Add(-b.taken) }()
	return ReadAll(b, limit)
}

// budgetReader reads a body as far as the client's budget for bodies permits.
type budgetReader struct {
	client      *Client
	body        io.Reader
	read, taken int64
}

// Read takes a further share of the budget before it reads beyond the share that it has.
func (b *budgetReader) Read(data []byte) (int, error) {
	if b.client.maxBuffered > 0 && b.read >= b.taken {
		b.taken += bodyChunkBytes
		if total := b.client.buffered.Add(bodyChunkBytes); total > b.client.maxBuffered {
			return 0, fmt.Errorf("the response bodies in progress exceed %d bytes", b.client.maxBuffered)
		}
	}
	n, err := b.body.Read(data[:min(len(data), bodyChunkBytes)])
	b.read += int64(n)
	return n, err
}

// Refusal returns the failure stated by the headers of a response with which a
// server refused a request, or nil if the response is not a refusal. It does not
// read the body.
func Refusal(response *http.Response) *rollout.Failure {
	if v, _ := rollout.ParseVerdict(response.Header.Get(HeaderVerdict)); v != rollout.NotRun {
		return nil
	}
	reason := rollout.ReasonServerRefused
	if response.Header.Get(HeaderLeaving) == "true" {
		reason = rollout.ReasonDraining
	}
	return rollout.Refuse(reason, "server refused the request with status %d", response.StatusCode).WithRetryAfter(retryAfter(response))
}

func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// ReadAll reads a response body of at most limit bytes. If the body is longer, ends
// early or cannot be read, it returns a failure with the verdict MayHaveRun.
func ReadAll(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, rollout.Fail(rollout.MayHaveRun, rollout.ReasonTruncated, err)
	}
	if int64(len(data)) > limit {
		f := rollout.Fail(rollout.MayHaveRun, rollout.ReasonTruncated, nil)
		return nil, f.WithDetail("response body is longer than %d bytes", limit)
	}
	return data, nil
}

// singleUseBody hides from net/http that a body can be replayed, so that the client
// never retries a request on its own.
type singleUseBody struct{ io.Reader }

// Close does nothing because the reader holds no resources.
func (singleUseBody) Close() error { return nil }

// NewRequest returns a request with a body that the client cannot send twice. Its error
// is of type *rollout.Failure with the verdict NotRun.
func NewRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, method, url, http.NoBody)
	if err != nil {
		return nil, rollout.Fail(rollout.NotRun, rollout.ReasonBadRequest, err)
	}
	if len(body) > 0 {
		r.Body, r.ContentLength = singleUseBody{bytes.NewReader(body)}, int64(len(body))
		r.GetBody = nil
	}
	return r, nil
}

// reachableDelays are the delays before the connection attempts of Reachable.
var reachableDelays = []time.Duration{0, 40 * time.Millisecond, 110 * time.Millisecond}

// reachableTimeout is the timeout of one connection attempt of Reachable.
const reachableTimeout = 300 * time.Millisecond

// Reachable reports whether a server accepts connections in several consecutive
// attempts. It distinguishes a crashed server from a single broken response.
func Reachable(address string) bool {
	for _, delay := range reachableDelays {
		time.Sleep(delay)
		conn, err := net.DialTimeout("tcp", address, reachableTimeout)
		if err != nil {
			return false
		}
		// Nothing was sent on the connection, so an error of Close loses no data.
		_ = conn.Close()
	}
	return true
}

// connectsTimeout is the timeout of the connection attempt of Connects, many times the round
// trip between zones.
const connectsTimeout = 120 * time.Millisecond

// Connects reports whether a new connection to the address is established at once.
func Connects(ctx context.Context, address string) bool {
	d := net.Dialer{Timeout: connectsTimeout, KeepAlive: -1}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	// Nothing was sent on the connection, so an error of Close loses no data.
	_ = conn.Close()
	return true
}

// refusesTimeout is the timeout of the connection attempt of Refuses.
const refusesTimeout = 100 * time.Millisecond

// Refuses reports whether the machine at the address refuses connections: it answers, but
// no process listens there. A machine that is cut off or has no power doesn't answer.
func Refuses(address string) bool {
	conn, err := net.DialTimeout("tcp", address, refusesTimeout)
	if err == nil {
		// Nothing was sent on the connection, so an error of Close loses no data.
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
