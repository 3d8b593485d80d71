// Package candidacy decides which VMs run jobs when VMs differ in CPU capacity. A VM
// with a seventh of a core cannot read the streams of the 200 samples of a step, so all
// samples would be late. The package does no I/O and reads no clock; the caller passes
// the time.
//
// It is designed for steps of 200 samples with 20 pieces per second each, on a
// deployment where one VM in six has most of the CPU time.
package candidacy

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"lagoonlink.org/rollout"
)

// Parameters of the decision.
const (
	// alwaysRunCapacity is the capacity, in thousandths of a core, from which a VM runs
	// jobs regardless of other VMs: it can read the streams of two steps at once.
	alwaysRunCapacity = 500
	// strongerFactor is the ratio of capacities from which another VM counts as
	// stronger, so that a small VM leaves jobs to it.
	strongerFactor = 2
	// joinDelay is how long a small VM waits after its start so that larger VMs join
	// first.
	joinDelay = 2 * time.Second
)

// Candidate describes a VM that may run jobs.
type Candidate struct {
	// Capacity is the CPU capacity of the VM in thousandths of a core; 0 means
	// unknown.
	Capacity int
	// Partitions is the total number of partitions of the job topic.
	Partitions int
}

// Always reports whether the VM runs jobs regardless of other VMs.
func (c Candidate) Always() bool { return c.Capacity == 0 || c.Capacity >= alwaysRunCapacity }

// ShouldRun reports whether the VM should run jobs, given whether it is a member already,
// the time since its start and the owners of the partitions. A small VM does not run
// jobs while all partitions are owned and the stronger VMs among the owners have a total
// capacity of at least its own for each partition.
func (c Candidate) ShouldRun(member bool, sinceStart time.Duration, owners []rollout.PartitionOwner) bool {
	if c.Always() {
		return true
	}
	owned, stronger := 0, map[rollout.VMName]int{}
	for _, o := range owners {
		if o.Member == "" {
			continue
		}
		owned++
		if capacity := capacityOf(o.Member); capacity >= strongerFactor*c.Capacity {
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
	return member || sinceStart >= joinDelay
}

// MemberName returns the member name under which a VM joins. It includes the capacity, if
// known, so that other VMs can read it.
func (c Candidate) MemberName(vm rollout.VMName) rollout.VMName {
	if c.Capacity == 0 {
		return vm
	}
	return rollout.VMName(fmt.Sprintf("%s/%d", vm, c.Capacity))
}

// capacityOf returns the capacity in a member name, or 0 if there is none.
func capacityOf(member rollout.VMName) int {
	_, suffix, _ := strings.Cut(string(member), "/")
	n, err := strconv.Atoi(suffix)
	if err != nil {
		return 0
	}
	return n
}
