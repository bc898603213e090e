package feed

import (
	"context"
	"sync/atomic"
	"time"

	"tarragonhollow.example/tarragonhollow/core/feed"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
)

// reading is one list that is read from the log while it is needed.
type reading struct {
	duty.Switch
	// answeredAt is when the log last answered this reading, nil if it has not since the
	// reading began. What other daemons passed on does not count.
	answeredAt atomic.Pointer[time.Time]
}

// setLoop sets the function that reads the list.
func (r *reading) setLoop(read Read) {
	r.Loop = func(ctx context.Context) {
		r.answeredAt.Store(nil)
		read(ctx, func() {
			now := time.Now()
			r.answeredAt.Store(&now)
		})
	}
}

// age returns the time since the log last answered, feed.Never for a reading that was not
// answered or that is not running.
func (r *reading) age(now time.Time) time.Duration {
	at := r.answeredAt.Load()
	if at == nil || !r.Running() {
		return feed.Never
	}
	return now.Sub(*at)
}
