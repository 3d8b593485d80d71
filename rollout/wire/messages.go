// Package wire defines the messages between entry VMs and their CBOR form.
//
// Probes travel as datagrams, everything else as frames on a WebSocket. Both are
// bounded in size, depth and counts, strict about unknown fields, and check
// themselves when decoded. A datagram is sealed with a key that all entry VMs
// of a deployment share; two keys are valid during a rotation.
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
	"lagoonlink.org/rollout/life"
	"lagoonlink.org/rollout/membership"
	"lagoonlink.org/rollout/request"
)

// Limits of messages.
const (
	MaxDatagramBytes = 8 << 10
	MaxFrameBytes    = 32 << 20
	maxUpdates       = 64
	maxRumors        = 64
	// sealBytes is the length of a seal, the first half of an HMAC-SHA-256.
	sealBytes = sha256.Size / 2
)

// ErrSeal means that a datagram was not sealed with a valid key.
var ErrSeal = errors.New("wire: the datagram's seal does not match any key")

var (
	encoding = must(cbor.EncOptions{}.EncMode())
	decoding = must(cbor.DecOptions{
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

// Checker is a message that checks itself when it is decoded.
type Checker interface {
	Check() error
}

// Probe is a datagram between entry VMs.
type Probe struct {
	Message membership.Message
	Rumors  []request.Rumor `cbor:",omitempty"`
}

// Check reports the first fault of the probe.
func (p *Probe) Check() error {
	m := &p.Message
	if m.Kind < membership.KindPing || m.Kind > membership.KindPingRequest {
		return fmt.Errorf("Kind: got %d", m.Kind)
	}
	if len(m.Updates) > maxUpdates || len(p.Rumors) > maxRumors {
		return fmt.Errorf("Updates, Rumors: got %d and %d, expected at most %d and %d", len(m.Updates), len(p.Rumors), maxUpdates, maxRumors)
	}
	if m.Target != "" {
		if _, err := netip.ParseAddrPort(m.Target); err != nil {
			return fmt.Errorf("Target: got %q, expected IP number and port", m.Target)
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
		return fmt.Errorf("Update.Address: got %q, expected IP number and port", u.Address)
	}
	switch u.State {
	case life.VMAlive, life.VMSuspect, life.VMDead, life.VMLeft:
		return nil
	}
	return fmt.Errorf("Update.State: got %q", u.State)
}

// Body is the content of a frame: exactly one field is set.
type Body struct {
	Open          *OpenStep            `cbor:",omitempty"`
	Pull          *rollout.Pull        `cbor:",omitempty"`
	Close         *CloseStep           `cbor:",omitempty"`
	FetchState    *FetchState          `cbor:",omitempty"`
	Run           *RunIdentified       `cbor:",omitempty"`
	Opened        *Opened              `cbor:",omitempty"`
	PullAnswer    *rollout.PullAnswer  `cbor:",omitempty"`
	Closed        *Closed              `cbor:",omitempty"`
	State         *configuration.State `cbor:",omitempty"`
	ServiceAnswer *rollout.CallAnswer  `cbor:",omitempty"`
	Failure       *Failure             `cbor:",omitempty"`
}

// The requests and answers between entry VMs.
type (
	// OpenStep asks the receiver to hold a step.
	OpenStep struct{ Plan rollout.StepPlan }
	// Opened answers OpenStep.
	Opened struct{ Holder rollout.VMName }
	// CloseStep ends a step.
	CloseStep struct{ Step rollout.StepKey }
	// Closed answers CloseStep.
	Closed struct{}
	// FetchState asks for the folded configuration.
	FetchState struct{}
	// RunIdentified asks the VM that minted an identity to run its call.
	RunIdentified struct {
		Identity string
		Service  rollout.ServiceName
		Caller   rollout.CallerName
		Call     rollout.Call
	}
	// Failure carries a refusal or an error with its verdict.
	Failure struct {
		Verdict rollout.Verdict
		Reason  rollout.Reason
		Detail  string
	}
)

// Frame is a message on a WebSocket between entry VMs.
type Frame struct {
	// ID joins an answer to its request.
	ID   uint64
	Body Body
}

// Check reports the first fault of the frame.
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

// Encode returns the CBOR form of a message within a limit of bytes.
func Encode(message Checker, limit int) ([]byte, error) {
	data, err := encoding.Marshal(message)
	if err != nil {
		return nil, rollout.Tried(err, "encode a message")
	}
	if len(data) > limit {
		return nil, fmt.Errorf("encode a message: got %d bytes, expected at most %d", len(data), limit)
	}
	return data, nil
}

// Decode reads and checks a message within a limit of bytes.
func Decode(data []byte, limit int, into Checker) error {
	if len(data) > limit {
		return fmt.Errorf("decode a message: got %d bytes, expected at most %d", len(data), limit)
	}
	if err := decoding.Unmarshal(data, into); err != nil {
		return rollout.Tried(err, "decode a message")
	}
	return rollout.Tried(into.Check(), "check a message")
}

// Seal appends a seal of the data under a key.
func Seal(key, data []byte) []byte {
	return append(data[:len(data):len(data)], sum(key, data)...)
}

// Unseal returns the data of a datagram that was sealed with one of the keys.
func Unseal(keys [][]byte, datagram []byte) ([]byte, error) {
	if len(datagram) < sealBytes || len(datagram) > MaxDatagramBytes {
		return nil, ErrSeal
	}
	at := len(datagram) - sealBytes
	for _, k := range keys {
		if hmac.Equal(sum(k, datagram[:at]), datagram[at:]) {
			return datagram[:at], nil
		}
	}
	return nil, ErrSeal
}

func sum(key, data []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(data)
	return mac.Sum(nil)[:sealBytes]
}

// AsFailure returns the wire form of an error.
func AsFailure(err error) *Failure {
	f := rollout.FailureOf(err)
	return &Failure{Verdict: f.Verdict, Reason: f.Reason, Detail: f.Detail}
}

// Err returns the failure as an error of the domain.
func (f *Failure) Err() error {
	return &rollout.Failure{Verdict: f.Verdict, Reason: f.Reason, Detail: f.Detail}
}
