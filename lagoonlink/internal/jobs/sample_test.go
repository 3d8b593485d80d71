package jobs

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"lagoonlink.org/lagoonlink/internal/dispatch"
	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/fleet"
	"lagoonlink.org/lagoonlink/internal/inforce"
	"lagoonlink.org/lagoonlink/internal/ownership"
	"lagoonlink.org/lagoonlink/internal/standin"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/candidacy"
	"lagoonlink.org/rollout/fair"
	"lagoonlink.org/rollout/job"
	"lagoonlink.org/rollout/placement"
	"lagoonlink.org/rollout/routing"
)

// testLease is the lease of the membership of a test's VM.
const testLease = 200 * time.Millisecond

// startManager returns a manager with one partition, and a pool p with one engine that
// runs two samples at a time. Its dispatcher and its membership run until the test
// ends; the manager doesn't.
func startManager(t *testing.T) *Manager {
	t.Helper()
	store := standin.NewStore(1).ForVM("a")
	return startManagerOn(t, store, store)
}

// startManagerOn is like startManager with another journal and group.
func startManagerOn(t *testing.T, journal rollout.Journal, groups rollout.Groups) *Manager {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	logger := event.NewLogger(log)
	inForce := &inforce.Holder{}
	inForce.Set(&inforce.View{
		Version: 1,
		Configuration: rollout.Configuration{Pools: []rollout.Pool{
			{Name: "p", Models: []rollout.ModelName{"m"}, MaxConcurrency: 2, Servers: []rollout.Server{{Name: "s", Address: "127.0.0.1:1"}}},
		}},
		Routes: routing.New(rollout.RouteTable{Routes: []rollout.Route{{Host: "h", Prefix: "/", Kind: rollout.RouteJobs, Splits: []rollout.Split{{Service: "p"}}}}}),
	})
	d := dispatch.New(dispatch.Config{
		QueueSize: 64, Limits: fair.Limits{Items: 64, TenantItems: 64}, InForce: inForce, Logger: logger,
		Reachable: func(string) bool { return true }, Announce: func() {},
	})
	o := ownership.New(ownership.Config{
		VM: "a", Groups: groups, Group: "g", Topics: []string{job.TopicIndex}, Lease: testLease, Candidate: candidacy.Candidate{Partitions: 1}, Logger: logger,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { _ = d.Run(ctx) })
	tasks.Go(func() { _ = o.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		tasks.Wait()
	})
	m := New(Config{
		Partitions: 1, Journal: journal, Engine: standin.NewEngines("m", 1, 0), Owner: o,
		Fleet:    fleet.New(fleet.Config{InForce: inForce, Dispatch: d, Logger: logger}),
		Dispatch: d, InForce: inForce, Logger: logger, Metrics: tally.NoopScope,
	})
	for end := time.Now().Add(5 * time.Second); !m.mayStartRuns(0); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the VM does not own the partition")
		}
	}
	return m
}

// TestEndedJobReleasesSlots guards against leaked server slots: a job may end
// after its samples were granted slots but before they run, as when its partition
// moves immediately.
func TestEndedJobReleasesSlots(t *testing.T) {
	m := startManager(t)
	d := m.config.Dispatch
	ctx := t.Context()
	s := &job.Submission{ID: "j", Host: "h", Model: "m", At: time.Now(), Retention: time.Minute, Samples: []job.Sample{{ID: "a", Path: "/"}, {ID: "b", Path: "/"}}}
	runContext, end := context.WithCancelCause(ctx)
	u := &run{job: &job.Job{Accepted: job.Accepted{ID: "j"}}, submission: s, ctx: runContext, cancel: end}
	var tickets []*dispatch.Ticket
	for i := range s.Samples {
		ticket, err := d.Enqueue(m.runner.dispatchRequest(u, &s.Samples[i], nil))
		assert.NoError(t, "enqueue", err)
		tickets = append(tickets, ticket)
	}
	d.Views(ctx)
	end(errOwnershipLost)
	for i, ticket := range tickets {
		m.runner.runSample(u, i, ticket)
	}
	short, stop := context.WithTimeout(ctx, 5*time.Second)
	defer stop()
	for range 2 {
		_, err := d.Acquire(short, dispatch.Request{Target: dispatch.Target{Pool: "p"}, Requirements: placement.Requirements{Class: rollout.ClassRollout, Model: "m"}, Tenant: "t", Cost: 1})
		assert.NoError(t, "acquire a slot of the ended job", err)
	}
}
