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

	"lagoonlink.org/lagoonlink/internal/dispatch"
	"lagoonlink.org/lagoonlink/internal/holder"
	"lagoonlink.org/lagoonlink/internal/inforce"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/engine"
	"lagoonlink.org/rollout/placement"
	"lagoonlink.org/rollout/request"
)

// defaultMaxTokens applies when a caller names no limit.
const defaultMaxTokens = 256

// completion is one caller's completion on its way.
type completion struct {
	entry  *Entry
	client *app.RequestContext
	asked  engine.CompletionRequest
	id     string
	// text, tokens and versions are what went to the caller so far.
	text     []byte
	tokens   int
	versions []rollout.WeightVersion
	finish   string
	streams  bool
}

// completions serves a completion in the OpenAI-compatible form.
func (e *Entry) completions(ctx context.Context, c *app.RequestContext, v *inforce.View) error {
	caller, err := identifyCaller(c, v)
	if err != nil {
		return err
	}
	asked, err := decodeCompletion(c.Request.Body())
	if err != nil {
		return err
	}
	pool, err := admitCompletion(caller, asked, v)
	if err != nil {
		return err
	}
	repeatable, err := idempotent(c, true)
	if err != nil {
		return err
	}
	ctx, end, cancel, err := e.deadline(ctx, c)
	if err != nil {
		return err
	}
	defer cancel()
	m := &completion{entry: e, client: c, asked: asked, id: e.newID()}
	ask := m.ask(caller, pool, end)
	begun := time.Now()
	err = e.attempts(ctx, request.Request{Idempotent: repeatable, Deadline: end}, ask, m.run)
	e.observe(ask, "request_seconds", time.Since(begun))
	if err != nil {
		return m.abort(err)
	}
	return m.finishAnswer()
}

// admitCompletion returns the pool that serves the model, if the caller may use
// it.
func admitCompletion(caller rollout.Caller, asked engine.CompletionRequest, v *inforce.View) (rollout.Pool, error) {
	pool, ok := v.Configuration.PoolOfModel(rollout.ModelName(asked.Model))
	if !ok {
		return rollout.Pool{}, rollout.Refuse(rollout.ReasonUnknownTarget, "no pool serves model %q", asked.Model)
	}
	if !slices.Contains(caller.Pools, pool.Name) {
		return rollout.Pool{}, rollout.Refuse(rollout.ReasonUnauthorized, "caller %s may not use pool %s", caller.Name, pool.Name)
	}
	return pool, nil
}

// decodeCompletion reads a request's body. Unknown members are passed over, as
// the interface's clients send many.
func decodeCompletion(body []byte) (engine.CompletionRequest, error) {
	var r engine.CompletionRequest
	if err := json.Unmarshal(body, &r); err != nil {
		return r, rollout.Refuse(rollout.ReasonBadRequest, "the body is not a completion request: %v", err)
	}
	if r.MaxTokens == 0 {
		r.MaxTokens = defaultMaxTokens
	}
	switch {
	case r.Model == "":
		return r, rollout.Refuse(rollout.ReasonBadRequest, "model: expected a name")
	case r.MaxTokens < 1 || r.MaxTokens > rollout.MaxTokensPerSample:
		return r, rollout.Refuse(rollout.ReasonBadRequest, "max_tokens: got %d, expected 1 to %d", r.MaxTokens, rollout.MaxTokensPerSample)
	case len(r.Prompt) > rollout.MaxPromptBytes:
		return r, rollout.Refuse(rollout.ReasonBadRequest, "prompt: got %d bytes, expected at most %d", len(r.Prompt), rollout.MaxPromptBytes)
	case r.Prior != "" || r.PriorTokens != 0 || r.RequestID != "":
		return r, rollout.Refuse(rollout.ReasonBadRequest, "prior, prior_tokens and request_id are set by entry VMs")
	}
	return r, nil
}

func (m *completion) ask(caller rollout.Caller, pool rollout.Pool, end time.Time) dispatch.Ask {
	prefix := xxh3.HashString(m.asked.Prompt)
	return dispatch.Ask{
		Target:      dispatch.Target{Pool: pool.Name},
		Want:        placement.Want{Class: rollout.ClassInteractive, Model: rollout.ModelName(m.asked.Model), Prefix: prefix},
		Tenant:      string(caller.Name),
		Share:       caller.Share,
		Cost:        float64(m.asked.MaxTokens),
		Deadline:    end,
		Fingerprint: request.Fingerprint(prefix),
	}
}

// run makes one attempt, going on where the one before broke off.
func (m *completion) run(ctx context.Context, grant *dispatch.Grant) (dispatch.Result, error) {
	begun, before := time.Now(), m.tokens
	err := m.relay(ctx, grant)
	return holder.ResultOf(ctx, err, time.Since(begun), m.tokens-before), err
}

func (m *completion) relay(ctx context.Context, grant *dispatch.Grant) error {
	r, err := m.entry.config.Engine.Generate(ctx, grant.Server.Address, rollout.Generation{
		ID:          m.id,
		Model:       rollout.ModelName(m.asked.Model),
		Prompt:      m.asked.Prompt,
		MaxTokens:   m.asked.MaxTokens - m.tokens,
		Stop:        m.asked.Stop,
		Temperature: m.asked.Temperature,
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
		if err := m.take(p); err != nil {
			return err
		}
	}
}

// take keeps a piece and sends it on when the caller streams.
func (m *completion) take(p rollout.Piece) error {
	m.text = append(m.text, p.Text...)
	m.tokens += p.Tokens
	if p.Tokens > 0 && !slices.Contains(m.versions, p.Version) {
		m.versions = append(m.versions, p.Version)
	}
	if p.Finish != "" {
		m.finish = p.Finish
	}
	if !m.asked.Stream {
		return nil
	}
	return m.send(m.event(p))
}

func (m *completion) event(p rollout.Piece) engine.CompletionEvent {
	choice := engine.CompletionChoice{Text: p.Text}
	if p.Finish != "" {
		choice.FinishReason = &p.Finish
	}
	return engine.CompletionEvent{
		ID:            m.id,
		Object:        "text_completion",
		Model:         m.asked.Model,
		Choices:       []engine.CompletionChoice{choice},
		Tokens:        p.Tokens,
		WeightVersion: uint64(p.Version),
	}
}

// send writes one event to the caller. A caller that is gone or takes nothing
// ends the request.
func (m *completion) send(event any) error {
	data, err := json.Marshal(event)
	if err != nil {
		return rollout.Fail(rollout.MayHaveRun, rollout.ReasonInternal, err)
	}
	return m.write(data)
}

func (m *completion) write(data []byte) error {
	if !m.streams {
		m.streams = true
		m.client.SetStatusCode(http.StatusOK)
		m.client.SetContentType("text/event-stream")
		m.client.Response.Header.Set("Cache-Control", "no-store")
		m.client.Response.HijackWriter(resp.NewChunkedBodyWriter(&m.client.Response, m.client.GetWriter()))
	}
	var b bytes.Buffer
	b.Grow(len(data) + len("data: \n\n"))
	b.WriteString("data: ")
	b.Write(data)
	b.WriteString("\n\n")
	if _, err := m.client.Write(b.Bytes()); err != nil {
		return rollout.Fail(rollout.MayHaveRun, rollout.ReasonCanceled, err)
	}
	if err := m.client.Flush(); err != nil {
		return rollout.Fail(rollout.MayHaveRun, rollout.ReasonCanceled, err)
	}
	return nil
}

// abort ends an answer that has begun with an explicit error and without the
// end mark; otherwise the error becomes a problem document.
func (m *completion) abort(err error) error {
	if !m.streams {
		return err
	}
	_ = m.send(struct {
		Error rollout.Problem `json:"error"`
	}{problemOf(rollout.FailureOf(err))})
	return nil
}

// wholeCompletion is the answer to a caller that does not stream.
type wholeCompletion struct {
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

func (m *completion) finishAnswer() error {
	if m.asked.Stream {
		return m.write([]byte("[DONE]"))
	}
	finish := m.finish
	m.client.JSON(http.StatusOK, wholeCompletion{
		ID:             m.id,
		Object:         "text_completion",
		Model:          m.asked.Model,
		Choices:        []engine.CompletionChoice{{Text: string(m.text), FinishReason: &finish}},
		Usage:          completionUsage{CompletionTokens: m.tokens},
		WeightVersions: m.versions,
	})
	return nil
}
