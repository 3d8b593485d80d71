package engine_test

import (
	"context"
	"errors"
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
	"lagoonlink.org/rollout/engine"
	"lagoonlink.org/rollout/httpclient"
)

// event returns a server-sent event of a completion.
func event(id, text string, tokens int, finish string) string {
	f := "null"
	if finish != "" {
		f = `"` + finish + `"`
	}
	return fmt.Sprintf(`data: {"id":%q,"choices":[{"index":0,"text":%q,"finish_reason":%s}],"tokens":%d,"weight_version":3}`+"\n\n", id, text, f, tokens)
}

// startServer returns the address of a server that sends a fixed response.
func startServer(t *testing.T, status int, header map[string]string, body string) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		for k, v := range header {
			w.Header().Set(k, v)
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// startRawServer returns the address of a server that passes every connection to a
// function and then closes it.
func startRawServer(t *testing.T, handle func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, "listen", err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			handle(c)
			c.Close()
		}
	}()
	return l.Addr().String()
}

func readRequest(c net.Conn) { _, _ = c.Read(make([]byte, 4096)) }

func adapter() *engine.Adapter {
	return engine.New(httpclient.New(httpclient.Config{ConnectTimeout: time.Second, MaxIdlePerServer: 4, ResponseHeaderTimeout: 300 * time.Millisecond}), 500*time.Millisecond)
}

// generate returns the text of a completion, or the text so far and the error that
// ended it.
func generate(ctx context.Context, address string) (string, error) {
	r, err := adapter().Generate(ctx, address, rollout.Generation{ID: "one", Model: "m", Prompt: "p", MaxTokens: 9})
	if err != nil {
		return "", err
	}
	defer r.Close()
	text := ""
	for {
		p, err := r.Next()
		if errors.Is(err, io.EOF) {
			return text, nil
		}
		if err != nil {
			return text, err
		}
		text += p.Text
	}
}

func TestCompleteResponse(t *testing.T) {
	text, err := generate(t.Context(), startServer(t, 200, nil, event("one", "a", 1, "")+event("one", "b", 1, "stop")+"data: [DONE]\n\n"))
	assert.NoError(t, "generate", err)
	assert.Equal(t, "text", text, "ab")
}

// TestEventWithEmptyDataIsNoPiece guards against completions that fail because their engine
// keeps the connection alive with events without data.
func TestEventWithEmptyDataIsNoPiece(t *testing.T) {
	for name, empty := range map[string]string{"empty data": "data: \n\n", "no colon": "data\n\n", "no data": "event: ping\n\n"} {
		t.Run(name, func(t *testing.T) {
			text, err := generate(t.Context(), startServer(t, 200, nil, empty+event("one", "a", 1, "")+empty+event("one", "b", 1, "stop")+empty+"data: [DONE]\n\n"))
			assert.NoError(t, "generate", err)
			assert.Equal(t, "text", text, "ab")
		})
	}
}

// TestTextWithoutEnd guards against engines whose events never end.
func TestTextWithoutEnd(t *testing.T) {
	address := startRawServer(t, func(c net.Conn) {
		readRequest(c)
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
		for block := event("one", strings.Repeat("x", 1000), 1, ""); err == nil; {
			_, err = io.WriteString(c, block)
		}
	})
	text, err := generate(t.Context(), address)
	assert.Equal(t, "verdict", rollout.VerdictOf(err), rollout.MayHaveRun)
	assert.AtMost(t, "bytes of text", len(text), 4<<20)
}

// TestFailureVerdicts checks the verdict and reason for each kind of engine failure.
func TestFailureVerdicts(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, "listen", err)
	closed.Close()
	refusal := map[string]string{httpclient.HeaderVerdict: "NotRun"}
	leaving := map[string]string{httpclient.HeaderVerdict: "NotRun", httpclient.HeaderLeaving: "true"}
	start := "HTTP/1.1 200 OK\r\nContent-Length: 10000\r\n\r\n" + event("one", "a", 1, "")
	for _, c := range []struct {
		name    string
		address string
		verdict rollout.Verdict
		reason  rollout.Reason
	}{
		{"connection refused", closed.Addr().String(), rollout.NotRun, rollout.ReasonServerFailed},
		{"reset during the request", startRawServer(t, func(c net.Conn) { _, _ = c.Read(make([]byte, 1)) }), rollout.MayHaveRun, rollout.ReasonServerFailed},
		{"reset after the request", startRawServer(t, readRequest), rollout.MayHaveRun, rollout.ReasonServerFailed},
		{"no response", startRawServer(t, func(c net.Conn) { readRequest(c); time.Sleep(400 * time.Millisecond) }), rollout.MayHaveRun, rollout.ReasonServerFailed},
		{"an invalid response", startRawServer(t, func(c net.Conn) { readRequest(c); fmt.Fprint(c, "\x00\x01") }), rollout.MayHaveRun, rollout.ReasonServerFailed},
		{"a body shorter than its Content-Length", startRawServer(t, func(c net.Conn) { readRequest(c); fmt.Fprint(c, start) }), rollout.MayHaveRun, rollout.ReasonTruncated},
		{"refused as not run", startServer(t, 503, refusal, ""), rollout.NotRun, rollout.ReasonServerRefused},
		{"refused because the server is leaving", startServer(t, 503, leaving, ""), rollout.NotRun, rollout.ReasonDraining},
		{"an error without a verdict", startServer(t, 503, nil, ""), rollout.MayHaveRun, rollout.ReasonServerFailed},
		{"the end of the stream without the end marker", startServer(t, 200, nil, event("one", "a", 1, "stop")), rollout.MayHaveRun, rollout.ReasonTruncated},
		{"the end marker before the last piece", startServer(t, 200, nil, event("one", "a", 1, "")+"data: [DONE]\n\n"), rollout.MayHaveRun, rollout.ReasonTruncated},
		{"an event with invalid JSON", startServer(t, 200, nil, "data: {{{\n\n"), rollout.MayHaveRun, rollout.ReasonServerFailed},
		{"an event of another request", startServer(t, 200, nil, event("two", "a", 1, "")), rollout.MayHaveRun, rollout.ReasonServerFailed},
		{"an event after the last piece", startServer(t, 200, nil, event("one", "a", 1, "stop")+event("one", "b", 1, "")), rollout.MayHaveRun, rollout.ReasonServerFailed},
		{"a line that is too long", startServer(t, 200, nil, "data: "+strings.Repeat("x", 2<<20)), rollout.MayHaveRun, rollout.ReasonTruncated},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := generate(t.Context(), c.address)
			f := rollout.FailureOf(err)
			assert.Equal(t, "verdict", f.Verdict, c.verdict)
			assert.Equal(t, "reason", f.Reason, c.reason)
		})
	}
	t.Run("reset before the server read anything", func(t *testing.T) {
		// The client may detect the reset before or after it wrote the request, so
		// either verdict is correct.
		_, err := generate(t.Context(), startRawServer(t, func(net.Conn) {}))
		f := rollout.FailureOf(err)
		assert.True(t, "the verdict is NotRun or MayHaveRun", f.Verdict != rollout.Ran)
		assert.Equal(t, "reason", f.Reason, rollout.ReasonServerFailed)
	})
	t.Run("no event after the first", func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		_, err := generate(ctx, startRawServer(t, func(c net.Conn) { readRequest(c); fmt.Fprint(c, start); <-ctx.Done() }))
		assert.Equal(t, "reason", rollout.FailureOf(err).Reason, rollout.ReasonTruncated)
		cancel()
	})
	t.Run("canceled", func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err := generate(ctx, startRawServer(t, func(c net.Conn) { readRequest(c); time.Sleep(200 * time.Millisecond) }))
		assert.Equal(t, "reason", rollout.FailureOf(err).Reason, rollout.ReasonDeadline)
	})
}

// TestSilentEngineFailsTheAttempt guards against engines that hang and whose failure looks like
// the caller's departure, so that it is neither retried nor noticed.
func TestSilentEngineFailsTheAttempt(t *testing.T) {
	address := startRawServer(t, func(c net.Conn) {
		readRequest(c)
		<-t.Context().Done()
	})
	silent := engine.New(httpclient.New(httpclient.Config{ConnectTimeout: time.Second}), 100*time.Millisecond)
	_, err := silent.Generate(t.Context(), address, rollout.Generation{ID: "one", Model: "m", Prompt: "p", MaxTokens: 9})
	assert.Equal(t, "verdict", rollout.VerdictOf(err), rollout.MayHaveRun)
	assert.Equal(t, "reason", rollout.FailureOf(err).Reason, rollout.ReasonServerFailed)
}

// TestConnectionOfPartialResponseIsNotReused closes a response before its end and
// expects the next request to use a new connection.
func TestConnectionOfPartialResponseIsNotReused(t *testing.T) {
	addresses := make(chan string, 4)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		addresses <- r.RemoteAddr
		_, _ = io.WriteString(w, event("one", "a", 1, ""))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	defer s.Close()
	a := adapter()
	for range 2 {
		r, err := a.Generate(t.Context(), strings.TrimPrefix(s.URL, "http://"), rollout.Generation{ID: "one"})
		assert.NoError(t, "generate", err)
		_, err = r.Next()
		assert.NoError(t, "read a piece", err)
		assert.NoError(t, "close", r.Close())
	}
	assert.True(t, "the requests use different connections", <-addresses != <-addresses)
}

func FuzzEvents(f *testing.F) {
	f.Add(event("one", "a", 1, "stop") + "data: [DONE]\n\n")
	f.Add("data: {\"choices\":[[[[[[\n\n")
	f.Add("data: \n\n: comment\nevent: x\n")
	f.Fuzz(func(t *testing.T, body string) {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
		defer s.Close()
		text, err := generate(t.Context(), strings.TrimPrefix(s.URL, "http://"))
		if err == nil && !strings.Contains(body, "[DONE]") {
			t.Errorf("got %q without an end marker, want an error", text)
		}
	})
}
