package ownership_test

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/ownership"
	"lagoonlink.org/lagoonlink/internal/standin"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/candidacy"
)

func start(t *testing.T, s *standin.Store, name string) *ownership.Owner {
	t.Helper()
	return startWithCapacity(t, s, "a", name, 0)
}

// startWithCapacity starts an Owner on a VM with the given capacity in thousandths
// of a core.
func startWithCapacity(t *testing.T, s *standin.Store, vm rollout.VMName, name string, capacity int) *ownership.Owner {
	t.Helper()
	return startWithHandOver(t, s, vm, name, capacity, &atomic.Bool{}, func(context.Context) {})
}

// startWithHandOver starts an Owner that hands its partitions over while handsOver is set.
func startWithHandOver(t *testing.T, s *standin.Store, vm rollout.VMName, name string, capacity int, handsOver *atomic.Bool, handOver func(context.Context)) *ownership.Owner {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	o := ownership.New(ownership.Config{
		VM: vm, Groups: s.ForVM(vm), Group: name, Topics: []string{"jobs"}, Lease: 40 * time.Millisecond,
		Candidate: candidacy.Candidate{Capacity: capacity, Partitions: 4}, Logger: event.NewLogger(log),
		HandsOver: func(context.Context) bool { return handsOver.Load() }, HandOver: handOver,
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = o.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return o
}

func waitForPartitions(t *testing.T, o *ownership.Owner, want int) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); len(o.Current().Partitions) != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("partitions: got %d, want %d", len(o.Current().Partitions), want)
		}
	}
}

func TestOwner(t *testing.T) {
	t.Run("notifies a late watcher of partitions that are already owned", func(t *testing.T) {
		o := start(t, standin.NewStore(4), "g")
		waitForPartitions(t, o, 4)
		select {
		case <-o.Watch():
		case <-time.After(time.Second):
			t.Errorf("watch: got nothing, want a value at once")
		}
	})
	t.Run("keeps its assignment while the store is unavailable", func(t *testing.T) {
		s := standin.NewStore(4)
		o := start(t, s, "g")
		waitForPartitions(t, o, 4)
		s.SetDown("a", true)
		time.Sleep(100 * time.Millisecond)
		waitForPartitions(t, o, 4)
	})
	t.Run("is invalid after its lease and notifies watchers once renewed", func(t *testing.T) {
		s := standin.NewStore(4)
		o := start(t, s, "g")
		waitForPartitions(t, o, 4)
		watch := o.Watch()
		<-watch
		assert.True(t, "valid", o.Valid())
		s.SetDown("a", true)
		time.Sleep(100 * time.Millisecond)
		assert.True(t, "lapsed", !o.Valid())
		s.SetDown("a", false)
		select {
		case <-watch:
		case <-time.After(5 * time.Second):
			t.Errorf("watch: got nothing, want a value after the renewal")
		}
		assert.Equal(t, "partitions", len(o.Current().Partitions), 4)
	})
	t.Run("hands its partitions over while it can't do their work", func(t *testing.T) {
		s := standin.NewStore(4)
		var handsOver atomic.Bool
		var owned atomic.Int64
		var o *ownership.Owner
		o = startWithHandOver(t, s, "a", "g", 0, &handsOver, func(context.Context) { owned.Store(int64(len(o.Current().Partitions))) })
		waitForPartitions(t, o, 4)
		other := startWithCapacity(t, s, "b", "g", 0)
		waitForPartitions(t, other, 2)
		waitForPartitions(t, o, 2)
		handsOver.Store(true)
		waitForPartitions(t, other, 4)
		waitForPartitions(t, o, 0)
		// What the runs have generated is stored before another VM can own them.
		assert.Equal(t, "partitions owned while the work is stored", owned.Load(), 2)
		handsOver.Store(false)
		waitForPartitions(t, o, 2)
	})
	t.Run("owns nothing after leaving", func(t *testing.T) {
		o := start(t, standin.NewStore(4), "g")
		waitForPartitions(t, o, 4)
		o.Leave(context.Background())
		time.Sleep(60 * time.Millisecond)
		assert.Equal(t, "partitions", len(o.Current().Partitions), 0)
	})
}

func TestSmallVMLeavesJobsToLargeOnes(t *testing.T) {
	s := standin.NewStore(4)
	small := startWithCapacity(t, s, "small", "g", 100)
	large := startWithCapacity(t, s, "large", "g", 800)
	waitForPartitions(t, large, 4)
	time.Sleep(2500 * time.Millisecond)
	waitForPartitions(t, large, 4)
	waitForPartitions(t, small, 0)
	s.SetDown("large", true)
	s.RemoveMember("large")
	waitForPartitions(t, small, 4)
	s.SetDown("large", false)
	waitForPartitions(t, large, 4)
	waitForPartitions(t, small, 0)
}
