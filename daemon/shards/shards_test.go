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
	// A non-repeatable request is sent through one daemon. The daemon that owns its key
	// dies, and the caller retries through a third daemon. It must get the kept answer, and
	// the request must not run again.
	It("keeps a request's answer when its owner dies", func() {
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

	// A job is half done when its owner dies. The next owner must hand out the remaining
	// items, and every item must have exactly one result.
	It("finishes a job after its owner died", func() {
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

	// A client's network stalls, and the client sends the same job three times, to two
	// daemons concurrently. Only one job must be created.
	It("creates one job from concurrent uploads of the same job", func() {
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

	// During an outage of the platform's log, a non-repeatable request must be refused as
	// not run. A repeatable request must run, and its answer must be kept once the log is
	// back.
	It("refuses non-repeatable requests and runs repeatable ones during a log outage", func() {
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

	// Only one daemon can't reach the log. Others take its shard over, and a non-repeatable
	// request sent to the host that is cut off must be granted by the new owner instead of
	// being refused. When the old owner reaches the log again, it must read that it lost
	// the shard.
	It("takes over from a holder that can't reach the log", func() {
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

	// A batch dispatcher (steward) calls an owner whose process has just died. The failed
	// call is the first sign of that, so the membership must be notified and probe the
	// member at once instead of at its next regular probe.
	It("reports an owner to the membership when a call to it fails", func() {
		n := newFleet("a").nodes["a"]
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		closedAddress := listener.Addr().String()
		Expect(listener.Close()).To(Succeed())
		_, err = n.shards.Pull(context.Background(), closedAddress, ledger.PullRequest{Steward: n.self.ID(), Group: "g"})
		Expect(err).To(HaveOccurred())
		Expect(n.probed).To(ConsistOf(closedAddress))
	})

	// A shard has just changed holders, and the announcement of the new holder has not
	// reached the host to which a non-repeatable request is sent. The request must still
	// find the holder, since the members that should claim the shard are known.
	It("finds a holder that was not announced to it", func() {
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

	// The log loses responses, and whole appends, during a series of non-repeatable
	// requests. Each append must be found or repeated, and every request granted.
	It("recovers lost appends by reading back", func() {
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

	// A cancellation races with the batch dispatchers (stewards). It must return only when
	// each of them has dropped the job, and no item of the job may be handed out afterwards.
	It("cancels a job at every batch dispatcher before it replies", func() {
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

	// A host is replaced during an outage of the platform's log. Its daemon can't hand off
	// its shards, and must not wait for its whole drain time.
	It("gives up the hand-off when the log is unreachable", func() {
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

	// When a daemon is stopped by an operator, all its shards must move to others, and
	// calls in the meantime must find the new owners.
	It("hands off its shards when it drains", func() {
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
