package engine_test

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/httpclient/standin"
)

func TestBrokenHeads(t *testing.T) {
	whole := func(body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	for name, c := range map[string]struct {
		body string
		call func(t *testing.T, address string) error
	}{
		"a generation": {event("one", "a", 1, "stop") + "data: [DONE]\n\n", func(t *testing.T, address string) error {
			_, err := generate(t.Context(), address)
			return err
		}},
		"a load report": {"{}", func(t *testing.T, address string) error {
			_, err := adapter().Load(t.Context(), address)
			return err
		}},
		"an order": {"", func(t *testing.T, address string) error {
			return adapter().Order(t.Context(), address, rollout.Order{Model: "m", Version: 1})
		}},
	} {
		t.Run(name, func(t *testing.T) { standin.CheckBrokenHeads(t, whole(c.body), c.call) })
	}
}

// TestEarlyResponsesToLongPrompts guards against generations that look complete because their
// stream has ended.
func TestEarlyResponsesToLongPrompts(t *testing.T) {
	piece := event("one", "a", 1, "stop")
	for name, c := range map[string]struct {
		events   string
		ending   standin.Ending
		complete bool
	}{
		"complete, and the server reads on":              {piece + "data: [DONE]\n\n", standin.ReadOn, true},
		"complete, and the connection is reset":          {piece + "data: [DONE]\n\n", standin.Reset, true},
		"without an end marker, and the server reads on": {piece, standin.ReadOn, false},
		"without an end marker, and reset":               {piece, standin.Reset, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := standin.EarlyServer{Response: "HTTP/1.1 200 OK\r\n\r\n" + c.events, Delay: 5 * time.Millisecond, Ending: c.ending}
			r, err := adapter().Generate(t.Context(), s.Start(t), rollout.Generation{ID: "one", Model: "m", Prompt: strings.Repeat("p", standin.UploadBytes), MaxTokens: 9})
			assert.NoError(t, "generate", err)
			defer r.Close()
			_, err = r.Next()
			assert.NoError(t, "piece", err)
			_, err = r.Next()
			assert.Equal(t, "complete", errors.Is(err, io.EOF), c.complete)
			if !c.complete {
				assert.Equal(t, "verdict", rollout.VerdictOf(err), rollout.MayHaveRun)
			}
		})
	}
}
