package fair_test

import (
	"testing"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/fair"
)

// fill queues items of a tenant and priority, numbered from first.
func fill(t *testing.T, q *fair.Queue, first uint64, count int, tenant string, priority int) {
	t.Helper()
	for n := range count {
		push(t, q, fair.Item{ID: first + uint64(n), Tenant: tenant, Priority: priority})
	}
}

// TestPriorities guards against tenants that starve behind a higher priority, and against
// items of a low priority that delay higher ones more than they may.
func TestPriorities(t *testing.T) {
	for name, c := range map[string]struct {
		// fill queues the items, the IDs of which tell the tenant: hundreds.
		fill  func(t *testing.T, q *fair.Queue)
		items int
		want  map[uint64]int
	}{
		"one in eight goes to the oldest": {func(t *testing.T, q *fair.Queue) {
			fill(t, q, 100, 90, "low", 3)
			fill(t, q, 200, 90, "high", 0)
		}, 80, map[uint64]int{1: 10, 2: 70}},
		"the oldest may have the high priority": {func(t *testing.T, q *fair.Queue) {
			fill(t, q, 200, 90, "high", 0)
			fill(t, q, 100, 90, "low", 3)
		}, 80, map[uint64]int{2: 80}},
		"tenants of a priority share": {func(t *testing.T, q *fair.Queue) {
			fill(t, q, 300, 90, "low", 9)
			fill(t, q, 100, 90, "large", 1)
			fill(t, q, 200, 30, "small", 1)
		}, 64, map[uint64]int{1: 28, 2: 28, 3: 8}},
		"a low priority gets all when nothing else waits": {func(t *testing.T, q *fair.Queue) {
			fill(t, q, 100, 30, "low", 7)
		}, 30, map[uint64]int{1: 30}},
		"a higher priority that comes later goes first": {func(t *testing.T, q *fair.Queue) {
			fill(t, q, 100, 30, "low", 7)
			q.Next(acceptAny)
			fill(t, q, 200, 7, "high", -1)
		}, 7, map[uint64]int{2: 7}},
	} {
		t.Run(name, func(t *testing.T) {
			q := fair.New(fair.Limits{Items: 1000, TenantItems: 1000})
			c.fill(t, q)
			got := map[uint64]int{}
			for range c.items {
				if it, ok := q.Next(acceptAny); ok {
					got[it.ID/100]++
				}
			}
			assert.Equal(t, "items by tenant", got, c.want)
		})
	}
}

// TestBlockedPriorities guards against items that no server accepts and that use up the
// turn of the oldest item, or block other priorities.
func TestBlockedPriorities(t *testing.T) {
	q := fair.New(fair.Limits{Items: 100, TenantItems: 100})
	fill(t, q, 100, 20, "low", 3)
	fill(t, q, 200, 20, "high", 0)
	for range 50 {
		_, ok := q.Next(func(fair.Item) bool { return false })
		assert.True(t, "nothing is served", !ok)
	}
	notLow := func(it fair.Item) bool { return it.Tenant != "low" }
	for range 10 {
		it, _ := q.Next(notLow)
		assert.Equal(t, "tenant", it.Tenant, "high")
	}
	var turns []string
	for range 8 {
		it, _ := q.Next(acceptAny)
		turns = append(turns, it.Tenant)
	}
	assert.Equal(t, "turns after the refusals", turns, []string{"high", "high", "high", "high", "high", "low", "high", "high"})
	assert.Equal(t, "waiting", q.Tenants(rollout.ClassService), map[string]int{"low": 19, "high": 3})
}

func TestLimitsOverPriorities(t *testing.T) {
	q := fair.New(fair.Limits{Items: 4, TenantItems: 2})
	push(t, q, fair.Item{ID: 1, Tenant: "a", Priority: 1, Deadline: start.Add(time.Second)})
	push(t, q, fair.Item{ID: 2, Tenant: "a", Priority: 2})
	assert.Equal(t, "a third item of the tenant", q.Push(start, fair.Item{ID: 3, Tenant: "a"}).Reason, rollout.ReasonOverloaded)
	fill(t, q, 10, 2, "b", 5)
	assert.Equal(t, "a fifth item", q.Push(start, fair.Item{ID: 4, Tenant: "c"}).Reason, rollout.ReasonOverloaded)
	assert.Equal(t, "expired", len(q.Expire(start.Add(time.Second))), 1)
	assert.True(t, "removed", q.Remove(2))
	assert.Equal(t, "left", q.Len(rollout.ClassService), 2)
	it, _ := q.Next(acceptAny)
	assert.Equal(t, "tenant", it.Tenant, "b")
}
