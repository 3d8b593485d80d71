package memory

import (
	"container/list"
	"time"
)

// A caller makes progress when it has sent or received minProgressBytes, and at least the
// progressParts-th part of its holding. Otherwise single bytes would protect a large holding
// from eviction.
const (
	minProgressBytes = 1 << 10
	progressParts    = 256
)

// Share is a part of the account.
type Share uint8

// Shares of the account.
const (
	// Common is the part that any request may use.
	Common Share = iota
	// Small is the part that only small requests may use.
	Small
)

// String returns the name of the share as used in logs and metrics.
func (s Share) String() string {
	if s == Small {
		return "small"
	}
	return "common"
}

// Holding is the memory of one request and its response. The zero value holds nothing.
type Holding struct {
	bytes int64
	share Share
	// progress is when the caller last made progress, moved the bytes that it has sent or
	// received since. They are meaningful while element is not nil, which is the holding's
	// place in the account's order.
	progress time.Time
	moved    int64
	element  *list.Element
	// evicted reports whether Evict has returned the holding.
	evicted bool
}

// Bytes returns the size of the holding.
func (h *Holding) Bytes() int64 { return h.bytes }

// Account records who holds how much memory. It is not safe for concurrent use.
type Account struct {
	limits      Limits
	used        [2]int64
	connections int64
	// order holds the holdings that wait for their callers, least recent progress first.
	order *list.List
}

// NewAccount returns an account of which nothing is used.
func NewAccount(l Limits) *Account { return &Account{limits: l, order: list.New()} }

// Used returns the bytes that are reserved in a share.
func (a *Account) Used(s Share) int64 { return a.used[s] }

// Capacity returns the bytes that can be reserved in a share at the present number of
// connections.
func (a *Account) Capacity(s Share) int64 {
	if s == Small {
		return a.limits.Small
	}
	return max(0, a.limits.Total-a.limits.Small-a.connections*ConnectionBytes)
}

// capacityFor returns the bytes of the common share that may be in use once a holding has the
// given size.
func (a *Account) capacityFor(size int64) int64 {
	if size <= MediumRequestBytes {
		return a.Capacity(Common)
	}
	return max(0, a.Capacity(Common)-a.limits.Medium)
}

// Fits reports whether a holding of n bytes fits while nothing else is reserved.
func (a *Account) Fits(n int64) bool {
	most := a.limits.Total - a.limits.Small
	if n > MediumRequestBytes {
		most -= a.limits.Medium
	}
	return n <= most || n <= min(SmallRequestBytes, a.limits.Small)
}

// Connect records that a connection was opened, Disconnect that one was closed.
func (a *Account) Connect() { a.connections++ }

// Disconnect records that a connection was closed.
func (a *Account) Disconnect() { a.connections-- }

// Reserve adds n bytes to a holding. It returns false and changes nothing if there is no
// room. A holding of a small request that outgrows SmallRequestBytes moves to the common
// share.
func (a *Account) Reserve(h *Holding, n int64) bool {
	size := h.bytes + n
	if (h.bytes == 0 || h.share == Small) && size <= SmallRequestBytes && a.used[Small]+n <= a.limits.Small {
		h.share, h.bytes = Small, size
		a.used[Small] += n
		return true
	}
	added := n
	if h.share == Small {
		added = size
	}
	if a.used[Common]+added > a.capacityFor(size) {
		return false
	}
	if h.share == Small {
		a.used[Small] -= h.bytes
	}
	a.used[Common] += added
	h.share, h.bytes = Common, size
	return true
}

// Shrink returns n bytes of a holding, at most all of them.
func (a *Account) Shrink(h *Holding, n int64) {
	n = min(n, h.bytes)
	h.bytes -= n
	a.used[h.share] -= n
}

// Await records that a holding waits for its caller, to send the rest of a body or to
// receive a response, until Settle.
func (a *Account) Await(h *Holding, now time.Time) {
	h.progress, h.moved = now, 0
	if h.element == nil {
		h.element = a.order.PushBack(h)
		return
	}
	a.order.MoveToBack(h.element)
}

// Moved records that the caller of a holding that waits for it sent or received n bytes.
func (a *Account) Moved(h *Holding, n int64, now time.Time) {
	h.moved += n
	if h.element != nil && h.moved >= max(minProgressBytes, h.bytes/progressParts) {
		a.Await(h, now)
	}
}

// Settle records that a holding no longer waits for its caller.
func (a *Account) Settle(h *Holding) {
	if h.element != nil {
		a.order.Remove(h.element)
		h.element = nil
	}
}

// Free returns all memory of a holding.
func (a *Account) Free(h *Holding) {
	a.Settle(h)
	a.Shrink(h, h.bytes)
}

// Evict returns the holdings whose connections must be closed so that n more bytes fit into
// a holding: those with the least recent progress first, and only those without progress
// since before. It returns none if that is not enough. Each holding is returned once; its
// memory is free once its request has ended.
func (a *Account) Evict(h *Holding, n int64, before time.Time) []*Holding {
	size := h.bytes + n
	if (h.bytes == 0 || h.share == Small) && size <= SmallRequestBytes {
		if out := a.evict(Small, a.limits.Small, h, n, before); len(out) > 0 {
			return out
		}
	}
	if h.share == Small {
		n = size
	}
	return a.evict(Common, a.capacityFor(size), h, n, before)
}

func (a *Account) evict(s Share, capacity int64, except *Holding, n int64, before time.Time) []*Holding {
	var out []*Holding
	missing := a.used[s] + n - capacity
	for e := a.order.Front(); e != nil && missing > 0; e = e.Next() {
		h := e.Value.(*Holding)
		if !h.progress.Before(before) {
			break
		}
		if h.share != s || h == except {
			continue
		}
		missing -= h.bytes
		if !h.evicted {
			out = append(out, h)
		}
	}
	if missing > 0 {
		return nil
	}
	for _, h := range out {
		h.evicted = true
	}
	return out
}
