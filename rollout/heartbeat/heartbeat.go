// Package heartbeat recognizes entries of service discovery that say the same as the former
// entry of their key and only show that the server lives.
package heartbeat

import (
	"bytes"
	"hash/maphash"
	"strconv"

	"lagoonlink.org/rollout"
)

// Digests holds a digest of the newest entry of each key. A nil Digests recognizes nothing.
type Digests struct {
	number []byte
	seed   maphash.Seed
	byKey  map[string]digest
	// round counts the snapshots. Entries don't repeat those of earlier rounds.
	round int
}

// digest is what is kept of an entry.
type digest struct {
	// hash is that of the entry without its number.
	hash uint64
	// sequence is one more than the number of the heartbeat, or 0 if it has none.
	sequence uint64
	round    int
}

// NewDigests returns a Digests without entries. The last occurrence of number in an entry
// precedes the decimal number by which heartbeats differ.
func NewDigests(number string) *Digests {
	return &Digests{number: []byte(number), seed: maphash.MakeSeed(), byKey: map[string]digest{}}
}

// Repeats reports whether an entry differs from the newest one of its key at most in the
// number of the heartbeat, and keeps its digest. If the number is lower than before, neither
// the entry nor the next one is a heartbeat: which of them is newer is not decided here.
func (d *Digests) Repeats(key string, value []byte) bool {
	if d == nil {
		return false
	}
	entry := d.digest(value)
	old, known := d.byKey[key]
	if known && entry.sequence < old.sequence {
		delete(d.byKey, key)
		return false
	}
	d.byKey[key] = entry
	return known && old.hash == entry.hash && old.round == entry.round
}

func (d *Digests) digest(value []byte) digest {
	entry := digest{round: d.round}
	var h maphash.Hash
	h.SetSeed(d.seed)
	if i := bytes.LastIndex(value, d.number); i >= 0 {
		i += len(d.number)
		// Hash.Write never fails.
		_, _ = h.Write(value[:i])
		rest := bytes.TrimLeft(value[i:], "0123456789")
		if n, err := strconv.ParseUint(string(value[i:len(value)-len(rest)]), 10, 63); err == nil {
			entry.sequence = n + 1
		}
		value = rest
	}
	_, _ = h.Write(value)
	entry.hash = h.Sum64()
	return entry
}

// Forget drops the digest of a key, so that its next entry is new. It returns the sequence
// number of its newest entry, as in rollout.RegisteredServer, or 0 if it isn't known.
func (d *Digests) Forget(key string) (sequence uint64) {
	if d == nil {
		return 0
	}
	sequence = d.byKey[key].sequence
	delete(d.byKey, key)
	return sequence
}

// StartSnapshot makes all further entries new.
func (d *Digests) StartSnapshot() {
	if d != nil {
		d.round++
	}
}

// Unlisted ends a snapshot. It drops the keys that the snapshot didn't have and returns the
// changes that deleted them.
func Unlisted[T any](d *Digests) []rollout.Change[T] {
	if d == nil {
		return nil
	}
	var changes []rollout.Change[T]
	for key, entry := range d.byKey {
		if entry.round < d.round {
			changes = append(changes, rollout.Change[T]{Key: key, Deleted: true, Sequence: entry.sequence})
			delete(d.byKey, key)
		}
	}
	return changes
}
