// Package admission protects an entry VM against clients that use its memory or its
// connections up. Every request holds a lease, through which it reserves memory before the
// memory is used; package memory keeps the account. Connections that make no progress are
// closed when memory or connections run short, and after a time limit in any case.
package admission

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/memory"
)

// Limits of waiting.
const (
	// stallGrace is how long a caller may make no progress before its request can be evicted
	// in favour of another one. Loss of a packet delays an honest caller by some 200 ms.
	stallGrace = 500 * time.Millisecond
	// A request for which there is no room tries again after retryDelay, up to reserveAttempts
	// times in total. It is granted memory earlier if some is released.
	retryDelay      = 150 * time.Millisecond
	reserveAttempts = 4
	// maxWaiting limits the requests that wait for memory; further ones are refused at once.
	// Small requests may wait beside as many large ones.
	maxWaiting = 64
	// unaccountedShare is the fraction of the account that responses may take in addition to it
	// while they wait for memory.
	unaccountedShare = 0.0625
	// retryAfter is the delay that a refusal states: by then stalled requests are evicted.
	retryAfter = time.Second
	// defaultIdleTimeout applies while no configuration states a timeout.
	defaultIdleTimeout = 15 * time.Second
	// logInterval is the least time between two lines of one event. Clients could otherwise
	// flood the log.
	logInterval = time.Second
)

// Config configures a Controller.
type Config struct {
	Limits memory.Limits
	// IdleTimeout returns the time after which the connection of a body that does not arrive
	// is closed; 0 means the default.
	IdleTimeout func() time.Duration
	Logger      *event.Logger
	Metrics     tally.Scope
}

// Controller admits connections and requests. It is safe for concurrent use.
type Controller struct {
	config  Config
	metrics metrics

	// mu guards the fields below and the fields of leases and connections that say so.
	mu      sync.Mutex
	account *memory.Account
	leases  map[*memory.Holding]*lease
	waiting []*waiter
	// unaccounted is the total size of the responses that wait for memory.
	unaccounted int64
	connections registry
	// logged holds the events that were logged recently.
	logged map[int]*loggedEvent
}

// waiter is a request that waits for memory.
type waiter struct {
	lease *lease
	n     int64
	// granted is closed when the memory is reserved.
	granted chan struct{}
}

// New returns a Controller and logs its limits.
func New(c Config) *Controller {
	c.Logger.Write(event.MemoryLimits, event.Fields{"Bytes": c.Limits.Total, "SmallBytes": c.Limits.Small, "MediumBytes": c.Limits.Medium, "Connections": c.Limits.Connections})
	return &Controller{
		config: c, metrics: newMetrics(c.Metrics), account: memory.NewAccount(c.Limits), leases: map[*memory.Holding]*lease{},
		connections: newRegistry(c.Limits.Connections), logged: map[int]*loggedEvent{},
	}
}

// lease is the memory of one request. Its holding and flags are guarded by Controller.mu.
type lease struct {
	controller *Controller
	// conn is nil if the request did not arrive through Listener.
	conn    *conn
	holding memory.Holding
	// headerBytes is the memory of the request's header, which the first reservation adds.
	headerBytes int64
	// widened reports whether the connection has large kernel buffers.
	widened bool
}

type leaseKey struct{}

// leaseOf returns the lease of a request, or nil if it has none.
func leaseOf(ctx context.Context) *lease {
	l, _ := ctx.Value(leaseKey{}).(*lease)
	return l
}

// Handler returns a handler that gives each request a lease, which ends when h returns.
func (c *Controller) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l := &lease{controller: c, conn: connOf(r.Context()), headerBytes: headerCost(r.Header)}
		c.begin(l)
		b := newBody(l, w, r)
		defer func() {
			b.abandon()
			c.end(l)
		}()
		r = r.WithContext(context.WithValue(r.Context(), leaseKey{}, l))
		r.Body = b
		h.ServeHTTP(w, r)
	})
}

func (c *Controller) begin(l *lease) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leases[&l.holding] = l
	if l.conn != nil {
		l.conn.beginRequest(l)
	}
}

// end returns the memory of a request. Its connection waits for the next one.
func (c *Controller) end(l *lease) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.account.Free(&l.holding)
	delete(c.leases, &l.holding)
	if l.conn != nil {
		l.conn.endRequest(l.widened)
	}
	c.grantWaiting()
}

// Reserve reserves n bytes for the request of ctx until it has ended. If there is no room,
// it waits briefly; its error is a refusal.
func (c *Controller) Reserve(ctx context.Context, n int) error {
	l := leaseOf(ctx)
	if l == nil {
		return nil
	}
	c.mu.Lock()
	size := int64(n) + l.headerBytes
	l.headerBytes = 0
	if !l.widened && l.conn != nil && l.holding.Bytes()+size > memory.SmallRequestBytes {
		size += l.conn.widen()
		l.widened = true
	}
	return c.reserveLocked(ctx, l, size, true)
}

// Release returns n bytes that the request of ctx reserved.
func (c *Controller) Release(ctx context.Context, n int) {
	l := leaseOf(ctx)
	if l == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.account.Shrink(&l.holding, int64(n))
	c.grantWaiting()
}

// Respond replaces the reservation of the request of ctx by one of n bytes for its response.
// The caller must not use the request's body afterwards. The request waits for its caller
// from now on. The error is a refusal; the caller decides whether the request has run.
func (c *Controller) Respond(ctx context.Context, n int) error {
	l := leaseOf(ctx)
	if l == nil {
		return nil
	}
	c.mu.Lock()
	c.account.Free(&l.holding)
	c.grantWaiting()
	size := int64(n)
	if l.conn != nil && size > memory.SmallRequestBytes {
		size += l.conn.widenWrites()
		l.widened = true
	}
	// The response is in memory already, so only few may wait until it is accounted for.
	mayWait := c.unaccounted+size <= int64(unaccountedShare*float64(c.config.Limits.Total))
	c.unaccounted += size
	err := c.reserveLocked(ctx, l, size, mayWait)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unaccounted -= size
	if err == nil {
		c.account.Await(&l.holding, time.Now())
	}
	return err
}

// reserveLocked is called with c.mu held and releases it.
func (c *Controller) reserveLocked(ctx context.Context, l *lease, n int64, mayWait bool) error {
	if !c.account.Fits(l.holding.Bytes() + n) {
		size := l.holding.Bytes() + n
		c.log(event.RequestOverMemory, event.Fields{"Bytes": size, "Remote": l.remote()})
		c.mu.Unlock()
		return rollout.Refuse(rollout.ReasonTooLarge, "the request needs %d bytes of memory, more than this VM has", size)
	}
	if c.account.Reserve(&l.holding, n) {
		c.mu.Unlock()
		return nil
	}
	most := maxWaiting
	if l.holding.Bytes()+n <= memory.SmallRequestBytes {
		// Large requests can't keep small ones from waiting.
		most *= 2
	}
	if !mayWait || len(c.waiting) >= most {
		victims := c.account.Evict(&l.holding, n, time.Now().Add(-stallGrace))
		err := c.refuseLocked(l, n)
		c.closeAll(victims)
		return err
	}
	w := &waiter{lease: l, n: n, granted: make(chan struct{})}
	c.waiting = append(c.waiting, w)
	for attempt := 1; ; attempt++ {
		victims := c.account.Evict(&l.holding, n, time.Now().Add(-stallGrace))
		c.mu.Unlock()
		c.closeAll(victims)
		t := time.NewTimer(retryDelay)
		select {
		case <-w.granted:
			t.Stop()
			return nil
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
		}
		c.mu.Lock()
		select {
		case <-w.granted:
			c.mu.Unlock()
			return nil
		default:
		}
		if attempt == reserveAttempts || ctx.Err() != nil {
			c.removeWaiter(w)
			return c.refuseLocked(l, n)
		}
	}
}

// refuseLocked is called with c.mu held and releases it.
func (c *Controller) refuseLocked(l *lease, n int64) error {
	share := memory.Common
	if l.holding.Bytes()+n <= memory.SmallRequestBytes {
		share = memory.Small
	}
	used, capacity := c.account.Used(share), c.account.Capacity(share)
	c.metrics.refused[share].Inc(1)
	c.log(event.MemoryShort, event.Fields{"Share": share.String(), "Bytes": n, "Used": used, "Capacity": capacity, "Remote": l.remote()})
	c.mu.Unlock()
	return rollout.Refuse(rollout.ReasonOverloaded, "no memory for %d bytes: %d of %d are in use", n, used, capacity).WithRetryAfter(retryAfter)
}

func (c *Controller) removeWaiter(w *waiter) {
	for i, other := range c.waiting {
		if other == w {
			c.waiting = append(c.waiting[:i], c.waiting[i+1:]...)
			return
		}
	}
}

// grantWaiting reserves memory for the waiting requests for which there is room now, and
// updates the metrics. The caller holds c.mu.
func (c *Controller) grantWaiting() {
	kept := c.waiting[:0]
	for _, w := range c.waiting {
		if c.account.Reserve(&w.lease.holding, w.n) {
			close(w.granted)
			continue
		}
		kept = append(kept, w)
	}
	clear(c.waiting[len(kept):])
	c.waiting = kept
	c.metrics.reserved[memory.Common].Update(float64(c.account.Used(memory.Common)))
	c.metrics.reserved[memory.Small].Update(float64(c.account.Used(memory.Small)))
}

// closeAll closes the connections of evicted requests.
func (c *Controller) closeAll(victims []*memory.Holding) {
	for _, h := range victims {
		c.mu.Lock()
		l := c.leases[h]
		if l != nil {
			c.metrics.closed[closedStalled].Inc(1)
			c.log(event.RequestEvicted, event.Fields{"Bytes": h.Bytes(), "Remote": l.remote()})
		}
		c.mu.Unlock()
		if l != nil && l.conn != nil {
			l.conn.reset()
		}
	}
}

// await records that a request waits for its caller.
func (c *Controller) await(l *lease) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.account.Await(&l.holding, time.Now())
}

// moved records that the caller of a request sent or received n bytes.
func (c *Controller) moved(l *lease, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.account.Moved(&l.holding, int64(n), time.Now())
}

// complete records that a request has arrived completely.
func (c *Controller) complete(l *lease) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.account.Settle(&l.holding)
	if l.conn != nil {
		c.connections.leave(l.conn)
	}
}

func (c *Controller) idleTimeout() time.Duration {
	if c.config.IdleTimeout != nil {
		if d := c.config.IdleTimeout(); d > 0 {
			return d
		}
	}
	return defaultIdleTimeout
}

func (l *lease) remote() string {
	if l.conn == nil {
		return ""
	}
	return l.conn.RemoteAddr().String()
}

// Listener returns a listener whose connections are bounded.
func (c *Controller) Listener(l net.Listener) net.Listener {
	return &listener{Listener: l, controller: c}
}

// ConnContext is the ConnContext function of the server of the Listener's connections.
func (c *Controller) ConnContext(ctx context.Context, nc net.Conn) context.Context {
	if admitted, ok := nc.(*conn); ok {
		return context.WithValue(ctx, connKey{}, admitted)
	}
	return ctx
}
