package admission

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"lagoonlink.org/lagoonlink/internal/event"
)

const (
	// deadlineMargin is the part of the idle timeout by which a read deadline is later than
	// the timeout, so that it needs to be set only from time to time.
	deadlineMargin = 0.25
	// discardTimeout limits the time for which the server reads the rest of a body that the
	// handler did not read. The server reads at most 256 KB.
	discardTimeout = 500 * time.Millisecond
	// An ordinary header costs nothing beyond its connection; a larger one costs
	// headerFieldBytes for each field in addition to twice its text.
	ordinaryHeaderBytes = 8 << 10
	headerFieldBytes    = 256
)

// headerCost returns the memory of a header that is larger than an ordinary one.
func headerCost(h http.Header) int64 {
	cost := 0
	for name, values := range h {
		for _, v := range values {
			cost += headerFieldBytes + 2*(len(name)+len(v))
		}
	}
	if cost <= ordinaryHeaderBytes {
		return 0
	}
	return int64(cost)
}

// body is the body of a request. It sets read deadlines and reports the caller's progress.
type body struct {
	io.ReadCloser
	lease   *lease
	control *http.ResponseController
	// started and complete report whether the body was read and whether it has ended.
	started, complete bool
	deadline          time.Time
}

func newBody(l *lease, w http.ResponseWriter, r *http.Request) *body {
	b := &body{ReadCloser: r.Body, lease: l, control: http.NewResponseController(w)}
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		b.ReadCloser, b.complete = http.NoBody, true
		l.controller.complete(l)
	}
	return b
}

// Read reads from the body. It fails if nothing arrives for the idle timeout.
func (b *body) Read(data []byte) (int, error) {
	if b.complete {
		return 0, io.EOF
	}
	if !b.started {
		b.started = true
		b.lease.controller.await(b.lease)
	}
	b.extendDeadline()
	n, err := b.ReadCloser.Read(data)
	switch {
	case errors.Is(err, io.EOF):
		b.complete = true
		// Without a connection, such as in a test, there is no deadline.
		_ = b.control.SetReadDeadline(time.Time{})
		b.lease.controller.complete(b.lease)
	case err != nil:
		b.lease.controller.readFailed(b.lease, err)
	default:
		b.lease.controller.moved(b.lease, n)
	}
	return n, err
}

func (b *body) extendDeadline() {
	timeout := b.lease.controller.idleTimeout()
	now := time.Now()
	if b.deadline.Sub(now) >= timeout {
		return
	}
	b.deadline = now.Add(timeout + time.Duration(deadlineMargin*float64(timeout)))
	_ = b.control.SetReadDeadline(b.deadline)
}

// abandon limits the time for which the server reads the rest of the body.
func (b *body) abandon() {
	if !b.complete {
		_ = b.control.SetReadDeadline(time.Now().Add(discardTimeout))
	}
}

func (c *Controller) readFailed(l *lease, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.metrics.closed[closedIdle].Inc(1)
		c.log(event.BodyStalled, event.Fields{"Bytes": l.holding.Bytes(), "Remote": l.remote()})
	}
}
