package exchange

import (
	"errors"
	"io"
	"net/http"

	"lagoonlink.org/rollout"
)

// streamBuffer is the size of a streamed body's reads.
const streamBuffer = 4 << 10

// PassOn writes a streamed body to a caller as it arrives, and closes it. When
// the server broke off, the caller's connection is broken off too, for the answer
// must not look whole; it then does not return.
func PassOn(w http.ResponseWriter, s rollout.AnswerStream) {
	// The stream's own end was seen; its closing has nothing more to tell.
	defer func() { _ = s.Close() }()
	control := http.NewResponseController(w)
	buffer := make([]byte, streamBuffer)
	for {
		n, err := s.Read(buffer)
		if n > 0 {
			_, failed := w.Write(buffer[:n])
			if failed == nil {
				failed = control.Flush()
			}
			if failed != nil {
				panic(http.ErrAbortHandler)
			}
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}
