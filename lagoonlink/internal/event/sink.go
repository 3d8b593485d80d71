package event

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// sinkCapacity is the largest number of lines that wait to be written.
const sinkCapacity = 2048

// Sink writes log lines to a writer without blocking the callers of Write. While
// its queue is full, lines are dropped and counted; the number of dropped lines is
// logged before the next line.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
}

// NewSink returns a Sink that writes to out. Lines are written only while Run runs.
func NewSink(out io.Writer) *Sink { return &Sink{out: out, lines: make(chan []byte, sinkCapacity)} }

// Write queues a copy of line, or drops it if the queue is full. It never returns
// an error.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes lines until the context ends, and then the lines still queued.
func (s *Sink) Run(ctx context.Context) error {
	for {
		select {
		case line := <-s.lines:
			if err := s.write(line); err != nil {
				return err
			}
		case <-ctx.Done():
			return s.Flush()
		}
	}
}

func (s *Sink) write(line []byte) error {
	if err := s.reportDropped(); err != nil {
		return err
	}
	_, err := s.out.Write(line)
	return err
}

// reportDropped logs the number of lines that were dropped since the last report.
func (s *Sink) reportDropped() error {
	n := s.dropped.Swap(0)
	if n == 0 {
		return nil
	}
	_, err := fmt.Fprintf(s.out, "{\"Event\":%d,\"Dropped\":%d}\n", LinesDropped.Number, n)
	return err
}

// Flush writes the lines that are queued. It must not be called while Run runs.
func (s *Sink) Flush() error {
	for {
		select {
		case line := <-s.lines:
			if err := s.write(line); err != nil {
				return err
			}
		default:
			return s.reportDropped()
		}
	}
}
