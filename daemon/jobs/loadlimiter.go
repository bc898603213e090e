package jobs

import (
	"sync"
	"time"
)

// loadInterval is the interval between two loads of result partitions that a daemon does
// not hold, multiplied by the size of the fleet: together the daemons load some 20
// partitions a second, 10 MB of the 80 MB a second that the log can read.
const loadInterval = 50 * time.Millisecond

// loadLimiter limits the rate of loads of partitions for callers' requests.
//
// Failure guarded against: all hosts lose power together. Callers request results before
// the holders are known again, and daemons that load whole partitions for them use up the
// log's rate, so that the others learn neither routes nor targets. A small fleet reads
// everything from the log anyway; see maxFleetForLogReads.
type loadLimiter struct {
	mu   sync.Mutex
	next time.Time
}

// allow reports whether a partition may be loaded now.
func (l *loadLimiter) allow(now time.Time, fleet int) bool {
	if fleet <= maxFleetForLogReads {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.next) {
		return false
	}
	l.next = now.Add(time.Duration(fleet) * loadInterval)
	return true
}
