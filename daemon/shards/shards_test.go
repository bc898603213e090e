package shards

import (
	"context"
	"fmt"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/ledger"
	"tarragonhollow.example/tarragonhollow/core/outcome"
)

var _ = Describe("Shards", func() {
	// A guest's order is placed through one daemon; the daemon that owns its
	// key dies, and the tablet sends the order again through a third. It must
	// get the kept answer and not run again.
	It("keeps an order's answer through the death of its owner", func() {
		f := newFleet("a", "b", "c")
		owner := f.ownerOf("c/k")
		entry := f.other(owner)
		r, err := begin(entry, "c/k", "n1", false)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Verdict).To(Equal(ledger.Granted))
		fin, err := entry.shards.Finish(context.Background(), ledger.FinishRequest{
			Key: "c/k", Nonce: "n1", Attempt: r.Attempt, Answer: &ledger.Answer{Status: 200, Body: []byte("tray")},
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(fin.Durable).To(BeTrue())
		f.kill(owner)
		again, err := begin(f.other(owner), "c/k", "n2", false)
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Verdict).To(Equal(ledger.Settled))
		Expect(string(again.Answer.Body)).To(Equal("tray"))
	})

	// A night's job is half done when its owner dies. Its successor must hand
	// out the rest, and every item must have exactly one result.
	It("finishes a job after the death of its owner", func() {
		f := newFleet("a", "b", "c")
		owner := f.ownerOf("c/job")
		steward := f.other(owner)
		reply, err := submit(steward, "c/job", "u1", 40)
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Created).To(BeTrue())
		Expect(finish(steward, pull(steward, owner, 20, nil).Items)).To(BeEmpty())
		lost := pull(steward, owner, 5, nil).Items
		Expect(lost).To(HaveLen(5))
		f.kill(owner)
		next := f.ownerOf("c/job")
		Expect(next).NotTo(BeIdenticalTo(owner))
		Eventually(func() ledger.JobState {
			Expect(finish(steward, pull(steward, f.ownerOf("c/job"), 7, nil).Items)).To(BeEmpty())
			st, err := steward.shards.Job(context.Background(), "c/job")
			Expect(err).NotTo(HaveOccurred())
			return st.State
		}).WithTimeout(20 * time.Second).Should(Equal(ledger.JobEnded))
		page, err := steward.shards.Results(context.Background(), ledger.ResultsRequest{Job: "c/job"})
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Results).To(HaveLen(40))
		for i, r := range page.Results {
			Expect(string(r.Answer.Body)).To(Equal(fmt.Sprint(i)))
		}
	})

	// A client's network stalls and it sends the same bundle three times, to
	// two daemons at once. It must become one job.
	It("takes a job sent several times at once as one", func() {
		f := newFleet("a", "b")
		f.ownerOf("c/job")
		replies := make([]ledger.JobCommitReply, 3)
		errs := make([]error, 3)
		fanOut(3, func(i int) {
			n := f.nodes["a"]
			if i%2 == 1 {
				n = f.nodes["b"]
			}
			replies[i], errs[i] = submit(n, "c/job", fmt.Sprint("u", i), 10)
		})
		created := 0
		for i := range replies {
			Expect(errs[i]).NotTo(HaveOccurred())
			Expect(replies[i].Status.Items).To(Equal(10))
			if replies[i].Created {
				created++
			}
		}
		Expect(created).To(Equal(1))
	})

	// The platform's log goes out. An order must be refused as not run, a
	// repeatable request must run, and its answer must be kept once the log is
	// back.
	It("refuses orders and goes on with repeatable work while the log is out", func() {
		f := newFleet("a", "b")
		f.ownerOf("c/k")
		f.ownerOf("c/order")
		f.log.SetOutage(true)
		_, err := begin(f.nodes["a"], "c/order", "n1", false)
		refusal, ok := err.(*outcome.Refusal)
		Expect(ok).To(BeTrue(), "%v", err)
		Expect(refusal.Code).To(Equal(outcome.LogUnavailable))
		Expect(refusal.Run).To(Equal(outcome.NotRun))
		Expect(refusal.RetryAfterMs).To(BeNumerically(">", 0))
		r, err := begin(f.nodes["a"], "c/k", "n2", true)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Verdict).To(Equal(ledger.Granted))
		end := ledger.FinishRequest{Key: "c/k", Nonce: "n2", Attempt: 1, Answer: &ledger.Answer{Status: 200, Body: []byte("x")}}
		fin, err := f.nodes["a"].shards.Finish(context.Background(), end)
		Expect(err).NotTo(HaveOccurred())
		Expect(fin.Durable).To(BeFalse())
		f.log.SetOutage(false)
		Eventually(func() bool {
			fin, err := f.nodes["a"].shards.Finish(context.Background(), end)
			return err == nil && fin.Durable
		}).WithTimeout(10 * time.Second).Should(BeTrue())
	})

	// One daemon alone is cut off from the log. Others take its shard over, and
	// an order placed at the very host that is cut off is granted by the new
	// owner instead of being refused; back on the log, the old owner learns that
	// it lost.
	It("takes over from a holder that is cut off from the log", func() {
		f := newFleet("a", "b", "c")
		old := f.ownerOf("c/k")
		term := old.term("c/k")
		old.client.SetCut(true)
		Eventually(func() uint64 { return f.other(old).seenTerm("c/k") }).WithTimeout(20 * time.Second).Should(BeNumerically(">", term))
		Eventually(func() error {
			_, err := begin(old, "c/k", "n1", false)
			return err
		}).WithTimeout(20 * time.Second).Should(Succeed())
		old.client.SetCut(false)
		Eventually(func() uint64 { return old.term("c/k") }).WithTimeout(20 * time.Second).ShouldNot(Equal(term))
	})

	// A steward asks an owner whose process has just died. The failed call is the
	// first sign of it; the membership must hear of it and not wait for its probe.
	It("has an owner looked at whose call failed", func() {
		n := newFleet("a").nodes["a"]
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		gone := listener.Addr().String()
		Expect(listener.Close()).To(Succeed())
		_, err = n.shards.Pull(context.Background(), gone, ledger.PullRequest{Steward: n.self.ID(), Group: "g"})
		Expect(err).To(HaveOccurred())
		Expect(n.doubted).To(ConsistOf(gone))
	})

	// A shard has just changed hands, and word of its new holder has not come to
	// the host at which an order is placed. The order must find the holder all the
	// same, since it is clear who was to claim the shard.
	It("finds a holder it has not heard of", func() {
		f := newFleet("a", "b", "c", "d")
		owner := f.ownerOf("c/k")
		term := owner.term("c/k")
		entry := f.other(owner)
		entry.blind.Store(true)
		r, err := begin(entry, "c/k", "n1", false)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Verdict).To(Equal(ledger.Granted))
		Expect(owner.term("c/k")).To(Equal(term), "the holder granted it, not a later one")
	})

	// The log loses answers, and whole appends, in the middle of an evening's
	// orders. Each is found again or appended again, and every order is granted.
	It("finds lost appends again by reading back", func() {
		f := newFleet("a", "b")
		f.ownerOf("c/k")
		for i := 0; i < 4; i++ {
			f.log.LoseAnswers(1 - i%2)
			f.log.LoseAppends(i % 2)
			r, err := begin(f.nodes["a"], "c/k", fmt.Sprint("n", i), false)
			Expect(err).NotTo(HaveOccurred())
			Expect(r.Verdict).To(Equal(ledger.Granted))
			_, err = f.nodes["a"].shards.Finish(context.Background(), ledger.FinishRequest{
				Key: "c/k", Nonce: fmt.Sprint("n", i), Attempt: r.Attempt, Refusal: outcome.Refuse(outcome.NoTarget, "none"),
			})
			Expect(err).NotTo(HaveOccurred())
		}
	})

	// A cancel races the stewards. It returns only when each of them has
	// dropped the job; afterwards nothing of it is handed out.
	It("cancels a job at every steward before it answers", func() {
		f := newFleet("a", "b")
		owner := f.ownerOf("c/job")
		_, err := submit(owner, "c/job", "u1", 10)
		Expect(err).NotTo(HaveOccurred())
		Expect(pull(f.nodes["b"], owner, 3, nil).Items).To(HaveLen(3))
		st, err := f.nodes["a"].shards.CancelJob(context.Background(), "c/job")
		Expect(err).NotTo(HaveOccurred())
		Expect(st.Cancelled).To(Equal(10))
		Expect(st.State).To(Equal(ledger.JobCancelled))
		for _, n := range []*node{f.nodes["a"], f.nodes["b"]} {
			seen, err := n.shards.Job(context.Background(), "c/job")
			Expect(err).NotTo(HaveOccurred())
			Expect(seen.State).To(Equal(ledger.JobCancelled), n.self.Host)
		}
		f.mu.Lock()
		Expect(f.nodes["a"].revoked).To(ContainElement("c/job"))
		Expect(f.nodes["b"].revoked).To(ContainElement("c/job"))
		f.mu.Unlock()
		Expect(pull(f.nodes["b"], owner, 3, nil).Items).To(BeEmpty())
	})

	// A host is replaced while the platform's log is out. Its daemon can hand
	// nothing over; it must not stay until its whole drain time is over.
	It("gives up handing over when the log is out", func() {
		f := newFleet("a", "b")
		for id := 0; id < testShards; id++ {
			Eventually(func() *node { return f.holder(id) }).WithTimeout(10 * time.Second).ShouldNot(BeNil())
		}
		a := f.holder(0)
		f.log.SetOutage(true)
		Eventually(a.shards.LogOK).WithTimeout(10 * time.Second).Should(BeFalse())
		Expect(a.shards.Holds()).NotTo(BeEmpty())
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		Expect(a.shards.Drain(ctx)).To(MatchError(ContainSubstring("the log is out of reach")))
		Expect(ctx.Err()).NotTo(HaveOccurred())
	})

	// A daemon is stopped on purpose: all its shards go to others, and calls
	// made meanwhile find the new owners.
	It("hands its shards over when it drains", func() {
		f := newFleet("a", "b")
		for id := 0; id < testShards; id++ {
			Eventually(func() *node { return f.holder(id) }).WithTimeout(10 * time.Second).ShouldNot(BeNil())
		}
		a, b := f.nodes["a"], f.nodes["b"]
		Expect(a.shards.Drain(context.Background())).To(Succeed())
		Eventually(func() int { return len(b.shards.Holds()) }).WithTimeout(10 * time.Second).Should(Equal(testShards))
		r, err := begin(a, "c/k", "n", false)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Verdict).To(Equal(ledger.Granted))
	})
})
