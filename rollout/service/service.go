// Package service calls plain services over HTTP. An answer is handed on only
// when it came whole: its length as declared, within the limit.
package service

import (
	"bytes"
	"context"
	"net/http"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/exchange"
)

// MaxAnswerBytes bounds a service's answer.
const MaxAnswerBytes = 8 << 20

// HeaderRequestID names the request to the service, so that it can tell
// repeated calls apart.
const HeaderRequestID = "Lagoonlink-Request-Id"

// Adapter calls plain services.
type Adapter struct {
	client *exchange.Client
}

// New returns an adapter over a client.
func New(c *exchange.Client) *Adapter { return &Adapter{client: c} }

var _ rollout.ServiceCaller = (*Adapter)(nil)

// Call makes one call. It is never sent twice by this package.
func (a *Adapter) Call(ctx context.Context, address string, c rollout.Call) (rollout.CallAnswer, error) {
	r, err := http.NewRequestWithContext(ctx, c.Method, "http://"+address+c.Path, exchange.Once(bytes.NewReader(c.Body)))
	if err != nil {
		return rollout.CallAnswer{}, rollout.Fail(rollout.NotRun, rollout.ReasonBadRequest, err)
	}
	r.ContentLength = int64(len(c.Body))
	r.Header.Set(HeaderRequestID, c.ID)
	if c.ContentType != "" {
		r.Header.Set("Content-Type", c.ContentType)
	}
	answer, err := a.client.Do(r)
	if err != nil {
		return rollout.CallAnswer{}, rollout.Tried(err, "call %s", address)
	}
	defer answer.Body.Close()
	if f := exchange.Refusal(answer); f != nil {
		return rollout.CallAnswer{}, rollout.Tried(f, "call %s", address)
	}
	body, err := exchange.ReadAll(answer.Body, MaxAnswerBytes)
	if err != nil {
		return rollout.CallAnswer{}, rollout.Tried(err, "read the answer of %s", address)
	}
	return rollout.CallAnswer{Status: answer.StatusCode, ContentType: answer.Header.Get("Content-Type"), Body: body}, nil
}
