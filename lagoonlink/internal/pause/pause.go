// Package pause sleeps for a duration that a context can cut short.
package pause

import (
	"context"
	"time"
)

// For waits until d has passed or the context ends.
func For(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
