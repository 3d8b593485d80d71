package jobs

import (
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/scaling"
)

// defaultDeadline is when a job's results are due if that isn't recorded: the time that
// trainers wait for a step.
const defaultDeadline = 7500 * time.Millisecond

// PoolWork is the work of a pool.
type PoolWork struct {
	Jobs []scaling.Work
	// Results counts the results of all known jobs.
	Results int
}

// OpenWork returns the work of each pool as far as this VM knows the jobs. A VM that issues
// orders follows all partitions and knows all jobs.
func (m *Manager) OpenWork() map[rollout.PoolName]PoolWork {
	v := m.config.InForce.Current()
	if v == nil {
		return nil
	}
	out := map[rollout.PoolName]PoolWork{}
	for _, p := range m.partitions {
		p.mu.Lock()
		for _, j := range p.fold.Jobs() {
			pool, ok := v.Configuration.PoolOfModel(j.Model)
			if !ok {
				continue
			}
			w := out[pool.Name]
			w.Results += len(j.Listed)
			if open := j.Total - len(j.Listed); open > 0 && !j.Ended {
				deadline := j.Deadline
				if deadline <= 0 {
					deadline = defaultDeadline
				}
				w.Jobs = append(w.Jobs, scaling.Work{Samples: open, Due: j.At.Add(deadline)})
			}
			out[pool.Name] = w
		}
		p.mu.Unlock()
	}
	return out
}
