package relay_test

import (
	"io"
	"strings"
	"testing"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
)

// A request must count once if a server ran it or may have run it, however often it was
// sent, and not at all if no server did.
func TestUsageOfPlainRequests(t *testing.T) {
	busy := rollout.ForwardedResponse{Status: 503}
	for name, c := range map[string]struct {
		kind   rollout.RouteKind
		script []any
		count  int
	}{
		"served":                           {rollout.RouteIdempotent, []any{ok}, 1},
		"refused, then served":             {rollout.RouteIdempotent, []any{refused, notConnected, ok}, 1},
		"refused":                          {rollout.RouteIdempotent, []any{refused}, 0},
		"refused by its status":            {rollout.RouteNonIdempotent, []any{busy}, 0},
		"connection lost, then served":     {rollout.RouteIdempotent, []any{connectionLost, ok}, 1},
		"connection lost":                  {rollout.RouteNonIdempotent, []any{connectionLost}, 1},
		"refused after it may have run":    {rollout.RouteIdempotent, []any{connectionLost, refused}, 1},
		"status 500, then served":          {rollout.RouteIdempotent, []any{status500, ok}, 1},
		"no response within the deadline":  {rollout.RouteNonIdempotent, []any{nil}, 1},
		"refused by its status, then runs": {rollout.RouteIdempotent, []any{busy, ok}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			_, f, _ := serve(t, c.kind, 400*time.Millisecond, c.script...)
			assert.Equal(t, "counted", len(f.began), c.count)
			if c.count > 0 {
				assert.Equal(t, "tenant", f.began[0], "x")
				assert.True(t, "counts when the attempt was sent", !f.sentAt[0].Before(start))
			}
		})
	}
}

// A stream must count when its first bytes arrive, and not again when it is resumed.
func TestUsageOfStreams(t *testing.T) {
	for name, c := range map[string]struct {
		body  string
		count int
	}{
		"events":   {"data: a\n\ndata: b\n\n", 1},
		"no event": {"", 0},
	} {
		t.Run(name, func(t *testing.T) {
			stream := rollout.ForwardedResponse{Status: 200, Stream: io.NopCloser(strings.NewReader(c.body))}
			response, f, err := serve(t, rollout.RouteStream, time.Second, stream)
			assert.NoError(t, "serve", err)
			assert.Equal(t, "counted before the first event", len(f.began), 0)
			_, err = io.ReadAll(response.Stream)
			assert.NoError(t, "read", err)
			assert.NoError(t, "close", response.Stream.Close())
			assert.Equal(t, "counted", len(f.began), c.count)
		})
	}
}
