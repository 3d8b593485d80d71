// Package publish appends a configuration to the platform's log and determines
// whether it was accepted. If the response to an append is lost, the client looks
// for the publication on the log and appends it again with the same ID if it is not
// there. A publication counts once, however often it was appended.
package publish

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/configuration"
)

// Limits and timeouts of calls to the log.
const (
	readLimit   = 256
	readWait    = 200 * time.Millisecond
	callTimeout = 5 * time.Second
	retryDelay  = 200 * time.Millisecond
	idBytes     = 12
)

// Client reads and publishes configurations.
type Client struct {
	log  rollout.Log
	fold *configuration.Fold
}

// New returns a client. Its checks must be those of the deployment's entry VMs.
func New(l rollout.Log, c configuration.Checks) *Client {
	return &Client{log: l, fold: configuration.NewFold(c)}
}

// Read reads the log to its end and returns the state that its records fold to. It
// retries until the log answers and has a snapshot to start from, or until the
// context ends. A record with an unknown schema is an error at once.
func (c *Client) Read(ctx context.Context) (configuration.State, error) {
	for {
		s, err := c.readToEnd(ctx)
		var unknown schemaError
		if err == nil || ctx.Err() != nil || errors.As(err, &unknown) {
			return s, err
		}
		time.Sleep(retryDelay)
	}
}

// schemaError reports a record whose schema this program does not know.
type schemaError struct{ offset rollout.Offset }

func (e schemaError) Error() string {
	return fmt.Sprintf("the record at offset %d has a schema that this program does not know: upgrade lagoonctl", e.offset)
}

func (c *Client) readToEnd(ctx context.Context) (configuration.State, error) {
	for {
		r, err := c.readOnce(ctx)
		if err != nil {
			return configuration.State{}, err
		}
		c.fold.Apply(r)
		if offset, blocked := c.fold.Blocked(); blocked {
			return configuration.State{}, schemaError{offset}
		}
		if len(r.Records) > 0 && r.Records[len(r.Records)-1].Offset+1 < r.Next {
			continue
		}
		s, ok := c.fold.State()
		if !ok {
			return configuration.State{}, fmt.Errorf("the log has no snapshot to start from: wait until an entry VM appends one")
		}
		return s, nil
	}
}

func (c *Client) readOnce(ctx context.Context) (rollout.ReadResult, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.log.Read(ctx, rollout.StreamConfiguration, c.fold.Next(), readLimit, readWait)
}

// Request is a configuration that an operator wants to publish.
type Request struct {
	Document []byte
	// Base is the version that the change is based on, or 0 for the first
	// publication.
	Base   rollout.ConfigurationVersion
	Author string
	// Accept names the dangerous changes that the operator accepts.
	Accept []string
	// Key signs the publication; if it is nil, the publication is unsigned.
	Key ed25519.PrivateKey
}

// Publish appends a publication and returns its outcome and the state after it. It
// retries appends that were lost or rejected until the context ends; the error then
// says that the outcome is unknown.
func (c *Client) Publish(ctx context.Context, r Request) (configuration.Outcome, configuration.State, error) {
	p := configuration.Publication{ID: newID(), Base: r.Base, Author: r.Author, Accept: r.Accept, Document: r.Document}
	if r.Key != nil {
		p.Signature = ed25519.Sign(r.Key, p.SigningBytes())
	}
	record, err := configuration.EncodeRecord(configuration.Record{Publication: &p})
	if err != nil {
		return configuration.Outcome{}, configuration.State{}, err
	}
	for {
		appendErr := c.append(ctx, record)
		if s, err := c.Read(ctx); err == nil {
			if o, found := s.Outcome(p.ID); found {
				return o, s, nil
			}
		}
		if ctx.Err() != nil {
			return configuration.Outcome{}, configuration.State{}, fmt.Errorf("publication %s: it is not known whether it was appended: %w", p.ID, firstError(appendErr, ctx.Err()))
		}
		time.Sleep(retryDelay)
	}
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (c *Client) append(ctx context.Context, record []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := c.log.Append(ctx, rollout.StreamConfiguration, record)
	return err
}

func newID() string {
	id := make([]byte, idBytes)
	// rand.Read never returns an error.
	_, _ = rand.Read(id)
	return hex.EncodeToString(id)
}
