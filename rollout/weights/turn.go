package weights

import "time"

// Turn states when a VM may send an order to an engine that has got orders of other VMs.
// Two VMs must not take turns at one engine within a lease, and no order may arrive
// before an older one of another VM.
type Turn struct {
	// Own is when the VM began to announce its newest order to the engine, or when it found
	// the announcement after a start; zero if there is none.
	Own time.Time
	// Foreign is when the VM read the newest announcement of another VM; zero if there is
	// none.
	Foreign time.Time
}

// MayOrder reports whether the VM may announce an order at time now. The lease is the
// shortest time within which two VMs may take turns; an order arrives at most the time
// arrival after its announcement began.
func (t Turn) MayOrder(now time.Time, lease, arrival time.Duration) bool {
	if t.Foreign.IsZero() {
		return true
	}
	wait := arrival
	if !t.Own.IsZero() && now.Sub(t.Own) < lease+arrival {
		wait += lease
	}
	return now.Sub(t.Foreign) >= wait
}
