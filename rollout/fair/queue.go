// Package fair implements a bounded weighted fair queue for the requests of a
// pool. Classes have strict priority, the most urgent first. Within a class,
// tenants share the capacity in proportion to their weights, measured in tokens,
// and the share of an idle tenant goes to the others. An item whose deadline has
// passed is refused.
//
// The order within a class is start-time fair queueing: the start tag of an item
// is the larger of the class's virtual time and its tenant's last finish tag,
// and the item with the lowest start tag is next.
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
	// Share is the weight of the tenant; values below 1 count as 1.
	Share int
	// Cost is the expected work in tokens; values below 1 count as 1.
	Cost float64
	// Deadline is when the item expires; zero means never.
	Deadline time.Time
	// Boost halves the cost of the item, for a tenant that is idle until it is
	// served.
	Boost bool
}

// Limits are the capacity limits of a queue.
type Limits struct {
	// Items is the maximum number of items in each class.
	Items int
	// TenantItems is the maximum number of items of one tenant in each class.
	TenantItems int
}

// entry is a queued item with its position in a [tagHeap].
type entry struct {
	item     Item
	startTag float64
	seq      uint64
	index    int
}

// tagHeap is a [heap.Interface] ordered by start tag, then by arrival.
type tagHeap []*entry

func (h tagHeap) Len() int { return len(h) }

func (h tagHeap) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	return h[i].seq < h[j].seq
}

func (h tagHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *tagHeap) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}

func (h *tagHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

type classQueue struct {
	// byTenant holds the items of each tenant that has any.
	byTenant    map[string]*tagHeap
	size        int
	virtualTime float64
	finishTags  map[string]float64
}

// classCount is the number of values of [rollout.Class].
const classCount = 3

// Queue is a weighted fair queue. It is not safe for concurrent use.
type Queue struct {
	limits  Limits
	classes [classCount]classQueue
	byID    map[uint64]*entry
	lastSeq uint64
}

// New returns an empty queue with the given limits.
func New(l Limits) *Queue {
	q := &Queue{limits: l, byID: map[uint64]*entry{}}
	for i := range q.classes {
		q.classes[i] = classQueue{finishTags: map[string]float64{}, byTenant: map[string]*tagHeap{}}
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
	e := &entry{item: it, startTag: max(c.virtualTime, c.finishTags[it.Tenant]), seq: q.lastSeq}
	c.finishTags[it.Tenant] = e.startTag + weightedCost(it)
	if c.byTenant[it.Tenant] == nil {
		c.byTenant[it.Tenant] = &tagHeap{}
	}
	heap.Push(c.byTenant[it.Tenant], e)
	c.size++
	q.byID[it.ID] = e
	return nil
}

func (c *classQueue) queued(tenant string) int {
	if h := c.byTenant[tenant]; h != nil {
		return len(*h)
	}
	return 0
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
// tenant, so that a tenant whose requests cannot run now does not block the
// others.
func (q *Queue) Next(accepts func(Item) bool) (Item, bool) {
	for i := range q.classes {
		if it, ok := q.nextInClass(&q.classes[i], accepts); ok {
			return it, true
		}
	}
	return Item{}, false
}

func (q *Queue) nextInClass(c *classQueue, accepts func(Item) bool) (Item, bool) {
	heads := make(tagHeap, 0, len(c.byTenant))
	for _, h := range c.byTenant {
		heads = append(heads, (*h)[0])
	}
	slices.SortFunc(heads, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.startTag, b.startTag), cmp.Compare(a.seq, b.seq))
	})
	for _, e := range heads {
		if accepts(e.item) {
			c.virtualTime = max(c.virtualTime, e.startTag)
			q.removeEntry(c, e)
			return e.item, true
		}
	}
	return Item{}, false
}

// removeEntry removes an entry from its class. It drops the finish tag of a
// tenant without items once the virtual time has reached the tag.
func (q *Queue) removeEntry(c *classQueue, e *entry) {
	delete(q.byID, e.item.ID)
	t := e.item.Tenant
	heap.Remove(c.byTenant[t], e.index)
	c.size--
	if c.queued(t) == 0 {
		delete(c.byTenant, t)
		if c.finishTags[t] <= c.virtualTime {
			delete(c.finishTags, t)
		}
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
		for _, h := range q.classes[i].byTenant {
			for _, e := range *h {
				if d := e.item.Deadline; !d.IsZero() && !now.Before(d) {
					out = append(out, e.item)
				}
			}
		}
	}
	for _, it := range out {
		q.Remove(it.ID)
	}
	return out
}

// Len returns how many items of a class are queued.
func (q *Queue) Len(c rollout.Class) int { return q.classes[c].size }

// Tenants returns how many items of a class are queued for each tenant.
func (q *Queue) Tenants(c rollout.Class) map[string]int {
	out := make(map[string]int, len(q.classes[c].byTenant))
	for t, h := range q.classes[c].byTenant {
		out[t] = len(*h)
	}
	return out
}
