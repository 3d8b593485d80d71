package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/zeebo/xxh3"

	"lagoonlink.org/lagoonlink/internal/attempt"
	"lagoonlink.org/lagoonlink/internal/dispatch"
	"lagoonlink.org/lagoonlink/internal/inforce"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/engine"
	"lagoonlink.org/rollout/placement"
	"lagoonlink.org/rollout/request"
)

// defaultMaxTokens applies if a request sets no max_tokens.
const defaultMaxTokens = 256

// completion is a caller's completion request in progress. Its state persists
// across attempts.
type completion struct {
	entry          *Entry
	requestContext *app.RequestContext
	request        engine.CompletionRequest
	id             string
	// text, tokens and versions accumulate what has been generated so far; a retry
	// continues from there.
	text         []byte
	tokens       int
	versions     []rollout.WeightVersion
	finishReason string
	streaming    bool
}

// handleCompletion serves an OpenAI-compatible completion request.
func (e *Entry) handleCompletion(ctx context.Context, c *app.RequestContext, v *inforce.View) error {
	caller, err := identifyCaller(c, v)
	if err != nil {
		return err
	}
	req, err := decodeCompletion(c.Request.Body())
	if err != nil {
		return err
	}
	pool, err := admitCompletion(caller, req, v)
	if err != nil {
		return err
	}
	idempotent, err := isIdempotent(c, true)
	if err != nil {
		return err
	}
	ctx, deadline, cancel, err := e.withDeadline(ctx, c)
	if err != nil {
		return err
	}
	defer cancel()
	m := &completion{entry: e, requestContext: c, request: req, id: e.newRequestID()}
	dispatchRequest := m.newRequest(caller, pool, deadline)
	start := time.Now()
	err = e.runAttempts(ctx, request.Request{Idempotent: idempotent, Deadline: deadline}, dispatchRequest, m.attempt)
	e.observe(dispatchRequest, "request_seconds", time.Since(start))
	if err != nil {
		return m.abort(err)
	}
	return m.finish()
}

// admitCompletion returns the pool of the requested model if the caller may use it.
func admitCompletion(caller rollout.Caller, r engine.CompletionRequest, v *inforce.View) (rollout.Pool, error) {
	pool, ok := v.Configuration.PoolOfModel(rollout.ModelName(r.Model))
	if !ok {
		return rollout.Pool{}, rollout.Refuse(rollout.ReasonUnknownTarget, "no pool serves model %q", r.Model)
	}
	if !slices.Contains(caller.Pools, pool.Name) {
		return rollout.Pool{}, rollout.Refuse(rollout.ReasonUnauthorized, "caller %s may not use pool %s", caller.Name, pool.Name)
	}
	return pool, nil
}

// decodeCompletion decodes and validates a request body. It ignores unknown
// fields because clients of the OpenAI API send many that do not apply here.
func decodeCompletion(body []byte) (engine.CompletionRequest, error) {
	var r engine.CompletionRequest
	if err := json.Unmarshal(body, &r); err != nil {
		return r, rollout.Refuse(rollout.ReasonBadRequest, "the request body is not a completion request: %v", err)
	}
	if r.MaxTokens == 0 {
		r.MaxTokens = defaultMaxTokens
	}
	switch {
	case r.Model == "":
		return r, rollout.Refuse(rollout.ReasonBadRequest, "model: expected a model name")
	case r.MaxTokens < 1 || r.MaxTokens > rollout.MaxTokensPerSample:
		return r, rollout.Refuse(rollout.ReasonBadRequest, "max_tokens: got %d, expected 1 to %d", r.MaxTokens, rollout.MaxTokensPerSample)
	case len(r.Prompt) > rollout.MaxPromptBytes:
		return r, rollout.Refuse(rollout.ReasonBadRequest, "prompt: got %d bytes, expected at most %d", len(r.Prompt), rollout.MaxPromptBytes)
	case r.Prior != "" || r.PriorTokens != 0 || r.RequestID != "":
		return r, rollout.Refuse(rollout.ReasonBadRequest, "prior, prior_tokens and request_id are reserved: they are set by entry VMs")
	}
	return r, nil
}

func (m *completion) newRequest(caller rollout.Caller, pool rollout.Pool, deadline time.Time) dispatch.Request {
	prefix := xxh3.HashString(m.request.Prompt)
	return dispatch.Request{
		Target:       dispatch.Target{Pool: pool.Name},
		Requirements: placement.Requirements{Class: rollout.ClassInteractive, Model: rollout.ModelName(m.request.Model), Prefix: prefix},
		Tenant:       string(caller.Name),
		Share:        caller.Share,
		Cost:         float64(m.request.MaxTokens),
		Deadline:     deadline,
		Fingerprint:  request.Fingerprint(prefix),
	}
}

// attempt makes one attempt, which continues where the previous one ended.
func (m *completion) attempt(ctx context.Context, a *attempt.Attempt) error {
	r, err := a.Generate(ctx, rollout.Generation{
		ID:          m.id,
		Model:       rollout.ModelName(m.request.Model),
		Prompt:      m.request.Prompt,
		MaxTokens:   m.request.MaxTokens - m.tokens,
		Stop:        m.request.Stop,
		Temperature: m.request.Temperature,
		Prior:       string(m.text),
		PriorTokens: m.tokens,
	})
	if err != nil {
		return err
	}
	defer r.Close()
	for {
		p, err := r.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := m.addPiece(p); err != nil {
			return err
		}
	}
}

func (m *completion) addPiece(p rollout.Piece) error {
	m.text = append(m.text, p.Text...)
	m.tokens += p.Tokens
	if p.Tokens > 0 && !slices.Contains(m.versions, p.Version) {
		m.versions = append(m.versions, p.Version)
	}
	if p.Finish != "" {
		m.finishReason = p.Finish
	}
	if !m.request.Stream {
		return nil
	}
	return m.sendEvent(m.newEvent(p))
}

func (m *completion) newEvent(p rollout.Piece) engine.CompletionEvent {
	choice := engine.CompletionChoice{Text: p.Text}
	if p.Finish != "" {
		choice.FinishReason = &p.Finish
	}
	return engine.CompletionEvent{
		ID:            m.id,
		Object:        "text_completion",
		Model:         m.request.Model,
		Choices:       []engine.CompletionChoice{choice},
		Tokens:        p.Tokens,
		WeightVersion: uint64(p.Version),
	}
}

// sendEvent sends one event to the caller. It fails if the caller has disconnected
// or does not read within the write timeout, which ends the request.
func (m *completion) sendEvent(event any) error {
	data, err := json.Marshal(event)
	if err != nil {
		return rollout.Fail(rollout.MayHaveRun, rollout.ReasonInternal, err)
	}
	return m.writeEvent(data)
}

// writeEvent writes data as a server-sent event. The first call writes the
// response header.
func (m *completion) writeEvent(data []byte) error {
	if !m.streaming {
		m.streaming = true
		m.requestContext.SetStatusCode(http.StatusOK)
		m.requestContext.SetContentType("text/event-stream")
		m.requestContext.Response.Header.Set("Cache-Control", "no-store")
		m.requestContext.Response.HijackWriter(resp.NewChunkedBodyWriter(&m.requestContext.Response, m.requestContext.GetWriter()))
	}
	var b bytes.Buffer
	b.Grow(len(data) + len("data: \n\n"))
	b.WriteString("data: ")
	b.Write(data)
	b.WriteString("\n\n")
	if _, err := m.requestContext.Write(b.Bytes()); err != nil {
		return rollout.Fail(rollout.MayHaveRun, rollout.ReasonCanceled, err)
	}
	if err := m.requestContext.Flush(); err != nil {
		return rollout.Fail(rollout.MayHaveRun, rollout.ReasonCanceled, err)
	}
	return nil
}

// abort handles the failure of a completion. If the streamed response has started,
// it ends with an error event and without the [DONE] event; otherwise the error is
// returned, to be written as a problem document.
func (m *completion) abort(err error) error {
	if !m.streaming {
		return err
	}
	_ = m.sendEvent(struct {
		Error rollout.Problem `json:"error"`
	}{newProblem(rollout.FailureOf(err))})
	return nil
}

// completionResponse is the response to a request without streaming.
type completionResponse struct {
	ID             string                    `json:"id"`
	Object         string                    `json:"object"`
	Model          string                    `json:"model"`
	Choices        []engine.CompletionChoice `json:"choices"`
	Usage          completionUsage           `json:"usage"`
	WeightVersions []rollout.WeightVersion   `json:"weight_versions"`
}

type completionUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// finish ends the stream with [DONE], or writes the whole response if the caller
// did not request streaming.
func (m *completion) finish() error {
	if m.request.Stream {
		return m.writeEvent([]byte("[DONE]"))
	}
	reason := m.finishReason
	m.requestContext.JSON(http.StatusOK, completionResponse{
		ID:             m.id,
		Object:         "text_completion",
		Model:          m.request.Model,
		Choices:        []engine.CompletionChoice{{Text: string(m.text), FinishReason: &reason}},
		Usage:          completionUsage{CompletionTokens: m.tokens},
		WeightVersions: m.versions,
	})
	return nil
}
