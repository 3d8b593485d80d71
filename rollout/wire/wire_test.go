package wire_test

import (
	"bytes"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/lifecycle"
	"lagoonlink.org/rollout/membership"
	"lagoonlink.org/rollout/wire"
)

func probe() *wire.Probe {
	u := membership.Update{Name: "bole-1", Zone: "Bole", Address: "10.0.0.1:8081", Incarnation: 1, State: lifecycle.VMAlive}
	return &wire.Probe{Message: membership.Message{Kind: membership.KindPing, Sequence: 1, From: u, Updates: []membership.Update{u}}}
}

func encoded(t testing.TB, m wire.Checker) []byte {
	t.Helper()
	data, err := wire.Encode(m, wire.MaxFrameBytes)
	assert.NoError(t, "encode", err)
	return data
}

func TestRoundTrip(t *testing.T) {
	var got wire.Probe
	assert.NoError(t, "decode", wire.Decode(encoded(t, probe()), wire.MaxDatagramBytes, &got))
	assert.Equal(t, "sender", got.Message.From, probe().Message.From)
}

func TestDecodeInvalidMessages(t *testing.T) {
	valid := encoded(t, probe())
	raw := func(v any) []byte {
		data, err := cbor.Marshal(v)
		assert.NoError(t, "marshal", err)
		return data
	}
	changed := func(change func(*wire.Probe)) []byte {
		p := probe()
		change(p)
		return encoded(t, p)
	}
	for _, c := range []struct {
		name string
		data []byte
		into wire.Checker
		want string
	}{
		{"an empty message", nil, &wire.Probe{}, "EOF"},
		{"truncated", valid[:len(valid)/2], &wire.Probe{}, ""},
		{"trailing data", append(bytes.Clone(valid), 0), &wire.Probe{}, "extraneous"},
		{"oversized", make([]byte, wire.MaxDatagramBytes+1), &wire.Probe{}, "at most"},
		{"a wrong type", raw(map[string]any{"Message": "hello"}), &wire.Probe{}, ""},
		{"an unknown field", raw(map[string]any{"Colour": 1}), &wire.Probe{}, "unknown field"},
		{"a duplicate field", append([]byte{0xa2}, bytes.Repeat(append([]byte{0x66}, []byte("Rumors\x80")...), 2)...), &wire.Probe{}, "duplicate"},
		{"excessive nesting", bytes.Repeat([]byte{0x81}, 4000), &wire.Probe{}, "nested"},
		{"an excessive element count", []byte{0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, &wire.Probe{}, ""},
		{"an unknown kind", changed(func(p *wire.Probe) { p.Message.Kind = 9 }), &wire.Probe{}, "Kind: got 9"},
		{"a host name", changed(func(p *wire.Probe) { p.Message.From.Address = "vm:80" }), &wire.Probe{}, "IP address"},
		{"an unknown state", changed(func(p *wire.Probe) { p.Message.Updates[0].State = "Asleep" }), &wire.Probe{}, "State"},
		{"too many updates", changed(func(p *wire.Probe) { p.Message.Updates = make([]membership.Update, 65) }), &wire.Probe{}, "at most 64"},
		{"a frame with two messages", encoded(t, &wire.Frame{Body: wire.Body{Closed: &wire.Closed{}, FetchState: &wire.FetchState{}}}), &wire.Frame{}, "got 2 messages"},
		{"a frame without a message", encoded(t, &wire.Frame{ID: 1}), &wire.Frame{}, "got 0 messages"},
		{"an invalid plan", encoded(t, &wire.Frame{Body: wire.Body{Open: &wire.OpenStep{}}}), &wire.Frame{}, "Trainer"},
		{"a pull of too many samples", encoded(t, &wire.Frame{Body: wire.Body{Pull: &rollout.Pull{StepKey: rollout.StepKey{Trainer: "t"}, Max: 1 << 30}}}), &wire.Frame{}, "Max"},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.ErrorContains(t, "decode", wire.Decode(c.data, wire.MaxDatagramBytes, c.into), c.want)
		})
	}
}

func TestMAC(t *testing.T) {
	previous, current := bytes.Repeat([]byte{1}, 16), bytes.Repeat([]byte{2}, 16)
	datagram := wire.AppendMAC(previous, []byte("probe"))
	t.Run("the previous key is valid during a key rotation", func(t *testing.T) {
		data, err := wire.VerifyMAC([][]byte{current, previous}, datagram)
		assert.NoError(t, "verify the MAC", err)
		assert.Equal(t, "data", string(data), "probe")
	})
	for _, c := range []struct {
		name string
		data []byte
	}{
		{"a key that is no longer valid", datagram},
		{"a changed byte", append([]byte("Probe"), wire.AppendMAC(current, []byte("probe"))[5:]...)},
		{"a datagram shorter than a MAC", []byte("x")},
		{"an empty datagram", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := wire.VerifyMAC([][]byte{current}, c.data)
			assert.Equal(t, "error", err, wire.ErrInvalidMAC)
		})
	}
}

func FuzzProbe(f *testing.F) {
	f.Add(encoded(f, probe()))
	f.Add([]byte{0xa1, 0x67, 'M', 'e', 's', 's', 'a', 'g', 'e', 0x80})
	f.Fuzz(func(t *testing.T, data []byte) {
		var p wire.Probe
		if wire.Decode(data, wire.MaxDatagramBytes, &p) == nil {
			assert.NoError(t, "check the decoded message", p.Check())
		}
	})
}

func FuzzFrame(f *testing.F) {
	f.Add(encoded(f, &wire.Frame{ID: 1, Body: wire.Body{FetchState: &wire.FetchState{}}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		var m wire.Frame
		if wire.Decode(data, wire.MaxDatagramBytes, &m) == nil {
			assert.NoError(t, "check the decoded message", m.Check())
		}
	})
}
