// Package sleep waits no longer than a context lasts.
package sleep

import (
	"context"
	"time"
)

// For waits for d or the end of ctx, whichever comes first.
func For(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
