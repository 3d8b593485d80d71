package identity_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lagoonlink.org/lagoonlink/internal/identity"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func mint(t *testing.T, m *identity.Mint, at time.Time) identity.Identity {
	t.Helper()
	id, err := m.New(at, "pages")
	assert.NoError(t, "mint", err)
	return id
}

func TestRunsAtMostOnce(t *testing.T) {
	t.Run("resends at once and later get the same answer", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			m := identity.New("bole-1", 1)
			id := mint(t, m, time.Now())
			runs := 0
			call := func() (rollout.CallAnswer, error) {
				runs++
				time.Sleep(time.Second)
				return rollout.CallAnswer{Status: 200, Body: []byte("done")}, nil
			}
			var all sync.WaitGroup
			for range 5 {
				all.Go(func() {
					a, err := m.Run(context.Background(), id, "pages", call)
					assert.NoError(t, "run", err)
					assert.Equal(t, "answer", string(a.Body), "done")
				})
			}
			all.Wait()
			_, err := m.Run(context.Background(), id, "pages", call)
			assert.NoError(t, "run later", err)
			assert.Equal(t, "runs", runs, 1)
		})
	})
	for _, c := range []struct {
		name    string
		verdict rollout.Verdict
		want    int
	}{
		{"a call that may have run is not run again", rollout.MayHaveRun, 1},
		{"a call that certainly did not run may run", rollout.NotRun, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := identity.New("bole-1", 1)
			id := mint(t, m, start)
			runs := 0
			for range 2 {
				_, err := m.Run(t.Context(), id, "pages", func() (rollout.CallAnswer, error) {
					runs++
					return rollout.CallAnswer{}, rollout.Fail(c.verdict, rollout.ReasonServerFailed, nil)
				})
				assert.Equal(t, "verdict", rollout.VerdictOf(err), c.verdict)
			}
			assert.Equal(t, "runs", runs, c.want)
		})
	}
}

func TestUnknownIdentities(t *testing.T) {
	m := identity.New("bole-1", 7)
	known := mint(t, m, start)
	old := mint(t, m, start)
	mint(t, m, start.Add(time.Hour))
	for _, c := range []struct {
		name   string
		id     identity.Identity
		caller rollout.CallerName
	}{
		{"of an earlier process", identity.Identity{VM: "bole-1", Incarnation: 6, Sequence: known.Sequence}, "pages"},
		{"never minted", identity.Identity{VM: "bole-1", Incarnation: 7, Sequence: 99}, "pages"},
		{"forgotten", old, "pages"},
		{"of another caller", identity.Identity{VM: "bole-1", Incarnation: 7, Sequence: 3}, "others"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := m.Run(t.Context(), c.id, c.caller, func() (rollout.CallAnswer, error) {
				t.Error("the call: got a run, want none")
				return rollout.CallAnswer{}, nil
			})
			assert.Equal(t, "reason", rollout.FailureOf(err).Reason, rollout.ReasonIdentityUnknown)
			assert.Equal(t, "verdict", rollout.VerdictOf(err), rollout.MayHaveRun)
		})
	}
	for _, text := range []string{"", "a", "a~b", "a~!~1", "a~1~!", "a b~1~1", "a~1~1~1"} {
		t.Run("malformed "+text, func(t *testing.T) {
			_, err := identity.Parse(text)
			assert.True(t, "there is an error", err != nil)
		})
	}
}
