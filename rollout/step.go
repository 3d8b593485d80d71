package rollout

import (
	"fmt"
	"slices"
	"time"
)

// Limits of steps, samples and pulls.
const (
	MaxSamplesPerStep  = 16384
	MaxPromptBytes     = 1 << 20
	MaxTokensPerSample = 1 << 20
	// MaxPullWait limits how long a pull waits for samples.
	MaxPullWait = time.Minute
)

// StepKey identifies one attempt of a trainer at a step. A trainer that has lost
// the samples it held reopens the step with a higher Attempt.
type StepKey struct {
	Trainer TrainerName
	Step    uint64
	Attempt uint64
}

// String returns the key as trainer/step/attempt, the form used in paths and logs.
func (k StepKey) String() string {
	return fmt.Sprintf("%s/%d/%d", k.Trainer, k.Step, k.Attempt)
}

// Group is a set of samples generated from the same prompt.
type Group struct {
	Prompt string
	// Samples is the number of samples in the group.
	Samples int
	// MaxTokens limits the length of each sample.
	MaxTokens int
}

// StepPlan contains everything a VM needs to generate the samples of a step. The
// trainer keeps the plan until the step is closed, so that any VM can take over
// the step.
type StepPlan struct {
	StepKey
	Groups []Group
}

// Size returns the number of samples in the step.
func (p *StepPlan) Size() int {
	size := 0
	for _, g := range p.Groups {
		size += g.Samples
	}
	return size
}

// GroupOf returns the index of the group that contains the sample with the given
// index, or the number of groups if there is no such sample.
func (p *StepPlan) GroupOf(index int) (group int) {
	for i, g := range p.Groups {
		if index < g.Samples {
			return i
		}
		index -= g.Samples
	}
	return len(p.Groups)
}

// Check validates the plan and returns the first violation.
func (p *StepPlan) Check() error {
	if err := CheckName("Trainer", string(p.Trainer)); err != nil {
		return err
	}
	for i, g := range p.Groups {
		if g.Samples < 1 || g.Samples > MaxSamplesPerStep {
			return fmt.Errorf("Groups[%d].Samples: got %d, expected 1 to %d", i, g.Samples, MaxSamplesPerStep)
		}
		if g.MaxTokens < 1 || g.MaxTokens > MaxTokensPerSample {
			return fmt.Errorf("Groups[%d].MaxTokens: got %d, expected 1 to %d", i, g.MaxTokens, MaxTokensPerSample)
		}
		if len(g.Prompt) > MaxPromptBytes {
			return fmt.Errorf("Groups[%d].Prompt: got %d bytes, expected at most %d", i, len(g.Prompt), MaxPromptBytes)
		}
	}
	if n := p.Size(); n < 1 || n > MaxSamplesPerStep {
		return fmt.Errorf("Groups: got %d samples in total, expected 1 to %d", n, MaxSamplesPerStep)
	}
	return nil
}

// Held is the set of sample indexes of a step that the trainer holds. It is a
// bit set: index 0 is the lowest bit of the first byte.
type Held []byte

// NewHeld returns an empty set for a step of the given size.
func NewHeld(size int) Held { return make(Held, (size+7)/8) }

// Has reports whether the set contains index.
func (h Held) Has(index int) bool {
	return index/8 < len(h) && h[index/8]&(1<<(index%8)) != 0
}

// With returns a copy of the set with index added.
func (h Held) With(index int) Held {
	c := slices.Clone(h)
	c[index/8] |= 1 << (index % 8)
	return c
}

// Count returns the number of indexes below size that the set contains.
func (h Held) Count(size int) int {
	count := 0
	for i := range size {
		if h.Has(i) {
			count++
		}
	}
	return count
}

// Sample is one finished rollout.
type Sample struct {
	Index int
	Group int
	Text  string
	// Tokens is the number of tokens in Text.
	Tokens int
	// Versions lists, in ascending order, all weight versions that generated any
	// of the tokens.
	Versions []WeightVersion
	Server   ServerName
}

// Oldest returns the oldest version in the sample, or 0 if its versions are
// unknown.
func (s *Sample) Oldest() WeightVersion {
	if len(s.Versions) == 0 {
		return 0
	}
	return slices.Min(s.Versions)
}

// Fresh reports whether the sample may be delivered to a trainer at version
// current whose staleness bound is behind versions. A sample with unknown
// versions is never fresh.
func (s *Sample) Fresh(current WeightVersion, behind uint64) bool {
	oldest := s.Oldest()
	return oldest != 0 && uint64(oldest)+behind >= uint64(current)
}

// Pull is a trainer's request for samples. It states which samples the trainer
// holds, so that any VM can answer it and a retried pull never delivers a sample
// twice.
type Pull struct {
	StepKey
	// Number increases with every pull of the step. The VM that holds the step
	// refuses a pull that is older than the latest one, and the trainer ignores an
	// response to it.
	Number uint64
	Held   Held
	// Current is the trainer's weight version.
	Current WeightVersion
	// Max is the maximum number of samples in the response.
	Max int
	// Wait limits how long the response is delayed until a sample is ready.
	Wait time.Duration
}

// Check validates the pull and returns the first violation.
func (p *Pull) Check() error {
	if err := CheckName("Trainer", string(p.Trainer)); err != nil {
		return err
	}
	if len(p.Held) > MaxSamplesPerStep/8 {
		return fmt.Errorf("Held: got %d bytes, expected at most %d", len(p.Held), MaxSamplesPerStep/8)
	}
	if p.Max < 1 || p.Max > MaxSamplesPerStep {
		return fmt.Errorf("Max: got %d, expected 1 to %d", p.Max, MaxSamplesPerStep)
	}
	if p.Wait < 0 || p.Wait > MaxPullWait {
		return fmt.Errorf("Wait: got %s, expected 0s to %s", p.Wait, MaxPullWait)
	}
	return nil
}

// PullResponse is the response to the pull with the same Number.
type PullResponse struct {
	Number  uint64
	Samples []Sample
	// Complete reports whether the trainer has all samples of the step, including
	// those in this response.
	Complete bool
}
