package ledger

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/outcome"
)

var _ = ginkgo.Describe("a keyed request", func() {
	// The response to the append of a start is lost, and the append is repeated. The
	// record lands twice, the second time much later. The request must be granted once,
	// and the second copy must be void.
	ginkgo.It("applies a record once if the response to its append was lost", func() {
		s := newSim()
		o := s.holder("a")
		id := s.call()
		o.Begin(s.now, id, keyedRequest("c/k", "n", "e"))
		s.now += 50
		data, _ := o.Build(s.now)
		o.AppendDone(s.now, Unknown, 0)
		Expect(o.NeedsRetryOffset()).To(BeTrue())
		o.SetRetryOffset(s.log.next())
		s.now += 1000
		again, _ := o.Build(s.now)
		Expect(again).To(Equal(data))
		s.log.append(data)
		o.AppendDone(s.now, Appended, 0)
		s.read(o)
		Expect(s.replies[id].Begin.Verdict).To(Equal(Granted))
		o.Finish(s.now, s.call(), FinishRequest{Key: "c/k", Nonce: "n", Attempt: 1, Answer: answer("x")})
		s.flush(o)
		s.log.append(data)
		s.read(o)
		Expect(o.State().VoidRecords()).To(Equal(uint64(1)))
		kept, _ := o.Request("c/k")
		Expect(kept.State).To(Equal(RequestCompleted))
	})

	// The response to the append of a start is lost and the log doesn't answer, so the
	// caller is told "not run". The start then appears on the log: the key must become
	// free for the caller's retry, and must not look as if the request had run.
	ginkgo.It("frees the key of a start that appears after its caller was refused", func() {
		s := newSim()
		o := s.holder("a")
		first, second := s.call(), s.call()
		o.Begin(s.now, first, keyedRequest("c/k", "n1", "e"))
		s.now += 50
		data, _ := o.Build(s.now)
		o.AppendDone(s.now, Unknown, 0)
		s.now += callWaitMs + 1
		o.Tick(s.now)
		s.collect(o)
		Expect(s.replies[first].Begin.Refusal.Run).To(Equal(outcome.NotRun))
		again := keyedRequest("c/k", "n2", "e")
		again.WaitMs = 60_000
		o.Begin(s.now, second, again)
		s.log.append(data)
		s.read(o)
		s.flush(o)
		Expect(s.replies[second].Begin.Verdict).To(Equal(Granted))
	})

	// The response to the append of a start is lost. Before the record appears, another
	// request arrives. The record must not be mistaken for the start of the other
	// request, which is not on the log yet.
	ginkgo.It("does not mistake a late record for another one", func() {
		s := newSim()
		o := s.holder("a")
		first, second := s.call(), s.call()
		o.Begin(s.now, first, keyedRequest("c/k1", "n1", "e"))
		s.now += 50
		data, _ := o.Build(s.now)
		o.AppendDone(s.now, Unknown, 0)
		o.Begin(s.now, second, keyedRequest("c/k2", "n2", "e"))
		s.now += 1000
		o.SetRetryOffset(s.log.next())
		_, _ = o.Build(s.now)
		s.log.append(data)
		s.read(o)
		Expect(s.replies).NotTo(HaveKey(second))
	})

	// An owner is paused while a successor claims its shard. It resumes and appends the
	// start of a request that it held: the record must be void, and the caller must be
	// sent to the successor.
	ginkgo.It("voids the records of an owner that lost its shard while it was paused", func() {
		s := newSim()
		paused := s.holder("a")
		next := s.holder("b")
		id := s.call()
		paused.Begin(s.now, id, keyedRequest("c/k", "n", "e"))
		s.now += 50
		data, _ := paused.Build(s.now)
		s.log.append(data)
		paused.AppendDone(s.now, Appended, 0)
		s.read(paused)
		s.read(next)
		Expect(s.replies[id].Lost).To(BeTrue())
		Expect(paused.Lost()).To(BeTrue())
		_, known := next.Request("c/k")
		Expect(known).To(BeFalse())
	})

	// An entry host dies while it runs a non-repeatable request. A retry must be told
	// that the request may have run, and a late answer must still resolve it.
	ginkgo.It("never grants a started request again, and lets a late answer resolve it", func() {
		s := newSim()
		o := s.holder("a")
		o.Begin(s.now, s.call(), keyedRequest("c/k", "n1", "e1"))
		s.flush(o)
		s.dead["e1"] = true
		o = s.holder("b")
		id := s.call()
		o.Begin(s.now, id, keyedRequest("c/k", "n2", "e2"))
		s.collect(o)
		Expect(s.replies[id].Begin.Refusal.Run).To(Equal(outcome.MayHaveRun))
		o.Finish(s.now, s.call(), FinishRequest{Key: "c/k", Nonce: "n1", Attempt: 1, Answer: answer("tray")})
		s.flush(o)
		id = s.call()
		o.Begin(s.now, id, keyedRequest("c/k", "n3", "e2"))
		s.collect(o)
		Expect(body(s.replies[id].Begin.Answer)).To(Equal("tray"))
	})

	// Other content under a used key must neither run nor get the answer of the first
	// request.
	ginkgo.It("refuses other content under the same key", func() {
		s := newSim()
		o := s.holder("a")
		o.Begin(s.now, s.call(), keyedRequest("c/k", "n1", "e1"))
		other := keyedRequest("c/k", "n2", "e1")
		other.Fingerprint = "other"
		id := s.call()
		o.Begin(s.now, id, other)
		s.collect(o)
		Expect(s.replies[id].Begin.Refusal.Code).To(Equal(outcome.Conflict))
		Expect(s.replies[id].Begin.Refusal.Run).To(Equal(outcome.NotRun))
	})

	// A request runs while its owner can't be reached. Before its answer is reported, the
	// caller uses the key for other content. Neither request may get the other's answer.
	ginkgo.DescribeTable("keeps no answer of other content that is reported late",
		func(second *FinishRequest, settled bool) {
			s := newSim()
			o := s.holder("a")
			id := s.call()
			o.Begin(s.now, id, keyedRequest("c/k", "n2", "e2"))
			s.flush(o)
			Expect(s.replies[id].Begin.Verdict).To(Equal(Granted))
			if second != nil {
				o.Finish(s.now, s.call(), *second)
				s.flush(o)
			}
			begin := keyedRequest("c/k", "n1", "e1")
			begin.Fingerprint = "other"
			late := s.call()
			o.Finish(s.now, late, FinishRequest{Key: "c/k", Nonce: "n1", Attempt: AnyAttempt, Answer: answer("tray"), Begin: begin})
			s.flush(o)
			Expect(s.replies[late].Finish.Durable).To(BeTrue(), "it would be reported again and again")
			Expect(body(s.replies[late].Finish.Answer)).To(Equal("tray"))
			kept, _ := o.Request("c/k")
			Expect(kept.State == RequestCompleted).To(Equal(settled))
			Expect(body(kept.Answer)).NotTo(Equal("tray"))
		},
		ginkgo.Entry("while the other request runs", nil, false),
		ginkgo.Entry("after it completed", &FinishRequest{Key: "c/k", Nonce: "n2", Attempt: 1, Answer: answer("menu")}, true),
		ginkgo.Entry("after it failed", &FinishRequest{Key: "c/k", Nonce: "n2", Attempt: 1, Refusal: unknownOutcome()}, false),
	)
})
