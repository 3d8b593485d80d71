// Package trainer is the trainer's side of the pull protocol. It keeps what a
// trainer has to remember: the plan, the number of its last pull and the set of
// samples that it holds. Exactly-once delivery rests on three rules kept here:
// one pull is outstanding at a time; an answer counts only when it carries the
// number of that pull; a sample counts only when its index is not held yet and
// it meets the bound at the trainer's present version.
package trainer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/exchange"
)

// Config configures a trainer's client.
type Config struct {
	// Entries returns the addresses of the entry VMs, or of the balancer before
	// them, that may be asked now.
	Entries func() []string
	Token   string
	Trainer rollout.TrainerName
	Behind  uint64
	// PullWait is how long an entry VM may hold a pull open.
	PullWait time.Duration
	// PullMax is the most samples to draw at a time.
	PullMax int
}

// maxAnswerBytes bounds an answer to a pull.
const maxAnswerBytes = 64 << 20

// answerTimeout is how long an answer may take beyond a pull's wait, so that a
// connection that went silent holds up nobody.
const answerTimeout = 5 * time.Second

// retryPause is the wait before a refused pull is repeated.
const retryPause = 50 * time.Millisecond

// Client draws samples. It is not safe for concurrent use.
type Client struct {
	config Config
	http   *exchange.Client
	turn   int
	// entry is the VM that answered last; empty when it failed.
	entry string
}

// NewClient returns a client.
func NewClient(c Config) *Client {
	return &Client{config: c, http: exchange.New(exchange.Config{Connect: 2 * time.Second, IdlePerServer: 1})}
}

// Step is a step that is being drawn.
type Step struct {
	client *Client
	plan   rollout.StepPlan
	held   rollout.Held
	number uint64
}

// PullRequest is the body of a pull.
type PullRequest struct {
	Attempt          uint64
	Number           uint64
	Held             rollout.Held
	Current          rollout.WeightVersion
	Max              int
	WaitMilliseconds int64
}

// OpenRequest is the body of the opening of a step.
type OpenRequest struct {
	Attempt uint64
	Groups  []rollout.Group
}

// Open opens a step. Opening the same step again is idempotent.
func (c *Client) Open(ctx context.Context, plan rollout.StepPlan) (*Step, error) {
	s := &Step{client: c, plan: plan, held: rollout.NewHeld(plan.Size())}
	return s, s.reopen(ctx)
}

func (s *Step) path(verb string) string {
	return fmt.Sprintf("/v1/trainers/%s/steps/%d%s", s.client.config.Trainer, s.plan.Step, verb)
}

// reopen repeats until an entry VM takes the step or the context ends.
func (s *Step) reopen(ctx context.Context) error {
	body := OpenRequest{Attempt: s.plan.Attempt, Groups: s.plan.Groups}
	return s.client.persist(ctx, http.MethodPut, s.path(""), body, nil)
}

// Held returns the set of samples that the trainer holds.
func (s *Step) Held() rollout.Held { return s.held }

// Pull draws samples at the trainer's present version. It repeats refused and
// lost pulls until the context ends; an empty result means that none was ready.
func (s *Step) Pull(ctx context.Context, current func() rollout.WeightVersion) (samples []rollout.Sample, complete bool, err error) {
	for {
		s.number++
		var answer rollout.PullAnswer
		err := s.client.send(ctx, http.MethodPost, s.path("/pull"), s.pull(current()), &answer)
		if err == nil && answer.Number == s.number {
			return s.accept(answer, current()), s.held.Count(s.plan.Size()) == s.plan.Size(), nil
		}
		if ctx.Err() != nil {
			return nil, false, ctx.Err()
		}
		if err != nil && rollout.FailureOf(err).Reason == rollout.ReasonStepUnknown {
			if err := s.reopen(ctx); err != nil {
				return nil, false, err
			}
		}
		pause(ctx, retryPause)
	}
}

func (s *Step) pull(current rollout.WeightVersion) PullRequest {
	return PullRequest{
		Attempt:          s.plan.Attempt,
		Number:           s.number,
		Held:             s.held,
		Current:          current,
		Max:              s.client.config.PullMax,
		WaitMilliseconds: s.client.config.PullWait.Milliseconds(),
	}
}

func (s *Step) accept(answer rollout.PullAnswer, current rollout.WeightVersion) []rollout.Sample {
	var taken []rollout.Sample
	for _, m := range answer.Samples {
		if m.Index < 0 || m.Index >= s.plan.Size() || s.held.Has(m.Index) || !m.Fresh(current, s.client.config.Behind) {
			continue
		}
		s.held = s.held.With(m.Index)
		taken = append(taken, m)
	}
	return taken
}

// Close ends the step, so that its holder forgets it.
func (s *Step) Close(ctx context.Context) error {
	return s.client.send(ctx, http.MethodDelete, s.path(fmt.Sprintf("?Attempt=%d", s.plan.Attempt)), struct{}{}, nil)
}

func (c *Client) persist(ctx context.Context, method, path string, body, into any) error {
	for {
		err := c.send(ctx, method, path, body, into)
		if err == nil {
			return nil
		}
		reason := rollout.FailureOf(err).Reason
		if ctx.Err() != nil || reason == rollout.ReasonBadRequest || reason == rollout.ReasonUnauthorized {
			return err
		}
		pause(ctx, retryPause)
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// choose returns the entry VM of the last request, or the next one when that
// failed or is not ready any more. Staying with one VM means that a step is
// opened and drawn by the same view of who holds it.
func (c *Client) choose() (string, error) {
	entries := c.config.Entries()
	if len(entries) == 0 {
		return "", rollout.Refuse(rollout.ReasonPeerUnreachable, "no entry VM is known to be ready")
	}
	if !slices.Contains(entries, c.entry) {
		c.turn++
		c.entry = entries[c.turn%len(entries)]
	}
	return c.entry, nil
}

// send makes one request to an entry VM.
func (c *Client) send(ctx context.Context, method, path string, body, into any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return rollout.Fail(rollout.NotRun, rollout.ReasonBadRequest, err)
	}
	entry, err := c.choose()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.config.PullWait+answerTimeout)
	defer cancel()
	at := "http://" + entry + path
	r, err := http.NewRequestWithContext(ctx, method, at, exchange.Once(bytes.NewReader(data)))
	if err != nil {
		return rollout.Fail(rollout.NotRun, rollout.ReasonBadRequest, err)
	}
	r.ContentLength = int64(len(data))
	r.Header.Set("Authorization", "Bearer "+c.config.Token)
	r.Header.Set("Content-Type", "application/json")
	answer, err := c.http.Do(r)
	if err != nil {
		c.entry = ""
		return err
	}
	defer answer.Body.Close()
	text, err := exchange.ReadAll(answer.Body, maxAnswerBytes)
	if err != nil {
		return err
	}
	if answer.StatusCode != http.StatusOK {
		c.entry = ""
		return problem(answer.StatusCode, text)
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(text, into); err != nil {
		return rollout.Fail(rollout.MayHaveRun, rollout.ReasonInternal, err)
	}
	return nil
}

// problem returns the failure that a refusal states.
func problem(status int, text []byte) error {
	var p rollout.Problem
	if err := json.Unmarshal(text, &p); err != nil {
		return rollout.Fail(rollout.MayHaveRun, rollout.ReasonInternal, errors.Join(fmt.Errorf("status %d", status), err))
	}
	verdict, _ := rollout.ParseVerdict(p.Verdict)
	return &rollout.Failure{Verdict: verdict, Reason: p.Reason, Detail: p.Detail}
}
