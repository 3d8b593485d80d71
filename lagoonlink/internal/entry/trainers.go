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

func (e *Entry) openStep(ctx context.Context, c *app.RequestContext, v *inforce.View) error {
	t, step, err := parseTrainerStep(c, v)
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
	response, err := e.sendToHolder(ctx, t, wire.Body{Open: &wire.OpenStep{Plan: plan}})
	if err != nil {
		return err
	}
	if response.Opened == nil {
		return peer.UnexpectedResponse()
	}
	c.JSON(http.StatusOK, response.Opened)
	return nil
}

func (e *Entry) pullStep(ctx context.Context, c *app.RequestContext, v *inforce.View) error {
	t, step, err := parseTrainerStep(c, v)
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
	response, err := e.sendToHolder(ctx, t, wire.Body{Pull: &p})
	if err != nil {
		return err
	}
	if response.PullAnswer == nil {
		return peer.UnexpectedResponse()
	}
	c.JSON(http.StatusOK, response.PullAnswer)
	return nil
}

func (e *Entry) closeStep(ctx context.Context, c *app.RequestContext, v *inforce.View) error {
	t, step, err := parseTrainerStep(c, v)
	if err != nil {
		return err
	}
	attempt, err := strconv.ParseUint(c.Query("Attempt"), 10, 64)
	if err != nil {
		return rollout.Refuse(rollout.ReasonBadRequest, "Attempt: got %q, expected a non-negative integer", c.Query("Attempt"))
	}
	key := rollout.StepKey{Trainer: t.Name, Step: step, Attempt: attempt}
	if _, err := e.sendToHolder(ctx, t, wire.Body{Close: &wire.CloseStep{Step: key}}); err != nil {
		return err
	}
	c.JSON(http.StatusOK, struct{}{})
	return nil
}

// parseTrainerStep authenticates the trainer and returns it with the step number
// in the path.
func parseTrainerStep(c *app.RequestContext, v *inforce.View) (rollout.Trainer, uint64, error) {
	t, err := identifyTrainer(c, v)
	if err != nil {
		return t, 0, err
	}
	step, err := strconv.ParseUint(c.Param("step"), 10, 64)
	if err != nil {
		return t, 0, rollout.Refuse(rollout.ReasonBadRequest, "step: got %q, expected a non-negative integer", c.Param("step"))
	}
	return t, step, nil
}

func decodeBody(body []byte, into any) error {
	if err := json.Unmarshal(body, into); err != nil {
		return rollout.Refuse(rollout.ReasonBadRequest, "invalid request body: %v", err)
	}
	return nil
}

// maxHolderAttempts limits how many VMs a step's request is sent to in turn.
const maxHolderAttempts = 3

// holderTimeout is the timeout of a request to a holder, in addition to a pull's
// requested wait.
const holderTimeout = 3 * time.Second

// sendToHolder sends a step's request to the VM that holds the pool's steps in the
// trainer's zone. It tries the next VM in rank order only if the previous one was
// unreachable and certainly did not receive the request.
func (e *Entry) sendToHolder(ctx context.Context, t rollout.Trainer, b wire.Body) (wire.Body, error) {
	timeout := holderTimeout
	if b.Pull != nil {
		timeout += b.Pull.Wait
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ranked := e.config.Peers.Roster().Rank(StepsKey(t.Pool), t.Zone)
	var lastErr error = rollout.Refuse(rollout.ReasonPeerUnreachable, "no entry VM is available to hold the step").WithRetryAfter(time.Second)
	for _, m := range ranked[:min(maxHolderAttempts, len(ranked))] {
		response, err := e.sendToVM(ctx, m, b)
		if err == nil || rollout.FailureOf(err).Reason != rollout.ReasonPeerUnreachable || rollout.VerdictOf(err) != rollout.NotRun {
			return response, err
		}
		lastErr = err
	}
	return wire.Body{}, lastErr
}

// StepsKey returns the key whose rendezvous hash selects the VM that holds a
// pool's steps.
func StepsKey(p rollout.PoolName) string { return "steps/" + string(p) }

// sendToVM sends a request to another VM, or handles it if m is this VM.
func (e *Entry) sendToVM(ctx context.Context, m membership.Member, b wire.Body) (wire.Body, error) {
	if m.Name != e.config.VM {
		return e.config.Peers.Call(ctx, m.Address, b)
	}
	response := e.Handle(ctx, b)
	if response.Failure != nil {
		return wire.Body{}, response.Failure.Err()
	}
	return response, nil
}

// Handle returns the response to a request from a peer or from this VM itself.
func (e *Entry) Handle(ctx context.Context, b wire.Body) wire.Body {
	switch {
	case b.Open != nil:
		if e.draining.Load() {
			return failureBody(rollout.Refuse(rollout.ReasonDraining, "this entry VM is shutting down"))
		}
		if err := e.config.Holder.Open(ctx, b.Open.Plan); err != nil {
			return failureBody(err)
		}
		return wire.Body{Opened: &wire.Opened{Holder: e.config.VM}}
	case b.Pull != nil:
		response, err := e.config.Holder.Pull(ctx, *b.Pull)
		if err != nil {
			return failureBody(err)
		}
		return wire.Body{PullAnswer: &response}
	case b.Close != nil:
		if err := e.config.Holder.Close(ctx, b.Close.Step); err != nil {
			return failureBody(err)
		}
		return wire.Body{Closed: &wire.Closed{}}
	case b.Run != nil:
		return e.handleRunIdentified(ctx, *b.Run)
	}
	return failureBody(rollout.Refuse(rollout.ReasonBadRequest, "unknown type of request"))
}

func failureBody(err error) wire.Body { return wire.Body{Failure: wire.NewFailure(err)} }
