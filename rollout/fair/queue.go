// Package fair implements a bounded weighted fair queue for the requests of a
// pool. Classes have strict priority, the most urgent first. Within a class, items of
// a higher priority go first, but while several priorities wait, one item in ageInterval
// is the one that has waited longest. Within a priority,
// tenants share the capacity in proportion to their weights, measured in tokens,
// and the share of an idle tenant goes to the others. An item whose deadline has
// passed is refused.
//
// The order of the tenants of a priority is start-time fair queueing: each item gets
// the larger of the priority's virtual time and its tenant's last finish tag as its
// start tag, and the tenant with the lowest start tag is next. Within a tenant the
// item with the lowest rank is next, then the oldest; it takes the lowest start tag
// of its tenant, whatever its own was.
//
// The package does no I/O and reads no clock; the caller passes the time.
package fair

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"lagoonlink.org/rollout"
)

// Item is a queued request.
type Item struct {
	ID     uint64
	Tenant string
	Class  rollout.Class
	// Priority ranks the item within its class; 0 is the highest.
	Priority int
	// Share is the weight of the tenant; values below 1 count as 1.
	Share int
	// Cost is the expected work in tokens; values below 1 count as 1.
	Cost float64
	// Deadline is when the item expires; zero means never.
	Deadline time.Time
	// Boost halves the cost of the item, for a tenant that is idle until it is
	// served.
	Boost bool
	// Rank orders the items of a tenant: lower ranks are served first.
	Rank int
}

// Limits are the capacity limits of a queue.
type Limits struct {
	// Items is the maximum number of items in each class.
	Items int
	// TenantItems is the maximum number of items of one tenant in each class.
	TenantItems int
}

// entry is a queued item with its position in a [rankHeap].
type entry struct {
	item  Item
	seq   uint64
	index int
}

// rankHeap is a [heap.Interface] ordered by rank, then by arrival.
type rankHeap []*entry

func (h rankHeap) Len() int { return len(h) }

func (h rankHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].item.Rank, h[j].item.Rank), cmp.Compare(h[i].seq, h[j].seq)) < 0
}

func (h rankHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *rankHeap) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}

func (h *rankHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// ageInterval is how often an item is chosen by its age: one in so many of a class, so that
// low priorities get a share when higher ones take all there is.
const ageInterval = 8

// tenantQueue holds the items of one tenant in one level.
type tenantQueue struct {
	entries rankHeap
	// startTags holds as many tags as there are entries, in ascending order.
	startTags []float64
}

// level holds the items of one priority of a class.
type level struct {
	priority int
	// byTenant holds the items of each tenant that has any.
	byTenant    map[string]*tenantQueue
	virtualTime float64
	finishTags  map[string]float64
}

type classQueue struct {
	// levels is sorted by priority, the highest first. Empty ones are dropped, except that
	// of priority 0, which keeps the shares that tenants have used.
	levels []*level
	size   int
	// sinceAged counts the items served since one was chosen by its age.
	sinceAged int
}

// level returns the level of a priority, which is added if it doesn't exist.
func (c *classQueue) level(priority int) *level {
	i, found := slices.BinarySearchFunc(c.levels, priority, func(l *level, p int) int { return cmp.Compare(l.priority, p) })
	if !found {
		c.levels = slices.Insert(c.levels, i, &level{priority: priority, finishTags: map[string]float64{}, byTenant: map[string]*tenantQueue{}})
	}
	return c.levels[i]
}

// Queue is a weighted fair queue. It is not safe for concurrent use.
type Queue struct {
	limits  Limits
	classes [rollout.ClassCount]classQueue
	byID    map[uint64]*entry
	lastSeq uint64
}

// New returns an empty queue with the given limits.
func New(l Limits) *Queue {
	q := &Queue{limits: l, byID: map[uint64]*entry{}}
	for i := range q.classes {
		q.classes[i].level(0)
	}
	return q
}

// Push queues the item. It returns a refusal if the deadline of the item has
// passed or if the limit of its class or its tenant is reached.
func (q *Queue) Push(now time.Time, it Item) *rollout.Failure {
	c := &q.classes[it.Class]
	if !it.Deadline.IsZero() && !now.Before(it.Deadline) {
		return rollout.Refuse(rollout.ReasonDeadline, "the deadline passed before the request was queued")
	}
	if c.size >= q.limits.Items || c.queued(it.Tenant) >= q.limits.TenantItems {
		return rollout.Refuse(rollout.ReasonOverloaded, "%d requests of class %s are queued", c.size, it.Class).WithRetryAfter(time.Second)
	}
	q.lastSeq++
	e := &entry{item: it, seq: q.lastSeq}
	l := c.level(it.Priority)
	startTag := max(l.virtualTime, l.finishTags[it.Tenant])
	l.finishTags[it.Tenant] = startTag + weightedCost(it)
	t := l.byTenant[it.Tenant]
	if t == nil {
		t = &tenantQueue{}
		l.byTenant[it.Tenant] = t
	}
	heap.Push(&t.entries, e)
	t.startTags = append(t.startTags, startTag)
	c.size++
	q.byID[it.ID] = e
	return nil
}

// queued returns the number of items of a tenant in all levels.
func (c *classQueue) queued(tenant string) int {
	n := 0
	for _, l := range c.levels {
		if t := l.byTenant[tenant]; t != nil {
			n += len(t.entries)
		}
	}
	return n
}

func weightedCost(it Item) float64 {
	c := max(it.Cost, 1) / float64(max(it.Share, 1))
	if it.Boost {
		c /= 2
	}
	return c
}

// Next removes and returns the first item that accepts returns true for, or
// false if there is none. It calls accepts only for the first item of each
// tenant of each priority, so that a tenant whose requests cannot run now does not block
// the others.
func (q *Queue) Next(accepts func(Item) bool) (Item, bool) {
	for i := range q.classes {
		if it, ok := q.nextInClass(&q.classes[i], accepts); ok {
			return it, true
		}
	}
	return Item{}, false
}

func (q *Queue) nextInClass(c *classQueue, accepts func(Item) bool) (Item, bool) {
	several := 0
	for _, l := range c.levels {
		if len(l.byTenant) > 0 {
			several++
		}
	}
	if several > 1 {
		if c.sinceAged++; c.sinceAged >= ageInterval {
			return q.oldestInClass(c, accepts)
		}
	}
	for _, l := range c.levels {
		if it, ok := q.nextInLevel(c, l, accepts); ok {
			return it, true
		}
	}
	if several > 1 {
		// Nothing was served.
		c.sinceAged--
	}
	return Item{}, false
}

// candidate is the first item of a tenant of a level.
type candidate struct {
	level  *level
	tenant *tenantQueue
}

// first returns the candidate's entry.
func (f candidate) first() *entry { return f.tenant.entries[0] }

// oldestInClass is like nextInClass, but the items that have waited longest go first.
func (q *Queue) oldestInClass(c *classQueue, accepts func(Item) bool) (Item, bool) {
	var candidates []candidate
	for _, l := range c.levels {
		for _, t := range l.byTenant {
			candidates = append(candidates, candidate{l, t})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.first().seq, b.first().seq) })
	for _, f := range candidates {
		if accepts(f.first().item) {
			c.sinceAged = 0
			return q.serve(c, f), true
		}
	}
	// The next call tries again.
	c.sinceAged--
	return Item{}, false
}

func (q *Queue) nextInLevel(c *classQueue, l *level, accepts func(Item) bool) (Item, bool) {
	tenants := make([]*tenantQueue, 0, len(l.byTenant))
	for _, t := range l.byTenant {
		tenants = append(tenants, t)
	}
	slices.SortFunc(tenants, func(a, b *tenantQueue) int {
		return cmp.Or(cmp.Compare(a.startTags[0], b.startTags[0]), cmp.Compare(a.entries[0].seq, b.entries[0].seq))
	})
	for _, t := range tenants {
		if accepts(t.entries[0].item) {
			return q.serve(c, candidate{l, t}), true
		}
	}
	return Item{}, false
}

// serve removes and returns a candidate's item, at the cost of its tenant's share.
func (q *Queue) serve(c *classQueue, f candidate) Item {
	e := f.first()
	f.level.virtualTime = max(f.level.virtualTime, f.tenant.startTags[0])
	f.tenant.startTags = f.tenant.startTags[1:]
	q.removeEntry(c, e)
	return e.item
}

// removeEntry removes an entry from its class. It drops the finish tag of a
// tenant without items once the virtual time has reached the tag, and a level without
// items.
func (q *Queue) removeEntry(c *classQueue, e *entry) {
	delete(q.byID, e.item.ID)
	name := e.item.Tenant
	l := c.level(e.item.Priority)
	t := l.byTenant[name]
	heap.Remove(&t.entries, e.index)
	// After Next the first tag is gone; for an item that is not served it is the
	// last one that its tenant gives up.
	t.startTags = t.startTags[:min(len(t.startTags), len(t.entries))]
	c.size--
	if len(t.entries) > 0 {
		return
	}
	delete(l.byTenant, name)
	if l.finishTags[name] <= l.virtualTime {
		delete(l.finishTags, name)
	}
	if l.priority != 0 && len(l.byTenant) == 0 {
		c.levels = slices.DeleteFunc(c.levels, func(o *level) bool { return o == l })
	}
}

// Remove removes an item and reports whether it was queued.
func (q *Queue) Remove(id uint64) bool {
	e, ok := q.byID[id]
	if !ok {
		return false
	}
	q.removeEntry(&q.classes[e.item.Class], e)
	return true
}

// Expire removes and returns every item whose deadline is at or before now.
func (q *Queue) Expire(now time.Time) []Item {
	var out []Item
	for i := range q.classes {
		for _, l := range q.classes[i].levels {
			for _, t := range l.byTenant {
				out = t.appendExpired(out, now)
			}
		}
	}
	for _, it := range out {
		q.Remove(it.ID)
	}
	return out
}

// appendExpired appends the items whose deadline is at or before now.
func (t *tenantQueue) appendExpired(items []Item, now time.Time) []Item {
	for _, e := range t.entries {
		if d := e.item.Deadline; !d.IsZero() && !now.Before(d) {
			items = append(items, e.item)
		}
	}
	return items
}

// Len returns how many items of a class are queued.
func (q *Queue) Len(c rollout.Class) int { return q.classes[c].size }

// Tenants returns how many items of a class are queued for each tenant.
func (q *Queue) Tenants(c rollout.Class) map[string]int {
	out := map[string]int{}
	for _, l := range q.classes[c].levels {
		for name, t := range l.byTenant {
			out[name] += len(t.entries)
		}
	}
	return out
}
