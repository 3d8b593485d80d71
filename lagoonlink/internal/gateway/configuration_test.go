package gateway_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/job"
)

// awaitLog waits until the VMs have logged a text.
func (d *deployment) awaitLog(t *testing.T, text string) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		d.log.mu.Lock()
		found := strings.Contains(d.log.text.String(), text)
		d.log.mu.Unlock()
		if found {
			return
		}
	}
	t.Fatalf("log: got no line with %q, want one", text)
}

// declare publishes a route table with the given jobs route.
func (d *deployment) declare(version rollout.ConfigurationVersion, jobs rollout.Route, services ...rollout.RoutedService) {
	d.operator.Put(rollout.Change[rollout.Declared]{Key: "config", Value: rollout.Declared{Table: &rollout.RouteTable{
		Version: version, Routes: []rollout.Route{jobs}, Services: services,
	}}})
}

func jobsRoute(service rollout.ServiceName) rollout.Route {
	return rollout.Route{Name: "r", Host: "a.example", Prefix: "/p/", Kind: rollout.RouteJobs, Splits: []rollout.Split{{Service: service}}, MaxAttempts: 3}
}

func pool(name rollout.ServiceName) rollout.RoutedService {
	return rollout.RoutedService{Name: name, Models: []rollout.ModelName{model}, Slots: 4}
}

// startUnconfigured starts a VM that runs a job before it knows a configuration.
func startUnconfigured(t *testing.T, pieces int, s job.Submission) *deployment {
	t.Helper()
	d := deploy(t, pieces, 4*time.Millisecond)
	d.operator.SetDown(true)
	d.start("a")
	d.submit(t, "a", s)
	d.awaitLog(t, "Job="+s.ID)
	d.awaitLog(t, "started to run a job's samples")
	// The samples' runs begin right after the line.
	time.Sleep(50 * time.Millisecond)
	return d
}

// TestRunsStartBeforeConfiguration guards against samples that are abandoned after one
// failure, or whose texts mix weight versions, because their runs began on a VM that
// could not read the configuration yet.
func TestRunsStartBeforeConfiguration(t *testing.T) {
	t.Run("failures count against the route's limit", func(t *testing.T) {
		s := newJob("failing", 20, 1)
		d := startUnconfigured(t, 8, s)
		d.engines.SetFailure("s0", rollout.Fail(rollout.Ran, rollout.ReasonServerFailed, errors.New("status 500")))
		d.operator.SetDown(false)
		d.readComplete(t, "a", s)
	})
	t.Run("a text has one version if the route requires it", func(t *testing.T) {
		s := newJob("mixed", 8, 1)
		d := startUnconfigured(t, 100, s)
		route := jobsRoute("pool")
		route.SingleVersion = true
		d.declare(2, route, pool("pool"))
		d.operator.SetDown(false)
		time.Sleep(150 * time.Millisecond)
		d.operator.Put(rollout.Change[rollout.Declared]{Key: "version/m", Value: rollout.Declared{Named: &rollout.NamedVersion{Model: model, Version: 2}}})
		for _, r := range d.readComplete(t, "a", s) {
			assert.Equal(t, "versions of "+r.Sample, len(r.Versions), 1)
		}
		assert.True(t, "engines changed weights", len(d.engines.Orders()) > 0)
	})
}

// registerAt registers a server of another service than the pool of [deploy].
func (d *deployment) registerAt(service rollout.ServiceName, name rollout.ServerName) {
	d.servers.Put(rollout.Change[rollout.RegisteredServer]{Key: string(name), Value: rollout.RegisteredServer{
		Name: name, Service: service, Address: d.address, Slots: 4, Versions: map[rollout.ModelName]rollout.WeightVersion{model: 1},
	}})
}

// TestQueuedSamplesFollowTheirRoute guards against samples that are never run, because
// they wait for a service that their route no longer leads to.
func TestQueuedSamplesFollowTheirRoute(t *testing.T) {
	d := deploy(t, 100, 4*time.Millisecond, "a")
	s := newJob("moved", 60, 1)
	d.submit(t, "a", s)
	d.awaitLog(t, "started to run a job's samples")
	d.registerAt("other", "o0")
	d.registerAt("other", "o1")
	d.declare(2, jobsRoute("other"), pool("pool"), pool("other"))
	time.Sleep(100 * time.Millisecond)
	for n := range servers {
		d.servers.Put(rollout.Change[rollout.RegisteredServer]{Key: fmt.Sprint("s", n), Deleted: true})
	}
	d.readComplete(t, "a", s)
}
