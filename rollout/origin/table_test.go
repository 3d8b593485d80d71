package origin_test

import (
	"fmt"
	"testing"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/origin"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func find(t *testing.T, table *origin.Table, request string, want rollout.SoftwareVersion, known bool) {
	t.Helper()
	got, ok := table.Find(request)
	assert.Equal(t, "version of "+request, got, want)
	assert.Equal(t, request+" is known", ok, known)
}

func TestFirstOriginCounts(t *testing.T) {
	table := origin.NewTable()
	table.Add(start, origin.Stream{Request: "a", Software: "v1"})
	table.Add(start, origin.Stream{Request: "a", Software: "v2"})
	find(t, table, "a", "v1", true)
	find(t, table, "b", "", false)
}

func TestOldStreamsAreDropped(t *testing.T) {
	table := origin.NewTable()
	table.Add(start, origin.Stream{Request: "a", Software: "v1"})
	table.Add(start.Add(time.Minute), origin.Stream{Request: "b", Software: "v1"})
	table.Add(start.Add(2*time.Minute), origin.Stream{Request: "c", Software: "v1"})
	find(t, table, "a", "", false)
	find(t, table, "b", "v1", true)
	table.AddRecord(start.Add(time.Hour), origin.Record{At: start, Streams: []origin.Stream{{Request: "d", Software: "v1"}}})
	find(t, table, "d", "", false)
}

func TestTableIsBounded(t *testing.T) {
	table := origin.NewTable()
	for n := range 1<<17 + 10 {
		table.Add(start, origin.Stream{Request: fmt.Sprint(n), Software: "v1"})
	}
	assert.Equal(t, "streams", table.Len(), 1<<17)
	find(t, table, "9", "", false)
	find(t, table, "10", "v1", true)
}

func TestRecords(t *testing.T) {
	data, err := origin.Encode(origin.Record{At: start, Streams: []origin.Stream{{Request: "a", Software: "v1"}}})
	assert.NoError(t, "encode", err)
	r, err := origin.Decode(data)
	assert.NoError(t, "decode", err)
	assert.Equal(t, "streams", r.Streams, []origin.Stream{{Request: "a", Software: "v1"}})
	data, err = origin.Encode(origin.Record{Streams: []origin.Stream{{Software: "v1"}}})
	assert.NoError(t, "encode", err)
	_, err = origin.Decode(data)
	assert.ErrorContains(t, "without a request", err, "Streams[0]")
	_, err = origin.Decode([]byte{0xff})
	assert.True(t, "unreadable", err != nil)
}

func FuzzDecode(f *testing.F) {
	data, err := origin.Encode(origin.Record{At: start, Streams: []origin.Stream{{Request: "a", Software: "v1"}}})
	assert.NoError(f, "encode", err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := origin.Decode(data)
		if err != nil {
			return
		}
		table := origin.NewTable()
		table.AddRecord(start, r)
		assert.AtMost(t, "streams", table.Len(), len(r.Streams))
	})
}
