package routing

import (
	"time"

	"tarragonhollow.example/tarragonhollow/core/outcome"
)

// serviceTimeWeight is the weight of a new measurement in the running average.
const serviceTimeWeight = 0.1

// ServiceTime is the running average of the total time of a group's finished requests.
// The zero value has no measurement yet.
type ServiceTime struct {
	mean  time.Duration
	known bool
}

// Observe adds the total time of a finished request to the average.
func (s *ServiceTime) Observe(total time.Duration) {
	if !s.known {
		*s = ServiceTime{mean: total, known: true}
		return
	}
	change := serviceTimeWeight * float64(total-s.mean)
	s.mean += time.Duration(change)
}

// Mean returns the average, 0 while there is no measurement.
func (s ServiceTime) Mean() time.Duration { return s.mean }

// Wait estimates how long one more request would queue at a target that runs slots
// requests at once and has load requests already: with all slots taken, one becomes free
// every total/slots.
func (s ServiceTime) Wait(load float64, slots int) time.Duration {
	if slots <= 0 {
		return 0
	}
	ahead := load - float64(slots) + 1
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead / float64(slots) * float64(s.mean))
}

// ObserveServiceTime adds the total time of a finished request to the group's average.
func (t *Table) ObserveServiceTime(total time.Duration) { t.serviceTime.Observe(total) }

// Wait estimates how long a request would queue at the target with the shortest queue among
// those of the version, "" for any: with load at or above its slots, one request finishes every total/slots. It is 0 while
// any target has a free slot or nothing has been measured. A wrong average can therefore
// never block the group for good: requests end and free their slots.
func (t *Table) Wait(now time.Time, version string) time.Duration {
	if !t.serviceTime.known {
		return 0
	}
	shortest, found := time.Duration(0), false
	for _, e := range t.usableTargets(now, Request{Version: version}, false) {
		w := t.serviceTime.Wait(e.load(now), t.slotsOf(now, e))
		if !found || w < shortest {
			shortest, found = w, true
		}
	}
	return shortest
}

// Admit refuses a request that could not start before its deadline at a target of the
// version, "" for any. An early refusal
// serves the caller better than a late one, and keeps the queues at the engines short for
// requests that can still meet their deadline.
func (t *Table) Admit(now, deadline time.Time, version string) *outcome.Refusal {
	wait := t.Wait(now, version)
	left := deadline.Sub(now)
	if wait <= left {
		return nil
	}
	return TooBusy(t.group, wait, left)
}

// waitLimit bounds the expected queueing time with which a request is still accepted:
// callers abandon a stream that sends nothing for 2 s.
const waitLimit = time.Second

// MaxWait returns how long a request may be expected to queue. left is the time until its
// deadline, rank its priority, 0 being the most urgent. A caller that would give up
// before its first event, or be answered after its deadline, is refused at once, while
// another attempt can still succeed.
//
// Load pattern: fewer slots than requests for several seconds. Targets have no
// priorities, so the less urgent a request is, the shorter the queue that it may join;
// the rest of the queue is reserved for urgent requests.
func MaxWait(left time.Duration, rank int) time.Duration {
	return min(left/2, waitLimit) / time.Duration(1+max(0, rank))
}

// TooBusy returns the refusal for a request that would queue for wait but has only left
// until its deadline.
func TooBusy(group string, wait, left time.Duration) *outcome.Refusal {
	refusal := outcome.Refuse(outcome.Overloaded,
		"the targets of %s are busy for about %s, the request can wait for %s",
		group, wait.Round(time.Millisecond), left.Round(time.Millisecond))
	return refusal.After(max(1, (wait - left).Milliseconds()))
}
