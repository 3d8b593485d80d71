// Package listener runs the two HTTP servers of an entry VM on the users' platform:
// one for callers and one for the load balancer's readiness checks.
//
// It uses the standard library's server because that cancels a request's context
// as soon as the caller closes the connection; the standard transport of hertz
// does not.
package listener

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lagoonlink.org/lagoonlink/internal/admission"
)

// Limits of the servers. Callers that respect the operators' limits do not reach
// them; they only keep a misbehaving caller from holding resources.
const (
	headerTimeout = 10 * time.Second
	// idleTimeout is well above the time for which callers reuse idle connections.
	idleTimeout = 120 * time.Second
	// maxHeaderBytes is above the operators' limit of 16 KiB, which doesn't count the
	// request line. The server adds 4 KiB.
	maxHeaderBytes = 24 << 10
)

// Config configures the servers.
type Config struct {
	Address string
	Callers http.Handler
	// ReadyAddress and Ready are for the load balancer's readiness checks.
	ReadyAddress string
	Ready        http.Handler
	// Admission bounds the connections and the memory of callers; nil means no limits.
	Admission *admission.Controller
}

// Listener runs the two servers.
type Listener struct {
	callers *http.Server
	ready   *http.Server
	// admission is nil if connections are not bounded.
	admission *admission.Controller
	draining  atomic.Bool
	// connections counts the open connections of callers.
	connections atomic.Int64
	// stopped is closed when Shutdown or Close has returned.
	stopped  chan struct{}
	stopOnce sync.Once

	// mu guards the fields below.
	mu     sync.Mutex
	active int
	// closing is set when Shutdown has begun. Requests that come later are refused.
	closing bool
}

// New returns a Listener that is not listening yet.
func New(c Config) *Listener {
	l := &Listener{ready: newServer(c.ReadyAddress, c.Ready), admission: c.Admission, stopped: make(chan struct{})}
	callers := c.Callers
	if c.Admission != nil {
		callers = c.Admission.Handler(callers)
	}
	l.callers = newServer(c.Address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if l.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		if !l.begin() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer l.end()
		callers.ServeHTTP(w, r)
	}))
	if c.Admission != nil {
		l.callers.ConnContext = c.Admission.ConnContext
	}
	l.callers.ConnState = func(conn net.Conn, state http.ConnState) {
		if c.Admission != nil {
			c.Admission.ConnState(conn, state)
		}
		switch state {
		case http.StateNew:
			l.connections.Add(1)
		case http.StateClosed, http.StateHijacked:
			l.connections.Add(-1)
		}
	}
	return l
}

// begin counts a request as in progress, or returns false once Shutdown has begun.
// Shutdown may close a connection whose request it doesn't see yet; that request
// must not run, because its response would be lost.
func (l *Listener) begin() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closing {
		return false
	}
	l.active++
	return true
}

func (l *Listener) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active--
}

func newServer(address string, h http.Handler) *http.Server {
	return &http.Server{
		Addr: address, Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		DisableGeneralOptionsHandler: true,
	}
}

// Active returns the number of requests in progress.
func (l *Listener) Active() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.active
}

// Connections returns the number of open connections of callers.
func (l *Listener) Connections() int { return int(l.connections.Load()) }

// Serve serves callers. It returns when Shutdown or Close has returned, or when it
// can't listen.
func (l *Listener) Serve(context.Context) error {
	listening, err := net.Listen("tcp", l.callers.Addr)
	if err != nil {
		return err
	}
	if l.admission != nil {
		listening = l.admission.Listener(listening)
	}
	err = l.callers.Serve(listening)
	if !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	// Serve returns as soon as Shutdown begins, while requests are in
	// progress.
	<-l.stopped
	return nil
}

// ServeReady serves readiness checks until Close.
func (l *Listener) ServeReady(context.Context) error {
	return ignoreServerClosed(l.ready.ListenAndServe())
}

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Drain makes further responses ask callers to close their connections.
func (l *Listener) Drain() { l.draining.Store(true) }

// Shutdown stops accepting connections and requests of callers, and waits for the
// responses to requests in progress until the context ends.
func (l *Listener) Shutdown(ctx context.Context) error {
	defer l.stop()
	l.Drain()
	l.mu.Lock()
	l.closing = true
	l.mu.Unlock()
	return l.callers.Shutdown(ctx)
}

// Close closes both servers and their connections.
func (l *Listener) Close() error {
	defer l.stop()
	return errors.Join(l.callers.Close(), l.ready.Close())
}

func (l *Listener) stop() { l.stopOnce.Do(func() { close(l.stopped) }) }
