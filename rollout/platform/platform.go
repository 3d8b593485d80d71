// Package platform reaches the platform's services over HTTP: the append-only
// log, the weight store and the list of VMs. Each may be slow or down; each
// answer may be lost after its request took effect, which the verdict tells.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/exchange"
)

// maxAnswerBytes bounds an answer of the platform.
const maxAnswerBytes = 64 << 20

// Client reaches the platform's services.
type Client struct {
	client *exchange.Client
	// addresses of the three services, each IP number and port.
	addresses Addresses

	mu sync.Mutex
	// tag and list are of the last list of VMs, which is asked for again only
	// when it changed.
	tag  string
	list []rollout.ListedVM
}

// Addresses says where the platform's services are.
type Addresses struct {
	Log     string
	Weights string
	VMs     string
}

// New returns a client over an exchange client.
func New(c *exchange.Client, a Addresses) *Client { return &Client{client: c, addresses: a} }

var (
	_ rollout.Log         = (*Client)(nil)
	_ rollout.WeightStore = (*Client)(nil)
	_ rollout.VMList      = (*Client)(nil)
)

// AppendAnswer is the body of an answer to an append.
type AppendAnswer struct{ Offset rollout.Offset }

// Append adds a record to a stream.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (rollout.Offset, error) {
	at := "http://" + c.addresses.Log + "/streams/" + url.PathEscape(stream) + "/records"
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, at, exchange.Once(bytes.NewReader(data)))
	if err != nil {
		return 0, rollout.Fail(rollout.NotRun, rollout.ReasonBadRequest, err)
	}
	r.ContentLength = int64(len(data))
	var a AppendAnswer
	if err := c.do(r, &a); err != nil {
		return 0, rollout.Tried(err, "append to %s", stream)
	}
	return a.Offset, nil
}

// Read returns records of a stream.
func (c *Client) Read(ctx context.Context, stream string, from rollout.Offset, limit int, wait time.Duration) (rollout.ReadResult, error) {
	query := url.Values{
		"From":             {strconv.FormatUint(uint64(from), 10)},
		"Limit":            {strconv.Itoa(limit)},
		"WaitMilliseconds": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var a rollout.ReadResult
	at := "http://" + c.addresses.Log + "/streams/" + url.PathEscape(stream) + "/records?" + query.Encode()
	if err := c.get(ctx, at, &a); err != nil {
		return rollout.ReadResult{}, rollout.Tried(err, "read %s from %d", stream, from)
	}
	for i, e := range a.Records {
		if e.Offset < from || (i > 0 && e.Offset <= a.Records[i-1].Offset) {
			return rollout.ReadResult{}, fmt.Errorf("read %s from %d: offset %d is out of order", stream, from, e.Offset)
		}
	}
	return a, nil
}

// Latest returns the newest version of each model in the weight store.
func (c *Client) Latest(ctx context.Context) (map[rollout.ModelName]rollout.WeightVersion, error) {
	var a map[rollout.ModelName]rollout.WeightVersion
	err := c.get(ctx, "http://"+c.addresses.Weights+"/weights", &a)
	return a, rollout.Tried(err, "ask the weight store for the latest versions")
}

// List returns the platform's list of VMs. Where the platform tags its answers,
// an unchanged list is not sent again.
func (c *Client) List(ctx context.Context) ([]rollout.ListedVM, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.addresses.VMs+"/vms", nil)
	if err != nil {
		return nil, rollout.Fail(rollout.NotRun, rollout.ReasonBadRequest, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tag != "" {
		r.Header.Set("If-None-Match", c.tag)
	}
	answer, err := c.client.Do(r)
	if err != nil {
		return nil, rollout.Tried(err, "ask the platform for its VMs")
	}
	defer answer.Body.Close()
	if answer.StatusCode == http.StatusNotModified {
		return c.list, nil
	}
	var list []rollout.ListedVM
	if err := read(answer, &list); err != nil {
		return nil, rollout.Tried(err, "ask the platform for its VMs")
	}
	c.tag, c.list = answer.Header.Get("ETag"), list
	return list, nil
}

func (c *Client) get(ctx context.Context, at string, into any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, at, nil)
	if err != nil {
		return rollout.Fail(rollout.NotRun, rollout.ReasonBadRequest, err)
	}
	return c.do(r, into)
}

func (c *Client) do(r *http.Request, into any) error {
	answer, err := c.client.Do(r)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	return read(answer, into)
}

// read reads an answer's body as JSON.
func read(answer *http.Response, into any) error {
	if f := exchange.Refusal(answer); f != nil {
		if answer.StatusCode == http.StatusTooManyRequests {
			f.Reason = rollout.ReasonLogLimited
		}
		return f
	}
	data, err := exchange.ReadAll(answer.Body, maxAnswerBytes)
	if err != nil {
		return err
	}
	if answer.StatusCode != http.StatusOK {
		return rollout.Fail(rollout.MayHaveRun, rollout.ReasonLogUnavailable, fmt.Errorf("status %d", answer.StatusCode))
	}
	if err := json.Unmarshal(data, into); err != nil {
		return rollout.Fail(rollout.MayHaveRun, rollout.ReasonLogUnavailable, err)
	}
	return nil
}
