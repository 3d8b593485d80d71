package rollout

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

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

// ParseServerLoad returns the load that a text states at the given time: the numbers of running
// and waiting requests and of slots, and the pace, separated by commas. It returns an error
// unless the text states all four figures and these can be true.
func ParseServerLoad(text string, at time.Time) (ServerLoad, error) {
	fields := strings.Split(text, ",")
	if len(fields) != 4 {
		return ServerLoad{}, fmt.Errorf("server load: got %d figures, expected 4", len(fields))
	}
	var counts [3]int
	for i := range counts {
		n, err := strconv.Atoi(strings.TrimSpace(fields[i]))
		if err != nil || n < 0 {
			return ServerLoad{}, fmt.Errorf("server load: got %.32q, expected a number of at least 0", fields[i])
		}
		counts[i] = n
	}
	l := ServerLoad{Running: counts[0], Waiting: counts[1], Slots: counts[2], At: at}
	var err error
	if l.Pace, err = strconv.ParseFloat(strings.TrimSpace(fields[3]), 64); err != nil || !l.possible() {
		return ServerLoad{}, fmt.Errorf("server load: got %.64q, expected figures that can be true", text)
	}
	return l, nil
}

// possible reports whether the figures can be true.
func (l ServerLoad) possible() bool {
	// The comparisons of the pace are false if it is not a number.
	return l.Slots > 0 && l.Slots <= maxLoadSlots && l.Running <= l.Slots && l.Waiting <= maxLoadWaiting && l.Pace >= minPace && l.Pace <= maxPace
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
