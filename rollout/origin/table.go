// Package origin keeps which software version of a service began each stream. Only
// servers of that version may continue the stream. It does no I/O and reads no clock;
// the caller passes the time.
//
// It answers the load of callers who take up streams that broke off while servers of
// several software versions run side by side, at any VM and also after all VMs were
// restarted.
package origin

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lagoonlink.org/rollout"
)

// Topic is the journal topic of the origins. It has one partition.
const Topic = "streams"

// Schema is the schema version of the records that this program writes and accepts.
const Schema = 1

// Limits of a table.
const (
	// maxAge is how long the origin of a stream is kept. A caller takes a stream up
	// within its own deadline, which is shorter.
	maxAge = 2 * time.Minute
	// maxStreams limits the streams of a table; the oldest are dropped first. An entry
	// takes about 100 bytes.
	maxStreams = 1 << 17
)

// Stream is the origin of a stream: the server that sent its first event.
type Stream struct {
	// Request is the caller's ID of the request that began the stream.
	Request  string
	Software rollout.SoftwareVersion
	// Server, Incarnation and BeganAt are those of rollout.StreamOrigin. Records of
	// earlier releases lack them.
	Server      rollout.ServerName `cbor:",omitempty"`
	Incarnation int64              `cbor:",omitempty"`
	BeganAt     time.Time
}

// Origin returns the origin in the form in which its software version is determined.
func (s Stream) Origin() rollout.StreamOrigin {
	return rollout.StreamOrigin{Server: s.Server, Incarnation: s.Incarnation, Software: s.Software, BeganAt: s.BeganAt}
}

// Record is one record of the topic.
type Record struct {
	Schema int
	// At is when the record was written, by the writer's wall clock.
	At      time.Time
	Streams []Stream
}

// Encode encodes a record with the current schema version.
func Encode(r Record) ([]byte, error) {
	r.Schema = Schema
	data, err := cbor.Marshal(r)
	return data, rollout.Wrapf(err, "encode origin record")
}

// Decode decodes and validates a record.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := cbor.Unmarshal(data, &r); err != nil {
		return Record{}, rollout.Wrapf(err, "decode origin record")
	}
	if r.Schema != Schema {
		return Record{}, fmt.Errorf("origin record: got schema %d, expected %d", r.Schema, Schema)
	}
	for i, s := range r.Streams {
		if s.Request == "" {
			return Record{}, fmt.Errorf("origin record: Streams[%d]: the request is missing", i)
		}
	}
	return r, nil
}

// Table holds the origins of recent streams. It is not safe for concurrent use.
type Table struct {
	streams map[string]Stream
	// order holds the streams in the order in which they were added.
	order []dated
}

type dated struct {
	request string
	at      time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{streams: map[string]Stream{}} }

// Add adds a stream. The first origin of a stream counts.
func (t *Table) Add(now time.Time, s Stream) {
	if _, known := t.streams[s.Request]; known {
		return
	}
	t.streams[s.Request] = s
	t.order = append(t.order, dated{request: s.Request, at: now})
	for len(t.order) > maxStreams || now.Sub(t.order[0].at) >= maxAge {
		delete(t.streams, t.order[0].request)
		t.order = t.order[1:]
	}
}

// AddRecord adds the streams of a record that is not older than maxAge.
func (t *Table) AddRecord(now time.Time, r Record) {
	if now.Sub(r.At) >= maxAge {
		return
	}
	for _, s := range r.Streams {
		t.Add(now, s)
	}
}

// Find returns the software version that began the stream of a request, as it was recorded.
func (t *Table) Find(request string) (rollout.SoftwareVersion, bool) {
	s, ok := t.streams[request]
	return s.Software, ok
}

// Stream returns the origin of the stream of a request.
func (t *Table) Stream(request string) (Stream, bool) {
	s, ok := t.streams[request]
	return s, ok
}

// Len returns the number of streams.
func (t *Table) Len() int { return len(t.streams) }
