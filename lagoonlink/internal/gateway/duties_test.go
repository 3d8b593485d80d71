package gateway_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"lagoonlink.org/lagoonlink/internal/gateway"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
)

// fakeCloud records the calls of all VMs.
type fakeCloud struct {
	mu      sync.Mutex
	tokens  []rollout.DutyToken
	reports []rollout.UsageReport
	orders  []rollout.ServerOrder
}

func (f *fakeCloud) ReportUsage(_ context.Context, r rollout.UsageReport, t rollout.DutyToken) (rollout.DutyOutcome, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tokens, f.reports = append(f.tokens, t), append(f.reports, r)
	return rollout.DutyAccepted, nil
}

func (f *fakeCloud) OrderServers(_ context.Context, o rollout.ServerOrder, t rollout.DutyToken) (rollout.DutyOutcome, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tokens, f.orders = append(f.tokens, t), append(f.orders, o)
	return rollout.DutyAccepted, nil
}

// holders returns the VMs that made calls.
func (f *fakeCloud) holders() map[rollout.VMName]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[rollout.VMName]bool{}
	for _, t := range f.tokens {
		out[t.Holder] = true
	}
	return out
}

// When the VM that reports usage is lost, another one must take over without a gap, and
// with higher tokens.
func TestReporterFails(t *testing.T) {
	f := &fakeCloud{}
	d := deploy(t, 1, time.Millisecond)
	d.duties = gateway.Duties{Cloud: f, ReportsUsage: true, Rate: 50, Window: time.Second, Late: 5 * time.Second}
	d.start("a")
	d.start("b")
	wait := func(what string, done func() bool) {
		t.Helper()
		for end := time.Now().Add(testTimeout); !done(); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("timeout: " + what)
			}
		}
	}
	wait("a report", func() bool { return len(f.holders()) == 1 })
	for vm := range f.holders() {
		d.kill(vm)
	}
	wait("a report of the other VM", func() bool { return len(f.holders()) == 2 })
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := 1; i < len(f.reports); i++ {
		what := fmt.Sprint("report ", i)
		// A report that was sent but not recorded as sent is repeated.
		assert.True(t, what+" follows the one before", f.reports[i].Window-f.reports[i-1].Window <= 1)
		assert.True(t, what+" has no lower token", f.tokens[i].Number >= f.tokens[i-1].Number)
	}
}

// Servers must be ordered for work that those present can't do in time, and only for the
// service whose configuration permits it.
func TestServersOrdered(t *testing.T) {
	f := &fakeCloud{}
	d := deploy(t, 200, 20*time.Millisecond)
	d.duties = gateway.Duties{Cloud: f, OrdersServers: true, Rate: 50, Window: time.Second, Late: 5 * time.Second}
	d.operator.Put(rollout.Change[rollout.Declared]{Key: "config", Value: rollout.Declared{Table: &rollout.RouteTable{
		Version: 2,
		Routes: []rollout.Route{
			{Name: "r", Host: "a.example", Prefix: "/p/", Kind: rollout.RouteJobs, Splits: []rollout.Split{{Service: "pool"}}, MaxAttempts: 3},
		},
		Services: []rollout.RoutedService{
			{Name: "pool", Models: []rollout.ModelName{model}, Slots: 4, Scaling: &rollout.Scaling{Min: 1, Max: 40, Boot: 4 * time.Second, ZonePrices: map[rollout.Zone]float64{"z": 1}}},
			{Name: "scores", Slots: 6},
		},
	}}})
	d.start("a")
	d.submit(t, "a", newJob("j1", 400, 1))
	for end := time.Now().Add(testTimeout); ; time.Sleep(20 * time.Millisecond) {
		f.mu.Lock()
		orders := f.orders
		f.mu.Unlock()
		for _, o := range orders {
			assert.Equal(t, "service", o.Service, "pool")
		}
		if len(orders) > 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatal("timeout: an order")
		}
	}
}
