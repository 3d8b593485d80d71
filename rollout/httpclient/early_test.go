package httpclient

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/httpclient/standin"
)

// upload sends a long request and returns the body of the response.
func upload(t *testing.T, s standin.EarlyServer) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	r, err := NewRequest(ctx, http.MethodPost, "http://"+s.Start(t)+"/", bytes.Repeat([]byte{'u'}, standin.UploadBytes))
	assert.NoError(t, "new request", err)
	_, body, err := New(Config{ConnectTimeout: time.Second}).DoAll(r, 1<<20)
	return string(body), err
}

// TestResponseResetDuringUploadIsNotWhole guards against partial responses that look complete:
// the kernel reports a reset only once, and the upload may be what it is reported to.
func TestResponseResetDuringUploadIsNotWhole(t *testing.T) {
	for name, head := range map[string]string{
		"a success":             "HTTP/1.1 200 OK\r\n\r\n",
		"a success that closes": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
		"a failure":             "HTTP/1.1 500 Oops\r\n\r\n",
		"events":                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\n\n",
		"HTTP/1.0":              "HTTP/1.0 200 OK\r\n\r\n",
		"with a length":         "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n",
		"in chunks":             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
	} {
		for _, delay := range []time.Duration{0, 1, 5, 20, 60, 200} {
			t.Run(fmt.Sprintf("%s, reset after %d ms", name, delay), func(t *testing.T) {
				t.Parallel()
				body, err := upload(t, standin.EarlyServer{Response: head + "part", Delay: delay * time.Millisecond, Ending: standin.Reset})
				if err == nil {
					t.Fatalf("got the complete body %q, want an error", body)
				}
				assert.Equal(t, "verdict", rollout.VerdictOf(err), rollout.MayHaveRun)
			})
		}
	}
}

// TestWholeResponseToUploadIsKept guards against rejecting responses that ended before the
// upload did.
func TestWholeResponseToUploadIsKept(t *testing.T) {
	for name, c := range map[string]standin.EarlyServer{
		"ends with its connection, which reads on":       {Response: "HTTP/1.1 200 OK\r\n\r\nwhole", Ending: standin.ReadOn},
		"ends with its connection, which is reset later": {Response: "HTTP/1.1 200 OK\r\n\r\nwhole", Ending: standin.ResetLater},
		"ends with its connection, which is reset then":  {Response: "HTTP/1.1 200 OK\r\n\r\nwhole", Ending: standin.ResetAfterEnd},
		"has a length, and the connection reads on":      {Response: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", Ending: standin.ReadOn},
		"has a length, and the connection is reset":      {Response: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", Ending: standin.Reset},
		"comes in chunks, and the connection is reset":   {Response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", Ending: standin.Reset},
	} {
		for _, delay := range []time.Duration{0, 20, 200} {
			server := c
			server.Delay = delay * time.Millisecond
			t.Run(fmt.Sprintf("%s after %d ms", name, delay), func(t *testing.T) {
				t.Parallel()
				body, err := upload(t, server)
				assert.NoError(t, "response", err)
				assert.Equal(t, "body", body, "whole")
			})
		}
	}
}
