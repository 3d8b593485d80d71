package gateway_test

import (
	"testing"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/job"
)

// runsAt returns the number of runs of the job's samples at a server.
func (d *deployment) runsAt(s job.Submission, server rollout.ServerName) int {
	n := 0
	for _, sample := range s.Samples {
		for _, r := range d.engines.History(sample.ID) {
			if r.Server == server {
				n++
			}
		}
	}
	return n
}

// TestQueuedSamplesAvoidLeavingServers guards against samples that wait in the queue when
// two servers state that they are leaving, and reach them afterwards, while the store still
// lists both as ready and later can't be reached.
func TestQueuedSamplesAvoidLeavingServers(t *testing.T) {
	d := deploy(t, 20, 4*time.Millisecond, "a")
	s := newJob("leaving", 160, 1)
	d.submit(t, "a", s)
	d.awaitLog(t, "started to run a job's samples")
	for d.runsAt(s, "s0") == 0 || d.runsAt(s, "s1") == 0 {
		time.Sleep(time.Millisecond)
	}
	d.engines.StateLeaving("s0", 0)
	d.engines.StateLeaving("s1", 0)
	// Requests that were being sent at that moment may arrive.
	time.Sleep(20 * time.Millisecond)
	before := []int{d.runsAt(s, "s0"), d.runsAt(s, "s1")}
	d.register(0, 1)
	d.register(1, 1)
	d.servers.SetDown(true)
	d.readComplete(t, "a", s)
	assert.Equal(t, "runs at the leaving servers", []int{d.runsAt(s, "s0"), d.runsAt(s, "s1")}, before)
	assert.True(t, "samples were still queued", d.runsAt(s, "s2")+d.runsAt(s, "s3")+d.runsAt(s, "s4") > len(s.Samples)/2)
}
