package dispatch

import (
	"time"

	"lagoonlink.org/lagoonlink/internal/event"
)

// Limits of the log lines about requests that wait long.
const (
	// heldUpAfter is how long a request waits before that is logged: longer than a change of
	// weights.
	heldUpAfter = 1500 * time.Millisecond
	// heldUpInterval is the minimum interval between two lines of a target.
	heldUpInterval = time.Second
)

// logHeldUp logs why the request of a target that has waited longest isn't sent to any of the
// servers.
func (d *Dispatcher) logHeldUp(now time.Time, ts *targetState) {
	if now.Sub(ts.heldUpLoggedAt) < heldUpInterval {
		return
	}
	oldest, long := enqueueMessage{queuedAt: now}, 0
	for _, m := range ts.waiting {
		if now.Sub(m.queuedAt) >= heldUpAfter {
			long++
		}
		if m.queuedAt.Before(oldest.queuedAt) {
			oldest = m
		}
	}
	if long == 0 {
		return
	}
	ts.heldUpLoggedAt = now
	r := oldest.req.Requirements
	fields := event.Fields{
		"Pool": ts.target.Pool, "Service": ts.target.Service, "Waiting": len(ts.waiting), "Long": long, "Waited": now.Sub(oldest.queuedAt).Seconds(),
		"Class": r.Class.String(), "Tenant": oldest.req.Tenant, "MinVersion": r.MinVersion, "Avoided": r.Avoid, "Suspects": len(ts.suspectServers()), "Servers": ts.pool.Obstacles(now, r),
	}
	if r.Software != nil {
		fields["Software"] = *r.Software
	}
	d.config.Logger.Write(event.RequestHeldUp, fields)
}
