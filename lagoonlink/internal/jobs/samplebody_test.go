package jobs

import (
	"bytes"
	"context"
	"testing"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/job"
	"lagoonlink.org/rollout/tenancy"
)

// TestBodiesOfSamplesAreReadWithinTheAccount guards against callers that request the body of one
// small sample and make the VM read a whole large submission each time.
func TestBodiesOfSamplesAreReadWithinTheAccount(t *testing.T) {
	m := startManager(t)
	m.config.RecordBytes, m.config.CallBytes = 256<<10, 2<<20
	body := bytes.Repeat([]byte("x"), 100<<10)
	s := job.Submission{ID: "j", Host: "h", Model: "m", At: time.Now(), Retention: time.Minute, Samples: []job.Sample{{ID: "a", Path: "/", Body: []byte("small")}, {ID: "b", Path: "/", Body: body}, {ID: "c", Path: "/", Body: body}}}
	assert.NoError(t, "submit", m.Submit(t.Context(), tenancy.Caller{}, s))
	reserved := 0
	m.config.Reserve = func(_ context.Context, n int) error {
		reserved += n
		return nil
	}
	got, err := m.SampleBody(t.Context(), tenancy.Caller{}, "j", "a")
	assert.NoError(t, "body", err)
	assert.Equal(t, "body", string(got), "small")
	assert.True(t, "memory for the submission as read and as decoded", reserved >= 2*2*len(body))
	m.config.Reserve = func(context.Context, int) error {
		return rollout.Refuse(rollout.ReasonOverloaded, "no memory").WithRetryAfter(time.Second)
	}
	_, err = m.SampleBody(t.Context(), tenancy.Caller{}, "j", "a")
	assert.Equal(t, "reason", rollout.FailureOf(err).Reason, rollout.ReasonOverloaded)
	assert.Equal(t, "verdict", rollout.VerdictOf(err), rollout.NotRun)
	assert.Equal(t, "retry delay", rollout.FailureOf(err).RetryAfter, time.Second)
}
