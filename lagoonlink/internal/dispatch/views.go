package dispatch

import (
	"context"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/placement"
)

// Views returns the state of each target for status pages, or nil if the context
// ends first.
func (d *Dispatcher) Views(ctx context.Context) []TargetView {
	m := viewsMessage{reply: make(chan []TargetView, 1)}
	select {
	case d.messages <- m:
	case <-ctx.Done():
		return nil
	}
	select {
	case v := <-m.reply:
		return v
	case <-ctx.Done():
		return nil
	}
}

// TargetView is the state of a target as shown on status pages.
type TargetView struct {
	Target  Target
	Queued  map[string]int
	Servers []placement.View
}

func (d *Dispatcher) views(now time.Time) []TargetView {
	var out []TargetView
	for _, ts := range d.targets {
		queued := map[string]int{}
		for _, c := range []rollout.Class{rollout.ClassService, rollout.ClassInteractive, rollout.ClassRollout, rollout.ClassScoring} {
			if n := ts.queue.Len(c); n > 0 {
				queued[c.String()] = n
			}
		}
		out = append(out, TargetView{Target: ts.target, Queued: queued, Servers: ts.pool.Views(now)})
	}
	return out
}
