// Package usage counts the requests that servers began to run, by window of time and
// tenant. Each VM counts its own requests; the VM that reports them adds the records of
// all VMs.
package usage

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lagoonlink.org/rollout"
)

// Topic is the journal topic of usage records. Only one of its partitions is used.
const Topic = "usage"

// schema is the schema version that this program writes and accepts.
const schema = 1

// maxRemembered limits the requests that a Counter remembers: those of 20 s on a VM with
// 1,000 requests a second.
const maxRemembered = 20000

// maxBusy limits the seconds of a record: 1,000 requests for 1,000 s.
const maxBusy = 1e6

// rememberedWindows is the number of windows for which a request that was counted is
// remembered.
const rememberedWindows = 6

// WindowAt returns the window that contains a time.
func WindowAt(at time.Time, length time.Duration) uint64 {
	return uint64(max(0, at.UnixNano()) / int64(length))
}

// EndOf returns the time at which a window ends.
func EndOf(window uint64, length time.Duration) time.Time {
	return time.Unix(0, int64(window+1)*int64(length))
}

// Timing states when, after the end of a window, its counts are stored and its report is
// fixed.
type Timing struct {
	// Store and StoreLatest bound the time at which a VM stores what it counted, so that
	// not all VMs do so at once. StoreAgain is when it stores what it learned since then,
	// from responses that took long.
	Store, StoreLatest, StoreAgain time.Duration
	// Fix is when the counts are added up. It leaves most of the time until the report is
	// due to another VM that may have to take over.
	Fix time.Duration
	// Lost is when a report that was not accepted is given up.
	Lost time.Duration
}

// maxFix is the longest time until a report is fixed.
const maxFix = 4 * time.Second

// NewTiming returns the timing of reports that are due some time after their window's end.
func NewTiming(late time.Duration) Timing {
	fix := min(maxFix, late*2/5)
	return Timing{Store: fix / 4, StoreLatest: fix / 2, StoreAgain: fix * 3 / 4, Fix: fix, Lost: 2 * late}
}

// Record states what one process counted in a window. Several records of a process may
// belong to one window. A record that is stored twice counts once.
type Record struct {
	Schema int
	VM     rollout.VMName
	// Incarnation identifies the process, Sequence the record among those of the process.
	Incarnation string
	Sequence    uint64
	Window      uint64
	Counts      map[string]int
	// Busy is the time in seconds that requests spent at the servers of each service.
	Busy map[rollout.ServiceName]float64 `cbor:",omitempty"`
}

// Encode encodes a record with the current schema version.
func Encode(r Record) ([]byte, error) {
	r.Schema = schema
	data, err := cbor.Marshal(r)
	return data, rollout.Wrapf(err, "encode usage record")
}

// Decode decodes and validates a record.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := cbor.Unmarshal(data, &r); err != nil {
		return Record{}, rollout.Wrapf(err, "decode usage record")
	}
	if r.Schema != schema || r.VM == "" || r.Incarnation == "" {
		return Record{}, fmt.Errorf("usage record: got schema %d of VM %q, expected schema %d and a VM", r.Schema, r.VM, schema)
	}
	for tenant, n := range r.Counts {
		if tenant == "" || n < 1 {
			return Record{}, fmt.Errorf("usage record: got count %d of tenant %q", n, tenant)
		}
	}
	for service, seconds := range r.Busy {
		if service == "" || !(seconds >= 0 && seconds <= maxBusy) {
			return Record{}, fmt.Errorf("usage record: got %g s of service %q", seconds, service)
		}
	}
	return r, nil
}

// Counter counts the requests of one VM.
type Counter struct {
	length time.Duration
	counts map[uint64]map[string]int
	busy   map[uint64]map[rollout.ServiceName]float64
	// taken holds the windows of which counts were taken before.
	taken map[uint64]bool
	// remembered holds the window in which each recent request was counted.
	remembered map[string]uint64
}

// NewCounter returns a Counter for windows of the given length.
func NewCounter(length time.Duration) *Counter {
	return &Counter{length: length, counts: map[uint64]map[string]int{}, busy: map[uint64]map[rollout.ServiceName]float64{}, taken: map[uint64]bool{}, remembered: map[string]uint64{}}
}

// Add counts a request of a tenant, unless it was counted before or has no tenant.
func (c *Counter) Add(tenant, request string, at time.Time) {
	if tenant == "" {
		return
	}
	window := WindowAt(at, c.length)
	if request != "" {
		key := tenant + "\x00" + request
		if _, counted := c.remembered[key]; counted {
			return
		}
		if len(c.remembered) < maxRemembered {
			c.remembered[key] = window
		}
	}
	if c.counts[window] == nil {
		c.counts[window] = map[string]int{}
	}
	c.counts[window][tenant]++
}

// AddBusy adds the time that a request which ended at a time spent at a server.
func (c *Counter) AddBusy(s rollout.ServiceName, took time.Duration, at time.Time) {
	window := WindowAt(at, c.length)
	if c.busy[window] == nil {
		c.busy[window] = map[rollout.ServiceName]float64{}
	}
	c.busy[window][s] += took.Seconds()
}

// Taken is what was counted in one window since its counts were last taken.
type Taken struct {
	Window uint64
	Counts map[string]int
	Busy   map[rollout.ServiceName]float64
}

// Take returns and removes the counts of the windows that ended some time ago: first if
// nothing was taken of a window before, again otherwise. The counts of windows that ended
// longer ago than limit come too late; only their number is returned.
func (c *Counter) Take(now time.Time, first, again, limit time.Duration) (taken []Taken, late int) {
	windows := slices.AppendSeq(slices.Collect(maps.Keys(c.counts)), maps.Keys(c.busy))
	slices.Sort(windows)
	for _, window := range slices.Compact(windows) {
		age := now.Sub(EndOf(window, c.length))
		delay := first
		if c.taken[window] {
			delay = again
		}
		switch {
		case age >= limit:
			late += Total(c.counts[window])
		case age >= delay:
			taken = append(taken, Taken{Window: window, Counts: c.counts[window], Busy: c.busy[window]})
			c.taken[window] = true
		default:
			continue
		}
		delete(c.counts, window)
		delete(c.busy, window)
	}
	c.forget(WindowAt(now, c.length))
	return taken, late
}

// forget drops what belongs to windows long before the given one.
func (c *Counter) forget(window uint64) {
	old := func(w uint64) bool { return w+rememberedWindows < window }
	maps.DeleteFunc(c.taken, func(w uint64, _ bool) bool { return old(w) })
	maps.DeleteFunc(c.remembered, func(_ string, w uint64) bool { return old(w) })
}

// Total returns the number of all requests.
func Total(counts map[string]int) int {
	n := 0
	for _, count := range counts {
		n += count
	}
	return n
}

// recordID identifies a record.
type recordID struct {
	vm          rollout.VMName
	incarnation string
	sequence    uint64
}

// Fold adds the records of all VMs.
type Fold struct {
	// origin and fixed are the highest windows whose reports were fixed when the fold was
	// created and since then.
	origin uint64
	fixed  uint64
	seen   map[recordID]uint64
	counts map[uint64]map[string]int
	busy   map[uint64]map[rollout.ServiceName]float64
}

// NewFold returns a Fold of the windows after the given one.
func NewFold(fixed uint64) *Fold {
	return &Fold{origin: fixed, fixed: fixed, seen: map[recordID]uint64{}, counts: map[uint64]map[string]int{}, busy: map[uint64]map[rollout.ServiceName]float64{}}
}

// Apply adds a record. It returns the number of its requests if its window was fixed by
// this fold, so that they are in no report. Those of earlier windows may be in a report.
func (f *Fold) Apply(r Record) (late int) {
	id := recordID{r.VM, r.Incarnation, r.Sequence}
	if _, seen := f.seen[id]; seen {
		return 0
	}
	f.seen[id] = r.Window
	if r.Window <= f.origin {
		return 0
	}
	if r.Window <= f.fixed {
		return Total(r.Counts)
	}
	if f.counts[r.Window] == nil {
		f.counts[r.Window] = map[string]int{}
	}
	for tenant, n := range r.Counts {
		f.counts[r.Window][tenant] += n
	}
	if f.busy[r.Window] == nil {
		f.busy[r.Window] = map[rollout.ServiceName]float64{}
	}
	for service, seconds := range r.Busy {
		f.busy[r.Window][service] += seconds
	}
	return 0
}

// Origin returns the highest window whose report was fixed when the fold was created.
func (f *Fold) Origin() uint64 { return f.origin }

// Fixed returns the highest window whose report is fixed.
func (f *Fold) Fixed() uint64 { return f.fixed }

// Load returns the mean number of requests at the servers of each service in a window.
func (f *Fold) Load(window uint64, length time.Duration) map[rollout.ServiceName]float64 {
	out := map[rollout.ServiceName]float64{}
	for service, seconds := range f.busy[window] {
		out[service] = seconds / length.Seconds()
	}
	return out
}

// Report returns the report of a window. Its counts are not nil.
func (f *Fold) Report(window uint64) rollout.UsageReport {
	counts := map[string]int{}
	maps.Copy(counts, f.counts[window])
	return rollout.UsageReport{Window: window, Counts: counts}
}

// Fix records that the report of a window is fixed.
func (f *Fold) Fix(window uint64) {
	f.fixed = max(f.fixed, window)
	maps.DeleteFunc(f.counts, func(w uint64, _ map[string]int) bool { return w <= f.fixed })
	maps.DeleteFunc(f.busy, func(w uint64, _ map[rollout.ServiceName]float64) bool { return w <= f.fixed })
	// A repeated record arrives within a few windows of the first.
	maps.DeleteFunc(f.seen, func(_ recordID, w uint64) bool { return w+rememberedWindows < f.fixed })
}
