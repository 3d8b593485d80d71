package relay_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"lagoonlink.org/lagoonlink/internal/standin"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
)

// incarnations is a fake control of engines that reports the incarnation of each server,
// 1 unless another one is set.
type incarnations struct {
	mu       sync.Mutex
	reported map[rollout.ServerName]int64
	err      error
}

func (i *incarnations) set(reported map[rollout.ServerName]int64, err error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.reported, i.err = reported, err
}

func (i *incarnations) State(_ context.Context, s rollout.Server) (rollout.EngineState, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if n, ok := i.reported[s.Name]; ok {
		return rollout.EngineState{Incarnation: n}, i.err
	}
	return rollout.EngineState{Incarnation: 1}, i.err
}

func (i *incarnations) SendOrder(context.Context, rollout.Server, rollout.EngineOrder) (rollout.OrderOutcome, error) {
	return rollout.OrderRejected, nil
}

// TestStreamsOfUnknownSoftwareAreRefused guards against streams that go on at a server of
// another software version, because neither server's version is known to the VM.
func TestStreamsOfUnknownSoftwareAreRefused(t *testing.T) {
	v := startStreamVM(t, standin.NewStore(1), "a", "")
	_, err := v.stream(t, "r", "")
	assert.NoError(t, "begin", err)
	_, err = v.stream(t, "again", "r")
	assert.Equal(t, "verdict", rollout.VerdictOf(err), rollout.NotRun)
	assert.Equal(t, "reason", rollout.FailureOf(err).Reason, rollout.ReasonOriginUnknown)
}

// TestStreamsAreContinuedByTheKnownIncarnation guards against streams that go on at a
// server that started again with other software, at a VM that knows only its former
// incarnation.
func TestStreamsAreContinuedByTheKnownIncarnation(t *testing.T) {
	const streams = 12
	begin := func(t *testing.T) *streamVM {
		v := startStreamVM(t, standin.NewStore(1), "a", "v1")
		v.setServers(2, "v1")
		for n := range streams {
			_, err := v.stream(t, fmt.Sprint("r", n), "")
			assert.NoError(t, "begin", err)
		}
		return v
	}
	t.Run("another server of the version is confirmed", func(t *testing.T) {
		v := begin(t)
		v.control.set(map[rollout.ServerName]int64{"v10": 2}, nil)
		v.forwarder.reset()
		for n := range streams {
			_, err := v.stream(t, fmt.Sprint("again", n), fmt.Sprint("r", n))
			assert.NoError(t, "resume", err)
		}
		assert.Equal(t, "streams at the other incarnation", v.forwarder.count("v10"), 0)
		assert.Equal(t, "streams at the confirmed server", v.forwarder.count("v11"), streams)
	})
	for name, c := range map[string]struct {
		reported map[rollout.ServerName]int64
		err      error
	}{
		"no server of the version is left": {map[rollout.ServerName]int64{"v10": 2, "v11": 2}, nil},
		"no server says what it is":        {nil, rollout.Fail(rollout.MayHaveRun, rollout.ReasonTruncated, nil)},
	} {
		t.Run(name, func(t *testing.T) {
			v := begin(t)
			v.control.set(c.reported, c.err)
			v.forwarder.reset()
			start := time.Now()
			_, err := v.stream(t, "again", "r0")
			assert.Equal(t, "verdict", rollout.VerdictOf(err), rollout.NotRun)
			assert.Equal(t, "streams", v.forwarder.count("v10")+v.forwarder.count("v11"), 0)
			assert.AtMost(t, "milliseconds", time.Since(start).Milliseconds(), 500)
		})
	}
}
