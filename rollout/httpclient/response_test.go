package httpclient

import (
	"context"
	"net/http"
	"testing"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/httpclient/standin"
)

// receive sends a request to a server that sends a response.
func receive(t *testing.T, text string) (*http.Response, string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	r, err := NewRequest(ctx, http.MethodPost, "http://"+standin.Respond(t, text)+"/", []byte("request"))
	assert.NoError(t, "new request", err)
	response, body, err := New(Config{ConnectTimeout: time.Second}).DoAll(r, 1<<20)
	return response, string(body), err
}

func assertInvalid(t *testing.T, text string) {
	t.Helper()
	response, body, err := receive(t, text)
	if err == nil {
		t.Fatalf("got status %d, header %v and body %q, want an error", response.StatusCode, response.Header, body)
	}
	assert.Equal(t, "verdict", rollout.VerdictOf(err), rollout.MayHaveRun)
	assert.Equal(t, "reason", rollout.FailureOf(err).Reason, rollout.ReasonServerFailed)
}

// TestInvalidStatusIsNoResponse guards against responses of servers in trouble that callers
// would get. A statement that the request did not run isn't believed.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "-00", "+20", "100", "101", "199", "600", "999", "00", "0000", "2OO", "0x0", ""} {
		for _, header := range []string{"Content-Length: 2\r\n", "Connection: close\r\n", "Upgrade: other\r\nConnection: Upgrade\r\n", HeaderVerdict + ": NotRun\r\n"} {
			t.Run(status+" "+header, func(t *testing.T) {
				assertInvalid(t, "HTTP/1.1 "+status+" \r\n"+header+"\r\nok")
			})
		}
	}
	for _, status := range []string{"200 OK", "204 Empty", "299 Odd", "302 Found", "404 No", "451", "500 Oops", "503 Busy", "599 Odd"} {
		t.Run(status, func(t *testing.T) {
			response, _, err := receive(t, "HTTP/1.1 "+status+"\r\nContent-Length: 0\r\n\r\n")
			assert.NoError(t, "response", err)
			assert.Equal(t, "status", response.Status, status)
		})
	}
	t.Run("after an interim response", func(t *testing.T) {
		response, body, err := receive(t, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		assert.NoError(t, "response", err)
		assert.Equal(t, "status", response.StatusCode, http.StatusOK)
		assert.Equal(t, "body", body, "ok")
	})
}
