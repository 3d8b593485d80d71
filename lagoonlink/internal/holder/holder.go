// Package holder is the duty that holds steps: it owns the decision state of
// each, runs the attempts that the decisions ask for, and answers pulls. A step
// that is lost with its VM is opened anew by its trainer elsewhere.
package holder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/zeebo/xxh3"

	"lagoonlink.org/lagoonlink/internal/dispatch"
	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/inforce"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/placement"
	"lagoonlink.org/rollout/request"
	"lagoonlink.org/rollout/sample"
)

// Config configures the duty.
type Config struct {
	VM       rollout.VMName
	Ring     int
	StepIdle time.Duration
	NoTwins  bool
	InForce  *inforce.Holder
	Dispatch *dispatch.Dispatcher
	Engine   rollout.Engine
	Logger   *event.Logger
	Metrics  tally.Scope
}

type pullReply struct {
	answer rollout.PullAnswer
	err    error
}

type waiter struct {
	number uint64
	reply  chan pullReply
}

// held is one step on this VM.
type held struct {
	step    *sample.Step
	trainer rollout.Trainer
	waiters []waiter
	cancels map[sample.AttemptID]context.CancelFunc
	active  time.Time
}

// The messages on the ring.
type (
	openMessage struct {
		plan  rollout.StepPlan
		reply chan error
	}
	pullMessage struct {
		pull  rollout.Pull
		reply chan pullReply
	}
	closeMessage struct{ key rollout.StepKey }
	eventMessage struct {
		key   rollout.StepKey
		event sample.Event
	}
	viewMessage struct{ reply chan []StepView }
)

// Holder is the duty.
type Holder struct {
	config Config
	ring   chan any
	steps  map[rollout.StepKey]*held
	life   context.Context
}

// New returns the duty; Run must be running for the other methods to return.
func New(c Config) *Holder {
	return &Holder{config: c, ring: make(chan any, c.Ring), steps: map[rollout.StepKey]*held{}}
}

// Open takes a step. Opening it again is idempotent; opening a later attempt
// drops the earlier ones.
func (h *Holder) Open(ctx context.Context, plan rollout.StepPlan) error {
	m := openMessage{plan: plan, reply: make(chan error, 1)}
	if err := h.post(ctx, m); err != nil {
		return err
	}
	select {
	case err := <-m.reply:
		return err
	case <-ctx.Done():
		return rollout.Fail(rollout.MayHaveRun, rollout.ReasonCanceled, ctx.Err())
	}
}

// Pull answers a pull when a sample is ready or its wait is over.
func (h *Holder) Pull(ctx context.Context, p rollout.Pull) (rollout.PullAnswer, error) {
	m := pullMessage{pull: p, reply: make(chan pullReply, 1)}
	if err := h.post(ctx, m); err != nil {
		return rollout.PullAnswer{}, err
	}
	select {
	case r := <-m.reply:
		return r.answer, r.err
	case <-ctx.Done():
		_ = h.post(context.WithoutCancel(ctx), eventMessage{p.StepKey, sample.PullAbandoned{Number: p.Number}})
		return rollout.PullAnswer{}, rollout.Fail(rollout.MayHaveRun, rollout.ReasonCanceled, ctx.Err())
	}
}

// Close ends a step.
func (h *Holder) Close(ctx context.Context, key rollout.StepKey) error {
	return h.post(ctx, closeMessage{key})
}

func (h *Holder) post(ctx context.Context, m any) error {
	select {
	case h.ring <- m:
		return nil
	case <-ctx.Done():
		return rollout.Refuse(rollout.ReasonCanceled, "the request was canceled before the step's holder took it")
	}
}

// tickEvery is how often stragglers and waits are looked at.
const tickEvery = 100 * time.Millisecond

// Run is the duty's loop.
func (h *Holder) Run(ctx context.Context) error {
	h.life = ctx
	changes := h.config.InForce.Watch()
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changes:
			h.reload(time.Now())
		case m := <-h.ring:
			h.handle(time.Now(), m)
		case now := <-tick.C:
			h.tick(now)
		}
	}
}

func (h *Holder) handle(now time.Time, m any) {
	switch m := m.(type) {
	case openMessage:
		m.reply <- h.open(now, m.plan)
	case pullMessage:
		h.pull(now, m)
	case closeMessage:
		if h.drop(m.key, "the step was closed") {
			h.config.Logger.Write(event.StepClosed, event.Fields{"Step": m.key.String()})
		}
	case eventMessage:
		if d := h.steps[m.key]; d != nil {
			h.apply(now, m.key, d, m.event)
		}
	case viewMessage:
		m.reply <- h.views()
	}
}

func (h *Holder) open(now time.Time, plan rollout.StepPlan) error {
	if h.steps[plan.StepKey] != nil {
		return nil
	}
	v, err := h.config.InForce.Require()
	if err != nil {
		return err
	}
	t, ok := v.Configuration.FindTrainer(plan.Trainer)
	if !ok {
		return rollout.Refuse(rollout.ReasonUnknownTarget, "trainer %s is not declared", plan.Trainer)
	}
	for k := range h.steps {
		if k.Trainer != plan.Trainer || k.Step != plan.Step {
			continue
		}
		if k.Attempt > plan.Attempt {
			return rollout.Refuse(rollout.ReasonPullSuperseded, "attempt %d of the step was opened", k.Attempt)
		}
		h.drop(k, "a later attempt of the step was opened")
	}
	h.steps[plan.StepKey] = &held{
		step:    sample.New(plan, h.policy(t)),
		trainer: t,
		cancels: map[sample.AttemptID]context.CancelFunc{},
		active:  now,
	}
	h.config.Logger.Write(event.StepOpened, event.Fields{"Step": plan.StepKey.String(), "Samples": plan.Size()})
	return nil
}

func (h *Holder) policy(t rollout.Trainer) sample.Policy {
	p := sample.DefaultPolicy(t)
	if h.config.NoTwins {
		p.TwinShare = 0
	}
	return p
}

func (h *Holder) pull(now time.Time, m pullMessage) {
	d := h.steps[m.pull.StepKey]
	if d == nil {
		m.reply <- pullReply{err: rollout.Refuse(rollout.ReasonStepUnknown, "step %s is not open on %s", m.pull.StepKey, h.config.VM)}
		return
	}
	d.active = now.Add(m.pull.Wait)
	d.waiters = append(d.waiters, waiter{number: m.pull.Number, reply: m.reply})
	h.apply(now, m.pull.StepKey, d, sample.Pulled{Pull: m.pull})
}

// drop forgets a step, ends its attempts and refuses its waiters.
func (h *Holder) drop(key rollout.StepKey, why string) bool {
	d := h.steps[key]
	if d == nil {
		return false
	}
	delete(h.steps, key)
	for _, cancel := range d.cancels {
		cancel()
	}
	for _, w := range d.waiters {
		w.reply <- pullReply{err: rollout.Refuse(rollout.ReasonStepUnknown, "%s", why)}
	}
	return true
}

func (h *Holder) reload(now time.Time) {
	v := h.config.InForce.Current()
	for k, d := range h.steps {
		t, ok := v.Configuration.FindTrainer(k.Trainer)
		if !ok {
			h.drop(k, "the trainer is no longer declared")
			continue
		}
		d.trainer = t
		h.apply(now, k, d, sample.PolicyChanged{Policy: h.policy(t)})
	}
}

func (h *Holder) tick(now time.Time) {
	for k, d := range h.steps {
		if now.Sub(d.active) > h.config.StepIdle {
			h.drop(k, "the step had no pull for a while")
			h.config.Logger.Write(event.StepDropped, event.Fields{"Step": k.String()})
			continue
		}
		h.apply(now, k, d, sample.Ticked{})
	}
}

func (h *Holder) apply(now time.Time, key rollout.StepKey, d *held, e sample.Event) {
	for _, a := range d.step.Apply(now, e) {
		switch a := a.(type) {
		case sample.Submit:
			h.submit(key, d, a)
		case sample.Cancel:
			if cancel := d.cancels[a.Attempt]; cancel != nil {
				cancel()
				delete(d.cancels, a.Attempt)
			}
		case sample.Answer:
			h.answer(d, a.Answer)
		case sample.Refuse:
			h.refuse(d, a)
		case sample.Discard:
			h.config.Metrics.Tagged(map[string]string{"trainer": string(key.Trainer), "cause": string(a.Cause)}).Counter("discarded_tokens").Inc(int64(a.Tokens))
			h.config.Logger.Write(event.SampleDiscarded, event.Fields{"Step": key.String(), "Index": a.Index, "Tokens": a.Tokens, "Cause": a.Cause})
		}
	}
}

// answer gives the answer to the newest waiter of its number.
func (h *Holder) answer(d *held, a rollout.PullAnswer) {
	for i := len(d.waiters) - 1; i >= 0; i-- {
		if d.waiters[i].number == a.Number {
			d.waiters[i].reply <- pullReply{answer: a}
			d.waiters = append(d.waiters[:i], d.waiters[i+1:]...)
			return
		}
	}
}

// refuse refuses the oldest waiter of a number.
func (h *Holder) refuse(d *held, r sample.Refuse) {
	for i, w := range d.waiters {
		if w.number == r.Number {
			w.reply <- pullReply{err: r.Failure}
			d.waiters = append(d.waiters[:i], d.waiters[i+1:]...)
			return
		}
	}
}

func (h *Holder) submit(key rollout.StepKey, d *held, s sample.Submit) {
	ctx, cancel := context.WithCancel(h.life)
	d.cancels[s.Attempt] = cancel
	g := d.step.Plan().Groups[s.Group]
	prefix := xxh3.HashString(g.Prompt)
	a := attempt{
		holder: h,
		key:    key,
		id:     s.Attempt,
		ask: dispatch.Ask{
			Target:      dispatch.Target{Pool: d.trainer.Pool},
			Want:        placement.Want{Class: rollout.ClassRollout, Model: d.trainer.Model, MinVersion: s.MinVersion, Prefix: prefix},
			Tenant:      string(key.Trainer),
			Share:       d.trainer.Share,
			Cost:        float64(s.MaxTokens),
			Boost:       s.Urgent,
			Fingerprint: request.Fingerprint(prefix),
		},
		generation: rollout.Generation{
			ID:          fmt.Sprintf("%s/%s/%d/%d", h.config.VM, key, s.Index, s.Attempt),
			Model:       d.trainer.Model,
			Prompt:      g.Prompt,
			MaxTokens:   s.MaxTokens,
			Prior:       s.Prior,
			PriorTokens: s.PriorTokens,
		},
	}
	if s.Avoid != "" {
		a.ask.Want.Avoid = []rollout.ServerName{s.Avoid}
	}
	go a.run(ctx)
}

// attempt runs one generation and reports it to the duty.
type attempt struct {
	holder     *Holder
	key        rollout.StepKey
	id         sample.AttemptID
	ask        dispatch.Ask
	generation rollout.Generation
}

// failurePause is the longest wait before a failed attempt is reported, so that
// a failing pool is not asked again at once.
const failurePause = 200 * time.Millisecond

func (a *attempt) run(ctx context.Context) {
	err := a.generate(ctx)
	if err == nil {
		a.post(sample.Finished{Attempt: a.id})
		return
	}
	if ctx.Err() != nil {
		return
	}
	a.holder.config.Logger.Write(event.RequestFailed, event.Fields{"Step": a.key.String(), "Error": err})
	wait := time.NewTimer(failurePause/4 + time.Duration(rand.Int64N(int64(failurePause*3/4))))
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-ctx.Done():
	}
	a.post(sample.Failed{Attempt: a.id})
}

func (a *attempt) post(e sample.Event) {
	select {
	case a.holder.ring <- eventMessage{a.key, e}:
	case <-a.holder.life.Done():
	}
}

func (a *attempt) generate(ctx context.Context) error {
	grant, err := a.holder.config.Dispatch.Acquire(ctx, a.ask)
	if err != nil && rollout.FailureOf(err).Reason == rollout.ReasonNoServer && a.ask.Want.Avoid != nil {
		// The only server is the one to avoid: better there than nowhere.
		a.ask.Want.Avoid = nil
		grant, err = a.holder.config.Dispatch.Acquire(ctx, a.ask)
	}
	if err != nil {
		return err
	}
	a.post(sample.Started{Attempt: a.id, Server: grant.Server.Name})
	begun := time.Now()
	tokens, err := a.relay(ctx, grant)
	grant.Done(ResultOf(ctx, err, time.Since(begun), tokens))
	return err
}

// ResultOf says how granted work on an engine ended.
func ResultOf(ctx context.Context, err error, took time.Duration, tokens int) dispatch.Result {
	var r dispatch.Result
	if err == nil {
		r.PerUnit = took.Seconds() / float64(max(tokens, 1))
		return r
	}
	if ctx.Err() != nil {
		return r
	}
	f := rollout.FailureOf(err)
	switch {
	case f.Reason == rollout.ReasonDraining:
		r.Leaving = true
	case f.Reason == rollout.ReasonServerRefused:
		r.Refused = true
	default:
		r.Failed = true
		r.Broken = f.Verdict == rollout.MayHaveRun
	}
	return r
}

// reportEvery is how often an attempt's progress is reported to the duty;
// pieces in between are joined.
const reportEvery = 50 * time.Millisecond

func (a *attempt) relay(ctx context.Context, grant *dispatch.Grant) (int, error) {
	r, err := a.holder.config.Engine.Generate(ctx, grant.Server.Address, a.generation)
	if err != nil {
		return 0, err
	}
	defer r.Close()
	var joined rollout.Piece
	var seen rollout.WeightVersion
	tokens, sent := 0, time.Now()
	flush := func() {
		if joined.Tokens > 0 || joined.Text != "" {
			a.post(sample.Progressed{Attempt: a.id, Piece: joined})
		}
		joined, sent = rollout.Piece{Version: joined.Version}, time.Now()
	}
	for {
		p, err := r.Next()
		if errors.Is(err, io.EOF) {
			flush()
			return tokens, nil
		}
		if err != nil {
			flush()
			return tokens, err
		}
		if p.Tokens > 0 && p.Version != joined.Version {
			flush()
			joined.Version = p.Version
		}
		if p.Tokens > 0 && p.Version != seen {
			seen = p.Version
			grant.Saw(a.ask.Want.Model, p.Version)
		}
		tokens += p.Tokens
		joined.Text += p.Text
		joined.Tokens += p.Tokens
		if time.Since(sent) > reportEvery {
			flush()
		}
	}
}

// StepView is what a status page shows of a step.
type StepView struct {
	Step   rollout.StepKey
	Counts sample.Counts
}

// Views returns the steps held here.
func (h *Holder) Views(ctx context.Context) []StepView {
	m := viewMessage{reply: make(chan []StepView, 1)}
	if h.post(ctx, m) != nil {
		return nil
	}
	select {
	case v := <-m.reply:
		return v
	case <-ctx.Done():
		return nil
	}
}

func (h *Holder) views() []StepView {
	var out []StepView
	for k, d := range h.steps {
		out = append(out, StepView{Step: k, Counts: d.step.Counts()})
	}
	return out
}
