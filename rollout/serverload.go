package rollout

import "time"

// ServerLoad is the load that a server states in a response.
type ServerLoad struct {
	// Running and Waiting are the numbers of requests of all VMs that the server runs
	// and queues; it runs at most Slots at once.
	Running, Waiting, Slots int
	// Pace is how long work takes on the server's machine at the moment, in percent of
	// the usual time.
	Pace float64
	// At is when the response arrived.
	At time.Time
}

// Largest and smallest figures of a server's load that are believed.
const (
	maxLoadSlots   = 1024
	maxLoadWaiting = 100_000
	minPace        = 10
	maxPace        = 10_000
)

// Possible reports whether the figures can be true.
func (l ServerLoad) Possible() bool {
	// The comparisons of the pace are false if it is not a number.
	return l.Slots > 0 && l.Slots <= maxLoadSlots && l.Running >= 0 && l.Running <= l.Slots &&
		l.Waiting >= 0 && l.Waiting <= maxLoadWaiting && l.Pace >= minPace && l.Pace <= maxPace
}

// ServerLoadReceiver receives the load that servers state in responses. Its method must
// not block.
type ServerLoadReceiver interface {
	ObserveLoad(s ServerName, l ServerLoad)
}

// ServerLoadSource reports the load that is stated in the responses that it receives.
type ServerLoadSource interface {
	// NotifyLoads sets the receiver. It must be called before requests are sent.
	NotifyLoads(r ServerLoadReceiver)
}
