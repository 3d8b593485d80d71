package dispatch

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/inforce"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/fair"
	"lagoonlink.org/rollout/placement"
)

// TestLeavingRequestsAreReported plays a service whose home server states a long queue and
// later none. It guards against requests that leave the zone without a log line that says
// why, and against a log line for each of them.
func TestLeavingRequestsAreReported(t *testing.T) {
	var log bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&log)
	scope := tally.NewTestScope("", nil)
	inForce := &inforce.Holder{}
	target := Target{Service: "s"}
	inForce.Set(&inforce.View{Version: 1, Configuration: rollout.Configuration{Services: []rollout.Service{{Name: "s", MaxConcurrency: 12, Servers: []rollout.Server{
		{Name: "home", Zone: "z1", Address: "home"}, {Name: "far", Zone: "z2", Address: "far"},
	}}}}})
	d := New(Config{
		Zone: "z1", QueueSize: 4, Limits: fair.Limits{Items: 4, TenantItems: 4}, InForce: inForce, Logger: event.NewLogger(logger),
		Reachable: func(string) bool { return false }, Announce: func() {}, Metrics: scope,
	})
	now := time.Now()
	play := func(seconds int, home rollout.ServerLoad) {
		for range 50 * seconds {
			now = now.Add(20 * time.Millisecond)
			d.enqueue(now, enqueueMessage{id: uint64(now.UnixNano()), req: Request{Target: target, Cost: 1}, reply: make(chan grantReply, 1)})
			for id, f := range d.targets[target].inFlight {
				l, took := rollout.ServerLoad{Slots: 6, Pace: 100}, 0.01
				if f.server == "home" {
					l, took = home, 0.01*(1+float64(home.Waiting)/float64(home.Slots))
				}
				l.At = now
				d.handle(now, serverLoadMessage{server: f.server, load: l})
				d.handle(now, doneMessage{target: target, id: id, result: Result{Outcome: placement.Outcome{SecondsPerUnit: took}}})
			}
			d.reportZones(now)
		}
	}
	d.applyCurrent()
	idle := rollout.ServerLoad{Slots: 6, Pace: 100}
	play(5, idle)
	assert.Equal(t, "log while all stay", log.String(), "")
	play(30, rollout.ServerLoad{Running: 6, Waiting: 60, Slots: 6, Pace: 100})
	play(60, idle)
	lines := func(e event.Event) int { return strings.Count(log.String(), fmt.Sprintf("Event=%d", e.Number)) }
	assert.Equal(t, "lines that requests leave", lines(event.ZoneLeft), 1)
	assert.True(t, "lines while they leave", lines(event.ZoneShare) >= 2 && lines(event.ZoneShare) <= 5)
	assert.Equal(t, "lines that they returned", lines(event.ZoneReturned), 1)
	for _, field := range []string{"HomeSeconds=", "OtherSeconds=", "RoundTrip=", "Share=", "FiguresAge="} {
		assert.True(t, "the line has "+field, strings.Contains(log.String(), field))
	}
	counters := scope.Snapshot().Counters()
	left, placed := counters["requests_left_zone+service=s"].Value(), counters["requests_placed_by_load+service=s"].Value()
	assert.True(t, "counted requests that left", left > 500 && left < placed)
}

// TestServiceLabelsAreBounded guards against metrics whose number grows with each service.
func TestServiceLabelsAreBounded(t *testing.T) {
	d := New(Config{})
	labels := map[string]bool{}
	for i := range 200 {
		labels[d.serviceLabel(Target{Service: rollout.ServiceName(fmt.Sprint(i))})] = true
	}
	assert.Equal(t, "labels", len(labels), maxLabelledServices+1)
}
