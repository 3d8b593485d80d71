package admission

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/rollout/memory"
)

// Sizes of the kernel's buffers, which the kernel doubles, and of heads.
const (
	// readBufferBytes bounds the unread bytes of a connection that the kernel keeps. Small
	// requests fit; the default would be 128 KiB and grow to several MiB.
	readBufferBytes = 32 << 10
	// writeBufferBytes bounds the bytes that the kernel keeps for a caller that reads slowly.
	writeBufferBytes = 32 << 10
	// wideBufferBytes is the size for large bodies and responses; the data of a round trip of
	// 11 ms at 80 Mbit/s.
	wideBufferBytes = 128 << 10
	// ordinaryHeadBytes is the size of a request's head up to which it is covered by its
	// connection. A longer one reserves headFactor times its size while it arrives, because
	// short fields take many times their size once they are parsed.
	ordinaryHeadBytes = 8 << 10
	headFactor        = 32
)

// Limits of writes to callers.
const (
	// writeTimeout is how long a write to a caller may make no progress.
	writeTimeout = 10 * time.Second
	// writeUnitBytes is the unit in which the progress of writes is observed.
	writeUnitBytes = 64 << 10
)

// registry bounds the open connections. It is guarded by Controller.mu.
type registry struct {
	limit, count int
	// idle holds the connections that have no complete request, the one that has been so for
	// longest first.
	idle *list.List
}

func newRegistry(limit int) registry { return registry{limit: limit, idle: list.New()} }

// wait records that a connection has no complete request from now on.
func (r *registry) wait(c *conn) {
	if c.element == nil && !c.closed {
		c.element = r.idle.PushBack(c)
	}
}

// leave records that a connection has a complete request or is closed.
func (r *registry) leave(c *conn) {
	if c.element != nil {
		r.idle.Remove(c.element)
		c.element = nil
	}
}

// listener admits connections.
type listener struct {
	net.Listener
	controller *Controller
}

// Accept returns the next connection that is admitted.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.controller.connect(raw); c != nil {
			return c, nil
		}
	}
}

// connect admits a connection. If there are too many, it closes the one that has been
// without a complete request for longest, or the new one if all have one.
func (c *Controller) connect(raw net.Conn) net.Conn {
	out := &conn{Conn: raw, controller: c}
	if tcp, ok := raw.(*net.TCPConn); ok {
		// The calls fail only if the caller has already closed the connection.
		_ = tcp.SetReadBuffer(readBufferBytes)
		_ = tcp.SetWriteBuffer(writeBufferBytes)
	}
	c.mu.Lock()
	var victim *conn
	if c.connections.count >= c.connections.limit {
		victim = out
		if e := c.connections.idle.Front(); e != nil {
			victim = e.Value.(*conn)
		}
		c.metrics.closed[closedConnections].Inc(1)
		c.log(event.ConnectionsFull, event.Fields{"Connections": c.connections.count, "Limit": c.connections.limit, "Remote": victim.RemoteAddr().String(), "Refused": victim == out})
	}
	c.connections.count++
	c.account.Connect()
	c.connections.wait(out)
	c.mu.Unlock()
	if victim != nil {
		victim.reset()
	}
	if victim == out {
		return nil
	}
	return out
}

// conn is the connection of a caller.
type conn struct {
	net.Conn
	controller *Controller
	// serving reports whether a request's head has arrived and the server doesn't wait for the
	// next one yet. It may read the rest of a body after the handler has returned.
	serving atomic.Bool
	// headBytes counts the bytes read since the server began to wait for a request.
	headBytes atomic.Int64

	// The fields below are guarded by Controller.mu.

	element *list.Element
	closed  bool
	// head is the memory of a large head while it arrives.
	head memory.Holding
	// lease is that of the request in progress, or nil.
	lease *lease
}

type connKey struct{}

// connOf returns the connection of a request, or nil if it is not known.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// beginRequest is called with Controller.mu held when a request's head has arrived.
func (c *conn) beginRequest(l *lease) {
	c.controller.account.Free(&c.head)
	c.lease = l
	c.serving.Store(true)
}

// endRequest is called with Controller.mu held when the handler of a request has returned.
func (c *conn) endRequest(widened bool) {
	c.lease = nil
	c.controller.connections.wait(c)
	if tcp, ok := c.Conn.(*net.TCPConn); ok && widened {
		_ = tcp.SetReadBuffer(readBufferBytes)
		_ = tcp.SetWriteBuffer(writeBufferBytes)
	}
}

// ConnState is the ConnState function of the server of the Listener's connections.
func (c *Controller) ConnState(nc net.Conn, state http.ConnState) {
	if admitted, ok := nc.(*conn); ok && state == http.StateIdle {
		admitted.headBytes.Store(0)
		admitted.serving.Store(false)
	}
}

// widen enlarges the kernel's buffer for the body and returns its size in memory.
func (c *conn) widen() int64 {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(wideBufferBytes)
	}
	return 2 * wideBufferBytes
}

// widenWrites enlarges the kernel's buffer for the response and returns its size in memory.
func (c *conn) widenWrites() int64 {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(wideBufferBytes)
	}
	return 2 * wideBufferBytes
}

// Read reads from the connection. It fails if the head of a request is larger than an
// ordinary one and there is no memory for it.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n <= 0 || c.serving.Load() {
		return n, err
	}
	if c.headBytes.Add(int64(n)) > ordinaryHeadBytes {
		if headErr := c.controller.reserveHead(c, int64(n)); headErr != nil {
			// The server may ignore the error of one read.
			c.reset()
			return 0, headErr
		}
	}
	return n, err
}

func (c *Controller) reserveHead(nc *conn, n int64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if nc.closed || c.account.Reserve(&nc.head, headFactor*n) {
		return nil
	}
	c.metrics.refused[memory.Common].Inc(1)
	c.log(event.MemoryShort, event.Fields{
		"Share": memory.Common.String(), "Bytes": headFactor * n, "Used": c.account.Used(memory.Common), "Capacity": c.account.Capacity(memory.Common), "Remote": nc.RemoteAddr().String(),
	})
	return fmt.Errorf("no memory for the head of a request of over %d bytes", ordinaryHeadBytes)
}

// Write writes to the connection. It fails if the caller receives nothing for writeTimeout.
func (c *conn) Write(data []byte) (int, error) {
	written := 0
	for written < len(data) {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(data[written:min(len(data), written+writeUnitBytes)])
		written += n
		if n > 0 {
			c.controller.wrote(c, n)
		}
		if err != nil && (n == 0 || !errors.Is(err, os.ErrDeadlineExceeded)) {
			c.controller.writeFailed(c, err)
			return written, err
		}
	}
	return written, nil
}

// wrote records the progress of a caller that receives a large response.
func (c *Controller) wrote(nc *conn, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if nc.lease != nil {
		c.account.Moved(&nc.lease.holding, int64(n), time.Now())
	}
}

func (c *Controller) writeFailed(nc *conn, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.metrics.closed[closedUnread].Inc(1)
		c.log(event.ResponseUnread, event.Fields{"Remote": nc.RemoteAddr().String()})
	}
}

// CloseWrite ends the sending direction. The server calls it before it closes a connection
// whose caller may still be sending.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close closes the connection.
func (c *conn) Close() error {
	c.controller.disconnect(c)
	return c.Conn.Close()
}

func (c *Controller) disconnect(nc *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if nc.closed {
		return
	}
	nc.closed = true
	c.connections.leave(nc)
	c.connections.count--
	c.account.Disconnect()
	c.account.Free(&nc.head)
	c.grantWaiting()
}

// reset closes the connection and discards what the kernel keeps for it.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	// An error means that the connection is closed already.
	_ = c.Close()
}
