package gateway_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/job"
	"lagoonlink.org/rollout/tenancy"
)

// newScoredJob returns a job whose samples all have a scorer.
func newScoredJob(id string, samples int) job.Submission {
	s := newJob(id, samples, 1)
	for i := range s.Samples {
		s.Samples[i].Scorer = &job.Scorer{ID: scorerOf(s.Samples[i].ID), Host: "a.example", Path: "/score/x", Body: []byte(s.Samples[i].ID)}
	}
	return s
}

func scorerOf(sample string) string { return "of-" + sample }

func (d *deployment) assertScores(t *testing.T, results []job.ResultEntry) {
	t.Helper()
	for _, r := range results {
		assert.Equal(t, "score of "+r.Sample, r.Score, "score of "+scorerOf(r.Sample))
		calls := d.scorers.Calls(scorerOf(r.Sample))
		if len(calls) == 0 {
			t.Errorf("scoring requests for %s: got none, want at least 1", r.Sample)
			continue
		}
		assert.True(t, r.Sample+" is scored after its text is complete", !calls[0].At.Before(d.engines.EndedAt(r.Sample)))
	}
}

func TestScores(t *testing.T) {
	d := deploy(t, 5, time.Millisecond, "a")
	s := newScoredJob("scored", 30)
	d.submit(t, "a", s)
	results := d.readComplete(t, "a", s)
	d.assertScores(t, results)
	for _, e := range s.Samples {
		assert.Equal(t, "scoring requests for "+e.ID, len(d.scorers.Calls(scorerOf(e.ID))), 1)
	}
	d.start("b")
	assert.Equal(t, "results at another VM", d.readComplete(t, "b", s), results)
}

// TestScoringMovesToAnotherOwner stops the owners while their samples wait for scores. The
// next owner scores the stored texts and generates none again.
func TestScoringMovesToAnotherOwner(t *testing.T) {
	for _, c := range []struct {
		name string
		stop func(d *deployment, vm rollout.VMName)
	}{
		{"killed", func(d *deployment, vm rollout.VMName) { d.kill(vm) }},
		{"cut from the store", func(d *deployment, vm rollout.VMName) {
			d.store.SetDown(vm, true)
			d.store.RemoveMember(vm)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := deploy(t, 5, time.Millisecond, "a")
			var mu sync.Mutex
			down := true
			d.scorers.SetResponse(func(context.Context, rollout.Server, rollout.ScoreRequest) error {
				mu.Lock()
				defer mu.Unlock()
				if down {
					return rollout.Fail(rollout.NotRun, rollout.ReasonServerFailed, errors.New("connection refused"))
				}
				return nil
			})
			s := newScoredJob("moves", 16)
			d.submit(t, "a", s)
			for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
				waiting := 0
				for _, e := range s.Samples {
					if len(d.scorers.Calls(scorerOf(e.ID))) > 0 {
						waiting++
					}
				}
				if waiting == len(s.Samples) {
					break
				}
			}
			c.stop(d, "a")
			mu.Lock()
			down = false
			mu.Unlock()
			d.start("b")
			d.assertScores(t, d.readComplete(t, "b", s))
			for _, e := range s.Samples {
				assert.Equal(t, "runs of "+e.ID, d.engines.Runs(e.ID), 1)
			}
		})
	}
}

func TestScoringFails(t *testing.T) {
	failed := rollout.Fail(rollout.Ran, rollout.ReasonServerFailed, errors.New("status 500"))
	t.Run("a sample that fails everywhere is given up, the others are not held up", func(t *testing.T) {
		d := deploy(t, 5, time.Millisecond, "a")
		s := newScoredJob("always", 12)
		bad := s.Samples[3].ID
		d.scorers.SetResponse(func(_ context.Context, _ rollout.Server, r rollout.ScoreRequest) error {
			if r.ID == scorerOf(bad) {
				return failed
			}
			return nil
		})
		d.submit(t, "a", s)
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		outcomes := map[string]job.Outcome{}
		for len(outcomes) < len(s.Samples) {
			r, err := d.listeners["a"].manager.Results(ctx, tenancy.Caller{}, s.ID, len(outcomes), 200*time.Millisecond)
			assert.NoError(t, "read results", err)
			for _, e := range r.Results {
				outcomes[e.Sample] = e.Outcome
			}
		}
		for _, e := range s.Samples {
			want := job.Done
			if e.ID == bad {
				want = job.Abandoned
			}
			assert.Equal(t, "outcome of "+e.ID, outcomes[e.ID], want)
		}
		assert.Equal(t, "attempts of the failing sample", len(d.scorers.Calls(scorerOf(bad))), 3)
		assert.Equal(t, "runs of the failing sample", d.engines.Runs(bad), 1)
	})
	t.Run("broken responses do not count against a sample", func(t *testing.T) {
		d := deploy(t, 5, time.Millisecond, "a")
		s := newScoredJob("garbled", 4)
		var mu sync.Mutex
		left := map[string]int{}
		d.scorers.SetResponse(func(_ context.Context, _ rollout.Server, r rollout.ScoreRequest) error {
			mu.Lock()
			defer mu.Unlock()
			if left[r.ID]++; left[r.ID] <= 5 {
				return rollout.Fail(rollout.MayHaveRun, rollout.ReasonTruncated, errors.New("body ended early"))
			}
			return nil
		})
		d.submit(t, "a", s)
		d.assertScores(t, d.readComplete(t, "a", s))
	})
	t.Run("a slow server is doubled, not cut", func(t *testing.T) {
		d := deploy(t, 5, time.Millisecond, "a")
		s := newScoredJob("slow", 12)
		var mu sync.Mutex
		cut := 0
		d.scorers.SetResponse(func(ctx context.Context, server rollout.Server, _ rollout.ScoreRequest) error {
			if server.Name != "c0" {
				return nil
			}
			select {
			case <-time.After(4 * time.Second):
			case <-ctx.Done():
				mu.Lock()
				cut++
				mu.Unlock()
				return rollout.Fail(rollout.MayHaveRun, rollout.ReasonCanceled, ctx.Err())
			}
			return nil
		})
		d.submit(t, "a", s)
		started := time.Now()
		d.assertScores(t, d.readComplete(t, "a", s))
		assert.True(t, "the step does not wait for the slow server", time.Since(started) < 4*time.Second)
		for _, e := range s.Samples {
			calls := d.scorers.Calls(scorerOf(e.ID))
			assert.AtMost(t, "scoring requests for "+e.ID, len(calls), 3)
		}
	})
}

// TestEndStopsScoring ends a job while its scoring requests are in progress.
func TestEndStopsScoring(t *testing.T) {
	d := deploy(t, 5, time.Millisecond, "a", "b")
	d.scorers.SetResponse(func(ctx context.Context, _ rollout.Server, _ rollout.ScoreRequest) error {
		<-ctx.Done()
		return rollout.Fail(rollout.MayHaveRun, rollout.ReasonCanceled, ctx.Err())
	})
	s := newScoredJob("ends", 8)
	d.submit(t, "a", s)
	end := time.Now().Add(testTimeout)
	for d.scorers.Running() < len(s.Samples) && time.Now().Before(end) {
		time.Sleep(5 * time.Millisecond)
	}
	assert.NoError(t, "end", d.listeners["b"].manager.End(context.Background(), tenancy.Caller{}, s.ID))
	time.Sleep(time.Second)
	assert.Equal(t, "scoring requests in progress after the end", d.scorers.Running(), 0)
	calls := len(d.scorers.Calls(scorerOf(s.Samples[0].ID)))
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, "scoring requests after the end", len(d.scorers.Calls(scorerOf(s.Samples[0].ID))), calls)
}

// TestScoringLeavesPlacesToCallers checks that a VM's scoring requests never take all
// places of the scoring service.
func TestScoringLeavesPlacesToCallers(t *testing.T) {
	d := deploy(t, 2, time.Millisecond, "a")
	d.scorers.SetResponse(func(context.Context, rollout.Server, rollout.ScoreRequest) error {
		time.Sleep(20 * time.Millisecond)
		return nil
	})
	s := newScoredJob("burst", 80)
	d.submit(t, "a", s)
	d.assertScores(t, d.readComplete(t, "a", s))
	assert.AtMost(t, "scoring requests at once, of 18 places", d.scorers.MostRunning(), 12)
}
