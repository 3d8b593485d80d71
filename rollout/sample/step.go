// Package sample decides, for one step of one trainer, which samples still have
// to be made, which attempts run twice or again, and which samples answer a
// pull. It is pure: events and a time go in, actions come out.
//
// The trainer is the arbiter of delivery. Every pull states the set of samples
// that the trainer holds, so a VM answers only with samples outside that set,
// and a repeated pull whose answer was lost is answered again without harm. No
// state of this package has to outlive its VM: another VM that is given the
// plan and the set goes on from there, and makes again what was lost.
//
// Invariants: an answer contains no index that its pull holds; an answer's
// samples all have labels and meet the bound at the pull's current version; at
// most one pull is pending, the one with the highest number.
package sample

import (
	"slices"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/life"
)

// AttemptID identifies one try at one sample within a step's holder.
type AttemptID uint64

// Policy says how a step's samples are made.
type Policy struct {
	// Behind is the staleness bound in versions.
	Behind    uint64
	Objective rollout.Objective
	// TwinShare bounds second attempts, as a share of the step's samples.
	TwinShare float64
	// TailShare is the share of running samples below which second attempts
	// start.
	TailShare float64
	// SlowFactor is how many times slower than the median an attempt must be to
	// get a second one.
	SlowFactor float64
	// Stall is how long an attempt may go without progress.
	Stall time.Duration
	// NoPartial discards the text of a failed attempt instead of continuing it.
	NoPartial bool
}

// DefaultPolicy returns the policy for a trainer's declaration.
func DefaultPolicy(t rollout.Trainer) Policy {
	return Policy{
		Behind:     t.MaxVersionsBehind,
		Objective:  t.Objective,
		TwinShare:  0.05,
		TailShare:  0.125,
		SlowFactor: 2,
		Stall:      3 * time.Second,
	}
}

// Margin is how many versions of the bound are left unused at the start of an
// attempt, so that its sample is still fresh on arrival.
func (p Policy) Margin() uint64 {
	if p.Objective == rollout.ObjectiveStaleness {
		return p.Behind
	}
	return min(p.Behind, 1)
}

// attempt is one try at a sample.
type attempt struct {
	id       AttemptID
	index    int
	server   rollout.ServerName
	prior    int
	text     []byte
	tokens   int
	versions []rollout.WeightVersion
	begun    time.Time
	moved    time.Time
}

func (a *attempt) made() int { return a.tokens - a.prior }

func (a *attempt) oldest() rollout.WeightVersion {
	if len(a.versions) == 0 {
		return 0
	}
	return slices.Min(a.versions)
}

// rate returns tokens a second since the attempt was sent.
func (a *attempt) rate(now time.Time) float64 {
	elapsed := now.Sub(a.begun).Seconds()
	if elapsed <= 0 {
		return 0
	}
	return float64(a.made()) / elapsed
}

// slot is one sample of the step.
type slot struct {
	state    life.State
	attempts []*attempt
	sample   rollout.Sample
	twinned  bool
}

// Step is the state of one step on the VM that holds it.
type Step struct {
	plan     rollout.StepPlan
	policy   Policy
	current  rollout.WeightVersion
	held     rollout.Held
	slots    []slot
	attempts map[AttemptID]*attempt
	last     AttemptID
	pending  *rollout.Pull
	due      time.Time
	highest  uint64
	twins    int
	rates    []float64
	machine  *life.Machine
	cursor   int
}

// New returns the state of a step that no pull has reached yet. Nothing is made
// before the first pull tells what the trainer holds.
func New(plan rollout.StepPlan, policy Policy) *Step {
	s := &Step{
		plan:     plan,
		policy:   policy,
		held:     rollout.NewHeld(plan.Size()),
		slots:    make([]slot, plan.Size()),
		attempts: map[AttemptID]*attempt{},
	}
	for i := range s.slots {
		s.slots[i].state = life.SampleMissing
	}
	s.machine = life.NewSample(life.Store{
		Get: func() life.State { return s.slots[s.cursor].state },
		Set: func(to life.State) { s.slots[s.cursor].state = to },
	})
	return s
}

// fire makes a transition of one sample and reports whether it was permitted.
func (s *Step) fire(index int, trigger life.Trigger) bool {
	s.cursor = index
	return s.machine.Fire(trigger) == nil
}

// Apply takes an event at a time and returns what must be done.
func (s *Step) Apply(now time.Time, e Event) []Action {
	var out []Action
	switch e := e.(type) {
	case Pulled:
		out = s.pulled(now, e.Pull)
	case Started:
		s.started(now, e)
	case Progressed:
		out = s.progressed(now, e)
	case Finished:
		out = s.finished(now, e.Attempt)
	case Failed:
		out = s.failed(e.Attempt)
	case PolicyChanged:
		s.policy = e.Policy
		out = s.dropStale()
	case PullAbandoned:
		if s.pending != nil && s.pending.Number == e.Number {
			s.pending = nil
		}
	case Ticked:
	}
	out = append(out, s.submitMissing()...)
	out = append(out, s.submitTwins(now)...)
	return append(out, s.answer(now)...)
}

func (s *Step) pulled(now time.Time, p rollout.Pull) []Action {
	if p.Number < s.highest {
		f := rollout.Refuse(rollout.ReasonPullSuperseded, "pull %d came after pull %d", p.Number, s.highest)
		return []Action{Refuse{Number: p.Number, Failure: f}}
	}
	out := s.supersede()
	s.highest = p.Number
	s.pending = &p
	s.due = now.Add(p.Wait)
	s.current = max(s.current, p.Current)
	out = append(out, s.confirm(p.Held)...)
	return append(out, s.dropStale()...)
}

// supersede refuses the pending pull, whose answer nobody waits for.
func (s *Step) supersede() []Action {
	if s.pending == nil {
		return nil
	}
	f := rollout.Refuse(rollout.ReasonPullSuperseded, "a newer pull of step %s arrived", s.plan.StepKey)
	out := []Action{Refuse{Number: s.pending.Number, Failure: f}}
	s.pending = nil
	return out
}

// confirm takes the trainer's word for what it holds.
func (s *Step) confirm(held rollout.Held) []Action {
	var out []Action
	s.held = held
	for i := range s.slots {
		switch {
		case held.Has(i) && s.slots[i].state != life.SampleHeld:
			out = append(out, s.cancelAll(i, 0, DiscardTwin)...)
			s.slots[i].sample = rollout.Sample{}
			s.fire(i, life.SampleConfirm)
		case !held.Has(i) && s.slots[i].state == life.SampleHeld:
			s.fire(i, life.SampleForget)
		}
	}
	return out
}

// cancelAll ends every attempt of a sample but the one to keep.
func (s *Step) cancelAll(index int, keep AttemptID, cause DiscardCause) []Action {
	var out []Action
	for _, a := range s.slots[index].attempts {
		if a.id == keep {
			continue
		}
		delete(s.attempts, a.id)
		out = append(out, Cancel{Attempt: a.id})
		out = append(out, discard(index, a.made(), cause)...)
	}
	s.slots[index].attempts = nil
	return out
}

func discard(index, tokens int, cause DiscardCause) []Action {
	if tokens <= 0 {
		return nil
	}
	return []Action{Discard{Index: index, Tokens: tokens, Cause: cause}}
}

// tooOld reports whether a version is over the bound for the trainer.
func (s *Step) tooOld(v rollout.WeightVersion) bool {
	return uint64(v)+s.policy.Behind < uint64(s.current)
}

// dropStale abandons samples and attempts that are over the bound by now.
func (s *Step) dropStale() []Action {
	var out []Action
	for i := range s.slots {
		sl := &s.slots[i]
		switch sl.state {
		case life.SampleReady:
			if s.tooOld(sl.sample.Oldest()) {
				out = append(out, discard(i, sl.sample.Tokens, DiscardStale)...)
				sl.sample = rollout.Sample{}
				s.fire(i, life.SampleAbandon)
			}
		case life.SampleRunning, life.SampleQueued:
			out = append(out, s.dropStaleAttempts(i)...)
		}
	}
	return out
}

func (s *Step) dropStaleAttempts(index int) []Action {
	var out []Action
	for _, a := range slices.Clone(s.slots[index].attempts) {
		if v := a.oldest(); v != 0 && s.tooOld(v) {
			out = append(out, Cancel{Attempt: a.id})
			out = append(out, discard(index, a.made(), DiscardStale)...)
			s.remove(a)
		}
	}
	return out
}

// remove forgets an attempt; a sample without attempts is missing again.
func (s *Step) remove(a *attempt) {
	delete(s.attempts, a.id)
	sl := &s.slots[a.index]
	sl.attempts = slices.DeleteFunc(sl.attempts, func(b *attempt) bool { return b.id == a.id })
	if len(sl.attempts) == 0 {
		s.fire(a.index, life.SampleAbandon)
	}
}

func (s *Step) started(now time.Time, e Started) {
	a := s.attempts[e.Attempt]
	if a == nil {
		return
	}
	a.server, a.begun, a.moved = e.Server, now, now
	s.fire(a.index, life.SampleStart)
}

func (s *Step) progressed(now time.Time, e Progressed) []Action {
	a := s.attempts[e.Attempt]
	if a == nil {
		return nil
	}
	if e.Piece.Tokens > 0 && e.Piece.Version == 0 {
		out := append([]Action{Cancel{Attempt: a.id}}, discard(a.index, a.made()+e.Piece.Tokens, DiscardUnlabeled)...)
		s.remove(a)
		return out
	}
	a.text = append(a.text, e.Piece.Text...)
	a.tokens += e.Piece.Tokens
	a.moved = now
	if e.Piece.Tokens > 0 && !slices.Contains(a.versions, e.Piece.Version) {
		a.versions = append(a.versions, e.Piece.Version)
	}
	if v := a.oldest(); v != 0 && s.tooOld(v) {
		out := append([]Action{Cancel{Attempt: a.id}}, discard(a.index, a.made(), DiscardStale)...)
		s.remove(a)
		return out
	}
	return nil
}

func (s *Step) finished(now time.Time, id AttemptID) []Action {
	a := s.attempts[id]
	if a == nil {
		return nil
	}
	if len(a.versions) == 0 {
		out := discard(a.index, a.made(), DiscardUnlabeled)
		s.remove(a)
		return out
	}
	out := s.cancelAll(a.index, id, DiscardTwin)
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
	s.rates = append(s.rates, a.rate(now))
	s.fire(a.index, life.SampleFinish)
	return out
}

// failed keeps the text of a broken attempt for the next one, when the bound
// allows it.
func (s *Step) failed(id AttemptID) []Action {
	a := s.attempts[id]
	if a == nil {
		return nil
	}
	s.remove(a)
	sl := &s.slots[a.index]
	if len(sl.attempts) > 0 {
		return discard(a.index, a.made(), DiscardFailed)
	}
	left := s.plan.Groups[s.plan.GroupOf(a.index)].MaxTokens - a.tokens
	if s.policy.NoPartial || a.tokens == 0 || left <= 0 {
		out := discard(a.index, a.made(), DiscardFailed)
		return append(out, s.submit(a.index, nil, a.server))
	}
	return []Action{s.submit(a.index, a, a.server)}
}

// submitMissing queues an attempt for every missing sample once a pull has told
// what the trainer holds.
func (s *Step) submitMissing() []Action {
	if s.highest == 0 {
		return nil
	}
	var out []Action
	for i := range s.slots {
		if s.slots[i].state == life.SampleMissing {
			out = append(out, s.submit(i, nil, ""))
		}
	}
	return out
}

// submit makes a new attempt at a sample, going on from the text of another.
func (s *Step) submit(index int, from *attempt, avoid rollout.ServerName) Submit {
	group := s.plan.GroupOf(index)
	a := &attempt{index: index}
	if from != nil {
		a.text = slices.Clone(from.text)
		a.tokens, a.prior = from.tokens, from.tokens
		a.versions = slices.Clone(from.versions)
	}
	s.last++
	a.id = s.last
	s.attempts[a.id] = a
	s.slots[index].attempts = append(s.slots[index].attempts, a)
	if s.slots[index].state == life.SampleMissing {
		s.fire(index, life.SampleSubmit)
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
		Urgent:      s.pending != nil,
	}
}

// minVersion is the oldest version at which a sample may be started.
func (s *Step) minVersion() rollout.WeightVersion {
	use := s.policy.Behind - s.policy.Margin()
	if uint64(s.current) <= use {
		return 1
	}
	return rollout.WeightVersion(uint64(s.current) - use)
}

// submitTwins starts second attempts for stragglers near the step's end.
func (s *Step) submitTwins(now time.Time) []Action {
	if s.policy.TwinShare <= 0 {
		return nil
	}
	budget := max(1, int(s.policy.TwinShare*float64(len(s.slots))))
	if s.twins >= budget || !s.inTail() {
		return nil
	}
	var out []Action
	slow := s.slowRate()
	for i := range s.slots {
		sl := &s.slots[i]
		if s.twins >= budget || sl.state != life.SampleRunning || sl.twinned || len(sl.attempts) != 1 {
			continue
		}
		a := sl.attempts[0]
		stalled := now.Sub(a.moved) > s.policy.Stall
		lags := a.rate(now) < slow && now.Sub(a.begun) > s.policy.Stall/3
		if !stalled && !lags {
			continue
		}
		sl.twinned = true
		s.twins++
		out = append(out, s.submit(i, a, a.server))
	}
	return out
}

// inTail reports whether only a few samples are still to come and none waits.
func (s *Step) inTail() bool {
	running := 0
	for i := range s.slots {
		switch s.slots[i].state {
		case life.SampleMissing, life.SampleQueued:
			return false
		case life.SampleRunning:
			running++
		}
	}
	return running <= max(2, int(s.policy.TailShare*float64(len(s.slots))))
}

// slowRate is the rate below which an attempt counts as a straggler.
func (s *Step) slowRate() float64 {
	if len(s.rates) == 0 || s.policy.SlowFactor <= 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(s.rates))
	return sorted[len(sorted)/2] / s.policy.SlowFactor
}

// answer answers the pending pull when there is something to say.
func (s *Step) answer(now time.Time) []Action {
	if s.pending == nil {
		return nil
	}
	p := s.pending
	a := rollout.PullAnswer{Number: p.Number}
	for i := range s.slots {
		if len(a.Samples) == p.Max {
			break
		}
		if s.slots[i].state == life.SampleReady && s.slots[i].sample.Fresh(s.current, s.policy.Behind) {
			a.Samples = append(a.Samples, s.slots[i].sample)
		}
	}
	a.Complete = p.Held.Count(len(s.slots))+len(a.Samples) == len(s.slots)
	if len(a.Samples) == 0 && !a.Complete && now.Before(s.due) {
		return nil
	}
	s.pending = nil
	return []Action{Answer{Answer: a}}
}

// Counts is what a status page shows of a step.
type Counts struct {
	Missing, Queued, Running, Ready, Held int
}

// Counts returns how many samples are in each state.
func (s *Step) Counts() Counts {
	var c Counts
	for i := range s.slots {
		switch s.slots[i].state {
		case life.SampleMissing:
			c.Missing++
		case life.SampleQueued:
			c.Queued++
		case life.SampleRunning:
			c.Running++
		case life.SampleReady:
			c.Ready++
		case life.SampleHeld:
			c.Held++
		}
	}
	return c
}

// Plan returns the step's plan.
func (s *Step) Plan() rollout.StepPlan { return s.plan }
