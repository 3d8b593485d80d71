package membership

import (
	"slices"

	"github.com/zeebo/xxh3"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/lifecycle"
)

// Roster is an immutable snapshot of the VMs that are alive or suspected. It
// includes this VM unless it has left.
type Roster struct {
	Self    Member
	Members []Member
}

// Roster returns a snapshot of the VMs that are alive or suspected.
func (v *View) Roster() Roster {
	r := Roster{Self: v.Self()}
	for _, m := range v.sorted() {
		if m.State == lifecycle.VMAlive || m.State == lifecycle.VMSuspect {
			r.Members = append(r.Members, *m)
		}
	}
	if v.self.State == lifecycle.VMAlive {
		r.Members = append(r.Members, r.Self)
	}
	return r
}

// Rank returns the VMs of a zone ordered by rendezvous hash of a key. The first is
// the key's holder, and the next takes over when the holder fails. If the zone has
// no VMs, all VMs of the roster are ranked, so that VMs with the same roster
// agree on the holder.
func (r Roster) Rank(key string, zone rollout.Zone) []Member {
	ranked := r.inZone(zone)
	if len(ranked) == 0 {
		ranked = slices.Clone(r.Members)
	}
	slices.SortFunc(ranked, func(a, b Member) int {
		x, y := weight(key, a.Name), weight(key, b.Name)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	return ranked
}

func weight(key string, name rollout.VMName) uint64 {
	return xxh3.HashString(key + "\x00" + string(name))
}

func (r Roster) inZone(z rollout.Zone) []Member {
	var out []Member
	for _, m := range r.Members {
		if m.Zone == z {
			out = append(out, m)
		}
	}
	return out
}
