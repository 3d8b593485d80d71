// Package trainer is a stand-in for a trainer. It draws the samples of each step,
// checks every sample against the data encoded in its tokens (package truth),
// simulates training, and publishes new weights. It draws the next step while it
// trains on the current one.
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
	// Steps is the number of steps, Groups the number of groups in a step, and
	// Samples the number of samples in a group.
	Steps   int
	Groups  int
	Samples int
	// MaxTokens is the maximum length of a sample.
	MaxTokens int
	// PromptBytes is the minimum length of a prompt, to which it is padded.
	PromptBytes int
	// TrainingTime is the training time of a step.
	TrainingTime time.Duration
	// PublishEvery is the number of steps between publications of new weights.
	PublishEvery int
	// Rate is the tokens per second of a sample alone on an engine. Throughput is
	// the maximum tokens per second of all engines, at any batch size. The lower
	// bound of the idle share follows from them.
	Rate, Throughput float64
	Collector        *report.Collector
	// OnStep, if not nil, is called when all samples of a step have arrived.
	OnStep func(step int)
}

// Trainer simulates a trainer.
type Trainer struct {
	config        Config
	client        *trainer.Client
	latestVersion atomic.Uint64
	seenNonces    map[uint64]bool
	// stepBounds holds a lower bound of the generation time of each step.
	stepBounds []time.Duration
}

// New returns a trainer that starts from the store's latest version of its model.
func New(c Config) *Trainer {
	t := &Trainer{config: c, seenNonces: map[uint64]bool{}}
	t.latestVersion.Store(uint64(c.Store.Latest()[c.Trainer.Model]))
	t.client = trainer.NewClient(trainer.Config{
		Entries: c.Entries, Token: c.Token, Trainer: c.Trainer.Name, MaxVersionsBehind: c.Trainer.MaxVersionsBehind,
		PullWait: 500 * time.Millisecond, PullMax: 64,
	})
	return t
}

func (t *Trainer) currentVersion() rollout.WeightVersion {
	return rollout.WeightVersion(t.latestVersion.Load())
}

// Run trains on all steps, then records the idle share and its lower bound. It
// returns an error if a step can't be drawn, for example because ctx is done.
func (t *Trainer) Run(ctx context.Context) error {
	started := time.Now()
	drawn := make(chan error, 1)
	var idle time.Duration
	go func() { drawn <- t.drawStep(ctx, 1) }()
	for step := 1; step <= t.config.Steps; step++ {
		waitStarted := time.Now()
		if err := <-drawn; err != nil {
			return fmt.Errorf("trainer %s, step %d: %w", t.config.Trainer.Name, step, err)
		}
		idle += time.Since(waitStarted)
		if step < t.config.Steps {
			go func() { drawn <- t.drawStep(ctx, step+1) }()
		}
		if t.config.OnStep != nil {
			t.config.OnStep(step)
		}
		t.train(ctx, step)
	}
	idleShare := idle.Seconds() / time.Since(started).Seconds()
	t.config.Collector.Update(func(r *report.Report) {
		r.TrainerIdleShare[string(t.config.Trainer.Name)] = idleShare
		r.IdleLowerBound[string(t.config.Trainer.Name)] = t.idleLowerBound()
	})
	return nil
}

// idleLowerBound returns the idle share under an ideal scheduler that knows all
// lengths in advance, runs the longest sample alone on an engine from the start,
// and has all engines available for this trainer.
func (t *Trainer) idleLowerBound() float64 {
	var idle time.Duration
	for i, b := range t.stepBounds {
		if i > 0 {
			b = max(0, b-t.config.TrainingTime)
		}
		idle += b
	}
	training := time.Duration(len(t.stepBounds)) * t.config.TrainingTime
	return idle.Seconds() / (idle + training).Seconds()
}

// addStepBound takes the numbers of tokens in the longest sample of a step and in
// all its samples.
func (t *Trainer) addStepBound(longest, total int) {
	seconds := max(float64(longest)/t.config.Rate, float64(total)/t.config.Throughput)
	t.stepBounds = append(t.stepBounds, time.Duration(seconds*float64(time.Second)))
}

func (t *Trainer) train(ctx context.Context, step int) {
	timer := time.NewTimer(t.config.TrainingTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	if step%t.config.PublishEvery == 0 {
		t.config.Store.Publish(t.config.Trainer.Model, rollout.WeightVersion(t.latestVersion.Add(1)))
	}
}

func (t *Trainer) stepPlan(step int) rollout.StepPlan {
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

func (t *Trainer) drawStep(ctx context.Context, number int) error {
	plan := t.stepPlan(number)
	step, err := t.client.Open(ctx, plan)
	if err != nil {
		return err
	}
	seen := map[int]bool{}
	longest, total := 0, 0
	for {
		samples, complete, err := step.Pull(ctx, t.currentVersion)
		if err != nil {
			return err
		}
		for _, s := range samples {
			t.checkSample(plan, s, seen)
			longest, total = max(longest, s.Tokens), total+s.Tokens
		}
		if complete {
			break
		}
	}
	t.addStepBound(longest, total)
	lost := plan.Size() - len(seen)
	t.config.Collector.Update(func(r *report.Report) { r.Lost += lost })
	// All samples have arrived. If the close request is lost, the holder just
	// frees the step later.
	_ = step.Close(ctx)
	return nil
}

// checkSample compares a sample with the data encoded in its text and counts
// violations.
func (t *Trainer) checkSample(plan rollout.StepPlan, s rollout.Sample, seen map[int]bool) {
	text, err := truth.Parse(s.Text)
	current := t.currentVersion()
	group := plan.GroupOf(s.Index)
	var violations report.Promises
	switch {
	case err != nil || !text.Complete() || text.Origin.Prompt != truth.HashPrompt(plan.Groups[group].Prompt) || s.Group != group:
		violations.IncompleteAnswers++
	case !slices.Equal(text.Versions, s.Versions):
		violations.Mislabelled++
	}
	if seen[s.Index] || t.seenNonces[text.Origin.Nonce] {
		violations.Duplicated++
	}
	seen[s.Index], t.seenNonces[text.Origin.Nonce] = true, true
	oldest := current
	if len(text.Versions) > 0 {
		oldest = text.Versions[0]
	}
	behind := uint64(current) - uint64(min(oldest, current))
	if behind > t.config.Trainer.MaxVersionsBehind {
		violations.Stale++
	}
	t.config.Collector.RecordStaleness(string(t.config.Trainer.Name), float64(behind))
	t.config.Collector.Update(func(r *report.Report) {
		r.Samples++
		r.TokensDelivered += text.Tokens
		r.IncompleteAnswers += violations.IncompleteAnswers
		r.Mislabelled += violations.Mislabelled
		r.Duplicated += violations.Duplicated
		r.Stale += violations.Stale
	})
}
