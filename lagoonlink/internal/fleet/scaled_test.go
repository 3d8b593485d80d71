package fleet

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"

	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/inforce"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/scaling"
)

// Servers that are leaving must not count as present, and services without the entry must
// not be scaled.
func TestScaledServices(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := New(Config{InForce: &inforce.Holder{}, Dispatch: &reports{}, Logger: event.NewLogger(log)})
	assert.Equal(t, "without a configuration", len(f.ScaledServices()), 0)
	spec := rollout.Scaling{Min: 1, Max: 3, ZonePrices: map[rollout.Zone]float64{"z1": 1, "z2": 2}}
	f.applyDeclared([]rollout.Change[rollout.Declared]{{Key: "config", Value: rollout.Declared{Table: &rollout.RouteTable{
		Version: 1, Services: []rollout.RoutedService{{Name: "pool", Models: []rollout.ModelName{"m"}, Scaling: &spec}, {Name: "plain"}},
	}}}})
	var changes []rollout.Change[rollout.RegisteredServer]
	for n, s := range []rollout.RegisteredServer{
		{Zone: "z1"}, {Zone: "z1", Reclaimable: true}, {Zone: "z1", Reclaimable: true, Leaving: true}, {Zone: "z3"}, {Zone: "z1", Service: "plain"},
	} {
		c := heartbeat(n, 1)
		c.Value.Zone, c.Value.Reclaimable, c.Value.Leaving = s.Zone, s.Reclaimable, s.Leaving
		if s.Service != "" {
			c.Value.Service = s.Service
		}
		changes = append(changes, c)
	}
	f.applyRegistered(f.registry.Apply, changes, map[rollout.ServerName]bool{})
	assert.Equal(t, "services", f.ScaledServices(), []ScaledService{{
		Name: "pool", Scaling: spec, Engines: true, Zones: []rollout.Zone{"z1", "z2", "z3"}, Slots: 4,
		Present: map[scaling.Kind]int{{Zone: "z1"}: 1, {Zone: "z1", Reclaimable: true}: 1, {Zone: "z3"}: 1},
	}})
}
