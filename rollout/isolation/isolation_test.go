package isolation_test

import (
	"fmt"
	"testing"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/isolation"
)

// world plays probes of a VM in zone a with servers in three zones.
type world struct {
	monitor *isolation.Monitor
	servers []rollout.Server
	// reached reports whether a new connection to a server is established.
	reached func(rollout.Server) bool
	now     time.Time
	probes  int
}

func newWorld(servers int, reached func(rollout.Server) bool) *world {
	w := &world{monitor: isolation.NewMonitor("a", 3), reached: reached, now: time.Unix(1000, 0)}
	for n := range servers {
		zone := rollout.Zone(string(rune('a' + n%3)))
		w.servers = append(w.servers, rollout.Server{Name: rollout.ServerName(fmt.Sprint("s", n)), Zone: zone})
	}
	return w
}

// play runs probes and those that follow from them.
func (w *world) play(probes []rollout.Server) {
	for len(probes) > 0 {
		s := probes[0]
		probes = probes[1:]
		w.probes++
		next, _ := w.monitor.Probed(w.now, s.Name, w.reached(s), w.servers)
		probes = append(probes, next...)
	}
}

func (w *world) doubt(s rollout.ServerName) { w.play(w.monitor.Doubt(w.now, s, w.servers)) }

func TestOneFailedAttemptDecides(t *testing.T) {
	for name, c := range map[string]struct {
		servers  int
		reached  func(rollout.Server) bool
		isolated bool
		probes   int
	}{
		"no path to any server":       {12, func(rollout.Server) bool { return false }, true, 17},
		"one server ended":            {12, func(s rollout.Server) bool { return s.Name != "s0" }, false, 1},
		"only servers of the zone":    {12, func(s rollout.Server) bool { return s.Zone == "a" }, false, 1},
		"only servers of other zones": {12, func(s rollout.Server) bool { return s.Zone != "a" }, false, 17},
		"the only server ended":       {1, func(rollout.Server) bool { return false }, true, 2},
		"no servers":                  {0, func(rollout.Server) bool { return false }, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(c.servers, c.reached)
			w.doubt("s0")
			assert.Equal(t, "isolated", w.monitor.Isolated(), c.isolated)
			assert.True(t, "decided", !w.monitor.Deciding())
			assert.AtMost(t, "probes", w.probes, c.probes)
		})
	}
}

func TestIsolationEndsWithANewConnection(t *testing.T) {
	healed := false
	w := newWorld(6, func(rollout.Server) bool { return healed })
	w.doubt("s0")
	before := w.probes
	for range 20 {
		w.now = w.now.Add(50 * time.Millisecond)
		w.play(w.monitor.Retry(w.now, w.servers))
	}
	assert.True(t, "still isolated", w.monitor.Isolated())
	assert.AtMost(t, "probes in a second", w.probes-before, 4)
	healed = true
	w.now = w.now.Add(300 * time.Millisecond)
	w.play(w.monitor.Retry(w.now, w.servers))
	assert.True(t, "no longer isolated", !w.monitor.Isolated())
}

// A crash of many servers makes every VM doubt, which must not cost a connection a request.
func TestDoubtsAreAnsweredTogether(t *testing.T) {
	w := newWorld(6, func(s rollout.Server) bool { return s.Name == "s5" || s.Name == "s4" || s.Name == "s3" })
	for range 100 {
		w.now = w.now.Add(10 * time.Millisecond)
		w.doubt("s0")
	}
	assert.True(t, "not isolated", !w.monitor.Isolated())
	assert.AtMost(t, "probes in a second", w.probes, 14)
}

func TestChoose(t *testing.T) {
	peers := func(reachNear, cutNear, reachFar int) []isolation.Peer {
		var out []isolation.Peer
		add := func(n int, zone rollout.Zone, reaches bool) {
			for i := range n {
				out = append(out, isolation.Peer{VM: rollout.VMName(fmt.Sprint(zone, reaches, i)), Zone: zone, Reaches: reaches})
			}
		}
		add(reachNear, "a", true)
		add(cutNear, "a", false)
		add(reachFar, "b", true)
		return out
	}
	for name, c := range map[string]struct {
		peers       []isolation.Peer
		usable      int
		firstInZone int
	}{
		"the zone can carry it":       {peers(3, 1, 5), 8, 100},
		"most of the zone is cut off": {peers(1, 3, 5), 6, 30},
		"the whole zone is cut off":   {peers(0, 4, 5), 5, 0},
		"nobody reaches servers":      {peers(0, 4, 0), 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			inZone, first := 0, map[rollout.VMName]int{}
			for n := range 100 {
				chosen := isolation.Choose(c.peers, "a", fmt.Sprint("request", n))
				assert.Equal(t, "usable", len(chosen), c.usable)
				if len(chosen) == 0 {
					continue
				}
				first[chosen[0].VM]++
				if chosen[0].Zone == "a" {
					inZone++
				}
			}
			assert.AtMost(t, "asked first in the zone", inZone, c.firstInZone)
			if c.firstInZone == 100 {
				assert.Equal(t, "asked first in the zone", inZone, 100)
			}
			for vm, n := range first {
				assert.AtMost(t, "requests of "+string(vm), n, 60)
			}
		})
	}
}
