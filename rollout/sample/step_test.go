package sample_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/sample"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func init() { assert.FixSeed() }

func plan(groups, samples int) rollout.StepPlan {
	p := rollout.StepPlan{StepKey: rollout.StepKey{Trainer: "notices", Step: 1, Attempt: 1}}
	for range groups {
		p.Groups = append(p.Groups, rollout.Group{Prompt: "p", Samples: samples, MaxTokens: 100})
	}
	return p
}

func policy() sample.Policy {
	return sample.Policy{MaxVersionsBehind: 1, Objective: rollout.ObjectiveIdleTime, HedgeShare: 0.25, TailShare: 0.25, SlowFactor: 2, StallTimeout: time.Second}
}

func pull(number uint64, held rollout.Held, current rollout.WeightVersion) sample.Pulled {
	key := rollout.StepKey{Trainer: "notices", Step: 1, Attempt: 1}
	return sample.Pulled{Pull: rollout.Pull{StepKey: key, Number: number, Held: held, Current: current, Max: 64, Wait: time.Second}}
}

func submits(actions []sample.Action) []sample.Submit {
	var out []sample.Submit
	for _, a := range actions {
		if s, ok := a.(sample.Submit); ok {
			out = append(out, s)
		}
	}
	return out
}

func responses(actions []sample.Action) []rollout.PullResponse {
	var out []rollout.PullResponse
	for _, a := range actions {
		if s, ok := a.(sample.Answer); ok {
			out = append(out, s.Response)
		}
	}
	return out
}

// runAttempt starts the attempt, adds a token of each given version and finishes
// it.
func runAttempt(s *sample.Step, now time.Time, a sample.AttemptID, versions ...rollout.WeightVersion) []sample.Action {
	out := s.Apply(now, sample.Started{Attempt: a, Server: "one"})
	for _, v := range versions {
		out = append(out, s.Apply(now, sample.Progressed{Attempt: a, Piece: rollout.Piece{Text: "x ", Tokens: 1, Version: v}})...)
	}
	return append(out, s.Apply(now, sample.Finished{Attempt: a})...)
}

func TestNoSubmitBeforeFirstPull(t *testing.T) {
	s := sample.New(plan(2, 2), policy())
	assert.Equal(t, "submitted attempts", len(submits(s.Apply(start, sample.Ticked{}))), 0)
	assert.Equal(t, "submitted attempts after the first pull", len(submits(s.Apply(start, pull(1, rollout.NewHeld(4).With(2), 1)))), 3)
}

func TestDelivery(t *testing.T) {
	t.Run("a repeated pull is answered again", func(t *testing.T) {
		s := sample.New(plan(1, 1), policy())
		first := submits(s.Apply(start, pull(1, rollout.NewHeld(1), 1)))
		got := responses(runAttempt(s, start, first[0].Attempt, 1))
		assert.Equal(t, "samples", len(got[0].Samples), 1)
		again := responses(s.Apply(start, pull(2, rollout.NewHeld(1), 1)))
		assert.Equal(t, "answers to the repeated pull", again, []rollout.PullResponse{{Number: 2, Samples: got[0].Samples, Complete: true}})
	})
	t.Run("a held sample is not answered", func(t *testing.T) {
		s := sample.New(plan(1, 2), policy())
		first := submits(s.Apply(start, pull(1, rollout.NewHeld(2), 1)))
		runAttempt(s, start, first[0].Attempt, 1)
		got := responses(s.Apply(start.Add(time.Hour), pull(2, rollout.NewHeld(2).With(0), 1)))
		assert.Equal(t, "answers", len(got), 0)
	})
	t.Run("an older pull is refused", func(t *testing.T) {
		s := sample.New(plan(1, 1), policy())
		s.Apply(start, pull(5, rollout.NewHeld(1), 1))
		out := s.Apply(start, pull(4, rollout.NewHeld(1), 1))
		refused, ok := out[0].(sample.Refuse)
		assert.True(t, "the first action is a refusal", ok)
		assert.Equal(t, "reason", refused.Failure.Reason, rollout.ReasonPullSuperseded)
	})
	t.Run("a pull whose wait is over gets an empty answer", func(t *testing.T) {
		s := sample.New(plan(1, 1), policy())
		s.Apply(start, pull(1, rollout.NewHeld(1), 1))
		got := responses(s.Apply(start.Add(2*time.Second), sample.Ticked{}))
		assert.Equal(t, "answers", got, []rollout.PullResponse{{Number: 1}})
	})
}

func TestVersionLabels(t *testing.T) {
	for _, c := range []struct {
		name     string
		versions []rollout.WeightVersion
		want     []rollout.WeightVersion
	}{
		{"one version", []rollout.WeightVersion{3, 3}, []rollout.WeightVersion{3}},
		{"version change during generation", []rollout.WeightVersion{3, 4}, []rollout.WeightVersion{3, 4}},
		{"version change and back", []rollout.WeightVersion{4, 3, 4}, []rollout.WeightVersion{3, 4}},
		{"a token without a version", []rollout.WeightVersion{3, 0, 3}, nil},
		{"no tokens", nil, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := sample.New(plan(1, 1), policy())
			first := submits(s.Apply(start, pull(1, rollout.NewHeld(1), 3)))
			out := runAttempt(s, start, first[0].Attempt, c.versions...)
			got := responses(out)
			if c.want == nil {
				assert.Equal(t, "answers", len(got), 0)
				assert.Equal(t, "submitted again", len(submits(out)), 1)
				return
			}
			assert.Equal(t, "versions", got[0].Samples[0].Versions, c.want)
		})
	}
}

func TestStalenessBound(t *testing.T) {
	t.Run("a stale sample is submitted again", func(t *testing.T) {
		s := sample.New(plan(1, 1), policy())
		first := submits(s.Apply(start, pull(1, rollout.NewHeld(1), 1)))
		runAttempt(s, start, first[0].Attempt, 1)
		out := s.Apply(start, pull(2, rollout.NewHeld(1), 3))
		assert.Equal(t, "answers", len(responses(out)), 0)
		assert.Equal(t, "submitted again", len(submits(out)), 1)
		assert.Equal(t, "minimum version", submits(out)[0].MinVersion, rollout.WeightVersion(3))
	})
	t.Run("a stale attempt is canceled while it runs", func(t *testing.T) {
		s := sample.New(plan(1, 1), policy())
		first := submits(s.Apply(start, pull(1, rollout.NewHeld(1), 1)))
		s.Apply(start, sample.Started{Attempt: first[0].Attempt, Server: "one"})
		s.Apply(start, sample.Progressed{Attempt: first[0].Attempt, Piece: rollout.Piece{Text: "x", Tokens: 1, Version: 1}})
		out := s.Apply(start, pull(2, rollout.NewHeld(1), 3))
		assert.True(t, "the attempt is canceled", slices.ContainsFunc(out, func(a sample.Action) bool { return a == sample.Cancel{Attempt: first[0].Attempt} }))
	})
	t.Run("a tighter bound applies to finished samples", func(t *testing.T) {
		s := sample.New(plan(1, 1), policy())
		first := submits(s.Apply(start, pull(1, rollout.NewHeld(1), 2)))
		s.Apply(start, sample.PullAbandoned{Number: 1})
		runAttempt(s, start, first[0].Attempt, 1)
		tight := policy()
		tight.MaxVersionsBehind = 0
		assert.Equal(t, "submitted again", len(submits(s.Apply(start, sample.PolicyChanged{Policy: tight}))), 1)
	})
}

func TestFailedAttemptIsContinued(t *testing.T) {
	s := sample.New(plan(1, 1), policy())
	first := submits(s.Apply(start, pull(1, rollout.NewHeld(1), 1)))
	s.Apply(start, sample.Started{Attempt: first[0].Attempt, Server: "one"})
	s.Apply(start, sample.Progressed{Attempt: first[0].Attempt, Piece: rollout.Piece{Text: "abc", Tokens: 3, Version: 1}})
	next := submits(s.Apply(start, sample.Failed{Attempt: first[0].Attempt}))
	assert.Equal(t, "prior text", next[0].Prior, "abc")
	assert.Equal(t, "tokens left", next[0].MaxTokens, 97)
	assert.Equal(t, "server to avoid", next[0].Avoid, rollout.ServerName("one"))
	got := responses(runAttempt(s, start, next[0].Attempt, 2))
	assert.Equal(t, "versions of both parts", got[0].Samples[0].Versions, []rollout.WeightVersion{1, 2})
}

func TestStragglerGetsOneHedge(t *testing.T) {
	s := sample.New(plan(1, 8), policy())
	all := submits(s.Apply(start, pull(1, rollout.NewHeld(8), 1)))
	now := start.Add(time.Second)
	var hedges []sample.Submit
	s.Apply(start, sample.Started{Attempt: all[0].Attempt, Server: "slow"})
	for _, a := range all[1:] {
		out := s.Apply(start, sample.Started{Attempt: a.Attempt, Server: "fast"})
		out = append(out, s.Apply(now, sample.Progressed{Attempt: a.Attempt, Piece: rollout.Piece{Text: "x", Tokens: 50, Version: 1}})...)
		out = append(out, s.Apply(now, sample.Finished{Attempt: a.Attempt})...)
		hedges = append(hedges, submits(out)...)
	}
	assert.Equal(t, "hedges", len(hedges), 1)
	assert.Equal(t, "server to avoid", hedges[0].Avoid, rollout.ServerName("slow"))
	out := runAttempt(s, now.Add(time.Second), hedges[0].Attempt, 1)
	assert.True(t, "the slower attempt is canceled", slices.Contains(out, sample.Action(sample.Cancel{Attempt: all[0].Attempt})))
	assert.Equal(t, "more hedges", len(submits(s.Apply(now.Add(time.Minute), sample.Ticked{}))), 0)
}

// simulation models a trainer and the VM that holds its step, with crashes of
// the VM and lost responses.
type simulation struct {
	size     int
	holder   *sample.Step
	running  map[sample.AttemptID]bool
	held     rollout.Held
	lastPull uint64
	current  rollout.WeightVersion
	// pullVersion is the current version that the pending pull stated.
	pullVersion rollout.WeightVersion
	now         time.Time
	deliveries  map[int]int
}

func (sm *simulation) apply(t *rapid.T, e sample.Event) {
	for _, a := range sm.holder.Apply(sm.now, e) {
		switch a := a.(type) {
		case sample.Submit:
			sm.running[a.Attempt] = true
		case sample.Cancel:
			delete(sm.running, a.Attempt)
		case sample.Answer:
			sm.handleResponse(t, a.Response)
		}
	}
}

// handleResponse delivers a response to the trainer or drops it. Like package
// trainer, the simulated trainer ignores samples that have become stale since
// it sent the pull.
func (sm *simulation) handleResponse(t *rapid.T, a rollout.PullResponse) {
	if rapid.Bool().Draw(t, "answer is lost") || a.Number != sm.lastPull {
		return
	}
	for _, m := range a.Samples {
		if sm.held.Has(m.Index) {
			t.Fatalf("sample %d: delivered again, want it once", m.Index)
		}
		if !m.Fresh(sm.pullVersion, 1) {
			t.Fatalf("sample %d of versions %v: delivered for a pull at version %d, want none beyond the staleness bound", m.Index, m.Versions, sm.pullVersion)
		}
		if !m.Fresh(sm.current, 1) {
			continue
		}
		sm.held = sm.held.With(m.Index)
		sm.deliveries[m.Index]++
	}
}

func (sm *simulation) pull(t *rapid.T) {
	sm.lastPull++
	sm.pullVersion = sm.current
	sm.apply(t, pull(sm.lastPull, sm.held, sm.current))
}

func (sm *simulation) drawAttempt(t *rapid.T) (sample.AttemptID, bool) {
	var ids []sample.AttemptID
	for id := range sm.running {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return 0, false
	}
	slices.Sort(ids)
	return rapid.SampledFrom(ids).Draw(t, "attempt"), true
}

// TestRandomHistoryDeliversOnce applies random sequences of lost responses, VM
// crashes, failed attempts and new weight versions, then continues without
// faults until every sample has been delivered exactly once.
func TestRandomHistoryDeliversOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sm := &simulation{size: 5, held: rollout.NewHeld(5), current: 1, now: start, deliveries: map[int]int{}}
		restart := func() {
			sm.holder = sample.New(plan(1, sm.size), policy())
			sm.running = map[sample.AttemptID]bool{}
		}
		restart()
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			sm.step(t, restart)
		}
		for round := 0; sm.held.Count(sm.size) < sm.size; round++ {
			if round > 50 {
				t.Fatalf("after %d rounds without faults: trainer holds %d samples, want %d", round, sm.held.Count(sm.size), sm.size)
			}
			sm.pull(t)
			for id := range sm.running {
				sm.finish(t, id)
			}
		}
		for i := range sm.size {
			if sm.deliveries[i] != 1 {
				t.Fatalf("sample %d: delivered %d times, want once", i, sm.deliveries[i])
			}
		}
	})
}

func (sm *simulation) finish(t *rapid.T, id sample.AttemptID) {
	delete(sm.running, id)
	sm.apply(t, sample.Started{Attempt: id, Server: "one"})
	sm.apply(t, sample.Progressed{Attempt: id, Piece: rollout.Piece{Text: "x", Tokens: 1, Version: sm.current}})
	sm.apply(t, sample.Finished{Attempt: id})
}

func (sm *simulation) step(t *rapid.T, restart func()) {
	sm.now = sm.now.Add(100 * time.Millisecond)
	id, ok := sm.drawAttempt(t)
	switch rapid.IntRange(0, 8).Draw(t, "event") {
	case 0, 1:
		sm.pull(t)
	case 2:
		restart()
	case 3:
		sm.current++
	case 4:
		sm.apply(t, sample.Ticked{})
	case 5:
		if ok {
			delete(sm.running, id)
			sm.apply(t, sample.Failed{Attempt: id})
		}
	case 6:
		if ok {
			v := rollout.WeightVersion(rapid.IntRange(0, int(sm.current)).Draw(t, "version"))
			sm.apply(t, sample.Started{Attempt: id, Server: rollout.ServerName(fmt.Sprint(id % 3))})
			sm.apply(t, sample.Progressed{Attempt: id, Piece: rollout.Piece{Text: "x", Tokens: 1, Version: v}})
		}
	default:
		if ok {
			sm.finish(t, id)
		}
	}
}
