package forwarding

import (
	"fmt"

	"lagoonlink.org/lagoonlink/internal/hop"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/httpclient"
)

// path is the path of requests of form 1.
const path = "/forwarded/1"

// requestHead is everything of a request but its body, which follows it.
type requestHead struct {
	ID      string
	Method  string
	Host    string
	Target  string
	Header  []rollout.HeaderField
	Resumed bool   `cbor:",omitempty"`
	Resumes string `cbor:",omitempty"`
	Tenant  string `cbor:",omitempty"`
	// Version is that of the configuration under which the request was admitted.
	Version rollout.ConfigurationVersion
	// TimeLeft is the time in milliseconds that is left when the request is sent.
	TimeLeft int64
	// MaxAttempts limits the servers that the request may run on.
	MaxAttempts int
	// Counted reports whether the request was counted as begun before.
	Counted bool `cbor:",omitempty"`
}

// Check returns an error for the first invalid field.
func (h *requestHead) Check() error {
	if h.ID == "" || h.Method == "" || h.Target == "" {
		return fmt.Errorf("ID, Method, Target: got %q, %q, %q, expected no empty one", h.ID, h.Method, h.Target)
	}
	if h.TimeLeft < 1 || h.MaxAttempts < 1 {
		return fmt.Errorf("TimeLeft, MaxAttempts: got %d and %d, expected at least 1", h.TimeLeft, h.MaxAttempts)
	}
	return nil
}

// responseHead precedes the body of a response. Either Status or Failure is set.
type responseHead struct {
	Status   int                   `cbor:",omitempty"`
	Header   []rollout.HeaderField `cbor:",omitempty"`
	Streamed bool                  `cbor:",omitempty"`
	Failure  *hop.Failure          `cbor:",omitempty"`
}

// Check returns an error for the first invalid field. Older builds pass invalid heads of
// servers on.
func (h *responseHead) Check() error {
	if h.Failure != nil {
		return nil
	}
	if err := httpclient.CheckStatus(h.Status); err != nil {
		return fmt.Errorf("Status: %w", err)
	}
	for _, f := range h.Header {
		if err := httpclient.CheckFieldName(f.Name); err != nil {
			return fmt.Errorf("Header: %w", err)
		}
	}
	return nil
}
