package steward

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/chat"
	"tarragonhollow.example/tarragonhollow/core/admission"
	"tarragonhollow.example/tarragonhollow/core/config"
	"tarragonhollow.example/tarragonhollow/core/ledger"
	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/target"
	"tarragonhollow.example/tarragonhollow/target/faketarget"
)

const (
	eventuallyTimeout = 10 * time.Second
	// chatItem is a minimal body that an engine can answer.
	chatItem = `{"model":"m","messages":[{"role":"user","content":"x"}]}`
)

func content(body string) string {
	answer, err := chat.DecodeAnswer([]byte(body))
	Expect(err).NotTo(HaveOccurred())
	return answer.Text
}

var _ = Describe("a burst of online requests", func() {
	// Online requests arrive while batch streams run on the same engine. The streams must
	// end at once, and none may start while online work runs; later each item must resume
	// after its last token instead of from the start.
	It("cancels batch, admits none, and resumes after the last token", func() {
		b := newBench(3, engineA)
		gate := make(chan struct{})
		b.engine.OnGenerate = gated(gate)
		b.ledger.add("c/j", "night", "x", "y")
		b.start()
		Eventually(func() int { return len(b.engine.Calls()) }, eventuallyTimeout).Should(Equal(2))
		for range 5 {
			gate <- struct{}{}
		}
		b.online(1)
		Eventually(func() int { return b.endedAs("cancelled") }, eventuallyTimeout).Should(Equal(2))
		Eventually(b.engine.Cancels, eventuallyTimeout).Should(HaveLen(2))
		Eventually(func() int { return b.Status().Groups[0].Queued }, eventuallyTimeout).Should(Equal(2))
		b.skew.Add(int64(time.Second))
		b.decideAll()
		Expect(b.engine.Calls()).To(HaveLen(2), "nothing starts alongside online work")
		Expect(b.Status().Targets[0].BlockedBy).To(Equal("online_running"))

		b.online(0)
		close(gate)
		Eventually(b.ledger.answered, eventuallyTimeout).Should(HaveLen(2))
		Expect(content(b.ledger.answered()["x"])).To(Equal("x0 x1 x2 x3 x4 x5 "))
		Expect(content(b.ledger.answered()["y"])).To(Equal("y0 y1 y2 y3 y4 y5 "))
		sent := 0
		for _, c := range b.engine.Calls() {
			sent += c.Sent
			Expect(c.Urgency).To(Equal(target.UrgencyBatch))
			Expect(c.Request.Extra).To(HaveKey("seed"))
		}
		Expect(sent).To(Equal(12), "no token is generated twice")
		Expect(b.ledger.ended()).To(HaveLen(2), "resumed here, without a report to the owner")
	})

	// The burst lasts for minutes. The item must not wait here under a lease that is
	// renewed indefinitely: it is handed back with its tokens, for a steward with capacity.
	It("hands a cancelled item back with its tokens when the burst lasts", func() {
		b := newBench(3, engineA)
		gate := make(chan struct{})
		b.engine.OnGenerate = gated(gate)
		b.ledger.add("c/j", "night", "x")
		b.start()
		Eventually(func() int { return len(b.engine.Calls()) }, eventuallyTimeout).Should(Equal(1))
		gate <- struct{}{}
		gate <- struct{}{}
		b.online(1)
		Eventually(func() int { return b.Status().Groups[0].Queued }, eventuallyTimeout).Should(Equal(1))
		for range maxQueueTime / time.Second {
			b.skew.Add(int64(time.Second))
			b.online(1)
		}
		Eventually(b.ledger.ended, eventuallyTimeout).Should(HaveLen(1))
		Expect(len(b.ledger.ended()[0].Progress)).To(BeNumerically(">=", 1))
		Expect(b.ledger.ended()[0].Answer).To(BeNil())
	})
})

var _ = Describe("a due time that approaches", func() {
	// Online work keeps the engine busy all the time and the profile has weight 0, so no
	// batch item would ever start, and the job would miss its due time. The due time must
	// open a part of the engine in time, and not long before.
	It("opens a part of a target that always has online work", func() {
		b := newBench(8, engineA)
		b.ledger.add("c/j", "night", "x", "y")
		b.startWithOnline(2)
		b.refresh(2)
		Eventually(func() int { return b.Status().Groups[0].Backlog }, eventuallyTimeout).Should(Equal(2), "known though nothing is pulled")
		b.decideAll()
		Expect(b.engine.Calls()).To(BeEmpty())
		b.ledger.set(func() {
			for i := range b.ledger.waiting {
				b.ledger.waiting[i].DueMs = time.Now().Add(time.Minute).UnixMilli()
			}
		})
		Eventually(b.ledger.answered, eventuallyTimeout).Should(HaveLen(2))
	})

	// The job is due in 24 hours, but at the current rate it will take 30. This must be
	// visible now, not only at the due time.
	It("shows that the job is forecast to be late, and raises the weight", func() {
		b := newBench(2, engineA)
		b.engine.OnGenerate = gated(make(chan struct{}))
		b.ledger.forecast = time.Now().Add(30 * time.Hour)
		b.ledger.add("c/j", "night", "x")
		b.start()
		Eventually(func() []JobStatus { return b.Status().Jobs }, eventuallyTimeout).Should(ConsistOf(
			And(HaveField("Late", true), HaveField("Weight", admission.UrgentWeight))))
	})
})

var _ = Describe("a cancelled job", func() {
	// The reply to a cancel means that the job has stopped. Two items are running, one is
	// queued here, and another is in the reply to a pull that was sent before the cancel.
	// None may run after the acknowledgement.
	It("is acknowledged only when none of its items will start", func() {
		b := newBench(3, engineA)
		gate := make(chan struct{})
		b.engine.OnGenerate = gated(gate)
		b.ledger.add("c/j", "night", "x", "y", "z")
		b.start()
		Eventually(func() int { return len(b.engine.Calls()) }, eventuallyTimeout).Should(Equal(2))
		Eventually(func() int { return b.Status().Held }, eventuallyTimeout).Should(Equal(3))
		late := make(chan struct{})
		b.ledger.set(func() { b.ledger.gate = late })
		b.ledger.add("c/j", "night", "late")
		Eventually(b.ledger.leases, eventuallyTimeout).Should(Equal(4))

		var reply RevokeReply
		Expect((&rpcService{b.Steward}).Revoke(&RevokeRequest{Job: "c/j"}, &reply)).To(Succeed())
		Expect(reply).To(Equal(RevokeReply{Queued: 1, Running: 2}))
		Expect(b.endedAs("cancelled")).To(Equal(2), "ended before the acknowledgement")

		b.ledger.set(func() { b.ledger.gate = nil })
		b.ledger.set(func() { b.ledger.leaseMs = 0 })
		close(late)
		close(gate)
		Eventually(b.ledger.ended, eventuallyTimeout).Should(ContainElement(HaveField("Ref", ledger.ItemRef{Job: "c/j", Index: 3, Attempt: 1})))
		b.decideAll()
		Expect(b.engine.Calls()).To(HaveLen(2))
		Expect(b.ledger.answered()).To(BeEmpty())
	})
})

var _ = Describe("an expired lease", func() {
	// The daemon is partitioned from the owner with one item running and one queued here.
	// The lease expires, and the owner may lease the queued item to another steward. If it
	// started here when the running one ends, it would run twice.
	It("starts nothing, and reports the running item when the owner is back", func() {
		b := newBench(2, engineA)
		gate := make(chan struct{})
		b.engine.OnGenerate = gated(gate)
		b.ledger.add("c/j", "night", "x", "y")
		b.start()
		Eventually(func() int { return len(b.engine.Calls()) }, eventuallyTimeout).Should(Equal(1))
		Eventually(func() int { return b.Status().Held }, eventuallyTimeout).Should(Equal(2))
		b.ledger.set(func() { b.ledger.unreachable = true })
		b.skew.Add(int64(60 * time.Second))
		close(gate)
		Eventually(func() int { return b.endedAs("finished") }, eventuallyTimeout).Should(Equal(1))
		b.decideAll()
		Expect(b.engine.Calls()).To(HaveLen(1))

		b.ledger.set(func() { b.ledger.unreachable = false })
		Eventually(b.ledger.answered, eventuallyTimeout).Should(HaveLen(2))
		Expect(b.engine.Calls()).To(HaveLen(2))
		Expect(b.engine.Calls()[1].Request.StreamID).To(HavePrefix("c/j/y/2."), "only the second lease started it")
	})
})

var _ = Describe("a daemon that is suspended before it sends an item", func() {
	// It wakes after the lease has ended, and the owner may have leased the item to another
	// steward or acknowledged the end of its job.
	It("does not send the item", func() {
		b := newBench(1, engineA)
		begun, wake := make(chan struct{}, 1), make(chan struct{})
		b.engine.BeforeStart = func() {
			select {
			case begun <- struct{}{}:
			default:
			}
			<-wake
		}
		b.ledger.add("c/j", "once", "x")
		b.start()
		Eventually(begun, eventuallyTimeout).Should(Receive())
		b.ledger.set(func() { b.ledger.unreachable = true })
		b.skew.Add(int64(60 * time.Second))
		close(wake)
		Eventually(func() int { return b.Status().Targets[0].Running }, eventuallyTimeout).Should(BeZero())
		Expect(b.engine.Calls()).To(BeEmpty())
		b.ledger.set(func() { b.ledger.unreachable = false })
		Eventually(b.ledger.ended, eventuallyTimeout).ShouldNot(BeEmpty())
		Expect(b.ledger.ended()[0].Refusal).To(BeNil(), "handed back as not run")
	})
})

var _ = Describe("a held lease", func() {
	// An item runs for longer than a lease. Unless the steward lists it in time, the owner
	// leases it to another steward. Once the owner has done so, or the job was cancelled,
	// the stream here must stop.
	It("is renewed while the item runs, until the owner cancels it", func() {
		b := newBench(1, engineA)
		b.engine.OnGenerate = gated(make(chan struct{}))
		b.ledger.leaseMs = 1500
		b.ledger.add("c/j", "night", "x")
		b.start()
		listed := func() (refs []ledger.ItemRef) {
			b.ledger.set(func() { refs = b.ledger.listed })
			return refs
		}
		Eventually(listed, eventuallyTimeout).Should(ConsistOf(ledger.ItemRef{Job: "c/j", Index: 0, Attempt: 1}))
		Expect(b.endedAs("cancelled")).To(BeZero())
		b.ledger.set(func() { b.ledger.cancelListed = true })
		Eventually(func() int { return b.endedAs("cancelled") }, eventuallyTimeout).Should(Equal(1))
		Eventually(func() int { return b.Status().Held }, eventuallyTimeout).Should(BeZero())
	})

	// An owner takes an item back if the steward's complete list lacks it. A list made while
	// a reply is in flight would lack the reply's items, and they would run here and
	// elsewhere.
	It("is in a list marked complete only while no reply can bring more", func() {
		b := newBench(1, engineA)
		b.mu.Lock()
		defer b.mu.Unlock()
		p := &pullCall{owner: self.PeerAddress, group: "g"}
		b.pulls[p] = true
		_, complete := b.heldListLocked(self.PeerAddress)
		Expect(complete).To(BeFalse())
		b.ledger.add("c/j", "once", "x")
		b.applyReplyLocked(b.opts.Now(), p, ledger.PullRequest{}, ledger.PullReply{Items: b.ledger.waiting, LeaseMs: 1000}, promptsOf(b.ledger.waiting))
		delete(b.pulls, p)
		refs, complete := b.heldListLocked(self.PeerAddress)
		Expect(complete).To(BeTrue())
		Expect(refs).To(ConsistOf(b.ledger.waiting[0].Ref))
		b.endsLost = true
		_, complete = b.heldListLocked(self.PeerAddress)
		Expect(complete).To(BeFalse())
	})
})

var _ = Describe("an item of an earlier job of the same name", func() {
	// The steward was cut off while the job ended and was forgotten, and its caller sent
	// another one under that name. The item held here must not run on under the new job's
	// lease, and its answer must not be reported as the new item's.
	It("is stopped, and the new job's item runs", func() {
		b := newBench(2, engineA)
		gate := make(chan struct{})
		b.engine.OnGenerate = gated(gate)
		b.ledger.add("c/j", "night", "old")
		b.ledger.set(func() { b.ledger.waiting[0].Ref.AcceptedMs = 1 })
		b.start()
		Eventually(func() int { return len(b.engine.Calls()) }, eventuallyTimeout).Should(Equal(1))
		b.ledger.set(func() {
			clear(b.ledger.leased)
			b.ledger.lines = 0
		})
		b.ledger.add("c/j", "night", "new")
		b.ledger.set(func() { b.ledger.waiting[0].Ref.AcceptedMs = 2 })
		Eventually(b.ledger.leases, eventuallyTimeout).Should(Equal(1))
		close(gate)
		Eventually(b.ledger.answered, eventuallyTimeout).Should(HaveKey("new"))
		Expect(content(b.ledger.answered()["new"])).To(HavePrefix("new0 "))
	})
})

var _ = Describe("an item from an owner that has been replaced", func() {
	// The new owner has leased the item to another steward, since this one did not list it.
	// The old owner, paused until now, answers an earlier pull.
	It("is dropped, and the highest term of each shard is kept", func() {
		b := newBench(1, engineA)
		b.mu.Lock()
		defer b.mu.Unlock()
		p := &pullCall{owner: self.PeerAddress, group: "g"}
		apply := func(reply ledger.PullReply) {
			b.applyReplyLocked(b.opts.Now(), p, ledger.PullRequest{}, reply, promptsOf(reply.Items))
		}
		b.ledger.add("c/j", "once", "x")
		late := b.ledger.waiting
		late[0].Shard, late[0].Term = 3, 6
		apply(ledger.PullReply{LeaseMs: 1000, Terms: map[int]uint64{3: 7, 4: 2}})
		apply(ledger.PullReply{LeaseMs: 1000, Terms: map[int]uint64{3: 6}})
		apply(ledger.PullReply{LeaseMs: 1000, Items: late})
		Expect(b.held).To(BeEmpty())
		Expect(b.terms).To(Equal(map[int]uint64{3: 7, 4: 2}))
		late[0].Term = 7
		apply(ledger.PullReply{LeaseMs: 1000, Items: late})
		Expect(b.held).To(HaveLen(1))
	})
})

// The target's failure determines whether the item may be tried again and which run state
// its caller gets; not_run only if that is certain.
var _ = DescribeTable("a failed attempt",
	func(body string, failure error, expected ledger.ItemEnd) {
		b := newBench(2, engineA)
		b.engine.OnGenerate = func(string, target.GenerateRequest) faketarget.Generation {
			return faketarget.Generation{Err: failure}
		}
		b.ledger.add("c/j", "night", "x")
		b.ledger.waiting[0].Item.Body = []byte(body)
		b.start()
		Eventually(b.ledger.ended, eventuallyTimeout).ShouldNot(BeEmpty())
		end := b.ledger.ended()[0]
		if end.Refusal != nil {
			end.Refusal = &outcome.Refusal{Code: end.Refusal.Code, Run: end.Refusal.Run}
		}
		expected.Ref = ledger.ItemRef{Job: "c/j", Index: 0, Attempt: 1}
		Expect(end).To(Equal(expected))
	},
	Entry("rejected content is final", chatItem, &target.Failure{Reached: true, Rejected: true, Status: 422},
		ledger.ItemEnd{Final: true, Refusal: &outcome.Refusal{Code: outcome.Unprocessable, Run: outcome.MayHaveRun}}),
	Entry("a broken body is final and reaches no target", "[]", nil,
		ledger.ItemEnd{Final: true, Refusal: &outcome.Refusal{Code: outcome.BadRequest, Run: outcome.NotRun}}),
	Entry("an internal error of the target is not final", chatItem, &target.Failure{Reached: true, Status: 500},
		ledger.ItemEnd{Refusal: &outcome.Refusal{Code: outcome.TargetFailed, Run: outcome.MayHaveRun}}),
	Entry("a busy target costs no attempt", chatItem, &target.Failure{Busy: true, Status: 503}, ledger.ItemEnd{}),
)

var _ = Describe("a call to a plain service", func() {
	// A plain service cannot resume a call. A burst of online requests must not cancel the
	// call, and its answer is stored unchanged. The item arrives in the reply to a pull for
	// the engines' group, as owners may send it.
	It("completes alongside online work, at the service and under its own key", func() {
		b := newBench(4, engineA)
		b.opts.Config().Groups["kitchen"] = &config.TargetGroup{
			Name: "kitchen", Kind: config.KindService, Slots: 4, Targets: []config.Target{{Address: engineB}},
		}
		b.ledger.only = "g"
		proceed := make(chan struct{})
		service := &faketarget.Service{OnCall: func(ctx context.Context, _ string, req target.ServiceRequest) (target.ServiceResponse, error) {
			select {
			case <-proceed:
				return target.ServiceResponse{Status: 201, Body: req.Body}, nil
			case <-ctx.Done():
				return target.ServiceResponse{}, &target.Failure{Reached: true, Err: ctx.Err()}
			}
		}}
		b.opts.Service = service
		b.ledger.add("c/j", "night", "x")
		b.ledger.waiting[0].Item = ledger.Item{CustomID: "x", URL: "/v1/services/kitchen/tickets?copies=1", Body: []byte(`{"n":1}`)}
		b.start()
		Eventually(service.Calls, eventuallyTimeout).Should(HaveLen(1))
		b.online(1)
		b.decideAll()
		close(proceed)
		Eventually(b.ledger.ended, eventuallyTimeout).Should(HaveLen(1))
		Expect(b.ledger.ended()[0].Answer).To(Equal(&ledger.Answer{Status: 201, Body: []byte(`{"n":1}`)}))
		call := service.Calls()[0]
		Expect([]string{call.Address, call.Key, call.Urgency, call.Request.Path}).To(
			Equal([]string{engineB, "c/j/x", target.UrgencyBatch, "/tickets?copies=1"}))
	})
})

var _ = Describe("an item that crashes its target", func() {
	// One item crashes every engine that runs it. The other items on the engine must still
	// complete, and only a crash while nothing else ran there may count against the item.
	It("runs alone the second time and stalls no other", func() {
		b := newBench(4, engineA, engineB)
		answer := gated(nil)
		b.engine.OnGenerate = func(address string, req target.GenerateRequest) faketarget.Generation {
			g := answer(address, req)
			if req.Messages[0].Content == "poison" {
				g.Err = &target.Failure{Reached: true, Crashed: true, Detail: "connection broke"}
			}
			return g
		}
		b.ledger.add("c/j", "night", "a", "b", "poison", "c", "d", "e", "f", "g")
		b.start()
		Eventually(b.ledger.answered, eventuallyTimeout).Should(HaveLen(7))
		alone := func() []ledger.ItemEnd {
			var ends []ledger.ItemEnd
			for _, e := range b.ledger.ended() {
				if e.Crashed && e.Alone {
					ends = append(ends, e)
				}
			}
			return ends
		}
		Eventually(alone, eventuallyTimeout).Should(HaveLen(1))
		Expect(alone()[0].Ref.Index).To(Equal(2))
		Expect(alone()[0].Refusal.Run).To(Equal(outcome.MayHaveRun))
	})
})

var _ = Describe("a target that is leaving, or changes its steward", func() {
	// An engine is marked as leaving and its machine is switched off soon after. Work that
	// is sent there from now on would be lost midway.
	It("gets no new item, and running items move to other targets after leavingGrace", func() {
		b := newBench(2, engineA, engineB)
		gate := make(chan struct{})
		b.engine.OnGenerate = gated(gate)
		b.ledger.add("c/j", "night", "x", "y", "z")
		b.start()
		Eventually(func() int { return len(b.engine.Calls()) }, eventuallyTimeout).Should(Equal(2))
		b.view.set(func() { b.view.leaving[engineA] = true })
		b.assign()
		b.skew.Add(int64(leavingGrace))
		Eventually(func() int { return b.endedAs("cancelled") }, eventuallyTimeout).Should(Equal(1))
		close(gate)
		Eventually(b.ledger.answered, eventuallyTimeout).Should(HaveLen(3))
		onA := 0
		for _, c := range b.engine.Calls() {
			if c.Address == engineA {
				onA++
			}
		}
		Expect(onA).To(Equal(1), "only the start from before it was leaving")
	})

	// Another daemon becomes steward of the engine, and entry hosts now signal only to it.
	// This daemon's streams would no longer be preempted by a burst.
	It("stops its streams after lostGrace and hands them back", func() {
		b := newBench(2, engineA)
		b.engine.OnGenerate = gated(make(chan struct{}))
		b.ledger.add("c/j", "night", "x")
		b.start()
		Eventually(func() int { return len(b.engine.Calls()) }, eventuallyTimeout).Should(Equal(1))
		b.view.set(func() { b.view.lost = true })
		b.assign()
		b.skew.Add(int64(lostGrace))
		Eventually(func() int { return b.endedAs("cancelled") }, eventuallyTimeout).Should(Equal(1))
		b.skew.Add(int64(maxQueueTime))
		Eventually(b.ledger.ended, eventuallyTimeout).Should(HaveLen(1))
		Expect(b.engine.Calls()).To(HaveLen(1))
	})
})

var _ = Describe("work that must not be repeated", func() {
	// A non-repeatable item is running when the daemon stops. Handing it back as unfinished
	// would let the owner lease it again, and it would run twice.
	It("is not cancelled for online work and ends as may_have_run when stopped", func() {
		b := newBench(2, engineA)
		b.engine.OnGenerate = gated(make(chan struct{}))
		b.ledger.add("c/j", "once", "x")
		b.start()
		Eventually(func() int { return len(b.engine.Calls()) }, eventuallyTimeout).Should(Equal(1))
		b.online(1)
		b.decideAll()
		Expect(b.endedAs("cancelled")).To(BeZero())
		Expect(b.Status().Targets[0].Running).To(Equal(1))

		b.mu.Lock()
		for _, it := range b.held {
			it.run.stop(errDraining)
		}
		b.mu.Unlock()
		Eventually(b.ledger.ended, eventuallyTimeout).Should(HaveLen(1))
		Expect(b.ledger.ended()[0].Refusal).To(HaveField("Run", outcome.MayHaveRun))
	})
})

var _ = Describe("a drain", func() {
	// A host is replaced while it runs batch. The items' tokens so far must reach the owner
	// before the process ends, although the owner is unreachable for a while.
	It("hands everything back with its progress before it returns", func() {
		b := newBench(2, engineA)
		gate := make(chan struct{})
		b.engine.OnGenerate = gated(gate)
		b.ledger.add("c/j", "night", "x", "y")
		b.start()
		Eventually(func() int { return len(b.engine.Calls()) }, eventuallyTimeout).Should(Equal(1))
		gate <- struct{}{}
		gate <- struct{}{}
		b.ledger.set(func() { b.ledger.unreachable = true })
		ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
		defer cancel()
		drained := make(chan error, 1)
		go func() { drained <- b.Drain(ctx) }()
		Eventually(func() int { return b.endedAs("cancelled") }, eventuallyTimeout).Should(Equal(1))
		Expect(drained).NotTo(Receive())
		b.ledger.set(func() { b.ledger.unreachable = false })
		Eventually(drained, eventuallyTimeout).Should(Receive(Not(HaveOccurred())))
		Expect(b.ledger.ended()).To(HaveLen(2))
		Expect(b.ledger.ended()).To(ContainElement(HaveField("Progress", Not(BeEmpty()))))
		Expect(b.engine.Calls()).To(HaveLen(1))
	})
})
