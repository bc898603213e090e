package online_test

import (
	"context"
	"errors"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/ledger"
	"tarragonhollow.example/tarragonhollow/core/outcome"
)

// ownerless is a ledger whose owners cannot be reached; a lookup on the log returns reply
// and err.
type ownerless struct {
	ledger.Client
	reply ledger.BeginReply
	err   error
}

func (l *ownerless) Begin(context.Context, ledger.BeginRequest) (ledger.BeginReply, error) {
	return ledger.BeginReply{}, outcome.Refuse(outcome.NoOwner, "the owner can't be reached")
}

func (l *ownerless) LookupOnLog(context.Context, ledger.BeginRequest) (ledger.BeginReply, error) {
	return l.reply, l.err
}

var _ = Describe("an order whose owner cannot be reached", func() {
	// The caller sent the order before to daemons that cannot be reached now, and they may
	// have run it. After a false not_run the caller would send it again as a new order.
	DescribeTable("gets the run state that the log shows", func(reply ledger.BeginReply, err error, run outcome.RunState) {
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
		Entry("the key is not on the log", ledger.BeginReply{Verdict: ledger.Free}, nil, outcome.NotRun),
		Entry("the key was granted", ledger.BeginReply{Verdict: ledger.StillRunning}, nil, outcome.MayHaveRun),
		Entry("the log cannot be read", ledger.BeginReply{}, errors.New("out"), outcome.MayHaveRun),
		Entry("the key has an answer", ledger.BeginReply{Verdict: ledger.Settled, Answer: &ledger.Answer{Status: 200}}, nil, outcome.RunState("")),
	)
})
