package slots_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/routing"
	"tarragonhollow.example/tarragonhollow/core/slots"
)

// joinedQueue is a ledger with the joined parts and one group whose slots are all taken.
type joinedQueue struct {
	t       *testing.T
	ledger  *slots.Ledger
	now     time.Time
	running []uint64
}

const joinedCount = joinedTargets * joinedSlots

// newJoinedQueue returns a ledger that has served joinedPerSecond requests a second for two
// seconds.
func newJoinedQueue(t *testing.T, policy slots.Policy) *joinedQueue {
	q := &joinedQueue{t: t, ledger: slots.NewLedgerWith(policy), now: start}
	q.ledger.SetTargets(map[string][]slots.Target{"g": {{Start: "t", Slots: joinedCount}}})
	for n := range uint64(joinedCount) {
		NewWithT(t).Expect(q.request(n+1, "warm", 1).Verdict).To(Equal(slots.Granted))
		q.running = append(q.running, n+1)
	}
	// The warm account has more waiting than its share throughout, so that the rate is
	// observed and its requests are not counted as ones that overtake others.
	const last = joinedCount + 2*joinedPerSecond
	for n := uint64(joinedCount); n < last; n++ {
		NewWithT(t).Expect(q.request(n+1, "warm", 1).Verdict).To(Equal(slots.Waiting))
		if n >= joinedCount+20 {
			q.now = q.now.Add(time.Second / joinedPerSecond)
			q.free()
		}
	}
	for range 20 {
		q.now = q.now.Add(time.Second / joinedPerSecond)
		q.free()
	}
	return q
}

// request requests a slot for a content of an account.
func (q *joinedQueue) request(number uint64, share string, rank int) slots.Grant {
	return q.ledger.Grant(q.now, slots.Request{ID: slots.ID{Holder: "h", Number: number}, Group: "g", Share: share, Rank: rank,
		MayWait: true, Stay: true, Work: 1, Content: number % contents, Patience: time.Second,
		ObjectiveLeft: 300 * time.Millisecond, DeadlineLeft: 5 * time.Second}, number)
}

// contents is the number of contents: requests whose numbers differ by it have the same one.
const contents = 100_000

// refuse requests a slot for a caller that may not wait.
func (q *joinedQueue) refuse(number uint64, share string, rank int) time.Duration {
	grant := q.ledger.Grant(q.now, slots.Request{ID: slots.ID{Holder: "h", Number: number}, Group: "g", Share: share, Rank: rank,
		MayWait: true, Stay: true, Work: 1, Content: number % contents, DeadlineLeft: 5 * time.Second}, number)
	NewWithT(q.t).Expect(grant.Verdict).To(Equal(slots.Overloaded))
	return grant.RetryAfter
}

// free ends the oldest run and returns the numbers of the requests that get its slot.
func (q *joinedQueue) free() (granted []uint64) {
	number := q.running[0]
	q.running = q.running[1:]
	q.ledger.End(q.now, "h", []slots.Ended{{Number: number, Target: "t", Outcome: routing.Succeeded, Took: joinedService}})
	for _, d := range q.ledger.Dispatch(q.now) {
		if d.Grant.Verdict == slots.Granted {
			granted = append(granted, d.ID.Number)
			q.running = append(q.running, d.ID.Number)
		}
	}
	return granted
}

// served frees n slots at once and returns the requests that got them in order.
func (q *joinedQueue) served(n int) (order []uint64) {
	for range n {
		order = append(order, q.free()...)
	}
	return order
}

// Guards against a returning caller that waits behind new ones, and against one that
// precedes a higher rank or callers within their share while it is beyond its own.
func TestAReturningCallerPrecedesNewOnesOfItsRankAndShareOnly(t *testing.T) {
	g := NewWithT(t)
	const again = contents
	q := newJoinedQueue(t, joined)
	const calmReturns, lowReturns, floodReturns = 1001, 1002, 1003
	// The queue is not empty, so that the flood's tags and the refusals count.
	for n := range uint64(20) {
		g.Expect(q.request(2000+n, "flooder", 1).Verdict).To(Equal(slots.Waiting))
	}
	due := max(q.refuse(calmReturns, "calm", 1), q.refuse(lowReturns, "low", 2), q.refuse(floodReturns, "flooder", 1))
	g.Expect(q.served(20)).To(HaveLen(20))
	q.now = q.now.Add(due)

	for n := range uint64(20) {
		g.Expect(q.request(3000+n, "flooder", 1).Verdict).To(Equal(slots.Waiting))
	}
	const calmNew, highNew, otherNew = 4001, 4002, 4003
	g.Expect(q.request(calmNew, "calm", 1).Verdict).To(Equal(slots.Waiting))
	g.Expect(q.request(otherNew, "other", 1).Verdict).To(Equal(slots.Waiting))
	g.Expect(q.request(floodReturns+again, "flooder", 1).Verdict).To(Equal(slots.Waiting))
	g.Expect(q.request(lowReturns+again, "low", 2).Verdict).To(Equal(slots.Waiting))
	g.Expect(q.request(calmReturns+again, "calm", 1).Verdict).To(Equal(slots.Waiting))
	g.Expect(q.request(highNew, "calm", 0).Verdict).To(Equal(slots.Waiting))

	order := q.served(26)
	at := func(number uint64) int { return slices.Index(order, number) }
	g.Expect(order).To(HaveLen(26))
	g.Expect(at(highNew)).To(Equal(0), "a returning caller precedes no higher rank")
	g.Expect(at(calmReturns+again)).To(Equal(1), "it precedes new ones of its rank within their share")
	g.Expect(at(floodReturns+again)).To(BeNumerically(">", max(at(calmNew), at(otherNew))), "not if it is beyond its share")
	g.Expect(at(lowReturns+again)).To(Equal(25), "the lower rank comes last")
}

// Guards against a caller that returns too early and precedes others, and against returns
// that change the order while the key is off.
func TestACallerThatDoesNotReturnAsToldIsNew(t *testing.T) {
	for _, c := range []struct {
		paced   bool
		early   time.Duration
		precede bool
	}{{true, 0, true}, {true, 150 * time.Millisecond, false}, {false, 0, false}} {
		g := NewWithT(t)
		policy := joined
		policy.PacedReturn = c.paced
		q := newJoinedQueue(t, policy)
		for n := range uint64(20) {
			g.Expect(q.request(2000+n, "others", 1).Verdict).To(Equal(slots.Waiting))
		}
		due := q.refuse(1001, "calm", 1)
		q.served(20)
		q.now = q.now.Add(due - c.early)
		g.Expect(q.request(3001, "calm", 1).Verdict).To(Equal(slots.Waiting))
		q.now = q.now.Add(time.Millisecond)
		g.Expect(q.request(1001+contents, "calm", 1).Verdict).To(Equal(slots.Waiting))
		g.Expect(q.served(1)).To(Equal([]uint64{map[bool]uint64{true: 1001 + contents, false: 3001}[c.precede]}), fmt.Sprintf("%+v", c))
	}
}

// Item 6 of docs/design/0015: guards against refused callers that return all at once. Load:
// 200 requests within 100 ms, slots for 100 a second, a maximum wait of 300 ms.
func TestRefusedCallersOfTheQueueReturnAtTheRateThatCanBeServed(t *testing.T) {
	const window, patience = 200 * time.Millisecond, 300 * time.Millisecond
	const servable = joinedPerSecond / 5
	returnsOf := func(policy slots.Policy) (busiest, refused int) {
		q := newJoinedQueue(t, policy)
		var at []time.Time
		for n := range uint64(200) {
			if n%2 == 0 {
				q.now = q.now.Add(time.Millisecond)
			}
			grant := q.ledger.Grant(q.now, slots.Request{ID: slots.ID{Holder: "h", Number: 1000 + n}, Group: "g", Share: fmt.Sprint("a", n%50),
				MayWait: true, Stay: true, Work: 1, Content: 1000 + n, Patience: patience, ObjectiveLeft: patience, DeadlineLeft: 6 * time.Second}, n)
			if n%20 == 0 {
				q.free()
			}
			if grant.Verdict != slots.Overloaded {
				continue
			}
			after := grant.RetryAfter
			if after == 0 {
				after = time.Duration(routing.TooBusy("g", grant.Wait, patience).RetryAfterMs) * time.Millisecond
			}
			at = append(at, q.now.Add(after))
		}
		slices.SortFunc(at, time.Time.Compare)
		for i := range at {
			n := len(at) - i
			if end := slices.IndexFunc(at, func(b time.Time) bool { return b.Sub(at[i]) >= window }); end >= 0 {
				n = end - i
			}
			busiest = max(busiest, n)
		}
		return busiest, len(at)
	}
	g := NewWithT(t)
	busiest, refused := returnsOf(joined)
	t.Logf("paced: %d refused, at most %d return in %s", refused, busiest, window)
	g.Expect(refused).To(BeNumerically(">", 100))
	g.Expect(busiest).To(BeNumerically("<=", servable*5/4), "about the rate that can be served")
	off := joined
	off.PacedReturn = false
	before, refused := returnsOf(off)
	t.Logf("not paced: %d refused, at most %d return in %s", refused, before, window)
	g.Expect(before).To(BeNumerically(">", 3*servable), "the load does not show the fault")
}
