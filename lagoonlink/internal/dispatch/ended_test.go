package dispatch_test

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
	"lagoonlink.org/rollout/placement"
	"lagoonlink.org/rollout/request"
)

// TestRequestThatEndsManyServersIsRefused guards against a request that crashes servers
// without end, because it comes at several VMs and the servers that it crashes there clear
// it here. Servers that are silent clear it: they may have been cut off.
func TestRequestThatEndsManyServersIsRefused(t *testing.T) {
	for name, c := range map[string]struct {
		refuses bool
		reason  rollout.Reason
	}{
		"the servers' processes ended": {true, rollout.ReasonSuspect},
		"the servers are silent":       {false, ""},
	} {
		t.Run(name, func(t *testing.T) {
			log := logrus.New()
			log.SetOutput(io.Discard)
			inForce := &inforce.Holder{}
			inForce.Set(view(1, "a", "b", "c", "d", "e", "f"))
			d := dispatch.New(dispatch.Config{
				QueueSize: 64, Limits: fair.Limits{Items: 64, TenantItems: 64}, InForce: inForce, Logger: event.NewLogger(log),
				Reachable: func(string) bool { return false }, Refuses: func(string) bool { return c.refuses }, Announce: func() {},
			})
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
			lost := dispatch.Result{ConnectionLost: true, Outcome: placement.Outcome{Failed: true}}
			// The request and three others are lost at four servers at the same moment.
			used := []rollout.ServerName{}
			var grants []*dispatch.Grant
			for f := range request.Fingerprint(4) {
				req := newRequest(0, f+1)
				req.Requirements.Avoid = used
				g, err := acquire(t, d, req, time.Second)
				assert.NoError(t, "grant", err)
				grants, used = append(grants, g), append(used, g.Server.Name)
			}
			for _, g := range grants {
				g.Done(lost)
			}
			again, err := acquire(t, d, newRequest(0, 1), time.Second)
			assert.NoError(t, "grant again", err)
			again.Done(lost)
			_, err = acquire(t, d, newRequest(0, 1), 200*time.Millisecond)
			if c.reason == "" {
				assert.NoError(t, "grant after a cut", err)
				return
			}
			assert.Equal(t, "reason", rollout.FailureOf(err).Reason, c.reason)
		})
	}
}
