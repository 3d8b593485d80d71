// Package trainer is a stand-in of a trainer: it draws steps, checks every
// sample against the truth that its tokens carry, trains for a while, and
// publishes new weights. It draws the next step while it trains on the last.
package trainer

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"lagoonlink.org/lagoonbench/internal/report"
	"lagoonlink.org/lagoonbench/internal/standin/store"
	"lagoonlink.org/lagoonbench/internal/truth"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/trainer"
)

// Config configures a trainer.
type Config struct {
	Trainer rollout.Trainer
	Token   string
	Entries func() []string
	Store   *store.Store
	// Steps to train on; Groups of Samples each.
	Steps   int
	Groups  int
	Samples int
	// MaxTokens bounds each sample.
	MaxTokens int
	// PromptBytes is the length of a prompt.
	PromptBytes int
	// Train is how long training on a step takes.
	Train time.Duration
	// PublishEvery is after how many steps new weights are published.
	PublishEvery int
	// Rate is tokens a second of a sample that is alone on an engine, and
	// Throughput that of all engines at any batch; they give the lower bound.
	Rate, Throughput float64
	Collector        *report.Collector
	// OnStep is called when a step is whole.
	OnStep func(step int)
}

// Trainer is the stand-in.
type Trainer struct {
	config  Config
	client  *trainer.Client
	current atomic.Uint64
	nonces  map[uint64]bool
	// bounds is for each step the time in which nobody could have made it faster.
	bounds []time.Duration
}

// New returns a trainer at the store's latest version of its model.
func New(c Config) *Trainer {
	t := &Trainer{config: c, nonces: map[uint64]bool{}}
	t.current.Store(uint64(c.Store.Latest()[c.Trainer.Model]))
	t.client = trainer.NewClient(trainer.Config{
		Entries: c.Entries, Token: c.Token, Trainer: c.Trainer.Name, Behind: c.Trainer.MaxVersionsBehind,
		PullWait: 500 * time.Millisecond, PullMax: 64,
	})
	return t
}

func (t *Trainer) version() rollout.WeightVersion {
	return rollout.WeightVersion(t.current.Load())
}

// Run trains until all steps are done or the context ends.
func (t *Trainer) Run(ctx context.Context) error {
	begun := time.Now()
	drawn := make(chan error, 1)
	var idle time.Duration
	go func() { drawn <- t.draw(ctx, 1) }()
	for step := 1; step <= t.config.Steps; step++ {
		waiting := time.Now()
		if err := <-drawn; err != nil {
			return fmt.Errorf("trainer %s, step %d: %w", t.config.Trainer.Name, step, err)
		}
		idle += time.Since(waiting)
		if step < t.config.Steps {
			go func() { drawn <- t.draw(ctx, step+1) }()
		}
		if t.config.OnStep != nil {
			t.config.OnStep(step)
		}
		t.train(ctx, step)
	}
	share := idle.Seconds() / time.Since(begun).Seconds()
	t.config.Collector.Change(func(r *report.Report) {
		r.TrainerIdleShare[string(t.config.Trainer.Name)] = share
		r.IdleLowerBound[string(t.config.Trainer.Name)] = t.lowerBound()
	})
	return nil
}

// lowerBound is the idle share under a scheduler that knows every length, gives
// the longest sample an engine of its own from the start, and has all engines
// for this trainer.
func (t *Trainer) lowerBound() float64 {
	var idle time.Duration
	for i, b := range t.bounds {
		if i > 0 {
			b = max(0, b-t.config.Train)
		}
		idle += b
	}
	trained := time.Duration(len(t.bounds)) * t.config.Train
	return idle.Seconds() / (idle + trained).Seconds()
}

// noteBound adds a step's bound from the lengths that its samples turned out to
// have.
func (t *Trainer) noteBound(longest, all int) {
	seconds := max(float64(longest)/t.config.Rate, float64(all)/t.config.Throughput)
	t.bounds = append(t.bounds, time.Duration(seconds*float64(time.Second)))
}

func (t *Trainer) train(ctx context.Context, step int) {
	timer := time.NewTimer(t.config.Train)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	if step%t.config.PublishEvery == 0 {
		t.config.Store.Publish(t.config.Trainer.Model, rollout.WeightVersion(t.current.Add(1)))
	}
}

func (t *Trainer) plan(step int) rollout.StepPlan {
	p := rollout.StepPlan{StepKey: rollout.StepKey{Trainer: t.config.Trainer.Name, Step: uint64(step), Attempt: 1}}
	for i := range t.config.Groups {
		prompt := fmt.Sprintf("%s step %d group %d ", t.config.Trainer.Name, step, i)
		for len(prompt) < t.config.PromptBytes {
			prompt += "."
		}
		p.Groups = append(p.Groups, rollout.Group{Prompt: prompt, Samples: t.config.Samples, MaxTokens: t.config.MaxTokens})
	}
	return p
}

// draw draws a whole step.
func (t *Trainer) draw(ctx context.Context, number int) error {
	plan := t.plan(number)
	step, err := t.client.Open(ctx, plan)
	if err != nil {
		return err
	}
	seen := map[int]bool{}
	longest, all := 0, 0
	for {
		samples, complete, err := step.Pull(ctx, t.version)
		if err != nil {
			return err
		}
		for _, s := range samples {
			t.judge(plan, s, seen)
			longest, all = max(longest, s.Tokens), all+s.Tokens
		}
		if complete {
			break
		}
	}
	t.noteBound(longest, all)
	lost := plan.Size() - len(seen)
	t.config.Collector.Change(func(r *report.Report) { r.Lost += lost })
	// The step is whole: a lost close only leaves the holder to forget it later.
	_ = step.Close(ctx)
	return nil
}

// judge compares a sample with the truth in its text.
func (t *Trainer) judge(plan rollout.StepPlan, s rollout.Sample, seen map[int]bool) {
	text, err := truth.Parse(s.Text)
	current := t.version()
	group := plan.GroupOf(s.Index)
	var found report.Promises
	switch {
	case err != nil || !text.Whole() || text.Origin.Prompt != truth.HashPrompt(plan.Groups[group].Prompt) || s.Group != group:
		found.IncompleteAnswers++
	case !slices.Equal(text.Versions, s.Versions):
		found.Mislabelled++
	}
	if seen[s.Index] || t.nonces[text.Origin.Nonce] {
		found.Duplicated++
	}
	seen[s.Index], t.nonces[text.Origin.Nonce] = true, true
	oldest := current
	if len(text.Versions) > 0 {
		oldest = text.Versions[0]
	}
	behind := uint64(current) - uint64(min(oldest, current))
	if behind > t.config.Trainer.MaxVersionsBehind {
		found.Stale++
	}
	t.config.Collector.Stale(string(t.config.Trainer.Name), float64(behind))
	t.config.Collector.Change(func(r *report.Report) {
		r.Samples++
		r.TokensDelivered += text.Tokens
		r.IncompleteAnswers += found.IncompleteAnswers
		r.Mislabelled += found.Mislabelled
		r.Duplicated += found.Duplicated
		r.Stale += found.Stale
	})
}
