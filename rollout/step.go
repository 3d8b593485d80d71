package rollout

import (
	"fmt"
	"slices"
	"time"
)

// Limits of one step.
const (
	MaxSamplesPerStep  = 16384
	MaxPromptBytes     = 1 << 20
	MaxTokensPerSample = 1 << 20
	// MaxPullWait bounds how long a pull may be held open.
	MaxPullWait = time.Minute
)

// StepKey identifies one attempt of a trainer at a step. A trainer that lost
// what it held opens the step again with a higher Attempt.
type StepKey struct {
	Trainer TrainerName
	Step    uint64
	Attempt uint64
}

// String returns the key as used in paths and logs.
func (k StepKey) String() string {
	return fmt.Sprintf("%s/%d/%d", k.Trainer, k.Step, k.Attempt)
}

// Group is a set of samples of the same prompt.
type Group struct {
	Prompt  string
	Samples int
	// MaxTokens bounds each sample's length.
	MaxTokens int
}

// StepPlan is everything that a VM needs to make a step's samples. The trainer
// keeps it until the step is closed, so that any VM can take the step over.
type StepPlan struct {
	StepKey
	Groups []Group
}

// Size returns how many samples the step has.
func (p *StepPlan) Size() int {
	size := 0
	for _, g := range p.Groups {
		size += g.Samples
	}
	return size
}

// GroupOf returns the group of the sample with the given index.
func (p *StepPlan) GroupOf(index int) (group int) {
	for i, g := range p.Groups {
		if index < g.Samples {
			return i
		}
		index -= g.Samples
	}
	return len(p.Groups)
}

// Check reports the first fault of the plan.
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
		return fmt.Errorf("Groups: got %d samples in all, expected 1 to %d", n, MaxSamplesPerStep)
	}
	return nil
}

// Held is the set of a step's sample indexes that a trainer holds, one bit
// each, lowest index in the lowest bit of the first byte.
type Held []byte

// NewHeld returns an empty set for a step of the given size.
func NewHeld(size int) Held { return make(Held, (size+7)/8) }

// Has reports whether the set holds index.
func (h Held) Has(index int) bool {
	return index/8 < len(h) && h[index/8]&(1<<(index%8)) != 0
}

// With returns a copy of the set that holds index too.
func (h Held) With(index int) Held {
	c := slices.Clone(h)
	c[index/8] |= 1 << (index % 8)
	return c
}

// Count returns how many indexes below size the set holds.
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
	// Tokens is how many tokens Text has.
	Tokens int
	// Versions names every weight version that generated any token, ascending.
	Versions []WeightVersion
	Server   ServerName
}

// Oldest returns the oldest version in the sample, or 0 when it has no label.
func (s *Sample) Oldest() WeightVersion {
	if len(s.Versions) == 0 {
		return 0
	}
	return slices.Min(s.Versions)
}

// Fresh reports whether the sample may be delivered to a trainer at version
// current under a bound of behind versions. Unlabelled samples are never fresh.
func (s *Sample) Fresh(current WeightVersion, behind uint64) bool {
	oldest := s.Oldest()
	return oldest != 0 && uint64(oldest)+behind >= uint64(current)
}

// Pull is a trainer's request for samples. It states what the trainer holds, so
// that any VM can answer it and a repeated pull never delivers a sample twice.
type Pull struct {
	StepKey
	// Number increases with every pull of the step; an answer to an older pull
	// is ignored by the trainer and refused by the holder.
	Number uint64
	Held   Held
	// Current is the weight version that the trainer is at.
	Current WeightVersion
	// Max is the most samples to answer with.
	Max int
	// Wait is how long the answer may be held back until a sample is ready.
	Wait time.Duration
}

// Check reports the first fault of the pull.
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

// PullAnswer answers the pull with the same Number.
type PullAnswer struct {
	Number  uint64
	Samples []Sample
	// Complete tells that the trainer holds, or now gets, the whole step.
	Complete bool
}
