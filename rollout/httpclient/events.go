package httpclient

import (
	"bytes"
	"errors"
	"fmt"
	"io"
)

// Event is one server-sent event.
type Event struct {
	// ID is the value of its id field, or empty.
	ID string
	// Data holds the values of its data fields, joined by newlines. It is nil if there
	// are none, and empty if their only value is.
	Data []byte
	// Other holds the values of its other fields by name.
	Other map[string]string
}

// EventReader reads the server-sent events of a streamed response.
type EventReader struct {
	lines *LineReader
	limit int
}

// NewEventReader returns a reader of events with a read buffer of bufferSize bytes. An
// event of more than about limit bytes, comments included, gives an error.
func NewEventReader(r io.Reader, bufferSize, limit int) *EventReader {
	return &EventReader{lines: NewLineReader(r, bufferSize, limit), limit: limit}
}

// Next returns the next event with at least one field. io.EOF means that the response
// ended after a complete event, io.ErrUnexpectedEOF that it ended within one.
func (r *EventReader) Next() (Event, error) {
	var e Event
	fields, size := 0, 0
	for {
		line, err := r.lines.Next()
		if errors.Is(err, io.EOF) && fields > 0 {
			return Event{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return Event{}, err
		}
		if size += len(line) + 1; size > r.limit {
			return Event{}, fmt.Errorf("event is longer than %d bytes", r.limit)
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch {
		case len(line) == 0 && fields > 0:
			return e, nil
		case len(name) == 0:
			// An empty line between events, or a comment.
			continue
		case string(name) == "id":
			e.ID = string(value)
		case string(name) == "data":
			if e.Data == nil {
				// Appending an empty first value to nil would leave it nil.
				e.Data = []byte{}
			} else {
				e.Data = append(e.Data, '\n')
			}
			e.Data = append(e.Data, value...)
		default:
			if e.Other == nil {
				e.Other = map[string]string{}
			}
			e.Other[string(name)] = string(value)
		}
		fields++
	}
}
