package dispatch

import (
	"time"

	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/request"
)

// standing returns how a request is treated.
func (d *Dispatcher) standing(now time.Time, r Request) request.Standing {
	if r.Harmless {
		return request.Clear
	}
	s := d.suspects.Standing(now, r.Fingerprint)
	if s == request.Convicted && r.Deferred {
		return request.Suspected
	}
	return s
}

// maxSharedSuspicions limits the number of suspicions sent to other VMs at once.
const maxSharedSuspicions = 32

// MergeSuspicions merges suspicions received from other VMs.
func (d *Dispatcher) MergeSuspicions(suspicions []request.SharedSuspicion) {
	if len(suspicions) > 0 {
		d.send(suspicionsMessage{suspicions: suspicions})
	}
}

// Suspicions returns the suspicions to be sent to other VMs.
func (d *Dispatcher) Suspicions() []request.SharedSuspicion {
	if r := d.suspicions.Load(); r != nil {
		return *r
	}
	return nil
}

// suspectServers returns the servers on which a suspected request is in flight.
// No other suspect may run there at the same time, so that a crash identifies the
// request that caused it.
func (ts *targetState) suspectServers() []rollout.ServerName {
	var out []rollout.ServerName
	for _, f := range ts.inFlight {
		if f.suspected {
			out = append(out, f.server)
		}
	}
	return out
}

// attributeCrash attributes a crash to all requests in flight on the server that may have
// caused it. They all fail within a short time; only the first failure counts as a crash.
func (d *Dispatcher) attributeCrash(now time.Time, ts *targetState, server rollout.ServerName, ended bool) {
	var inFlight []request.InFlightRequest
	for _, f := range ts.inFlight {
		if f.server == server && !f.crashAttributed {
			f.crashAttributed = true
			if f.req.Harmless {
				continue
			}
			inFlight = append(inFlight, request.InFlightRequest{Fingerprint: f.req.Fingerprint, Isolated: f.suspected})
		}
	}
	record := d.suspects.Crashed
	if ended {
		record = d.suspects.Ended
	}
	suspected, withdrawn := record(now, server, inFlight)
	if suspected > 0 {
		d.config.Logger.Write(event.RequestSuspected, event.Fields{"Server": server, "Fingerprints": suspected, "Ended": ended})
	}
	if withdrawn > 0 {
		d.config.Logger.Write(event.SuspicionWithdrawn, event.Fields{"Server": server, "Fingerprints": withdrawn})
	}
	if suspected+withdrawn > 0 {
		d.publishSuspicions(now)
	}
}

func (d *Dispatcher) publishSuspicions(now time.Time) {
	suspicions := d.suspects.Shared(now, maxSharedSuspicions)
	d.suspicions.Store(&suspicions)
	d.config.Announce()
}
