// Package sample implements the state machine of one step of one trainer: it
// decides which samples still have to be generated, which attempts are hedged
// or retried, and which samples answer a pull. It does no I/O and reads no
// clock: [Step.Apply] takes an event and the time and returns actions.
//
// The trainer decides what has been delivered. Every pull lists the samples
// that the trainer holds; a VM answers only with samples that are not listed,
// so repeating a pull whose response was lost is safe. The state is not
// persisted: another VM that receives the plan and a pull continues from the
// trainer's list and regenerates the samples that were lost.
//
// Invariants:
//   - a response contains no sample that its pull lists as held;
//   - every sample in a response carries the weight versions that generated it
//     and is within the staleness bound at the pull's current version;
//   - at most one pull is pending, the one with the highest number.
package sample

import (
	"slices"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/lifecycle"
)

// AttemptID identifies one attempt at a sample. It is unique within a [Step].
type AttemptID uint64

// Policy controls how the samples of a step are generated.
type Policy struct {
	// MaxVersionsBehind is the staleness bound in weight versions.
	MaxVersionsBehind uint64
	// Objective selects between short idle time of the trainer and fresh weights.
	Objective rollout.Objective
	// HedgeShare limits hedged samples to a fraction of the step's samples. A
	// hedge is a second attempt that runs in parallel with a straggler. Zero
	// disables hedging; otherwise at least one hedge is allowed.
	HedgeShare float64
	// TailShare is the fraction of the step's samples that may still be running
	// when hedging starts.
	TailShare float64
	// SlowFactor is how many times slower than the median of the finished
	// attempts an attempt must be to count as a straggler.
	SlowFactor float64
	// StallTimeout is the time without progress after which an attempt counts as
	// a straggler.
	StallTimeout time.Duration
	// DiscardPartial discards the text of a failed attempt instead of continuing
	// it.
	DiscardPartial bool
}

// DefaultPolicy returns the policy for a declared trainer.
func DefaultPolicy(t rollout.Trainer) Policy {
	return Policy{
		MaxVersionsBehind: t.MaxVersionsBehind,
		Objective:         t.Objective,
		HedgeShare:        0.05,
		TailShare:         0.125,
		SlowFactor:        2,
		StallTimeout:      3 * time.Second,
	}
}

// StalenessMargin returns how many versions of the staleness bound are reserved
// when an attempt starts, so that its sample is still within the bound when it
// is delivered.
func (p Policy) StalenessMargin() uint64 {
	if p.Objective == rollout.ObjectiveStaleness {
		return p.MaxVersionsBehind
	}
	return min(p.MaxVersionsBehind, 1)
}

type attempt struct {
	id           AttemptID
	index        int
	server       rollout.ServerName
	priorTokens  int
	text         []byte
	tokens       int
	versions     []rollout.WeightVersion
	startedAt    time.Time
	progressedAt time.Time
}

// generated returns how many tokens this attempt generated, without the tokens
// of the attempt that it continues.
func (a *attempt) generated() int { return a.tokens - a.priorTokens }

// oldestVersion returns the oldest weight version that generated the text, or 0
// if there is none yet.
func (a *attempt) oldestVersion() rollout.WeightVersion {
	if len(a.versions) == 0 {
		return 0
	}
	return slices.Min(a.versions)
}

// rate returns the tokens per second since the attempt was sent to a server.
func (a *attempt) rate(now time.Time) float64 {
	elapsed := now.Sub(a.startedAt).Seconds()
	if elapsed <= 0 {
		return 0
	}
	return float64(a.generated()) / elapsed
}

type slot struct {
	state    lifecycle.State
	attempts []*attempt
	sample   rollout.Sample
	hedged   bool
}

// Step is the state of one step on the VM that holds it. It is not safe for concurrent use.
type Step struct {
	plan           rollout.StepPlan
	policy         Policy
	currentVersion rollout.WeightVersion
	held           rollout.Held
	slots          []slot
	attempts       map[AttemptID]*attempt
	lastAttempt    AttemptID
	pendingPull    *rollout.Pull
	answerBy       time.Time
	highestPull    uint64
	hedges         int
	finishedRates  []float64
	machine        *lifecycle.Machine
	machineIndex   int
}

// New returns the state of a step before its first pull. No sample is submitted
// until a pull lists what the trainer holds.
func New(plan rollout.StepPlan, policy Policy) *Step {
	s := &Step{
		plan:     plan,
		policy:   policy,
		held:     rollout.NewHeld(plan.Size()),
		slots:    make([]slot, plan.Size()),
		attempts: map[AttemptID]*attempt{},
	}
	for i := range s.slots {
		s.slots[i].state = lifecycle.SampleMissing
	}
	s.machine = lifecycle.NewSample(lifecycle.Store{
		Get: func() lifecycle.State { return s.slots[s.machineIndex].state },
		Set: func(to lifecycle.State) { s.slots[s.machineIndex].state = to },
	})
	return s
}

// fire triggers a state transition of one sample and reports whether the
// transition was allowed.
func (s *Step) fire(index int, trigger lifecycle.Trigger) bool {
	s.machineIndex = index
	return s.machine.Fire(trigger) == nil
}

// Apply handles an event that occurred at the given time and returns the
// actions to carry out.
func (s *Step) Apply(now time.Time, e Event) []Action {
	var out []Action
	switch e := e.(type) {
	case Pulled:
		out = s.handlePull(now, e.Pull)
	case Started:
		s.handleStart(now, e)
	case Progressed:
		out = s.handleProgress(now, e)
	case Finished:
		out = s.handleFinish(now, e.Attempt)
	case Failed:
		out = s.handleFailure(e.Attempt)
	case PolicyChanged:
		s.policy = e.Policy
		out = s.dropStale()
	case PullAbandoned:
		if s.pendingPull != nil && s.pendingPull.Number == e.Number {
			s.pendingPull = nil
		}
	case Ticked:
	}
	out = append(out, s.submitMissing()...)
	out = append(out, s.submitHedges(now)...)
	return append(out, s.answerPending(now)...)
}

func (s *Step) handlePull(now time.Time, p rollout.Pull) []Action {
	if p.Number < s.highestPull {
		f := rollout.Refuse(rollout.ReasonPullSuperseded, "pull %d arrived after pull %d", p.Number, s.highestPull)
		return []Action{Refuse{Number: p.Number, Failure: f}}
	}
	out := s.refusePending()
	s.highestPull = p.Number
	s.pendingPull = &p
	s.answerBy = now.Add(p.Wait)
	s.currentVersion = max(s.currentVersion, p.Current)
	out = append(out, s.applyHeld(p.Held)...)
	return append(out, s.dropStale()...)
}

// refusePending refuses the pending pull, if any, because a newer one replaces
// it.
func (s *Step) refusePending() []Action {
	if s.pendingPull == nil {
		return nil
	}
	f := rollout.Refuse(rollout.ReasonPullSuperseded, "a newer pull of step %s arrived", s.plan.StepKey)
	out := []Action{Refuse{Number: s.pendingPull.Number, Failure: f}}
	s.pendingPull = nil
	return out
}

// applyHeld records which samples the trainer holds. Attempts at a held sample
// are canceled; a sample that the trainer no longer holds is missing again.
func (s *Step) applyHeld(held rollout.Held) []Action {
	var out []Action
	s.held = held
	for i := range s.slots {
		switch {
		case held.Has(i) && s.slots[i].state != lifecycle.SampleHeld:
			out = append(out, s.cancelAttempts(i, 0, DiscardDuplicate)...)
			s.slots[i].sample = rollout.Sample{}
			s.fire(i, lifecycle.SampleConfirm)
		case !held.Has(i) && s.slots[i].state == lifecycle.SampleHeld:
			s.fire(i, lifecycle.SampleForget)
		}
	}
	return out
}

// cancelAttempts cancels every attempt at a sample except the one to keep; no
// attempt has ID 0.
func (s *Step) cancelAttempts(index int, keep AttemptID, cause DiscardCause) []Action {
	var out []Action
	for _, a := range s.slots[index].attempts {
		if a.id == keep {
			continue
		}
		delete(s.attempts, a.id)
		out = append(out, Cancel{Attempt: a.id})
		out = append(out, discardTokens(index, a.generated(), cause)...)
	}
	s.slots[index].attempts = nil
	return out
}

func discardTokens(index, tokens int, cause DiscardCause) []Action {
	if tokens <= 0 {
		return nil
	}
	return []Action{Discard{Index: index, Tokens: tokens, Cause: cause}}
}

// isStale reports whether a version exceeds the staleness bound at the
// trainer's current version.
func (s *Step) isStale(v rollout.WeightVersion) bool {
	return uint64(v)+s.policy.MaxVersionsBehind < uint64(s.currentVersion)
}

// dropStale discards finished samples and cancels attempts that exceed the
// staleness bound.
func (s *Step) dropStale() []Action {
	var out []Action
	for i := range s.slots {
		sl := &s.slots[i]
		switch sl.state {
		case lifecycle.SampleReady:
			if s.isStale(sl.sample.Oldest()) {
				out = append(out, discardTokens(i, sl.sample.Tokens, DiscardStale)...)
				sl.sample = rollout.Sample{}
				s.fire(i, lifecycle.SampleAbandon)
			}
		case lifecycle.SampleRunning, lifecycle.SampleQueued:
			out = append(out, s.dropStaleAttempts(i)...)
		}
	}
	return out
}

func (s *Step) dropStaleAttempts(index int) []Action {
	var out []Action
	for _, a := range slices.Clone(s.slots[index].attempts) {
		if v := a.oldestVersion(); v != 0 && s.isStale(v) {
			out = append(out, Cancel{Attempt: a.id})
			out = append(out, discardTokens(index, a.generated(), DiscardStale)...)
			s.removeAttempt(a)
		}
	}
	return out
}

// removeAttempt deletes an attempt. A sample without attempts is missing again.
func (s *Step) removeAttempt(a *attempt) {
	delete(s.attempts, a.id)
	sl := &s.slots[a.index]
	sl.attempts = slices.DeleteFunc(sl.attempts, func(b *attempt) bool { return b.id == a.id })
	if len(sl.attempts) == 0 {
		s.fire(a.index, lifecycle.SampleAbandon)
	}
}

func (s *Step) handleStart(now time.Time, e Started) {
	a := s.attempts[e.Attempt]
	if a == nil {
		return
	}
	a.server, a.startedAt, a.progressedAt = e.Server, now, now
	s.fire(a.index, lifecycle.SampleStart)
}

func (s *Step) handleProgress(now time.Time, e Progressed) []Action {
	a := s.attempts[e.Attempt]
	if a == nil {
		return nil
	}
	if e.Piece.Tokens > 0 && e.Piece.Version == 0 {
		out := append([]Action{Cancel{Attempt: a.id}}, discardTokens(a.index, a.generated()+e.Piece.Tokens, DiscardUnlabeled)...)
		s.removeAttempt(a)
		return out
	}
	a.text = append(a.text, e.Piece.Text...)
	a.tokens += e.Piece.Tokens
	a.progressedAt = now
	if e.Piece.Tokens > 0 && !slices.Contains(a.versions, e.Piece.Version) {
		a.versions = append(a.versions, e.Piece.Version)
	}
	if v := a.oldestVersion(); v != 0 && s.isStale(v) {
		out := append([]Action{Cancel{Attempt: a.id}}, discardTokens(a.index, a.generated(), DiscardStale)...)
		s.removeAttempt(a)
		return out
	}
	return nil
}

func (s *Step) handleFinish(now time.Time, id AttemptID) []Action {
	a := s.attempts[id]
	if a == nil {
		return nil
	}
	if len(a.versions) == 0 {
		out := discardTokens(a.index, a.generated(), DiscardUnlabeled)
		s.removeAttempt(a)
		return out
	}
	out := s.cancelAttempts(a.index, id, DiscardDuplicate)
	delete(s.attempts, id)
	slices.Sort(a.versions)
	s.slots[a.index].sample = rollout.Sample{
		Index:    a.index,
		Group:    s.plan.GroupOf(a.index),
		Text:     string(a.text),
		Tokens:   a.tokens,
		Versions: a.versions,
		Server:   a.server,
	}
	s.finishedRates = append(s.finishedRates, a.rate(now))
	s.fire(a.index, lifecycle.SampleFinish)
	return out
}

// handleFailure retries a failed attempt unless the sample has another one. The
// new attempt continues the generated text unless the policy forbids it or no
// tokens are left to generate.
func (s *Step) handleFailure(id AttemptID) []Action {
	a := s.attempts[id]
	if a == nil {
		return nil
	}
	s.removeAttempt(a)
	sl := &s.slots[a.index]
	if len(sl.attempts) > 0 {
		return discardTokens(a.index, a.generated(), DiscardFailed)
	}
	left := s.plan.Groups[s.plan.GroupOf(a.index)].MaxTokens - a.tokens
	if s.policy.DiscardPartial || a.tokens == 0 || left <= 0 {
		out := discardTokens(a.index, a.generated(), DiscardFailed)
		return append(out, s.submit(a.index, nil, a.server))
	}
	return []Action{s.submit(a.index, a, a.server)}
}

// submitMissing submits an attempt for every missing sample, once a pull has
// listed what the trainer holds.
func (s *Step) submitMissing() []Action {
	if s.highestPull == 0 {
		return nil
	}
	var out []Action
	for i := range s.slots {
		if s.slots[i].state == lifecycle.SampleMissing {
			out = append(out, s.submit(i, nil, ""))
		}
	}
	return out
}

// submit creates an attempt at a sample. It continues the text of the previous
// attempt unless that is nil.
func (s *Step) submit(index int, previous *attempt, avoid rollout.ServerName) Submit {
	group := s.plan.GroupOf(index)
	a := &attempt{index: index}
	if previous != nil {
		a.text = slices.Clone(previous.text)
		a.tokens, a.priorTokens = previous.tokens, previous.tokens
		a.versions = slices.Clone(previous.versions)
	}
	s.lastAttempt++
	a.id = s.lastAttempt
	s.attempts[a.id] = a
	s.slots[index].attempts = append(s.slots[index].attempts, a)
	if s.slots[index].state == lifecycle.SampleMissing {
		s.fire(index, lifecycle.SampleSubmit)
	}
	return Submit{
		Attempt:     a.id,
		Index:       index,
		Group:       group,
		Prior:       string(a.text),
		PriorTokens: a.tokens,
		MaxTokens:   s.plan.Groups[group].MaxTokens - a.tokens,
		MinVersion:  s.minVersion(),
		Avoid:       avoid,
		Urgent:      s.pendingPull != nil,
	}
}

// minVersion returns the oldest weight version that may start a sample.
func (s *Step) minVersion() rollout.WeightVersion {
	slack := s.policy.MaxVersionsBehind - s.policy.StalenessMargin()
	if uint64(s.currentVersion) <= slack {
		return 1
	}
	return rollout.WeightVersion(uint64(s.currentVersion) - slack)
}

// submitHedges submits a second attempt for each straggler near the end of the
// step, within the limit of the policy.
func (s *Step) submitHedges(now time.Time) []Action {
	if s.policy.HedgeShare <= 0 {
		return nil
	}
	budget := max(1, int(s.policy.HedgeShare*float64(len(s.slots))))
	if s.hedges >= budget || !s.inTail() {
		return nil
	}
	var out []Action
	minRate := s.slowRate()
	for i := range s.slots {
		sl := &s.slots[i]
		if s.hedges >= budget || sl.state != lifecycle.SampleRunning || sl.hedged || len(sl.attempts) != 1 {
			continue
		}
		a := sl.attempts[0]
		stalled := now.Sub(a.progressedAt) > s.policy.StallTimeout
		lagging := a.rate(now) < minRate && now.Sub(a.startedAt) > s.policy.StallTimeout/3
		if !stalled && !lagging {
			continue
		}
		sl.hedged = true
		s.hedges++
		out = append(out, s.submit(i, a, a.server))
	}
	return out
}

// inTail reports whether only a few samples are still running and none is
// missing or queued.
func (s *Step) inTail() bool {
	running := 0
	for i := range s.slots {
		switch s.slots[i].state {
		case lifecycle.SampleMissing, lifecycle.SampleQueued:
			return false
		case lifecycle.SampleRunning:
			running++
		}
	}
	return running <= max(2, int(s.policy.TailShare*float64(len(s.slots))))
}

// slowRate returns the rate, in tokens per second, below which an attempt counts
// as a straggler, or 0 if no attempt has finished.
func (s *Step) slowRate() float64 {
	if len(s.finishedRates) == 0 || s.policy.SlowFactor <= 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(s.finishedRates))
	return sorted[len(sorted)/2] / s.policy.SlowFactor
}

// answerPending answers the pending pull if samples are ready, the step is
// complete or the wait of the pull is over.
func (s *Step) answerPending(now time.Time) []Action {
	if s.pendingPull == nil {
		return nil
	}
	p := s.pendingPull
	response := rollout.PullResponse{Number: p.Number}
	for i := range s.slots {
		if len(response.Samples) == p.Max {
			break
		}
		if s.slots[i].state == lifecycle.SampleReady && s.slots[i].sample.Fresh(s.currentVersion, s.policy.MaxVersionsBehind) {
			response.Samples = append(response.Samples, s.slots[i].sample)
		}
	}
	response.Complete = p.Held.Count(len(s.slots))+len(response.Samples) == len(s.slots)
	if len(response.Samples) == 0 && !response.Complete && now.Before(s.answerBy) {
		return nil
	}
	s.pendingPull = nil
	return []Action{Answer{Response: response}}
}

// Counts is the number of samples in each state, as shown on the status page.
type Counts struct {
	Missing, Queued, Running, Ready, Held int
}

// Counts returns how many samples are in each state.
func (s *Step) Counts() Counts {
	var c Counts
	for i := range s.slots {
		switch s.slots[i].state {
		case lifecycle.SampleMissing:
			c.Missing++
		case lifecycle.SampleQueued:
			c.Queued++
		case lifecycle.SampleRunning:
			c.Running++
		case lifecycle.SampleReady:
			c.Ready++
		case lifecycle.SampleHeld:
			c.Held++
		}
	}
	return c
}

// Plan returns the plan that the step was created with.
func (s *Step) Plan() rollout.StepPlan { return s.plan }
