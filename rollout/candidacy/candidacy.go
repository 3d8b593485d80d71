// Package candidacy decides which VMs run jobs, when VMs differ in size: a VM with a
// seventh of a core can't read the streams of a step's two hundred samples, and every
// sample would be late. It is pure: the caller passes the time.
//
// The load that it answers: steps of 200 samples, 20 pieces a second each, on a
// deployment where one VM in six has most of the processor time.
package candidacy

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"lagoonlink.org/rollout"
)

// Numbers of the decision.
const (
	// alwaysFrom is the capacity, in thousandths of a core, from which a VM runs jobs
	// whatever others have: it reads the streams of two steps at once.
	alwaysFrom = 500
	// strongerBy is how many times a VM's capacity others must have for it to leave
	// the jobs to them.
	strongerBy = 2
	// standBack is how long a smaller VM lets larger ones join first.
	standBack = 2 * time.Second
)

// Candidate is a VM that may run jobs.
type Candidate struct {
	// Capacity is its share of a processor in thousandths of a core; 0 when it is not
	// known.
	Capacity int
	// Partitions is how many partitions there are to run.
	Partitions int
}

// Always reports whether the VM runs jobs without regard to others.
func (c Candidate) Always() bool { return c.Capacity == 0 || c.Capacity >= alwaysFrom }

// Runs reports whether the VM should be among those that run jobs, from the owners of
// the partitions and the time since it started.
func (c Candidate) Runs(member bool, sinceStart time.Duration, owners []rollout.PartitionOwner) bool {
	if c.Always() {
		return true
	}
	owned, stronger := 0, map[rollout.VMName]int{}
	for _, o := range owners {
		if o.Member == "" {
			continue
		}
		owned++
		if capacity := capacityOf(o.Member); capacity >= strongerBy*c.Capacity {
			stronger[o.Member] = capacity
		}
	}
	sum := 0
	for _, capacity := range stronger {
		sum += capacity
	}
	if owned >= c.Partitions && sum >= c.Partitions*c.Capacity {
		return false
	}
	return member || sinceStart >= standBack
}

// Member returns the name under which a VM joins, which tells others its capacity
// when it is known.
func (c Candidate) Member(vm rollout.VMName) rollout.VMName {
	if c.Capacity == 0 {
		return vm
	}
	return rollout.VMName(fmt.Sprintf("%s/%d", vm, c.Capacity))
}

// capacityOf reads the capacity from a member's name; 0 when it tells none.
func capacityOf(member rollout.VMName) int {
	_, text, _ := strings.Cut(string(member), "/")
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return n
}
