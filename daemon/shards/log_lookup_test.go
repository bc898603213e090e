package shards

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/ledger"
)

var _ = Describe("A daemon that reaches no owner", func() {
	// A non-repeatable request was accepted by the other half of a partitioned fleet. When
	// the caller sends it again to this half, it must not be reported as not run.
	It("reads the outcome of a key from the log", func() {
		f := newFleet("a", "b")
		owner := f.ownerOf("c/k")
		other := f.other(owner)
		lookUp := func(key, nonce, content string) ledger.BeginReply {
			GinkgoHelper()
			reply, err := other.shards.LookupOnLog(context.Background(), ledger.BeginRequest{Key: key, Nonce: nonce, Fingerprint: content})
			Expect(err).NotTo(HaveOccurred())
			return reply
		}
		Expect(lookUp("c/k", "n2", "fp").Verdict).To(Equal(ledger.Free))
		granted, err := begin(owner, "c/k", "n1", false)
		Expect(err).NotTo(HaveOccurred())
		Expect(lookUp("c/k", "n2", "fp").Verdict).To(Equal(ledger.StillRunning))
		Expect(lookUp("c/k", "n1", "fp").Verdict).To(Equal(ledger.Free), "its own start, granted to nobody else")
		_, err = owner.shards.Finish(context.Background(), ledger.FinishRequest{
			Key: "c/k", Nonce: "n1", Attempt: granted.Attempt, Answer: &ledger.Answer{Status: 200, Body: []byte("tray")},
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(string(lookUp("c/k", "n2", "fp").Answer.Body)).To(Equal("tray"))
		Expect(lookUp("c/k", "n2", "other").Refusal).NotTo(BeNil(), "another request's answer")
		_, err = other.shards.replay(context.Background(), other.shards.slotOf("c/k"), 10)
		Expect(err).To(HaveOccurred(), "more to read than is allowed")
	})
})
