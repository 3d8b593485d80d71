package httpclient

import (
	"errors"
	"io"
	"net/http"

	"lagoonlink.org/rollout"
)

// streamBufferBytes is the size of the buffer for reading a streamed body.
const streamBufferBytes = 4 << 10

// CopyStream copies a streamed body to a caller, flushing after each read, and
// closes the stream. If reading or writing fails, it panics with
// http.ErrAbortHandler, so that the caller's connection is aborted and the
// response does not look complete.
func CopyStream(w http.ResponseWriter, s rollout.ResponseStream) {
	// An error of Close adds nothing: Read has already returned how the stream
	// ended.
	defer func() { _ = s.Close() }()
	controller := http.NewResponseController(w)
	buffer := make([]byte, streamBufferBytes)
	for {
		n, err := s.Read(buffer)
		if n > 0 {
			_, writeErr := w.Write(buffer[:n])
			if writeErr == nil {
				writeErr = controller.Flush()
			}
			if writeErr != nil {
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
