package registry_test

import (
	"errors"
	"testing"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/registry"
)

type change = rollout.Change[rollout.RegisteredServer]

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func entry(name string) change {
	return change{Key: name, Value: rollout.RegisteredServer{Name: rollout.ServerName(name)}}
}

func names(r *registry.Registry) []rollout.ServerName {
	var out []rollout.ServerName
	for _, s := range r.Servers() {
		out = append(out, s.Name)
	}
	return out
}

func TestEntries(t *testing.T) {
	t.Run("a deleted entry removes the server", func(t *testing.T) {
		r := registry.New()
		r.Apply(start, []change{entry("a"), entry("b"), {Key: "a", Deleted: true}})
		assert.Equal(t, "servers", names(r), []rollout.ServerName{"b"})
	})
	t.Run("an unreadable entry removes only its own server", func(t *testing.T) {
		r := registry.New()
		r.Apply(start, []change{entry("a"), entry("b"), {Key: "a", Err: errors.New("bad")}, {Key: "c", Err: errors.New("bad")}})
		assert.Equal(t, "servers", names(r), []rollout.ServerName{"b"})
	})
	t.Run("a snapshot removes servers that it does not contain", func(t *testing.T) {
		r := registry.New()
		r.Apply(start, []change{entry("a"), entry("b")})
		r.Replace(start, []change{entry("b"), entry("c")})
		assert.Equal(t, "servers", names(r), []rollout.ServerName{"b", "c"})
	})
}

func TestOutage(t *testing.T) {
	lapsed := func(leaving bool) *registry.Registry {
		r := registry.New()
		a := entry("a")
		a.Value.Leaving = leaving
		r.Apply(start, []change{a, entry("b")})
		r.StoreUnreachable()
		r.StoreReachable(start.Add(5 * time.Second))
		r.Replace(start.Add(5*time.Second), []change{entry("b")})
		return r
	}
	t.Run("a lapsed server stays in use after the outage", func(t *testing.T) {
		r := lapsed(false)
		assert.Equal(t, "servers", names(r), []rollout.ServerName{"a", "b"})
		assert.True(t, "no server expires before the timeout", !r.Expire(start.Add(6900*time.Millisecond)))
	})
	t.Run("a lapsed server that does not register again is removed", func(t *testing.T) {
		r := lapsed(false)
		assert.True(t, "expired", r.Expire(start.Add(7100*time.Millisecond)))
		assert.Equal(t, "servers", names(r), []rollout.ServerName{"b"})
	})
	t.Run("a lapsed server that registers again stays", func(t *testing.T) {
		r := lapsed(false)
		r.Apply(start.Add(6*time.Second), []change{entry("a")})
		r.Expire(start.Add(8 * time.Second))
		assert.Equal(t, "servers", names(r), []rollout.ServerName{"a", "b"})
	})
	t.Run("a leaving server is removed immediately", func(t *testing.T) {
		assert.Equal(t, "servers", names(lapsed(true)), []rollout.ServerName{"b"})
	})
	t.Run("a deleted entry removes the server once the outage is not recent", func(t *testing.T) {
		r := registry.New()
		r.Apply(start, []change{entry("a")})
		r.StoreUnreachable()
		r.StoreReachable(start.Add(time.Second))
		r.Apply(start.Add(4*time.Second), []change{{Key: "a", Deleted: true}})
		assert.Equal(t, "servers", len(names(r)), 0)
	})
}
