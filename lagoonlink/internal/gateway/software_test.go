package gateway_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/job"
)

// checkSoftware checks that no run of the job's samples continued a text that servers of
// another software version began. It returns the number of runs that continued one.
func (d *deployment) checkSoftware(t *testing.T, s job.Submission, software map[rollout.ServerName]rollout.SoftwareVersion) (continued int) {
	t.Helper()
	for _, sample := range s.Samples {
		runs := d.engines.History(sample.ID)
		for i, r := range runs {
			if r.After > 0 {
				continued++
				assert.Equal(t, fmt.Sprintf("software of run %d of %s", i, sample.ID), software[r.Server], software[runs[i-1].Server])
			}
		}
	}
	return continued
}

// TestTextsAreNotJoinedAcrossSoftwareVersions guards against samples whose texts are
// joined from servers of two software versions, when runs fail, owners fail and the
// servers of one version leave.
func TestTextsAreNotJoinedAcrossSoftwareVersions(t *testing.T) {
	d := deploy(t, 100, 4*time.Millisecond, "a")
	software := map[rollout.ServerName]rollout.SoftwareVersion{"s0": "v1", "s1": "v1", "s2": "v1", "s3": "v2", "s4": "v2"}
	for n := range servers {
		d.registerSoftware(n, 1, software[rollout.ServerName(fmt.Sprint("s", n))])
	}
	connectionLost := rollout.Fail(rollout.MayHaveRun, rollout.ReasonTruncated, errors.New("connection lost"))
	d.engines.SetFailure("s0", connectionLost)
	d.engines.SetFailure("s3", connectionLost)
	s := newJob("mixed", 12, 1)
	d.submit(t, "a", s)
	time.Sleep(350 * time.Millisecond)
	d.kill("a")
	<-d.done["a"]
	d.start("n")
	time.Sleep(300 * time.Millisecond)
	d.engines.SetFailure("s1", connectionLost)
	d.engines.SetFailure("s2", connectionLost)
	for n := range 3 {
		d.servers.Put(rollout.Change[rollout.RegisteredServer]{Key: fmt.Sprint("s", n), Deleted: true})
	}
	d.readComplete(t, "n", s)
	assert.True(t, "some runs continued a text", d.checkSoftware(t, s, software) > 0)
}

// TestTextsAreContinuedByTheKnownIncarnation guards against texts that go on at a server
// which started again with other software, at a VM that knows only its former incarnation.
func TestTextsAreContinuedByTheKnownIncarnation(t *testing.T) {
	d := deploy(t, 12, 2*time.Millisecond)
	for n := range servers {
		name := rollout.ServerName(fmt.Sprint("s", n))
		d.servers.Put(rollout.Change[rollout.RegisteredServer]{Key: string(name), Value: rollout.RegisteredServer{
			Name: name, Service: "pool", Address: d.address, Slots: 4, Software: "v1", Incarnation: 1,
			Versions: map[rollout.ModelName]rollout.WeightVersion{model: 1},
		}})
		d.engines.SetIncarnation(name, 1)
	}
	d.engines.SetIncarnation("s1", 2)
	d.engines.SetFailure("s0", rollout.Fail(rollout.MayHaveRun, rollout.ReasonTruncated, errors.New("connection lost")))
	d.start("a")
	s := newJob("known", 60, 1)
	d.submit(t, "a", s)
	d.readComplete(t, "a", s)
	continued := 0
	for _, sample := range s.Samples {
		for _, r := range d.engines.History(sample.ID) {
			if r.After > 0 {
				continued++
				assert.True(t, "server of a continued text is not s1", r.Server != "s1")
			}
		}
	}
	assert.True(t, "some runs continued a text", continued > 0)
}

// TestTextsOfUnconfirmedServersAreComplete guards against samples that are never placed
// again after their runs were interrupted, because no server confirms its incarnation.
func TestTextsOfUnconfirmedServersAreComplete(t *testing.T) {
	for name, reported := range map[string]int64{"the servers don't state it": 0, "the servers state another one": 2} {
		t.Run(name, func(t *testing.T) {
			d := deploy(t, 12, 2*time.Millisecond)
			for n := range servers {
				name := rollout.ServerName(fmt.Sprint("s", n))
				d.servers.Put(rollout.Change[rollout.RegisteredServer]{Key: string(name), Value: rollout.RegisteredServer{
					Name: name, Service: "pool", Address: d.address, Slots: 4, Software: "v1", Incarnation: 1,
					Versions: map[rollout.ModelName]rollout.WeightVersion{model: 1},
				}})
				d.engines.SetIncarnation(name, reported)
			}
			d.engines.SetFailure("s0", rollout.Fail(rollout.MayHaveRun, rollout.ReasonTruncated, errors.New("connection lost")))
			d.start("a")
			s := newJob("unconfirmed", 40, 1)
			d.submit(t, "a", s)
			d.readComplete(t, "a", s)
		})
	}
}

// TestTextsDontWaitForWeightsThatNobodyLoads guards against samples that wait for good beside
// idle servers, because those that may continue their text have weights that are too old, and
// others have as many as the model needs.
func TestTextsDontWaitForWeightsThatNobodyLoads(t *testing.T) {
	lost := rollout.Fail(rollout.MayHaveRun, rollout.ReasonTruncated, errors.New("connection lost"))
	for name, end := range map[string]func(d *deployment){
		"the only server with them is lost": func(d *deployment) {
			d.registerSoftware(4, 2, "v2")
			d.servers.Put(rollout.Change[rollout.RegisteredServer]{Key: "s0", Deleted: true})
		},
		"a run failed at the only server with them": func(d *deployment) { d.engines.SetFailure("s0", nil) },
	} {
		t.Run(name, func(t *testing.T) {
			d := deploy(t, 20, 10*time.Millisecond)
			d.engines.SetVersion("s0", 2)
			d.engines.SetVersion("s4", 2)
			d.registerSoftware(0, 2, "v1")
			for n := 1; n < servers; n++ {
				d.registerSoftware(n, 1, "v1")
			}
			d.engines.SetFailure("s0", lost)
			d.start("a")
			s := newJob("waits", 4, 2)
			d.submit(t, "a", s)
			for end := time.Now().Add(testTimeout); d.engines.Runs("waits-0") == 0 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(15 * time.Millisecond)
			end(d)
			d.readComplete(t, "a", s)
		})
	}
}
