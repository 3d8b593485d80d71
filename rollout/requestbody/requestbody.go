// Package requestbody reads the bodies of callers' requests into memory that is reserved
// first, so that bodies which stop short of their end can't exhaust the memory of a VM.
package requestbody

import (
	"context"
	"errors"
	"io"
	"net/http"

	"lagoonlink.org/rollout"
)

// firstChunkBytes is the first size of the buffer for a body of unknown length.
const firstChunkBytes = 4 << 10

// Memory reserves and releases memory of a request, whose context identifies it. Its errors
// are refusals.
type Memory interface {
	Reserve(ctx context.Context, bytes int) error
	Release(ctx context.Context, bytes int)
}

// Read reads the body of a request of at most limit bytes into memory that it reserves first.
// A body that is announced to exceed the limit isn't read. The errors are Failures with the
// verdict NotRun.
func Read(r *http.Request, limit int, m Memory) ([]byte, error) {
	switch {
	case r.ContentLength > int64(limit):
		return nil, tooLarge(limit)
	case r.ContentLength >= 0:
		if err := m.Reserve(r.Context(), int(r.ContentLength)); err != nil {
			return nil, err
		}
		body := make([]byte, r.ContentLength)
		if _, err := io.ReadFull(r.Body, body); err != nil {
			return nil, unreadable(err)
		}
		return body, nil
	}
	return readChunked(r, limit, m)
}

// readChunked reads a body of unknown length. The buffer doubles its size up to a quarter of
// the limit and then gets the limit. While it is copied, both the old and the new one are
// reserved; growing from half of the limit would need more memory.
func readChunked(r *http.Request, limit int, m Memory) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			if len(body) == limit {
				return body, expectEnd(r, limit)
			}
			size := max(firstChunkBytes, 2*cap(body))
			if size > limit/4 {
				size = limit
			}
			if err := m.Reserve(r.Context(), size); err != nil {
				return nil, err
			}
			old := body
			body = append(make([]byte, 0, size), old...)
			m.Release(r.Context(), cap(old))
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, unreadable(err)
		}
	}
}

// expectEnd returns an error unless the body has ended.
func expectEnd(r *http.Request, limit int) error {
	n, err := io.ReadFull(r.Body, make([]byte, 1))
	switch {
	case n > 0:
		return tooLarge(limit)
	case !errors.Is(err, io.EOF):
		return unreadable(err)
	}
	return nil
}

func tooLarge(limit int) error {
	return rollout.Refuse(rollout.ReasonTooLarge, "request body exceeds %d bytes", limit)
}

func unreadable(err error) error {
	return rollout.Refuse(rollout.ReasonBadRequest, "read request body: %v", err)
}
