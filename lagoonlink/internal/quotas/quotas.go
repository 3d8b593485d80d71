// Package quotas keeps the request rate limits that backend servers state in their
// responses, together with the other VMs: limits and bookings of requests are records
// of the journal, and package quota decides from them what may be sent when.
package quotas

import (
	"context"
	"errors"
	"maps"
	"time"

	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/quota"
)

// Timeouts and sizes.
const (
	// queueSize limits the bookings and the observed limits that wait.
	queueSize = 256
	// limitedReadInterval is how often the journal is read while a server has a limit,
	// idleReadInterval how often otherwise.
	limitedReadInterval = 500 * time.Millisecond
	idleReadInterval    = 2 * time.Second
	// callTimeout limits a call to the journal. A booking that takes longer is void.
	callTimeout = 800 * time.Millisecond
	// failureDelay is the delay before the next booking after a failed call; it doubles
	// with each further one, up to maxFailureDelay, so that requests whose deadline is
	// earlier are refused at once.
	failureDelay    = 500 * time.Millisecond
	maxFailureDelay = 4 * time.Second
	// minBookingDelay is the minimum delay before the next booking of a server whose
	// booking was void.
	minBookingDelay = 50 * time.Millisecond
	// endedLimitAge is how long it is known when the limit of a server ended. It is longer
	// than any request, whose late response may still state the limit.
	endedLimitAge = 5 * time.Minute
	maxReadBytes  = 256 << 10
)

var partition = rollout.Partition{Topic: quota.Topic}

// Config configures a Tracker.
type Config struct {
	VM      rollout.VMName
	Journal rollout.Journal
	Permits rollout.PermitReceiver
	Logger  *event.Logger
}

type observation struct {
	server rollout.ServerName
	rollout.ObservedLimit
}

// knownLimit is the limit of a server; the rate is 0 if it has ended.
type knownLimit struct {
	rate      float64
	changedAt time.Time
	// granted and void count the requests that this VM booked since the last change.
	granted, void int
}

// Tracker tracks the limits of servers and books requests. Run does its work.
type Tracker struct {
	config   Config
	bookings chan quota.Booking
	observed chan observation

	ledger *quota.Ledger
	next   rollout.Offset
	// known holds what this VM knows of the limits of servers.
	known map[rollout.ServerName]knownLimit
	// unrecorded holds the servers whose limit has changed and is not in the journal yet.
	unrecorded map[rollout.ServerName]bool
	// failures counts the calls to the journal that failed since the last success.
	failures int
}

// New returns a Tracker that knows no limits.
func New(c Config) *Tracker {
	return &Tracker{
		config: c, bookings: make(chan quota.Booking, queueSize), observed: make(chan observation, queueSize), ledger: quota.NewLedger(),
		known: map[rollout.ServerName]knownLimit{}, unrecorded: map[rollout.ServerName]bool{},
	}
}

// Book asks for permits to send a number of requests to a server. It reports whether
// AddPermits will be called with the answer.
func (t *Tracker) Book(s rollout.ServerName, requests int, urgent bool) bool {
	select {
	case t.bookings <- quota.Booking{Server: s, VM: t.config.VM, Requests: requests, Urgent: urgent}:
		return true
	default:
		return false
	}
}

// ObserveLimit implements rollout.LimitReceiver. It drops the observation if too many
// wait; the server's next response repeats it.
func (t *Tracker) ObserveLimit(s rollout.ServerName, o rollout.ObservedLimit) {
	select {
	case t.observed <- observation{server: s, ObservedLimit: o}:
	default:
	}
}

// Run processes bookings and limits until the context ends.
func (t *Tracker) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var batch []quota.Booking
		select {
		case <-ctx.Done():
			return nil
		case o := <-t.observed:
			if !t.observe(o) {
				continue
			}
		case b := <-t.bookings:
			batch = t.collect(b)
		case <-timer.C:
		}
		t.synchronize(ctx, batch)
		timer.Reset(t.readInterval())
	}
}

func (t *Tracker) readInterval() time.Duration {
	if t.ledger.Limited() || len(t.unrecorded) > 0 {
		return limitedReadInterval
	}
	return idleReadInterval
}

// collect returns a booking with the others that wait.
func (t *Tracker) collect(first quota.Booking) []quota.Booking {
	batch := []quota.Booking{first}
	for {
		select {
		case b := <-t.bookings:
			batch = append(batch, b)
		default:
			return batch
		}
	}
}

// observe records a limit that a response stated, and reports whether it is new. A
// response to a request that was sent before the limit changed doesn't change it back.
func (t *Tracker) observe(o observation) bool {
	k := t.known[o.server]
	if k.rate == o.Rate || o.SentAt.Before(k.changedAt) {
		return false
	}
	t.unrecorded[o.server] = true
	t.setLimit(o.server, o.Rate, "Response")
	return true
}

// setLimit changes what this VM knows of a server's limit.
func (t *Tracker) setLimit(s rollout.ServerName, rate float64, source string) {
	k := t.known[s]
	if k.rate == rate {
		return
	}
	t.config.Logger.Write(event.LimitChanged, event.Fields{"Server": s, "Rate": rate, "Before": k.rate, "Source": source, "Granted": k.granted, "Void": k.void})
	t.known[s] = knownLimit{rate: rate, changedAt: time.Now()}
	t.config.Permits.SetRateLimit(s, rate)
}

// synchronize appends the bookings and the changed limits to the journal, applies all
// new records, and answers the bookings.
func (t *Tracker) synchronize(ctx context.Context, batch []quota.Booking) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	worthwhile := t.answerVoid(batch)
	first, count, err := t.append(ctx, worthwhile)
	if err == nil {
		err = t.read(ctx, first, first+rollout.Offset(count))
	}
	if err != nil {
		t.failed(ctx, worthwhile, err)
	} else if t.failures > 0 {
		t.recovered()
	}
	t.forget(time.Now())
}

// forget drops the limits that nobody uses, and the servers whose limits ended long ago.
func (t *Tracker) forget(now time.Time) {
	for _, s := range t.ledger.Forget(now) {
		t.setLimit(s, 0, "Unused")
	}
	maps.DeleteFunc(t.known, func(_ rollout.ServerName, k knownLimit) bool {
		return k.rate == 0 && now.Sub(k.changedAt) >= endedLimitAge
	})
}

// failed answers the bookings after a failed call: what is not known to be granted is not
// sent.
func (t *Tracker) failed(ctx context.Context, batch []quota.Booking, err error) {
	if t.failures == 0 && !errors.Is(ctx.Err(), context.Canceled) {
		t.config.Logger.Write(event.QuotaUnavailable, event.Fields{"Partition": partition, "Error": err})
	}
	delay := min(failureDelay<<min(t.failures, 10), maxFailureDelay)
	t.failures++
	for _, b := range batch {
		t.config.Permits.AddPermits(b.Server, nil, time.Now().Add(delay))
	}
}

// recovered lets bookings start again at once after calls had failed.
func (t *Tracker) recovered() {
	t.failures = 0
	t.config.Logger.Write(event.QuotaAvailable, event.Fields{"Partition": partition})
	for s, k := range t.known {
		if k.rate > 0 {
			t.config.Permits.AddPermits(s, nil, time.Now())
		}
	}
}

// answerVoid answers the bookings that would be void by what this VM knows, and returns
// the others.
func (t *Tracker) answerVoid(batch []quota.Booking) []quota.Booking {
	var rest []quota.Booking
	for _, b := range batch {
		if wait := t.ledger.UntilBookable(time.Now(), b.Server, b.Urgent); wait > 0 {
			t.config.Permits.AddPermits(b.Server, nil, time.Now().Add(max(wait, minBookingDelay)))
			continue
		}
		rest = append(rest, b)
	}
	return rest
}

// append appends changed limits and bookings. It returns the offset of the first record
// and their number; without records it returns the offset up to which this VM has read.
func (t *Tracker) append(ctx context.Context, batch []quota.Booking) (first rollout.Offset, count int, err error) {
	var records []quota.Record
	for s := range t.unrecorded {
		records = append(records, quota.Record{Limit: &quota.Limit{Server: s, Rate: t.known[s].rate}})
	}
	for _, b := range batch {
		records = append(records, quota.Record{Booking: &b})
	}
	var encoded [][]byte
	for _, r := range records {
		r.At = time.Now()
		data, err := quota.Encode(r)
		if err != nil {
			return 0, 0, err
		}
		encoded = append(encoded, data)
	}
	if len(encoded) == 0 {
		return t.next, 0, nil
	}
	first, err = t.config.Journal.Append(ctx, partition, encoded)
	if err != nil {
		return 0, 0, err
	}
	clear(t.unrecorded)
	return first, len(encoded), nil
}

// read applies the new records of the journal. Those from first to end are this VM's.
func (t *Tracker) read(ctx context.Context, first, end rollout.Offset) error {
	for {
		r, err := t.config.Journal.Read(ctx, partition, t.next, maxReadBytes, 0)
		var trimmed *rollout.TrimmedError
		if errors.As(err, &trimmed) && trimmed.First > t.next {
			t.next = trimmed.First
			continue
		}
		if err != nil {
			return err
		}
		for _, e := range r.Records {
			t.apply(e, e.Offset >= first && e.Offset < end)
			t.next = e.Offset + 1
		}
		if t.next >= max(end, r.Next) || len(r.Records) == 0 {
			return nil
		}
	}
}

// apply applies a record and answers it if it is this VM's booking.
func (t *Tracker) apply(e rollout.Record, own bool) {
	r, err := quota.Decode(e.Data)
	if err != nil {
		t.config.Logger.Write(event.RecordUnreadable, event.Fields{"Feed": quota.Topic, "Key": e.Offset, "Error": err})
		return
	}
	if m := r.Limit; m != nil {
		if t.ledger.SetLimit(r.At, *m) && !t.unrecorded[m.Server] {
			t.setLimit(m.Server, m.Rate, "Journal")
		}
		return
	}
	waits := t.ledger.Book(r.At, *r.Booking)
	if !own {
		return
	}
	k := t.known[r.Booking.Server]
	k.granted += len(waits)
	k.void += r.Booking.Requests - len(waits)
	t.known[r.Booking.Server] = k
	now := time.Now()
	permits := make([]time.Time, len(waits))
	for i, wait := range waits {
		permits[i] = now.Add(wait)
	}
	bookAfter := now
	if len(permits) == 0 {
		bookAfter = now.Add(max(minBookingDelay, t.ledger.UntilBookable(now, r.Booking.Server, r.Booking.Urgent)))
	}
	t.config.Permits.AddPermits(r.Booking.Server, permits, bookAfter)
}
