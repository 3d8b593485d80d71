// Package trainer implements the trainer's side of the pull protocol. It keeps the
// trainer's state: the plan of the step, the number of the last pull and the set of
// samples that the trainer holds. Exactly-once delivery depends on three rules that
// this package enforces: only one pull is outstanding at a time; a response is
// accepted only if it carries the number of that pull; a sample is accepted only if
// its index is not held yet and it meets the staleness bound at the trainer's
// current version.
package trainer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/httpclient"
)

// Config configures a trainer's client.
type Config struct {
	// Entries returns the addresses of the entry VMs that are ready for requests, or
	// of the load balancer in front of them.
	Entries func() []string
	// Token is the trainer's bearer token.
	Token   string
	Trainer rollout.TrainerName
	// MaxVersionsBehind is the maximum number of versions that a sample may be
	// behind the trainer's current version.
	MaxVersionsBehind uint64
	// PullWait is how long an entry VM may hold a pull open until a sample is ready.
	PullWait time.Duration
	// PullMax is the maximum number of samples per pull.
	PullMax int
}

// maxResponseBytes bounds the body of a response.
const maxResponseBytes = 64 << 20

// responseTimeout is the time that a request may take in addition to
// Config.PullWait, so that an unresponsive connection does not block the client.
const responseTimeout = 5 * time.Second

// retryInterval is the delay before a failed request is repeated.
const retryInterval = 50 * time.Millisecond

// Client pulls samples from entry VMs. It is not safe for concurrent use.
type Client struct {
	config Config
	http   *httpclient.Client
	// entryIndex counts the changes of the entry VM; modulo the number of entries it
	// is the index of the chosen one.
	entryIndex int
	// entry is the address that requests are sent to. It is empty at first and after a
	// request that got no response or an error status.
	entry string
}

// NewClient returns a Client with the given configuration.
func NewClient(c Config) *Client {
	return &Client{config: c, http: httpclient.New(httpclient.Config{ConnectTimeout: 2 * time.Second, MaxIdlePerServer: 1})}
}

// Step is an open step whose samples are being pulled.
type Step struct {
	client *Client
	plan   rollout.StepPlan
	held   rollout.Held
	// lastPull is the number of the latest pull.
	lastPull uint64
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

// OpenRequest is the body of a request that opens a step.
type OpenRequest struct {
	Attempt uint64
	Groups  []rollout.Group
}

// Open opens a step. It repeats failed requests as sendUntilAccepted does. Opening
// a step is idempotent.
func (c *Client) Open(ctx context.Context, plan rollout.StepPlan) (*Step, error) {
	s := &Step{client: c, plan: plan, held: rollout.NewHeld(plan.Size())}
	return s, s.reopen(ctx)
}

func (s *Step) path(suffix string) string {
	return fmt.Sprintf("/v1/trainers/%s/steps/%d%s", s.client.config.Trainer, s.plan.Step, suffix)
}

// reopen sends the step's plan as sendUntilAccepted does.
func (s *Step) reopen(ctx context.Context) error {
	body := OpenRequest{Attempt: s.plan.Attempt, Groups: s.plan.Groups}
	return s.client.sendUntilAccepted(ctx, http.MethodPut, s.path(""), body, nil)
}

// Held returns the set of samples that the trainer holds.
func (s *Step) Held() rollout.Held { return s.held }

// Pull requests samples at the trainer's current version. It repeats failed pulls
// until the context ends, and opens the step again if the entry VM does not know it;
// it also returns if that is refused as invalid or unauthorized.
// An empty result means that no sample was ready. Pull reports the step as complete
// when the trainer holds all of its samples.
func (s *Step) Pull(ctx context.Context, current func() rollout.WeightVersion) (samples []rollout.Sample, complete bool, err error) {
	for {
		s.lastPull++
		var response rollout.PullResponse
		err := s.client.send(ctx, http.MethodPost, s.path("/pull"), s.pullRequest(current()), &response)
		if err == nil && response.Number == s.lastPull {
			return s.accept(response, current()), s.held.Count(s.plan.Size()) == s.plan.Size(), nil
		}
		if ctx.Err() != nil {
			return nil, false, ctx.Err()
		}
		if err != nil && rollout.FailureOf(err).Reason == rollout.ReasonStepUnknown {
			if err := s.reopen(ctx); err != nil {
				return nil, false, err
			}
		}
		sleep(ctx, retryInterval)
	}
}

func (s *Step) pullRequest(current rollout.WeightVersion) PullRequest {
	return PullRequest{
		Attempt:          s.plan.Attempt,
		Number:           s.lastPull,
		Held:             s.held,
		Current:          current,
		Max:              s.client.config.PullMax,
		WaitMilliseconds: s.client.config.PullWait.Milliseconds(),
	}
}

// accept adds the valid, new and fresh samples of a response to the held set and
// returns them.
func (s *Step) accept(response rollout.PullResponse, current rollout.WeightVersion) []rollout.Sample {
	var accepted []rollout.Sample
	for _, sample := range response.Samples {
		if sample.Index < 0 || sample.Index >= s.plan.Size() || s.held.Has(sample.Index) || !sample.Fresh(current, s.client.config.MaxVersionsBehind) {
			continue
		}
		s.held = s.held.With(sample.Index)
		accepted = append(accepted, sample)
	}
	return accepted
}

// Close closes the step, so that the VM that holds it can discard its state.
func (s *Step) Close(ctx context.Context) error {
	return s.client.send(ctx, http.MethodDelete, s.path(fmt.Sprintf("?Attempt=%d", s.plan.Attempt)), struct{}{}, nil)
}

// sendUntilAccepted repeats a request until it succeeds. It returns the last error
// if the context ends or if the request is refused as invalid or unauthorized.
func (c *Client) sendUntilAccepted(ctx context.Context, method, path string, body, result any) error {
	for {
		err := c.send(ctx, method, path, body, result)
		if err == nil {
			return nil
		}
		reason := rollout.FailureOf(err).Reason
		if ctx.Err() != nil || reason == rollout.ReasonBadRequest || reason == rollout.ReasonUnauthorized {
			return err
		}
		sleep(ctx, retryInterval)
	}
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// chooseEntry returns the entry VM of the last request, or the next one if that
// request failed or the VM is no longer ready. Using the same VM for the requests of
// a step means that they are all routed by one view of which VM holds the step.
func (c *Client) chooseEntry() (string, error) {
	entries := c.config.Entries()
	if len(entries) == 0 {
		return "", rollout.Refuse(rollout.ReasonPeerUnreachable, "no ready entry VM is known")
	}
	if !slices.Contains(entries, c.entry) {
		c.entryIndex++
		c.entry = entries[c.entryIndex%len(entries)]
	}
	return c.entry, nil
}

// send sends one request to an entry VM and decodes the response into result, unless
// result is nil.
func (c *Client) send(ctx context.Context, method, path string, body, result any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return rollout.Fail(rollout.NotRun, rollout.ReasonBadRequest, err)
	}
	entry, err := c.chooseEntry()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.config.PullWait+responseTimeout)
	defer cancel()
	url := "http://" + entry + path
	r, err := httpclient.NewRequest(ctx, method, url, data)
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+c.config.Token)
	r.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(r)
	if err != nil {
		c.entry = ""
		return err
	}
	defer response.Body.Close()
	content, err := httpclient.ReadAll(response.Body, maxResponseBytes)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		c.entry = ""
		return decodeProblem(response.StatusCode, content)
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(content, result); err != nil {
		return rollout.Fail(rollout.MayHaveRun, rollout.ReasonInternal, err)
	}
	return nil
}

func decodeProblem(status int, content []byte) error {
	var p rollout.Problem
	if err := json.Unmarshal(content, &p); err != nil {
		return rollout.Fail(rollout.MayHaveRun, rollout.ReasonInternal, errors.Join(fmt.Errorf("status %d", status), err))
	}
	verdict, _ := rollout.ParseVerdict(p.Verdict)
	return &rollout.Failure{Verdict: verdict, Reason: p.Reason, Detail: p.Detail}
}
