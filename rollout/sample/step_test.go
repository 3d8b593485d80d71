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
	return sample.Policy{Behind: 1, Objective: rollout.ObjectiveIdleTime, TwinShare: 0.25, TailShare: 0.25, SlowFactor: 2, Stall: time.Second}
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

func answers(actions []sample.Action) []rollout.PullAnswer {
	var out []rollout.PullAnswer
	for _, a := range actions {
		if s, ok := a.(sample.Answer); ok {
			out = append(out, s.Answer)
		}
	}
	return out
}

// make1 runs an attempt to its end with tokens of the given versions.
func make1(s *sample.Step, now time.Time, a sample.AttemptID, versions ...rollout.WeightVersion) []sample.Action {
	out := s.Apply(now, sample.Started{Attempt: a, Server: "one"})
	for _, v := range versions {
		out = append(out, s.Apply(now, sample.Progressed{Attempt: a, Piece: rollout.Piece{Text: "x ", Tokens: 1, Version: v}})...)
	}
	return append(out, s.Apply(now, sample.Finished{Attempt: a})...)
}

func TestNothingBeforeThePull(t *testing.T) {
	s := sample.New(plan(2, 2), policy())
	assert.Equal(t, "submits", len(submits(s.Apply(start, sample.Ticked{}))), 0)
	assert.Equal(t, "submits after the pull", len(submits(s.Apply(start, pull(1, rollout.NewHeld(4).With(2), 1)))), 3)
}

func TestDelivery(t *testing.T) {
	t.Run("a lost answer is answered again", func(t *testing.T) {
		s := sample.New(plan(1, 1), policy())
		first := submits(s.Apply(start, pull(1, rollout.NewHeld(1), 1)))
		got := answers(make1(s, start, first[0].Attempt, 1))
		assert.Equal(t, "samples", len(got[0].Samples), 1)
		again := answers(s.Apply(start, pull(2, rollout.NewHeld(1), 1)))
		assert.Equal(t, "answers to the repeated pull", again, []rollout.PullAnswer{{Number: 2, Samples: got[0].Samples, Complete: true}})
	})
	t.Run("a held sample is not answered", func(t *testing.T) {
		s := sample.New(plan(1, 2), policy())
		first := submits(s.Apply(start, pull(1, rollout.NewHeld(2), 1)))
		make1(s, start, first[0].Attempt, 1)
		got := answers(s.Apply(start.Add(time.Hour), pull(2, rollout.NewHeld(2).With(0), 1)))
		assert.Equal(t, "answers", len(got), 0)
	})
	t.Run("an older pull is refused", func(t *testing.T) {
		s := sample.New(plan(1, 1), policy())
		s.Apply(start, pull(5, rollout.NewHeld(1), 1))
		out := s.Apply(start, pull(4, rollout.NewHeld(1), 1))
		refused, ok := out[0].(sample.Refuse)
		assert.True(t, "a refusal came", ok)
		assert.Equal(t, "reason", refused.Failure.Reason, rollout.ReasonPullSuperseded)
	})
	t.Run("a wait that is over is answered empty", func(t *testing.T) {
		s := sample.New(plan(1, 1), policy())
		s.Apply(start, pull(1, rollout.NewHeld(1), 1))
		got := answers(s.Apply(start.Add(2*time.Second), sample.Ticked{}))
		assert.Equal(t, "answers", got, []rollout.PullAnswer{{Number: 1}})
	})
}

func TestLabels(t *testing.T) {
	for _, c := range []struct {
		name     string
		versions []rollout.WeightVersion
		want     []rollout.WeightVersion
	}{
		{"one version", []rollout.WeightVersion{3, 3}, []rollout.WeightVersion{3}},
		{"a swap in mid-stream", []rollout.WeightVersion{3, 4}, []rollout.WeightVersion{3, 4}},
		{"a swap back", []rollout.WeightVersion{4, 3, 4}, []rollout.WeightVersion{3, 4}},
		{"an unlabelled token", []rollout.WeightVersion{3, 0, 3}, nil},
		{"no token at all", nil, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := sample.New(plan(1, 1), policy())
			first := submits(s.Apply(start, pull(1, rollout.NewHeld(1), 3)))
			out := make1(s, start, first[0].Attempt, c.versions...)
			got := answers(out)
			if c.want == nil {
				assert.Equal(t, "answers", len(got), 0)
				assert.Equal(t, "made again", len(submits(out)), 1)
				return
			}
			assert.Equal(t, "versions", got[0].Samples[0].Versions, c.want)
		})
	}
}

func TestBound(t *testing.T) {
	t.Run("a sample that grew old is made again", func(t *testing.T) {
		s := sample.New(plan(1, 1), policy())
		first := submits(s.Apply(start, pull(1, rollout.NewHeld(1), 1)))
		make1(s, start, first[0].Attempt, 1)
		out := s.Apply(start, pull(2, rollout.NewHeld(1), 3))
		assert.Equal(t, "answers", len(answers(out)), 0)
		assert.Equal(t, "made again", len(submits(out)), 1)
		assert.Equal(t, "oldest version to start from", submits(out)[0].MinVersion, rollout.WeightVersion(3))
	})
	t.Run("a running attempt over the bound is ended", func(t *testing.T) {
		s := sample.New(plan(1, 1), policy())
		first := submits(s.Apply(start, pull(1, rollout.NewHeld(1), 1)))
		s.Apply(start, sample.Started{Attempt: first[0].Attempt, Server: "one"})
		s.Apply(start, sample.Progressed{Attempt: first[0].Attempt, Piece: rollout.Piece{Text: "x", Tokens: 1, Version: 1}})
		out := s.Apply(start, pull(2, rollout.NewHeld(1), 3))
		assert.True(t, "the attempt is canceled", slices.ContainsFunc(out, func(a sample.Action) bool { return a == sample.Cancel{Attempt: first[0].Attempt} }))
	})
	t.Run("a narrowed bound applies to samples already made", func(t *testing.T) {
		s := sample.New(plan(1, 1), policy())
		first := submits(s.Apply(start, pull(1, rollout.NewHeld(1), 2)))
		s.Apply(start, sample.PullAbandoned{Number: 1})
		make1(s, start, first[0].Attempt, 1)
		narrow := policy()
		narrow.Behind = 0
		assert.Equal(t, "made again", len(submits(s.Apply(start, sample.PolicyChanged{Policy: narrow}))), 1)
	})
}

func TestContinuation(t *testing.T) {
	s := sample.New(plan(1, 1), policy())
	first := submits(s.Apply(start, pull(1, rollout.NewHeld(1), 1)))
	s.Apply(start, sample.Started{Attempt: first[0].Attempt, Server: "one"})
	s.Apply(start, sample.Progressed{Attempt: first[0].Attempt, Piece: rollout.Piece{Text: "abc", Tokens: 3, Version: 1}})
	next := submits(s.Apply(start, sample.Failed{Attempt: first[0].Attempt}))
	assert.Equal(t, "prior text", next[0].Prior, "abc")
	assert.Equal(t, "tokens left", next[0].MaxTokens, 97)
	assert.Equal(t, "server to avoid", next[0].Avoid, rollout.ServerName("one"))
	got := answers(make1(s, start, next[0].Attempt, 2))
	assert.Equal(t, "versions of both parts", got[0].Samples[0].Versions, []rollout.WeightVersion{1, 2})
}

func TestStragglerGetsOneTwin(t *testing.T) {
	s := sample.New(plan(1, 8), policy())
	all := submits(s.Apply(start, pull(1, rollout.NewHeld(8), 1)))
	now := start.Add(time.Second)
	var twins []sample.Submit
	s.Apply(start, sample.Started{Attempt: all[0].Attempt, Server: "slow"})
	for _, a := range all[1:] {
		out := s.Apply(start, sample.Started{Attempt: a.Attempt, Server: "fast"})
		out = append(out, s.Apply(now, sample.Progressed{Attempt: a.Attempt, Piece: rollout.Piece{Text: "x", Tokens: 50, Version: 1}})...)
		out = append(out, s.Apply(now, sample.Finished{Attempt: a.Attempt})...)
		twins = append(twins, submits(out)...)
	}
	assert.Equal(t, "second attempts", len(twins), 1)
	assert.Equal(t, "server to avoid", twins[0].Avoid, rollout.ServerName("slow"))
	out := make1(s, now.Add(time.Second), twins[0].Attempt, 1)
	assert.True(t, "the loser is canceled", slices.Contains(out, sample.Action(sample.Cancel{Attempt: all[0].Attempt})))
	assert.Equal(t, "more second attempts", len(submits(s.Apply(now.Add(time.Minute), sample.Ticked{}))), 0)
}

// world is a trainer with the holders of its step, over crashes and lost
// answers.
type world struct {
	size    int
	holder  *sample.Step
	live    map[sample.AttemptID]bool
	held    rollout.Held
	number  uint64
	current rollout.WeightVersion
	// asked is the version that the outstanding pull named.
	asked rollout.WeightVersion
	now   time.Time
	got   map[int]int
}

func (w *world) apply(t *rapid.T, e sample.Event) {
	for _, a := range w.holder.Apply(w.now, e) {
		switch a := a.(type) {
		case sample.Submit:
			w.live[a.Attempt] = true
		case sample.Cancel:
			delete(w.live, a.Attempt)
		case sample.Answer:
			w.answered(t, a.Answer)
		}
	}
}

// answered gives the trainer an answer, or loses it. The trainer keeps the rules
// of package trainer: it takes no sample that is over the bound by now.
func (w *world) answered(t *rapid.T, a rollout.PullAnswer) {
	if rapid.Bool().Draw(t, "answer is lost") || a.Number != w.number {
		return
	}
	for _, m := range a.Samples {
		if w.held.Has(m.Index) {
			t.Fatalf("sample %d: got it again, want it once", m.Index)
		}
		if !m.Fresh(w.asked, 1) {
			t.Fatalf("sample %d of versions %v: got it for a pull at version %d, want none over the bound", m.Index, m.Versions, w.asked)
		}
		if !m.Fresh(w.current, 1) {
			continue
		}
		w.held = w.held.With(m.Index)
		w.got[m.Index]++
	}
}

func (w *world) pull(t *rapid.T) {
	w.number++
	w.asked = w.current
	w.apply(t, pull(w.number, w.held, w.current))
}

func (w *world) someAttempt(t *rapid.T) (sample.AttemptID, bool) {
	var ids []sample.AttemptID
	for id := range w.live {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return 0, false
	}
	slices.Sort(ids)
	return rapid.SampledFrom(ids).Draw(t, "attempt"), true
}

// TestAnyHistoryDeliversOnce drives random histories: lost answers, crashed
// holders, failed attempts, new weights; then lets all go well.
func TestAnyHistoryDeliversOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{size: 5, held: rollout.NewHeld(5), current: 1, now: start, got: map[int]int{}}
		restart := func() {
			w.holder = sample.New(plan(1, w.size), policy())
			w.live = map[sample.AttemptID]bool{}
		}
		restart()
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			w.step(t, restart)
		}
		for round := 0; w.held.Count(w.size) < w.size; round++ {
			if round > 50 {
				t.Fatalf("after %d rounds without faults: got %d samples, want %d", round, w.held.Count(w.size), w.size)
			}
			w.pull(t)
			for id := range w.live {
				w.finish(t, id)
			}
		}
		for i := range w.size {
			if w.got[i] != 1 {
				t.Fatalf("sample %d: got it %d times, want once", i, w.got[i])
			}
		}
	})
}

func (w *world) finish(t *rapid.T, id sample.AttemptID) {
	delete(w.live, id)
	w.apply(t, sample.Started{Attempt: id, Server: "one"})
	w.apply(t, sample.Progressed{Attempt: id, Piece: rollout.Piece{Text: "x", Tokens: 1, Version: w.current}})
	w.apply(t, sample.Finished{Attempt: id})
}

func (w *world) step(t *rapid.T, restart func()) {
	w.now = w.now.Add(100 * time.Millisecond)
	id, some := w.someAttempt(t)
	switch rapid.IntRange(0, 8).Draw(t, "event") {
	case 0, 1:
		w.pull(t)
	case 2:
		restart()
	case 3:
		w.current++
	case 4:
		w.apply(t, sample.Ticked{})
	case 5:
		if some {
			delete(w.live, id)
			w.apply(t, sample.Failed{Attempt: id})
		}
	case 6:
		if some {
			v := rollout.WeightVersion(rapid.IntRange(0, int(w.current)).Draw(t, "version"))
			w.apply(t, sample.Started{Attempt: id, Server: rollout.ServerName(fmt.Sprint(id % 3))})
			w.apply(t, sample.Progressed{Attempt: id, Piece: rollout.Piece{Text: "x", Tokens: 1, Version: v}})
		}
	default:
		if some {
			w.finish(t, id)
		}
	}
}
