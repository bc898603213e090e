package slots_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tarragonhollow.example/tarragonhollow/core/routing"
	"tarragonhollow.example/tarragonhollow/core/slots"
)

// reserving returns a ledger with the batch reserve of n targets t0, t1, ... of the group g.
func reserving(n int) *slots.Ledger {
	l := slots.NewLedgerWith(slots.Policy{BatchReserve: true})
	l.SetTargets(map[string][]slots.Target{"g": targetList(n)})
	return l
}

func targetList(n int) []slots.Target {
	var list []slots.Target
	for i := range n {
		list = append(list, slots.Target{Start: fmt.Sprint("t", i), Slots: perTarget})
	}
	return list
}

func withTime(r *slots.Request) { r.Batch, r.Slack = true, 10*time.Second }
func shortOfTime(r *slots.Request) {
	r.Batch, r.Slack, r.ShortOfTime = true, time.Second, true
}

// burst lets n online requests run for the given time, with the leader's rounds, and ends
// them.
func burst(l *slots.Ledger, now time.Time, n int, length time.Duration) time.Time {
	var running []slots.Running
	for range n {
		r := request()
		running = append(running, slots.Running{Number: r.ID.Number, Target: l.Grant(now, r, 0).Target})
	}
	end := now.Add(length)
	for now.Before(end) {
		now = now.Add(50 * time.Millisecond)
		l.Report(now, "h", running, nil)
		l.Expire(now)
	}
	for _, r := range running {
		l.End(now, "h", []slots.Ended{{Number: r.Number, Target: r.Target, Outcome: routing.Succeeded}})
	}
	return now
}

// grantedBefore requests slots until one is denied, and counts those granted.
func grantedBefore(l *slots.Ledger, now time.Time, kind func(*slots.Request)) (n int, denied slots.Grant) {
	for {
		got := l.Grant(now, request(kind), 0)
		if got.Verdict != slots.Granted {
			return n, got
		}
		n++
	}
}

// In a low step of the load, items with time would take the slots that the next high step
// needs, and be preempted there.
func TestItemsWithTimeLeaveTheSlotsThatOnlineWorkUsedRecently(t *testing.T) {
	l := reserving(4)
	now := burst(l, start, 5, 2*time.Second)
	n, denied := grantedBefore(l, now, withTime)
	if n != 4*perTarget-5 || denied.Reserve != 5 {
		t.Fatalf("%d items got a slot, %d slots are reserved; want %d and 5", n, denied.Reserve, 4*perTarget-5)
	}
	now = now.Add(500 * time.Millisecond)
	if n, _ := grantedBefore(l, now, withTime); n != 0 {
		t.Fatalf("%d more items with time got a slot later", n)
	}
	if n, _ := grantedBefore(l, now, shortOfTime); n != 5 {
		t.Fatalf("%d items short of time got a slot, want 5", n)
	}
}

// In a group of more targets than a grant examines first, an item would get an empty
// target of the sample although no more slots are free than are held back.
func TestALargeGroupHoldsBackItsEmptyTargets(t *testing.T) {
	const targets, online = 100, 50
	l := slots.NewLedgerWith(slots.Policy{BatchReserve: true})
	var list []slots.Target
	for i := range targets {
		list = append(list, slots.Target{Start: fmt.Sprint("t", i), Slots: 1})
	}
	l.SetTargets(map[string][]slots.Target{"g": list})
	now := burst(l, start, online, 2*time.Second).Add(300 * time.Millisecond)
	if n, denied := grantedBefore(l, now, withTime); n != targets-online || denied.Reserve != online {
		t.Fatalf("%d items got a slot, %d slots are reserved; want %d and %d", n, denied.Reserve, targets-online, online)
	}
}

// Online work takes a few slots more or less from moment to moment. An item that started
// in such a gap would be preempted at once, even one that is short of time.
func TestNoItemStartsInASlotThatOnlineWorkHasJustUsed(t *testing.T) {
	l := reserving(4)
	now := burst(l, start, 5, 2*time.Second)
	if n, denied := grantedBefore(l, now.Add(200*time.Millisecond), shortOfTime); n != 4*perTarget-5 || denied.Reserve != 5 {
		t.Fatalf("%d items got a slot, %d slots are reserved; want %d and 5", n, denied.Reserve, 4*perTarget-5)
	}
	if n, _ := grantedBefore(l, now.Add(300*time.Millisecond), shortOfTime); n != 5 {
		t.Fatalf("%d items got a slot after 300 ms, want 5", n)
	}
}

// A high step that lasted ten seconds and is over would keep batch from slots for ever.
func TestTheReserveEndsWithItsWindow(t *testing.T) {
	l := reserving(4)
	now := burst(l, start, 5, 2*time.Second)
	for range 13 * 20 {
		now = now.Add(50 * time.Millisecond)
		l.Expire(now)
	}
	if n, denied := grantedBefore(l, now, withTime); n != 4*perTarget || denied.Reserve != 0 {
		t.Fatalf("%d items got a slot, %d slots are reserved", n, denied.Reserve)
	}
}

// A new leader does not know the load. If it reserved slots by guess, every change of the
// leader would stop batch.
func TestANewLeaderReservesNothingBeforeItHasASecondOfSamples(t *testing.T) {
	l := reserving(4)
	now := burst(l, start, 5, 900*time.Millisecond)
	if reserves := l.Reserves(now); len(reserves) != 0 {
		t.Fatalf("reserves %v after 0.9 s", reserves)
	}
	now = burst(l, now, 5, 200*time.Millisecond)
	if reserves := l.Reserves(now); reserves["g"] != 5 {
		t.Fatalf("reserves %v after 1.1 s, want 5", reserves)
	}
}

// A daemon leads again minutes later. Samples of its earlier lead say nothing about the
// load now.
func TestSamplesOfAnEarlierLeadAreDiscarded(t *testing.T) {
	l := reserving(4)
	now := burst(l, start, 5, 2*time.Second).Add(time.Minute)
	if reserves := l.Reserves(now); len(reserves) != 0 {
		t.Fatalf("reserves %v", reserves)
	}
}

// Daemons of the previous build, and those with the key off, do not state the slack of
// their items. Their items must not wait until they are overdue.
func TestItemsOfAHolderThatStatesNoSlackGetAnyFreeSlot(t *testing.T) {
	l := reserving(4)
	now := burst(l, start, 5, 2*time.Second)
	if n, _ := grantedBefore(l, now, batch); n != 4*perTarget {
		t.Fatalf("%d items got a slot, want %d", n, 4*perTarget)
	}
}

// A large job arrives at many holders. Each of its items has time, but together they need
// all slots; if they waited until each is short of time, many would finish late.
func TestABacklogThatIsShortOfTimeAsAWholeGetsAnyFreeSlot(t *testing.T) {
	l := reserving(4)
	now := burst(l, start, 5, 2*time.Second).Add(300 * time.Millisecond)
	backlog := func(holder string) func(*slots.Request) {
		return func(r *slots.Request) { r.ID.Holder, r.Batch, r.Slack, r.Needed = holder, true, 10*time.Second, 4 }
	}
	if _, denied := grantedBefore(l, now, backlog("a")); denied.Reserve != 5 {
		t.Fatalf("%d slots are reserved with 4 slots needed", denied.Reserve)
	}
	if n, _ := grantedBefore(l, now, backlog("b")); n != 5 {
		t.Fatalf("%d items got a slot with 8 slots needed, want 5", n)
	}
	// A holder that has died, or has no waiting items any more, needs nothing.
	now = now.Add(501 * time.Millisecond)
	l = reserving(4)
	now = burst(l, now, 5, 2*time.Second)
	l.Grant(now, request(backlog("a")), 0)
	if n, denied := grantedBefore(l, now.Add(501*time.Millisecond), backlog("b")); n != 4*perTarget-5-1 || denied.Reserve != 5 {
		t.Fatalf("%d items got a slot, %d slots are reserved after a holder's need has expired; want %d and 5", n, denied.Reserve, 4*perTarget-5-1)
	}
}

// Daemons are replaced by others with new addresses. Where no item with time requests a
// slot, what each of them stated would be kept for as long as the daemon leads.
func TestWhatHoldersNeedIsForgotten(t *testing.T) {
	l := reserving(1)
	now := start
	for _, kind := range []func(*slots.Request){batch, shortOfTime, withTime} {
		for i := range 100 {
			l.Grant(now, request(kind, holder(fmt.Sprint("h", i))), 0)
		}
		if l.Needs() == 0 {
			t.Fatal("no need is recorded")
		}
		now = now.Add(501 * time.Millisecond)
		l.Expire(now)
		if n := l.Needs(); n != 0 {
			t.Fatalf("what %d holders need is kept", n)
		}
	}
}

// While online work takes more than ever before, nothing is reserved. Each slot that
// becomes free would go to an item that the next request preempts.
func TestItemsWithTimeGetNoSlotDirectlyAfterAPreemption(t *testing.T) {
	l := reserving(1)
	now := start
	grantedBefore(l, now, withTime)
	online := request()
	preempted := l.Grant(now, online, 0).Yield
	if len(preempted) != 1 {
		t.Fatalf("%v is preempted", preempted)
	}
	for _, id := range append(preempted, online.ID) {
		l.End(now, id.Holder, []slots.Ended{{Number: id.Number, Target: "t0", Outcome: routing.Neutral}})
	}
	now = now.Add(299 * time.Millisecond)
	if n, _ := grantedBefore(l, now, withTime); n != 0 {
		t.Fatal("an item with time got a slot at once")
	}
	if n, _ := grantedBefore(l, now.Add(time.Millisecond), withTime); n != 1 {
		t.Fatalf("%d items got a slot later", n)
	}
}

// Online requests wait at one target. A slot that an online request has just left at
// another one is about to be used again; an item there would be preempted at once.
func TestASlotThatOnlineWorkHasJustLeftIsNotGivenToBatchWhileRequestsWait(t *testing.T) {
	l := reserving(2)
	now := start
	at := map[string][]uint64{}
	for range 2*perTarget + 1 {
		r := request()
		to := l.Grant(now, r, 0).Target
		at[to] = append(at[to], r.ID.Number)
	}
	full := "t0" // the target without a waiting request
	if len(at[full]) > perTarget {
		full = "t1"
	}
	l.End(now, "h", []slots.Ended{{Number: at[full][0], Target: full, Outcome: routing.Succeeded}})
	if got := l.Grant(now.Add(50*time.Millisecond), request(shortOfTime), 0); got.Verdict == slots.Granted {
		t.Fatalf("granted at once: %v", got)
	}
	now = now.Add(51 * time.Millisecond)
	if got := l.Grant(now, request(shortOfTime), 0); got.Verdict != slots.Granted || got.Target != full {
		t.Fatalf("not granted later: %v", got)
	}
}

// The youngest item may be the most urgent one: it was preempted before, and would be
// again.
func TestTheItemWithTheMostSlackIsPreemptedFirst(t *testing.T) {
	l := reserving(1)
	var ids []slots.ID
	for i, slack := range []time.Duration{8, 12, 3, 2} {
		r := request(batch)
		r.Slack = slack * time.Second
		ids = append(ids, r.ID)
		l.Grant(start.Add(time.Duration(i)), r, 0)
	}
	for n, want := range []slots.ID{ids[1], ids[0], ids[2], ids[3]} {
		if got := l.Grant(start, request(), 0).Yield; len(got) != 1 || got[0] != want {
			t.Fatalf("preemption %d names %v, want %v", n, got, want)
		}
	}
}

// A notice was lost. If the next request preempted another item, two would be cancelled for
// the slots of one.
func TestAnItemThatWasNotifiedAndStillRunsIsPreemptedFirst(t *testing.T) {
	l := reserving(1)
	var ids []slots.ID
	item := func(now time.Time, slack time.Duration) {
		r := request(shortOfTime)
		r.Slack = slack
		ids = append(ids, r.ID)
		if got := l.Grant(now, r, 0); got.Verdict != slots.Granted {
			t.Fatalf("no slot: %v", got)
		}
	}
	for range perTarget {
		item(start, time.Second)
	}
	notified := l.Grant(start, request(), 0).Yield
	if len(notified) != 1 {
		t.Fatalf("%v is preempted", notified)
	}
	now := start.Add(time.Second)
	for _, id := range ids {
		if id != notified[0] {
			l.End(now, id.Holder, []slots.Ended{{Number: id.Number, Target: "t0", Outcome: routing.Neutral}})
		}
	}
	for range perTarget - 2 {
		item(now, time.Minute)
	}
	if got := l.Grant(now.Add(time.Second/2), request(), 0).Yield; len(got) != 1 || got[0] != notified[0] {
		t.Fatalf("%v is preempted, want %v", got, notified)
	}
}

// Runs that are cancelled a few milliseconds after their start produce nothing. Of items
// with the same time, and of items learned from reports, those that have run for a while
// are cancelled.
func TestAnItemThatHasJustStartedIsNotPreemptedBeforeOthers(t *testing.T) {
	l := reserving(1)
	now := start
	l.Report(now, "b", []slots.Running{{Number: 1, Target: "t0", Batch: true}, {Number: 2, Target: "t0", Batch: true}}, nil)
	now = now.Add(450 * time.Millisecond)
	l.Grant(now, slots.Request{ID: slots.ID{Holder: "b", Number: 3}, Group: "g", Batch: true, Slack: time.Second}, 0)
	l.Grant(now, slots.Request{ID: slots.ID{Holder: "b", Number: 4}, Group: "g", Batch: true, Slack: time.Second}, 0)
	now = now.Add(50 * time.Millisecond)
	for range 2 {
		if got := l.Grant(now, request(), 0).Yield; len(got) != 1 || got[0].Number > 2 {
			t.Fatalf("%v is preempted", got)
		}
	}
}

// A notice is lost between two hosts: the item runs on, and online requests queue behind it
// until another request happens to arrive at the target.
func TestALostNoticeIsRepeatedWhileTheItemRuns(t *testing.T) {
	l := reserving(1)
	now := start
	var running []slots.Running
	for range perTarget {
		r := request(withTime, holder("b"))
		running = append(running, slots.Running{Number: r.ID.Number, Target: l.Grant(now, r, 0).Target, Batch: true})
	}
	online := request()
	preempted := l.Grant(now, online, 0).Yield
	now = now.Add(499 * time.Millisecond)
	if got := l.RepeatPreemptions(now); len(got) != 0 {
		t.Fatalf("%v is repeated at once", got)
	}
	now = now.Add(time.Millisecond)
	if got := l.RepeatPreemptions(now); len(got) != 1 || got[0] != preempted[0] {
		t.Fatalf("%v is repeated, want %v", got, preempted)
	}
	if got := l.RepeatPreemptions(now); len(got) != 0 {
		t.Fatalf("%v is repeated twice", got)
	}
	// Another item ends, so that the target has enough slots.
	for _, r := range running {
		if r.Number != preempted[0].Number {
			l.End(now, "b", []slots.Ended{{Number: r.Number, Target: "t0", Outcome: routing.Neutral}})
			break
		}
	}
	if got := l.RepeatPreemptions(now.Add(time.Second)); len(got) != 0 {
		t.Fatalf("%v is repeated although nothing waits", got)
	}
}

// Two notices are lost and then an item ends by itself. Only one more must be stopped.
func TestNoMoreNoticesAreRepeatedThanTheTargetLacksSlots(t *testing.T) {
	l := reserving(1)
	var ids []slots.ID
	for range perTarget {
		r := request(withTime)
		ids = append(ids, r.ID)
		l.Grant(start, r, 0)
	}
	notified := map[slots.ID]bool{}
	for range 2 {
		for _, id := range l.Grant(start, request(), 0).Yield {
			notified[id] = true
		}
	}
	now := start.Add(500 * time.Millisecond)
	for _, id := range ids {
		if !notified[id] {
			l.End(now, id.Holder, []slots.Ended{{Number: id.Number, Target: "t0", Outcome: routing.Neutral}})
			break
		}
	}
	if got := l.RepeatPreemptions(now); len(got) != 1 || !notified[got[0]] {
		t.Fatalf("%v are repeated, want one of %v", got, notified)
	}
}

// An item with time is denied in every zone in turn, and each time one free slot less is
// left in the report of that zone for online requests.
func TestItemsAreNotSentToAZoneWhoseFreeSlotsAreHeldBack(t *testing.T) {
	l := reserving(1)
	for range perTarget {
		l.Grant(start, request(), 0)
	}
	l.ApplyRemoteFree(start, "x", "x:1", map[string]int{"g": 6})
	l.ApplyRemoteReserves("x", map[string]int{"g": 5})
	if got := l.Grant(start, request(withTime), 0); got.Verdict != slots.None {
		t.Fatalf("an item with time: %v", got.Verdict)
	}
	if got := l.Grant(start, request(shortOfTime), 0); got.Verdict != slots.Elsewhere {
		t.Fatalf("an item short of time: %v", got.Verdict)
	}
}

// With the key off nothing may change, whatever the requests state.
func TestWithoutTheKeyNothingIsReserved(t *testing.T) {
	l := ledger(4)
	now := burst(l, start, 5, 2*time.Second)
	if n, denied := grantedBefore(l, now, withTime); n != 4*perTarget || denied.Reserve != 0 || l.Reserves(now) != nil {
		t.Fatalf("%d items got a slot, reserves %v", n, l.Reserves(now))
	}
	if l.RepeatPreemptions(now) != nil {
		t.Fatal("a preemption is repeated")
	}
}

// A reserve that is too large, or that binds an item short of time, makes batch late for
// load that may never come.
func TestTheReserveIsBoundedAndNeverBindsAnItemShortOfTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "targets")
		l := reserving(n)
		now := start
		running := map[uint64]slots.Running{}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				r := request([]func(*slots.Request){func(*slots.Request) {}, withTime, batch}[rapid.IntRange(0, 2).Draw(t, "kind")])
				if got := l.Grant(now, r, r.ID.Number); got.Verdict == slots.Granted {
					running[r.ID.Number] = slots.Running{Number: r.ID.Number, Target: got.Target, Batch: r.Batch}
				}
			case 2:
				for number, r := range running {
					l.End(now, "h", []slots.Ended{{Number: number, Target: r.Target, Outcome: routing.Neutral}})
					delete(running, number)
					break
				}
			case 3:
				n = rapid.IntRange(1, 5).Draw(t, "targets")
				l.SetTargets(map[string][]slots.Target{"g": targetList(n)})
			case 4:
				l.Report(now, "h", reported(running), nil)
				l.Expire(now)
			}
			if reserve := l.Reserves(now)["g"]; reserve > n*perTarget/2 {
				t.Fatalf("%d of %d slots are reserved", reserve, n*perTarget)
			}
		}
		now = now.Add(time.Second) // no slot was used a moment ago
		l.Report(now, "h", reported(running), nil)
		free := 0
		for i := range n {
			c := l.Counts()[fmt.Sprint("t", i)]
			free += max(0, perTarget-c.Online-c.Batch)
		}
		if got, _ := grantedBefore(l, now, shortOfTime); got != free {
			t.Fatalf("items short of time got %d of %d free slots", got, free)
		}
	})
}

func reported(running map[uint64]slots.Running) []slots.Running {
	var list []slots.Running
	for _, r := range running {
		list = append(list, r)
	}
	return list
}
