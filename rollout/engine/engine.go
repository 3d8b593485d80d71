// Package engine is a client for model engines. It uses the OpenAI-compatible
// completions API over HTTP with server-sent events. Each event contains the ID of
// its request and the weight version that generated its tokens.
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
	"lagoonlink.org/rollout/httpclient"
)

// Paths of an engine's HTTP API.
const (
	PathCompletions = "/v1/completions"
	PathLoad        = "/load"
	PathOrders      = "/orders"
)

// Size limits of an engine's responses.
const (
	maxEventBytes  = 1 << 20
	maxReportBytes = 1 << 20
	// maxTextBytes limits the text of one response. An engine that sends more is faulty and
	// may never end.
	maxTextBytes = 4 << 20
	// lineBufferBytes is the size of the read buffer of a streamed response.
	lineBufferBytes = 4 << 10
)

// CompletionRequest is the body of a completion request.
type CompletionRequest struct {
	Model       string   `json:"model"`
	Prompt      string   `json:"prompt"`
	MaxTokens   int      `json:"max_tokens"`
	Stream      bool     `json:"stream"`
	Stop        []string `json:"stop,omitempty"`
	Temperature *float64 `json:"temperature,omitempty"`
	// RequestID is returned as the ID of every event.
	RequestID string `json:"request_id,omitempty"`
	// Prior is already generated text to continue; PriorTokens is its number of
	// tokens.
	Prior       string `json:"prior,omitempty"`
	PriorTokens int    `json:"prior_tokens,omitempty"`
}

// CompletionEvent is one event of a streamed completion.
type CompletionEvent struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []CompletionChoice `json:"choices"`
	// Tokens is the number of tokens of the event's text.
	Tokens int `json:"tokens"`
	// WeightVersion is the weight version that generated the tokens.
	WeightVersion uint64 `json:"weight_version"`
}

// CompletionChoice is the generated text of an event. FinishReason is set in the
// last event of a completion.
type CompletionChoice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// Adapter implements rollout.Engine over HTTP.
type Adapter struct {
	client *httpclient.Client
	// idleTimeout is the maximum time between two events of a response.
	idleTimeout time.Duration
}

// New returns an adapter that uses the given HTTP client. A streamed response
// without an event for idleTimeout is aborted.
func New(c *httpclient.Client, idleTimeout time.Duration) *Adapter {
	return &Adapter{client: c, idleTimeout: idleTimeout}
}

var _ rollout.Engine = (*Adapter)(nil)

// Generate requests a completion and returns a reader of its pieces. Canceling the
// context ends the generation.
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
	idleCtx, cancel := context.WithCancel(ctx)
	idleTimer := time.AfterFunc(a.idleTimeout, cancel)
	response, err := a.post(idleCtx, address, PathCompletions, body)
	if err != nil {
		silent := !idleTimer.Stop() && ctx.Err() == nil
		cancel()
		if silent {
			err = rollout.Fail(rollout.VerdictOf(err), rollout.ReasonServerFailed, fmt.Errorf("no response for %s: %w", a.idleTimeout, err))
		}
		return nil, rollout.Wrapf(err, "generate on %s", address)
	}
	return &pieceReader{id: g.ID, body: response.Body, events: httpclient.NewEventReader(response.Body, lineBufferBytes, maxEventBytes), cancel: cancel, idleTimer: idleTimer, idleTimeout: a.idleTimeout}, nil
}

// post sends a JSON body and returns the response if its status is 200 OK. The
// caller must close the response's body.
func (a *Adapter) post(ctx context.Context, address, path string, body []byte) (*http.Response, error) {
	r, err := httpclient.NewRequest(ctx, http.MethodPost, "http://"+address+path, body)
	if err != nil {
		return nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := a.client.Do(r)
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer response.Body.Close()
	if f := httpclient.Refusal(response); f != nil {
		return nil, f
	}
	return nil, rollout.Fail(rollout.MayHaveRun, rollout.ReasonServerFailed, fmt.Errorf("unexpected status %d", response.StatusCode))
}

// pieceReader reads the pieces of one completion from its event stream.
type pieceReader struct {
	id     string
	body   io.ReadCloser
	events *httpclient.EventReader
	cancel context.CancelFunc
	// finished reports whether the last piece was read.
	finished bool
	// textBytes is the length of the text so far.
	textBytes int
	// idleTimer cancels the request if no event was received for idleTimeout.
	idleTimer   *time.Timer
	idleTimeout time.Duration
}

// Next returns the next piece, or io.EOF after the engine's end marker, "[DONE]".
func (r *pieceReader) Next() (rollout.Piece, error) {
	for {
		data, err := r.readEvent()
		r.idleTimer.Reset(r.idleTimeout)
		if err != nil {
			return rollout.Piece{}, rollout.Fail(rollout.MayHaveRun, rollout.ReasonTruncated, err)
		}
		if bytes.Equal(data, []byte("[DONE]")) {
			return r.finish()
		}
		piece, err := r.decodePiece(data)
		if err != nil {
			return rollout.Piece{}, rollout.Fail(rollout.MayHaveRun, rollout.ReasonServerFailed, err)
		}
		return piece, nil
	}
}

func (r *pieceReader) finish() (rollout.Piece, error) {
	if !r.finished {
		return rollout.Piece{}, rollout.Fail(rollout.MayHaveRun, rollout.ReasonTruncated, errors.New("received the end marker before the last piece"))
	}
	// Reading the body to its end allows the connection to be reused.
	_, _ = io.Copy(io.Discard, io.LimitReader(r.body, maxEventBytes))
	return rollout.Piece{}, io.EOF
}

// readEvent returns the data of the next event that has any. Engines send events with
// empty data to keep the connection alive.
func (r *pieceReader) readEvent() ([]byte, error) {
	for {
		e, err := r.events.Next()
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil || len(e.Data) > 0 {
			return e.Data, err
		}
	}
}

func (r *pieceReader) decodePiece(data []byte) (rollout.Piece, error) {
	if r.finished {
		return rollout.Piece{}, errors.New("received an event after the last piece")
	}
	var e CompletionEvent
	if err := json.Unmarshal(data, &e); err != nil {
		return rollout.Piece{}, fmt.Errorf("decode an event: %w", err)
	}
	if e.ID != r.id {
		return rollout.Piece{}, fmt.Errorf("received an event of request %q in the response to request %q", e.ID, r.id)
	}
	if len(e.Choices) != 1 || e.Tokens < 0 {
		return rollout.Piece{}, fmt.Errorf("event has %d choices and %d tokens, expected 1 choice and no negative number of tokens", len(e.Choices), e.Tokens)
	}
	if r.textBytes += len(e.Choices[0].Text); r.textBytes > maxTextBytes {
		return rollout.Piece{}, fmt.Errorf("the text is longer than %d bytes", maxTextBytes)
	}
	p := rollout.Piece{Text: e.Choices[0].Text, Tokens: e.Tokens, Version: rollout.WeightVersion(e.WeightVersion)}
	if f := e.Choices[0].FinishReason; f != nil {
		p.Finish = *f
		r.finished = true
	}
	return p, nil
}

// Close ends the stream. It closes the connection unless the response was read to
// its end.
func (r *pieceReader) Close() error {
	r.idleTimer.Stop()
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
	response, err := a.client.Do(r)
	if err != nil {
		return report, rollout.Wrapf(err, "get the load report of %s", address)
	}
	defer response.Body.Close()
	data, err := httpclient.ReadAll(response.Body, maxReportBytes)
	if err != nil {
		return report, rollout.Wrapf(err, "read the load report of %s", address)
	}
	if response.StatusCode != http.StatusOK {
		return report, rollout.Fail(rollout.MayHaveRun, rollout.ReasonServerFailed, fmt.Errorf("unexpected status %d", response.StatusCode))
	}
	if err := json.Unmarshal(data, &report); err != nil {
		return rollout.LoadReport{}, rollout.Fail(rollout.MayHaveRun, rollout.ReasonServerFailed, err)
	}
	return report, nil
}

// Order sends an order to load weights. It returns when the engine has accepted the
// order, which is before it has loaded the weights.
func (a *Adapter) Order(ctx context.Context, address string, o rollout.Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return rollout.Fail(rollout.NotRun, rollout.ReasonBadRequest, err)
	}
	response, err := a.post(ctx, address, PathOrders, body)
	if err != nil {
		return rollout.Wrapf(err, "order %s to load version %d of %s", address, o.Version, o.Model)
	}
	return response.Body.Close()
}
