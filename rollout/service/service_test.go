package service_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/httpclient"
	"lagoonlink.org/rollout/service"
)

func newAdapter() *service.Adapter {
	return service.New(httpclient.New(httpclient.Config{ConnectTimeout: time.Second, MaxIdlePerServer: 4}))
}

func TestCall(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/plain")
		w.WriteHeader(http.StatusTeapot)
		fmt.Fprint(w, r.Method, r.URL.RequestURI(), r.Header.Get(service.HeaderRequestID))
	}))
	defer s.Close()
	got, err := newAdapter().Call(t.Context(), strings.TrimPrefix(s.URL, "http://"), rollout.Call{Method: "PUT", Path: "/a?b=c", ID: "9"})
	assert.NoError(t, "call", err)
	assert.Equal(t, "response", got, rollout.CallResponse{Status: http.StatusTeapot, ContentType: "text/plain", Body: []byte("PUT/a?b=c9")})
}

// TestBodiesWithoutEndShareOneLimit guards against servers whose bodies never end and which
// together use up the memory of the VM.
func TestBodiesWithoutEndShareOneLimit(t *testing.T) {
	const limit = 1 << 20
	var sent atomic.Int64
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, "listen", err)
	defer l.Close()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = conn.Read(make([]byte, 4096))
				block := make([]byte, 64<<10)
				_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n")
				for n := 0; err == nil; {
					n, err = conn.Write(block)
					sent.Add(int64(n))
				}
			}()
		}
	}()
	a := service.New(httpclient.New(httpclient.Config{MaxBufferedBytes: limit}))
	var calls sync.WaitGroup
	for n := range 16 {
		calls.Go(func() {
			_, err := a.Call(t.Context(), l.Addr().String(), rollout.Call{Method: "GET", Path: "/", ID: fmt.Sprint(n)})
			assert.Equal(t, "verdict", rollout.VerdictOf(err), rollout.MayHaveRun)
		})
	}
	calls.Wait()
	// Beside the limit, the kernel's buffers of 16 connections hold bytes.
	assert.AtMost(t, "bytes that the servers could send", sent.Load(), 16*service.MaxResponseBytes/2)
}

// TestNeverSentTwice guards against automatic retries, which HTTP clients commonly
// make if the server closes a reused connection before it responds. The server does
// so for the second call, and the test counts the requests that arrive.
func TestNeverSentTwice(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NoError(t, "listen", err)
			defer l.Close()
			requests := make(chan int, 100)
			go serveOneThenClose(l, requests)
			a := newAdapter()
			call := rollout.Call{Method: method, Path: "/", ID: "1", Body: []byte("x")}
			for _, what := range []string{"call that shows that the server returns IDs", "first call on a kept connection"} {
				_, err = a.Call(t.Context(), l.Addr().String(), call)
				assert.NoError(t, what, err)
			}
			_, err = a.Call(t.Context(), l.Addr().String(), call)
			assert.True(t, "the call on the kept connection fails", err != nil)
			assert.Equal(t, "verdict of that call", rollout.VerdictOf(err), rollout.MayHaveRun)
			assert.Equal(t, "requests that arrived", len(requests), 3)
		})
	}
}

// serveOneThenClose answers the first request of each connection, with its ID, so that
// the connection is kept, and closes it without a response after it has read the second.
func serveOneThenClose(l net.Listener, requests chan int) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		in := bufio.NewReader(c)
		for i := range 2 {
			r, err := http.ReadRequest(in)
			if err != nil {
				break
			}
			_, _ = io.Copy(io.Discard, r.Body)
			requests <- i
			if i == 0 {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", service.HeaderRequestID, r.Header.Get(service.HeaderRequestID))
			}
		}
		c.Close()
	}
}

func TestInvalidResponses(t *testing.T) {
	for _, c := range []struct {
		name, response string
		reason         rollout.Reason
	}{
		{"shorter than its Content-Length", "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok", rollout.ReasonTruncated},
		{"no response", "", rollout.ReasonServerFailed},
		{"not HTTP", "hello there\r\n\r\n", rollout.ReasonServerFailed},
		{"invalid chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", rollout.ReasonTruncated},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NoError(t, "listen", err)
			defer l.Close()
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				_, _ = conn.Read(make([]byte, 4096))
				fmt.Fprint(conn, c.response)
			}()
			_, err = newAdapter().Call(t.Context(), l.Addr().String(), rollout.Call{Method: "POST", Path: "/"})
			assert.Equal(t, "reason", rollout.FailureOf(err).Reason, c.reason)
			assert.Equal(t, "verdict", rollout.VerdictOf(err), rollout.MayHaveRun)
		})
	}
}

// TestSecondCopyOfResponse plays a server that sends a response again while the next
// request is on its way on the same connection. The next caller must not get it.
func TestSecondCopyOfResponse(t *testing.T) {
	for _, c := range []struct {
		name      string
		returnsID bool
	}{{"the server returns the id", true}, {"the server returns no id", false}} {
		t.Run(c.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NoError(t, "listen", err)
			defer l.Close()
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					go repeatResponses(conn, c.returnsID)
				}
			}()
			a := newAdapter()
			for n := range 20 {
				id := fmt.Sprint("call-", n)
				got, err := a.Call(t.Context(), l.Addr().String(), rollout.Call{Method: "POST", Path: "/", ID: id, Body: []byte(id)})
				if err == nil {
					assert.Equal(t, "response to "+id, string(got.Body), id)
				} else {
					assert.Equal(t, "verdict", rollout.VerdictOf(err), rollout.MayHaveRun)
				}
			}
		})
	}
}

// repeatResponses answers each request with its body, and sends the response before that
// once more when the next request has arrived.
func repeatResponses(conn net.Conn, returnsID bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	last := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		response := "HTTP/1.1 200 OK\r\n"
		if returnsID {
			response += service.HeaderRequestID + ": " + r.Header.Get(service.HeaderRequestID) + "\r\n"
		}
		response += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
		if _, err := io.WriteString(conn, last+response); err != nil || r.Close {
			return
		}
		last = response
	}
}
