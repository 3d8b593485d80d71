package isolation

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"

	"lagoonlink.org/rollout"
)

// Peer is what another VM announces of itself.
type Peer struct {
	VM      rollout.VMName
	Zone    rollout.Zone
	Address string
	// Reaches reports whether the VM reaches backend servers.
	Reaches bool
}

// Choose returns the VMs that may serve a request of an isolated VM in a zone, in the order
// in which they are asked. The key spreads requests over them. VMs of the zone come first,
// unless fewer of them reach servers than don't, this VM included: then they would have to
// carry more than twice their own requests.
func Choose(peers []Peer, zone rollout.Zone, key string) []Peer {
	near, cutOff := 0, 1
	var usable []Peer
	for _, p := range peers {
		switch {
		case p.Reaches && p.Zone == zone:
			near++
			usable = append(usable, p)
		case p.Reaches:
			usable = append(usable, p)
		case p.Zone == zone:
			cutOff++
		}
	}
	zoneFirst := near >= cutOff
	weight := func(p Peer) uint64 { return xxh3.HashString(string(p.VM) + "\x00" + key) }
	slices.SortFunc(usable, func(a, b Peer) int {
		if zoneFirst && (a.Zone == zone) != (b.Zone == zone) {
			if a.Zone == zone {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(weight(a), weight(b)), cmp.Compare(a.VM, b.VM))
	})
	return usable
}
