package attempt

import (
	"errors"
	"fmt"
	"time"

	"lagoonlink.org/lagoonlink/internal/dispatch"
	"lagoonlink.org/lagoonlink/internal/hop"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/placement"
	"lagoonlink.org/rollout/request"
)

// Path is the path of attempts of form 1 on the peers' port: GET asks whether the VM makes
// attempts, POST passes one to it.
const Path = "/attempts/1"

// maxPieceBytes limits an encoded piece. The text of a piece has at most 1 MiB.
const maxPieceBytes = 2 << 20

// answer is the response to the question whether a VM makes attempts.
type answer struct {
	// Reaches reports whether the VM reaches backend servers.
	Reaches bool
	// Leaving reports whether the VM is stopping.
	Leaving bool `cbor:",omitempty"`
}

// Check accepts any answer.
func (a *answer) Check() error { return nil }

// requestHead is everything of an attempt but its body: that of the call, or the
// rollout.Generation in CBOR. The body of a control is empty.
type requestHead struct {
	Pool    rollout.PoolName    `cbor:",omitempty"`
	Service rollout.ServiceName `cbor:",omitempty"`
	// Class, Model, MinVersion, Prefix and Avoid are those of placement.Requirements.
	Class      rollout.Class
	Model      rollout.ModelName     `cbor:",omitempty"`
	MinVersion rollout.WeightVersion `cbor:",omitempty"`
	Prefix     uint64                `cbor:",omitempty"`
	Avoid      []rollout.ServerName  `cbor:",omitempty"`
	// Tenant, Share, Cost, Boost and Fingerprint are those of dispatch.Request.
	Tenant      string
	Share       int
	Cost        float64
	Boost       bool `cbor:",omitempty"`
	Fingerprint request.Fingerprint
	// Version is that of the configuration in force at the VM that sends the attempt.
	Version rollout.ConfigurationVersion
	// TimeLeft is the time in milliseconds that is left when the attempt is sent; 0 means no
	// limit.
	TimeLeft int64 `cbor:",omitempty"`
	// Call is that of a service, without its body. Control is set in place of a generation.
	Call    *rollout.Call `cbor:",omitempty"`
	Control *control      `cbor:",omitempty"`
}

// control is an order to an engine, or the request for its load report if Order is nil.
type control struct {
	Address string
	Order   *rollout.Order `cbor:",omitempty"`
}

// newRequestHead returns the head of an attempt without Version, TimeLeft, Call and Control.
func newRequestHead(r dispatch.Request) requestHead {
	q := r.Requirements
	return requestHead{
		Pool: r.Target.Pool, Service: r.Target.Service, Class: q.Class, Model: q.Model, MinVersion: q.MinVersion, Prefix: q.Prefix, Avoid: q.Avoid,
		Tenant: r.Tenant, Share: r.Share, Cost: r.Cost, Boost: r.Boost, Fingerprint: r.Fingerprint,
	}
}

func (h *requestHead) request(deadline time.Time) dispatch.Request {
	return dispatch.Request{
		Target:       dispatch.Target{Pool: h.Pool, Service: h.Service},
		Requirements: placement.Requirements{Class: h.Class, Model: h.Model, MinVersion: h.MinVersion, Prefix: h.Prefix, Avoid: h.Avoid},
		Tenant:       h.Tenant, Share: h.Share, Cost: h.Cost, Boost: h.Boost, Fingerprint: h.Fingerprint, Deadline: deadline,
	}
}

// Check returns an error for the first invalid field.
func (h *requestHead) Check() error {
	switch {
	case (h.Pool == "") == (h.Service == ""):
		return fmt.Errorf("Pool, Service: got %q and %q, expected one of them", h.Pool, h.Service)
	case (h.Call == nil) != (h.Service == ""):
		return errors.New("Call: expected a call exactly for a service")
	case h.Control != nil && (h.Call != nil || h.Control.Address == ""):
		return errors.New("Control: expected an address and no call")
	case h.TimeLeft < 0 || h.Share < 0 || !(h.Cost >= 0):
		return fmt.Errorf("TimeLeft, Share, Cost: got %d, %d and %g, expected no negative one", h.TimeLeft, h.Share, h.Cost)
	case h.Class > rollout.ClassScoring:
		return fmt.Errorf("Class: got %d, expected a known class", h.Class)
	}
	return nil
}

// responseHead precedes the body of a call's response, or the pieces of a generation.
type responseHead struct {
	// Server made the attempt. It is empty if the VM refused it.
	Server rollout.ServerName `cbor:",omitempty"`
	// Isolated reports whether the VM refused because it reaches no server itself.
	Isolated bool         `cbor:",omitempty"`
	Failure  *hop.Failure `cbor:",omitempty"`
	// Load is the report of an engine.
	Load rollout.LoadReport `cbor:",omitzero"`
	// Status and ContentType are those of a call's response.
	Status      int    `cbor:",omitempty"`
	ContentType string `cbor:",omitempty"`
}

// Check returns an error for the first invalid field.
func (h *responseHead) Check() error {
	if h.Failure == nil && h.Server == "" {
		return errors.New("Server, Failure: got none of them")
	}
	return nil
}

// pieceHead is a piece of a generation, its end, or what ended it.
type pieceHead struct {
	Text    string                `cbor:",omitempty"`
	Tokens  int                   `cbor:",omitempty"`
	Version rollout.WeightVersion `cbor:",omitempty"`
	Finish  string                `cbor:",omitempty"`
	End     bool                  `cbor:",omitempty"`
	Failure *hop.Failure          `cbor:",omitempty"`
}

// Check returns an error for the first invalid field.
func (p *pieceHead) Check() error {
	if p.Tokens < 0 {
		return fmt.Errorf("Tokens: got %d, expected no negative number", p.Tokens)
	}
	return nil
}
