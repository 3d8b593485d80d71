package forwarding

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lagoonlink.org/rollout"
)

const (
	// path is the path of requests of form 1.
	path = "/forwarded/1"
	// maxHeadBytes limits an encoded head. Callers' headers have at most 24 KiB.
	maxHeadBytes = 64 << 10
	// lengthBytes is the size of the length, big-endian, that precedes a head.
	lengthBytes = 4
)

// checker is a head that is checked when it is decoded.
type checker interface {
	// check returns an error for the first invalid field.
	check() error
}

// requestHead is everything of a request but its body, which follows it. Unknown fields are
// ignored, so that newer builds may add some.
type requestHead struct {
	ID      string
	Method  string
	Host    string
	Target  string
	Header  []rollout.HeaderField
	Resumed bool   `cbor:",omitempty"`
	Resumes string `cbor:",omitempty"`
	Tenant  string `cbor:",omitempty"`
	// Version is that of the configuration under which the request was admitted.
	Version rollout.ConfigurationVersion
	// TimeLeft is the time in milliseconds that is left when the request is sent.
	TimeLeft int64
	// MaxAttempts limits the servers that the request may run on.
	MaxAttempts int
	// Counted reports whether the request was counted as begun before.
	Counted bool `cbor:",omitempty"`
}

func (h *requestHead) check() error {
	if h.ID == "" || h.Method == "" || h.Target == "" {
		return fmt.Errorf("ID, Method, Target: got %q, %q, %q, expected no empty one", h.ID, h.Method, h.Target)
	}
	if h.TimeLeft < 1 || h.MaxAttempts < 1 {
		return fmt.Errorf("TimeLeft, MaxAttempts: got %d and %d, expected at least 1", h.TimeLeft, h.MaxAttempts)
	}
	return nil
}

// responseHead precedes the body of a response. Either Status or Failure is set.
type responseHead struct {
	Status   int                   `cbor:",omitempty"`
	Header   []rollout.HeaderField `cbor:",omitempty"`
	Streamed bool                  `cbor:",omitempty"`
	Failure  *failure              `cbor:",omitempty"`
}

func (h *responseHead) check() error {
	if h.Failure == nil && (h.Status < 200 || h.Status > 999) {
		return fmt.Errorf("Status: got %d, expected 200 to 999 or a failure", h.Status)
	}
	return nil
}

// failure is a rollout.Failure. The zero value of Verdict is the conservative one.
type failure struct {
	Verdict    rollout.Verdict
	Reason     rollout.Reason
	Detail     string        `cbor:",omitempty"`
	RetryAfter time.Duration `cbor:",omitempty"`
}

func newFailure(err error) *failure {
	f := rollout.FailureOf(err)
	detail := f.Detail
	if f.Cause != nil {
		detail += ": " + f.Cause.Error()
	}
	return &failure{Verdict: f.Verdict, Reason: f.Reason, Detail: detail, RetryAfter: f.RetryAfter}
}

func (f *failure) err() error {
	return &rollout.Failure{Verdict: f.Verdict, Reason: f.Reason, Detail: f.Detail, RetryAfter: f.RetryAfter}
}

// encodeHead returns the length of a head and the head.
func encodeHead(head checker) ([]byte, error) {
	data, err := cbor.Marshal(head)
	if err != nil {
		return nil, rollout.Wrapf(err, "encode a head")
	}
	if len(data) > maxHeadBytes {
		return nil, fmt.Errorf("encode a head: got %d bytes, expected at most %d", len(data), maxHeadBytes)
	}
	out := binary.BigEndian.AppendUint32(make([]byte, 0, lengthBytes+len(data)), uint32(len(data)))
	return append(out, data...), nil
}

func decodeHead(data []byte, head checker) error {
	if err := cbor.Unmarshal(data, head); err != nil {
		return rollout.Wrapf(err, "decode a head")
	}
	return head.check()
}

var errShortHead = errors.New("the message ends within its head")

// splitHead decodes the head of a message and returns the body after it.
func splitHead(message []byte, head checker) (body []byte, err error) {
	if len(message) < lengthBytes {
		return nil, errShortHead
	}
	n := uint64(binary.BigEndian.Uint32(message))
	message = message[lengthBytes:]
	if n > uint64(len(message)) {
		return nil, errShortHead
	}
	return message[n:], decodeHead(message[:n], head)
}

// readHead reads the head of a message and leaves the body unread.
func readHead(r io.Reader, head checker) error {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(length[:])
	if n > maxHeadBytes {
		return fmt.Errorf("read a head: got %d bytes, expected at most %d", n, maxHeadBytes)
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r, data); err != nil {
		return err
	}
	return decodeHead(data, head)
}
