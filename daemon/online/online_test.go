package online_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/chat"
	"tarragonhollow.example/tarragonhollow/core/config"
	"tarragonhollow.example/tarragonhollow/core/ledger"
	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/target"
	"tarragonhollow.example/tarragonhollow/target/faketarget"
)

var _ = Describe("a stream whose target fails", func() {
	// The first target crashes after three tokens, the second fails after two more. The
	// caller must get one complete text: no token twice, none missing.
	It("resumes at another target without a duplicate or missing token", func() {
		b := newBench("a:1", "b:1", "c:1")
		tokens := []string{"one ", "two ", "three ", "four ", "five ", "six "}
		failAt := []int{3, 5}
		var attempt atomic.Int32
		b.engine.OnGenerate = func(string, target.GenerateRequest) faketarget.Generation {
			i := int(attempt.Add(1)) - 1
			if i < len(failAt) {
				return faketarget.Generation{Tokens: tokens[:failAt[i]], Err: &target.Failure{Reached: true, Crashed: i == 0, Detail: "broke"}}
			}
			return faketarget.Generation{Tokens: tokens}
		}
		b.start()
		var seen []string
		result, err := b.online.Chat(context.Background(), chatOf(menu, "", "hello"), func(t target.Token) error {
			Expect(t.Index).To(Equal(len(seen)))
			seen = append(seen, t.Text)
			return nil
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(seen).To(Equal(tokens))
		Expect(result.Text).To(Equal("one two three four five six "))
		calls := b.engine.Calls()
		Expect(calls).To(HaveLen(3))
		Expect(calls[1].Request.ResumeTokens).To(Equal(tokens[:3]))
		Expect(calls[2].Request.ResumeTokens).To(Equal(tokens[:5]))
		Expect(calls[1].Address).NotTo(Equal(calls[0].Address))
		Expect(b.signals.open).To(BeZero())
	})

	// An engine that cannot resume sends the answer from the start. The caller must not
	// get the beginning twice.
	It("drops tokens that an engine repeats", func() {
		b := newBench("a:1", "b:1")
		b.restarts = true
		var attempt atomic.Int32
		b.engine.OnGenerate = func(string, target.GenerateRequest) faketarget.Generation {
			if attempt.Add(1) == 1 {
				return faketarget.Generation{Tokens: []string{"one ", "two "}, Err: &target.Failure{Reached: true, Crashed: true, Detail: "broke"}}
			}
			return faketarget.Generation{Tokens: []string{"one ", "two ", "three"}}
		}
		b.start()
		text := ""
		result, err := b.online.Chat(context.Background(), chatOf(menu, "", "hello"), func(t target.Token) error {
			text += t.Text
			return nil
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(Equal("one two three"))
		Expect(result.Text).To(Equal(text))
	})

	// The caller's connection closes in the middle of an answer. The target must not generate
	// the rest of an answer that is no longer wanted, and the request must not be retried.
	It("is cancelled at the target when the caller stops reading", func() {
		b := newBench("a:1", "b:1")
		b.start()
		_, err := b.online.Chat(context.Background(), chatOf(menu, "", "hello"), func(target.Token) error {
			return errors.New("connection closed")
		})
		Expect(refusalOf(err).Code).To(Equal(outcome.Cancelled))
		Expect(refusalOf(err).Run).To(Equal(outcome.MayHaveRun))
		Expect(b.engine.Calls()).To(HaveLen(1))
	})
})

var _ = Describe("a request that may not be repeated", func() {
	// The service receives the request, and its answer is lost. The request must not be
	// sent again, neither as a retry nor when the caller resends it, and the caller must
	// not be told that it was not run.
	It("is never sent twice when the answer is lost", func() {
		b := newBench("a:1", "b:1")
		b.service.OnCall = func(context.Context, string, target.ServiceRequest) (target.ServiceResponse, error) {
			return target.ServiceResponse{}, &target.Failure{Reached: true, Crashed: true, Detail: "answer lost"}
		}
		b.start()
		for range 2 {
			_, err := b.online.Service(context.Background(), serviceOf(order, "k1", "breakfast"))
			Expect(refusalOf(err).Code).To(Equal(outcome.OutcomeUnknown))
			Expect(refusalOf(err).Run).To(Equal(outcome.MayHaveRun))
		}
		Expect(b.service.Calls()).To(HaveLen(1))
	})

	// One target refuses connections. The request certainly did not reach it, so another
	// target may run it.
	It("goes to another target only while none was reached", func() {
		b := newBench("a:1", "b:1")
		b.service.OnCall = func(_ context.Context, address string, r target.ServiceRequest) (target.ServiceResponse, error) {
			if address == "a:1" {
				return target.ServiceResponse{}, &target.Failure{Detail: "connection refused"}
			}
			return target.ServiceResponse{Status: 200, Body: r.Body}, nil
		}
		b.start()
		for i := range 8 {
			answer, err := b.online.Service(context.Background(), serviceOf(order, strconv.Itoa(i), "tea"))
			Expect(err).NotTo(HaveOccurred())
			Expect(string(answer.Body)).To(Equal("tea"))
		}
	})

	// The log is down. A non-repeatable request cannot be guaranteed to run at most once,
	// so it is refused with not_run; a repeatable one does not need the log.
	It("is refused with not_run while the log is down; a repeatable one runs", func() {
		b := newBench("a:1", "b:1")
		b.ledger.setDown(true)
		b.start()
		_, err := b.online.Service(context.Background(), serviceOf(order, "k1", "breakfast"))
		Expect(refusalOf(err).Run).To(Equal(outcome.NotRun))
		Expect(refusalOf(err).RetryAfterMs).To(BeNumerically(">", 0))
		Expect(b.service.Calls()).To(BeEmpty())
		_, err = b.online.Chat(context.Background(), chatOf(menu, "k2", "hello"), nil)
		Expect(err).NotTo(HaveOccurred())
	})

	// The request ran and its answer was lost; then the log goes down and the caller sends
	// the request again. To the caller both are one request: not_run would be false.
	It("is not called not run on a resend during an outage", func() {
		b := newBench("a:1")
		b.service.OnCall = func(context.Context, string, target.ServiceRequest) (target.ServiceResponse, error) {
			return target.ServiceResponse{}, &target.Failure{Reached: true, Detail: "answer lost"}
		}
		b.start()
		for _, down := range []bool{false, true} {
			b.ledger.setDown(down)
			_, err := b.online.Service(context.Background(), serviceOf(order, "k1", "breakfast"))
			Expect(refusalOf(err).Run).To(Equal(outcome.MayHaveRun))
		}
		Expect(b.service.Calls()).To(HaveLen(1))
	})

	It("is refused without a key", func() {
		b := newBench("a:1")
		b.start()
		_, err := b.online.Service(context.Background(), serviceOf(order, "", "breakfast"))
		Expect(refusalOf(err).Code).To(Equal(outcome.KeyRequired))
		Expect(b.service.Calls()).To(BeEmpty())
	})

	// The caller's connection drops while the service runs the request. The request
	// continues, and its outcome is stored for the resend.
	It("completes when the caller disconnects", func() {
		b := newBench("a:1")
		begun, proceed := make(chan struct{}), make(chan struct{})
		b.service.OnCall = func(ctx context.Context, _ string, r target.ServiceRequest) (target.ServiceResponse, error) {
			close(begun)
			select {
			case <-proceed:
				return target.ServiceResponse{Status: 200, Body: r.Body}, nil
			case <-ctx.Done():
				return target.ServiceResponse{}, &target.Failure{Reached: true, Err: ctx.Err(), Detail: "cut"}
			}
		}
		b.start()
		ctx, leave := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() {
			_, err := b.online.Service(ctx, serviceOf(order, "k1", "breakfast"))
			done <- err
		}()
		<-begun
		leave()
		close(proceed)
		Expect(<-done).NotTo(HaveOccurred())
		answer, err := b.online.Service(context.Background(), serviceOf(order, "k1", "breakfast"))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(answer.Body)).To(Equal("breakfast"))
		Expect(b.service.Calls()).To(HaveLen(1))
	})
})

var _ = Describe("a keyed chat", func() {
	once := &config.Profile{Name: "once", Urgency: config.Online, Repeatable: true}
	broken := &target.Failure{Reached: true, Crashed: true, Detail: "broke"}

	It("replays the kept answer without running again", func() {
		b := newBench("a:1")
		b.start()
		first, err := b.online.Chat(context.Background(), chatOf(order, "k1", "hello"), nil)
		Expect(err).NotTo(HaveOccurred())
		var text string
		again, err := b.online.Chat(context.Background(), chatOf(order, "k1", "hello"), func(t target.Token) error {
			text += t.Text
			return nil
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Replayed).To(BeTrue())
		Expect(again.Text).To(Equal(first.Text))
		Expect(text).To(Equal(first.Text))
		Expect(b.engine.Calls()).To(HaveLen(1))
	})

	// Another daemon's run of the key ends first while this one streams. The caller's stream
	// must not be the tokens of one run with the end of the other.
	DescribeTable("joins no stream with the answer of another run",
		func(ran []string, ranErr *target.Failure, first, wantText, wantReason string) {
			b := newBench("a:1")
			b.ledger.first = &ledger.Answer{Status: 200, Body: chat.EncodeAnswer("id", "menu", time.Unix(1, 0),
				chat.Answer{Text: first, Finish: target.Finish{Reason: "length"}})}
			b.engine.OnGenerate = func(string, target.GenerateRequest) faketarget.Generation {
				generation := faketarget.Generation{Tokens: ran}
				if ranErr != nil {
					generation.Err = ranErr
				}
				return generation
			}
			b.start()
			call, text := chatOf(once, "k1", "hello"), ""
			result, err := b.online.Chat(context.Background(), call, func(t target.Token) error {
				text += t.Text
				return nil
			})
			Expect(text).To(Equal(wantText))
			if wantReason == "" {
				Expect(refusalOf(err).Code).To(Equal(outcome.TargetFailed))
				Expect(refusalOf(err).Run).To(Equal(outcome.Ran))
				return
			}
			Expect(err).NotTo(HaveOccurred())
			Expect(result.Finish.Reason).To(Equal(wantReason))
			Expect(result.Text).To(Equal(wantText))
		},
		Entry("this run is complete", []string{"one ", "two"}, nil, "one three four", "one two", "stop"),
		Entry("this run broke off in another text", []string{"one ", "two"}, broken, "one three four", "one two", ""),
		Entry("this run broke off in the same text", []string{"one ", "two "}, broken, "one two three", "one two three", "length"),
		Entry("this run broke off before its first token", nil, broken, "one two three", "one two three", "length"),
	)

	// The log goes down while a request runs. The caller gets the answer at once; it
	// becomes durable when the log is back, and Drain waits for that.
	It("stores its answer when the log comes back", func() {
		b := newBench("a:1")
		gate := make(chan struct{})
		b.engine.OnGenerate = func(string, target.GenerateRequest) faketarget.Generation {
			b.ledger.setDown(true)
			return faketarget.Generation{Tokens: []string{"ok"}, Gate: gate}
		}
		b.start()
		close(gate)
		_, err := b.online.Chat(context.Background(), chatOf(order, "k1", "hello"), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(b.online.Status().NotDurable).To(Equal(1))
		b.ledger.setDown(false)
		b.online.Drain(context.Background())
		end, ok := b.ledger.end("hotel/k1")
		Expect(ok).To(BeTrue())
		Expect(string(end.Answer.Body)).To(ContainSubstring(`"content":"ok"`))
	})
})

var _ = Describe("an order whose owner reports that the log is down", func() {
	// The owner answers that it cannot begin any request. The caller must get this refusal
	// and its retry-after time at once, not after the maximum wait, which is meant for an
	// owner that is being replaced.
	It("is refused with the owner's refusal, not at its deadline", func() {
		b := newBench("a:1")
		b.nonRepeatableBeginWait = time.Hour
		b.ledger.setDown(true)
		b.start()
		call := chatOf(order, "k1", "hello")
		call.Deadline = time.Now().Add(3 * time.Second)
		_, err := b.online.Chat(context.Background(), call, nil)
		refusal := refusalOf(err)
		Expect(refusal.Code).To(Equal(outcome.LogUnavailable))
		Expect(refusal.Run).To(Equal(outcome.NotRun))
		Expect(refusal.RetryAfterMs).To(BeNumerically(">", 0))
		Expect(b.engine.Calls()).To(BeEmpty())
	})
})

var _ = Describe("an order whose deadline passes before an owner answers", func() {
	// The same order may have run through another daemon before; here its owner cannot be
	// reached until the deadline. A caller that is told not_run sends it as a new order.
	It("is not called not run", func() {
		b := newBench("a:1")
		b.nonRepeatableBeginWait = time.Hour
		b.ledger.broken = true
		b.start()
		call := chatOf(order, "k1", "hello")
		call.Deadline = time.Now().Add(300 * time.Millisecond)
		_, err := b.online.Chat(context.Background(), call, nil)
		refusal := refusalOf(err)
		Expect(refusal.Code).To(Equal(outcome.DeadlineExceeded))
		Expect(refusal.Run).To(Equal(outcome.MayHaveRun))
		Expect(b.engine.Calls()).To(BeEmpty())
	})
})

var _ = Describe("a repeatable keyed chat whose owner cannot be reached", func() {
	// A keyed request arrives while the key's owner is unreachable. It is answered at once.
	// When the caller repeats it with the same key after the owner is back, it must get
	// that answer, not another run.
	It("runs, and its answer is stored once the owner is back", func() {
		b := newBench("a:1")
		b.ledger.setDown(true)
		b.start()
		first, err := b.online.Chat(context.Background(), chatOf(menu, "k1", "hello"), nil)
		Expect(err).NotTo(HaveOccurred())
		b.ledger.setDown(false)
		Eventually(func() bool { _, stored := b.ledger.end("hotel/k1"); return stored }, "10s").Should(BeTrue())
		again, err := b.online.Chat(context.Background(), chatOf(menu, "k1", "hello"), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Replayed).To(BeTrue())
		Expect(again.Text).To(Equal(first.Text))
		Expect(b.engine.Calls()).To(HaveLen(1))
	})
})

var _ = Describe("failing targets", func() {
	// Nothing listens on any target, so not_run is true and must be returned. Once one
	// target has been reached, it must not be returned any more.
	It("returns not_run only if no target was reached", func() {
		b := newBench("a:1", "b:1", "c:1", "d:1")
		var n atomic.Int32
		reachedAt := int32(0)
		b.engine.OnGenerate = func(string, target.GenerateRequest) faketarget.Generation {
			return faketarget.Generation{Err: &target.Failure{Reached: n.Add(1) == reachedAt, Detail: "down"}}
		}
		b.start()
		_, err := b.online.Chat(context.Background(), chatOf(menu, "", "x"), nil)
		Expect(refusalOf(err).Run).To(Equal(outcome.NotRun))
		Expect(b.engine.Calls()).To(HaveLen(menu.Retries + 1))
		n.Store(0)
		reachedAt = 2
		_, err = b.online.Chat(context.Background(), chatOf(menu, "", "y"), nil)
		Expect(refusalOf(err).Run).To(Equal(outcome.MayHaveRun))
	})

	// One engine's host is lost, and its connections hang. No request may wait for it until
	// its deadline, and the engine must be ejected.
	It("moves requests to other targets when a target hangs, and ejects it", func() {
		b := newBench("a:1", "b:1", "c:1")
		hang := make(chan struct{})
		b.engine.OnGenerate = func(address string, _ target.GenerateRequest) faketarget.Generation {
			if address == "a:1" {
				return faketarget.Generation{Tokens: []string{"never"}, Gate: hang}
			}
			return faketarget.Generation{Tokens: []string{"fine"}}
		}
		b.start()
		for i := range 60 {
			result, err := b.online.Chat(context.Background(), chatOf(menu, "", strconv.Itoa(i)), nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(result.Text).To(Equal("fine"))
			if b.online.Status().Groups["menu"][0].State == "removed" {
				return
			}
		}
		Fail("the hanging target was never ejected")
	})

	// One request crashes every engine that runs it, and its caller repeats it. It may
	// crash two engines, not the fleet.
	It("lets a crashing request crash two targets and no more", func() {
		b := newBench("a:1", "b:1", "c:1", "d:1", "e:1")
		b.engine.OnGenerate = func(_ string, r target.GenerateRequest) faketarget.Generation {
			if r.Messages[0].Content == "crasher" {
				return faketarget.Generation{Err: &target.Failure{Reached: true, Crashed: true, Detail: "broke"}}
			}
			return faketarget.Generation{Tokens: []string{"fine"}}
		}
		b.start()
		for range 5 {
			_, err := b.online.Chat(context.Background(), chatOf(menu, "", "crasher"), nil)
			Expect(refusalOf(err).Code).To(Equal(outcome.Quarantined))
			Expect(refusalOf(err).Run).To(Equal(outcome.MayHaveRun))
		}
		Expect(b.engine.Calls()).To(HaveLen(2))
		_, err := b.online.Chat(context.Background(), chatOf(menu, "", "innocent"), nil)
		Expect(err).NotTo(HaveOccurred())
	})

	// A third of the targets, or all of them, answer every request with an error while many
	// callers send requests. Retries must stay within their share of the requests; the
	// naive rule of three retries per request doubles or quadruples the load.
	DescribeTable("keeps a retry storm within the group's share",
		func(failing, mostFailed int, patience time.Duration) {
			const requests = 3000
			naive, _ := storm(failing, requests, func(b *bench, content string) error { return naiveChat(b, content) })
			attempts, failed := storm(failing, requests, func(b *bench, content string) error {
				call := chatOf(menu, "", content)
				call.Deadline = time.Now().Add(patience)
				_, err := b.online.Chat(context.Background(), call, nil)
				return err
			})
			GinkgoWriter.Printf("%d of 6 targets fail: %d requests, attempts naive %d, with the budget %d, failed %d\n",
				failing, requests, naive, attempts, failed)
			Expect(attempts - requests).To(BeNumerically("<=", 20+requests/10+10))
			Expect(naive).To(BeNumerically(">", attempts))
			Expect(failed).To(BeNumerically("<=", mostFailed))
		},
		Entry("when a third of the targets fail", 2, 30, 20*time.Second),
		Entry("when all of them fail", 6, 3000, 200*time.Millisecond),
	)
})

// storm sends requests from 150 callers at once and counts the attempts that reached the
// targets and the failed requests.
func storm(failing, requests int, send func(b *bench, content string) error) (attempts, failed int) {
	const callers = 150
	b := newBench("a:1", "b:1", "c:1", "d:1", "e:1", "f:1")
	b.engine.OnGenerate = func(address string, _ target.GenerateRequest) faketarget.Generation {
		if int(address[0]-'a') < failing {
			return faketarget.Generation{Err: &target.Failure{Reached: true, Status: 500, Detail: "500"}}
		}
		return faketarget.Generation{Tokens: []string{"fine"}}
	}
	b.start()
	var lost atomic.Int32
	var all sync.WaitGroup
	for c := range callers {
		all.Go(func() {
			for i := range requests / callers {
				if send(b, strconv.Itoa(c)+"/"+strconv.Itoa(i)) != nil {
					lost.Add(1)
				}
			}
		})
	}
	all.Wait()
	return len(b.engine.Calls()), int(lost.Load())
}

// naiveChat tries a random target and, after each failure, another one, up to three times.
func naiveChat(b *bench, content string) error {
	var err error
	random := rand.New(rand.NewPCG(1, xxhash.Sum64String(content)))
	for range menu.Retries + 1 {
		address := string(rune('a'+random.IntN(6))) + ":1"
		_, err = b.engine.Generate(context.Background(), address, chatOf(menu, "", content).Request, func(target.Token) error { return nil })
		if err == nil {
			return nil
		}
	}
	return err
}

var _ = Describe("admission", func() {
	It("enforces a caller's limit and frees the slots of ended requests", func() {
		b := newBench("a:1")
		gate := make(chan struct{})
		b.engine.OnGenerate = func(string, target.GenerateRequest) faketarget.Generation {
			return faketarget.Generation{Tokens: []string{"x"}, Gate: gate}
		}
		b.start()
		limited := &config.Profile{Name: "limited", Repeatable: true, MaxInFlightPerCaller: 2}
		done := make(chan error, 2)
		for range 2 {
			go func() {
				_, err := b.online.Chat(context.Background(), chatOf(limited, "", "x"), nil)
				done <- err
			}()
		}
		Eventually(b.engine.Calls).Should(HaveLen(2))
		_, err := b.online.Chat(context.Background(), chatOf(limited, "", "x"), nil)
		Expect(refusalOf(err).Code).To(Equal(outcome.CallerLimit))
		Expect(refusalOf(err).Run).To(Equal(outcome.NotRun))
		close(gate)
		Expect(<-done).NotTo(HaveOccurred())
		Expect(<-done).NotTo(HaveOccurred())
		_, err = b.online.Chat(context.Background(), chatOf(limited, "", "x"), nil)
		Expect(err).NotTo(HaveOccurred())
	})
})
