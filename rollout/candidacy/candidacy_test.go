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

// owners gives the partitions in turn to VMs of the given capacities.
func owners(capacities ...int) []rollout.PartitionOwner {
	var out []rollout.PartitionOwner
	for p := range partitions {
		o := rollout.PartitionOwner{Partition: rollout.Partition{Topic: "jobs", Number: p}}
		if len(capacities) > 0 {
			n := p % len(capacities)
			o.Member = candidacy.Candidate{Capacity: capacities[n]}.Member(rollout.VMName(fmt.Sprintf("vm-%d", n)))
		}
		out = append(out, o)
	}
	return out
}

func TestRuns(t *testing.T) {
	small := candidacy.Candidate{Capacity: 134, Partitions: partitions}
	for name, c := range map[string]struct {
		candidate  candidacy.Candidate
		member     bool
		sinceStart time.Duration
		owners     []rollout.PartitionOwner
		want       bool
	}{
		"a large one at once":                        {candidacy.Candidate{Capacity: 800, Partitions: partitions}, false, 0, nil, true},
		"one that does not know its size":            {candidacy.Candidate{Partitions: partitions}, false, 0, owners(800, 800), true},
		"a small one lets others join first":         {small, false, time.Second, owners(), false},
		"a small one where nobody else is":           {small, false, 3 * time.Second, owners(), true},
		"a small one among its like":                 {small, false, 3 * time.Second, owners(134, 134, 134), true},
		"a small one beside three large ones":        {small, false, time.Hour, owners(800, 800, 800), false},
		"a small member leaves when they are back":   {small, true, time.Hour, owners(800, 134, 800, 800), false},
		"a small member beside one that is lost":     {small, true, time.Hour, append(owners(800, 800, 800)[:partitions-1], rollout.PartitionOwner{}), true},
		"a small one beside too few large ones":      {small, false, time.Hour, owners(800, 134, 134), true},
		"one that is not much smaller than the rest": {candidacy.Candidate{Capacity: 400, Partitions: partitions}, false, time.Hour, owners(500, 500), true},
		"members that do not tell their size":        {small, false, time.Hour, []rollout.PartitionOwner{{Member: "vm"}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, "runs jobs", c.candidate.Runs(c.member, c.sinceStart, c.owners), c.want)
		})
	}
}
