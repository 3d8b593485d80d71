package registry_test

import (
	"testing"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/registry"
)

// TestLeaving decides which incarnation of a server is leaving after one has stated so,
// while the store says something else.
func TestLeaving(t *testing.T) {
	start := time.UnixMilli(1_700_000_000_000)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	ready := func(seconds int) []rollout.Change[rollout.RegisteredServer] {
		return []rollout.Change[rollout.RegisteredServer]{{Key: "s", Value: rollout.RegisteredServer{Name: "s", Incarnation: at(seconds).UnixMilli()}}}
	}
	leaving := func(r *registry.Registry) bool {
		s, ok := r.Find("s")
		return ok && s.Leaving && r.Servers()[0].Leaving
	}
	known := func() *registry.Registry {
		r := registry.New()
		r.Apply(at(0), ready(0))
		return r
	}
	t.Run("the incarnation that stated it, whatever the store says later", func(t *testing.T) {
		r := known()
		assert.True(t, "not leaving at first", !leaving(r))
		assert.True(t, "the statement is new", r.ObserveLeaving(at(60), "s", at(0).UnixMilli()))
		assert.True(t, "leaving", leaving(r))
		assert.True(t, "a repetition is not new", !r.ObserveLeaving(at(61), "s", at(0).UnixMilli()))
		r.Apply(at(62), ready(0))
		assert.True(t, "leaving after a heartbeat that says ready", leaving(r))
		r.Replace(at(63), ready(0))
		assert.True(t, "leaving after a snapshot that says ready", leaving(r))
	})
	t.Run("also after its entry was away", func(t *testing.T) {
		r := known()
		r.ObserveLeaving(at(60), "s", at(0).UnixMilli())
		r.Apply(at(61), []rollout.Change[rollout.RegisteredServer]{{Key: "s", Deleted: true}})
		r.Apply(at(70), ready(0))
		assert.True(t, "leaving", leaving(r))
	})
	t.Run("not another incarnation that starts later", func(t *testing.T) {
		r := known()
		r.ObserveLeaving(at(60), "s", at(0).UnixMilli())
		r.Apply(at(64), ready(61))
		assert.True(t, "not leaving", !leaving(r))
		assert.True(t, "a late response of the earlier one changes nothing", !leaving(r) && r.ObserveLeaving(at(65), "s", at(61).UnixMilli()))
		assert.True(t, "leaving once it states it", leaving(r))
		assert.True(t, "the earlier one is not new", !r.ObserveLeaving(at(66), "s", at(0).UnixMilli()))
		assert.True(t, "still leaving", leaving(r))
	})
	t.Run("another incarnation that had started before the statement", func(t *testing.T) {
		r := known()
		r.ObserveLeaving(at(60), "s", at(0).UnixMilli())
		r.Apply(at(64), ready(30))
		assert.True(t, "leaving", leaving(r))
	})
	t.Run("other servers stay", func(t *testing.T) {
		r := known()
		r.ObserveLeaving(at(60), "other", at(0).UnixMilli())
		assert.True(t, "not leaving", !leaving(r))
	})
	t.Run("is forgotten long after the server has gone", func(t *testing.T) {
		r := known()
		r.ObserveLeaving(at(60), "s", at(0).UnixMilli())
		r.Expire(at(3600))
		assert.True(t, "kept while it is registered", leaving(r))
		r.Apply(at(3600), []rollout.Change[rollout.RegisteredServer]{{Key: "s", Deleted: true}})
		r.Expire(at(3700))
		assert.True(t, "kept for a while", r.IsLeaving("s", at(0).UnixMilli()))
		r.Expire(at(8000))
		assert.True(t, "forgotten", !r.IsLeaving("s", at(0).UnixMilli()))
	})
}
