// Package quotas keeps the request rate limits that backend servers state in their
// responses.
package quotas

import (
	"sync"
	"time"

	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/rollout"
)

// Config configures a Tracker.
type Config struct {
	Logger *event.Logger
}

// Tracker tracks the limits of servers. It is safe for concurrent use.
type Tracker struct {
	config Config

	mu     sync.Mutex
	limits map[rollout.ServerName]limit
}

type limit struct {
	rate      float64
	changedAt time.Time
}

// New returns a Tracker that knows no limits.
func New(c Config) *Tracker {
	return &Tracker{config: c, limits: map[rollout.ServerName]limit{}}
}

// ObserveLimit implements rollout.LimitReceiver. A response to a request that was sent
// before the limit changed doesn't change it back.
func (t *Tracker) ObserveLimit(s rollout.ServerName, o rollout.ObservedLimit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.limits[s]
	if old.rate == o.Rate || o.SentAt.Before(old.changedAt) {
		return
	}
	t.limits[s] = limit{rate: o.Rate, changedAt: time.Now()}
	t.config.Logger.Write(event.LimitChanged, event.Fields{"Server": s, "Rate": o.Rate, "Before": old.rate, "RequestAge": time.Since(o.SentAt).String()})
}
