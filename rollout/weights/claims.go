package weights

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lagoonlink.org/rollout"
)

// ClaimSchema is the schema version of the claim records that this program writes
// and accepts.
const ClaimSchema = 1

const maxClaimBytes = 1 << 10

// Claim is a log record by which a VM claims the right to send the orders of a key.
type Claim struct {
	Schema int
	// Key identifies what is claimed, for example the orders of a pool in a zone.
	Key string
	VM  rollout.VMName
	// Nonce distinguishes the claims of one VM.
	Nonce uint64
	// Prior is one more than the offset of the key's previous record, or 0 if the
	// VM knows of none.
	Prior rollout.Offset
}

// EncodeClaim encodes a claim with the current schema version.
func EncodeClaim(c Claim) ([]byte, error) {
	c.Schema = ClaimSchema
	data, err := cbor.Marshal(c)
	return data, rollout.Wrapf(err, "encode claim")
}

// DecodeClaim decodes and validates a claim record.
func DecodeClaim(data []byte) (Claim, error) {
	var c Claim
	if len(data) > maxClaimBytes {
		return c, fmt.Errorf("claim: got %d bytes, expected at most %d", len(data), maxClaimBytes)
	}
	if err := cbor.Unmarshal(data, &c); err != nil {
		return Claim{}, rollout.Wrapf(err, "decode claim")
	}
	if c.Schema != ClaimSchema {
		return Claim{}, fmt.Errorf("claim: got schema %d, expected %d", c.Schema, ClaimSchema)
	}
	if c.Key == "" || c.VM == "" {
		return Claim{}, fmt.Errorf("claim: got an empty Key or VM, expected both to be set")
	}
	return c, nil
}

// keyState is the state of one key, derived from its records.
type keyState struct {
	// prior is one more than the offset of the key's last record, which is the
	// Prior that the next claim must carry.
	prior rollout.Offset
	// holder is the claim that was accepted last, and fence its fencing token.
	holder Claim
	fence  rollout.Offset
	// readAt is the time at which this VM read the key's last record.
	readAt time.Time
}

// Claims derives the holder of each key from the stream of claims. A claim is
// accepted if no other record of its key lies between its Prior and itself. Of two
// concurrent claims the first in the log wins, so all VMs agree on the holder.
type Claims struct {
	keys map[string]keyState
	next rollout.Offset
}

// NewClaims returns a Claims to which no record has been applied.
func NewClaims() *Claims { return &Claims{keys: map[string]keyState{}} }

// Next returns the offset from which to read the stream next.
func (c *Claims) Next() rollout.Offset { return c.next }

// Apply applies records that were read at time now. Records that were applied
// before and records that are not valid claims are skipped.
func (c *Claims) Apply(now time.Time, r rollout.ReadResult) {
	for _, e := range r.Records {
		if e.Offset < c.next {
			continue
		}
		c.next = e.Offset + 1
		if claim, err := DecodeClaim(e.Data); err == nil {
			c.apply(now, e.Offset, claim)
		}
	}
	c.next = max(c.next, r.First)
}

func (c *Claims) apply(now time.Time, offset rollout.Offset, claim Claim) {
	state, known := c.keys[claim.Key]
	if !known || claim.Prior == state.prior {
		state.holder, state.fence = claim, offset+1
	}
	state.prior, state.readAt = offset+1, now
	c.keys[claim.Key] = state
}

// Fence returns the fencing token of the current holder of the claim's key, and
// reports whether the given claim is that holder. The token is one more than the
// offset of the holder's claim.
func (c *Claims) Fence(claim Claim) (rollout.Offset, bool) {
	state, known := c.keys[claim.Key]
	won := known && state.holder.VM == claim.VM && state.holder.Nonce == claim.Nonce
	return state.fence, won
}

// Prior returns the Prior that a new claim of the key must carry, and reports
// whether the key may be claimed now. It may if the key has no records, or if this
// VM read the last one more than lease plus guard ago. The guard is the margin
// between the holder's measurement of its lease and this VM's.
func (c *Claims) Prior(now time.Time, key string, lease, guard time.Duration) (rollout.Offset, bool) {
	state, known := c.keys[key]
	if !known {
		return 0, true
	}
	return state.prior, now.Sub(state.readAt) > lease+guard
}
