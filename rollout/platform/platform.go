// Package platform is an HTTP client of the platform's services: the append-only
// log, the weight store and the list of VMs. Each of them may be slow or
// unavailable. A response may also be lost after its request took effect; the
// verdict of the returned error states whether that is possible.
package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/httpclient"
)

// maxResponseBytes bounds the body of a response.
const maxResponseBytes = 64 << 20

// Client is a client of the platform's services. It is safe for concurrent use.
type Client struct {
	client    *httpclient.Client
	addresses Addresses

	mu sync.Mutex
	// etag and vms are the entity tag and the content of the last list of VMs, which
	// is transferred again only if it has changed.
	etag string
	vms  []rollout.ListedVM
}

// Addresses holds the addresses of the platform's services, each an IP address and
// a port.
type Addresses struct {
	Log     string
	Weights string
	VMs     string
}

// New returns a Client that sends its requests with the given HTTP client.
func New(c *httpclient.Client, a Addresses) *Client { return &Client{client: c, addresses: a} }

var (
	_ rollout.Log         = (*Client)(nil)
	_ rollout.WeightStore = (*Client)(nil)
	_ rollout.VMList      = (*Client)(nil)
)

// AppendResponse is the body of the response to an append.
type AppendResponse struct{ Offset rollout.Offset }

// Append appends a record to a stream and returns its offset.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (rollout.Offset, error) {
	endpoint := "http://" + c.addresses.Log + "/streams/" + url.PathEscape(stream) + "/records"
	r, err := httpclient.NewRequest(ctx, http.MethodPost, endpoint, data)
	if err != nil {
		return 0, err
	}
	var response AppendResponse
	if err := c.doJSON(r, &response); err != nil {
		return 0, rollout.Wrapf(err, "append to %s", stream)
	}
	return response.Offset, nil
}

// Read returns up to limit records of a stream, starting at offset from. If there are
// none yet, the log waits for the first one for up to wait. Offsets that do not
// increase are an error.
func (c *Client) Read(ctx context.Context, stream string, from rollout.Offset, limit int, wait time.Duration) (rollout.ReadResult, error) {
	query := url.Values{
		"From":             {strconv.FormatUint(uint64(from), 10)},
		"Limit":            {strconv.Itoa(limit)},
		"WaitMilliseconds": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var result rollout.ReadResult
	endpoint := "http://" + c.addresses.Log + "/streams/" + url.PathEscape(stream) + "/records?" + query.Encode()
	if err := c.getJSON(ctx, endpoint, &result); err != nil {
		return rollout.ReadResult{}, rollout.Wrapf(err, "read %s from %d", stream, from)
	}
	for i, e := range result.Records {
		if e.Offset < from || (i > 0 && e.Offset <= result.Records[i-1].Offset) {
			return rollout.ReadResult{}, fmt.Errorf("read %s from %d: offset %d is out of order", stream, from, e.Offset)
		}
	}
	return result, nil
}

// Latest returns the newest version of each model in the weight store.
func (c *Client) Latest(ctx context.Context) (map[rollout.ModelName]rollout.WeightVersion, error) {
	var versions map[rollout.ModelName]rollout.WeightVersion
	err := c.getJSON(ctx, "http://"+c.addresses.Weights+"/weights", &versions)
	return versions, rollout.Wrapf(err, "get the latest versions from the weight store")
}

// List returns the platform's list of VMs. If the platform sends entity tags, an
// unchanged list is not transferred again.
func (c *Client) List(ctx context.Context) ([]rollout.ListedVM, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.addresses.VMs+"/vms", nil)
	if err != nil {
		return nil, rollout.Fail(rollout.NotRun, rollout.ReasonBadRequest, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.etag != "" {
		r.Header.Set("If-None-Match", c.etag)
	}
	response, err := c.client.Do(r)
	if err != nil {
		return nil, rollout.Wrapf(err, "get the list of VMs from the platform")
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotModified {
		return c.vms, nil
	}
	var list []rollout.ListedVM
	if err := decodeResponse(response, &list); err != nil {
		return nil, rollout.Wrapf(err, "get the list of VMs from the platform")
	}
	c.etag, c.vms = response.Header.Get("ETag"), list
	return list, nil
}

func (c *Client) getJSON(ctx context.Context, endpoint string, result any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, endpoint, nil)
	if err != nil {
		return rollout.Fail(rollout.NotRun, rollout.ReasonBadRequest, err)
	}
	return c.doJSON(r, result)
}

func (c *Client) doJSON(r *http.Request, result any) error {
	response, err := c.client.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return decodeResponse(response, result)
}

// decodeResponse decodes the JSON body of a response into result. It returns a
// Failure if the response is a refusal, is not complete or has a status other than
// 200.
func decodeResponse(response *http.Response, result any) error {
	if f := httpclient.Refusal(response); f != nil {
		if response.StatusCode == http.StatusTooManyRequests {
			f.Reason = rollout.ReasonLogLimited
		}
		return f
	}
	data, err := httpclient.ReadAll(response.Body, maxResponseBytes)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return rollout.Fail(rollout.MayHaveRun, rollout.ReasonLogUnavailable, fmt.Errorf("status %d", response.StatusCode))
	}
	if err := json.Unmarshal(data, result); err != nil {
		return rollout.Fail(rollout.MayHaveRun, rollout.ReasonLogUnavailable, err)
	}
	return nil
}
