// Package isolation decides whether this VM reaches no backend server of any service, and
// which other VM serves a request in its place (docs/design/unreachable-servers.md).
//
// It answers the loss of the paths between some VMs and all servers, for VMs that have a
// request only every few seconds: one failed attempt, and not a rate of failures, starts the
// decision. The package does no I/O and reads no clock; the caller passes the time.
package isolation

import (
	"cmp"
	"slices"
	"time"

	"lagoonlink.org/rollout"
)

// Parameters of the decision.
const (
	// trustPeriod is how long an established connection answers further doubts.
	trustPeriod = 500 * time.Millisecond
	// maxProbes limits the servers that are probed before the VM counts as isolated.
	maxProbes = 16
	// retryInterval is the time between two probes of an isolated VM.
	retryInterval = 300 * time.Millisecond
)

// Monitor decides whether this VM is isolated. A doubt is answered by probes, which are
// attempts to establish a new connection: first to one server, and if that fails to servers
// of all zones. Only a new connection ends the isolation, because kept connections may work
// while new ones are refused.
type Monitor struct {
	zone     rollout.Zone
	isolated bool
	// probed holds the servers whose probes have not ended.
	probed map[rollout.ServerName]bool
	// widened reports whether the probes are those to servers of all zones.
	widened bool
	// reachedAt is when a probe last succeeded, retriedAt when an isolated VM last probed.
	reachedAt, retriedAt time.Time
	// turn rotates the servers.
	turn int
}

// NewMonitor returns a Monitor of a VM in a zone. VMs with different seeds probe different
// servers first.
func NewMonitor(zone rollout.Zone, seed int) *Monitor {
	return &Monitor{zone: zone, probed: map[rollout.ServerName]bool{}, turn: max(0, seed)}
}

// Isolated reports whether the VM reaches no server.
func (m *Monitor) Isolated() bool { return m.isolated }

// Deciding reports whether a doubt has not been answered yet.
func (m *Monitor) Deciding() bool { return !m.isolated && len(m.probed) > 0 }

// Doubt records that a server gave no response, and returns the servers to probe.
func (m *Monitor) Doubt(now time.Time, failed rollout.ServerName, servers []rollout.Server) []rollout.Server {
	if m.isolated || m.Deciding() || now.Sub(m.reachedAt) < trustPeriod {
		return nil
	}
	m.widened = false
	return m.probe(m.candidates(failed, servers, 1))
}

// Retry returns the servers that an isolated VM probes now.
func (m *Monitor) Retry(now time.Time, servers []rollout.Server) []rollout.Server {
	if !m.isolated || len(m.probed) > 0 || now.Sub(m.retriedAt) < retryInterval {
		return nil
	}
	m.retriedAt = now
	return m.probe(m.candidates("", servers, 1))
}

// Probed records the result of a probe and returns further servers to probe. It reports
// whether the VM became isolated, or no longer is.
func (m *Monitor) Probed(now time.Time, s rollout.ServerName, reached bool, servers []rollout.Server) (next []rollout.Server, changed bool) {
	if reached {
		changed = m.isolated
		m.isolated, m.reachedAt = false, now
		clear(m.probed)
		return nil, changed
	}
	if !m.probed[s] {
		return nil, false
	}
	delete(m.probed, s)
	if m.isolated || len(m.probed) > 0 {
		return nil, false
	}
	if !m.widened {
		m.widened = true
		if next = m.probe(m.candidates(s, servers, maxProbes)); len(next) > 0 {
			return next, false
		}
	}
	m.isolated, m.retriedAt = true, now
	return nil, true
}

func (m *Monitor) probe(servers []rollout.Server) []rollout.Server {
	for _, s := range servers {
		m.probed[s.Name] = true
	}
	return servers
}

// candidates returns up to limit servers, those of the VM's zone first and then one of each
// zone in turn, without the given one if there is another.
func (m *Monitor) candidates(without rollout.ServerName, servers []rollout.Server, limit int) []rollout.Server {
	others := slices.DeleteFunc(slices.Clone(servers), func(s rollout.Server) bool { return s.Name == without })
	if len(others) == 0 {
		others = slices.Clone(servers)
	}
	if len(others) == 0 {
		return nil
	}
	m.turn++
	start := m.turn % len(others)
	others = append(others[start:], others[:start]...)
	rank, counts := map[rollout.ServerName]int{}, map[rollout.Zone]int{}
	for _, s := range others {
		rank[s.Name] = 2 * counts[s.Zone]
		if s.Zone != m.zone {
			rank[s.Name]++
		}
		counts[s.Zone]++
	}
	slices.SortStableFunc(others, func(a, b rollout.Server) int { return cmp.Compare(rank[a.Name], rank[b.Name]) })
	return others[:min(limit, len(others))]
}
