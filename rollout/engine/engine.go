// Package engine calls model engines over HTTP in the OpenAI-compatible
// completions form with server-sent events. Each event names the request it
// answers and the weight version that generated its tokens.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/exchange"
)

// Paths of an engine's interface.
const (
	PathCompletions = "/v1/completions"
	PathLoad        = "/load"
	PathOrders      = "/orders"
)

// Limits of what an engine may answer with.
const (
	maxEventBytes  = 1 << 20
	maxReportBytes = 1 << 20
	// lineBuffer is the size of an answer's read buffer.
	lineBuffer = 4 << 10
)

// CompletionRequest is the body of a request for a completion.
type CompletionRequest struct {
	Model       string   `json:"model"`
	Prompt      string   `json:"prompt"`
	MaxTokens   int      `json:"max_tokens"`
	Stream      bool     `json:"stream"`
	Stop        []string `json:"stop,omitempty"`
	Temperature *float64 `json:"temperature,omitempty"`
	// RequestID is echoed as the id of every event.
	RequestID string `json:"request_id,omitempty"`
	// Prior is text to continue, PriorTokens long.
	Prior       string `json:"prior,omitempty"`
	PriorTokens int    `json:"prior_tokens,omitempty"`
}

// CompletionEvent is one event of a streamed completion.
type CompletionEvent struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []CompletionChoice `json:"choices"`
	// Tokens is how many tokens the event's text has.
	Tokens int `json:"tokens"`
	// WeightVersion generated them.
	WeightVersion uint64 `json:"weight_version"`
}

// CompletionChoice is the text of an event.
type CompletionChoice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// Adapter calls engines.
type Adapter struct {
	client *exchange.Client
	// silence is the longest time between two events of an answer.
	silence time.Duration
}

// New returns an adapter over a client. An answer without an event for the time
// of silence is broken off.
func New(c *exchange.Client, silence time.Duration) *Adapter {
	return &Adapter{client: c, silence: silence}
}

var _ rollout.Engine = (*Adapter)(nil)

// Generate asks for a completion and returns a reader of its pieces. Canceling
// the context ends the generation.
func (a *Adapter) Generate(ctx context.Context, address string, g rollout.Generation) (rollout.PieceReader, error) {
	body, err := json.Marshal(CompletionRequest{
		Model:       string(g.Model),
		Prompt:      g.Prompt,
		MaxTokens:   g.MaxTokens,
		Stream:      true,
		Stop:        g.Stop,
		Temperature: g.Temperature,
		RequestID:   g.ID,
		Prior:       g.Prior,
		PriorTokens: g.PriorTokens,
	})
	if err != nil {
		return nil, rollout.Fail(rollout.NotRun, rollout.ReasonBadRequest, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	watch := time.AfterFunc(a.silence, cancel)
	answer, err := a.post(ctx, address, PathCompletions, body)
	if err != nil {
		watch.Stop()
		cancel()
		return nil, rollout.Tried(err, "generate on %s", address)
	}
	return &reader{id: g.ID, body: answer.Body, lines: exchange.NewLines(answer.Body, lineBuffer, maxEventBytes), cancel: cancel, watch: watch, silence: a.silence}, nil
}

func (a *Adapter) post(ctx context.Context, address, path string, body []byte) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, exchange.Once(bytes.NewReader(body)))
	if err != nil {
		return nil, rollout.Fail(rollout.NotRun, rollout.ReasonBadRequest, err)
	}
	r.ContentLength = int64(len(body))
	r.Header.Set("Content-Type", "application/json")
	answer, err := a.client.Do(r)
	if err != nil {
		return nil, err
	}
	if answer.StatusCode == http.StatusOK {
		return answer, nil
	}
	defer answer.Body.Close()
	if f := exchange.Refusal(answer); f != nil {
		return nil, f
	}
	return nil, rollout.Fail(rollout.MayHaveRun, rollout.ReasonServerFailed, fmt.Errorf("status %d", answer.StatusCode))
}

// reader reads the events of one completion.
type reader struct {
	id       string
	body     io.ReadCloser
	lines    *exchange.Lines
	cancel   context.CancelFunc
	finished bool
	// watch ends the stream when no event came for the time of silence.
	watch   *time.Timer
	silence time.Duration
}

// Next returns the next piece, or io.EOF after the engine's end mark.
func (r *reader) Next() (rollout.Piece, error) {
	for {
		data, err := r.event()
		r.watch.Reset(r.silence)
		if err != nil {
			return rollout.Piece{}, rollout.Fail(rollout.MayHaveRun, rollout.ReasonTruncated, err)
		}
		if bytes.Equal(data, []byte("[DONE]")) {
			return r.end()
		}
		piece, err := r.piece(data)
		if err != nil {
			return rollout.Piece{}, rollout.Fail(rollout.MayHaveRun, rollout.ReasonServerFailed, err)
		}
		return piece, nil
	}
}

func (r *reader) end() (rollout.Piece, error) {
	if !r.finished {
		return rollout.Piece{}, rollout.Fail(rollout.MayHaveRun, rollout.ReasonTruncated, errors.New("the end mark came before the last piece"))
	}
	// Draining to the end of the body lets the connection be used again.
	_, _ = io.Copy(io.Discard, io.LimitReader(r.body, maxEventBytes))
	return rollout.Piece{}, io.EOF
}

// event returns the data of the next event.
func (r *reader) event() ([]byte, error) {
	for {
		line, err := r.lines.Next()
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		if data, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			return bytes.TrimPrefix(data, []byte(" ")), nil
		}
	}
}

func (r *reader) piece(data []byte) (rollout.Piece, error) {
	if r.finished {
		return rollout.Piece{}, errors.New("an event came after the last piece")
	}
	var e CompletionEvent
	if err := json.Unmarshal(data, &e); err != nil {
		return rollout.Piece{}, fmt.Errorf("read an event: %w", err)
	}
	if e.ID != r.id {
		return rollout.Piece{}, fmt.Errorf("an event of request %q came for %q", e.ID, r.id)
	}
	if len(e.Choices) != 1 || e.Tokens < 0 {
		return rollout.Piece{}, fmt.Errorf("an event has %d choices and %d tokens", len(e.Choices), e.Tokens)
	}
	p := rollout.Piece{Text: e.Choices[0].Text, Tokens: e.Tokens, Version: rollout.WeightVersion(e.WeightVersion)}
	if f := e.Choices[0].FinishReason; f != nil {
		p.Finish = *f
		r.finished = true
	}
	return p, nil
}

// Close ends the stream. The connection is closed unless the answer was read
// to its end.
func (r *reader) Close() error {
	r.watch.Stop()
	r.cancel()
	return r.body.Close()
}

// Load returns the engine's load report.
func (a *Adapter) Load(ctx context.Context, address string) (rollout.LoadReport, error) {
	var report rollout.LoadReport
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+PathLoad, nil)
	if err != nil {
		return report, rollout.Fail(rollout.NotRun, rollout.ReasonBadRequest, err)
	}
	answer, err := a.client.Do(r)
	if err != nil {
		return report, rollout.Tried(err, "ask %s for its load", address)
	}
	defer answer.Body.Close()
	data, err := exchange.ReadAll(answer.Body, maxReportBytes)
	if err != nil {
		return report, rollout.Tried(err, "read the load of %s", address)
	}
	if answer.StatusCode != http.StatusOK {
		return report, rollout.Fail(rollout.MayHaveRun, rollout.ReasonServerFailed, fmt.Errorf("status %d", answer.StatusCode))
	}
	if err := json.Unmarshal(data, &report); err != nil {
		return rollout.LoadReport{}, rollout.Fail(rollout.MayHaveRun, rollout.ReasonServerFailed, err)
	}
	return report, nil
}

// Order sends an order to load weights. It returns when the engine has taken
// the order, which is not yet when it has loaded the weights.
func (a *Adapter) Order(ctx context.Context, address string, o rollout.Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return rollout.Fail(rollout.NotRun, rollout.ReasonBadRequest, err)
	}
	answer, err := a.post(ctx, address, PathOrders, body)
	if err != nil {
		return rollout.Tried(err, "order %s to load version %d of %s", address, o.Version, o.Model)
	}
	return answer.Body.Close()
}
