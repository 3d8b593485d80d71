package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"lagoonlink.org/lagoonlink/internal/inforce"
	"lagoonlink.org/lagoonlink/internal/peer"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/membership"
	"lagoonlink.org/rollout/trainer"
	"lagoonlink.org/rollout/wire"
)

// openStep opens a step on its holder.
func (e *Entry) openStep(ctx context.Context, c *app.RequestContext, v *inforce.View) error {
	t, step, err := trainerStep(c, v)
	if err != nil {
		return err
	}
	var r trainer.OpenRequest
	if err := decodeBody(c.Request.Body(), &r); err != nil {
		return err
	}
	plan := rollout.StepPlan{StepKey: rollout.StepKey{Trainer: t.Name, Step: step, Attempt: r.Attempt}, Groups: r.Groups}
	if err := plan.Check(); err != nil {
		return rollout.Refuse(rollout.ReasonBadRequest, "%v", err)
	}
	answer, err := e.onHolder(ctx, t, wire.Body{Open: &wire.OpenStep{Plan: plan}})
	if err != nil {
		return err
	}
	if answer.Opened == nil {
		return peer.WrongAnswer()
	}
	c.JSON(http.StatusOK, answer.Opened)
	return nil
}

// pullStep answers a trainer's pull from its step's holder.
func (e *Entry) pullStep(ctx context.Context, c *app.RequestContext, v *inforce.View) error {
	t, step, err := trainerStep(c, v)
	if err != nil {
		return err
	}
	var r trainer.PullRequest
	if err := decodeBody(c.Request.Body(), &r); err != nil {
		return err
	}
	p := rollout.Pull{
		StepKey: rollout.StepKey{Trainer: t.Name, Step: step, Attempt: r.Attempt},
		Number:  r.Number,
		Held:    r.Held,
		Current: r.Current,
		Max:     r.Max,
		Wait:    time.Duration(r.WaitMilliseconds) * time.Millisecond,
	}
	if err := p.Check(); err != nil {
		return rollout.Refuse(rollout.ReasonBadRequest, "%v", err)
	}
	answer, err := e.onHolder(ctx, t, wire.Body{Pull: &p})
	if err != nil {
		return err
	}
	if answer.PullAnswer == nil {
		return peer.WrongAnswer()
	}
	c.JSON(http.StatusOK, answer.PullAnswer)
	return nil
}

// closeStep ends a step.
func (e *Entry) closeStep(ctx context.Context, c *app.RequestContext, v *inforce.View) error {
	t, step, err := trainerStep(c, v)
	if err != nil {
		return err
	}
	attempt, err := strconv.ParseUint(c.Query("Attempt"), 10, 64)
	if err != nil {
		return rollout.Refuse(rollout.ReasonBadRequest, "Attempt: got %q, expected a whole number", c.Query("Attempt"))
	}
	key := rollout.StepKey{Trainer: t.Name, Step: step, Attempt: attempt}
	if _, err := e.onHolder(ctx, t, wire.Body{Close: &wire.CloseStep{Step: key}}); err != nil {
		return err
	}
	c.JSON(http.StatusOK, struct{}{})
	return nil
}

func trainerStep(c *app.RequestContext, v *inforce.View) (rollout.Trainer, uint64, error) {
	t, err := identifyTrainer(c, v)
	if err != nil {
		return t, 0, err
	}
	step, err := strconv.ParseUint(c.Param("step"), 10, 64)
	if err != nil {
		return t, 0, rollout.Refuse(rollout.ReasonBadRequest, "step: got %q, expected a whole number", c.Param("step"))
	}
	return t, step, nil
}

func decodeBody(body []byte, into any) error {
	if err := json.Unmarshal(body, into); err != nil {
		return rollout.Refuse(rollout.ReasonBadRequest, "the body can't be read: %v", err)
	}
	return nil
}

// maxHolders is how many VMs are asked in turn to take a step.
const maxHolders = 3

// holderTimeout is how long a holder's answer may take beyond a pull's wait.
const holderTimeout = 3 * time.Second

// onHolder passes a step's request to the VM that holds the pool's steps in the
// trainer's zone, or to the next one when that VM certainly did not get it.
func (e *Entry) onHolder(ctx context.Context, t rollout.Trainer, b wire.Body) (wire.Body, error) {
	timeout := holderTimeout
	if b.Pull != nil {
		timeout += b.Pull.Wait
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ranked := e.config.Peers.Roster().Rank(StepsKey(t.Pool), t.Zone)
	var last error = rollout.Refuse(rollout.ReasonPeerUnreachable, "no entry VM can hold the step").WithRetryAfter(time.Second)
	for _, m := range ranked[:min(maxHolders, len(ranked))] {
		answer, err := e.askHolder(ctx, m, b)
		if err == nil || rollout.FailureOf(err).Reason != rollout.ReasonPeerUnreachable || rollout.VerdictOf(err) != rollout.NotRun {
			return answer, err
		}
		last = err
	}
	return wire.Body{}, last
}

// StepsKey is the key by whose hash the holder of a pool's steps is chosen.
func StepsKey(p rollout.PoolName) string { return "steps/" + string(p) }

func (e *Entry) askHolder(ctx context.Context, m membership.Member, b wire.Body) (wire.Body, error) {
	if m.Name != e.config.VM {
		return e.config.Peers.Ask(ctx, m.Address, b)
	}
	answer := e.Handle(ctx, b)
	if answer.Failure != nil {
		return wire.Body{}, answer.Failure.Err()
	}
	return answer, nil
}

// Handle answers a request that came from a peer, or from this VM itself.
func (e *Entry) Handle(ctx context.Context, b wire.Body) wire.Body {
	switch {
	case b.Open != nil:
		if e.draining.Load() {
			return failure(rollout.Refuse(rollout.ReasonDraining, "this entry VM is stopping"))
		}
		if err := e.config.Holder.Open(ctx, b.Open.Plan); err != nil {
			return failure(err)
		}
		return wire.Body{Opened: &wire.Opened{Holder: e.config.VM}}
	case b.Pull != nil:
		answer, err := e.config.Holder.Pull(ctx, *b.Pull)
		if err != nil {
			return failure(err)
		}
		return wire.Body{PullAnswer: &answer}
	case b.Close != nil:
		if err := e.config.Holder.Close(ctx, b.Close.Step); err != nil {
			return failure(err)
		}
		return wire.Body{Closed: &wire.Closed{}}
	case b.Run != nil:
		return e.handleRun(ctx, *b.Run)
	}
	return failure(rollout.Refuse(rollout.ReasonBadRequest, "the message is not a request"))
}

func failure(err error) wire.Body { return wire.Body{Failure: wire.AsFailure(err)} }
