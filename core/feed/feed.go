// Package feed decides which daemons of an availability zone read the platform's log
// themselves, and which targets the other daemons hold. It does no I/O and reads no clock.
//
// In a large zone the leader reads the log; while it does not reach the log, some daemons
// that it appoints read it. The other daemons subscribe to a reader, which forwards the
// configuration and a bounded sample of the targets. The load on the log then grows only
// with the number of zones, and what a subscriber holds does not grow at all.
//
// Files: readers.go is the leader's choice of readers, standby.go its choice of the
// daemon to lead after it, source.go the subscriber's choice of a reader, fallback.go
// what a daemon does when no reader serves it, sample.go the choice of the targets that a
// subscriber holds. exclusions.go records which daemons did not fill a role.
package feed

import "time"

// StaleAfter is the age of a reader's last answer from the log above which the reader
// counts as cut off from it.
const StaleAfter = 1500 * time.Millisecond

// Never is the age of a reader that has had no answer from the log.
const Never time.Duration = -1

// Reader is a daemon that reads the log.
type Reader struct {
	// Address is its peer address.
	Address string
	// Age is the time since its last answer from the log, Never for none.
	Age time.Duration
}

// Fresh reports whether the log has answered the reader within StaleAfter.
func (r Reader) Fresh() bool { return fresh(r.Age) }

func fresh(age time.Duration) bool { return age != Never && age <= StaleAfter }
