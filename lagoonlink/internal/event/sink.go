package event

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// sinkLines bounds the lines that wait to be written.
const sinkLines = 2048

// Sink writes log lines without ever blocking their writers: when its ring is
// full, lines are dropped and counted, and a line tells how many.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
}

// NewSink returns a sink over a writer. Run must be running for lines to leave.
func NewSink(out io.Writer) *Sink { return &Sink{out: out, lines: make(chan []byte, sinkLines)} }

// Write queues a line, or drops it.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes lines until the context ends, and then what is queued.
func (s *Sink) Run(ctx context.Context) error {
	for {
		select {
		case line := <-s.lines:
			if err := s.write(line); err != nil {
				return err
			}
		case <-ctx.Done():
			return s.flush()
		}
	}
}

func (s *Sink) write(line []byte) error {
	if n := s.dropped.Swap(0); n > 0 {
		if _, err := fmt.Fprintf(s.out, "{\"Event\":%d,\"Dropped\":%d}\n", LinesDropped.Number, n); err != nil {
			return err
		}
	}
	_, err := s.out.Write(line)
	return err
}

func (s *Sink) flush() error {
	for {
		select {
		case line := <-s.lines:
			if err := s.write(line); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}
