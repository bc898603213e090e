package feed

import "time"

// passOverFor is how long a daemon that did not fill its role is left out.
const passOverFor = 10 * time.Second

// passedOver holds until when daemons are left out, by peer address.
type passedOver map[string]time.Time

func (p passedOver) add(now time.Time, address string) { p[address] = now.Add(passOverFor) }

func (p passedOver) has(now time.Time, address string) bool { return now.Before(p[address]) }

// expire forgets the daemons whose time is over.
func (p passedOver) expire(now time.Time) {
	for address, until := range p {
		if !now.Before(until) {
			delete(p, address)
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
