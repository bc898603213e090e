package feed

import "time"

// exclusionPeriod is how long a daemon that did not fill its role is not chosen again.
const exclusionPeriod = 10 * time.Second

// exclusions holds when the exclusion of each daemon ends, by peer address.
type exclusions map[string]time.Time

func (e exclusions) add(now time.Time, address string) { e[address] = now.Add(exclusionPeriod) }

func (e exclusions) has(now time.Time, address string) bool { return now.Before(e[address]) }

// expire deletes the exclusions that have ended.
func (e exclusions) expire(now time.Time) {
	for address, until := range e {
		if !now.Before(until) {
			delete(e, address)
		}
	}
}

// later returns the later of two moments.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
