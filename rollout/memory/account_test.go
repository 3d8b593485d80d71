package memory_test

import (
	"testing"
	"time"

	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/memory"
)

const (
	kib = int64(1) << 10
	mib = int64(1) << 20
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestDerivedLimits guards against defaults that refuse a legal request on the smallest VM.
func TestDerivedLimits(t *testing.T) {
	l := memory.Derive(136*mib, 2870)
	a := memory.NewAccount(l)
	var h memory.Holding
	// A chunked body of 32 MiB grows from 8 to 32 MiB.
	for range 200 {
		a.Connect()
	}
	assert.True(t, "41 MiB fit on a VM with 136 MB beside 200 connections", a.Reserve(&h, 41*mib))
	var submission memory.Holding
	assert.True(t, "the submission of a job fits beside it", a.Reserve(&submission, 2*mib))
	assert.True(t, "connections", l.Connections >= 500)
	assert.Equal(t, "connections bounded by descriptors", memory.Derive(64*mib, 260).Connections, 30)
	assert.Equal(t, "connections of a VM without descriptors", memory.Derive(16*mib, 100).Connections, 16)
}

// TestShares guards against large requests that take the room of small ones, and against
// memory that is not returned.
func TestShares(t *testing.T) {
	a := memory.NewAccount(memory.Limits{Total: 2 * mib, Small: 256 * kib})
	var large, more, small memory.Holding
	assert.True(t, "a large request fits", a.Reserve(&large, 2*mib-256*kib))
	assert.True(t, "another one does not", !a.Reserve(&more, 65*kib))
	assert.True(t, "a small one does", a.Reserve(&small, 60*kib))
	assert.True(t, "it does not grow beyond its share", !a.Reserve(&small, 5*kib))
	assert.Equal(t, "size of the small one", small.Bytes(), 60*kib)
	a.Shrink(&large, mib)
	assert.True(t, "it grows when there is room", a.Reserve(&small, 5*kib))
	assert.Equal(t, "small share", a.Used(memory.Small), 0)
	a.Connect()
	assert.Equal(t, "capacity beside a connection", a.Capacity(memory.Common), 2*mib-256*kib-memory.ConnectionBytes)
	a.Free(&large)
	a.Free(&small)
	medium := memory.NewAccount(memory.Limits{Total: 8 * mib, Medium: 2 * mib})
	assert.True(t, "a large request takes the part of medium ones", !medium.Reserve(&large, 7*mib))
	assert.True(t, "a large request fits beside that part", medium.Reserve(&large, 6*mib))
	assert.True(t, "a medium one fits beside a large one", medium.Reserve(&more, 2*mib))
	assert.Equal(t, "common share", a.Used(memory.Common), 0)
}

// TestEviction guards against stalled requests that hold memory, and against the eviction of
// requests that make progress or wait for a server.
func TestEviction(t *testing.T) {
	a := memory.NewAccount(memory.Limits{Total: 4 * mib, Small: 64 * kib})
	var holdings [3]memory.Holding
	for n := range holdings {
		assert.True(t, "reserve", a.Reserve(&holdings[n], mib))
		a.Await(&holdings[n], start.Add(time.Duration(n)*time.Second))
	}
	var wanted memory.Holding
	evicted := func(at time.Duration) []*memory.Holding { return a.Evict(&wanted, 2*mib, start.Add(at)) }
	assert.Equal(t, "evicted without a stalled request", len(evicted(0)), 0)
	a.Moved(&holdings[0], 100, start.Add(4*time.Second))
	out := evicted(5 * time.Second)
	assert.Equal(t, "evicted", len(out), 2)
	assert.True(t, "the least recent progress first, a few bytes are none", out[0] == &holdings[0] && out[1] == &holdings[1])
	assert.Equal(t, "evicted again", len(evicted(5*time.Second)), 0)
	a.Free(&holdings[0])
	a.Free(&holdings[1])
	a.Settle(&holdings[2])
	assert.True(t, "the room is free", a.Reserve(&wanted, 2*mib))
	assert.Equal(t, "a request that waits for a server is not evicted", len(a.Evict(&memory.Holding{}, mib, start.Add(time.Hour))), 0)
}
