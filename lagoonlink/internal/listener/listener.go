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
	"net/http"
	"sync/atomic"
	"time"
)

// Limits of the servers. Callers that respect the operators' limits do not reach
// them; they only keep a misbehaving caller from holding resources.
const (
	headerTimeout = 10 * time.Second
	// idleTimeout is well above the time for which callers reuse idle connections.
	idleTimeout    = 120 * time.Second
	maxHeaderBytes = 64 << 10
)

// Config configures the servers.
type Config struct {
	Address string
	Callers http.Handler
	// ReadyAddress and Ready are for the load balancer's readiness checks.
	ReadyAddress string
	Ready        http.Handler
}

// Listener runs the two servers.
type Listener struct {
	callers  *http.Server
	ready    *http.Server
	active   atomic.Int64
	draining atomic.Bool
}

// New returns a Listener that is not listening yet.
func New(c Config) *Listener {
	l := &Listener{ready: newServer(c.ReadyAddress, c.Ready)}
	l.callers = newServer(c.Address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.active.Add(1)
		defer l.active.Add(-1)
		if l.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		c.Callers.ServeHTTP(w, r)
	}))
	return l
}

func newServer(address string, h http.Handler) *http.Server {
	return &http.Server{
		Addr: address, Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		DisableGeneralOptionsHandler: true,
	}
}

// Active returns the number of requests in progress.
func (l *Listener) Active() int { return int(l.active.Load()) }

// Serve serves callers until Shutdown or Close.
func (l *Listener) Serve(context.Context) error {
	return ignoreServerClosed(l.callers.ListenAndServe())
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

// Shutdown stops accepting callers' connections and waits for requests in progress
// until the context ends.
func (l *Listener) Shutdown(ctx context.Context) error { return l.callers.Shutdown(ctx) }

// Close closes both servers and their connections.
func (l *Listener) Close() error { return errors.Join(l.callers.Close(), l.ready.Close()) }
