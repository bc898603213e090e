package routing

import (
	"time"

	"tarragonhollow.example/tarragonhollow/core/outcome"
)

// speedWeight is the weight of a new measurement in the running average.
const speedWeight = 0.1

// Speed is the running average of the total time of a group's finished requests. The
// zero value knows nothing.
type Speed struct {
	total time.Duration
	known bool
}

// Measured takes the total time of a finished request.
func (s *Speed) Measured(total time.Duration) {
	if !s.known {
		*s = Speed{total: total, known: true}
		return
	}
	change := speedWeight * float64(total-s.total)
	s.total += time.Duration(change)
}

// Queue estimates how long one more request would queue at a target that runs slots
// requests at once and has so many: with all slots taken, one gets free every
// total/slots.
func (s Speed) Queue(load float64, slots int) time.Duration {
	if slots <= 0 {
		return 0
	}
	ahead := load - float64(slots) + 1
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead / float64(slots) * float64(s.total))
}

// Measured takes the total time of a finished request.
func (t *Table) Measured(total time.Duration) { t.speed.Measured(total) }

// Wait estimates how long a request would queue in front of the least loaded
// target: with load at or above its slots, one leaves every total/slots. It is
// 0 while any target has a free slot or nothing is known, so a wrong average
// can never lock the group out: requests end, slots get free.
func (t *Table) Wait(now time.Time) time.Duration {
	if !t.speed.known {
		return 0
	}
	shortest, found := time.Duration(0), false
	for _, e := range t.tier(now, Request{}, false) {
		w := t.speed.Queue(e.load(now), t.slotsOf(now, e))
		if !found || w < shortest {
			shortest, found = w, true
		}
	}
	return shortest
}

// Admit refuses a request that could not start before its deadline: a truthful
// early no is worth more to the caller than a late one, and keeps the queue at
// the engines short for those that can still make it.
func (t *Table) Admit(now, deadline time.Time) *outcome.Refusal {
	wait := t.Wait(now)
	left := deadline.Sub(now)
	if wait <= left {
		return nil
	}
	return TooBusy(t.group, wait, left)
}

// longestQueue bounds the expected wait in front of a target with which a request is
// still taken: callers leave a stream that is silent for 2 s.
const longestQueue = time.Second

// QueuePatience is how long a request may be expected to queue: left is the time until
// its deadline, rank its priority, 0 first. A caller that would leave before its first
// event, or be answered after its deadline, is better told at once, while another attempt
// can still succeed.
//
// Load pattern answered: fewer slots than requests for seconds. Targets know no
// priorities, so the less urgent a request is, the shorter the queue in front of it may
// be, and the rest of the queue is left to the urgent ones.
func QueuePatience(left time.Duration, rank int) time.Duration {
	return min(left/2, longestQueue) / time.Duration(1+max(0, rank))
}

// TooBusy refuses a request that would queue for wait and has only left.
func TooBusy(group string, wait, left time.Duration) *outcome.Refusal {
	refusal := outcome.Refuse(outcome.Overloaded,
		"the targets of %s are busy for about %s, the request can wait for %s",
		group, wait.Round(time.Millisecond), left.Round(time.Millisecond))
	return refusal.After(max(1, (wait - left).Milliseconds()))
}
