package fairshare_test

import (
	"flag"
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"tarragonhollow.example/tarragonhollow/core/fairshare"
)

func init() { _ = flag.Set("rapid.seed", "1") }

// flood lets n requests of the share begin to wait and returns their tags.
func flood(s *fairshare.Shares, now time.Time, share string, n int) []float64 {
	var tags []float64
	for range n {
		tags = append(tags, s.Enter(now, share, 1, 1))
	}
	return tags
}

// Guards against requests that were refused or whose caller left and that push the later
// requests of their account behind others.
func TestWorkOfARequestThatLeftDoesNotCount(t *testing.T) {
	g := NewWithT(t)
	s := fairshare.New()
	first := s.Enter(start, "a", 1, 1)
	tags := flood(s, start, "a", 50)
	g.Expect(s.Within(tags[49])).To(BeFalse())
	for _, tag := range tags {
		s.Left("a", tag)
	}
	g.Expect(s.Within(s.Enter(start, "a", 1, 1))).To(BeTrue())
	s.Granted(start, "a", first)
}

// Guards against a report that moves a finish tag twice, because it is repeated, overtaken
// or follows one that was lost.
func TestRemoteWorkCountsOnce(t *testing.T) {
	g := NewWithT(t)
	remote := fairshare.New()
	tags := flood(remote, start, "a", 100)
	granted := 0
	grant := func(now time.Time, n int) fairshare.Report {
		for range n {
			remote.Granted(now, "a", tags[granted])
			granted++
		}
		return remote.Report(now, 16)
	}
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	first, second, lost, last := grant(at(1), 5), grant(at(2), 5), grant(at(3), 7), grant(at(4), 3)
	g.Expect(lost.Used).To(HaveLen(1))

	local := fairshare.New()
	for _, r := range []fairshare.Report{first, first, second, second, last, second, last} {
		local.ApplyRemote(at(5), "leader", r)
	}
	// The first counter sets the base. A share without use begins with its credit of 6.
	moved := local.Enter(at(5), "a", 1, 1) - local.Enter(at(5), "b", 1, 1)
	g.Expect(moved).To(BeNumerically("~", 15+6, 1e-9))
}

// Guards against a leader that is replaced: the counters of the new one begin again.
func TestCountersOfANewLeaderAreNotCompared(t *testing.T) {
	g := NewWithT(t)
	s := fairshare.New()
	apply := func(leader string, number int64, used float64) {
		s.ApplyRemote(start, leader, fairshare.Report{Number: number, Used: map[string]float64{"a": used, "b": used}})
	}
	apply("old", 1, 1e6)
	apply("new", 1, 500)
	apply("new", 2, 400) // the share was dropped there and began again
	g.Expect(s.Within(s.Enter(start, "a", 1, 1))).To(BeTrue())
	apply("new", 3, 450)
	g.Expect(s.Within(s.Enter(start, "a", 1, 1))).To(BeFalse())
	g.Expect(s.Within(s.Enter(start, "b", 1, 1))).To(BeFalse(), "the lower counter subtracts nothing")
}

// Guards against accounts of which each zone serves a part and that are pushed behind
// others although they do not flood.
func TestOnlySharesBeyondTheirShareAreReported(t *testing.T) {
	g := NewWithT(t)
	s := fairshare.New()
	for i := range 40 {
		flood(s, start, fmt.Sprint("calm-", i), 1)
		flood(s, start, fmt.Sprint("flooding-", i), 20+i)
	}
	used := s.Report(start, 16).Used
	g.Expect(used).To(HaveLen(16))
	g.Expect(used).To(HaveKey("flooding-39"))
	g.Expect(used).To(HaveKey("flooding-24"))
}

// Guards against a log line for each request of an account that floods.
func TestChangesAreReportedOnceASecond(t *testing.T) {
	g := NewWithT(t)
	s := fairshare.New()
	tags := flood(s, start, "a", 20)
	g.Expect(s.Changes(start)).To(ConsistOf(fairshare.Change{Share: "a", Beyond: true, Waiting: 20}))
	for _, tag := range tags {
		s.Left("a", tag)
	}
	g.Expect(s.Changes(start.Add(500 * time.Millisecond))).To(BeEmpty())
	g.Expect(s.Changes(start.Add(time.Second))).To(ConsistOf(fairshare.Change{Share: "a"}))
	g.Expect(s.Changes(start.Add(2 * time.Second))).To(BeEmpty())
	flood(s, start.Add(2*time.Second), "a", 20)
	g.Expect(s.Changes(start.Add(2 * time.Second))).To(HaveLen(1))
	s.Expire(start.Add(30 * time.Second))
	g.Expect(s.Len()).To(Equal(1), "the share is kept for its time after its requests were dropped")
	s.Expire(start.Add(60 * time.Second))
	g.Expect(s.Changes(start.Add(60 * time.Second))).To(ConsistOf(fairshare.Change{Share: "a"}))
}

// Guards against names of accounts without end that fill the leader's memory.
func TestMemoryIsBoundedAndReleased(t *testing.T) {
	g := NewWithT(t)
	s := fairshare.New()
	tags := map[string]float64{}
	for i := range 3000 {
		name := fmt.Sprint("account-", i)
		tags[name] = s.Enter(start, name, 1, 1)
	}
	g.Expect(s.Len()).To(BeNumerically("<=", 1001))
	for name, tag := range tags {
		s.Granted(start, name, tag)
	}
	for i := range 3000 {
		s.ApplyRemote(start, fmt.Sprint("leader-", i), fairshare.Report{Number: 1, Used: map[string]float64{"x": 1}})
	}
	s.Expire(start.Add(11 * time.Second))
	g.Expect(s.Len()).To(BeZero())
}

// backlog is the waiting requests of accounts that always have some waiting.
type backlog struct {
	shares *fairshare.Shares
	list   []queued
}

type queued struct {
	account    int
	tag, order float64
	cost       float64
}

// next removes the request that gets the next slot: within their shares in any order,
// else by tag.
func (b *backlog) next() queued {
	first := 0
	for i, q := range b.list {
		p := b.list[first]
		within, before := b.shares.Within(q.tag), b.shares.Within(p.tag)
		if within != before && within || within == before && (within && q.order < p.order || !within && q.tag < p.tag) {
			first = i
		}
	}
	q := b.list[first]
	b.list = append(b.list[:first], b.list[first+1:]...)
	return q
}

// Guards against an account that has requests waiting all the time and gets less than its
// weighted part, whatever the order of the requests that are within their shares.
func TestEachAccountGetsItsWeightedShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := fairshare.New()
		b := &backlog{shares: s}
		weights := rapid.SliceOfN(rapid.Float64Range(0.5, 8), 2, 8).Draw(t, "weights")
		work := rapid.Float64Range(1, 50)
		now, largest := start, 0.0
		enter := func(account int) {
			size := work.Draw(t, "work")
			largest = max(largest, size/weights[account])
			tag := s.Enter(now, fmt.Sprint(account), size, weights[account])
			b.list = append(b.list, queued{account, tag, rapid.Float64().Draw(t, "order"), size / weights[account]})
		}
		for account := range weights {
			for range rapid.IntRange(1, 12).Draw(t, "waiting") {
				enter(account)
			}
		}
		got := make([]float64, len(weights))
		for range 300 {
			now = now.Add(time.Millisecond)
			q := b.next()
			s.Granted(now, fmt.Sprint(q.account), q.tag)
			got[q.account] += q.cost
			enter(q.account)
		}
		for i := range got {
			for j := range got {
				// Credit, slack and the request that gets the slot.
				if got[i]-got[j] > (6+2+1+1)*largest {
					t.Fatalf("account %d got %.1f and account %d %.1f of normalized work, largest request %.1f", i, got[i], j, got[j], largest)
				}
			}
		}
	})
}

// Guards against an account with one request at a time that loses its place whenever that
// request gets a slot, beside an account with many large requests.
func TestAnAccountWithOneRequestAtATimeKeepsItsPlace(t *testing.T) {
	g := NewWithT(t)
	s := fairshare.New()
	b := &backlog{shares: s}
	enter := func(account int, cost float64) {
		tag := s.Enter(start, fmt.Sprint(account), cost, 1)
		b.list = append(b.list, queued{account: account, tag: tag, order: float64(account), cost: cost})
	}
	for range 10 {
		enter(0, 50)
	}
	enter(1, 1)
	var got [2]float64
	for range 2000 {
		q := b.next()
		s.Granted(start, fmt.Sprint(q.account), q.tag)
		got[q.account] += q.cost
		enter(q.account, q.cost)
	}
	g.Expect(got[0]-got[1]).To(BeNumerically("<=", 10*50), fmt.Sprint(got))
}

// Guards against state that remains after the queue has drained, whatever happened before.
func TestADrainedQueueLeavesNoState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := fairshare.New()
		now := start
		waiting := map[string][]float64{}
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "share")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				tag := s.Enter(now, name, rapid.Float64().Draw(t, "work"), rapid.Float64().Draw(t, "weight"))
				waiting[name] = append(waiting[name], tag)
			case 2:
				if list := waiting[name]; len(list) > 0 {
					s.Granted(now, name, list[0])
					waiting[name] = list[1:]
				}
			case 3:
				if list := waiting[name]; len(list) > 0 {
					s.Left(name, list[0])
					waiting[name] = list[1:]
				}
			}
		}
		for name, list := range waiting {
			for _, tag := range list {
				s.Left(name, tag)
			}
		}
		s.Expire(now.Add(11 * time.Second))
		if s.Len() != 0 {
			t.Fatalf("%d shares remain", s.Len())
		}
		if a, b := s.Enter(now, "a", 1, 1), fairshare.New().Enter(now, "a", 1, 1); a != b {
			t.Fatalf("tags begin at %v, in a new state at %v", a, b)
		}
	})
}

// Guards against a wrong size or weight of a request that stops the leader, fills the
// counters of its account for good or puts all its later requests behind the others.
func TestWrongWorkAndWeightsAreBounded(t *testing.T) {
	values := []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 0, math.MaxFloat64, math.SmallestNonzeroFloat64, 1}
	for _, work := range values {
		for _, weight := range values {
			g := NewWithT(t)
			s := fairshare.New()
			tag := s.Enter(start, "a", work, weight)
			g.Expect(math.Abs(tag)).To(BeNumerically("<", 1e10), fmt.Sprint(work, weight))
			s.Granted(start, "a", tag)
			s.Left("a", s.Enter(start, "a", work, weight))
			for _, use := range s.Uses(16) {
				g.Expect(use.Work).To(BeNumerically("<=", 1e12), fmt.Sprint(work, weight))
			}
			s.Enter(start, "a", work, weight)
			s.Expire(start.Add(11 * time.Second))
			s.Expire(start.Add(22 * time.Second))
			g.Expect(s.Len()).To(BeZero(), fmt.Sprint(work, weight))
		}
	}
}

// Guards against an idle account that is reported to the other zones because the sum of
// its waiting work is not 0 after rounding.
func TestAnIdleShareIsNotReported(t *testing.T) {
	g := NewWithT(t)
	s := fairshare.New()
	s.Enter(start, "b", 1, 1)
	var tags []float64
	for range 10 {
		tags = append(tags, s.Enter(start, "a", 0.1, 1))
	}
	for _, tag := range tags {
		s.Granted(start, "a", tag)
	}
	g.Expect(s.Beyond("a")).To(BeTrue())
	g.Expect(s.Report(start, 16).Used).To(BeEmpty())
}

// Guards against work of an account in another zone that counts for all accounts without a
// share of their own here.
func TestRemoteWorkDoesNotCountForOtherShares(t *testing.T) {
	g := NewWithT(t)
	s := fairshare.New()
	for i := range 1001 {
		s.Enter(start, fmt.Sprint("account-", i), 1, 1)
	}
	g.Expect(s.Beyond("new")).To(BeFalse())
	for i, used := range []float64{1, 1000} {
		s.ApplyRemote(start, "leader", fairshare.Report{Number: int64(1 + i), Used: map[string]float64{"flooding": used}})
	}
	g.Expect(s.Beyond("new")).To(BeFalse())
}

// Guards against an account that got the idle slots of one zone for a minute and then gets
// none in a zone with a queue until the others there have received as much.
func TestWorkInAnotherZoneDelaysAShareForABoundedTime(t *testing.T) {
	g := NewWithT(t)
	s := fairshare.New()
	b := &backlog{shares: s}
	enter := func(account int) {
		b.list = append(b.list, queued{account: account, tag: s.Enter(start, fmt.Sprint(account), 1, 1)})
	}
	enter(1)
	for i := range 120 {
		s.ApplyRemote(start, "leader", fairshare.Report{Number: int64(1 + i), Used: map[string]float64{"0": float64(1 + 100*i)}})
	}
	enter(0)
	before := 0
	for ; before < 1000; before++ {
		q := b.next()
		s.Granted(start, fmt.Sprint(q.account), q.tag)
		if q.account == 0 {
			break
		}
		enter(q.account)
	}
	// 64 requests, and 10 as between accounts in one zone.
	g.Expect(before).To(BeNumerically("<=", 64+10))
	g.Expect(before).To(BeNumerically(">=", 64-10), "the work is counted")
}

// Guards against counters that are compared with those of a leader that has been silent
// for longer than its shares may have been known, and against leaders without end.
func TestCountersOfOtherLeadersAreBoundedAndForgotten(t *testing.T) {
	g := NewWithT(t)
	s := fairshare.New()
	apply := func(now time.Time, leader int, share string, number int64, used float64) {
		s.ApplyRemote(now, fmt.Sprint("leader-", leader), fairshare.Report{Number: number, Used: map[string]float64{share: used}})
	}
	counts := func(now time.Time, share string) bool { return !s.Within(s.Enter(now, share, 1, 1)) }
	for i := range 65 {
		apply(start, i, fmt.Sprint("share-", i), 1, 1)
		apply(start, i, fmt.Sprint("share-", i), 2, 100)
	}
	g.Expect(counts(start, "share-63")).To(BeTrue())
	g.Expect(counts(start, "share-64")).To(BeFalse(), "64 leaders are known")

	apply(start, 0, "silent", 3, 1)
	apply(start.Add(2*time.Second), 0, "other", 4, 1)
	later := start.Add(3*time.Second + time.Millisecond)
	apply(later, 0, "silent", 5, 1000)
	g.Expect(counts(later, "silent")).To(BeFalse(), "the counter is a new base")
	apply(later, 64, "share-64", 3, 1)
	apply(later, 64, "share-64", 4, 100)
	g.Expect(counts(later, "share-64")).To(BeTrue(), "leaders without reports are forgotten")
}

// Guards against tags that grow until costs disappear in their rounding, and against
// shares that move to each other when tags begin at 0 again.
func TestTagsBeginAgainWhenNothingWaits(t *testing.T) {
	g := NewWithT(t)
	s := fairshare.New()
	// The first tag is 6 costs before 0, the 17th reaches 1e9.
	for range 17 {
		s.Granted(start, "a", s.Enter(start, "a", 1e8, 1))
	}
	g.Expect(s.Enter(start, "b", 1, 1)).To(BeNumerically("~", -6-2, 1e-6))
	g.Expect(s.Enter(start, "a", 1e8, 1)).To(BeNumerically("~", (1-2)*1e8, 1), "one cost ahead, as before")
}

// Guards against a report of the share that stands for all accounts beyond 1,000: it
// stands for other accounts in each zone.
func TestTheOverflowShareIsNotReported(t *testing.T) {
	g := NewWithT(t)
	s := fairshare.New()
	for i := range 1020 {
		s.Enter(start, fmt.Sprint("account-", i), 1, 1)
	}
	g.Expect(s.Beyond("new")).To(BeTrue())
	g.Expect(s.Report(start, 16).Used).To(BeEmpty())
}

// BenchmarkReport measures a report with as many shares as are known, all beyond theirs.
func BenchmarkReport(b *testing.B) {
	s := fairshare.New()
	s.Enter(start, "calm", 1, 1)
	for i := range 999 {
		flood(s, start, fmt.Sprint("flooding-", i), 10+i%17)
	}
	for b.Loop() {
		s.Report(start, 16)
	}
}
