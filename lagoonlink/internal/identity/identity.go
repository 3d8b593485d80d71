// Package identity lets a caller safely resend a request that must run at most
// once. The caller obtains an identity from an entry VM and sends it with the
// request. Only the process that issued the identity, which keeps its state in
// memory, may run the request; any other VM forwards the request to it. If that
// process no longer exists, the request is rejected with the verdict that an
// earlier one may have run. This needs neither the platform's log nor another zone.
package identity

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"lagoonlink.org/rollout"
)

// Limits of the stored identities and responses.
const (
	// retention is how long an identity can be used after it was issued.
	retention        = 10 * time.Minute
	maxIdentities    = 100_000
	maxResponseBytes = 64 << 10
	encodingBase     = 36
)

// Identity is an identity in decoded form. Incarnation distinguishes the processes
// that have run under the same VM name.
type Identity struct {
	VM          rollout.VMName
	Incarnation uint64
	Sequence    uint64
}

// String returns the encoded form that callers send.
func (i Identity) String() string {
	return string(i.VM) + "~" + strconv.FormatUint(i.Incarnation, encodingBase) + "~" + strconv.FormatUint(i.Sequence, encodingBase)
}

// Parse decodes an identity from the form that String returns.
func Parse(encoded string) (Identity, error) {
	parts := strings.Split(encoded, "~")
	if len(parts) != 3 {
		return Identity{}, fmt.Errorf("identity: got %q, expected one issued by an entry VM", encoded)
	}
	if err := rollout.CheckName("identity", parts[0]); err != nil {
		return Identity{}, err
	}
	incarnation, incarnationErr := strconv.ParseUint(parts[1], encodingBase, 64)
	sequence, sequenceErr := strconv.ParseUint(parts[2], encodingBase, 64)
	if incarnationErr != nil || sequenceErr != nil {
		return Identity{}, fmt.Errorf("identity: got %q, expected one issued by an entry VM", encoded)
	}
	return Identity{VM: rollout.VMName(parts[0]), Incarnation: incarnation, Sequence: sequence}, nil
}

type record struct {
	caller          rollout.CallerName
	issuedAt        time.Time
	started         bool
	done            chan struct{}
	response        rollout.CallResponse
	err             error
	responseDropped bool
}

// Issuer issues identities and runs the call of each at most once.
type Issuer struct {
	vm          rollout.VMName
	incarnation uint64

	mu             sync.Mutex
	nextSequence   uint64
	oldestSequence uint64
	records        map[uint64]*record
}

// New returns an Issuer. No other process may use the same VM name with the same
// incarnation.
func New(vm rollout.VMName, incarnation uint64) *Issuer {
	return &Issuer{vm: vm, incarnation: incarnation, nextSequence: 1, oldestSequence: 1, records: map[uint64]*record{}}
}

// Issue returns a new identity that only the given caller can use. It fails if
// maxIdentities are stored.
func (i *Issuer) Issue(now time.Time, c rollout.CallerName) (Identity, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.expire(now)
	if len(i.records) >= maxIdentities {
		return Identity{}, rollout.Refuse(rollout.ReasonOverloaded, "%d identities are already stored", len(i.records)).WithRetryAfter(time.Second)
	}
	id := Identity{VM: i.vm, Incarnation: i.incarnation, Sequence: i.nextSequence}
	i.records[i.nextSequence] = &record{caller: c, issuedAt: now, done: make(chan struct{})}
	i.nextSequence++
	return id, nil
}

// expire removes identities older than retention, in the order in which they were
// issued. One whose call is still running stays until the call ends, and with it
// all later ones.
func (i *Issuer) expire(now time.Time) {
	for i.oldestSequence < i.nextSequence {
		r := i.records[i.oldestSequence]
		if r != nil {
			if now.Sub(r.issuedAt) < retention || (r.started && !r.ended()) {
				return
			}
			delete(i.records, i.oldestSequence)
		}
		i.oldestSequence++
	}
}

func (r *record) ended() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// Issued reports whether this process issued the identity.
func (i *Issuer) Issued(id Identity) bool {
	return id.VM == i.vm && id.Incarnation == i.incarnation
}

// Run calls the function on the first request with an identity and returns the
// same result to every later request, which waits for the first one to end. After
// a call that certainly did not run, the next request calls the function again. A
// response larger than maxResponseBytes is returned only to the first request; later
// ones get a failure with verdict Ran.
func (i *Issuer) Run(ctx context.Context, id Identity, c rollout.CallerName, call func() (rollout.CallResponse, error)) (rollout.CallResponse, error) {
	r, first, err := i.claim(id, c)
	if err != nil {
		return rollout.CallResponse{}, err
	}
	if first {
		r.response, r.err = call()
		response := r.response
		if len(r.response.Body) > maxResponseBytes {
			r.response, r.responseDropped = rollout.CallResponse{}, true
		}
		i.finish(id, r)
		return response, r.err
	}
	select {
	case <-r.done:
	case <-ctx.Done():
		return rollout.CallResponse{}, rollout.Fail(rollout.MayHaveRun, rollout.ReasonCanceled, ctx.Err())
	}
	if r.responseDropped {
		f := rollout.Fail(rollout.Ran, rollout.ReasonAlreadyRequested, nil)
		return rollout.CallResponse{}, f.WithDetail("the request ran, but its response was too large to store")
	}
	return r.response, r.err
}

// finish records the end of a call. If the call certainly did not run, the
// identity may be used for another try.
func (i *Issuer) finish(id Identity, r *record) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if r.err != nil && rollout.VerdictOf(r.err) == rollout.NotRun {
		i.records[id.Sequence] = &record{caller: r.caller, issuedAt: r.issuedAt, done: make(chan struct{})}
	}
	close(r.done)
}

// claim returns the record of an identity and whether this is the first request
// with it, which must run the call.
func (i *Issuer) claim(id Identity, c rollout.CallerName) (*record, bool, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	r := i.records[id.Sequence]
	if !i.Issued(id) || r == nil || r.caller != c {
		f := rollout.Fail(rollout.MayHaveRun, rollout.ReasonIdentityUnknown, nil)
		return nil, false, f.WithDetail("identity %s is unknown or expired; this request did not run, but an earlier one with the same identity may have run", id)
	}
	first := !r.started
	r.started = true
	return r, first, nil
}
