package membership_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/lifecycle"
	"lagoonlink.org/rollout/membership"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	tick    = 50 * time.Millisecond
	latency = 2 * time.Millisecond
)

// delivery is a message in flight.
type delivery struct {
	at       time.Time
	sequence int
	from, to int
	message  membership.Message
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	return d[i].at.Before(d[j].at) || (d[i].at.Equal(d[j].at) && d[i].sequence < d[j].sequence)
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	old := *d
	x := old[len(old)-1]
	*d = old[:len(old)-1]
	return x
}

// network is a simulated network that connects views in virtual time.
type network struct {
	now      time.Time
	views    []*membership.View
	down     []bool
	queue    deliveries
	sequence int
	// blocked reports whether messages between two VMs are dropped.
	blocked func(from, to int) bool
	// loss is the probability that a message is dropped.
	loss   float64
	random *rand.Rand
	sent   int
	// declaredDead is when each view first declared each other VM dead.
	declaredDead map[int]map[rollout.VMName]time.Time
}

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:8081", i/200, i%200) }

func name(i int) rollout.VMName { return rollout.VMName(fmt.Sprintf("vm-%d", i)) }

func newNetwork(count int, seed uint64) *network {
	n := &network{now: start, random: rand.New(rand.NewPCG(seed, 0)), blocked: func(int, int) bool { return false }, declaredDead: map[int]map[rollout.VMName]time.Time{}}
	n.down = make([]bool, count)
	for i := range count {
		v := membership.New(membership.Config{
			Self: name(i), Zone: rollout.Zone(fmt.Sprintf("zone-%d", i%3)), Address: address(i), Incarnation: 1, Seed: seed + uint64(i), Timing: membership.DefaultTiming(),
		})
		v.Seed([]string{address(0), address((i + 1) % count), address((i + 7) % count)})
		n.views = append(n.views, v)
		n.declaredDead[i] = map[rollout.VMName]time.Time{}
	}
	return n
}

// index returns the number of the VM at an address, the inverse of address.
func index(a string) int {
	var hi, lo int
	if _, err := fmt.Sscanf(a, "10.0.%d.%d:8081", &hi, &lo); err != nil {
		return -1
	}
	return hi*200 + lo
}

func (n *network) perform(from int, actions []membership.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case membership.Send:
			n.sent++
			n.sequence++
			to := index(a.Address)
			if n.blocked(from, to) || n.random.Float64() < n.loss {
				continue
			}
			heap.Push(&n.queue, delivery{n.now.Add(latency), n.sequence, from, to, a.Message})
		case membership.StateChanged:
			if _, known := n.declaredDead[from][a.Member.Name]; a.Member.State == lifecycle.VMDead && !known {
				n.declaredDead[from][a.Member.Name] = n.now
			}
		}
	}
}

// run advances virtual time, delivering messages and ticking the views.
func (n *network) run(d time.Duration) {
	end := n.now.Add(d)
	for n.now.Before(end) {
		next := n.now.Add(tick)
		for len(n.queue) > 0 && n.queue[0].at.Before(next) {
			m := heap.Pop(&n.queue).(delivery)
			n.now = m.at
			if !n.down[m.to] {
				n.perform(m.to, n.views[m.to].HandleMessage(n.now, address(m.from), m.message))
			}
		}
		n.now = next
		for i, v := range n.views {
			if !n.down[i] {
				n.perform(i, v.Tick(n.now))
			}
		}
	}
}

// alive returns how many other VMs view i considers alive.
func (n *network) alive(i int) int {
	count := 0
	for _, m := range n.views[i].Members() {
		if m.State == lifecycle.VMAlive {
			count++
		}
	}
	return count
}

func TestJoin(t *testing.T) {
	n := newNetwork(15, 1)
	n.run(10 * time.Second)
	for i := range n.views {
		assert.Equal(t, fmt.Sprintf("others alive in the view of VM %d", i), n.alive(i), 14)
	}
}

// TestCrashDetection checks that a crash is detected within 3 s at p99.
func TestCrashDetection(t *testing.T) {
	for _, count := range []int{15, 60} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			var detectionTimes []time.Duration
			for seed := range uint64(6) {
				n := newNetwork(count, seed+1)
				n.run(12 * time.Second)
				n.down[1] = true
				crash := n.now
				n.run(8 * time.Second)
				for i := range n.views {
					if at, ok := n.declaredDead[i][name(1)]; i != 1 && ok {
						detectionTimes = append(detectionTimes, at.Sub(crash))
					}
				}
			}
			slices.Sort(detectionTimes)
			assert.Equal(t, "views that detected the crash", len(detectionTimes), 6*(count-1))
			assert.AtMost(t, "milliseconds to detect at p99", detectionTimes[len(detectionTimes)*99/100].Milliseconds(), 3000)
		})
	}
}

// TestPausedVMIsNotDeclaredDead pauses a VM for less than the detection time.
func TestPausedVMIsNotDeclaredDead(t *testing.T) {
	for _, pause := range []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, 750 * time.Millisecond, 1200 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			for seed := range uint64(5) {
				n := newNetwork(15, seed+1)
				n.run(8 * time.Second)
				n.down[3] = true
				n.run(pause)
				n.down[3] = false
				n.run(6 * time.Second)
				dead := 0
				for i := range n.views {
					dead += len(n.declaredDead[i])
				}
				assert.Equal(t, "VMs declared dead by any view", dead, 0)
				assert.Equal(t, "others alive in the view of the paused VM", n.alive(3), 14)
			}
		})
	}
}

func TestLossyNetwork(t *testing.T) {
	n := newNetwork(15, 4)
	n.loss = 0.05
	n.run(60 * time.Second)
	dead := 0
	for i := range n.views {
		dead += len(n.declaredDead[i])
	}
	assert.Equal(t, "VMs declared dead at 5 % message loss", dead, 0)
}

// TestPartitionRecovery partitions the network in several ways and expects every
// view to consider all VMs alive after the partition ends.
func TestPartitionRecovery(t *testing.T) {
	zone := func(i int) int { return i % 3 }
	for _, c := range []struct {
		name    string
		blocked func(from, to int) bool
		dead    int
	}{
		{"one zone separated from the others", func(from, to int) bool { return (zone(from) == 0) != (zone(to) == 0) }, 10},
		{"messages of one zone dropped in one direction", func(from, to int) bool { return zone(from) == 0 && zone(to) != 0 }, 10},
		{"one VM reaches only half of the others", func(from, to int) bool { return (from == 0 && to%2 == 1) || (to == 0 && from%2 == 1) }, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newNetwork(15, 2)
			n.run(8 * time.Second)
			n.blocked = c.blocked
			n.run(15 * time.Second)
			assert.Equal(t, "others alive during the partition", n.alive(0), 14-c.dead)
			n.blocked = func(int, int) bool { return false }
			n.run(60 * time.Second)
			for i := range n.views {
				assert.Equal(t, fmt.Sprintf("others alive in the view of VM %d", i), n.alive(i), 14)
			}
		})
	}
}

func TestRestartAndLeave(t *testing.T) {
	n := newNetwork(6, 3)
	n.run(6 * time.Second)
	t.Run("a VM that leaves is marked as left", func(t *testing.T) {
		n.perform(2, n.views[2].Leave())
		n.down[2] = true
		n.run(2 * time.Second)
		for _, m := range n.views[0].Members() {
			if m.Name == name(2) {
				assert.Equal(t, "state", m.State, lifecycle.VMLeft)
			}
		}
	})
	t.Run("a new process of the same name joins", func(t *testing.T) {
		n.views[2] = membership.New(membership.Config{Self: name(2), Zone: "zone-2", Address: address(2), Incarnation: 100, Seed: 9, Timing: membership.DefaultTiming()})
		n.views[2].Seed([]string{address(0)})
		n.down[2] = false
		n.run(10 * time.Second)
		assert.Equal(t, "others alive", n.alive(0), 5)
	})
}

func TestRank(t *testing.T) {
	n := newNetwork(9, 5)
	n.run(8 * time.Second)
	t.Run("all views agree", func(t *testing.T) {
		want := n.views[0].Roster().Rank("orders/assistant/zone-1", "zone-1")[0].Name
		for _, v := range n.views {
			assert.Equal(t, "holder", v.Roster().Rank("orders/assistant/zone-1", "zone-1")[0].Name, want)
		}
	})
	t.Run("all views agree for a zone without VMs", func(t *testing.T) {
		want := n.views[0].Roster().Rank("k", "nowhere")[0].Name
		for _, v := range n.views {
			assert.Equal(t, "holder", v.Roster().Rank("k", "nowhere")[0].Name, want)
		}
	})
}

// BenchmarkProbing reports the messages that one VM sends per second.
func BenchmarkProbing(b *testing.B) {
	for _, count := range []int{15, 60, 410} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			n := newNetwork(count, 1)
			n.run(20 * time.Second)
			n.sent = 0
			b.ResetTimer()
			for range b.N {
				n.run(time.Second)
			}
			b.ReportMetric(float64(n.sent)/float64(b.N)/float64(count), "messages/VM/s")
		})
	}
}
