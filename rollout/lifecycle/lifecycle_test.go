package lifecycle_test

import (
	"os"
	"testing"

	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/lifecycle"
)

func TestTransitions(t *testing.T) {
	state := lifecycle.SampleMissing
	m := lifecycle.NewSample(lifecycle.Store{Get: func() lifecycle.State { return state }, Set: func(to lifecycle.State) { state = to }})
	for _, c := range []struct {
		trigger lifecycle.Trigger
		want    lifecycle.State
	}{
		{lifecycle.SampleSubmit, lifecycle.SampleQueued},
		{lifecycle.SampleStart, lifecycle.SampleRunning},
		{lifecycle.SampleFinish, lifecycle.SampleReady},
		{lifecycle.SampleConfirm, lifecycle.SampleHeld},
		{lifecycle.SampleForget, lifecycle.SampleMissing},
	} {
		assert.NoError(t, string(c.trigger), m.Fire(c.trigger))
		assert.Equal(t, "state", state, c.want)
	}
	assert.True(t, "a transition that is not permitted is an error", m.Fire(lifecycle.SampleFinish) != nil)
	assert.Equal(t, "state after the error", state, lifecycle.SampleMissing)
}

// TestPage checks that the page in the documentation matches the definitions.
func TestPage(t *testing.T) {
	data, err := os.ReadFile("../../docs/MACHINES.md")
	assert.NoError(t, "read the page", err)
	assert.Equal(t, "page is up to date (make docs)", string(data) == lifecycle.Markdown(), true)
}
