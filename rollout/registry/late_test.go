package registry_test

import (
	"testing"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/registry"
)

// numbered returns an entry of server a.
func numbered(incarnation int64, sequence uint64, leaving bool) change {
	return change{Key: "a", Value: rollout.RegisteredServer{Name: "a", Incarnation: incarnation, Sequence: sequence, Leaving: leaving}}
}

// assertServer checks what is known of server a.
func assertServer(t *testing.T, r *registry.Registry, incarnation int64, leaving bool) {
	t.Helper()
	s, known := r.Find("a")
	assert.True(t, "the server is known", known)
	assert.Equal(t, "incarnation", s.Incarnation, incarnation)
	assert.Equal(t, "leaving", s.Leaving, leaving)
}

// TestLateEntriesAreIgnored guards against requests to servers that drain or are gone, and
// against sound servers that get none, after a write that was carried out late.
func TestLateEntriesAreIgnored(t *testing.T) {
	const ready, leaving = false, true
	deleted := change{Key: "a", Deleted: true}
	for name, c := range map[string]struct {
		changes []change
		leaving bool
		// gone reports whether the server must not be known.
		gone        bool
		incarnation int64
		ignored     int
	}{
		"ready after draining":                          {changes: []change{numbered(1, 5, ready), numbered(1, 9, leaving), numbered(1, 4, ready)}, leaving: true, incarnation: 1, ignored: 1},
		"several of them":                               {changes: []change{numbered(1, 9, leaving), numbered(1, 4, ready), numbered(1, 6, ready), numbered(1, 10, leaving)}, leaving: true, incarnation: 1, ignored: 2},
		"draining of an earlier incarnation":            {changes: []change{numbered(1, 9, leaving), numbered(2, 1, ready), numbered(1, 8, leaving)}, incarnation: 2, ignored: 1},
		"a server that started again counts anew":       {changes: []change{numbered(1, 9, leaving), numbered(2, 1, ready)}, incarnation: 2},
		"an entry of a server that is gone":             {changes: []change{numbered(1, 9, ready), deleted, numbered(1, 8, ready)}, gone: true, ignored: 1},
		"one that only heartbeats were newer than":      {changes: []change{numbered(1, 5, ready), {Key: "a", Deleted: true, Sequence: 9}, numbered(1, 8, ready)}, gone: true, ignored: 1},
		"an incarnation before the one that is gone":    {changes: []change{numbered(2, 1, ready), deleted, numbered(1, 8, ready)}, gone: true, ignored: 1},
		"a start after the server was gone":             {changes: []change{numbered(1, 9, leaving), deleted, numbered(2, 1, ready)}, incarnation: 2},
		"a server without a start time":                 {changes: []change{numbered(0, 9, leaving), numbered(0, 1, ready)}},
		"an entry without a number":                     {changes: []change{numbered(1, 9, ready), numbered(1, 0, leaving)}, leaving: true, incarnation: 1},
		"a removal after a late entry doesn't count it": {changes: []change{numbered(2, 3, ready), numbered(1, 500, ready), {Key: "a", Deleted: true, Sequence: 500}, numbered(2, 4, ready)}, incarnation: 2, ignored: 1},
	} {
		t.Run(name, func(t *testing.T) {
			r := registry.New()
			for _, one := range c.changes {
				r.Apply(start, []change{one})
			}
			assert.Equal(t, "ignored", len(r.TakeIgnored()), c.ignored)
			if c.gone {
				_, known := r.Find("a")
				assert.True(t, "the server stays gone", !known)
				return
			}
			assertServer(t, r, c.incarnation, c.leaving)
		})
	}
	t.Run("a snapshot with a late entry", func(t *testing.T) {
		r := registry.New()
		r.Apply(start, []change{numbered(1, 9, leaving)})
		r.Replace(start, []change{numbered(1, 4, ready)})
		assertServer(t, r, 1, leaving)
	})
	t.Run("a late entry during an outage", func(t *testing.T) {
		r := registry.New()
		r.Apply(start, []change{numbered(2, 9, ready)})
		r.StoreUnreachable()
		r.StoreReachable(start.Add(5 * time.Second))
		r.Replace(start.Add(5*time.Second), []change{{Key: "a", Deleted: true, Sequence: 12}})
		r.Apply(start.Add(5*time.Second), []change{numbered(2, 11, leaving)})
		assertServer(t, r, 2, ready)
		r.Apply(start.Add(6*time.Second), []change{numbered(2, 13, ready)})
		r.Expire(start.Add(30 * time.Second))
		assertServer(t, r, 2, ready)
	})
}

// TestServerThatGoesOnFromLateEntryReturns guards against sound servers that are never used
// again after an entry that only seemed newer, such as one with a wrong start time.
func TestServerThatGoesOnFromLateEntryReturns(t *testing.T) {
	const wrong = 1 << 50
	t.Run("its newer entry is not confirmed", func(t *testing.T) {
		r := registry.New()
		r.Apply(start, []change{numbered(1, 5, false), numbered(wrong, 1, true), numbered(1, 6, false)})
		r.Apply(start.Add(5*time.Second), []change{numbered(1, 10, false)})
		assert.True(t, "nothing changes before the timeout", !r.Expire(start.Add(9900*time.Millisecond)))
		assertServer(t, r, wrong, true)
		assert.True(t, "registered", r.Expire(start.Add(10100*time.Millisecond)))
		assertServer(t, r, 1, false)
		r.Apply(start.Add(11*time.Second), []change{numbered(1, 11, true)})
		assertServer(t, r, 1, true)
	})
	t.Run("its newer entry is confirmed", func(t *testing.T) {
		r := registry.New()
		r.Apply(start, []change{numbered(2, 5, false), numbered(1, 6, true), numbered(2, 6, false)})
		assert.True(t, "nothing changes", !r.Expire(start.Add(time.Minute)))
		assertServer(t, r, 2, false)
	})
	t.Run("the store is unreachable", func(t *testing.T) {
		r := registry.New()
		r.Apply(start, []change{numbered(2, 5, true), numbered(1, 6, false)})
		r.StoreUnreachable()
		assert.True(t, "nothing changes", !r.Expire(start.Add(time.Minute)))
		assertServer(t, r, 2, true)
	})
}
