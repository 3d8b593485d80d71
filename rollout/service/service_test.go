package service_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
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
			call := rollout.Call{Method: method, Path: "/", Body: []byte("x")}
			_, err = a.Call(t.Context(), l.Addr().String(), call)
			assert.NoError(t, "first call", err)
			_, err = a.Call(t.Context(), l.Addr().String(), call)
			assert.Equal(t, "verdict of the second call", rollout.VerdictOf(err), rollout.MayHaveRun)
			assert.Equal(t, "requests that arrived", len(requests), 2)
		})
	}
}

// serveOneThenClose answers the first request of each connection and closes the
// connection without a response after it has read the second.
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
				fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
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
