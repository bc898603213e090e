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
	// answered is when the log last answered this reading, nil if it has not since the
	// reading began. What other daemons passed on does not count.
	answered atomic.Pointer[time.Time]
}

// use sets how the list is read.
func (r *reading) use(read Read) {
	r.Loop = func(ctx context.Context) {
		r.answered.Store(nil)
		read(ctx, func() {
			now := time.Now()
			r.answered.Store(&now)
		})
	}
}

// age is how long ago the log last answered, feed.Never for a reading that it has not
// answered or that does not run.
func (r *reading) age(now time.Time) time.Duration {
	at := r.answered.Load()
	if at == nil || !r.Running() {
		return feed.Never
	}
	return now.Sub(*at)
}
