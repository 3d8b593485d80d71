package orders

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"lagoonlink.org/lagoonlink/internal/dispatch"
	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/inforce"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/fair"
)

// TestLateLoadReportIsIgnored guards against requests to an engine that is leaving, after the
// response to an earlier poll has arrived later.
func TestLateLoadReportIsIgnored(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	logger, inForce := event.NewLogger(log), &inforce.Holder{}
	configuration := rollout.Configuration{Pools: []rollout.Pool{{Name: "p", MaxConcurrency: 1, Servers: []rollout.Server{{Name: "a", Address: "127.0.0.1:1"}}}}}
	inForce.Set(&inforce.View{Version: 1, Configuration: configuration})
	d := dispatch.New(dispatch.Config{QueueSize: 8, Limits: fair.Limits{Items: 8, TenantItems: 8}, InForce: inForce, Logger: logger})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = d.Run(ctx)
	}()
	defer func() {
		cancel()
		<-ended
	}()
	o := New(Config{Dispatch: d, InForce: inForce, Logger: logger})
	o.applyConfiguration(configuration)
	now := time.Now()
	for _, c := range []struct {
		name    string
		askedAt time.Time
		leaving bool
		want    bool
	}{
		{"the engine is leaving", now, true, true},
		{"an earlier poll says it is not", now.Add(-time.Second), false, true},
		{"a later poll says it is not", now.Add(time.Second), false, false},
	} {
		o.handleLoad(loadResult{pool: "p", server: "a", report: rollout.LoadReport{Leaving: c.leaving}, askedAt: c.askedAt})
		o.applyConfiguration(configuration)
		assert.Equal(t, c.name, d.Views(ctx)[0].Servers[0].Leaving, c.want)
	}
}
