package target_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/standin/engine"
	"tarragonhollow.example/tarragonhollow/target"
)

// slow is a control body that makes each step so slow that a spec can act before the
// stream ends.
const slow = `{"slow_ms":1500}`

var _ = Describe("EngineClient", func() {
	ctx := context.Background()
	request := func(id, text string) target.GenerateRequest {
		return target.GenerateRequest{StreamID: id, Model: "ordering", Messages: prompt(text)}
	}

	// Guards against duplicated and lost tokens: a batch item is cancelled because of
	// an online burst and resumed at another engine. The last token before the cancel
	// must not be repeated and the first one after it must not be missing.
	It("joins a cancelled stream and its resumption into the expected answer", func() {
		first, firstAddress := startEngine(fastEngine())
		_, secondAddress := startEngine(fastEngine())
		control(firstAddress, slow)
		c := engineClient()
		req := request("s1", "prep sheet for floor 3")
		seen := 0
		part := generate(ctx, c, firstAddress, req, func() {
			if seen++; seen == 5 {
				Expect(c.Cancel(ctx, firstAddress, "s1")).To(Succeed())
			}
		})
		Expect(part.err).To(MatchError(target.ErrStreamCancelled))
		Expect(first.Records()[0].Ended).To(Equal(engine.EndedCancelled))

		req.ResumeTokens = part.tokens
		rest := generate(ctx, c, secondAddress, req, nil)
		Expect(rest.err).NotTo(HaveOccurred())
		Expect(append(part.tokens, rest.tokens...)).To(Equal(engine.ExpectedTokens("ordering", req.Messages, 0)))
	})

	// One request crashes the engine. All other requests running there lose their
	// connection; each must be reported as possibly run. A request sent while the engine
	// is down must be reported as not run.
	It("distinguishes a crash from a refused connection", func() {
		o := fastEngine()
		o.RestartMs = 10_000
		s, address := startEngine(o)
		control(address, slow)
		c := engineClient()
		running := make(chan struct{}, 1000)
		bystander := make(chan result, 1)
		go func() {
			bystander <- generate(ctx, c, address, request("v", "two coffees"), func() { running <- struct{}{} })
		}()
		Eventually(running, bound).Should(Receive())
		crashing := generate(ctx, c, address, request("k", "CRASH-TARGET"), nil)
		for _, err := range []error{crashing.err, (<-bystander).err} {
			f := target.FailureOf(err)
			Expect(f).NotTo(BeNil())
			Expect([]bool{f.Reached, f.Crashed, f.Busy, f.Rejected}).To(Equal([]bool{true, true, false, false}))
		}
		Eventually(func() *target.Failure { return target.FailureOf(c.Health(ctx, address)) }, bound).
			Should(HaveField("Reached", false))
		Eventually(func() error { return c.Health(ctx, address) }, bound).Should(Succeed())
		control(address, `{"slow_ms":0}`)
		Expect(s.Stats().Crashes).To(Equal(1))
		Expect(generate(ctx, c, address, request("v2", "two coffees"), nil).tokens).
			To(Equal(engine.ExpectedTokens("ordering", prompt("two coffees"), 0)))
	})

	It("classifies refusals by what the engine did with the request", func() {
		o := fastEngine()
		o.Model = "ordering"
		s, address := startEngine(o)
		c := engineClient()
		f := target.FailureOf(generate(ctx, c, address, request("i", "IMPOSSIBLE-ITEM"), nil).err)
		Expect([]any{f.Rejected, f.Reached, f.Busy, f.Status}).To(Equal([]any{true, true, false, 422}))

		other := target.GenerateRequest{Model: "drawing", Messages: prompt("x")}
		f = target.FailureOf(generate(ctx, c, address, other, nil).err)
		Expect([]any{f.Rejected, f.Reached, f.Busy, f.Status}).To(Equal([]any{false, false, true, 409}))

		control(address, `{"leaving":true}`)
		f = target.FailureOf(generate(ctx, c, address, request("l", "hello"), nil).err)
		Expect([]any{f.Rejected, f.Reached, f.Busy, f.Status}).To(Equal([]any{false, false, true, 503}))
		Expect(s.Stats().ReceivedLeaving).To(Equal(1))
	})

	// A frozen engine accepts the request and doesn't answer before the deadline. It
	// must not be counted as crashed, or the request would become a suspect.
	It("reports a frozen engine as reached, neither crashed nor refusing", func() {
		s, address := startEngine(fastEngine())
		control(address, `{"frozen":true}`)
		streamCtx, cancel := context.WithCancel(ctx)
		ended := make(chan result, 1)
		c := engineClient()
		go func() { ended <- generate(streamCtx, c, address, request("f", "hello"), nil) }()
		Eventually(func() int { return s.Stats().Held }, bound).Should(Equal(1))
		cancel()
		err := (<-ended).err
		Expect(err).To(MatchError(context.Canceled))
		Expect([]bool{target.FailureOf(err).Reached, target.FailureOf(err).Crashed}).To(Equal([]bool{true, false}))
	})

	// An online request must get a connection while all connections for batch are busy.
	It("separates online connections from batch ones", func() {
		_, address := startEngine(fastEngine())
		opts := target.DefaultClientOptions()
		opts.BatchConnections = 1
		c := target.NewEngineClient(opts)
		batch := target.WithUrgency(ctx, target.UrgencyBatch)
		first, stopFirst := context.WithCancel(batch)
		second, stopSecond := context.WithCancel(batch)
		control(address, slow)
		started, ended := make(chan struct{}, 1000), make(chan result, 2)
		go func() { ended <- generate(first, c, address, request("b1", "long"), func() { started <- struct{}{} }) }()
		Eventually(started, bound).Should(Receive())
		go func() { ended <- generate(second, c, address, request("b2", "long"), nil) }()
		online := request("o", "hello")
		online.MaxTokens = 1
		Expect(generate(ctx, c, address, online, nil).err).NotTo(HaveOccurred())
		stopSecond()
		Expect(target.FailureOf((<-ended).err).Reached).To(BeFalse(), "the second never left the pool's queue")
		stopFirst()
		Expect(target.FailureOf((<-ended).err).Reached).To(BeTrue())
	})

	It("cancels the stream when the sink fails, and returns the sink's error", func() {
		s, address := startEngine(fastEngine())
		control(address, slow)
		full := errors.New("sink is full")
		_, err := engineClient().Generate(ctx, address, request("s", "hello"), func(target.Token) error { return full })
		Expect(err).To(BeIdenticalTo(full))
		Eventually(func() string { return s.Records()[0].Ended }, bound).Should(Equal(engine.EndedCancelled))
	})

	// Two holders of the same duty send orders, because the old one was paused and has
	// resumed. An engine that checks the fence must refuse the old one's order; an engine
	// that doesn't check obeys it.
	DescribeTable("a stale order", func(checks bool, rejected bool) {
		o := fastEngine()
		o.ChecksOrders = checks
		s, address := startEngine(o)
		c := engineClient()
		Expect(c.Order(ctx, address, target.Order{Fence: 7, Action: engine.ActionSetRole, Role: "new"})).To(Succeed())
		err := c.Order(ctx, address, target.Order{Fence: 6, Action: engine.ActionSetRole, Role: "old"})
		if rejected {
			Expect(target.FailureOf(err).Rejected).To(BeTrue())
			Expect(target.FailureOf(err).Status).To(Equal(http.StatusConflict))
			Expect(s.Stats().Role).To(Equal("new"))
			return
		}
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Stats().Role).To(Equal("old"))
	},
		Entry("is refused by an engine that checks", true, true),
		Entry("is obeyed by an engine that does not", false, false),
	)

	DescribeTable("a broken stream", func(lines string, crashed bool) {
		address := startHandler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprint(w, lines)
		}), func() {})
		f := target.FailureOf(generate(ctx, engineClient(), address, request("s", "hello"), nil).err)
		Expect(f).NotTo(BeNil())
		Expect([]bool{f.Reached, f.Crashed, f.Rejected}).To(Equal([]bool{true, crashed, false}))
	},
		Entry("without a finish is a crash", "data: {\"index\":0,\"text\":\"a\"}\n\n", true),
		Entry("with only the end mark is a crash", "data: [DONE]\n\n", true),
		Entry("with a duplicated token", "data: {\"index\":0,\"text\":\"a\"}\n\ndata: {\"index\":0,\"text\":\"a\"}\n\n", false),
		Entry("with a missing token", "data: {\"index\":1,\"text\":\"a\"}\n\n", false),
		Entry("with a line that is not JSON", "data: {\"index\":\n\n", false),
		Entry("with an unknown finish", "data: {\"finish\":{\"reason\":\"?\"}}\n\n", false),
	)
})
