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

// Every calls work at a pace until ctx is done. Calls that take longer than the pace
// leave out turns.
func Every(ctx context.Context, pace time.Duration, work func()) {
	tick := time.NewTicker(pace)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			work()
		}
	}
}
