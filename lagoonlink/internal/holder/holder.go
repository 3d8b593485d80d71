// Package holder holds the open steps of a VM: it owns the state of each step,
// runs the generation attempts that package sample decides on, and answers pulls.
// Steps are kept in memory only. If the VM fails, the trainer reopens its step on
// another VM.
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

	"lagoonlink.org/lagoonlink/internal/attempt"
	"lagoonlink.org/lagoonlink/internal/dispatch"
	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/inforce"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/placement"
	"lagoonlink.org/rollout/request"
	"lagoonlink.org/rollout/sample"
)

// Config configures a Holder.
type Config struct {
	VM rollout.VMName
	// QueueSize is the capacity of the message channel.
	QueueSize int
	// StepIdle is the time without a pull after which a step is dropped.
	StepIdle time.Duration
	// DisableHedging disables second attempts at slow samples.
	DisableHedging bool
	InForce        *inforce.Holder
	Attempts       *attempt.Maker
	Logger         *event.Logger
	Metrics        tally.Scope
}

type pullReply struct {
	response rollout.PullResponse
	err      error
}

type waiter struct {
	number uint64
	reply  chan pullReply
}

type heldStep struct {
	step    *sample.Step
	trainer rollout.Trainer
	waiters []waiter
	cancels map[sample.AttemptID]context.CancelFunc
	// idleSince is when the last pull's wait ends, at first when the step opened.
	idleSince time.Time
}

// Messages to the goroutine that executes Run.
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
	viewsMessage struct{ reply chan []StepView }
)

// Holder holds the open steps of a VM.
type Holder struct {
	config   Config
	messages chan any
	steps    map[rollout.StepKey]*heldStep
	// runCtx is the context of Run; attempts end with it.
	runCtx context.Context
}

// New returns a Holder. If Run is not running, its other methods may block until
// their context ends.
func New(c Config) *Holder {
	return &Holder{config: c, messages: make(chan any, c.QueueSize), steps: map[rollout.StepKey]*heldStep{}}
}

// Open opens a step. Opening the same attempt again has no effect; opening a later
// attempt drops the earlier ones.
func (h *Holder) Open(ctx context.Context, plan rollout.StepPlan) error {
	m := openMessage{plan: plan, reply: make(chan error, 1)}
	if err := h.send(ctx, m); err != nil {
		return err
	}
	select {
	case err := <-m.reply:
		return err
	case <-ctx.Done():
		return rollout.Fail(rollout.MayHaveRun, rollout.ReasonCanceled, ctx.Err())
	}
}

// Pull returns the response to a pull as soon as a sample is ready or the pull's
// wait has elapsed.
func (h *Holder) Pull(ctx context.Context, p rollout.Pull) (rollout.PullResponse, error) {
	m := pullMessage{pull: p, reply: make(chan pullReply, 1)}
	if err := h.send(ctx, m); err != nil {
		return rollout.PullResponse{}, err
	}
	select {
	case r := <-m.reply:
		return r.response, r.err
	case <-ctx.Done():
		_ = h.send(context.WithoutCancel(ctx), eventMessage{p.StepKey, sample.PullAbandoned{Number: p.Number}})
		return rollout.PullResponse{}, rollout.Fail(rollout.MayHaveRun, rollout.ReasonCanceled, ctx.Err())
	}
}

// Close closes a step. It may return before the step is dropped.
func (h *Holder) Close(ctx context.Context, key rollout.StepKey) error {
	return h.send(ctx, closeMessage{key})
}

// send sends a message to Run unless the context ends first.
func (h *Holder) send(ctx context.Context, m any) error {
	select {
	case h.messages <- m:
		return nil
	case <-ctx.Done():
		return rollout.Refuse(rollout.ReasonCanceled, "the request was canceled before the step's holder accepted it")
	}
}

// tickInterval is the interval at which slow attempts, waiting pulls and idle
// steps are checked.
const tickInterval = 100 * time.Millisecond

// Run processes messages and configuration changes until the context ends.
func (h *Holder) Run(ctx context.Context) error {
	h.runCtx = ctx
	changes := h.config.InForce.Watch()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changes:
			h.applyConfiguration(time.Now())
		case m := <-h.messages:
			h.handle(time.Now(), m)
		case now := <-ticker.C:
			h.tick(now)
		}
	}
}

func (h *Holder) handle(now time.Time, m any) {
	switch m := m.(type) {
	case openMessage:
		m.reply <- h.openStep(now, m.plan)
	case pullMessage:
		h.handlePull(now, m)
	case closeMessage:
		if h.dropStep(m.key, "the step was closed") {
			h.config.Logger.Write(event.StepClosed, event.Fields{"Step": m.key.String()})
		}
	case eventMessage:
		if st := h.steps[m.key]; st != nil {
			h.applyEvent(now, m.key, st, m.event)
		}
	case viewsMessage:
		m.reply <- h.views()
	}
}

func (h *Holder) openStep(now time.Time, plan rollout.StepPlan) error {
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
			return rollout.Refuse(rollout.ReasonPullSuperseded, "later attempt %d of the step is already open", k.Attempt)
		}
		h.dropStep(k, "a later attempt of the step was opened")
	}
	h.steps[plan.StepKey] = &heldStep{
		step:      sample.New(plan, h.policy(t)),
		trainer:   t,
		cancels:   map[sample.AttemptID]context.CancelFunc{},
		idleSince: now,
	}
	h.config.Logger.Write(event.StepOpened, event.Fields{"Step": plan.StepKey.String(), "Samples": plan.Size()})
	return nil
}

func (h *Holder) policy(t rollout.Trainer) sample.Policy {
	p := sample.DefaultPolicy(t)
	if h.config.DisableHedging {
		p.HedgeShare = 0
	}
	return p
}

func (h *Holder) handlePull(now time.Time, m pullMessage) {
	st := h.steps[m.pull.StepKey]
	if st == nil {
		m.reply <- pullReply{err: rollout.Refuse(rollout.ReasonStepUnknown, "step %s is not open on %s", m.pull.StepKey, h.config.VM)}
		return
	}
	st.idleSince = now.Add(m.pull.Wait)
	st.waiters = append(st.waiters, waiter{number: m.pull.Number, reply: m.reply})
	h.applyEvent(now, m.pull.StepKey, st, sample.Pulled{Pull: m.pull})
}

// dropStep removes a step, cancels its attempts and refuses its waiting pulls. It
// reports whether the step was held.
func (h *Holder) dropStep(key rollout.StepKey, detail string) bool {
	st := h.steps[key]
	if st == nil {
		return false
	}
	delete(h.steps, key)
	for _, cancel := range st.cancels {
		cancel()
	}
	for _, w := range st.waiters {
		w.reply <- pullReply{err: rollout.Refuse(rollout.ReasonStepUnknown, "%s", detail)}
	}
	return true
}

func (h *Holder) applyConfiguration(now time.Time) {
	v := h.config.InForce.Current()
	for k, st := range h.steps {
		t, ok := v.Configuration.FindTrainer(k.Trainer)
		if !ok {
			h.dropStep(k, "the trainer is no longer declared")
			continue
		}
		st.trainer = t
		h.applyEvent(now, k, st, sample.PolicyChanged{Policy: h.policy(t)})
	}
}

func (h *Holder) tick(now time.Time) {
	for k, st := range h.steps {
		if now.Sub(st.idleSince) > h.config.StepIdle {
			h.dropStep(k, "the step was dropped because it received no pull for too long")
			h.config.Logger.Write(event.StepDropped, event.Fields{"Step": k.String()})
			continue
		}
		h.applyEvent(now, k, st, sample.Ticked{})
	}
}

func (h *Holder) applyEvent(now time.Time, key rollout.StepKey, st *heldStep, e sample.Event) {
	for _, a := range st.step.Apply(now, e) {
		switch a := a.(type) {
		case sample.Submit:
			h.startAttempt(key, st, a)
		case sample.Cancel:
			if cancel := st.cancels[a.Attempt]; cancel != nil {
				cancel()
				delete(st.cancels, a.Attempt)
			}
		case sample.Answer:
			h.answerPull(st, a.Response)
		case sample.Refuse:
			h.refusePull(st, a)
		case sample.Discard:
			h.config.Metrics.Tagged(map[string]string{"trainer": string(key.Trainer), "cause": string(a.Cause)}).Counter("discarded_tokens").Inc(int64(a.Tokens))
			h.config.Logger.Write(event.SampleDiscarded, event.Fields{"Step": key.String(), "Index": a.Index, "Tokens": a.Tokens, "Cause": a.Cause})
		}
	}
}

// answerPull sends the response to the newest waiter with its pull number.
func (h *Holder) answerPull(st *heldStep, response rollout.PullResponse) {
	for i := len(st.waiters) - 1; i >= 0; i-- {
		if st.waiters[i].number == response.Number {
			st.waiters[i].reply <- pullReply{response: response}
			st.waiters = append(st.waiters[:i], st.waiters[i+1:]...)
			return
		}
	}
}

// refusePull refuses the oldest waiter with the pull number.
func (h *Holder) refusePull(st *heldStep, r sample.Refuse) {
	for i, w := range st.waiters {
		if w.number == r.Number {
			w.reply <- pullReply{err: r.Failure}
			st.waiters = append(st.waiters[:i], st.waiters[i+1:]...)
			return
		}
	}
}

func (h *Holder) startAttempt(key rollout.StepKey, st *heldStep, s sample.Submit) {
	ctx, cancel := context.WithCancel(h.runCtx)
	st.cancels[s.Attempt] = cancel
	g := st.step.Plan().Groups[s.Group]
	prefix := xxh3.HashString(g.Prompt)
	r := sampleRun{
		holder: h,
		key:    key,
		id:     s.Attempt,
		req: dispatch.Request{
			Target:       dispatch.Target{Pool: st.trainer.Pool},
			Requirements: placement.Requirements{Class: rollout.ClassRollout, Model: st.trainer.Model, MinVersion: s.MinVersion, Prefix: prefix},
			Tenant:       string(key.Trainer),
			Share:        st.trainer.Share,
			Cost:         float64(s.MaxTokens),
			Boost:        s.Urgent,
			Fingerprint:  request.Fingerprint(prefix),
		},
		generation: rollout.Generation{
			ID:          fmt.Sprintf("%s/%s/%d/%d", h.config.VM, key, s.Index, s.Attempt),
			Model:       st.trainer.Model,
			Prompt:      g.Prompt,
			MaxTokens:   s.MaxTokens,
			Prior:       s.Prior,
			PriorTokens: s.PriorTokens,
		},
	}
	if s.Avoid != "" {
		r.req.Requirements.Avoid = []rollout.ServerName{s.Avoid}
	}
	go r.run(ctx)
}

// sampleRun runs one generation and reports its progress and result to the Holder.
type sampleRun struct {
	holder     *Holder
	key        rollout.StepKey
	id         sample.AttemptID
	req        dispatch.Request
	generation rollout.Generation
}

// maxFailureDelay is the maximum delay before a failed attempt is reported. The
// delay keeps a failed sample from being retried immediately on a failing pool.
const maxFailureDelay = 200 * time.Millisecond

func (r *sampleRun) run(ctx context.Context) {
	err := r.generate(ctx)
	if err == nil {
		r.send(sample.Finished{Attempt: r.id})
		return
	}
	if ctx.Err() != nil {
		return
	}
	r.holder.config.Logger.Write(event.RequestFailed, event.Fields{"Step": r.key.String(), "Error": err})
	wait := time.NewTimer(maxFailureDelay/4 + time.Duration(rand.Int64N(int64(maxFailureDelay*3/4))))
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-ctx.Done():
	}
	r.send(sample.Failed{Attempt: r.id})
}

// send sends an event of the step to Run, or drops it if Run has ended.
func (r *sampleRun) send(e sample.Event) {
	select {
	case r.holder.messages <- eventMessage{r.key, e}:
	case <-r.holder.runCtx.Done():
	}
}

func (r *sampleRun) generate(ctx context.Context) error {
	a, err := r.holder.config.Attempts.Begin(ctx, r.req)
	if err != nil {
		return err
	}
	if a.Server() != "" {
		r.send(sample.Started{Attempt: r.id, Server: a.Server()})
	}
	err = r.streamPieces(ctx, a)
	a.End(ctx, err)
	return err
}

// progressInterval is the minimum interval between progress reports of an
// attempt. Pieces received within it are merged; a change of the weight version
// first reports the pending ones, so that merged pieces have one version.
const progressInterval = 50 * time.Millisecond

// streamPieces reads the engine's response and reports its pieces as progress.
func (r *sampleRun) streamPieces(ctx context.Context, a *attempt.Attempt) error {
	known := a.Server() != ""
	reader, err := a.Generate(ctx, r.generation)
	if err != nil {
		return err
	}
	defer reader.Close()
	if !known {
		r.send(sample.Started{Attempt: r.id, Server: a.Server()})
	}
	var pending rollout.Piece
	var lastVersion rollout.WeightVersion
	lastFlush := time.Now()
	flush := func() {
		if pending.Tokens > 0 || pending.Text != "" {
			r.send(sample.Progressed{Attempt: r.id, Piece: pending})
		}
		pending, lastFlush = rollout.Piece{Version: pending.Version}, time.Now()
	}
	for {
		p, err := reader.Next()
		if errors.Is(err, io.EOF) {
			flush()
			return nil
		}
		if err != nil {
			flush()
			return err
		}
		if p.Tokens > 0 && p.Version != pending.Version {
			flush()
			pending.Version = p.Version
		}
		if p.Tokens > 0 && p.Version != lastVersion {
			lastVersion = p.Version
			a.ObserveVersion(p.Version)
		}
		pending.Text += p.Text
		pending.Tokens += p.Tokens
		if time.Since(lastFlush) > progressInterval {
			flush()
		}
	}
}

// StepView is the state of a step as shown on status pages.
type StepView struct {
	Step   rollout.StepKey
	Counts sample.Counts
}

// Views returns the steps held by this VM, or nil if the context ends first.
func (h *Holder) Views(ctx context.Context) []StepView {
	m := viewsMessage{reply: make(chan []StepView, 1)}
	if h.send(ctx, m) != nil {
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
	for k, st := range h.steps {
		out = append(out, StepView{Step: k, Counts: st.step.Counts()})
	}
	return out
}
