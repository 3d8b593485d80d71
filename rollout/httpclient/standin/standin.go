// Package standin provides servers whose responses are broken or early, for the tests of the
// packages that read responses.
package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"lagoonlink.org/rollout/assert"
)

// UploadBytes is the size of a request body that a server can't receive without reading it.
const UploadBytes = 12 << 20

// receiveBufferBytes bounds what the kernel receives for a server that doesn't read.
const receiveBufferBytes = 16 << 10

// Ending is what a server does after a response.
type Ending int

const (
	// Reset resets the connection.
	Reset Ending = iota
	// ReadOn ends the response, reads the rest of the request and closes the connection.
	ReadOn
	// ResetAfterEnd ends the response and resets the connection at once.
	ResetAfterEnd
	// ResetLater ends the response and resets the connection after a while.
	ResetLater
)

// resetLaterDelay is the time between the end of a response and the reset with ResetLater.
const resetLaterDelay = 30 * time.Millisecond

// EarlyServer responds to each request once it has read the request's header, on a connection
// of its own.
type EarlyServer struct {
	// Response is the whole response as sent.
	Response string
	// Delay is the time between the response and the ending.
	Delay  time.Duration
	Ending Ending
}

// Start starts the server until the end of the test and returns its address.
func (s EarlyServer) Start(t testing.TB) string { return Serve(t, s.serve) }

func (s EarlyServer) serve(conn *net.TCPConn, r *http.Request) {
	_, _ = io.WriteString(conn, s.Response)
	time.Sleep(s.Delay)
	if s.Ending != Reset {
		_ = conn.CloseWrite()
	}
	switch s.Ending {
	case ReadOn:
		_, _ = io.Copy(io.Discard, r.Body)
		return
	case ResetLater:
		time.Sleep(resetLaterDelay)
	}
	_ = conn.SetLinger(0)
}

// Respond starts a server that sends a whole response to each request, ends the response with
// its connection, and returns the server's address.
func Respond(t testing.TB, response string) string {
	return EarlyServer{Response: response, Ending: ReadOn}.Start(t)
}

// Serve starts a server until the end of the test and returns its address. The server passes the
// first request on each connection to handle once it has read the request's header, and closes
// the connection afterwards.
func Serve(t testing.TB, handle func(conn *net.TCPConn, r *http.Request)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, "listen", err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			accepted, err := l.Accept()
			if err != nil {
				return
			}
			conn, ok := accepted.(*net.TCPConn)
			if !ok {
				return
			}
			go func() {
				defer conn.Close()
				_ = conn.SetReadBuffer(receiveBufferBytes)
				if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					handle(conn, r)
				}
			}()
		}
	}()
	return l.Addr().String()
}
