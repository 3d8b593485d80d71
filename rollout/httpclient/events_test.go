package httpclient

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"lagoonlink.org/rollout/assert"
)

func TestEventReader(t *testing.T) {
	const limit = 200
	for _, c := range []struct {
		name, stream string
		want         []Event
		end          error
	}{
		{name: "events", stream: "id: 1\ndata: a\n\nid: 2\ndata: b\ndata:c\n\n", want: []Event{{ID: "1", Data: []byte("a")}, {ID: "2", Data: []byte("b\nc")}}, end: io.EOF},
		{name: "no data", stream: "id: 1\n\n", want: []Event{{ID: "1"}}, end: io.EOF},
		{name: "other fields", stream: "weight: 5\nid: 1\ndata: a\n\n", want: []Event{{ID: "1", Data: []byte("a"), Other: map[string]string{"weight": "5"}}}, end: io.EOF},
		{name: "carriage returns", stream: "data: a\r\n\r\n", want: []Event{{Data: []byte("a")}}, end: io.EOF},
		{name: "comments and empty lines are no events", stream: ": ping\n\n\n: ping\n\ndata: a\n\n: bye\n\n", want: []Event{{Data: []byte("a")}}, end: io.EOF},
		{name: "a comment within an event", stream: "id: 1\n: ping\ndata: a\n\n", want: []Event{{ID: "1", Data: []byte("a")}}, end: io.EOF},
		{name: "an end within an event", stream: "data: a\n\ndata: b\n", want: []Event{{Data: []byte("a")}}, end: io.ErrUnexpectedEOF},
		{name: "an end within a line", stream: "data: a\n\ndata: b", want: []Event{{Data: []byte("a")}}, end: io.ErrUnexpectedEOF},
		{name: "empty", stream: "", end: io.EOF},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := NewEventReader(strings.NewReader(c.stream), 16, limit)
			var got []Event
			e, err := r.Next()
			for ; err == nil; e, err = r.Next() {
				got = append(got, e)
			}
			assert.Equal(t, "events", got, c.want)
			assert.True(t, "end", errors.Is(err, c.end))
		})
	}
	for name, part := range map[string]string{
		"a line without an end":    "x",
		"lines without an end":     "data: x\n",
		"comments without an end":  ": x\n",
		"fields without an end":    "field: x\n",
		"an event without its end": "id: 1\n",
	} {
		t.Run(name, func(t *testing.T) {
			source := &endless{part: part}
			_, err := NewEventReader(source, 16, limit).Next()
			assert.True(t, "fails", err != nil)
			assert.AtMost(t, "bytes read", source.read, 2*limit)
		})
	}
}

// TestLineFeedsOfDataAreKept guards against texts that lose the line feeds with which the
// data of an event begins.
func TestLineFeedsOfDataAreKept(t *testing.T) {
	for _, data := range []string{"", "\n", "\n\n", "\n\n\n", "\na", "\n\na", "a\n", "a\n\nb", "\n\na\n\n", " a\n b"} {
		for name, prefix := range map[string]string{"with a space": "data: ", "without a space": "data:"} {
			if prefix == "data:" && strings.Contains("\n"+data, "\n ") {
				// The space of the value would count as that after the colon.
				continue
			}
			t.Run(fmt.Sprintf("%q %s", data, name), func(t *testing.T) {
				stream := "id: 1\n" + prefix + strings.ReplaceAll(data, "\n", "\n"+prefix) + "\n\n"
				e, err := NewEventReader(strings.NewReader(stream), 16, 200).Next()
				assert.NoError(t, "read", err)
				assert.Equal(t, "data", e.Data, []byte(data))
			})
		}
	}
	e, err := NewEventReader(strings.NewReader("data\ndata\ndata:a\n\n"), 16, 200).Next()
	assert.NoError(t, "read fields without a colon", err)
	assert.Equal(t, "data of fields without a colon", string(e.Data), "\n\na")
}

// endless repeats a text without end.
type endless struct {
	part string
	read int
}

func (e *endless) Read(data []byte) (int, error) {
	n := copy(data, e.part[e.read%len(e.part):])
	e.read += n
	return n, nil
}
