package ledger

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/outcome"
)

var _ = ginkgo.Describe("a keyed request", func() {
	// The log takes a start but its answer is lost, and the append is repeated
	// and lands twice, the second time long after. The order must be granted
	// once and the second copy must not count.
	ginkgo.It("counts an append once whose answer was lost", func() {
		s := newSim()
		o := s.held("a")
		id := s.call()
		o.Begin(s.now, id, order("c/k", "n", "e"))
		s.now += 50
		data, _ := o.Build(s.now)
		o.AppendDone(s.now, Unknown, 0)
		Expect(o.NeedsBound()).To(BeTrue())
		o.SetBound(s.log.next())
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
		Expect(o.State().Voids()).To(Equal(uint64(1)))
		kept, _ := o.Request("c/k")
		Expect(kept.State).To(Equal(RequestCompleted))
	})

	// A start's answer is lost and the log stays silent, so the tablet is told
	// "not run". The start then turns up on the log: the key must become free
	// for the guest's next try, and not look as if the order had run.
	ginkgo.It("frees the key of a start that lands after its caller was refused", func() {
		s := newSim()
		o := s.held("a")
		first, second := s.call(), s.call()
		o.Begin(s.now, first, order("c/k", "n1", "e"))
		s.now += 50
		data, _ := o.Build(s.now)
		o.AppendDone(s.now, Unknown, 0)
		s.now += callWaitMs + 1
		o.Tick(s.now)
		s.collect(o)
		Expect(s.replies[first].Begin.Refusal.Run).To(Equal(outcome.NotRun))
		again := order("c/k", "n2", "e")
		again.WaitMs = 60_000
		o.Begin(s.now, second, again)
		s.log.append(data)
		s.read(o)
		s.flush(o)
		Expect(s.replies[second].Begin.Verdict).To(Equal(Granted))
	})

	// A start's answer is lost; before it lands, another order is taken. The
	// record that then appears must not be mistaken for the other order's
	// start: that one is not on the log yet.
	ginkgo.It("does not take a late record for another one", func() {
		s := newSim()
		o := s.held("a")
		first, second := s.call(), s.call()
		o.Begin(s.now, first, order("c/k1", "n1", "e"))
		s.now += 50
		data, _ := o.Build(s.now)
		o.AppendDone(s.now, Unknown, 0)
		o.Begin(s.now, second, order("c/k2", "n2", "e"))
		s.now += 1000
		o.SetBound(s.log.next())
		_, _ = o.Build(s.now)
		s.log.append(data)
		s.read(o)
		Expect(s.replies).NotTo(HaveKey(second))
	})

	// An owner is paused while a successor claims its shard. It wakes with an
	// order in hand and appends its start: the record is void, and the caller
	// is sent to the successor.
	ginkgo.It("voids the records of an owner that was paused past its loss", func() {
		s := newSim()
		paused := s.held("a")
		next := s.held("b")
		id := s.call()
		paused.Begin(s.now, id, order("c/k", "n", "e"))
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

	// An entry host dies with a guest's order on its way. The tablet resends: it
	// must be told that it may have run, and the late answer still settles it.
	ginkgo.It("never grants a started order again, and lets a late answer settle it", func() {
		s := newSim()
		o := s.held("a")
		o.Begin(s.now, s.call(), order("c/k", "n1", "e1"))
		s.flush(o)
		s.dead["e1"] = true
		o = s.held("b")
		id := s.call()
		o.Begin(s.now, id, order("c/k", "n2", "e2"))
		s.collect(o)
		Expect(s.replies[id].Begin.Refusal.Run).To(Equal(outcome.MayHaveRun))
		o.Finish(s.now, s.call(), FinishRequest{Key: "c/k", Nonce: "n1", Attempt: 1, Answer: answer("tray")})
		s.flush(o)
		id = s.call()
		o.Begin(s.now, id, order("c/k", "n3", "e2"))
		s.collect(o)
		Expect(body(s.replies[id].Begin.Answer)).To(Equal("tray"))
	})

	// Other content under a used key must neither run nor get the first one's
	// answer.
	ginkgo.It("refuses other content under the same key", func() {
		s := newSim()
		o := s.held("a")
		o.Begin(s.now, s.call(), order("c/k", "n1", "e1"))
		other := order("c/k", "n2", "e1")
		other.Fingerprint = "other"
		id := s.call()
		o.Begin(s.now, id, other)
		s.collect(o)
		Expect(s.replies[id].Begin.Refusal.Code).To(Equal(outcome.Conflict))
		Expect(s.replies[id].Begin.Refusal.Run).To(Equal(outcome.NotRun))
	})
})
