package life_test

import (
	"os"
	"testing"

	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/life"
)

func TestTransitions(t *testing.T) {
	state := life.SampleMissing
	m := life.NewSample(life.Store{Get: func() life.State { return state }, Set: func(to life.State) { state = to }})
	for _, c := range []struct {
		trigger life.Trigger
		want    life.State
	}{
		{life.SampleSubmit, life.SampleQueued},
		{life.SampleStart, life.SampleRunning},
		{life.SampleFinish, life.SampleReady},
		{life.SampleConfirm, life.SampleHeld},
		{life.SampleForget, life.SampleMissing},
	} {
		assert.NoError(t, string(c.trigger), m.Fire(c.trigger))
		assert.Equal(t, "state", state, c.want)
	}
	assert.True(t, "a transition that is not permitted is an error", m.Fire(life.SampleFinish) != nil)
	assert.Equal(t, "state after the error", state, life.SampleMissing)
}

// TestPage checks that the page in the documentation matches the definitions.
func TestPage(t *testing.T) {
	data, err := os.ReadFile("../../docs/MACHINES.md")
	assert.NoError(t, "read the page", err)
	assert.Equal(t, "page is up to date (make docs)", string(data) == life.Markdown(), true)
}
