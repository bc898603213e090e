package ledger

import (
	"fmt"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/outcome"
)

var _ = ginkgo.Describe("a job's items", func() {
	// A completion races with a cancel. Their order on the log decides which one takes
	// effect, and the job's counts must add up.
	ginkgo.It("lets log order decide between a cancel and a completion", func() {
		s := newSim()
		o := s.holder("a")
		s.job(o, "c/j", "u", 3, true)
		s.flush(o)
		items := s.pull(o, "s", 2)
		o.FinishItems(s.now, s.call(), FinishItemsRequest{Steward: "s", Ends: []ItemEnd{{Ref: items[0].Ref, Answer: answer("x")}}})
		s.flush(o)
		id := s.call()
		o.CancelJob(s.now, id, "c/j")
		o.FinishItems(s.now, s.call(), FinishItemsRequest{Steward: "s", Ends: []ItemEnd{{Ref: items[1].Ref, Answer: answer("y")}}})
		s.flush(o)
		Expect(o.TakeRevocations()).To(Equal([]string{"c/j"}))
		Expect(s.replies).NotTo(HaveKey(id), "the dispatcher has not confirmed the revocation")
		o.Revoked(s.now, "c/j", []string{"s"})
		s.flush(o)
		Expect(s.replies[id].Cancel.Status.Completed).To(Equal(1))
		Expect(s.replies[id].Cancel.Status.Cancelled).To(Equal(2))
		Expect(dump(s.log.replay())).To(Equal(dump(o.State())))
	})

	// The dispatcher that holds an item of a cancelled job is unreachable; it may be
	// paused and resume. The cancel must not be confirmed before its lease has expired.
	ginkgo.It("waits until the lease of an unreachable dispatcher has expired", func() {
		s := newSim()
		o := s.holder("a")
		s.job(o, "c/j", "u", 1, true)
		s.flush(o)
		s.pull(o, "s", 1)
		leased := s.now
		id := s.call()
		o.CancelJob(s.now, id, "c/j")
		s.now += 50
		data, _ := o.Build(s.now)
		s.log.append(data)
		s.read(o)
		o.Revoked(s.now, "c/j", []string{"other"})
		s.now = leased + 3999
		o.Tick(s.now)
		s.collect(o)
		Expect(s.replies).NotTo(HaveKey(id))
		s.now = leased + 4000
		s.step(o)
		Expect(s.replies[id].Cancel.Refusal).To(BeNil())
	})

	// A job names a service that no target group serves. Its items must fail, with the
	// reason and as not run, and the job must end, but only after a configuration that
	// names the service had time to arrive. An outage of the log, which carries the
	// configuration, doesn't count towards that time.
	ginkgo.It("fails items that no target group serves after a delay", func() {
		s := newSim()
		o := s.holder("a")
		s.job(o, "c/j", "u", 2, false)
		s.flush(o)
		s.unserved = true
		s.flush(o)
		o.ReadFailed(s.now)
		s.now += 2 * unservedRouteMs
		o.Tick(s.now)
		o.ReadOK(s.now)
		s.flush(o)
		waited := s.now
		Expect(o.Jobs()[0].Failed).To(Equal(0), "the log was unavailable")
		s.now = waited + unservedRouteMs - 1000
		s.flush(o)
		Expect(o.Jobs()[0].Failed).To(Equal(0), "a configuration may still arrive")
		s.now = waited + unservedRouteMs
		s.flush(o)
		Expect(o.Jobs()[0].State).To(Equal(JobEnded))
		r, _ := o.Item("c/j", "0")
		Expect(r.State).To(Equal(ItemFailed))
		Expect(r.Refusal.Code).To(Equal(outcome.UnknownTarget))
		Expect(r.Refusal.Run).To(Equal(outcome.NotRun))
	})

	// The shard changes hands after a cancel was confirmed, and the job is read from the
	// new owner. It must be shown as cancelled there too, never in an earlier state than
	// the one confirmed.
	ginkgo.It("shows a confirmed cancel as cancelled, also under a new owner", func() {
		s := newSim()
		o := s.holder("a")
		s.job(o, "c/j", "u", 2, true)
		s.flush(o)
		s.pull(o, "s", 1)
		id := s.call()
		o.CancelJob(s.now, id, "c/j")
		s.flush(o)
		o.Revoked(s.now, "c/j", []string{"s"})
		for i := 0; s.replies[id].Cancel == nil && i < 20; i++ {
			s.step(o)
		}
		Expect(s.replies[id].Cancel.Status.State).To(Equal(JobCancelled))
		Expect(o.Jobs()[0].State).To(Equal(JobCancelled))
		Expect(s.holder("b").Jobs()[0].State).To(Equal(JobCancelled), "the answer was durable")
	})

	// A non-repeatable item's dispatcher dies after it got the item. The item must fail
	// as one that may have run, also under a new owner, and must never be handed out
	// again.
	ginkgo.It("hands a non-repeatable item out once, after its start is on the log", func() {
		s := newSim()
		o := s.holder("a")
		s.job(o, "c/j", "u", 1, false)
		s.flush(o)
		Expect(s.pull(o, "s", 1)).To(BeEmpty(), "its start is not on the log yet")
		s.flush(o)
		Expect(s.pull(o, "s", 1)).To(HaveLen(1))
		s.dead["s"] = true
		o = s.holder("b")
		s.now += 5000
		s.flush(o)
		Expect(s.pull(o, "s2", 1)).To(BeEmpty())
		r, _ := o.Item("c/j", "0")
		Expect(r.State).To(Equal(ItemFailed))
		Expect(r.Refusal.Run).To(Equal(outcome.MayHaveRun))
	})

	// The reply that hands a non-repeatable item out is lost. The dispatcher is live and
	// never received the item, so the job would never end. The item must be handed out
	// again once a later list of the dispatcher shows that it doesn't have the item, but
	// not on the strength of an older list, nor within the lease, nor if the dispatcher
	// has it.
	ginkgo.It("reclaims a non-repeatable item if the reply that handed it out was lost", func() {
		s := newSim()
		o := s.holder("a")
		s.job(o, "c/j", "u", 1, false)
		s.flush(o)
		s.pullSeq(o, 1)
		s.flush(o)
		lost := s.pullSeq(o, 2)
		Expect(lost).To(HaveLen(1))
		s.pullSeq(o, 3)
		s.flush(o)
		Expect(s.pullSeq(o, 4)).To(BeEmpty(), "its lease has not expired")
		s.now += 5000
		for _, seen := range [][]LeasedItem{s.pullSeq(o, 1), s.pullSeq(o, 5, lost[0].Ref)} {
			s.flush(o)
			Expect(seen).To(BeEmpty())
			r, _ := o.Item("c/j", "0")
			Expect(r.State).To(Equal(ItemRunning))
		}
		s.pullSeq(o, 6)
		s.flush(o)
		s.pullSeq(o, 7)
		s.flush(o)
		again := s.pullSeq(o, 8)
		Expect(again).To(HaveLen(1))
		Expect(again[0].Ref.Attempt).To(Equal(2))
		Expect(dump(s.log.replay())).To(Equal(dump(o.State())))
	})

	// The owner wrote the start of a non-repeatable item and died; whether it handed the
	// item out isn't known. The dispatcher is live, so the job would never end. The
	// successor must hand the item out again once the dispatcher discards replies of the
	// dead owner, but not before, nor if the dispatcher has the item.
	ginkgo.It("reclaims a non-repeatable item that a previous owner started", func() {
		s := newSim()
		dead := s.holder("a")
		s.job(dead, "c/j", "u", 1, false)
		s.flush(dead)
		s.pullSeq(dead, 1)
		s.flush(dead)
		o := s.holder("b")
		s.now += 5000
		list := func(terms map[int]uint64, held ...ItemRef) []LeasedItem {
			items := o.Pull(s.now, PullRequest{
				Steward: "s", Group: "g", Max: 1, MaxBytes: 1 << 20, Seq: 3, Held: held, HeldWhole: true, Terms: terms,
			}).Items
			s.flush(o)
			return items
		}
		item := ItemRef{Job: "c/j", Index: 0, Attempt: 1}
		current := map[int]uint64{0: o.Term()}
		for _, items := range [][]LeasedItem{list(nil), list(map[int]uint64{0: o.Term() - 1}), list(current, item)} {
			Expect(items).To(BeEmpty())
			r, _ := o.Item("c/j", "0")
			Expect(r.State).To(Equal(ItemRunning))
		}
		late := s.pullSeq(dead, 2) // the previous owner was only paused
		Expect(late).To(HaveLen(1))
		Expect(late[0].Term).To(BeNumerically("<", o.Term()), "its dispatcher discards it")
		list(current)
		list(current)
		again := list(current)
		Expect(again).To(HaveLen(1))
		Expect(again[0].Ref.Attempt).To(Equal(2))
		Expect(again[0].Term).To(Equal(o.Term()))
	})

	// An item crashes every target that runs it. Crashes while other items ran on the
	// target must not count against it; after the first crash it is run alone, and it
	// fails after two crashes while alone.
	ginkgo.It("quarantines an item only for crashes while it ran alone", func() {
		s := newSim()
		o := s.holder("a")
		s.job(o, "c/j", "u", 1, true)
		s.flush(o)
		for i, alone := range []bool{false, false, false, true, true} {
			items := s.pull(o, "s", 1)
			Expect(items).To(HaveLen(1))
			Expect(items[0].Suspect).To(Equal(i > 0))
			refusal := outcome.Refuse(outcome.TargetFailed, "gone").WithRun(outcome.MayHaveRun)
			o.FinishItems(s.now, s.call(), FinishItemsRequest{Steward: "s", Ends: []ItemEnd{{
				Ref: items[0].Ref, Refusal: refusal, Crashed: true, Alone: alone,
			}}})
			s.flush(o)
		}
		r, _ := o.Item("c/j", "0")
		Expect(r.Refusal.Code).To(Equal(outcome.Quarantined))
		st, _ := o.Job(s.now, "c/j")
		Expect(st.State).To(Equal(JobEnded))
	})

	// A dispatcher hands an item back again and again because it is preempted, then its
	// lease expires. Neither may count as an attempt, and a result that arrives after all
	// is stored.
	ginkgo.It("counts only failures as attempts and stores a late result", func() {
		s := newSim()
		o := s.holder("a")
		s.job(o, "c/j", "u", 1, true)
		s.flush(o)
		var first ItemRef
		for i := 0; i < 5; i++ {
			items := s.pull(o, "s", 1)
			Expect(items).To(HaveLen(1))
			first = items[0].Ref
			o.FinishItems(s.now, s.call(), FinishItemsRequest{Steward: "s", Ends: []ItemEnd{{Ref: first}}})
		}
		Expect(s.pull(o, "s", 1)).To(HaveLen(1))
		s.now += 5000
		o.Tick(s.now)
		Expect(s.pull(o, "s2", 1)).To(HaveLen(1))
		id := s.call()
		o.FinishItems(s.now, id, FinishItemsRequest{Steward: "s", Ends: []ItemEnd{{Ref: first, Answer: answer("late")}}})
		s.flush(o)
		Expect(s.replies[id].Ends.Refusal).To(BeNil())
		r, _ := o.Item("c/j", "0")
		Expect(body(r.Answer)).To(Equal("late"))
	})

	// A dispatcher is cut off with an item of a job that ends without it and is forgotten. Its
	// caller then sends another job under that name. The late end must not become the result
	// of the new job's item, nor a late renewal lease it.
	ginkgo.It("takes nothing of an earlier job of the same name", func() {
		s := newSim()
		o := s.holder("a")
		s.job(o, "c/j", "u1", 1, true)
		s.flush(o)
		old := s.pull(o, "s", 1)[0].Ref
		s.now += 5000
		o.Tick(s.now)
		o.FinishItems(s.now, s.call(), FinishItemsRequest{Steward: "s2", Ends: []ItemEnd{{Ref: s.pull(o, "s2", 1)[0].Ref, Answer: answer("old")}}})
		s.flush(o)
		kept := o.cfg.Limits
		o.cfg.Limits = func() Limits { return Limits{KeptResultsMs: 1000} }
		s.now += 20_000
		s.flush(o)
		o.cfg.Limits = kept
		s.job(o, "c/j", "u2", 1, true)
		s.flush(o)
		Expect(old.AcceptedMs).To(BeNumerically(">", 0))
		Expect(o.Results(ResultsRequest{Job: "c/j"}).AcceptedMs).To(BeNumerically(">", old.AcceptedMs))
		id := s.call()
		o.FinishItems(s.now, id, FinishItemsRequest{Steward: "s", Ends: []ItemEnd{{Ref: old, Answer: answer("old")}}})
		s.flush(o)
		Expect(s.replies[id].Ends.Refusal).To(BeNil(), "it would be reported again and again")
		r, _ := o.Item("c/j", "0")
		Expect(r.State).To(Equal(ItemWaiting))
		renewal := o.Pull(s.now, PullRequest{Steward: "s", Group: "g", Running: []ItemRef{old}})
		Expect(renewal.Cancelled).To(Equal([]ItemRef{old}))
		Expect(s.pull(o, "s2", 1)).To(HaveLen(1))
	})

	// A job of thousands of items is due first. A small job of another caller that is due
	// much later must still get its share.
	ginkgo.It("does not let a large urgent job starve others", func() {
		s := newSim()
		o := s.holder("a")
		s.job(o, "big/j", "u", 4000, true)
		s.now += 3_600_000
		s.job(o, "small/j", "u", 20, true)
		s.flush(o)
		small := 0
		for _, it := range s.pull(o, "s", 200) {
			if callerOf(it.Ref.Job) == "small" {
				small++
			}
		}
		Expect(small).To(Equal(20))
	})

	// An owner dies. Its successor must not hand out items that a dispatcher still holds;
	// it learns of them from the dispatcher's next pull.
	ginkgo.It("waits until a previous owner's leases have expired and learns of those that continue", func() {
		s := newSim()
		o := s.holder("a")
		s.job(o, "c/j", "u", 2, true)
		s.flush(o)
		held := s.pull(o, "s", 1)
		o = s.holder("b")
		Expect(s.pull(o, "s2", 5)).To(BeEmpty())
		s.now += 3000
		o.Pull(s.now, PullRequest{Steward: "s", Group: "g", Running: []ItemRef{held[0].Ref}})
		s.now += 1500
		o.Tick(s.now)
		Expect(s.pull(o, "s2", 5)).To(HaveLen(1))
	})

	// An owner dies, and a dispatcher ends the job's first item under the successor. The
	// rest of the job must still be handed out. The failure: all of it failed as having
	// no target group, because the ended item, whose body was removed, was used to find
	// the target group.
	ginkgo.It("hands out the remaining items after one that continued under a new owner", func() {
		s := newSim()
		o := s.holder("a")
		s.job(o, "c/j", "u", 3, true)
		s.flush(o)
		held := s.pull(o, "s", 1)
		o = s.holder("b")
		o.Pull(s.now, PullRequest{Steward: "s", Group: "g", Running: []ItemRef{held[0].Ref}})
		o.FinishItems(s.now, s.call(), FinishItemsRequest{Steward: "s", Ends: []ItemEnd{{Ref: held[0].Ref, Answer: answer("x")}}})
		s.flush(o)
		for i := 0; i < 3; i++ {
			s.now += unservedRouteMs
			o.Tick(s.now)
		}
		Expect(s.pull(o, "s2", 5)).To(HaveLen(2))
	})
})

var _ = ginkgo.Describe("an upload that failed", func() {
	// A caller repeatedly sends a large job with an invalid last line. If each try stayed
	// in memory for uploadIdleMs, a few tries would exhaust the host.
	ginkgo.It("is dropped at once, and its late chunks and commit are refused", func() {
		s := newSim()
		o := s.holder("a")
		s.now += uploadIdleMs
		chunk := JobChunkRequest{Job: "j", Upload: "u", Items: []Item{{CustomID: "0", URL: "/v1/services/s/p", Body: []byte("{}")}}}
		o.OpenJob(s.now, JobOpenRequest{Job: "j", Upload: "u", Profile: "p"})
		o.AddItems(s.now, s.call(), chunk)
		s.flush(o)
		Expect(o.State().uploads).To(HaveLen(1))
		o.AddItems(s.now, s.call(), JobChunkRequest{Job: "j", Upload: "u", Abandon: true})
		s.flush(o)
		Expect(o.State().uploads).To(BeEmpty())
		chunk.Index = 1
		late, commit := s.call(), s.call()
		o.AddItems(s.now, late, chunk)
		o.CommitJob(s.now, commit, JobCommitRequest{Job: "j", Upload: "u", Chunks: 1, Items: 1, Fingerprint: "f"})
		s.flush(o)
		Expect(s.replies[late].Chunk.Refusal.Run).To(Equal(outcome.NotRun))
		Expect(s.replies[commit].Commit.Refusal.Run).To(Equal(outcome.NotRun))
		Expect(o.State().jobs).To(BeEmpty())
		again := s.job(o, "j", "v", 1, true)
		s.flush(o)
		Expect(s.replies[again].Commit.Created).To(BeTrue())
	})
})

var _ = ginkgo.Describe("the start of the stream", func() {
	// Records expire while a job lives longer than the log's retention. The owner must
	// rewrite the job forward, so that a daemon that claims the shard later finds all of
	// it, including the results.
	ginkgo.It("moves forward as live objects are rewritten", func() {
		s := newSim()
		o := s.holder("a")
		s.job(o, "c/j", "u", 300, true)
		o.Begin(s.now, s.call(), keyedRequest("c/k", "n", "e"))
		s.flush(o)
		for _, it := range s.pull(o, "s", 100) {
			o.FinishItems(s.now, s.call(), FinishItemsRequest{Steward: "s", Ends: []ItemEnd{{Ref: it.Ref, Answer: answer("r")}}})
		}
		s.flush(o)
		before := s.log.next()
		for third := 0; third < 2; third++ {
			s.now += 1_300_000 // a little more than a third of the retention
			s.flush(o)
		}
		s.log.first = s.log.record(s.log.next() - 1).Low
		Expect(s.log.first).To(BeNumerically(">=", before))
		want := dump(o.State())
		Expect(dump(s.log.replay())).To(Equal(want))
		o = s.holder("b")
		st, _ := o.Job(s.now, "c/j")
		Expect(st.Completed).To(Equal(100))
	})

	// All records of a shard's stream have expired while no daemon was running. The first
	// daemons to start must agree on an owner again, and an earlier owner that was paused
	// must lose.
	ginkgo.It("can be claimed after everything on it has expired", func() {
		s := newSim()
		old := s.holder("old")
		s.log.first = s.log.next()
		a, b := s.owner("a"), s.owner("b")
		for _, o := range []*Owner{a, b} {
			data, _ := o.Build(s.now)
			s.log.append(data)
			o.AppendDone(s.now, Appended, 0)
		}
		for _, o := range []*Owner{a, b, old} {
			s.read(o)
		}
		Expect([]bool{a.Holding(), b.Holding(), old.Holding()}).To(Equal([]bool{true, false, false}))
		s.job(a, "c/j", "u", 2, true)
		s.flush(a)
		Expect(dump(s.log.replay())).To(Equal(dump(a.State())))
	})

	// Stored answers and results must be dropped when their retention time is over,
	// together with the memory and the part of the stream that they used.
	ginkgo.It("drops answers and results after their retention time", func() {
		s := newSim()
		o := s.holder("a")
		s.job(o, "c/j", "u", 1, true)
		o.Finish(s.now, s.call(), FinishRequest{Key: "c/k", Nonce: "n", Attempt: 1, Answer: answer("x"), Begin: keyedRequest("c/k", "n", "e")})
		s.flush(o)
		it := s.pull(o, "s", 1)[0]
		o.FinishItems(s.now, s.call(), FinishItemsRequest{Steward: "s", Ends: []ItemEnd{{Ref: it.Ref, Answer: answer("r")}}})
		s.flush(o)
		o.cfg.Limits = func() Limits { return Limits{KeptAnswersMs: 1000, KeptResultsMs: 1000} }
		s.now += 20_000
		s.flush(o)
		Expect(dump(o.State())).To(Equal(fmt.Sprintf("term %d a\n", o.Term())))
		Expect(o.State().liveBytes).To(BeZero())
	})
})
