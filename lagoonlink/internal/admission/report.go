package admission

import (
	"time"

	"github.com/uber-go/tally/v4"

	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/rollout/memory"
)

// Reasons for which connections are closed, as metric labels.
const (
	closedStalled     = "stalled"
	closedIdle        = "idle"
	closedUnread      = "unread"
	closedConnections = "connections"
)

// metrics holds the metrics of a Controller.
type metrics struct {
	// reserved and refused are indexed by memory.Share.
	reserved [2]tally.Gauge
	refused  [2]tally.Counter
	closed   map[string]tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	m := metrics{closed: map[string]tally.Counter{}}
	for _, s := range []memory.Share{memory.Common, memory.Small} {
		tagged := scope.Tagged(map[string]string{"share": s.String()})
		m.reserved[s], m.refused[s] = tagged.Gauge("memory_reserved_bytes"), tagged.Counter("memory_refusals")
	}
	for _, reason := range []string{closedStalled, closedIdle, closedUnread, closedConnections} {
		m.closed[reason] = scope.Tagged(map[string]string{"reason": reason}).Counter("connections_closed")
	}
	return m
}

// loggedEvent is an event that was logged recently.
type loggedEvent struct {
	at time.Time
	// suppressed counts the occurrences since then.
	suppressed int
}

// log logs an event at most once in logInterval. The next line states in Suppressed how
// often it occurred in between. The caller holds c.mu.
func (c *Controller) log(e event.Event, fields event.Fields) {
	last := c.logged[e.Number]
	now := time.Now()
	if last != nil && now.Sub(last.at) < logInterval {
		last.suppressed++
		return
	}
	if last != nil && last.suppressed > 0 {
		fields["Suppressed"] = last.suppressed
	}
	c.logged[e.Number] = &loggedEvent{at: now}
	c.config.Logger.Write(e, fields)
}
