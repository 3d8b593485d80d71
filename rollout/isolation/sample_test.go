package isolation_test

import (
	"fmt"
	"testing"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/isolation"
)

// TestSamplesReachEveryVM plays 410 VMs in 15 zones: each turn asks few, and a while of turns
// asks all.
func TestSamplesReachEveryVM(t *testing.T) {
	var vms []isolation.Peer
	for n := range 410 {
		vms = append(vms, isolation.Peer{VM: rollout.VMName(fmt.Sprint(n)), Zone: rollout.Zone(fmt.Sprint("z", n%15))})
	}
	asked := map[rollout.VMName]int{}
	for turn := range 60 {
		sample := isolation.Sample(vms, "z3", 16, turn)
		assert.Equal(t, "VMs", len(sample), 16)
		near := 0
		for _, p := range sample {
			asked[p.VM]++
			if p.Zone == "z3" {
				near++
			}
		}
		assert.Equal(t, "VMs of the zone", near, 8)
	}
	assert.Equal(t, "VMs that were asked", len(asked), 410)
}

func TestSamplesOfFewVMs(t *testing.T) {
	vms := func(zones ...rollout.Zone) (out []isolation.Peer) {
		for n, z := range zones {
			out = append(out, isolation.Peer{VM: rollout.VMName(fmt.Sprint(n)), Zone: z})
		}
		return out
	}
	for name, c := range map[string]struct {
		vms  []isolation.Peer
		want int
	}{
		"none":              {nil, 0},
		"one":               {vms("z"), 1},
		"of one zone":       {vms("z", "z", "z", "z", "z"), 4},
		"of another zone":   {vms("y", "y", "y", "y", "y"), 4},
		"most of one":       {vms("z", "y", "y", "y", "y"), 4},
		"fewer than wanted": {vms("z", "y", "y"), 3},
	} {
		t.Run(name, func(t *testing.T) {
			seen := map[rollout.VMName]bool{}
			sample := isolation.Sample(c.vms, "z", 4, 7)
			for _, p := range sample {
				seen[p.VM] = true
			}
			assert.Equal(t, "VMs", len(sample), c.want)
			assert.Equal(t, "different ones", len(seen), c.want)
		})
	}
}
