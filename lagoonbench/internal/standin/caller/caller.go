// Package caller is a stand-in of callers: it asks for completions and calls
// services at a rate, and checks that every answer is the whole answer to its
// own request or an explicit refusal.
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
	// Entries returns the entry VMs that the balancer would choose from.
	Entries func() []string
	// Rate is requests a second; each waits for no other.
	Rate float64
	// Timeout bounds each request.
	Timeout   time.Duration
	Seed      uint64
	Collector *report.Collector
	// Killed reports whether an entry VM was killed, so that a lost connection
	// may be its doing and not that of a planned stop.
	Killed func() bool
}

// Caller is the stand-in.
type Caller struct {
	config Config
	http   *http.Client

	mu     sync.Mutex
	random *rand.Rand
	number int
	// calls holds the verdict of each service call that was refused.
	calls map[string]rollout.Verdict
}

// New returns a caller.
func New(c Config) *Caller {
	return &Caller{
		config: c,
		http:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		random: rand.New(rand.NewPCG(c.Seed, 3)),
		calls:  map[string]rollout.Verdict{},
	}
}

// Loop calls run at the caller's rate until the context ends, and waits for
// every run to return.
func (c *Caller) Loop(ctx context.Context, run func(ctx context.Context, number int)) {
	var runs sync.WaitGroup
	defer runs.Wait()
	for {
		c.mu.Lock()
		pause := time.Duration(c.random.ExpFloat64() / c.config.Rate * float64(time.Second))
		c.number++
		number := c.number
		c.mu.Unlock()
		t := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
		runs.Go(func() { run(context.WithoutCancel(ctx), number) })
	}
}

func (c *Caller) entry() (string, error) {
	entries := c.config.Entries()
	if len(entries) == 0 {
		return "", errors.New("no entry VM is ready")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return entries[c.random.IntN(len(entries))], nil
}

func (c *Caller) request(ctx context.Context, method, path string, body []byte, headers map[string]string) (*http.Response, error) {
	entry, err := c.entry()
	if err != nil {
		return nil, errNoEntry
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+entry+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// A caller's own library must not send a call twice.
	r.GetBody = nil
	r.Header.Set("Authorization", "Bearer "+c.config.Token)
	for k, v := range headers {
		r.Header.Set(k, v)
	}
	return c.http.Do(r)
}

var errNoEntry = errors.New("no entry VM is ready")

// Complete asks for one streamed completion and judges the answer.
func (c *Caller) Complete(ctx context.Context, model rollout.ModelName, prompt string, maxTokens int) {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	begun := time.Now()
	body, err := json.Marshal(engine.CompletionRequest{Model: string(model), Prompt: prompt, MaxTokens: maxTokens, Stream: true})
	if err != nil {
		return
	}
	answer, err := c.request(ctx, http.MethodPost, "/v1/completions", body, map[string]string{"Content-Type": "application/json"})
	if err != nil {
		c.broken(ctx, "Interactive", err)
		return
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		c.refused("Interactive", answer)
		return
	}
	err = readCompletion(answer.Body, prompt)
	var explicit explicitError
	switch {
	case err == nil:
		c.config.Collector.Answered(string(c.config.Name), "Interactive", time.Since(begun))
	case errors.As(err, &explicit):
		c.config.Collector.Refused("Interactive", "InStream:"+string(explicit.problem.Reason), explicit.problem.Verdict)
	case errors.Is(err, errWrong):
		c.config.Collector.Note("wrong answer: %v", err)
		c.config.Collector.Change(func(r *report.Report) { r.IncompleteAnswers++ })
	default:
		c.broken(ctx, "Interactive", err)
	}
}

// explicitError is an error that the stream states.
type explicitError struct{ problem rollout.Problem }

func (e explicitError) Error() string { return string(e.problem.Reason) }

var errWrong = errors.New("the answer is not the whole answer to the request")

// readCompletion reads a stream and checks that it is whole and the prompt's.
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
			return checkText(text.String(), prompt)
		}
		var e struct {
			engine.CompletionEvent
			Error *rollout.Problem `json:"error"`
		}
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return fmt.Errorf("%w: %w", errWrong, err)
		}
		if e.Error != nil {
			return explicitError{*e.Error}
		}
		if len(e.Choices) != 1 {
			return errWrong
		}
		text.WriteString(e.Choices[0].Text)
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

func checkText(text, prompt string) error {
	t, err := truth.Parse(text)
	if err != nil {
		return fmt.Errorf("%w: %w", errWrong, err)
	}
	if !t.Whole() || t.Origin.Prompt != truth.HashPrompt(prompt) {
		return fmt.Errorf("%w: %d tokens of %+v", errWrong, t.Tokens, t.Origin)
	}
	return nil
}

// broken counts a connection that ended without an answer or a refusal. A
// connection that an entry VM closed before it read anything is a refusal.
func (c *Caller) broken(ctx context.Context, class string, err error) {
	switch {
	case ctx.Err() != nil:
		c.config.Collector.Refused(class, "CallerTimeout", "")
	case errors.Is(err, errNoEntry):
		c.config.Collector.Refused(class, "NoEntry", "NotRun")
	case isConnect(err):
		c.config.Collector.Refused(class, "EntryUnreachable", "NotRun")
	default:
		c.config.Collector.Refused(class, "EntryLost", "MayHaveRun")
		if c.config.Killed() {
			return
		}
		c.config.Collector.Change(func(r *report.Report) { r.CutOffInProgress++ })
		c.config.Collector.Note("cut off: %s: %v", class, err)
	}
}

func isConnect(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (c *Caller) refused(class string, answer *http.Response) rollout.Problem {
	var p rollout.Problem
	if err := json.NewDecoder(answer.Body).Decode(&p); err != nil {
		p.Reason = rollout.Reason(fmt.Sprintf("Status%d", answer.StatusCode))
	}
	c.config.Collector.Refused(class, string(p.Reason), p.Verdict)
	return p
}

// Call calls a service once and judges the answer. Headers may carry an
// identity. It reports whether the call was answered.
func (c *Caller) Call(ctx context.Context, s rollout.ServiceName, key string, headers map[string]string) bool {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	begun := time.Now()
	answer, err := c.request(ctx, http.MethodPost, "/services/"+string(s)+"/calls", []byte(key), headers)
	if err != nil {
		c.verdict(key, rollout.MayHaveRun)
		c.broken(ctx, "Service", err)
		return false
	}
	defer answer.Body.Close()
	if answer.Header.Get("Content-Type") == "application/problem+json" {
		p := c.refused("Service", answer)
		v, _ := rollout.ParseVerdict(p.Verdict)
		c.verdict(key, v)
		return false
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil || string(body) != service.Answer(key) {
		c.config.Collector.Note("wrong answer of a service: %q, %v", body, err)
		c.config.Collector.Change(func(r *report.Report) { r.IncompleteAnswers++ })
		return true
	}
	c.verdict(key, rollout.Ran)
	c.config.Collector.Answered(string(c.config.Name), "Service", time.Since(begun))
	return true
}

// CallAgain draws an identity and sends the same call until it is answered, in
// at most three tries over any entry VMs.
func (c *Caller) CallAgain(ctx context.Context, s rollout.ServiceName, key string) {
	id, err := c.identity(ctx)
	if err != nil {
		return
	}
	for range 3 {
		if c.Call(ctx, s, key, map[string]string{"Lagoonlink-Identity": id}) {
			return
		}
	}
}

func (c *Caller) identity(ctx context.Context) (string, error) {
	answer, err := c.request(ctx, http.MethodPost, "/v1/identities", nil, nil)
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	var minted struct{ Identity string }
	if answer.StatusCode != http.StatusOK {
		return "", fmt.Errorf("status %d", answer.StatusCode)
	}
	err = json.NewDecoder(answer.Body).Decode(&minted)
	return minted.Identity, err
}

// verdict keeps the strongest word on a call: once it may have run, a later
// refusal of a resend does not take that back.
func (c *Caller) verdict(key string, v rollout.Verdict) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old, known := c.calls[key]; known && old != rollout.NotRun {
		return
	}
	c.calls[key] = v
}

// Judge compares the verdicts with what ran.
func (c *Caller) Judge(l *service.Ledger) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, v := range c.calls {
		runs := l.Runs(key)
		c.config.Collector.Change(func(r *report.Report) {
			if runs > 1 {
				r.RanTwice++
			}
			if v == rollout.NotRun && runs > 0 {
				r.RanAfterNotRun++
			}
		})
	}
}
