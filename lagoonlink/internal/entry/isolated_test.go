package entry

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"lagoonlink.org/lagoonlink/internal/attempt"
	"lagoonlink.org/lagoonlink/internal/dispatch"
	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/request"
)

// isolated is the Reach of a VM that reaches no server.
type isolated struct{}

func (isolated) Isolated(context.Context) bool                  { return true }
func (isolated) Observe(context.Context, rollout.Server, error) {}

// TestIsolatedVMRefusesAtOnce guards against requests that wait for their deadline at a VM that
// knows that it reaches no server.
func TestIsolatedVMRefusesAtOnce(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	for name, mayHaveRun := range map[string]bool{"first attempt": false, "after an attempt that may have run": true} {
		t.Run(name, func(t *testing.T) {
			e := &Entry{config: Config{Attempts: attempt.NewMaker(attempt.Config{Reach: isolated{}}), Logger: event.NewLogger(log)}, budget: request.NewBudget()}
			start := time.Now()
			err := e.runAttempts(t.Context(), request.Request{Idempotent: true, MayHaveRun: mayHaveRun, Deadline: start.Add(time.Minute)}, dispatch.Request{},
				func(context.Context, *attempt.Attempt) error {
					t.Error("got an attempt, want none")
					return nil
				})
			want := rollout.NotRun
			if mayHaveRun {
				want = rollout.MayHaveRun
			}
			assert.Equal(t, "verdict", rollout.VerdictOf(err), want)
			assert.Equal(t, "reason", rollout.FailureOf(err).Reason, rollout.ReasonNoServer)
			assert.Equal(t, "retry delay", rollout.FailureOf(err).RetryAfter, time.Second)
			assert.AtMost(t, "milliseconds", time.Since(start).Milliseconds(), 500)
		})
	}
}
