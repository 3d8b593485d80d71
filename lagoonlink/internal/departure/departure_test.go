package departure_test

import (
	"context"
	"testing"

	"lagoonlink.org/lagoonlink/internal/departure"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
)

// leavingServers are the names of the servers that are leaving.
type leavingServers map[rollout.ServerName]bool

func (l leavingServers) IsLeaving(s rollout.Server) bool { return l[s.Name] }

// sent counts the requests that were sent.
type sent struct{ count int }

func (s *sent) Forward(context.Context, rollout.Server, rollout.ForwardedRequest) (rollout.ForwardedResponse, error) {
	s.count++
	return rollout.ForwardedResponse{}, nil
}

func (s *sent) Sample(context.Context, rollout.Server, rollout.SampleRequest) (rollout.PieceReader, error) {
	s.count++
	return nil, nil
}

func (s *sent) Score(context.Context, rollout.Server, rollout.ScoreRequest) (string, error) {
	s.count++
	return "", nil
}

// TestGate guards against requests that reach a server after it stated that it is leaving,
// because it was chosen for them before.
func TestGate(t *testing.T) {
	for name, send := range map[string]func(*departure.Gate, rollout.Server) error{
		"a request": func(g *departure.Gate, s rollout.Server) error {
			_, err := g.Forward(context.Background(), s, rollout.ForwardedRequest{})
			return err
		},
		"a sample": func(g *departure.Gate, s rollout.Server) error {
			_, err := g.Sample(context.Background(), s, rollout.SampleRequest{})
			return err
		},
		"a score": func(g *departure.Gate, s rollout.Server) error {
			_, err := g.Score(context.Background(), s, rollout.ScoreRequest{})
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := &sent{}
			g := departure.New(departure.Config{Servers: leavingServers{"a": true}, Forwarder: s, Engine: s, Scorer: s})
			err := send(g, rollout.Server{Name: "a"})
			assert.Equal(t, "verdict", rollout.VerdictOf(err), rollout.NotRun)
			assert.Equal(t, "reason", rollout.FailureOf(err).Reason, rollout.ReasonDraining)
			assert.Equal(t, "requests at the leaving server", s.count, 0)
			assert.NoError(t, "another server", send(g, rollout.Server{Name: "b"}))
			assert.Equal(t, "requests at the other server", s.count, 1)
		})
	}
}
