package weights

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lagoonlink.org/rollout"
)

// ClaimSchema is the schema of claim records that this program reads.
const ClaimSchema = 1

const maxClaimBytes = 1 << 10

// Claim is a VM's record that it will send the orders of a key.
type Claim struct {
	Schema int
	// Key names what is claimed, such as the orders of a pool in a zone.
	Key string
	VM  rollout.VMName
	// Nonce tells the claims of one VM apart.
	Nonce uint64
	// Prior is one more than the offset of the key's previous record, or 0 when
	// the claimant knows of none.
	Prior rollout.Offset
}

// EncodeClaim returns the log record of a claim.
func EncodeClaim(c Claim) ([]byte, error) {
	c.Schema = ClaimSchema
	data, err := cbor.Marshal(c)
	return data, rollout.Tried(err, "encode a claim")
}

// DecodeClaim reads and checks a claim record.
func DecodeClaim(data []byte) (Claim, error) {
	var c Claim
	if len(data) > maxClaimBytes {
		return c, fmt.Errorf("claim: got %d bytes, expected at most %d", len(data), maxClaimBytes)
	}
	if err := cbor.Unmarshal(data, &c); err != nil {
		return Claim{}, rollout.Tried(err, "decode a claim")
	}
	if c.Schema != ClaimSchema {
		return Claim{}, fmt.Errorf("claim: got schema %d, expected %d", c.Schema, ClaimSchema)
	}
	if c.Key == "" || c.VM == "" {
		return Claim{}, fmt.Errorf("claim: expected Key and VM")
	}
	return c, nil
}

// holding is what the records say of one key.
type holding struct {
	// last is one more than the offset of the key's last record.
	last   rollout.Offset
	holder Claim
	fence  rollout.Offset
	// heard is when this VM read the key's last record.
	heard time.Time
}

// Claims folds the stream of claims. A claim is accepted when no other record
// of its key lies between its Prior and itself: the first of two racing claims
// wins, in the order of the log, on every VM alike.
type Claims struct {
	keys map[string]holding
	next rollout.Offset
}

// NewClaims returns a fold that has read nothing.
func NewClaims() *Claims { return &Claims{keys: map[string]holding{}} }

// Next returns the offset to read from.
func (c *Claims) Next() rollout.Offset { return c.next }

// Read folds records that were read at a time. Records that are not claims are
// passed over.
func (c *Claims) Read(now time.Time, r rollout.ReadResult) {
	for _, e := range r.Records {
		if e.Offset < c.next {
			continue
		}
		c.next = e.Offset + 1
		if claim, err := DecodeClaim(e.Data); err == nil {
			c.one(now, e.Offset, claim)
		}
	}
	c.next = max(c.next, r.First)
}

func (c *Claims) one(now time.Time, at rollout.Offset, claim Claim) {
	h, known := c.keys[claim.Key]
	if !known || claim.Prior == h.last {
		h.holder, h.fence = claim, at+1
	}
	h.last, h.heard = at+1, now
	c.keys[claim.Key] = h
}

// Fence returns the fencing number of the key's holder, which is one more than
// its claim's offset, if the holder is the given claim.
func (c *Claims) Fence(claim Claim) (rollout.Offset, bool) {
	h, known := c.keys[claim.Key]
	won := known && h.holder.VM == claim.VM && h.holder.Nonce == claim.Nonce
	return h.fence, won
}

// Prior returns what a new claim of the key must name, and whether the key may
// be claimed now: its last record was read longer than a lease and a guard ago.
func (c *Claims) Prior(now time.Time, key string, lease, guard time.Duration) (rollout.Offset, bool) {
	h, known := c.keys[key]
	if !known {
		return 0, true
	}
	return h.last, now.Sub(h.heard) > lease+guard
}
