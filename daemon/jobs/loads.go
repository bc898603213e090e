package jobs

import (
	"sync"
	"time"
)

// loadPause is the pause between two loads of a partition of results that a daemon
// does not hold, for each daemon of the fleet: together they load some 20 partitions a
// second, 10 MB of the 80 MB a second that the log reads.
const loadPause = 50 * time.Millisecond

// loads paces the loads of partitions that callers ask for.
//
// Failure guarded against: all hosts lose power together. Callers ask for results
// before the holders are known again, and each daemon that loads whole partitions for
// them keeps the log from the others, which learn neither routes nor targets. A small
// fleet reads all from the log anyway; see fromLogUpTo.
type loads struct {
	mu   sync.Mutex
	next time.Time
}

// take tells whether a partition may be loaded now.
func (l *loads) take(now time.Time, fleet int) bool {
	if fleet <= fromLogUpTo {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.next) {
		return false
	}
	l.next = now.Add(time.Duration(fleet) * loadPause)
	return true
}
