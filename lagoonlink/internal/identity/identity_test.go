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

func issue(t *testing.T, s *identity.Issuer, now time.Time) identity.Identity {
	t.Helper()
	id, err := s.Issue(now, "pages")
	assert.NoError(t, "issue", err)
	return id
}

func TestRunsAtMostOnce(t *testing.T) {
	t.Run("concurrent and later resends get the same response", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := identity.New("bole-1", 1)
			id := issue(t, s, time.Now())
			runs := 0
			call := func() (rollout.CallResponse, error) {
				runs++
				time.Sleep(time.Second)
				return rollout.CallResponse{Status: 200, Body: []byte("done")}, nil
			}
			var group sync.WaitGroup
			for range 5 {
				group.Go(func() {
					response, err := s.Run(context.Background(), id, "pages", call)
					assert.NoError(t, "run", err)
					assert.Equal(t, "response", string(response.Body), "done")
				})
			}
			group.Wait()
			_, err := s.Run(context.Background(), id, "pages", call)
			assert.NoError(t, "run later", err)
			assert.Equal(t, "runs", runs, 1)
		})
	})
	for _, c := range []struct {
		name    string
		verdict rollout.Verdict
		want    int
	}{
		{"a call that may have run is not retried", rollout.MayHaveRun, 1},
		{"a call that certainly did not run is retried", rollout.NotRun, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := identity.New("bole-1", 1)
			id := issue(t, s, start)
			runs := 0
			for range 2 {
				_, err := s.Run(t.Context(), id, "pages", func() (rollout.CallResponse, error) {
					runs++
					return rollout.CallResponse{}, rollout.Fail(c.verdict, rollout.ReasonServerFailed, nil)
				})
				assert.Equal(t, "verdict", rollout.VerdictOf(err), c.verdict)
			}
			assert.Equal(t, "runs", runs, c.want)
		})
	}
}

func TestUnknownIdentities(t *testing.T) {
	s := identity.New("bole-1", 7)
	known := issue(t, s, start)
	expired := issue(t, s, start)
	issue(t, s, start.Add(time.Hour))
	for _, c := range []struct {
		name   string
		id     identity.Identity
		caller rollout.CallerName
	}{
		{"issued by an earlier process", identity.Identity{VM: "bole-1", Incarnation: 6, Sequence: known.Sequence}, "pages"},
		{"never issued", identity.Identity{VM: "bole-1", Incarnation: 7, Sequence: 99}, "pages"},
		{"expired", expired, "pages"},
		{"owned by another caller", identity.Identity{VM: "bole-1", Incarnation: 7, Sequence: 3}, "others"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := s.Run(t.Context(), c.id, c.caller, func() (rollout.CallResponse, error) {
				t.Error("the call ran, want no run")
				return rollout.CallResponse{}, nil
			})
			assert.Equal(t, "reason", rollout.FailureOf(err).Reason, rollout.ReasonIdentityUnknown)
			assert.Equal(t, "verdict", rollout.VerdictOf(err), rollout.MayHaveRun)
		})
	}
	for _, encoded := range []string{"", "a", "a~b", "a~!~1", "a~1~!", "a b~1~1", "a~1~1~1"} {
		t.Run("malformed "+encoded, func(t *testing.T) {
			_, err := identity.Parse(encoded)
			assert.True(t, "an error is returned", err != nil)
		})
	}
}
