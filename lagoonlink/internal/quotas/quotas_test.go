package quotas_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"lagoonlink.org/lagoonlink/internal/dispatch"
	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/inforce"
	"lagoonlink.org/lagoonlink/internal/quotas"
	"lagoonlink.org/lagoonlink/internal/standin"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/fair"
	"lagoonlink.org/rollout/placement"
	"lagoonlink.org/rollout/quota"
)

const (
	vms  = 8
	rate = 5.0
	// learning is the time that the VMs may take to learn of a limit.
	learning = time.Second
)

// limitedServer records when requests arrive.
type limitedServer struct {
	mu       sync.Mutex
	arrivals []time.Time
	limited  bool
}

// arrive records a request and returns the limit that the response states.
func (s *limitedServer) arrive() rollout.ObservedLimit {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.arrivals = append(s.arrivals, now)
	if s.limited {
		return rollout.ObservedLimit{Rate: rate, SentAt: now}
	}
	return rollout.ObservedLimit{SentAt: now}
}

func (s *limitedServer) setLimited(limited bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limited = limited
}

// between returns the number of requests that arrived from one time to another.
func (s *limitedServer) between(from, to time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, at := range s.arrivals {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// newRequest returns a caller's request that expires after a second.
func newRequest() dispatch.Request {
	return dispatch.Request{
		Target: dispatch.Target{Service: "s"}, Requirements: placement.Requirements{Class: rollout.ClassService}, Tenant: "t", Cost: 1,
		Deadline: time.Now().Add(time.Second),
	}
}

// startVMs starts VMs that each send requests to the server all the time, and returns
// the dispatcher of one of them.
func startVMs(t *testing.T, server *limitedServer, store *standin.Store) (d *dispatch.Dispatcher) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	logger := event.NewLogger(log)
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	inForce := &inforce.Holder{}
	inForce.Set(&inforce.View{Version: 1, Configuration: rollout.Configuration{
		Services: []rollout.Service{{Name: "s", MaxConcurrency: 4, Servers: []rollout.Server{{Name: "limited", Address: "1"}}}},
	}})
	for n := range vms {
		var tracker *quotas.Tracker
		d = dispatch.New(dispatch.Config{
			QueueSize: 64, Limits: fair.Limits{Items: 64, TenantItems: 64}, InForce: inForce, Logger: logger,
			Reachable: func(string) bool { return true }, Announce: func() {},
			Book: func(s rollout.ServerName, requests int, urgent bool) bool { return tracker.Book(s, requests, urgent) },
		})
		vm := rollout.VMName(fmt.Sprint(n))
		tracker = quotas.New(quotas.Config{VM: vm, Journal: store.ForVM(vm), Permits: d, Logger: logger})
		d := d
		group.Go(func() { _ = d.Run(ctx) })
		group.Go(func() { _ = tracker.Run(ctx) })
		for range 2 {
			group.Go(func() {
				for ctx.Err() == nil {
					g, err := d.Acquire(ctx, newRequest())
					if err != nil {
						time.Sleep(20 * time.Millisecond)
						continue
					}
					tracker.ObserveLimit(g.Server.Name, server.arrive())
					time.Sleep(5 * time.Millisecond)
					g.Done(dispatch.Result{})
				}
			})
		}
	}
	return d
}

// TestVMsTogetherKeepServersLimit guards against a server that gets far more requests
// than its limit because each VM sends as if it were alone.
func TestVMsTogetherKeepServersLimit(t *testing.T) {
	server := &limitedServer{limited: true}
	startVMs(t, server, standin.NewStore(1))
	time.Sleep(learning)
	from := time.Now()
	time.Sleep(4 * time.Second)
	got := server.between(from, time.Now())
	assert.AtMost(t, "requests in 4 s", got, int(1.5*4*rate)+5)
	assert.True(t, "at least half of the limit is used", float64(got) >= 0.5*4*rate)
	server.setLimited(false)
	time.Sleep(learning)
	from = time.Now()
	time.Sleep(500 * time.Millisecond)
	assert.True(t, "the end of the limit is noticed", server.between(from, time.Now()) > 50)
}

func TestLimitHoldsWhileStoreIsAway(t *testing.T) {
	store := standin.NewStore(1)
	server := &limitedServer{limited: true}
	d := startVMs(t, server, store)
	time.Sleep(learning)
	setDown := func(down bool) {
		for n := range vms {
			store.SetDown(rollout.VMName(fmt.Sprint(n)), down)
		}
	}
	setDown(true)
	from := time.Now()
	time.Sleep(4 * time.Second)
	assert.AtMost(t, "requests in 4 s", server.between(from, time.Now()), int(1.5*4*rate)+5)
	asked := time.Now()
	_, err := d.Acquire(t.Context(), newRequest())
	assert.Equal(t, "verdict", rollout.VerdictOf(err), rollout.NotRun)
	assert.AtMost(t, "milliseconds until the refusal", time.Since(asked).Milliseconds(), 300)
	setDown(false)
	time.Sleep(learning)
	from = time.Now()
	time.Sleep(2 * time.Second)
	assert.True(t, "requests are sent again", float64(server.between(from, time.Now())) >= 0.5*2*rate)
}

// TestUnreadableRecordIsSkipped checks that a record of another program doesn't stop
// the bookings.
func TestUnreadableRecordIsSkipped(t *testing.T) {
	store := standin.NewStore(1)
	_, err := store.ForVM("other").Append(t.Context(), rollout.Partition{Topic: quota.Topic}, [][]byte{{0xff}})
	assert.NoError(t, "append", err)
	server := &limitedServer{limited: true}
	startVMs(t, server, store)
	time.Sleep(2 * learning)
	from := time.Now()
	time.Sleep(time.Second)
	assert.True(t, "requests are sent", server.between(from, time.Now()) > 0)
}
