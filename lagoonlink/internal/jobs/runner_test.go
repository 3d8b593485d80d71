package jobs

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/job"
	"lagoonlink.org/rollout/tenancy"
)

// TestRunsThatMustNotStart plays events that forbid a job's run while the run starts. No
// run may remain that nothing cancels: its samples would reach engines later.
func TestRunsThatMustNotStart(t *testing.T) {
	const (
		rounds = 300
		// contenders lock the runner's state all the time, which lengthens the windows
		// between two locks.
		contenders = 4
		// maxDelay is the upper bound of the delay of the event, in microseconds.
		maxDelay = 200
	)
	tests := []struct {
		name   string
		forbid func(m *Manager, p *partition, id string)
	}{
		{name: "the job ends", forbid: func(m *Manager, p *partition, id string) {
			data, err := job.Encode(job.Record{End: &job.End{Job: id}})
			if err != nil {
				panic(err)
			}
			next := p.nextOffset()
			m.apply(p, rollout.ReadResult{Records: []rollout.Record{{Offset: next, Data: data}}, Next: next + 1})
		}},
		{name: "the partition gets another owner", forbid: func(m *Manager, _ *partition, _ string) {
			m.config.Owner.Leave(t.Context())
			m.runner.reconcile(t.Context())
		}},
		{name: "the VM stops", forbid: func(m *Manager, _ *partition, _ string) {
			// Nothing writes the output of samples that ended, so Stop waits for ever.
			ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
			defer cancel()
			m.Stop(ctx)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for round := range rounds {
				m := startManager(t)
				m.runner.allowRuns(t.Context())
				p := m.partitions[0]
				s := &job.Submission{ID: fmt.Sprint(round), Host: "h", Model: "m", At: time.Now(), Retention: time.Minute, Samples: []job.Sample{{ID: "a", Path: "/"}}}
				p.fold.Apply(0, job.Record{Accepted: s.Accept(job.Location{})})
				var both, contention sync.WaitGroup
				var stop atomic.Bool
				for n := range contenders {
					mu := []*sync.Mutex{&m.runner.mu, &p.mu}[n%2]
					contention.Go(func() {
						for !stop.Load() {
							mu.Lock()
							time.Sleep(10 * time.Microsecond)
							mu.Unlock()
						}
					})
				}
				both.Go(func() { m.runner.startSamples(0, s) })
				both.Go(func() {
					time.Sleep(time.Duration(round%maxDelay) * time.Microsecond)
					tt.forbid(m, p, s.ID)
				})
				both.Wait()
				stop.Store(true)
				contention.Wait()
				m.runner.mu.Lock()
				u := m.runner.runs[s.ID]
				m.runner.mu.Unlock()
				if u != nil {
					u.cancel(errShuttingDown)
				}
				m.runner.group.Wait()
				assert.True(t, "no run remains", u == nil)
				if t.Failed() {
					return
				}
			}
		})
	}
}

// TestOpenJobsRunWithinMemory guards against VMs that run out of memory because they run all
// open jobs at once.
func TestOpenJobsRunWithinMemory(t *testing.T) {
	m := startManager(t)
	m.config.RecordBytes, m.config.CallBytes = 256<<10, 2<<20
	samples := make([]job.Sample, 100)
	for i := range samples {
		samples[i] = job.Sample{ID: fmt.Sprint(i), Path: "/"}
	}
	// Two jobs of 100 samples fit, three don't.
	m.config.MemoryBytes = 2 * runMemoryShare * 5 << 19
	m.runner = newRunner(m)
	m.runner.allowRuns(t.Context())
	for n := range 5 {
		s := job.Submission{ID: fmt.Sprint("job", n), Host: "h", Model: "m", At: time.Now(), Retention: time.Minute, Samples: samples}
		assert.NoError(t, "submit", m.Submit(t.Context(), tenancy.Caller{}, s))
	}
	small := job.Submission{ID: "small", Host: "h", Model: "m", At: time.Now(), Retention: time.Minute, Samples: samples[:5]}
	assert.NoError(t, "submit", m.Submit(t.Context(), tenancy.Caller{}, small))
	p := m.partitions[0]
	assert.NoError(t, "catch up", m.catchUp(t.Context(), p))
	running := func() (ids []string) {
		m.runner.mu.Lock()
		defer m.runner.mu.Unlock()
		for id := range m.runner.runs {
			ids = append(ids, id)
		}
		return ids
	}
	awaitRuns := func(want int) {
		t.Helper()
		for end := time.Now().Add(5 * time.Second); len(running()) != want; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("got %d running jobs, want %d", len(running()), want)
			}
		}
	}
	m.runner.startPartition(t.Context(), 0, p)
	awaitRuns(3)
	time.Sleep(50 * time.Millisecond)
	first := running()
	assert.Equal(t, "running jobs", len(first), 3)
	assert.True(t, "the small job runs", slices.Contains(first, "small"))
	// A job that has ended makes room, and one that ends while it waits never starts.
	for _, id := range []string{"job0", "job1", "job2", "job3", "job4", "small"} {
		assert.NoError(t, "end", m.End(t.Context(), tenancy.Caller{}, id))
		assert.NoError(t, "catch up", m.catchUp(t.Context(), p))
	}
	awaitRuns(0)
	m.runner.group.Wait()
	assert.True(t, "all memory is free", m.runner.memory.large.TryAcquire(int64(m.runner.memoryBytes)) && m.runner.memory.small.TryAcquire(int64(m.runner.memoryBytes)))
}
