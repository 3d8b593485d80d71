// Package wire defines the messages between entry VMs and their CBOR encoding.
//
// Probes are sent as datagrams, all other messages as frames on a WebSocket. The
// decoder limits the size, nesting depth and number of elements of a message,
// rejects unknown fields, and validates the decoded message. A datagram is
// authenticated by a MAC under a key that all entry VMs of a deployment share;
// two keys are valid during a key rotation.
package wire

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"fmt"
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/configuration"
	"lagoonlink.org/rollout/lifecycle"
	"lagoonlink.org/rollout/membership"
	"lagoonlink.org/rollout/request"
)

// Size limits of messages.
const (
	MaxDatagramBytes = 8 << 10
	MaxFrameBytes    = 32 << 20
	maxUpdates       = 64
	maxSuspicions    = 64
	// macBytes is the length of a MAC, the first half of an HMAC-SHA-256.
	macBytes = sha256.Size / 2
)

// ErrInvalidMAC means that the MAC of a datagram was not computed with a valid key,
// or that the datagram's length is out of range.
var ErrInvalidMAC = errors.New("wire: MAC of the datagram does not match any key")

var (
	encMode = must(cbor.EncOptions{}.EncMode())
	decMode = must(cbor.DecOptions{
		MaxNestedLevels:   8,
		MaxArrayElements:  rollout.MaxSamplesPerStep,
		MaxMapPairs:       1024,
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		IndefLength:       cbor.IndefLengthForbidden,
	}.DecMode())
)

func must[T any](mode T, err error) T {
	if err != nil {
		panic(err)
	}
	return mode
}

// Checker is a message that Decode validates.
type Checker interface {
	// Check returns an error for the first invalid field.
	Check() error
}

// Probe is a datagram between entry VMs.
type Probe struct {
	Message membership.Message
	// Rumors are the suspicions that the sender shares.
	Rumors []request.SharedSuspicion `cbor:",omitempty"`
}

// Check returns an error for the first invalid field of the probe.
func (p *Probe) Check() error {
	m := &p.Message
	if m.Kind < membership.KindPing || m.Kind > membership.KindPingRequest {
		return fmt.Errorf("Kind: got %d, expected a known kind", m.Kind)
	}
	if len(m.Updates) > maxUpdates || len(p.Rumors) > maxSuspicions {
		return fmt.Errorf("Updates, Rumors: got %d and %d, expected at most %d and %d", len(m.Updates), len(p.Rumors), maxUpdates, maxSuspicions)
	}
	if m.Target != "" {
		if _, err := netip.ParseAddrPort(m.Target); err != nil {
			return fmt.Errorf("Target: got %q, expected IP address and port", m.Target)
		}
	}
	for _, u := range append([]membership.Update{m.From}, m.Updates...) {
		if err := checkUpdate(u); err != nil {
			return err
		}
	}
	return nil
}

func checkUpdate(u membership.Update) error {
	if err := rollout.CheckName("Update.Name", string(u.Name)); err != nil {
		return err
	}
	if err := rollout.CheckName("Update.Zone", string(u.Zone)); err != nil {
		return err
	}
	if _, err := netip.ParseAddrPort(u.Address); err != nil {
		return fmt.Errorf("Update.Address: got %q, expected IP address and port", u.Address)
	}
	switch u.State {
	case lifecycle.VMAlive, lifecycle.VMSuspect, lifecycle.VMDead, lifecycle.VMLeft:
		return nil
	}
	return fmt.Errorf("Update.State: got %q, expected a known state", u.State)
}

// Body is the content of a frame. Exactly one field is set.
type Body struct {
	Open          *OpenStep             `cbor:",omitempty"`
	Pull          *rollout.Pull         `cbor:",omitempty"`
	Close         *CloseStep            `cbor:",omitempty"`
	FetchState    *FetchState           `cbor:",omitempty"`
	Run           *RunIdentified        `cbor:",omitempty"`
	Opened        *Opened               `cbor:",omitempty"`
	PullAnswer    *rollout.PullResponse `cbor:",omitempty"`
	Closed        *Closed               `cbor:",omitempty"`
	State         *configuration.State  `cbor:",omitempty"`
	ServiceAnswer *rollout.CallResponse `cbor:",omitempty"`
	Failure       *Failure              `cbor:",omitempty"`
}

// The requests between entry VMs and the responses to them.
type (
	// OpenStep asks the receiver to become the holder of a step.
	OpenStep struct{ Plan rollout.StepPlan }
	// Opened is the response to OpenStep.
	Opened struct{ Holder rollout.VMName }
	// CloseStep asks the holder to end a step.
	CloseStep struct{ Step rollout.StepKey }
	// Closed is the response to CloseStep.
	Closed struct{}
	// FetchState asks for the configuration state of the receiver.
	FetchState struct{}
	// RunIdentified asks the VM that issued an identity to run the call that the
	// identity belongs to.
	RunIdentified struct {
		Identity string
		Service  rollout.ServiceName
		Caller   rollout.CallerName
		Call     rollout.Call
	}
	// Failure is the response to a request that was refused or that failed.
	Failure struct {
		Verdict rollout.Verdict
		Reason  rollout.Reason
		Detail  string
	}
)

// Frame is a message on a WebSocket between entry VMs.
type Frame struct {
	// ID is the same in a request and its response.
	ID   uint64
	Body Body
}

// Check returns an error for the first invalid field of the frame.
func (f *Frame) Check() error {
	b := &f.Body
	set := 0
	for _, present := range []bool{
		b.Open != nil, b.Pull != nil, b.Close != nil, b.FetchState != nil, b.Run != nil, b.Opened != nil,
		b.PullAnswer != nil, b.Closed != nil, b.State != nil, b.ServiceAnswer != nil, b.Failure != nil,
	} {
		if present {
			set++
		}
	}
	if set != 1 {
		return fmt.Errorf("Body: got %d messages, expected 1", set)
	}
	switch {
	case b.Open != nil:
		return b.Open.Plan.Check()
	case b.Pull != nil:
		return b.Pull.Check()
	case b.State != nil:
		return b.State.Check()
	case b.Run != nil:
		return rollout.CheckName("Run.Service", string(b.Run.Service))
	}
	return nil
}

// Encode returns the CBOR encoding of a message. It fails if the encoding is longer
// than limit bytes.
func Encode(message Checker, limit int) ([]byte, error) {
	data, err := encMode.Marshal(message)
	if err != nil {
		return nil, rollout.Wrapf(err, "encode a message")
	}
	if len(data) > limit {
		return nil, fmt.Errorf("encode a message: got %d bytes, expected at most %d", len(data), limit)
	}
	return data, nil
}

// Decode decodes and validates a message. It fails if the data is longer than limit
// bytes.
func Decode(data []byte, limit int, message Checker) error {
	if len(data) > limit {
		return fmt.Errorf("decode a message: got %d bytes, expected at most %d", len(data), limit)
	}
	if err := decMode.Unmarshal(data, message); err != nil {
		return rollout.Wrapf(err, "decode a message")
	}
	return rollout.Wrapf(message.Check(), "validate a message")
}

// AppendMAC returns the data followed by its MAC under a key.
func AppendMAC(key, data []byte) []byte {
	return append(data[:len(data):len(data)], computeMAC(key, data)...)
}

// VerifyMAC verifies the MAC of a datagram against the keys and returns its data.
// It returns ErrInvalidMAC if no key matches.
func VerifyMAC(keys [][]byte, datagram []byte) ([]byte, error) {
	if len(datagram) < macBytes || len(datagram) > MaxDatagramBytes {
		return nil, ErrInvalidMAC
	}
	dataLen := len(datagram) - macBytes
	for _, k := range keys {
		if hmac.Equal(computeMAC(k, datagram[:dataLen]), datagram[dataLen:]) {
			return datagram[:dataLen], nil
		}
	}
	return nil, ErrInvalidMAC
}

func computeMAC(key, data []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(data)
	return mac.Sum(nil)[:macBytes]
}

// NewFailure returns the message for an error.
func NewFailure(err error) *Failure {
	f := rollout.FailureOf(err)
	return &Failure{Verdict: f.Verdict, Reason: f.Reason, Detail: f.Detail}
}

// Err returns the failure as a *rollout.Failure.
func (f *Failure) Err() error {
	return &rollout.Failure{Verdict: f.Verdict, Reason: f.Reason, Detail: f.Detail}
}
