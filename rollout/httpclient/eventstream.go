package httpclient

import (
	"bytes"
	"errors"
	"io"
	"net/http"
)

// Framed reports whether a response's body has a length or is chunked. Otherwise its end
// can't be distinguished from a lost connection.
func Framed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// EventStream passes the bytes of a stream of server-sent events on as they are. In place
// of io.EOF it returns io.ErrUnexpectedEOF if the stream ended within an event, or without
// an event and without framing: its server has stopped early.
type EventStream struct {
	body   io.ReadCloser
	framed bool
	// begun reports whether anything was received.
	begun bool
	// inLine reports whether a line, inEvent whether an event has begun and not ended.
	inLine, inEvent bool
	// comment reports whether the line is a comment, blank whether it holds nothing but
	// carriage returns so far.
	comment, blank bool
}

// NewEventStream returns the stream of events in a response.
func NewEventStream(response *http.Response) *EventStream {
	return &EventStream{body: response.Body, framed: Framed(response)}
}

// Read implements io.Reader.
func (s *EventStream) Read(data []byte) (int, error) {
	n, err := s.body.Read(data)
	s.scan(data[:n])
	if errors.Is(err, io.EOF) && !s.whole() {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// Close implements io.Closer.
func (s *EventStream) Close() error { return s.body.Close() }

func (s *EventStream) whole() bool {
	return !s.inLine && !s.inEvent && (s.begun || s.framed)
}

func (s *EventStream) scan(data []byte) {
	s.begun = s.begun || len(data) > 0
	for len(data) > 0 {
		line, rest, ended := bytes.Cut(data, []byte("\n"))
		s.scanLine(line)
		if ended {
			s.endLine()
		}
		data = rest
	}
}

// scanLine adds a part of a line without its line end.
func (s *EventStream) scanLine(part []byte) {
	if len(part) == 0 {
		return
	}
	if !s.inLine {
		s.inLine, s.comment, s.blank = true, part[0] == ':', true
	}
	s.blank = s.blank && len(bytes.Trim(part, "\r")) == 0
}

func (s *EventStream) endLine() {
	switch {
	case !s.inLine || s.blank:
		s.inEvent = false
	case !s.comment:
		s.inEvent = true
	}
	s.inLine, s.blank = false, false
}
