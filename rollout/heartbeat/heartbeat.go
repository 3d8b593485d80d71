// Package heartbeat recognizes entries of service discovery that say the same as the former
// entry of their key and only show that the server lives.
package heartbeat

import (
	"bytes"
	"hash/maphash"
)

// Digests holds a digest of the newest entry of each key. A nil Digests recognizes nothing.
type Digests struct {
	number []byte
	seed   maphash.Seed
	byKey  map[string]uint64
}

// NewDigests returns a Digests without entries. The last occurrence of number in an entry
// precedes the decimal number by which heartbeats differ.
func NewDigests(number string) *Digests {
	return &Digests{number: []byte(number), seed: maphash.MakeSeed(), byKey: map[string]uint64{}}
}

// Repeats reports whether an entry differs from the newest one of its key at most in the
// number of the heartbeat, and keeps its digest.
func (d *Digests) Repeats(key string, value []byte) bool {
	if d == nil {
		return false
	}
	var h maphash.Hash
	h.SetSeed(d.seed)
	if i := bytes.LastIndex(value, d.number); i >= 0 {
		i += len(d.number)
		// Hash.Write never fails.
		_, _ = h.Write(value[:i])
		value = bytes.TrimLeft(value[i:], "0123456789")
	}
	_, _ = h.Write(value)
	digest := h.Sum64()
	old, known := d.byKey[key]
	d.byKey[key] = digest
	return known && old == digest
}

// Forget drops the digest of a key, so that its next entry is new.
func (d *Digests) Forget(key string) {
	if d != nil {
		delete(d.byKey, key)
	}
}

// Clear drops all digests.
func (d *Digests) Clear() {
	if d != nil {
		clear(d.byKey)
	}
}
