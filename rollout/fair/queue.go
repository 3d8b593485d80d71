// Package fair decides in which order queued work goes to a pool's engines.
// Urgent classes go first; within a class, tenants share by weight of the work
// that they put in, measured in tokens, and an idle tenant's share goes to the
// others. The queue is bounded and refuses early what cannot meet its deadline.
//
// It is pure: the caller passes the time. The order is start-time fair queueing:
// an item's tag is the later of the class's virtual time and its tenant's last
// finish; the lowest tag goes next.
package fair

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"lagoonlink.org/rollout"
)

// Item is one piece of queued work.
type Item struct {
	ID     uint64
	Tenant string
	Class  rollout.Class
	// Share is the tenant's weight; values below 1 count as 1.
	Share int
	// Cost is the expected work in tokens.
	Cost float64
	// Deadline is when the item is worth nothing any more; zero means never.
	Deadline time.Time
	// Boost halves the item's cost in the order, for a tenant that waits idle.
	Boost bool
}

// Limits bounds a queue.
type Limits struct {
	// Items bounds each class's queue.
	Items int
	// TenantItems bounds one tenant's part of a class's queue.
	TenantItems int
}

type entry struct {
	item  Item
	tag   float64
	order uint64
	index int
}

type byTag []*entry

func (b byTag) Len() int { return len(b) }

func (b byTag) Less(i, j int) bool {
	if b[i].tag != b[j].tag {
		return b[i].tag < b[j].tag
	}
	return b[i].order < b[j].order
}

func (b byTag) Swap(i, j int) {
	b[i], b[j] = b[j], b[i]
	b[i].index, b[j].index = i, j
}

func (b *byTag) Push(x any) {
	e := x.(*entry)
	e.index = len(*b)
	*b = append(*b, e)
}

func (b *byTag) Pop() any {
	old := *b
	e := old[len(old)-1]
	*b = old[:len(old)-1]
	return e
}

// lane is the queue of one class.
type lane struct {
	// waiting holds each tenant's items; a tenant without items has no entry.
	waiting map[string]*byTag
	size    int
	virtual float64
	finish  map[string]float64
}

const lanes = 3

// Queue holds work in the order in which it should be dispatched.
type Queue struct {
	limits Limits
	lanes  [lanes]lane
	byID   map[uint64]*entry
	order  uint64
}

// New returns an empty queue.
func New(l Limits) *Queue {
	q := &Queue{limits: l, byID: map[uint64]*entry{}}
	for i := range q.lanes {
		q.lanes[i] = lane{finish: map[string]float64{}, waiting: map[string]*byTag{}}
	}
	return q
}

// Push queues the item, or refuses it when the class's or the tenant's bound is
// reached or its deadline has passed.
func (q *Queue) Push(now time.Time, it Item) *rollout.Failure {
	l := &q.lanes[it.Class]
	if !it.Deadline.IsZero() && !now.Before(it.Deadline) {
		return rollout.Refuse(rollout.ReasonDeadline, "the deadline passed before the request was queued")
	}
	if l.size >= q.limits.Items || l.queued(it.Tenant) >= q.limits.TenantItems {
		return rollout.Refuse(rollout.ReasonOverloaded, "%d requests of class %s are queued", l.size, it.Class).WithRetryAfter(time.Second)
	}
	q.order++
	e := &entry{item: it, tag: max(l.virtual, l.finish[it.Tenant]), order: q.order}
	l.finish[it.Tenant] = e.tag + cost(it)
	if l.waiting[it.Tenant] == nil {
		l.waiting[it.Tenant] = &byTag{}
	}
	heap.Push(l.waiting[it.Tenant], e)
	l.size++
	q.byID[it.ID] = e
	return nil
}

// queued returns how many items of a tenant wait.
func (l *lane) queued(tenant string) int {
	if w := l.waiting[tenant]; w != nil {
		return len(*w)
	}
	return 0
}

func cost(it Item) float64 {
	c := max(it.Cost, 1) / float64(max(it.Share, 1))
	if it.Boost {
		c /= 2
	}
	return c
}

// Next takes out the first item that the given function accepts, and reports
// whether there is one. It asks about the first item of each tenant only, so
// that one tenant's work that fits nowhere does not hold up the others.
func (q *Queue) Next(accepts func(Item) bool) (Item, bool) {
	for i := range q.lanes {
		if it, ok := q.nextOf(&q.lanes[i], accepts); ok {
			return it, true
		}
	}
	return Item{}, false
}

func (q *Queue) nextOf(l *lane, accepts func(Item) bool) (Item, bool) {
	heads := make(byTag, 0, len(l.waiting))
	for _, w := range l.waiting {
		heads = append(heads, (*w)[0])
	}
	slices.SortFunc(heads, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.tag, b.tag), cmp.Compare(a.order, b.order))
	})
	for _, e := range heads {
		if accepts(e.item) {
			l.virtual = max(l.virtual, e.tag)
			q.forget(l, e)
			return e.item, true
		}
	}
	return Item{}, false
}

// forget takes an entry out of its tenant's items.
func (q *Queue) forget(l *lane, e *entry) {
	delete(q.byID, e.item.ID)
	t := e.item.Tenant
	heap.Remove(l.waiting[t], e.index)
	l.size--
	if l.queued(t) == 0 {
		delete(l.waiting, t)
		if l.finish[t] <= l.virtual {
			delete(l.finish, t)
		}
	}
}

// Remove takes an item out and reports whether it was queued.
func (q *Queue) Remove(id uint64) bool {
	e, ok := q.byID[id]
	if !ok {
		return false
	}
	q.forget(&q.lanes[e.item.Class], e)
	return true
}

// Expire takes out every item whose deadline is at or before now.
func (q *Queue) Expire(now time.Time) []Item {
	var out []Item
	for i := range q.lanes {
		for _, w := range q.lanes[i].waiting {
			for _, e := range *w {
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
func (q *Queue) Len(c rollout.Class) int { return q.lanes[c].size }

// Tenants returns how many items each tenant has queued in a class.
func (q *Queue) Tenants(c rollout.Class) map[string]int {
	out := make(map[string]int, len(q.lanes[c].waiting))
	for t, w := range q.lanes[c].waiting {
		out[t] = len(*w)
	}
	return out
}
