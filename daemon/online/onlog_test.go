package online_test

import (
	"context"
	"errors"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/ledger"
	"tarragonhollow.example/tarragonhollow/core/outcome"
)

// ownerless is a ledger whose owners can't be reached; the log says what it says.
type ownerless struct {
	ledger.Client
	reply ledger.BeginReply
	err   error
}

func (l *ownerless) Begin(context.Context, ledger.BeginRequest) (ledger.BeginReply, error) {
	return ledger.BeginReply{}, outcome.Refuse(outcome.NoOwner, "the owner can't be reached")
}

func (l *ownerless) OnLog(context.Context, ledger.BeginRequest) (ledger.BeginReply, error) {
	return l.reply, l.err
}

var _ = Describe("an order whose owner cannot be reached", func() {
	// The tablet sent it to the other half of the fleet before, which may have
	// placed it. A false "not run" makes the guest order anew.
	DescribeTable("is told what the log says", func(reply ledger.BeginReply, err error, run outcome.RunState) {
		b := newBench("a:1")
		b.client = &ownerless{reply: reply, err: err}
		b.start()
		answer, got := b.online.Service(context.Background(), serviceOf(order, "k1", "breakfast"))
		Expect(b.service.Calls()).To(BeEmpty())
		if run == "" {
			Expect(got).NotTo(HaveOccurred())
			Expect(answer.Status).To(Equal(200))
			return
		}
		Expect(refusalOf(got).Run).To(Equal(run))
	},
		Entry("nothing of it", ledger.BeginReply{Verdict: ledger.Free}, nil, outcome.NotRun),
		Entry("it began", ledger.BeginReply{Verdict: ledger.StillRunning}, nil, outcome.MayHaveRun),
		Entry("nothing, as it can't be read", ledger.BeginReply{}, errors.New("out"), outcome.MayHaveRun),
		Entry("it was answered", ledger.BeginReply{Verdict: ledger.Settled, Answer: &ledger.Answer{Status: 200}}, nil, outcome.RunState("")),
	)
})
