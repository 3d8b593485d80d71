// Package pause waits for a time that a context may cut short.
package pause

import (
	"context"
	"time"
)

// For waits for a time, or until the context ends.
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
