package attempt

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/uber-go/tally/v4"

	"lagoonlink.org/lagoonlink/internal/dispatch"
	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/hop"
	"lagoonlink.org/lagoonlink/internal/inforce"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/httpclient"
	"lagoonlink.org/rollout/isolation"
	"lagoonlink.org/rollout/service"
)

const (
	// maxPeers limits the VMs that an attempt is passed to in turn.
	maxPeers = 3
	// sampleSize limits the VMs that are asked at the same time whether they reach servers.
	sampleSize = 16
	// askTimeout limits the wait for their answers, and refreshInterval is how long these are
	// used.
	askTimeout      = 100 * time.Millisecond
	refreshInterval = 500 * time.Millisecond
	// isolatedRetryAfter is the retry delay if no VM reaches servers.
	isolatedRetryAfter = time.Second
)

// finalReasons are the reasons of refusals that other VMs would repeat.
var finalReasons = []rollout.Reason{rollout.ReasonUnknownTarget, rollout.ReasonBadRequest, rollout.ReasonSuspect, rollout.ReasonDeadline, rollout.ReasonCanceled}

func errNobodyReaches() error {
	return rollout.Refuse(rollout.ReasonNoServer, "no backend server is reached").WithRetryAfter(isolatedRetryAfter)
}

// ClientConfig configures a Client.
type ClientConfig struct {
	Zone rollout.Zone
	// VMs returns the other VMs that are alive. Whether they reach servers isn't known.
	VMs func() []isolation.Peer
	// HTTP sends requests to other VMs. It should find out by itself when one is gone.
	HTTP *httpclient.Client
	// Authorize adds the proof that the request comes from a VM to one for an address.
	Authorize func(r *http.Request, address string)
	// Silence limits the time between two pieces of a generation.
	Silence time.Duration
	InForce *inforce.Holder
	Logger  *event.Logger
	Metrics tally.Scope
}

// Client makes attempts through other VMs.
type Client struct {
	config ClientConfig
	// asking is held while other VMs are asked.
	asking chan struct{}
	// The fields below are guarded by asking. The elements of known don't change.
	known   []isolation.Peer
	askedAt time.Time
	turn    int
}

// NewClient returns a Client.
func NewClient(c ClientConfig) *Client {
	return &Client{config: c, asking: make(chan struct{}, 1), turn: rand.IntN(1 << 16)}
}

// peers returns what some of the other VMs say of themselves.
func (c *Client) peers(ctx context.Context) []isolation.Peer {
	select {
	case c.asking <- struct{}{}:
	case <-ctx.Done():
		return nil
	}
	defer func() { <-c.asking }()
	if time.Since(c.askedAt) >= refreshInterval {
		c.known = c.askAll(ctx, isolation.Sample(c.config.VMs(), c.config.Zone, sampleSize, c.turn))
		c.askedAt = time.Now()
		c.turn++
	}
	return c.known
}

// askAll asks VMs whether they make attempts and returns them with their answers.
func (c *Client) askAll(ctx context.Context, vms []isolation.Peer) []isolation.Peer {
	// The answers serve other requests too, so the departure of one caller doesn't matter.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), askTimeout)
	defer cancel()
	out := slices.Clone(vms)
	var group sync.WaitGroup
	for i := range out {
		group.Go(func() { out[i].Reaches = c.ask(ctx, out[i].Address) })
	}
	group.Wait()
	return out
}

// ask reports whether a VM makes attempts. An older build answers 404.
func (c *Client) ask(ctx context.Context, address string) bool {
	r, err := httpclient.NewRequest(ctx, http.MethodGet, "http://"+address+Path, nil)
	if err != nil {
		return false
	}
	c.config.Authorize(r, address)
	response, err := c.config.HTTP.Do(r)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	var a answer
	if response.StatusCode != http.StatusOK || hop.ReadHead(response.Body, &a, hop.MaxHeadBytes) != nil {
		return false
	}
	// Reading to the end keeps the connection.
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, hop.MaxHeadBytes))
	return a.Reaches && !a.Leaving
}

// refused records that a VM, which had said that it makes attempts, refused one because it
// reaches no server.
func (c *Client) refused(vm rollout.VMName) {
	c.asking <- struct{}{}
	defer func() { <-c.asking }()
	c.known = slices.Clone(c.known)
	for i := range c.known {
		if c.known[i].VM == vm {
			c.known[i].Reaches = false
		}
	}
}

// send passes an attempt to the first of up to maxPeers VMs that begins it. It returns the
// response, of which the head is read, unless the attempt failed, and the head, which names
// the server that the other VM chose, if any.
func (c *Client) send(ctx context.Context, id string, head requestHead, body []byte) (*http.Response, responseHead, error) {
	peers := isolation.Choose(c.peers(ctx), c.config.Zone, id)
	err := errNobodyReaches()
	for _, p := range peers[:min(maxPeers, len(peers))] {
		var response *http.Response
		var answer responseHead
		start := time.Now()
		response, answer, err = c.sendTo(ctx, p.Address, head, body)
		c.report(p.VM, id, start, err)
		if err == nil || answer.Server != "" || rollout.VerdictOf(err) != rollout.NotRun || slices.Contains(finalReasons, rollout.FailureOf(err).Reason) {
			return response, answer, err
		}
		if answer.Isolated {
			c.refused(p.VM)
		}
	}
	return nil, responseHead{}, err
}

func (c *Client) report(vm rollout.VMName, id string, start time.Time, err error) {
	c.config.Metrics.Counter("attempts_sent_to_peers").Inc(1)
	fields := event.Fields{"Request": id, "Peer": vm, "Attempts": 1, "Took": time.Since(start).Seconds(), "Outcome": "Begun"}
	if err != nil {
		fields["Outcome"], fields["Error"] = rollout.VerdictOf(err).String(), err
	}
	c.config.Logger.Write(event.PeerAsked, fields)
}

// sendTo passes an attempt to the VM at an address.
func (c *Client) sendTo(ctx context.Context, address string, head requestHead, body []byte) (*http.Response, responseHead, error) {
	var answer responseHead
	if v := c.config.InForce.Current(); v != nil {
		head.Version = v.Version
	}
	head.TimeLeft = hop.TimeLeft(ctx)
	message, err := hop.EncodeHead(&head, hop.MaxHeadBytes)
	if err != nil {
		return nil, answer, rollout.Fail(rollout.NotRun, rollout.ReasonTooLarge, err)
	}
	r, err := httpclient.NewRequest(ctx, http.MethodPost, "http://"+address+Path, message)
	if err != nil {
		return nil, answer, err
	}
	r.Body = io.NopCloser(io.MultiReader(bytes.NewReader(message), bytes.NewReader(body)))
	r.ContentLength = int64(len(message) + len(body))
	c.config.Authorize(r, address)
	response, err := c.config.HTTP.Do(r)
	if err != nil {
		return nil, answer, rollout.Wrapf(err, "pass an attempt to the VM at %s", address)
	}
	if answer, err = readAnswer(response); err != nil {
		_ = response.Body.Close()
		return nil, answer, rollout.Wrapf(err, "attempt by the VM at %s", address)
	}
	return response, answer, nil
}

// readAnswer reads the head of a response. The error is the failure that the head states, or
// why there is none.
func readAnswer(response *http.Response) (responseHead, error) {
	var answer responseHead
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound, http.StatusUnauthorized:
		// The VM runs a build without attempts, or doesn't accept the key any more.
		return answer, rollout.Fail(rollout.NotRun, rollout.ReasonPeerUnreachable, fmt.Errorf("status %d", response.StatusCode))
	default:
		return answer, rollout.Fail(rollout.MayHaveRun, rollout.ReasonPeerUnreachable, fmt.Errorf("status %d", response.StatusCode))
	}
	if err := hop.ReadHead(response.Body, &answer, hop.MaxHeadBytes); err != nil {
		return responseHead{}, rollout.Fail(rollout.MayHaveRun, rollout.ReasonPeerUnreachable, err)
	}
	if answer.Failure != nil {
		return answer, answer.Failure.Err()
	}
	return answer, nil
}

// call makes a call through another VM. It also returns the server that was called, if any.
func (c *Client) call(ctx context.Context, request dispatch.Request, call rollout.Call) (rollout.CallResponse, rollout.ServerName, error) {
	head, body := newRequestHead(request), call.Body
	call.Body = nil
	head.Call = &call
	response, answer, err := c.send(ctx, call.ID, head, body)
	if err != nil {
		return rollout.CallResponse{}, answer.Server, err
	}
	defer response.Body.Close()
	// Older builds pass invalid heads of services on.
	if err := httpclient.CheckStatus(answer.Status); err != nil {
		return rollout.CallResponse{}, answer.Server, rollout.Fail(rollout.MayHaveRun, rollout.ReasonServerFailed, err)
	}
	data, err := c.config.HTTP.ReadBody(response.Body, service.MaxResponseBytes)
	if err != nil {
		return rollout.CallResponse{}, answer.Server, rollout.Wrapf(err, "read a response that another VM passes on")
	}
	return rollout.CallResponse{Status: answer.Status, ContentType: answer.ContentType, Body: data}, answer.Server, nil
}

// generate begins a generation through another VM. It also returns the server that runs it,
// if any.
func (c *Client) generate(ctx context.Context, request dispatch.Request, g rollout.Generation) (rollout.PieceReader, rollout.ServerName, error) {
	body, err := cbor.Marshal(g)
	if err != nil {
		return nil, "", rollout.Fail(rollout.NotRun, rollout.ReasonBadRequest, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	response, answer, err := c.send(ctx, g.ID, newRequestHead(request), body)
	if err != nil {
		cancel()
		return nil, answer.Server, err
	}
	return &pieceReader{body: response.Body, cancel: cancel, silence: time.AfterFunc(c.config.Silence, cancel), limit: c.config.Silence}, answer.Server, nil
}

// pieceReader reads the pieces that another VM passes on.
type pieceReader struct {
	body     io.ReadCloser
	cancel   context.CancelFunc
	finished bool
	// silence cancels the attempt if no piece was received for limit.
	silence *time.Timer
	limit   time.Duration
}

var errIncomplete = errors.New("the generation ended before its last piece")

// Next returns the next piece, or io.EOF after the end of a complete generation.
func (r *pieceReader) Next() (rollout.Piece, error) {
	var p pieceHead
	err := hop.ReadHead(r.body, &p, maxPieceBytes)
	r.silence.Reset(r.limit)
	switch {
	case err == nil && p.Failure != nil:
		return rollout.Piece{}, p.Failure.Err()
	case err == nil && p.End && r.finished:
		// Reading to the end keeps the connection.
		_, _ = io.Copy(io.Discard, io.LimitReader(r.body, 1))
		return rollout.Piece{}, io.EOF
	case err == nil && (p.End || r.finished):
		err = errIncomplete
	case errors.Is(err, io.EOF):
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return rollout.Piece{}, rollout.Fail(rollout.MayHaveRun, rollout.ReasonTruncated, err)
	}
	r.finished = p.Finish != ""
	return rollout.Piece{Text: p.Text, Tokens: p.Tokens, Version: p.Version, Finish: p.Finish}, nil
}

// Close ends the attempt. The other VM cancels it unless it has ended.
func (r *pieceReader) Close() error {
	r.silence.Stop()
	r.cancel()
	return r.body.Close()
}
