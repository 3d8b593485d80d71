package fleet

import (
	"context"
	"fmt"
	"io"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"lagoonlink.org/lagoonlink/internal/dispatch"
	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/inforce"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/fair"
	"lagoonlink.org/rollout/placement"
)

// TestOddSlotsConcernOneServer guards against one entry in service discovery whose number
// of slots decides for all servers of its service: they then got no requests, or more than
// they had slots for.
func TestOddSlotsConcernOneServer(t *testing.T) {
	const slots, sound = 6, 3
	for _, odd := range []int{math.MaxInt, math.MaxInt/2 + 1, math.MaxInt / 4, 1 << 32, 1_000_000, 50, 1, 0, -1, math.MinInt} {
		for _, models := range [][]rollout.ModelName{nil, {"m"}} {
			// In virtual time: on a busy machine an Acquire took longer than its 200 ms once.
			t.Run(fmt.Sprintf("%d slots, models %v", odd, models), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					log := logrus.New()
					log.SetOutput(io.Discard)
					logger, inForce := event.NewLogger(log), &inforce.Holder{}
					d := dispatch.New(dispatch.Config{
						QueueSize: 1024, Limits: fair.Limits{Items: 1024, TenantItems: 1024}, InForce: inForce, Logger: logger, StartLimit: func(most int) int { return most },
						Reachable: func(string) bool { return true }, Announce: func() {},
					})
					ctx, cancel := context.WithCancel(t.Context())
					var tasks sync.WaitGroup
					defer tasks.Wait()
					defer cancel()
					tasks.Go(func() { _ = d.Run(ctx) })
					f := New(Config{InForce: inForce, Dispatch: d, Logger: logger})
					f.applyDeclared([]rollout.Change[rollout.Declared]{{Key: "config", Value: rollout.Declared{Table: &rollout.RouteTable{
						Version: 1, Services: []rollout.RoutedService{{Name: "s", Models: models}},
					}}}})
					var changes []rollout.Change[rollout.RegisteredServer]
					for n := range sound + 1 {
						s := rollout.RegisteredServer{Name: rollout.ServerName(fmt.Sprint("s", n)), Service: "s", Address: "127.0.0.1:1", Slots: slots}
						if n == sound {
							s.Name, s.Slots = "odd", odd
						}
						changes = append(changes, rollout.Change[rollout.RegisteredServer]{Key: string(s.Name), Value: s})
					}
					f.applyRegistered(f.registry.Apply, changes, map[rollout.ServerName]bool{})
					target, perSlot := dispatch.Target{Service: "s"}, serviceQueueFactor
					if models != nil {
						target, perSlot = dispatch.Target{Pool: "s"}, 1
					}
					// The odd server gets none of these requests, so that the others show what
					// they take.
					got := map[rollout.ServerName]int{}
					for range 10 * (sound + 1) * slots {
						short, stop := context.WithTimeout(ctx, 200*time.Millisecond)
						g, err := d.Acquire(short, dispatch.Request{Target: target, Tenant: "t", Cost: 1, Immediate: true, Requirements: placement.Requirements{Class: rollout.ClassService, Avoid: []rollout.ServerName{"odd"}}})
						stop()
						if err != nil {
							break
						}
						got[g.Server.Name]++
					}
					assert.Equal(t, "requests at once", got, map[rollout.ServerName]int{"s0": slots * perSlot, "s1": slots * perSlot, "s2": slots * perSlot})
				})
			})
		}
	}
}
