// Package hop has the form of messages that pass requests from a VM that reaches no backend
// server to one that does (docs/design/unreachable-servers.md). A message is a head in CBOR,
// preceded by its length, and a body.
package hop

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lagoonlink.org/rollout"
)

const (
	// MaxHeadBytes limits an encoded head that has no other limit. Callers' headers have at
	// most 24 KiB.
	MaxHeadBytes = 64 << 10
	// LengthBytes is the size of the length, big-endian, that precedes a head.
	LengthBytes = 4
)

// wayMargin is the part of the remaining time that the way between the VMs takes.
const wayMargin = 8 * time.Millisecond

// TimeLeft returns the time in milliseconds, at least 1, that the other VM has for a request,
// or 0 if it has no deadline. No clocks are compared.
func TimeLeft(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(1, (time.Until(deadline) - wayMargin).Milliseconds())
}

// Head is a head that is checked when it is decoded.
type Head interface {
	// Check returns an error for the first invalid field.
	Check() error
}

// Failure is a rollout.Failure. The zero value of Verdict is the conservative one.
type Failure struct {
	Verdict    rollout.Verdict
	Reason     rollout.Reason
	Detail     string        `cbor:",omitempty"`
	RetryAfter time.Duration `cbor:",omitempty"`
}

// NewFailure returns the message for an error.
func NewFailure(err error) *Failure {
	f := rollout.FailureOf(err)
	detail := f.Detail
	if f.Cause != nil {
		detail += ": " + f.Cause.Error()
	}
	return &Failure{Verdict: f.Verdict, Reason: f.Reason, Detail: detail, RetryAfter: f.RetryAfter}
}

// Err returns the failure as a *rollout.Failure.
func (f *Failure) Err() error {
	return &rollout.Failure{Verdict: f.Verdict, Reason: f.Reason, Detail: f.Detail, RetryAfter: f.RetryAfter}
}

// EncodeHead returns the length of a head and the head. It fails if the head is longer than
// limit bytes.
func EncodeHead(head Head, limit int) ([]byte, error) {
	data, err := cbor.Marshal(head)
	if err != nil {
		return nil, rollout.Wrapf(err, "encode a head")
	}
	if len(data) > limit {
		return nil, fmt.Errorf("encode a head: got %d bytes, expected at most %d", len(data), limit)
	}
	out := binary.BigEndian.AppendUint32(make([]byte, 0, LengthBytes+len(data)), uint32(len(data)))
	return append(out, data...), nil
}

// decodeHead ignores unknown fields, so that newer builds may add some.
func decodeHead(data []byte, head Head) error {
	if err := cbor.Unmarshal(data, head); err != nil {
		return rollout.Wrapf(err, "decode a head")
	}
	return head.Check()
}

var errShortHead = errors.New("the message ends within its head")

// SplitHead decodes the head of a message and returns the body after it.
func SplitHead(message []byte, head Head) (body []byte, err error) {
	if len(message) < LengthBytes {
		return nil, errShortHead
	}
	n := uint64(binary.BigEndian.Uint32(message))
	message = message[LengthBytes:]
	if n > uint64(len(message)) {
		return nil, errShortHead
	}
	return message[n:], decodeHead(message[:n], head)
}

// ReadHead reads a head of at most limit bytes and leaves the body unread.
func ReadHead(r io.Reader, head Head, limit int) error {
	var length [LengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(length[:])
	if uint64(n) > uint64(limit) {
		return fmt.Errorf("read a head: got %d bytes, expected at most %d", n, limit)
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r, data); err != nil {
		return err
	}
	return decodeHead(data, head)
}
