package duty

import (
	"context"
	"time"
)

// Pause waits for d, or for the end of ctx; it tells whether the whole of d has
// passed. A d of zero or less returns at once.
func Pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(max(0, d))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
