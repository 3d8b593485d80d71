package fleet

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/inforce"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/weights"
)

// reports counts the load reports that a Fleet sends.
type reports struct{ count int }

func (r *reports) UpdateLoad(rollout.PoolName, rollout.ServerName, rollout.LoadReport) { r.count++ }

func heartbeat(n int, v rollout.WeightVersion) rollout.Change[rollout.RegisteredServer] {
	name := fmt.Sprintf("s%04d", n)
	return rollout.Change[rollout.RegisteredServer]{Key: name, Value: rollout.RegisteredServer{
		Name: rollout.ServerName(name), Service: "pool", Address: "10.0.0.1:1", Slots: 4,
		Versions: map[rollout.ModelName]rollout.WeightVersion{"m": v},
	}}
}

// TestHeartbeats plays the heartbeats of a large deployment: the work of a VM must grow
// with the changes that it reads, not with the number of servers.
func TestHeartbeats(t *testing.T) {
	const servers = 1000
	var lines bytes.Buffer
	log := logrus.New()
	log.SetOutput(&lines)
	received, inForce := &reports{}, &inforce.Holder{}
	f := New(Config{InForce: inForce, Dispatch: received, Logger: event.NewLogger(log)})
	f.applyDeclared([]rollout.Change[rollout.Declared]{{Key: "config", Value: rollout.Declared{Table: &rollout.RouteTable{
		Version: 1, Services: []rollout.RoutedService{{Name: "pool", Models: []rollout.ModelName{"m"}}},
	}}}})
	apply := func(changes ...rollout.Change[rollout.RegisteredServer]) (reported, logged int, published bool) {
		received.count = 0
		lines.Reset()
		before := inForce.Current()
		f.applyRegistered(f.registry.Apply, changes, map[rollout.ServerName]bool{})
		return received.count, strings.Count(lines.String(), "\n"), inForce.Current() != before
	}
	var all []rollout.Change[rollout.RegisteredServer]
	for n := range servers {
		all = append(all, heartbeat(n, 1))
	}
	_, logged, published := apply(all...)
	assert.Equal(t, "lines for 1,000 new servers", logged, 1)
	assert.True(t, "new servers are put in force", published)
	t.Run("an unchanged entry", func(t *testing.T) {
		reported, logged, published := apply(heartbeat(7, 1))
		assert.AtMost(t, "reports", reported, 1)
		assert.Equal(t, "lines", logged, 0)
		assert.True(t, "nothing is put in force", !published)
	})
	t.Run("a new weight version", func(t *testing.T) {
		reported, _, published := apply(heartbeat(7, 2))
		assert.Equal(t, "reports", reported, 1)
		assert.True(t, "nothing is put in force", !published)
	})
	t.Run("a heartbeat that was not decoded", func(t *testing.T) {
		reported, logged, published := apply(rollout.Change[rollout.RegisteredServer]{Key: "s0007", Unchanged: true})
		assert.Equal(t, "reports", reported, 0)
		assert.Equal(t, "lines", logged, 0)
		assert.True(t, "nothing is put in force", !published)
	})
	t.Run("a heartbeat that was not decoded, of an engine with a pending order", func(t *testing.T) {
		f.ApplyAnnouncement(weights.Announcement{Server: "s0009", Model: "m", Version: 3})
		reported, _, _ := apply(rollout.Change[rollout.RegisteredServer]{Key: "s0009", Unchanged: true})
		assert.Equal(t, "reports", reported, 1)
	})
	t.Run("a server that leaves", func(t *testing.T) {
		c := heartbeat(7, 2)
		c.Value.Leaving = true
		_, logged, published := apply(c)
		assert.Equal(t, "lines", logged, 1)
		assert.True(t, "the change is put in force", published)
	})
	t.Run("an entry that is deleted", func(t *testing.T) {
		_, _, published := apply(rollout.Change[rollout.RegisteredServer]{Key: "s0007", Deleted: true})
		assert.True(t, "the change is put in force", published)
		assert.Equal(t, "servers", len(inForce.Current().Configuration.Pools[0].Servers), servers-1)
	})
	t.Run("an entry that can't be read", func(t *testing.T) {
		_, _, published := apply(rollout.Change[rollout.RegisteredServer]{Key: "s0008", Err: fmt.Errorf("broken")})
		assert.True(t, "the change is put in force", published)
	})
	t.Run("a snapshot without some servers", func(t *testing.T) {
		snapshot := all[:500]
		f.applyRegistered(f.registry.Replace, snapshot, f.registeredNames())
		assert.Equal(t, "servers", len(inForce.Current().Configuration.Pools[0].Servers), 500)
	})
}
