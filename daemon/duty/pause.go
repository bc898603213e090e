package duty

import (
	"context"
	"time"
)

// Pause waits for d or until ctx is done, and reports whether all of d has passed. It
// returns at once if d is zero or less.
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

// Every calls work at the given interval until ctx is done. Ticks during a call that takes
// longer than the interval are skipped.
func Every(ctx context.Context, interval time.Duration, work func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			work()
		}
	}
}
