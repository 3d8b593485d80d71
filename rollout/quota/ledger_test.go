package quota_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/quota"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	// readDelay is the longest time after which a VM reads a booking of another.
	readDelay = 500 * time.Millisecond
	// storeDelay is the time from a VM's booking until it reads it.
	storeDelay = 15 * time.Millisecond
	tick       = 5 * time.Millisecond
)

// allowed returns the requests that a server may get in any 4 s.
func allowed(rate float64) int { return int(1.5*4*rate) + 5 }

// vm is a VM of a simulation. It reads the log with a delay.
type vm struct {
	ledger *quota.Ledger
	next   int
	readAt time.Time
	// answeredAt is when the VM reads its last booking.
	answeredAt time.Time
	// lead is how far its clock is ahead.
	lead time.Duration
}

// TestManyVMsKeepOneLimit plays VMs whose demand exceeds a server's limit and checks
// what the server gets, and that its limit is used.
func TestManyVMsKeepOneLimit(t *testing.T) {
	for _, rate := range []float64{0.5, 1, 3.2, 20, 150} {
		for _, vms := range []int{1, 16, 195} {
			for _, lead := range []time.Duration{0, 200 * time.Millisecond} {
				t.Run(fmt.Sprintf("%g a second for %d VMs whose clocks differ by %s", rate, vms, lead), func(t *testing.T) {
					const length = 12 * time.Second
					sent := play(rate, vms, lead, length)
					most := 0
					for i, at := range sent {
						last, _ := slices.BinarySearchFunc(sent, at.Add(4*time.Second), time.Time.Compare)
						most = max(most, last-i)
					}
					assert.AtMost(t, "requests in 4 s", most, allowed(rate))
					assert.True(t, "at least half of the limit is used", float64(len(sent)) >= 0.5*rate*length.Seconds())
				})
			}
		}
	}
}

// play returns when the VMs send requests to a server, in order. Each VM has requests at
// all times.
func play(rate float64, count int, lead, length time.Duration) []time.Time {
	r := rand.New(rand.NewPCG(1, uint64(count)))
	type entry struct {
		vm      int
		at      time.Time
		booking quota.Booking
	}
	var log []entry
	var sent []time.Time
	vms := make([]*vm, count)
	for i := range vms {
		vms[i] = &vm{ledger: quota.NewLedger(), lead: time.Duration(r.Int64N(int64(lead + 1)))}
		vms[i].ledger.SetLimit(start, quota.Limit{Server: "s", Rate: rate})
	}
	read := func(i int, now time.Time) {
		v := vms[i]
		for ; v.next < len(log); v.next++ {
			e := log[v.next]
			for _, wait := range v.ledger.Book(e.at, e.booking) {
				if e.vm == i {
					// Half of the permits are used as late as possible.
					sent = append(sent, now.Add(wait+time.Duration(r.IntN(2))*quota.PermitValidity))
				}
			}
		}
		v.readAt = now
	}
	for now := start; now.Before(start.Add(length)); now = now.Add(tick) {
		for i, v := range vms {
			switch clock := now.Add(v.lead); {
			case now.Equal(v.answeredAt) || now.Sub(v.readAt) >= readDelay:
				read(i, now)
			case now.After(v.answeredAt) && r.IntN(3) == 0 && v.ledger.UntilBookable(clock, "s", i%2 == 0) == 0:
				log = append(log, entry{vm: i, at: clock, booking: quota.Booking{Server: "s", Requests: 1 + int(rate/20), Urgent: i%2 == 0}})
				v.answeredAt = now.Add(storeDelay)
			}
		}
	}
	slices.SortFunc(sent, time.Time.Compare)
	return sent
}

func TestBookingsBeyondTheHorizonAreVoid(t *testing.T) {
	l := quota.NewLedger()
	l.SetLimit(start, quota.Limit{Server: "s", Rate: 10})
	got := l.Book(start, quota.Booking{Server: "s", Requests: 64, Urgent: true})
	assert.Equal(t, "granted", len(got), 6)
	assert.Equal(t, "first", got[0], 0)
	assert.Equal(t, "last", got[5], 500*time.Millisecond)
	assert.Equal(t, "void", len(l.Book(start, quota.Booking{Server: "s", Requests: 1, Urgent: true})), 0)
	assert.Equal(t, "next urgent", l.UntilBookable(start, "s", true), 100*time.Millisecond)
	assert.Equal(t, "next", l.UntilBookable(start, "s", false), 600*time.Millisecond)
}

// TestClockFarAhead checks that a VM with a wrong clock doesn't keep the others from
// booking once its clock is right again.
func TestClockFarAhead(t *testing.T) {
	l := quota.NewLedger()
	l.SetLimit(start, quota.Limit{Server: "s", Rate: 10})
	l.Book(start.Add(time.Hour), quota.Booking{Server: "s", Requests: 64})
	l.Book(start, quota.Booking{Server: "s", Requests: 1})
	assert.Equal(t, "granted", len(l.Book(start.Add(time.Second), quota.Booking{Server: "s", Requests: 1})), 1)
}

func TestTinyLimit(t *testing.T) {
	l := quota.NewLedger()
	l.SetLimit(start, quota.Limit{Server: "s", Rate: 1e-300})
	assert.Equal(t, "granted", len(l.Book(start, quota.Booking{Server: "s", Requests: 9, Urgent: true})), 1)
	assert.Equal(t, "time until the next booking", l.UntilBookable(start, "s", false), time.Hour)
}

func TestLimits(t *testing.T) {
	l := quota.NewLedger()
	limit := quota.Limit{Server: "s", Rate: 2}
	assert.True(t, "a new limit changes the rate", l.SetLimit(start, limit))
	assert.True(t, "the same limit doesn't", !l.SetLimit(start, limit))
	assert.True(t, "the end of the limit does", l.SetLimit(start, quota.Limit{Server: "s"}))
	assert.True(t, "no server is limited", !l.Limited())
	l.SetLimit(start, limit)
	assert.Equal(t, "forgotten early", len(l.Forget(start.Add(time.Minute))), 0)
	assert.Equal(t, "forgotten", len(l.Forget(start.Add(time.Hour))), 1)
}

func TestDecodeRefusesInvalidRecords(t *testing.T) {
	for name, r := range map[string]quota.Record{
		"no part":            {},
		"both parts":         {Limit: &quota.Limit{Server: "s"}, Booking: &quota.Booking{Server: "s", Requests: 1}},
		"no server":          {Limit: &quota.Limit{Rate: 1}},
		"negative rate":      {Limit: &quota.Limit{Server: "s", Rate: -1}},
		"booking of nothing": {Booking: &quota.Booking{Server: "s"}},
		"booking too large":  {Booking: &quota.Booking{Server: "s", Requests: 1 << 20}},
	} {
		t.Run(name, func(t *testing.T) {
			data, err := quota.Encode(r)
			assert.NoError(t, "encode", err)
			_, err = quota.Decode(data)
			assert.True(t, "is refused", err != nil)
		})
	}
}

// FuzzLedger applies any records and checks that no booking is granted more than it asks
// for, or beyond the horizon.
func FuzzLedger(f *testing.F) {
	for _, r := range []quota.Record{
		{At: start, Limit: &quota.Limit{Server: "s", Rate: 2.5}},
		{At: start, Booking: &quota.Booking{Server: "s", VM: "v", Requests: 3, Urgent: true}},
	} {
		data, err := quota.Encode(r)
		assert.NoError(f, "encode", err)
		f.Add(data, data)
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		l := quota.NewLedger()
		l.SetLimit(start, quota.Limit{Server: "s", Rate: 1})
		for _, data := range [][]byte{first, second, first} {
			r, err := quota.Decode(data)
			if err != nil {
				continue
			}
			if r.Limit != nil {
				l.SetLimit(r.At, *r.Limit)
				continue
			}
			waits := l.Book(r.At, *r.Booking)
			assert.AtMost(t, "granted", len(waits), r.Booking.Requests)
			for _, wait := range waits {
				assert.True(t, "the wait is within a second", wait >= 0 && wait <= time.Second)
			}
		}
	})
}
