package placement_test

import (
	"testing"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/placement"
)

// TestObstacles checks that each server counts for the reason that keeps a request from it.
func TestObstacles(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	p := placement.New(placement.Config{})
	var declared []rollout.Server
	for _, name := range []rollout.ServerName{"free", "leaving", "software", "avoided", "ejected", "refusing", "weights", "full", "permit", "other"} {
		declared = append(declared, rollout.Server{Name: name, Address: string(name), Leaving: name == "leaving", Software: "v1", MaxConcurrency: 2})
	}
	declared[2].Software = "v2"
	p.Configure(placement.Config{MaxConcurrency: 2, InitialLimit: 2}, declared)
	software := rollout.SoftwareVersion("v1")
	r := placement.Requirements{Class: rollout.ClassRollout, Model: "m", MinVersion: 2, Avoid: []rollout.ServerName{"avoided"}, Software: &software}
	for range 3 {
		p.Sent(now, "ejected", r)
		p.Ended(now, "ejected", placement.Outcome{Failed: true})
	}
	p.Sent(now, "refusing", r)
	p.Ended(now, "refusing", placement.Outcome{Refused: true})
	p.UpdateLoad("weights", rollout.LoadReport{Loaded: map[rollout.ModelName]rollout.WeightVersion{"m": 1}})
	p.Sent(now, "full", r)
	p.Sent(now, "full", r)
	p.SetRateLimit("permit", 1)
	assert.Equal(t, "obstacles", p.Obstacles(now, r), placement.Obstacles{
		Leaving: 1, OtherSoftware: 1, Avoided: 1, Ejected: 1, Refusing: 1, OlderWeights: 1, Full: 1, NoPermit: 1, None: 2,
	})
	r.MaxUnitTime = 1
	assert.Equal(t, "servers of unknown pace, the one that refuses included", p.Obstacles(now, r).Slow, 4)
}
