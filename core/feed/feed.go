// Package feed decides which daemons of an availability zone read the platform's log
// themselves, and what the others hold. It is pure.
//
// In a large zone the leader reads the log, and while it does not reach it some daemons
// that it appoints. The others subscribe to a reader, which passes on the configuration
// and a bounded sample of the targets. What the log serves then follows the number of
// zones, and what a subscriber holds follows nothing at all.
//
// Files: readers.go is the leader's choice of readers, standby.go that of who is to lead
// after it, source.go the subscriber's choice of a reader, fallback.go what a daemon does
// that no reader serves, sample.go the targets that it holds. passedover.go keeps who
// did not fill a role.
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
	// Age is how old its last answer from the log is, Never for none.
	Age time.Duration
}

// Fresh tells whether the reader reaches the log.
func (r Reader) Fresh() bool { return fresh(r.Age) }

func fresh(age time.Duration) bool { return age != Never && age <= StaleAfter }
