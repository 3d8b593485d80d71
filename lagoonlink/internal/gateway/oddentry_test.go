package gateway_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/job"
)

// TestOddEntryDoesNotStopItsService guards against one entry in service discovery whose
// figures stop the samples or the scores of all servers of its service.
func TestOddEntryDoesNotStopItsService(t *testing.T) {
	for name, odd := range map[string]func(s *rollout.RegisteredServer){
		"very many slots": func(s *rollout.RegisteredServer) { s.Slots = math.MaxInt },
		"half of that":    func(s *rollout.RegisteredServer) { s.Slots = math.MaxInt/2 + 1 },
		"a million slots": func(s *rollout.RegisteredServer) { s.Slots = 1_000_000 },
		"negative slots":  func(s *rollout.RegisteredServer) { s.Slots = math.MinInt },
		"a late start":    func(s *rollout.RegisteredServer) { s.Incarnation = math.MaxInt64 },
		"an early start":  func(s *rollout.RegisteredServer) { s.Incarnation = math.MinInt64 },
		"a high weight version": func(s *rollout.RegisteredServer) {
			s.Versions = map[rollout.ModelName]rollout.WeightVersion{model: math.MaxUint64}
		},
		"many models": func(s *rollout.RegisteredServer) {
			s.Versions = map[rollout.ModelName]rollout.WeightVersion{}
			for n := range 1000 {
				s.Versions[rollout.ModelName(fmt.Sprint(n))] = 1
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := deploy(t, 3, time.Millisecond)
			for _, service := range []rollout.ServiceName{"pool", "scores"} {
				entry := rollout.RegisteredServer{Name: rollout.ServerName("odd-" + service), Service: service, Address: "127.0.0.1:1", Slots: 4}
				odd(&entry)
				d.servers.Put(rollout.Change[rollout.RegisteredServer]{Key: string(entry.Name), Value: entry})
			}
			d.start("a")
			var all []job.Submission
			for n := range 3 {
				all = append(all, newScoredJob(fmt.Sprint("odd", n), 30))
				d.submit(t, "a", all[n])
			}
			for _, s := range all {
				d.assertScores(t, d.readComplete(t, "a", s))
			}
		})
	}
}
