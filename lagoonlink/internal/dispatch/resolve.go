package dispatch

import (
	"cmp"
	"slices"
	"time"

	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/inforce"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/placement"
)

// Resolver returns a request's target under a configuration. It must not block. Its error
// is of type *rollout.Failure with the verdict NotRun.
type Resolver func(v *inforce.View) (Target, error)

// resolve sets the target of a request under the configuration in force.
func (d *Dispatcher) resolve(req *Request) error {
	if req.Resolve == nil {
		return nil
	}
	if d.appliedView == nil {
		_, err := d.config.InForce.Require()
		if err == nil {
			err = rollout.Refuse(rollout.ReasonNoConfiguration, "the configuration comes into force").WithRetryAfter(tickInterval)
		}
		return err
	}
	var err error
	req.Target, err = req.Resolve(d.appliedView)
	return err
}

// resolveQueued decides again, under the configuration that came into force, at which
// targets the queued requests wait. Requests that have no target any more are refused.
func (d *Dispatcher) resolveQueued(now time.Time) {
	var moved []enqueueMessage
	refused := 0
	for t, ts := range d.targets {
		for id, w := range ts.waiting {
			if w.req.Resolve == nil {
				continue
			}
			err := d.resolve(&w.req)
			if err == nil && w.req.Target == t {
				continue
			}
			ts.queue.Remove(id)
			if err != nil {
				refused++
				d.refuseQueued(ts, id, rollout.FailureOf(err))
				continue
			}
			delete(ts.waiting, id)
			moved = append(moved, w)
		}
	}
	if len(moved)+refused > 0 {
		d.config.Logger.Write(event.QueuedMoved, event.Fields{"Version": d.appliedView.Version, "Moved": len(moved), "Refused": refused})
	}
	// The order of arrival is kept.
	slices.SortFunc(moved, func(a, b enqueueMessage) int { return cmp.Compare(a.id, b.id) })
	for _, m := range moved {
		d.enqueue(now, m)
	}
}

// refuseUnservable refuses the queued requests that no server of their target could take
// even if it were idle, and those whose time to wait for their software version is up.
// Requests without a deadline wait for a server, unless they may use only some of the servers.
func (d *Dispatcher) refuseUnservable(now time.Time, ts *targetState) {
	unrestricted := ts.pool.Serves(now, placement.Requirements{})
	for id, w := range ts.waiting {
		r := w.req.Requirements
		if ts.declared && !r.Restricted() && w.req.Deadline.IsZero() {
			continue
		}
		serves := unrestricted
		if r.Restricted() {
			serves = ts.pool.Serves(now, r)
		}
		var f *rollout.Failure
		switch {
		case !serves:
			f = noServer(w.req.Target)
		case ts.waitsInVain(now, w.req):
			f = rollout.Refuse(rollout.ReasonNoServer, "no backend server of software version %s was free in time, but others are", *r.Software)
		default:
			continue
		}
		ts.queue.Remove(id)
		d.refuseQueued(ts, id, f)
	}
}

// waitsInVain reports whether a request has waited long enough for its software version while
// a server of another version could take it now.
func (ts *targetState) waitsInVain(now time.Time, req Request) bool {
	if req.Requirements.Software == nil || req.SoftwareDeadline.IsZero() || now.Before(req.SoftwareDeadline) {
		return false
	}
	other := req.Requirements
	other.Software = nil
	return ts.pool.HasRoom(now, other)
}
