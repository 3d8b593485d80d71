// Package identity lets a caller send a request again that must not run twice.
// The caller draws an identity from an entry VM and sends it with the request.
// Only the memory of the VM that minted the identity may run it: any other VM
// passes the request on. When that VM is gone, so is the right to run: the
// request is refused, and the refusal says that an earlier one may have run.
// No log and no other zone is needed.
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

// Numbers of the memory.
const (
	// remembered is how long an identity may be used after it was minted.
	remembered     = 10 * time.Minute
	maxIdentities  = 100_000
	maxAnswerBytes = 64 << 10
	base           = 36
)

// Identity is a minted identity in its parts.
type Identity struct {
	VM          rollout.VMName
	Incarnation uint64
	Sequence    uint64
}

// String returns the form that callers send.
func (i Identity) String() string {
	return string(i.VM) + "~" + strconv.FormatUint(i.Incarnation, base) + "~" + strconv.FormatUint(i.Sequence, base)
}

// Parse reads an identity.
func Parse(text string) (Identity, error) {
	parts := strings.Split(text, "~")
	if len(parts) != 3 {
		return Identity{}, fmt.Errorf("identity: got %q, expected one that an entry VM minted", text)
	}
	if err := rollout.CheckName("identity", parts[0]); err != nil {
		return Identity{}, err
	}
	incarnation, err1 := strconv.ParseUint(parts[1], base, 64)
	sequence, err2 := strconv.ParseUint(parts[2], base, 64)
	if err1 != nil || err2 != nil {
		return Identity{}, fmt.Errorf("identity: got %q, expected one that an entry VM minted", text)
	}
	return Identity{VM: rollout.VMName(parts[0]), Incarnation: incarnation, Sequence: sequence}, nil
}

// entry is the memory of one identity.
type entry struct {
	caller rollout.CallerName
	minted time.Time
	begun  bool
	done   chan struct{}
	answer rollout.CallAnswer
	err    error
	tooBig bool
}

// Mint mints identities and runs each at most once.
type Mint struct {
	vm          rollout.VMName
	incarnation uint64

	mu      sync.Mutex
	next    uint64
	oldest  uint64
	entries map[uint64]*entry
}

// New returns a mint whose identities no other process mints.
func New(vm rollout.VMName, incarnation uint64) *Mint {
	return &Mint{vm: vm, incarnation: incarnation, next: 1, oldest: 1, entries: map[uint64]*entry{}}
}

// New mints an identity for a caller.
func (m *Mint) New(now time.Time, c rollout.CallerName) (Identity, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.forget(now)
	if len(m.entries) >= maxIdentities {
		return Identity{}, rollout.Refuse(rollout.ReasonOverloaded, "%d identities are remembered", len(m.entries)).WithRetryAfter(time.Second)
	}
	id := Identity{VM: m.vm, Incarnation: m.incarnation, Sequence: m.next}
	m.entries[m.next] = &entry{caller: c, minted: now, done: make(chan struct{})}
	m.next++
	return id, nil
}

// forget drops identities whose time is over, in the order of minting; one that
// is running stays until it ends.
func (m *Mint) forget(now time.Time) {
	for m.oldest < m.next {
		e := m.entries[m.oldest]
		if e != nil {
			if now.Sub(e.minted) < remembered || (e.begun && !e.ended()) {
				return
			}
			delete(m.entries, m.oldest)
		}
		m.oldest++
	}
}

func (e *entry) ended() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

// Mine reports whether this process minted the identity.
func (m *Mint) Mine(id Identity) bool {
	return id.VM == m.vm && id.Incarnation == m.incarnation
}

// Run runs the call of an identity the first time it is asked to, and gives
// every later request the same answer.
func (m *Mint) Run(ctx context.Context, id Identity, c rollout.CallerName, call func() (rollout.CallAnswer, error)) (rollout.CallAnswer, error) {
	e, first, err := m.begin(id, c)
	if err != nil {
		return rollout.CallAnswer{}, err
	}
	if first {
		e.answer, e.err = call()
		answer := e.answer
		if len(e.answer.Body) > maxAnswerBytes {
			e.answer, e.tooBig = rollout.CallAnswer{}, true
		}
		m.settle(id, e)
		return answer, e.err
	}
	select {
	case <-e.done:
	case <-ctx.Done():
		return rollout.CallAnswer{}, rollout.Fail(rollout.MayHaveRun, rollout.ReasonCanceled, ctx.Err())
	}
	if e.tooBig {
		f := rollout.Fail(rollout.Ran, rollout.ReasonAlreadyRequested, nil)
		return rollout.CallAnswer{}, f.WithDetail("the request ran; its answer was too long to keep")
	}
	return e.answer, e.err
}

// settle ends a run. A call that certainly did not run may be tried again under
// the same identity.
func (m *Mint) settle(id Identity, e *entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e.err != nil && rollout.VerdictOf(e.err) == rollout.NotRun {
		m.entries[id.Sequence] = &entry{caller: e.caller, minted: e.minted, done: make(chan struct{})}
	}
	close(e.done)
}

func (m *Mint) begin(id Identity, c rollout.CallerName) (*entry, bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.entries[id.Sequence]
	if !m.Mine(id) || e == nil || e.caller != c {
		f := rollout.Fail(rollout.MayHaveRun, rollout.ReasonIdentityUnknown, nil)
		return nil, false, f.WithDetail("identity %s is not remembered; this request was not run, an earlier one may have", id)
	}
	first := !e.begun
	e.begun = true
	return e, first, nil
}
