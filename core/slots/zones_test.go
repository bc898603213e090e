package slots_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"tarragonhollow.example/tarragonhollow/core/routing"
	"tarragonhollow.example/tarragonhollow/core/slots"
)

const (
	halfSecond = 500 * time.Millisecond
	// reportValidity is for how long a zone's report may be used.
	reportValidity = 400 * time.Millisecond
	second         = time.Second
)

func staysAfter(zone string, unanswered bool) func(*slots.Request) {
	return func(r *slots.Request) { r.Stay, r.FailedZone, r.Unanswered = true, zone, unanswered }
}

func visits(homeWait time.Duration) func(*slots.Request) {
	return func(r *slots.Request) { r.Visiting, r.Preempts, r.HomeWait = true, true, homeWait }
}

var _ = Describe("Balancing between zones", func() {
	var l *slots.Ledger
	var now time.Time
	// grant requests a slot as a holder does that balances zones.
	grant := func(change ...func(*slots.Request)) slots.Grant {
		r := request(change...)
		r.Preempts = !r.Batch
		return l.Grant(now, r, numbers)
	}
	// full returns a ledger of one target of which all slots are taken for online
	// requests and, with a mean service time of a second, so many requests wait.
	full := func(policy slots.Policy, waiting int) {
		l, now = slots.NewLedgerWith(policy), start
		l.SetTargets(map[string][]slots.Target{"g": {{Start: "t0", Slots: perTarget}}})
		r := request()
		l.Grant(now, r, 0)
		l.End(now, "h", []slots.Ended{{Number: r.ID.Number, Target: "t0", Outcome: routing.Succeeded, Took: second}})
		for range perTarget + waiting {
			Expect(grant(func(r *slots.Request) { r.Patience = time.Hour }).Verdict).To(Equal(slots.Granted))
		}
	}
	remote := func(load slots.ZoneLoad) {
		l.ApplyRemoteLoad(now, "x", "x:1", map[string]int{"g": load.Free}, map[string]slots.ZoneLoad{"g": load})
	}
	// sent returns how many requests are sent to another zone until one is not.
	sent := func() (n int) {
		for grant().Verdict == slots.Elsewhere {
			n++
		}
		return n
	}

	It("reports free slots, slots that batch holds, waiting requests and the rate", func() {
		full(balancing, 2)
		Expect(l.Load(now)["g"]).To(Equal(slots.ZoneLoad{Waiting: 2, PerSecond: perTarget}))
		l = slots.NewLedgerWith(balancing)
		l.SetTargets(map[string][]slots.Target{"g": {{Start: "t0", Slots: perTarget}}})
		grant(batch)
		grant()
		Expect(l.Load(now)["g"]).To(Equal(slots.ZoneLoad{Free: perTarget - 2, Batch: 1}))
	})

	// Other zones would send requests to a target that fails them.
	It("reports no slots of degraded targets", func() {
		full(balancing, 0)
		l.SetTargets(map[string][]slots.Target{"g": {{Start: "t0", Slots: perTarget}, {Start: "t1", Slots: perTarget}}})
		Expect(grant(batch).Target).To(Equal("t1"))
		Expect(l.Load(now)["g"]).To(Equal(slots.ZoneLoad{Free: perTarget - 1, Batch: 1, PerSecond: 2 * perTarget}))
		l.End(now, "h", []slots.Ended{{Target: "t1", Outcome: routing.HardFailed}})
		Expect(l.Load(now)["g"]).To(Equal(slots.ZoneLoad{PerSecond: perTarget}))
	})

	// Several zones would otherwise send to the same slots.
	It("uses half of what another zone offers, free slots before those of batch", func() {
		full(balancing, 0)
		remote(slots.ZoneLoad{Free: 4, Batch: 6})
		var reasons []slots.OverflowReason
		for range 5 {
			got := grant()
			Expect(got.Verdict).To(Equal(slots.Elsewhere))
			reasons = append(reasons, got.Reason)
		}
		Expect(reasons).To(Equal([]slots.OverflowReason{slots.FreeSlot, slots.FreeSlot, slots.BatchSlot, slots.BatchSlot, slots.BatchSlot}))
		Expect(grant().Verdict).To(Equal(slots.Granted))
	})

	// Batch items preempt nothing, in no zone.
	It("sends no batch item to a zone that only has slots of batch", func() {
		full(balancing, 0)
		remote(slots.ZoneLoad{Batch: 10})
		Expect(grant(batch).Verdict).To(Equal(slots.None))
		remote(slots.ZoneLoad{Free: 2})
		Expect(grant(batch).Verdict).To(Equal(slots.Elsewhere))
	})

	It("sends a request to another queue only if it starts there earlier by the margin", func() {
		full(balancing, 0) // starts here in 250 ms
		remote(slots.ZoneLoad{PerSecond: 4.9})
		Expect(grant().Verdict).To(Equal(slots.Granted))
		full(balancing, 0)
		remote(slots.ZoneLoad{PerSecond: 5.1})
		got := grant()
		Expect(got.Verdict).To(Equal(slots.Elsewhere))
		Expect(got.Reason).To(Equal(slots.ShorterQueue))
		Expect(got.Wait).To(Equal(second / 4))
	})

	// It would be refused there, and the zone not used for its group.
	It("sends no request to a queue in which it would wait longer than it may", func() {
		full(balancing, 100)
		for patience, verdict := range map[time.Duration]slots.Verdict{second / 2: slots.Elsewhere, second/2 - 1: slots.Overloaded} {
			remote(slots.ZoneLoad{Waiting: 4, PerSecond: 10})
			Expect(grant(func(r *slots.Request) { r.Patience = patience }).Verdict).To(Equal(verdict))
		}
	})

	// A new leader knows no service time. It must not send its zone's requests away.
	It("keeps a request whose wait here is not known", func() {
		l = slots.NewLedgerWith(balancing)
		l.SetTargets(map[string][]slots.Target{"g": {{Start: "t0", Slots: 1}}})
		grant()
		remote(slots.ZoneLoad{PerSecond: 100})
		Expect(grant().Verdict).To(Equal(slots.Granted))
	})

	// Targets that fail all requests free no slots. Their zone's requests would queue there.
	It("sends the requests of a zone with degraded targets alone to another queue", func() {
		full(balancing, 0)
		l.End(now, "h", []slots.Ended{{Number: numbers, Target: "t0", Outcome: routing.HardFailed}})
		remote(slots.ZoneLoad{Waiting: 1, PerSecond: 100})
		Expect(grant().Verdict).To(Equal(slots.Elsewhere))
	})

	It("sends the requests of a zone without targets to another queue", func() {
		l = slots.NewLedgerWith(balancing)
		remote(slots.ZoneLoad{Waiting: 1, PerSecond: 100})
		got := grant()
		Expect(got.Verdict).To(Equal(slots.Elsewhere))
		Expect(got.Wait).To(Equal(second))
	})

	// Online callers of a full zone are refused while batch runs in another one.
	It("preempts batch for a visiting request", func() {
		l = slots.NewLedgerWith(balancing)
		l.SetTargets(map[string][]slots.Target{"g": {{Start: "t0", Slots: 1}}})
		grant(batch)
		Expect(grant(visits(0)).Yield).To(HaveLen(1))
	})

	It("preempts no batch for a visiting request where zones are not balanced", func() {
		l = ledger(1)
		for range perTarget {
			grant(batch)
		}
		Expect(grant(visits(second)).Verdict).To(Equal(slots.None))
	})

	// The other leader decided by a report that is outdated.
	It("queues a visiting request only if it waits no longer than at home", func() {
		full(balancing, 1)
		Expect(grant(visits(400 * time.Millisecond)).Verdict).To(Equal(slots.None))
		Expect(grant(visits(600 * time.Millisecond)).Verdict).To(Equal(slots.Granted))
	})

	// A new leader knows no service time. Its queue may be the longest of all.
	It("queues no visiting request where the wait is not known", func() {
		l = slots.NewLedgerWith(balancing)
		l.SetTargets(map[string][]slots.Target{"g": {{Start: "t0", Slots: 1}}})
		grant()
		Expect(grant(visits(second)).Verdict).To(Equal(slots.None))
	})

	// A stale leader reports free slots that it does not have.
	It("does not use a zone that gave no slot for 500 ms, for that group", func() {
		full(balancing, 0)
		grant(staysAfter("x", false))
		now = now.Add(halfSecond - time.Millisecond)
		remote(slots.ZoneLoad{Free: 10})
		Expect(grant().Verdict).NotTo(Equal(slots.Elsewhere))
		other := func(r *slots.Request) { r.Group = "other" }
		l.ApplyRemoteLoad(now, "x", "x:1", nil, map[string]slots.ZoneLoad{"other": {Free: 10}})
		Expect(grant(other).Verdict).To(Equal(slots.Elsewhere))
		now = now.Add(time.Millisecond)
		remote(slots.ZoneLoad{Free: 10})
		Expect(sent()).To(Equal(5))
	})

	// Groups come and go while a leader runs.
	It("forgets that a zone gave no slot for a group", func() {
		full(balancing, 0)
		for i := range 10 {
			grant(staysAfter("x", false), func(r *slots.Request) { r.Group = fmt.Sprint("g", i) })
			now = now.Add(halfSecond)
		}
		Expect(l.FailedZones()).To(Equal(1))
	})

	// A leader whose reports arrive but that can't be reached would cost a slot timeout for
	// each request.
	It("sends one request at a time to a zone that did not answer, after 500 ms", func() {
		full(balancing, 0)
		for range 2 {
			grant(staysAfter("x", true))
			now = now.Add(halfSecond)
			remote(slots.ZoneLoad{Free: 10})
			Expect(sent()).To(Equal(1))
		}
		now = now.Add(100 * time.Millisecond)
		remote(slots.ZoneLoad{Free: 10})
		Expect(sent()).To(Equal(5))
	})

	// The holder of an item does not report whether the zone answered.
	It("goes on sending one request at a time after a batch item was sent", func() {
		full(balancing, 0)
		grant(staysAfter("x", true))
		now = now.Add(halfSecond)
		remote(slots.ZoneLoad{Free: 10})
		Expect(grant(batch).Verdict).To(Equal(slots.Elsewhere))
		now = now.Add(100 * time.Millisecond)
		remote(slots.ZoneLoad{Free: 10})
		Expect(sent()).To(Equal(1))
	})

	// During a rolling upgrade, holders of the previous build do not ask the other zone for a
	// slot of batch or for its queue. Each of their requests would return without a slot.
	It("sends a request of a holder that does not balance zones to free slots only", func() {
		full(balancing, 4)
		remote(slots.ZoneLoad{Batch: 10})
		Expect(l.Grant(now, request(), 0).Verdict).NotTo(Equal(slots.Elsewhere))
		remote(slots.ZoneLoad{PerSecond: 1000})
		Expect(l.Grant(now, request(), 0).Verdict).NotTo(Equal(slots.Elsewhere))
		remote(slots.ZoneLoad{Free: 2})
		Expect(l.Grant(now, request(), 0).Verdict).To(Equal(slots.Elsewhere))
	})

	// A holder that does not balance zones does not report whether the zone answered either.
	It("goes on sending one request at a time after one of a holder that does not balance", func() {
		full(balancing, 0)
		grant(staysAfter("x", true))
		now = now.Add(halfSecond)
		remote(slots.ZoneLoad{Free: 10})
		Expect(l.Grant(now, request(), 0).Verdict).To(Equal(slots.Elsewhere))
		now = now.Add(100 * time.Millisecond)
		remote(slots.ZoneLoad{Free: 10})
		Expect(sent()).To(Equal(1))
	})

	// During a rolling upgrade, leaders of the previous build report free slots only.
	It("goes by the free slots of a zone that reports no load", func() {
		full(balancing, 0)
		l.ApplyRemoteFree(now, "x", "x:1", map[string]int{"g": 4})
		Expect(sent()).To(Equal(3))
	})

	It("decides by free slots alone where zones are not balanced", func() {
		full(slots.Policy{}, 4)
		Expect(l.Load(now)).To(BeNil())
		remote(slots.ZoneLoad{Batch: 100, PerSecond: 1000})
		Expect(grant().Verdict).NotTo(Equal(slots.Elsewhere))
		remote(slots.ZoneLoad{Free: 4, Batch: 100})
		grant(staysAfter("x", true))
		Expect(grant()).To(Equal(slots.Grant{Verdict: slots.Elsewhere, Zone: "x", Leader: "x:1"}))
		Expect(sent()).To(Equal(2))
	})

	It("never uses more than half of an offer, an outdated report or a failed zone", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			full(balancing, 10)
			reported, used, failed := map[string]slots.ZoneLoad{}, map[string]int{}, map[string]time.Time{}
			at := map[string]time.Time{}
			zones := []string{"x", "y", "z"}
			for range rapid.IntRange(1, 80).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 150).Draw(t, "ms")) * time.Millisecond)
				zone := rapid.SampledFrom(zones).Draw(t, "zone")
				switch rapid.IntRange(0, 4).Draw(t, "step") {
				case 0:
					load := slots.ZoneLoad{Free: rapid.IntRange(0, 9).Draw(t, "free"), Batch: rapid.IntRange(0, 9).Draw(t, "batch"),
						Waiting: rapid.IntRange(0, 20).Draw(t, "waiting"), PerSecond: rapid.Float64Range(0, 100).Draw(t, "rate")}
					l.ApplyRemoteLoad(now, zone, zone, nil, map[string]slots.ZoneLoad{"g": load})
					reported[zone], used[zone], at[zone] = load, 0, now
				case 1:
					l.Grant(now, request(staysAfter(zone, rapid.Bool().Draw(t, "unanswered"))), 0)
					failed[zone] = now
				default:
					r := request()
					r.Batch, r.Patience = rapid.Bool().Draw(t, "batch item"), time.Hour
					r.Preempts = !r.Batch
					got := l.Grant(now, r, 0)
					if got.Verdict != slots.Elsewhere {
						continue
					}
					used[got.Zone]++
					offer := reported[got.Zone].Free + reported[got.Zone].Batch
					if offer > 1 && used[got.Zone] > offer/2 || got.Reason != slots.ShorterQueue && used[got.Zone] > offer/2 {
						t.Fatalf("%d of %d used of %s", used[got.Zone], offer, got.Zone)
					}
					if now.Sub(at[got.Zone]) > reportValidity {
						t.Fatalf("report of %s is %s old", got.Zone, now.Sub(at[got.Zone]))
					}
					if since, known := failed[got.Zone]; known && now.Sub(since) < halfSecond {
						t.Fatalf("%s failed %s ago", got.Zone, now.Sub(since))
					}
				}
			}
		})
	})
})

var _ = Describe("The slots that become free a second", func() {
	It("are estimated by the service time, then counted, without those of removed targets", func() {
		l, now := slots.NewLedgerWith(balancing), start
		targets := func(names ...string) {
			var list []slots.Target
			for _, name := range names {
				list = append(list, slots.Target{Start: name, Slots: perTarget})
			}
			l.SetTargets(map[string][]slots.Target{"g": list})
		}
		rate := func() float64 { return l.Load(now)["g"].PerSecond }
		targets("a", "b")
		Expect(rate()).To(BeZero())
		// Runs one request at a time for a second, of 100 ms each, at both targets.
		for range 10 {
			for _, t := range []string{"a", "b"} {
				r := request(without(map[string]string{"a": "b", "b": "a"}[t]))
				Expect(l.Grant(now, r, 0).Target).To(Equal(t))
				l.End(now, "h", []slots.Ended{{Number: r.ID.Number, Target: t, Outcome: routing.Succeeded, Took: 10 * second}})
			}
			now = now.Add(100 * time.Millisecond)
		}
		Expect(rate()).To(BeNumerically("~", 20, 2))
		targets("a")
		for i := range 10 {
			r := request()
			Expect(l.Grant(now, r, 0).Target).To(Equal("a"), fmt.Sprint(i))
			lost := uint64(1_000_000 + i)
			l.Report(now, "other", []slots.Running{{Number: lost, Target: "b"}}, nil)
			l.End(now, "other", []slots.Ended{{Number: lost, Target: "b", Outcome: routing.SoftFailed}})
			l.End(now, "h", []slots.Ended{{Number: r.ID.Number, Target: "a", Outcome: routing.Succeeded, Took: 10 * second}})
			now = now.Add(100 * time.Millisecond)
		}
		Expect(rate()).To(BeNumerically("~", 10, 1))
		now = now.Add(2 * second)
		// Only the estimate remains: 4 slots, 10 s each.
		Expect(rate()).To(BeNumerically("~", 0.4, 0.01))
	})

	// The rate would be wrong until the clock has caught up.
	It("are counted from the beginning after the clock has gone back", func() {
		l, now := slots.NewLedgerWith(balancing), start
		l.SetTargets(map[string][]slots.Target{"g": {{Start: "t0", Slots: 1}}})
		run := func(tenths int) {
			for range tenths {
				r := request()
				Expect(l.Grant(now, r, 0).Verdict).To(Equal(slots.Granted))
				l.End(now, "h", []slots.Ended{{Number: r.ID.Number, Target: "t0", Outcome: routing.Succeeded}})
				now = now.Add(100 * time.Millisecond)
			}
		}
		run(20)
		now = now.Add(-time.Hour)
		run(30)
		Expect(l.Load(now)["g"].PerSecond).To(BeNumerically("~", 10, 1))
	})

	// The slot already belongs to the request that preempted the item.
	It("do not contain those of preempted items", func() {
		l, now := slots.NewLedgerWith(balancing), start
		l.SetTargets(map[string][]slots.Target{"g": {{Start: "t0", Slots: 1}}})
		for range 20 {
			item, r := request(batch), request()
			Expect(l.Grant(now, item, 0).Verdict).To(Equal(slots.Granted))
			Expect(l.Grant(now, r, 0).Yield).To(HaveLen(1))
			l.End(now, "h", []slots.Ended{{Number: item.ID.Number, Target: "t0"}, {Number: r.ID.Number, Target: "t0"}})
			now = now.Add(100 * time.Millisecond)
		}
		Expect(l.Load(now)["g"].PerSecond).To(BeNumerically("~", 10, 1))
	})
})
