package registry_test

import (
	"testing"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/registry"
)

// TestSoftwareAt decides which software version began a stream whose VM may have known an
// older incarnation of the server than the one that ran.
func TestSoftwareAt(t *testing.T) {
	start := time.UnixMilli(1_700_000_000_000)
	born := func(seconds int) int64 { return start.Add(time.Duration(seconds) * time.Second).UnixMilli() }
	entry := func(incarnation int64, software rollout.SoftwareVersion) rollout.Change[rollout.RegisteredServer] {
		return rollout.Change[rollout.RegisteredServer]{Key: "s", Value: rollout.RegisteredServer{Name: "s", Incarnation: incarnation, Software: software}}
	}
	gone := rollout.Change[rollout.RegisteredServer]{Key: "s", Deleted: true}
	old := entry(born(0), "v1")
	for name, c := range map[string]struct {
		changes []rollout.Change[rollout.RegisteredServer]
		// recorded is the origin as the VM knew it; the stream began 60 s after start.
		recorded rollout.StreamOrigin
		want     rollout.SoftwareVersion
	}{
		"the incarnation that is registered":      {[]rollout.Change[rollout.RegisteredServer]{old}, rollout.StreamOrigin{Incarnation: born(0), Software: "v1"}, "v1"},
		"a server that is unknown here":           {nil, rollout.StreamOrigin{Incarnation: born(0), Software: "v1"}, "v1"},
		"an older one than the one that ran":      {[]rollout.Change[rollout.RegisteredServer]{old, entry(born(30), "v2")}, rollout.StreamOrigin{Incarnation: born(0), Software: "v1"}, "v2"},
		"an older one, and the other one is gone": {[]rollout.Change[rollout.RegisteredServer]{old, entry(born(30), "v2"), gone}, rollout.StreamOrigin{Incarnation: born(0), Software: "v1"}, "v2"},
		"several older ones":                      {[]rollout.Change[rollout.RegisteredServer]{old, entry(born(20), "v2"), entry(born(40), "v3"), entry(born(90), "v4")}, rollout.StreamOrigin{Incarnation: born(0), Software: "v1"}, "v3"},
		"one before a later start":                {[]rollout.Change[rollout.RegisteredServer]{old, entry(born(90), "v2")}, rollout.StreamOrigin{Incarnation: born(0), Software: "v1"}, "v1"},
		"one at about the time of another start":  {[]rollout.Change[rollout.RegisteredServer]{old, entry(born(59), "v2")}, rollout.StreamOrigin{Incarnation: born(0), Software: "v1"}, ""},
		"one at a start with the same version":    {[]rollout.Change[rollout.RegisteredServer]{old, entry(born(59), "v1")}, rollout.StreamOrigin{Incarnation: born(0), Software: "v1"}, "v1"},
		"a newer one than is known here":          {[]rollout.Change[rollout.RegisteredServer]{old}, rollout.StreamOrigin{Incarnation: born(30), Software: "v2"}, "v2"},
		"no version":                              {[]rollout.Change[rollout.RegisteredServer]{entry(born(0), "")}, rollout.StreamOrigin{Incarnation: born(0)}, ""},
		"no version and no incarnation":           {nil, rollout.StreamOrigin{}, ""},
		"no incarnation":                          {nil, rollout.StreamOrigin{Software: "v1"}, "v1"},
	} {
		t.Run(name, func(t *testing.T) {
			r := registry.New()
			for _, change := range c.changes {
				r.Apply(start.Add(time.Minute), []rollout.Change[rollout.RegisteredServer]{change})
			}
			c.recorded.Server, c.recorded.BeganAt = "s", start.Add(time.Minute)
			got, known := r.SoftwareAt(c.recorded)
			assert.Equal(t, "software version", got, c.want)
			assert.Equal(t, "known", known, c.want != "")
		})
	}
	t.Run("is forgotten after a while", func(t *testing.T) {
		r := registry.New()
		r.Apply(start, []rollout.Change[rollout.RegisteredServer]{old})
		r.Apply(start.Add(40*time.Second), []rollout.Change[rollout.RegisteredServer]{entry(born(30), "v2"), gone})
		recorded := rollout.StreamOrigin{Server: "s", Incarnation: born(0), Software: "v1", BeganAt: start.Add(time.Minute)}
		got, _ := r.SoftwareAt(recorded)
		assert.Equal(t, "software version", got, "v2")
		r.Expire(start.Add(10 * time.Minute))
		got, _ = r.SoftwareAt(recorded)
		assert.Equal(t, "software version later", got, "v1")
	})
}
