// Package forwarding passes callers' requests from a VM that reaches no backend server to one
// that does: one hop, never two (docs/design/unreachable-servers.md). A request is an HTTP
// request to the other VM's internal port, whose body is a head in CBOR and the caller's body;
// the response has the same form.
package forwarding

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"

	"lagoonlink.org/lagoonlink/internal/hop"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/httpclient"
	"lagoonlink.org/rollout/isolation"
)

// maxResponseBytes limits the body of a response that is not streamed.
const maxResponseBytes = 64 << 20

// Reach tells whether this VM reaches backend servers.
type Reach interface {
	Isolated(ctx context.Context) bool
}

// Directory knows the other VMs.
type Directory interface {
	Peers(ctx context.Context) []isolation.Peer
}

// ClientConfig configures a Client.
type ClientConfig struct {
	Zone rollout.Zone
	// HTTP bounds the memory of responses.
	HTTP      *httpclient.Client
	Reach     Reach
	Directory Directory
}

// Client sends requests to other VMs.
type Client struct{ config ClientConfig }

var _ rollout.PeerForwarder = (*Client)(nil)

// NewClient returns a Client.
func NewClient(c ClientConfig) *Client { return &Client{config: c} }

// Isolated implements rollout.PeerForwarder.
func (c *Client) Isolated(ctx context.Context) bool { return c.config.Reach.Isolated(ctx) }

// Peers implements rollout.PeerForwarder.
func (c *Client) Peers(ctx context.Context, id string) []rollout.PeerVM {
	var out []rollout.PeerVM
	for _, p := range isolation.Choose(c.config.Directory.Peers(ctx), c.config.Zone, id) {
		out = append(out, rollout.PeerVM{Name: p.VM, Address: p.Address})
	}
	return out
}

// Forward implements rollout.PeerForwarder. If the context ends, the connection is reset,
// which cancels the request at the other VM.
func (c *Client) Forward(ctx context.Context, to rollout.PeerVM, r rollout.ForwardedRequest, version rollout.ConfigurationVersion) (rollout.ForwardedResponse, error) {
	head := requestHead{
		ID: r.ID, Method: r.Method, Host: r.Host, Target: r.Target, Header: r.Header, Resumed: r.Resumed, Resumes: r.Resumes, Tenant: r.Tenant,
		Version: version, MaxAttempts: max(1, r.MaxAttempts), Counted: r.Counted, TimeLeft: max(1, hop.TimeLeft(ctx)),
	}
	message, err := hop.EncodeHead(&head, hop.MaxHeadBytes)
	if err != nil {
		return rollout.ForwardedResponse{}, rollout.Fail(rollout.NotRun, rollout.ReasonTooLarge, err)
	}
	request, err := httpclient.NewRequest(ctx, http.MethodPost, "http://"+to.Address+path, message)
	if err != nil {
		return rollout.ForwardedResponse{}, err
	}
	// The body is not copied: its memory is accounted for once.
	request.Body = io.NopCloser(io.MultiReader(bytes.NewReader(message), bytes.NewReader(r.Body)))
	request.ContentLength = int64(len(message) + len(r.Body))
	response, err := c.config.HTTP.Do(request)
	if err != nil {
		return rollout.ForwardedResponse{}, rollout.Wrapf(err, "forward to VM %s", to.Name)
	}
	out, err := c.read(response)
	return out, rollout.Wrapf(err, "response of VM %s", to.Name)
}

// read reads the response of another VM. Whatever can't be understood leaves it open whether
// the request has run.
func (c *Client) read(response *http.Response) (rollout.ForwardedResponse, error) {
	var head responseHead
	err := fmt.Errorf("status %d", response.StatusCode)
	if response.StatusCode == http.StatusOK {
		err = hop.ReadHead(response.Body, &head, hop.MaxHeadBytes)
	}
	if err != nil {
		_ = response.Body.Close()
		return rollout.ForwardedResponse{}, rollout.Fail(rollout.MayHaveRun, rollout.ReasonPeerUnreachable, err)
	}
	out := rollout.ForwardedResponse{Status: head.Status, Header: head.Header}
	if head.Streamed {
		out.Stream = response.Body
		return out, nil
	}
	defer response.Body.Close()
	out.Body, err = c.config.HTTP.ReadBody(response.Body, maxResponseBytes)
	if head.Failure != nil {
		err = head.Failure.Err()
	}
	if err != nil {
		return rollout.ForwardedResponse{}, err
	}
	return out, nil
}
