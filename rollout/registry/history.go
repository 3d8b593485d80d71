package registry

import (
	"cmp"
	"slices"
	"time"

	"lagoonlink.org/rollout"
)

// Parameters of the history of a registry.
const (
	// historyAge is how long an incarnation is remembered after another one took its name
	// or its entry was deleted. Callers take a stream up within their own deadlines,
	// which are shorter.
	historyAge = 2 * time.Minute
	// maxHistory limits the remembered incarnations of one name.
	maxHistory = 8
	// clockTolerance is the largest difference that is assumed between the wall clocks of
	// a server and of a VM.
	clockTolerance = 2 * time.Second
)

// past is an incarnation that the registry knew.
type past struct {
	incarnation int64
	// sequence is that of its newest entry.
	sequence uint64
	software rollout.SoftwareVersion
	// lastKnown is when the incarnation was last registered, by the caller's clock.
	lastKnown time.Time
}

// remember adds an incarnation to the history of its name.
func (r *Registry) remember(now time.Time, s rollout.RegisteredServer) {
	if s.Incarnation == 0 {
		return
	}
	list := slices.DeleteFunc(r.history[s.Name], func(p past) bool {
		return p.incarnation == s.Incarnation || now.Sub(p.lastKnown) >= historyAge
	})
	list = append(list, past{incarnation: s.Incarnation, sequence: s.Sequence, software: s.Software, lastKnown: now})
	slices.SortFunc(list, func(a, b past) int { return cmp.Compare(a.incarnation, b.incarnation) })
	r.history[s.Name] = list[max(0, len(list)-maxHistory):]
}

// forget drops what was last known too long ago.
func (r *Registry) forget(now time.Time) {
	for name, list := range r.history {
		list = slices.DeleteFunc(list, func(p past) bool { return now.Sub(p.lastKnown) >= historyAge })
		if len(list) == 0 {
			delete(r.history, name)
			continue
		}
		r.history[name] = list
	}
}

// SoftwareAt returns the software version of the server that began a stream. The VM that
// recorded the origin may have known an older incarnation of the server than the one that
// ran: then the newest incarnation counts that had started by that time. It returns false
// if the version isn't known, or if the clocks are too coarse to tell two versions apart.
func (r *Registry) SoftwareAt(o rollout.StreamOrigin) (rollout.SoftwareVersion, bool) {
	software := o.Software
	if o.Incarnation == 0 {
		return software, software != ""
	}
	known := r.history[o.Server]
	if s, ok := r.Find(o.Server); ok && s.Incarnation != 0 {
		known = append(slices.Clone(known), past{incarnation: s.Incarnation, software: s.Software})
	}
	earliest, latest := o.BeganAt.Add(-clockTolerance).UnixMilli(), o.BeganAt.Add(clockTolerance).UnixMilli()
	newest := o.Incarnation
	for _, p := range known {
		if p.incarnation > newest && p.incarnation <= earliest {
			newest, software = p.incarnation, p.software
		}
	}
	for _, p := range known {
		if p.incarnation > newest && p.incarnation <= latest && p.software != software {
			return "", false
		}
	}
	return software, software != ""
}
