package weights_test

import (
	"testing"
	"time"

	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/weights"
)

// TestTurn guards against two faults: two VMs that take turns at an engine within a lease,
// and a successor that sends nothing for a lease although the former VM is gone.
func TestTurn(t *testing.T) {
	const lease, arrival = 3 * time.Second, time.Second
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	for name, c := range map[string]struct {
		turn weights.Turn
		now  float64
		want bool
	}{
		"no order of another VM":                         {weights.Turn{Own: at(0)}, 0, true},
		"another VM's order may be on its way":           {weights.Turn{Foreign: at(0)}, 0.9, false},
		"another VM's order has arrived":                 {weights.Turn{Foreign: at(0)}, 1, true},
		"own order before another VM's":                  {weights.Turn{Own: at(0), Foreign: at(1)}, 3.9, false},
		"own order a lease before":                       {weights.Turn{Own: at(0), Foreign: at(1)}, 4, true},
		"own order long before, another's on its way":    {weights.Turn{Own: at(0), Foreign: at(9)}, 9.5, false},
		"own order long before, another's has arrived":   {weights.Turn{Own: at(0), Foreign: at(9)}, 10, true},
		"own announcement found at a start, another too": {weights.Turn{Own: at(0), Foreign: at(0)}, 3.9, false},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, "may order", c.turn.MayOrder(at(c.now), lease, arrival), c.want)
		})
	}
}
