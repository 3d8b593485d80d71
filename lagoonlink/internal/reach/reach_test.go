package reach_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/inforce"
	"lagoonlink.org/lagoonlink/internal/reach"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
)

// failing is a Forwarder, a SampleEngine and a SampleScorer whose calls fail.
type failing struct{ err error }

func (f failing) Forward(context.Context, rollout.Server, rollout.ForwardedRequest) (rollout.ForwardedResponse, error) {
	return rollout.ForwardedResponse{}, f.err
}

func (f failing) Sample(context.Context, rollout.Server, rollout.SampleRequest) (rollout.PieceReader, error) {
	return nil, f.err
}

func (f failing) Score(context.Context, rollout.Server, rollout.ScoreRequest) (string, error) {
	return "", f.err
}

func TestWhatMakesAVMDoubt(t *testing.T) {
	unreached := func(context.Context, string) bool { return false }
	starved := func(context.Context, string) bool {
		time.Sleep(250 * time.Millisecond)
		return false
	}
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	late, cancelLate := context.WithTimeout(t.Context(), 0)
	defer cancelLate()
	for name, c := range map[string]struct {
		ctx      context.Context
		err      error
		probe    func(context.Context, string) bool
		isolated bool
	}{
		"no connection":             {t.Context(), rollout.Fail(rollout.NotRun, rollout.ReasonServerFailed, errors.New("refused")), unreached, true},
		"the connection is lost":    {t.Context(), rollout.Fail(rollout.MayHaveRun, rollout.ReasonTruncated, io.ErrUnexpectedEOF), unreached, true},
		"no response in time":       {late, rollout.Fail(rollout.MayHaveRun, rollout.ReasonDeadline, context.DeadlineExceeded), unreached, true},
		"the server refuses":        {t.Context(), rollout.Refuse(rollout.ReasonServerRefused, "full"), unreached, false},
		"the server fails":          {t.Context(), rollout.Fail(rollout.Ran, rollout.ReasonServerFailed, errors.New("status 500")), unreached, false},
		"the caller leaves":         {canceled, rollout.Fail(rollout.MayHaveRun, rollout.ReasonCanceled, context.Canceled), unreached, false},
		"this VM has no processor":  {t.Context(), rollout.Fail(rollout.NotRun, rollout.ReasonServerFailed, errors.New("late")), starved, false},
		"other servers are reached": {t.Context(), rollout.Fail(rollout.NotRun, rollout.ReasonServerFailed, errors.New("refused")), func(context.Context, string) bool { return true }, false},
	} {
		for kind, call := range map[string]func(w *reach.Watcher, s rollout.Server) error{
			"request": func(w *reach.Watcher, s rollout.Server) error {
				_, err := w.Forward(c.ctx, s, rollout.ForwardedRequest{})
				return err
			},
			"sample": func(w *reach.Watcher, s rollout.Server) error {
				_, err := w.Sample(c.ctx, s, rollout.SampleRequest{})
				return err
			},
			"score": func(w *reach.Watcher, s rollout.Server) error {
				_, err := w.Score(c.ctx, s, rollout.ScoreRequest{})
				return err
			},
		} {
			t.Run(name+"/"+kind, func(t *testing.T) {
				t.Parallel()
				w, servers := start(t, failing{c.err}, c.probe)
				assert.Equal(t, "error", call(w, servers[0]), c.err)
				assert.Equal(t, "isolated", w.Isolated(t.Context()), c.isolated)
				assert.Equal(t, "isolated now", w.IsolatedNow(), c.isolated)
			})
		}
	}
}

func start(t *testing.T, f failing, probe func(context.Context, string) bool) (*reach.Watcher, []rollout.Server) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	servers := []rollout.Server{{Name: "s0", Zone: "z"}, {Name: "s1", Zone: "z"}, {Name: "s2", Zone: "y"}}
	inForce := &inforce.Holder{}
	inForce.Set(&inforce.View{Version: 1, Configuration: rollout.Configuration{Services: []rollout.Service{{Name: "s", Servers: servers}}}})
	w := reach.New(reach.Config{Zone: "z", InForce: inForce, Probe: probe, Forwarder: f, Engine: f, Scorer: f, Logger: event.NewLogger(log), Metrics: tally.NoopScope})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = w.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return w, servers
}
