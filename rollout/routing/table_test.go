package routing_test

import (
	"testing"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/routing"
)

func TestFind(t *testing.T) {
	table := routing.New(rollout.RouteTable{Version: 3, Routes: []rollout.Route{
		{Name: "short", Host: "a.example", Prefix: "/a/"},
		{Name: "long", Host: "a.example", Prefix: "/a/b/"},
		{Name: "other", Host: "b.example", Prefix: "/a/"},
	}})
	for name, c := range map[string]struct{ host, path, want string }{
		"longest prefix":     {"a.example", "/a/b/c", "long"},
		"shorter prefix":     {"a.example", "/a/c", "short"},
		"with a port":        {"a.example:80", "/a/c", "short"},
		"upper case in host": {"A.Example", "/a/c", "short"},
		"other host":         {"b.example", "/a/b/c", "other"},
		"no matching prefix": {"a.example", "/ab", ""},
		"unknown host":       {"c.example", "/a/b", ""},
		"IPv6 address":       {"[::1]", "/a/b", ""},
	} {
		t.Run(name, func(t *testing.T) {
			r, ok := table.Find(c.host, c.path)
			assert.Equal(t, "route", r.Name, c.want)
			assert.Equal(t, "found", ok, c.want != "")
		})
	}
}

func TestChoose(t *testing.T) {
	r := rollout.Route{Splits: []rollout.Split{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	count := map[rollout.ServiceName]int{}
	for key := range uint64(1000) {
		count[routing.Choose(r, key)]++
		assert.Equal(t, "service for the same key", routing.Choose(r, key), routing.Choose(r, key))
	}
	assert.Equal(t, "requests per service", count, map[rollout.ServiceName]int{"a": 900, "b": 100})
	assert.Equal(t, "service without weights", routing.Choose(rollout.Route{Splits: []rollout.Split{{Service: "a"}}}, 7), "a")
}

func TestSingleVersion(t *testing.T) {
	table := routing.New(rollout.RouteTable{Routes: []rollout.Route{
		{Host: "a", Prefix: "/", Splits: []rollout.Split{{Service: "x"}}, SingleVersion: true},
		{Host: "a", Prefix: "/b/", Splits: []rollout.Split{{Service: "y"}}},
	}})
	assert.True(t, "SingleVersion of x", table.SingleVersion("x"))
	assert.True(t, "no SingleVersion of y", !table.SingleVersion("y"))
}
