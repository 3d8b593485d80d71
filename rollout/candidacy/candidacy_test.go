package candidacy_test

import (
	"fmt"
	"testing"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/candidacy"
)

const partitions = 16

// owners assigns the partitions round-robin to VMs of the given capacities.
func owners(capacities ...int) []rollout.PartitionOwner {
	var out []rollout.PartitionOwner
	for p := range partitions {
		o := rollout.PartitionOwner{Partition: rollout.Partition{Topic: "jobs", Number: p}}
		if len(capacities) > 0 {
			n := p % len(capacities)
			o.Member = candidacy.Candidate{Capacity: capacities[n]}.MemberName(rollout.VMName(fmt.Sprintf("vm-%d", n)))
		}
		out = append(out, o)
	}
	return out
}

func TestShouldRun(t *testing.T) {
	small := candidacy.Candidate{Capacity: 134, Partitions: partitions}
	for name, c := range map[string]struct {
		candidate  candidacy.Candidate
		member     bool
		sinceStart time.Duration
		owners     []rollout.PartitionOwner
		want       bool
	}{
		"large VM at its start":                       {candidacy.Candidate{Capacity: 800, Partitions: partitions}, false, 0, nil, true},
		"VM of unknown capacity":                      {candidacy.Candidate{Partitions: partitions}, false, 0, owners(800, 800), true},
		"small VM waits for others to join":           {small, false, time.Second, owners(), false},
		"small VM without other members":              {small, false, 3 * time.Second, owners(), true},
		"small VM among equals":                       {small, false, 3 * time.Second, owners(134, 134, 134), true},
		"small VM beside three large ones":            {small, false, time.Hour, owners(800, 800, 800), false},
		"small member leaves to three large ones":     {small, true, time.Hour, owners(800, 134, 800, 800), false},
		"small member and a partition without owner":  {small, true, time.Hour, append(owners(800, 800, 800)[:partitions-1], rollout.PartitionOwner{}), true},
		"small VM beside too few large ones":          {small, false, time.Hour, owners(800, 134, 134), true},
		"VM that is slightly smaller than the others": {candidacy.Candidate{Capacity: 400, Partitions: partitions}, false, time.Hour, owners(500, 500), true},
		"members of unknown capacity":                 {small, false, time.Hour, []rollout.PartitionOwner{{Member: "vm"}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, "runs jobs", c.candidate.ShouldRun(c.member, c.sinceStart, c.owners), c.want)
		})
	}
}
