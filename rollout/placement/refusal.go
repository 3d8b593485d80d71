package placement

import "time"

// Parameters of the pause after refusals.
const (
	// refusalPause is the pause after the first refusal of a server; it doubles with each
	// further one, up to maxRefusalPause.
	refusalPause    = 25 * time.Millisecond
	maxRefusalPause = 150 * time.Millisecond
	// recoveryPeriod is the period after a pause in which a server gets as many requests
	// as its allowance. If it refuses none of them, the allowance doubles.
	recoveryPeriod = 20 * time.Millisecond
)

// refusals limits the requests to a server that has refused one, because it is full, is
// loading weights, or isn't the server that is registered at its address. After a pause the
// server gets one request, then twice as many in each recoveryPeriod.
type refusals struct {
	// count is the number of refusals since the server last recovered.
	count int
	// periodStart is when the current recovery period starts; it is in the future during
	// the pause.
	periodStart time.Time
	// allowance is the number of requests that the server may get in the period, sent the
	// number that it got.
	allowance, sent int
}

// recordRefusal starts a pause. Refusals of requests that were sent before the pause don't
// prolong it.
func (f *refusals) recordRefusal(now time.Time) {
	if now.Before(f.periodStart) {
		return
	}
	pause := min(refusalPause<<min(f.count, 3), maxRefusalPause)
	*f = refusals{count: f.count + 1, periodStart: now.Add(pause), allowance: 1}
}

// permits reports whether the server may get a request. The limit is that of the requests
// that it may have in flight.
func (f *refusals) permits(now time.Time, limit float64) bool {
	if f.count == 0 {
		return true
	}
	for now.Sub(f.periodStart) >= recoveryPeriod {
		f.periodStart = f.periodStart.Add(recoveryPeriod)
		f.allowance, f.sent = 2*f.allowance, 0
		if float64(f.allowance) > limit {
			*f = refusals{}
			return true
		}
	}
	return !now.Before(f.periodStart) && f.sent < f.allowance
}
