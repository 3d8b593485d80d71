package quota

import (
	"fmt"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lagoonlink.org/rollout"
)

// Topic is the journal topic of the limits and bookings. It has one partition.
const Topic = "limits"

// Schema is the schema version of the records that this program writes and accepts.
const Schema = 1

// MaxBooking limits the requests of one booking.
const MaxBooking = 64

// Record is one record of the topic. Exactly one of its pointers is set.
type Record struct {
	Schema int
	// At is when the record was written, by the writer's wall clock.
	At      time.Time
	Limit   *Limit   `cbor:",omitempty"`
	Booking *Booking `cbor:",omitempty"`
}

// Limit records that a server stated its limit, or no longer states one.
type Limit struct {
	Server rollout.ServerName
	// Rate is the limit in requests a second, or 0 if the server has none.
	Rate float64
}

// Booking records that a VM wants to send requests to a server with a limit.
type Booking struct {
	Server   rollout.ServerName
	VM       rollout.VMName
	Requests int
	// Urgent reports whether the requests take precedence over others that are booked at
	// the same time.
	Urgent bool `cbor:",omitempty"`
}

// Encode encodes a record with the current schema version.
func Encode(r Record) ([]byte, error) {
	r.Schema = Schema
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		return nil, rollout.Wrapf(err, "encode limit record")
	}
	data, err := mode.Marshal(r)
	return data, rollout.Wrapf(err, "encode limit record")
}

// Decode decodes and validates a record.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := cbor.Unmarshal(data, &r); err != nil {
		return Record{}, rollout.Wrapf(err, "decode limit record")
	}
	if r.Schema != Schema {
		return Record{}, fmt.Errorf("limit record: got schema %d, expected %d", r.Schema, Schema)
	}
	if (r.Limit == nil) == (r.Booking == nil) {
		return Record{}, fmt.Errorf("limit record: expected exactly one of Limit and Booking")
	}
	if m := r.Limit; m != nil && (m.Server == "" || m.Rate < 0 || math.IsNaN(m.Rate) || math.IsInf(m.Rate, 0)) {
		return Record{}, fmt.Errorf("limit record: got rate %g of server %q", m.Rate, m.Server)
	}
	if b := r.Booking; b != nil && (b.Server == "" || b.Requests < 1 || b.Requests > MaxBooking) {
		return Record{}, fmt.Errorf("limit record: got a booking of %d requests for server %q, expected 1 to %d", b.Requests, b.Server, MaxBooking)
	}
	return r, nil
}
