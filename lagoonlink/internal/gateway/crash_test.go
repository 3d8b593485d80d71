package gateway_test

import (
	"errors"
	"testing"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
)

// TestSampleIsPlacedAfterItsServersCrashed guards against a sound sample that is never
// placed again because several servers crashed while they ran it.
func TestSampleIsPlacedAfterItsServersCrashed(t *testing.T) {
	d := deploy(t, 20, 2*time.Millisecond, "a")
	// Nothing listens at the address, so a lost connection looks like a crash.
	d.address = "127.0.0.1:1"
	crash := rollout.Fail(rollout.MayHaveRun, rollout.ReasonTruncated, errors.New("connection lost"))
	for n, s := range []rollout.ServerName{"s0", "s1", "s2", "s3", "s4"} {
		d.register(n, 1)
		d.engines.SetFailure(s, crash)
	}
	s := newJob("unlucky", 1, 1)
	d.submit(t, "a", s)
	for d.engines.Runs("unlucky-0") < 4 {
		if time.Since(s.At) > testTimeout/2 {
			t.Fatal("got fewer than 4 runs, want a run on one server after another")
		}
		time.Sleep(10 * time.Millisecond)
	}
	for _, s := range []rollout.ServerName{"s0", "s1", "s2", "s3", "s4"} {
		d.engines.SetFailure(s, nil)
	}
	d.readComplete(t, "a", s)
	assert.True(t, "the sample ran several times", d.engines.Runs("unlucky-0") > 4)
}
