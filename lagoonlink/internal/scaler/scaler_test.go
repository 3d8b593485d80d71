package scaler

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/fleet"
	"lagoonlink.org/lagoonlink/internal/jobs"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/scaling"
)

// fakeOrders records orders. It answers them with an outcome.
type fakeOrders struct {
	held    bool
	orders  []rollout.ServerOrder
	outcome rollout.DutyOutcome
	load    map[rollout.ServiceName]float64
}

func (f *fakeOrders) Load() (map[rollout.ServiceName]float64, bool) { return f.load, f.load != nil }

func (f *fakeOrders) Held() bool { return f.held }

func (f *fakeOrders) OrderServers(_ context.Context, o rollout.ServerOrder) (rollout.DutyOutcome, bool) {
	if !f.held {
		return rollout.DutyNotSent, false
	}
	f.orders = append(f.orders, o)
	return f.outcome, true
}

func newScaler(f *fakeOrders, engines bool) *Scaler {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(Config{
		Orders: f, Logger: event.NewLogger(log),
		Services: func() []fleet.ScaledService {
			return []fleet.ScaledService{{
				Name: "s", Engines: engines, Slots: 8, Zones: []rollout.Zone{"z"}, Present: map[scaling.Kind]int{{Zone: "z"}: 1},
				Scaling: rollout.Scaling{Min: 1, Max: 4, Boot: 4 * time.Second},
			}}
		},
		Work: func() map[rollout.PoolName]jobs.PoolWork {
			return map[rollout.PoolName]jobs.PoolWork{"s": {Jobs: []scaling.Work{{Samples: 1000, Due: time.Unix(8, 0)}}}}
		},
	})
}

func TestOrders(t *testing.T) {
	want := rollout.ServerOrder{Service: "s", Zone: "z", Count: 4}
	for name, c := range map[string]struct {
		held, engines bool
		outcome       rollout.DutyOutcome
		orders        int
	}{
		"the holder":                    {true, true, rollout.DutyAccepted, 1},
		"another VM":                    {false, true, rollout.DutyAccepted, 0},
		"a plain service, load unknown": {true, false, rollout.DutyAccepted, 0},
		"a refusal is not repeated":     {true, true, rollout.DutyUnavailable, 1},
		"no response, repeated in 1 s":  {true, true, rollout.DutyUnknown, 2},
	} {
		t.Run(name, func(t *testing.T) {
			f := &fakeOrders{held: c.held, outcome: c.outcome}
			s := newScaler(f, c.engines)
			for n := range 4 {
				s.decide(t.Context(), time.Unix(0, 0).Add(time.Duration(n)*decisionInterval))
			}
			assert.Equal(t, "orders", len(f.orders), c.orders)
			for _, o := range f.orders {
				assert.Equal(t, "order", o, want)
			}
		})
	}
}

// Servers of a plain service are ordered by its load.
func TestPlainService(t *testing.T) {
	f := &fakeOrders{held: true, outcome: rollout.DutyAccepted, load: map[rollout.ServiceName]float64{"s": 9}}
	s := newScaler(f, false)
	s.config.Work = func() map[rollout.PoolName]jobs.PoolWork { return nil }
	s.decide(t.Context(), time.Unix(0, 0))
	// 9 requests and their square root need 12 slots.
	assert.Equal(t, "orders", f.orders, []rollout.ServerOrder{{Service: "s", Zone: "z", Count: 2}})
}

// A VM that lost the duty for long must forget its orders, because another VM may have
// sent others.
func TestDutyLost(t *testing.T) {
	f := &fakeOrders{held: true, outcome: rollout.DutyAccepted}
	s := newScaler(f, true)
	s.decide(t.Context(), time.Unix(0, 0))
	f.held = false
	s.decide(t.Context(), time.Unix(2, 0))
	assert.Equal(t, "planners soon", len(s.planners), 1)
	s.decide(t.Context(), time.Unix(4, 0))
	assert.Equal(t, "planners later", len(s.planners), 0)
}
