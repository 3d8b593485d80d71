// Package listener runs the two servers of an entry VM on the users' platform:
// one that callers connect to and one that the balancer asks for readiness.
//
// The standard library's server is used because it tells at once when a caller
// has closed its connection, which hertz's standard transport does not.
package listener

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"
)

// Limits of the servers. Callers stay within the operators' limits; these only
// keep an ill-behaved one from holding resources.
const (
	headerTimeout = 10 * time.Second
	// idleTimeout is well above the time for which callers reuse connections.
	idleTimeout = 120 * time.Second
	headerBytes = 64 << 10
)

// Config configures the servers.
type Config struct {
	Address string
	Callers http.Handler
	// ReadyAddress and Ready serve the balancer's checks.
	ReadyAddress string
	Ready        http.Handler
}

// Listener is the two servers.
type Listener struct {
	callers *http.Server
	ready   *http.Server
	active  atomic.Int64
	closing atomic.Bool
}

// New returns servers that are not listening yet.
func New(c Config) *Listener {
	l := &Listener{ready: server(c.ReadyAddress, c.Ready)}
	l.callers = server(c.Address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.active.Add(1)
		defer l.active.Add(-1)
		if l.closing.Load() {
			w.Header().Set("Connection", "close")
		}
		c.Callers.ServeHTTP(w, r)
	}))
	return l
}

func server(address string, h http.Handler) *http.Server {
	return &http.Server{
		Addr: address, Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
		DisableGeneralOptionsHandler: true,
	}
}

// Active returns how many requests are in progress.
func (l *Listener) Active() int { return int(l.active.Load()) }

// Serve listens for callers until Close.
func (l *Listener) Serve(context.Context) error { return ended(l.callers.ListenAndServe()) }

// ServeReady listens for readiness checks until Close.
func (l *Listener) ServeReady(context.Context) error { return ended(l.ready.ListenAndServe()) }

func ended(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Drain asks callers to close their connections after the next answer.
func (l *Listener) Drain() { l.closing.Store(true) }

// Shutdown closes the listener and waits for requests in progress.
func (l *Listener) Shutdown(ctx context.Context) error { return l.callers.Shutdown(ctx) }

// Close closes everything.
func (l *Listener) Close() error { return errors.Join(l.callers.Close(), l.ready.Close()) }
