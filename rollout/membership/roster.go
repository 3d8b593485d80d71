package membership

import (
	"slices"

	"github.com/zeebo/xxh3"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/life"
)

// Roster is an immutable copy of the living VMs, this one included.
type Roster struct {
	Self    Member
	Members []Member
}

// Roster returns the VMs that are alive or only suspected.
func (v *View) Roster() Roster {
	r := Roster{Self: v.Self()}
	for _, m := range v.sorted() {
		if m.State == life.VMAlive || m.State == life.VMSuspect {
			r.Members = append(r.Members, *m)
		}
	}
	if v.self.State == life.VMAlive {
		r.Members = append(r.Members, r.Self)
	}
	return r
}

// Rank orders the VMs of a zone by rendezvous hash for a key: the first is the
// key's holder, the next takes over. Without VMs in the zone, all living VMs are
// ranked, so that those that see each other agree.
func (r Roster) Rank(key string, zone rollout.Zone) []Member {
	in := r.inZone(zone)
	if len(in) == 0 {
		in = slices.Clone(r.Members)
	}
	slices.SortFunc(in, func(a, b Member) int {
		x, y := weight(key, a.Name), weight(key, b.Name)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	return in
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
