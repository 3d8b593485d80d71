package httpclient

import (
	"context"
	"errors"
	"fmt"
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

// TestInvalidFieldNameIsNoResponse guards against fields whose name has a blank or a control
// byte. Callers would get the field, or a body that its server didn't mean: what such a field
// states of the body is ignored.
func TestInvalidFieldNameIsNoResponse(t *testing.T) {
	for _, field := range []string{
		"X-Load : 1", "X Load: 1", "X-Load\t: 1", "X\tLoad: 1", "X-\x01Load: 1", "X-\x00Load: 1", "X-\x7fLoad: 1", "X-\x80Load: 1", "X-\rLoad: 1", "X-Load\r: 1", "\rX-Load: 1", ": 1", "X-Load",
		" X-Load: 1", "\tX-Load: 1", "  ", " \tX-Load: 1", "Content-Length : 2", "Content Length: 2", " Content-Length: 2", "\tContent-Length: 2", "Transfer-Encoding : chunked", " Transfer-Encoding: chunked",
	} {
		for _, rest := range []string{"Content-Length: 8\r\n", "Connection: close\r\n"} {
			for _, lineEnd := range []string{"\r\n", "\n"} {
				t.Run(fmt.Sprintf("%q before %q", field+lineEnd, rest), func(t *testing.T) {
					assertInvalid(t, "HTTP/1.1 200 OK\r\nX-Stamp: s\r\n"+field+lineEnd+rest+"\r\n2\r\nok\r\n0\r\n\r\n")
				})
			}
		}
		t.Run(fmt.Sprintf("%q in a response in chunks", field), func(t *testing.T) {
			assertInvalid(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"+field+"\r\n\r\n2\r\nok\r\n0\r\n\r\n")
		})
		t.Run(fmt.Sprintf("%q after an interim response", field), func(t *testing.T) {
			assertInvalid(t, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n"+field+"\r\n\r\nok")
		})
	}
	for name, text := range map[string]string{
		"odd names":                     "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~9: x\r\nContent-Length: 3\r\n\r\n a:",
		"bare line feeds":               "HTTP/1.1 200 OK\nX-Stamp: s\nContent-Length: 3\n\n a:",
		"a value with blanks":           "HTTP/1.1 200 OK\r\nX-Stamp:\t a b \tc \r\nContent-Length: 3\r\n\r\n a:",
		"an empty value":                "HTTP/1.1 200 OK\r\nX-Stamp:\r\nContent-Length: 3\r\n\r\n a:",
		"no fields":                     "HTTP/1.1 200 OK\r\n\r\n a:",
		"a body like a folded line":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n a:\r\n0\r\n\r\n",
		"an interim response before it": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n a:",
	} {
		t.Run(name, func(t *testing.T) {
			_, body, err := receive(t, text)
			assert.NoError(t, "response", err)
			assert.Equal(t, "body", body, " a:")
		})
	}
}

// TestFoldedLineInPieces splits a response at each byte, on a connection that has carried
// another one.
func TestFoldedLineInPieces(t *testing.T) {
	for text, want := range map[string]error{
		"HTTP/1.1 200 OK\r\nX-Stamp: s\r\n Content-Length: 2\r\n\r\nok":                         errFoldedLine,
		"HTTP/1.1 200 OK\nX-Stamp: s\n\tContent-Length: 2\n\nok":                                errFoldedLine,
		"HTTP/1.1 103 Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nX-Stamp: s\r\n c: d\r\n\r\nok":    errFoldedLine,
		"HTTP/1.1 200 OK\r\nX-Stamp: s\r\n\r\n body\r\n body\r\n\r\n body":                      nil,
		"HTTP/1.1 103 Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nX-Stamp: s\r\n\r\n body\r\n body": nil,
		"HTTP/1.1 101 Switch\r\nA: b\r\n\r\nother protocol\r\n line":                            nil,
	} {
		for size := range len(text) + 1 {
			var d foldDetector
			d.expected.Store(true)
			assert.NoError(t, "the response before", d.scan([]byte("HTTP/1.1 200 OK\r\n\r\n body\n body")))
			d.expected.Store(true)
			err := errors.Join(d.scan([]byte(text[:size])), d.scan([]byte(text[size:])))
			assert.Equal(t, fmt.Sprintf("%q split after %d bytes", text, size), errors.Is(err, errFoldedLine), want != nil)
		}
	}
}
