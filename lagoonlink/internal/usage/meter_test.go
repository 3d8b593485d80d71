package usage

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
)

// slowServer answers each request after delay with an outcome.
type slowServer struct {
	delay    time.Duration
	response rollout.ForwardedResponse
	err      error
}

func (s *slowServer) Forward(context.Context, rollout.Server, rollout.ForwardedRequest) (rollout.ForwardedResponse, error) {
	time.Sleep(s.delay)
	return s.response, s.err
}

func (s *slowServer) Score(context.Context, rollout.Server, rollout.ScoreRequest) (string, error) {
	time.Sleep(s.delay)
	return "", s.err
}

// The load of a service must contain callers' requests, streams until they end, and scoring
// requests, but no refusals and no services that are not scaled.
func TestMeter(t *testing.T) {
	const delay = 20 * time.Millisecond
	stream := rollout.ForwardedResponse{Stream: io.NopCloser(strings.NewReader("x"))}
	for name, c := range map[string]struct {
		server   slowServer
		name     rollout.ServerName
		requests int
	}{
		"served":            {slowServer{delay: delay}, "s1", 2},
		"may have run":      {slowServer{delay: delay, err: io.ErrUnexpectedEOF}, "s1", 2},
		"refused":           {slowServer{delay: delay, err: rollout.Refuse(rollout.ReasonServerRefused, "full")}, "s1", 0},
		"a stream":          {slowServer{delay: delay, response: stream}, "s1", 2},
		"not to be scaled":  {slowServer{delay: delay}, "other", 0},
		"an unknown server": {slowServer{delay: delay}, "unknown", 0},
	} {
		t.Run(name, func(t *testing.T) {
			var total time.Duration
			requests := 0
			m := NewMeter(MeterConfig{
				Forwarder: &c.server, Scorer: &c.server,
				ServiceOf: func(n rollout.ServerName) (rollout.ServiceName, bool) { return "s", n == "s1" },
				Busy: func(_ rollout.ServiceName, took time.Duration) {
					requests++
					total += took
				},
			})
			response, _ := m.Forward(t.Context(), rollout.Server{Name: c.name}, rollout.ForwardedRequest{})
			if response.Stream != nil {
				assert.Equal(t, "requests before the stream ends", requests, 0)
				assert.NoError(t, "close", response.Stream.Close())
			}
			_, _ = m.Score(t.Context(), rollout.Server{Name: c.name}, rollout.ScoreRequest{})
			assert.Equal(t, "requests", requests, c.requests)
			assert.True(t, "time", total >= time.Duration(c.requests)*delay)
		})
	}
}
