// Package caller is a stand-in for callers. It requests completions and calls
// services at a configured rate, and checks that each response is either the
// complete answer to its request or an explicit refusal.
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"lagoonlink.org/lagoonbench/internal/report"
	"lagoonlink.org/lagoonbench/internal/standin/service"
	"lagoonlink.org/lagoonbench/internal/truth"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/engine"
)

// Config configures a caller.
type Config struct {
	Name  rollout.CallerName
	Token string
	// Entries returns the addresses of the entry VMs that a load balancer would
	// choose from.
	Entries func() []string
	// Rate is the mean number of requests per second. Requests start
	// independently of earlier ones (open loop).
	Rate float64
	// Timeout limits the duration of each request.
	Timeout   time.Duration
	Seed      uint64
	Collector *report.Collector
	// Killed reports whether any entry VM was killed. A connection lost after
	// that may be due to the kill and isn't blamed on a planned stop.
	Killed func() bool
}

// Caller sends requests and checks the responses.
type Caller struct {
	config Config
	http   *http.Client

	mu         sync.Mutex
	random     *rand.Rand
	lastNumber int
	// verdicts is keyed by the body of the service call.
	verdicts map[string]rollout.Verdict
}

// New returns a caller with the given configuration.
func New(c Config) *Caller {
	return &Caller{
		config:   c,
		http:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		random:   rand.New(rand.NewPCG(c.Seed, 3)),
		verdicts: map[string]rollout.Verdict{},
	}
}

// Loop starts run in a new goroutine at the caller's rate until ctx is done,
// then waits for all of them to return. Their context isn't canceled with ctx.
func (c *Caller) Loop(ctx context.Context, run func(ctx context.Context, number int)) {
	var runs sync.WaitGroup
	defer runs.Wait()
	for {
		c.mu.Lock()
		delay := time.Duration(c.random.ExpFloat64() / c.config.Rate * float64(time.Second))
		c.lastNumber++
		number := c.lastNumber
		c.mu.Unlock()
		t := time.NewTimer(delay)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
		runs.Go(func() { run(context.WithoutCancel(ctx), number) })
	}
}

func (c *Caller) pickEntry() (string, error) {
	entries := c.config.Entries()
	if len(entries) == 0 {
		return "", errors.New("no entry VM is ready")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return entries[c.random.IntN(len(entries))], nil
}

func (c *Caller) send(ctx context.Context, method, path string, body []byte, headers map[string]string) (*http.Response, error) {
	entry, err := c.pickEntry()
	if err != nil {
		return nil, errNoEntry
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+entry+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// The client library must not resend a call on its own. Without GetBody,
	// http.Transport can't replay the body.
	r.GetBody = nil
	r.Header.Set("Authorization", "Bearer "+c.config.Token)
	for k, v := range headers {
		r.Header.Set(k, v)
	}
	return c.http.Do(r)
}

var errNoEntry = errors.New("no entry VM is ready")

// Complete requests one streamed completion and records the outcome.
func (c *Caller) Complete(ctx context.Context, model rollout.ModelName, prompt string, maxTokens int) {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	started := time.Now()
	body, err := json.Marshal(engine.CompletionRequest{Model: string(model), Prompt: prompt, MaxTokens: maxTokens, Stream: true})
	if err != nil {
		return
	}
	response, err := c.send(ctx, http.MethodPost, "/v1/completions", body, map[string]string{"Content-Type": "application/json"})
	if err != nil {
		c.recordLost(ctx, "Interactive", err)
		return
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		c.recordRefusal("Interactive", response)
		return
	}
	err = readCompletion(response.Body, prompt)
	var reported streamError
	switch {
	case err == nil:
		c.config.Collector.RecordAnswer(string(c.config.Name), "Interactive", time.Since(started))
	case errors.As(err, &reported):
		c.config.Collector.RecordRefusal("Interactive", "InStream:"+string(reported.problem.Reason), reported.problem.Verdict)
	case errors.Is(err, errWrongAnswer):
		c.config.Collector.Note("wrong answer: %v", err)
		c.config.Collector.Update(func(r *report.Report) { r.IncompleteAnswers++ })
	default:
		c.recordLost(ctx, "Interactive", err)
	}
}

// streamError is an error event of a stream.
type streamError struct{ problem rollout.Problem }

func (e streamError) Error() string { return string(e.problem.Reason) }

var errWrongAnswer = errors.New("response is not the complete answer to the request")

// readCompletion checks that an event stream is the complete answer to the prompt.
func readCompletion(body io.Reader, prompt string) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	var text strings.Builder
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return checkAnswer(text.String(), prompt)
		}
		var e struct {
			engine.CompletionEvent
			Error *rollout.Problem `json:"error"`
		}
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return fmt.Errorf("%w: %w", errWrongAnswer, err)
		}
		if e.Error != nil {
			return streamError{*e.Error}
		}
		if len(e.Choices) != 1 {
			return errWrongAnswer
		}
		text.WriteString(e.Choices[0].Text)
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

func checkAnswer(text, prompt string) error {
	t, err := truth.Parse(text)
	if err != nil {
		return fmt.Errorf("%w: %w", errWrongAnswer, err)
	}
	if !t.Complete() || t.Origin.Prompt != truth.HashPrompt(prompt) {
		return fmt.Errorf("%w: %d tokens of %+v", errWrongAnswer, t.Tokens, t.Origin)
	}
	return nil
}

// recordLost records a request that ended without a response or a refusal, by
// its cause: timeout, no entry VM, failed dial or lost connection. A failed dial
// counts as a refusal, because the entry VM can't have read the request. A lost
// connection counts as cut off only if no entry VM has been killed in the run.
func (c *Caller) recordLost(ctx context.Context, class string, err error) {
	switch {
	case ctx.Err() != nil:
		c.config.Collector.RecordRefusal(class, "CallerTimeout", "")
	case errors.Is(err, errNoEntry):
		c.config.Collector.RecordRefusal(class, "NoEntry", "NotRun")
	case isDialError(err):
		c.config.Collector.RecordRefusal(class, "EntryUnreachable", "NotRun")
	default:
		c.config.Collector.RecordRefusal(class, "EntryLost", "MayHaveRun")
		if c.config.Killed() {
			return
		}
		c.config.Collector.Update(func(r *report.Report) { r.CutOffInProgress++ })
		c.config.Collector.Note("cut off: %s: %v", class, err)
	}
}

func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

func (c *Caller) recordRefusal(class string, response *http.Response) rollout.Problem {
	var p rollout.Problem
	if err := json.NewDecoder(response.Body).Decode(&p); err != nil {
		p.Reason = rollout.Reason(fmt.Sprintf("Status%d", response.StatusCode))
	}
	c.config.Collector.RecordRefusal(class, string(p.Reason), p.Verdict)
	return p
}

// Call calls a service once, records the outcome and reports whether the call
// was answered, even wrongly. The headers may carry an identity.
func (c *Caller) Call(ctx context.Context, s rollout.ServiceName, key string, headers map[string]string) bool {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	started := time.Now()
	response, err := c.send(ctx, http.MethodPost, "/services/"+string(s)+"/calls", []byte(key), headers)
	if err != nil {
		c.recordVerdict(key, rollout.MayHaveRun)
		c.recordLost(ctx, "Service", err)
		return false
	}
	defer response.Body.Close()
	if response.Header.Get("Content-Type") == "application/problem+json" {
		p := c.recordRefusal("Service", response)
		v, _ := rollout.ParseVerdict(p.Verdict)
		c.recordVerdict(key, v)
		return false
	}
	body, err := io.ReadAll(response.Body)
	if err != nil || string(body) != service.Answer(key) {
		c.config.Collector.Note("wrong answer from service: %q, %v", body, err)
		c.config.Collector.Update(func(r *report.Report) { r.IncompleteAnswers++ })
		return true
	}
	c.recordVerdict(key, rollout.Ran)
	c.config.Collector.RecordAnswer(string(c.config.Name), "Service", time.Since(started))
	return true
}

// CallWithRetries obtains an identity and sends the same call up to three times,
// each through a randomly chosen entry VM, until it is answered.
func (c *Caller) CallWithRetries(ctx context.Context, s rollout.ServiceName, key string) {
	id, err := c.mintIdentity(ctx)
	if err != nil {
		return
	}
	for range 3 {
		if c.Call(ctx, s, key, map[string]string{"Lagoonlink-Identity": id}) {
			return
		}
	}
}

func (c *Caller) mintIdentity(ctx context.Context) (string, error) {
	response, err := c.send(ctx, http.MethodPost, "/v1/identities", nil, nil)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	var minted struct{ Identity string }
	if response.StatusCode != http.StatusOK {
		return "", fmt.Errorf("status %d", response.StatusCode)
	}
	err = json.NewDecoder(response.Body).Decode(&minted)
	return minted.Identity, err
}

// recordVerdict records the verdict of a call. It replaces only NotRun: once a
// call ran or may have run, a later refusal of a retry doesn't change that.
func (c *Caller) recordVerdict(key string, v rollout.Verdict) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if previous, ok := c.verdicts[key]; ok && previous != rollout.NotRun {
		return
	}
	c.verdicts[key] = v
}

// CheckVerdicts compares the recorded verdicts with the ledger and counts calls
// that ran more than once or ran although they were reported as not run.
func (c *Caller) CheckVerdicts(l *service.Ledger) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, v := range c.verdicts {
		runs := l.Runs(key)
		c.config.Collector.Update(func(r *report.Report) {
			if runs > 1 {
				r.RanTwice++
			}
			if v == rollout.NotRun && runs > 0 {
				r.RanAfterNotRun++
			}
		})
	}
}
