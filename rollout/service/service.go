// Package service calls plain services over HTTP. A response is returned only if it
// is complete: its body has the declared length and is within the size limit.
package service

import (
	"context"
	"fmt"
	"net/http"
	"sync"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/httpclient"
)

// MaxResponseBytes bounds the body of a service's response.
const MaxResponseBytes = 8 << 20

// HeaderRequestID is the header that carries the ID of the request, by which the
// service can recognize a repeated call. A service that returns it with its response
// gets several calls on one connection: only then is a late second copy of a response
// told from the response to the next call.
const HeaderRequestID = "Lagoonlink-Request-Id"

// Adapter calls plain services.
type Adapter struct {
	client *httpclient.Client
	// returnsID holds the addresses of the servers that return the ID of a request.
	returnsID sync.Map
}

// New returns an Adapter that sends its requests with the given client.
func New(c *httpclient.Client) *Adapter { return &Adapter{client: c} }

// checkID returns an error if a response is not the one to the request with the given
// ID. kept reports whether the connection had carried other requests.
func (a *Adapter) checkID(address string, response *http.Response, id string, kept bool) error {
	got := response.Header.Get(HeaderRequestID)
	if got == id && id != "" {
		a.returnsID.Store(address, true)
		return nil
	}
	if got == "" && !kept {
		return nil
	}
	a.returnsID.Delete(address)
	return rollout.Fail(rollout.MayHaveRun, rollout.ReasonServerFailed, fmt.Errorf("response is for request %q, expected %q", got, id))
}

var _ rollout.ServiceCaller = (*Adapter)(nil)

// Call sends one request to the service at address. The request is never sent more
// than once; retries are left to the caller of this package.
func (a *Adapter) Call(ctx context.Context, address string, c rollout.Call) (rollout.CallResponse, error) {
	r, err := httpclient.NewRequest(ctx, c.Method, "http://"+address+c.Path, c.Body)
	if err != nil {
		return rollout.CallResponse{}, err
	}
	r.Header.Set(HeaderRequestID, c.ID)
	if c.ContentType != "" {
		r.Header.Set("Content-Type", c.ContentType)
	}
	httpclient.SendOnce(r)
	_, kept := a.returnsID.Load(address)
	r.Close = !kept
	response, err := a.client.Do(r)
	if err != nil {
		return rollout.CallResponse{}, rollout.Wrapf(err, "call %s", address)
	}
	defer response.Body.Close()
	if err := a.checkID(address, response, c.ID, kept); err != nil {
		return rollout.CallResponse{}, rollout.Wrapf(err, "call %s", address)
	}
	if f := httpclient.Refusal(response); f != nil {
		return rollout.CallResponse{}, rollout.Wrapf(f, "call %s", address)
	}
	body, err := a.client.ReadBody(response.Body, MaxResponseBytes)
	if err != nil {
		return rollout.CallResponse{}, rollout.Wrapf(err, "read response from %s", address)
	}
	return rollout.CallResponse{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body}, nil
}
