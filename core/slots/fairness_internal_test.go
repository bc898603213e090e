package slots

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"tarragonhollow.example/tarragonhollow/core/routing"
)

func init() { _ = flag.Set("rapid.seed", "1") }

// overloadedLedger returns a ledger of one group whose 8 slots are taken, with a queue at the
// target that is longer than requests may wait. A slot becomes free every 50 ms.
func overloadedLedger(now time.Time, policy Policy) *Ledger {
	const slotCount, took = 8, 400 * time.Millisecond
	l := NewLedgerWith(policy)
	l.SetTargets(map[string][]Target{"g": {{Start: "t", Slots: slotCount}}})
	for n := range uint64(2 * slotCount) {
		l.Grant(now, Request{ID: ID{"h", 1 + n}, Group: "g", Patience: time.Minute}, n)
		if n == 0 {
			l.End(now, "h", []Ended{{Number: 1, Target: "t", Outcome: routing.Succeeded, Took: took}})
		}
	}
	return l
}

// refuseTen refuses 10 requests at the same time and returns when their callers return.
func refuseTen(t *testing.T, now time.Time, l *Ledger) []time.Duration {
	t.Helper()
	var after []time.Duration
	for n := range uint64(10) {
		r := Request{ID: ID{"h", 100 + n}, Group: "g", Patience: 100 * time.Millisecond, DeadlineLeft: 5 * time.Second, Content: 1 + n}
		grant := l.Grant(now, r, n)
		NewWithT(t).Expect(grant.Verdict).To(Equal(Overloaded))
		after = append(after, grant.RetryAfter)
	}
	return after
}

// Guards against refused callers that all return at the same time, and against a change
// of the Retry-After while the key is off.
func TestRefusedCallersReturnOneSlotApart(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	g.Expect(refuseTen(t, now, overloadedLedger(now, Policy{}))).To(HaveEach(BeZero()))
	after := refuseTen(t, now, overloadedLedger(now, Policy{PacedReturn: true}))
	g.Expect(slices.IsSorted(after)).To(BeTrue())
	for i := range after[1:] {
		g.Expect(after[i+1]-after[i]).To(Equal(50*time.Millisecond), fmt.Sprint(after))
	}
}

// Guards against a request without a known deadline whose caller gets a Retry-After beyond
// it has given up.
func TestTheReturnTimeOfAnUnknownDeadlineFollowsThePatience(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	l := overloadedLedger(now, Policy{PacedReturn: true})
	r := Request{Group: "g", Patience: 100 * time.Millisecond}
	g.Expect(l.retryAfter(now, r, false, time.Second)).To(BeNumerically("<=", 2*r.Patience/3))
	g.Expect(l.retryAfter(now, r, false, time.Second)).To(BeNumerically(">", 0))
}

// Guards against a returning caller that is not recognised, and one that is while the key
// is off.
func TestAReturningCallerIsRecognised(t *testing.T) {
	for _, on := range []bool{false, true} {
		g := NewWithT(t)
		now := time.Unix(1000, 0)
		l := overloadedLedger(now, Policy{PacedReturn: on})
		r := Request{Group: "g", Patience: 100 * time.Millisecond, DeadlineLeft: 5 * time.Second, Content: 7}
		after := l.retryAfter(now, r, false, 300*time.Millisecond)
		g.Expect(l.returning(now, r)).To(BeFalse())
		g.Expect(l.returning(now.Add(after), r)).To(Equal(on))
	}
}

// Guards against an account that floods in one zone and is first in the others, and
// against shares that count while the key is off.
func TestZonesExchangeTheWorkOfSharesBeyondTheirShare(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	g.Expect(overloadedLedger(now, Policy{}).shares("g")).To(BeNil())
	here, there := overloadedLedger(now, Policy{FairShares: true}), overloadedLedger(now, Policy{FairShares: true})
	g.Expect(there.ShareReports(now)).To(BeNil())
	flood := there.shares("g")
	var tags []float64
	for range 100 {
		tags = append(tags, flood.Enter(now, "flooder", 1, 1))
	}
	here.ApplyShareReports(now, "leader", there.ShareReports(now))
	for _, tag := range tags[:50] {
		flood.Granted(now, "flooder", tag)
	}
	now = now.Add(time.Second)
	here.ApplyShareReports(now, "leader", there.ShareReports(now))

	waiting := here.shares("g")
	calm, flooding := waiting.Enter(now, "calm", 1, 1), waiting.Enter(now, "flooder", 1, 1)
	g.Expect(waiting.Within(calm)).To(BeTrue())
	g.Expect(waiting.Within(flooding)).To(BeFalse())
	g.Expect(here.beyondShare(Request{Group: "g", Share: "flooder"})).To(BeTrue())
	g.Expect(here.beyondShare(Request{Group: "g", Share: "calm"})).To(BeFalse())
	g.Expect(there.ShareChanges(now)).To(HaveLen(1))
	g.Expect(there.ShareUses()["g"]).To(HaveLen(1))

	off := overloadedLedger(now, Policy{})
	off.ApplyShareReports(now, "leader", there.ShareReports(now))
	g.Expect(off.fairness.shares).To(BeEmpty())
}

// Guards against an account that floods and whose returning callers precede requests of
// others: to return on time changes neither the tag of a request nor whether it is within
// its share.
func TestAReturningCallerRemainsBeyondItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		policy := Policy{FairShares: true}
		plain := overloadedLedger(now, policy)
		policy.PacedReturn = true
		paced := overloadedLedger(now, policy)
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond)
			r := Request{Group: "g", Share: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "share"), DeadlineLeft: 5 * time.Second,
				Content: rapid.Uint64Range(1, 4).Draw(t, "content"), Work: 1 + rapid.Float64().Draw(t, "work")}
			paced.returning(now, r)
			if paced.beyondShare(r) != plain.beyondShare(r) {
				t.Fatalf("the share of %s depends on returns", r.Share)
			}
			if rapid.Bool().Draw(t, "refused") {
				paced.retryAfter(now, r, paced.beyondShare(r), 10*time.Millisecond)
				continue
			}
			a, b := plain.shares("g").Enter(now, r.Share, r.Work, r.Weight), paced.shares("g").Enter(now, r.Share, r.Work, r.Weight)
			if a != b {
				t.Fatalf("tag %v with paced returns, %v without", b, a)
			}
			if rapid.Bool().Draw(t, "granted") {
				plain.shares("g").Granted(now, r.Share, a)
				paced.shares("g").Granted(now, r.Share, b)
			}
		}
	})
}

// Guards against state of callers and accounts that remains after the load has ended.
func TestFairnessLeavesNoState(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	l := overloadedLedger(now, Policy{FairShares: true, PacedReturn: true})
	refuseTen(t, now, l)
	tag := l.shares("g").Enter(now, "a", 1, 1)
	l.shares("g").Left("a", tag)
	l.Expire(now.Add(11 * time.Second))
	g.Expect(l.fairness.returns.Len()).To(BeZero())
	g.Expect(l.fairness.shares["g"].Len()).To(BeZero())
}

// Guards against the state of groups that are configured and removed again and again.
func TestSharesOfARemovedGroupAreDropped(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	l := overloadedLedger(now, Policy{FairShares: true})
	tag := l.shares("g").Enter(now, "a", 1, 1)
	l.SetTargets(nil)
	l.Expire(now)
	g.Expect(l.fairness.shares).To(HaveKey("g"), "a request waits")
	l.shares("g").Left("a", tag)
	l.Expire(now.Add(11 * time.Second))
	g.Expect(l.fairness.shares).To(BeEmpty())
}

// Guards against refused callers of an account that floods whose return times push back
// those of the others.
func TestRefusedCallersBeyondTheirShareUseNoPlaceOfTheOthers(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	l := overloadedLedger(now, Policy{FairShares: true, PacedReturn: true})
	waiting := l.shares("g")
	waiting.Enter(now, "calm", 1, 1)
	for range 50 {
		waiting.Enter(now, "flooder", 1, 1)
	}
	refuse := func(share string, n uint64) time.Duration {
		return l.Grant(now, Request{ID: ID{"h", n}, Group: "g", Share: share, Patience: 100 * time.Millisecond, DeadlineLeft: 5 * time.Second}, n).RetryAfter
	}
	first := refuse("calm", 100)
	for n := range uint64(10) {
		g.Expect(refuse("flooder", 101+n)).To(BeNumerically(">=", first))
	}
	g.Expect(refuse("calm", 200)).To(Equal(first + 50*time.Millisecond))
}
