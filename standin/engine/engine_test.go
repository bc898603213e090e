package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/target"
)

var _ = Describe("Engine", func() {
	ctx := context.Background()

	// An online request arrives after two batch items at an engine with one slot. The
	// engine has no priorities, so the online request waits for both. This delay is
	// what the system has to prevent by holding batch items back.
	It("admits in order of arrival regardless of urgency", func() {
		o := fastOptions()
		o.Slots = 1
		s, address, c := startEngine(o)
		batch, online := target.WithUrgency(ctx, "batch"), target.WithUrgency(ctx, "online")
		ends := []<-chan error{
			startGenerate(batch, s, c, address, newRequest("b1", "floor 1", 10)),
			startGenerate(batch, s, c, address, newRequest("b2", "floor 2", 10)),
			startGenerate(online, s, c, address, newRequest("o", "breakfast", 10)),
		}
		for _, ended := range ends {
			Eventually(ended, bound).Should(Receive(BeNil()))
		}
		records := s.Records()
		for i := 1; i < len(records); i++ {
			Expect(records[i].FirstTokenMs).To(BeNumerically(">=", records[i-1].LastTokenMs))
		}
		Expect(s.Stats().TokensByUrgency).To(Equal(map[string]int{"batch": 20, "online": 10}))
	})

	It("frees the slot of a cancelled stream and of one whose client disconnected", func() {
		o := fastOptions()
		o.Slots = 1
		o.BaseStepMs = 2000
		s, address, c := startEngine(o)
		clientCtx, disconnect := context.WithCancel(ctx)
		disconnected := startGenerate(clientCtx, s, c, address, newRequest("gone", "a", 0))
		cancelled := startGenerate(ctx, s, c, address, newRequest("cancelled", "b", 0))
		last := startGenerate(ctx, s, c, address, newRequest("last", "c", 1))
		disconnect()
		Eventually(disconnected, bound).Should(Receive(HaveOccurred()))
		Expect(c.Cancel(ctx, address, "cancelled")).To(Succeed())
		Eventually(cancelled, bound).Should(Receive(MatchError(target.ErrStreamCancelled)))
		Eventually(last, bound).Should(Receive(BeNil()))
		Expect(s.Records()).To(HaveExactElements(HaveField("Ended", EndedCancelled),
			HaveField("Ended", EndedCancelled), HaveField("Ended", EndedFinished)))
	})

	It("skips prefill for a cached prefix, a resumed stream and an imported prefix", func() {
		_, address, c := startEngine(fastOptions())
		_, other, _ := startEngine(fastOptions())
		long := newRequest("s", strings.Repeat("menu of the day ", 40), 20)
		cached := func(at string, req target.GenerateRequest) int {
			finish, err := c.Generate(ctx, at, req, discard)
			Expect(err).NotTo(HaveOccurred())
			return finish.Usage.CachedTokens
		}
		Expect(cached(address, long)).To(BeZero())
		blocks := target.PrefixHashes(long.Messages)
		Expect(cached(address, long)).To(Equal(len(blocks) * target.BlockTokens))

		resumed := long
		resumed.ResumeTokens = ExpectedTokens(long.Model, long.Messages, 0)[:18]
		Expect(cached(address, resumed)).To(BeNumerically(">", len(blocks)*target.BlockTokens))

		deepest := blocks[len(blocks)-1]
		kv, err := c.ExportPrefix(ctx, address, deepest)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.ImportPrefix(ctx, other, deepest, kv)).To(Succeed())
		Expect(cached(other, long)).To(Equal(len(blocks) * target.BlockTokens))
	})

	It("delays cache events", func() {
		_, address, c := startEngine(fastOptions())
		delayed := fastOptions()
		delayed.EventDelayMs = 3_600_000
		_, delayedAddress, _ := startEngine(delayed)
		req := newRequest("s", strings.Repeat("x", 200), 1)
		for _, a := range []string{address, delayedAddress} {
			_, err := c.Generate(ctx, a, req, discard)
			Expect(err).NotTo(HaveOccurred())
		}
		hashes := target.PrefixHashes(req.Messages)
		Eventually(func() ([]target.CacheEvent, error) { return c.CacheEvents(ctx, address, 0) }, bound).
			Should(ContainElement(target.CacheEvent{Seq: 1, Prefix: hashes[len(hashes)-1], Stored: true}))
		Expect(c.CacheEvents(ctx, delayedAddress, 0)).To(BeEmpty())
	})

	It("reports its load with a lag", func() {
		now := time.UnixMilli(10_000)
		var h loadHistory
		for i := range 1000 {
			h.add(loadSample{at: now.Add(time.Duration(i) * time.Millisecond), running: i}, 50*time.Millisecond)
		}
		last := now.Add(999 * time.Millisecond)
		Expect(h.samples[h.indexAt(last.Add(-50*time.Millisecond))].running).To(Equal(949))
		Expect(len(h.samples)).To(BeNumerically("<", 200), "samples too old to be reported are dropped")
		Expect(h.indexAt(now.Add(-time.Second))).To(Equal(-1))
	})

	// An operator rolls out a new model. While it loads, requests get 503; afterwards,
	// requests for the old model get 409.
	It("refuses requests while it loads a model, then serves only that model", func() {
		o := fastOptions()
		o.Model = "ordering"
		o.LoadMs = 3_600_000
		s, address, c := startEngine(o)
		before := startGenerate(ctx, s, c, address, newRequest("before", "x", 3))
		Expect(c.Order(ctx, address, target.Order{Fence: 1, Action: ActionLoadModel, Model: "drawing"})).To(Succeed())
		_, err := c.Generate(ctx, address, newRequest("during", "x", 3), discard)
		Expect(target.FailureOf(err).Status).To(Equal(http.StatusServiceUnavailable))
		Eventually(before, bound).Should(Receive(BeNil()), "an admitted request is finished")
		s.mu.Lock()
		s.served.loadingUntil = time.Now()
		s.mu.Unlock()
		drawing := newRequest("after", "x", 3)
		drawing.Model = "drawing"
		_, err = c.Generate(ctx, address, drawing, discard)
		Expect(err).NotTo(HaveOccurred())
		_, err = c.Generate(ctx, address, newRequest("old", "x", 3), discard)
		Expect(target.FailureOf(err).Status).To(Equal(http.StatusConflict))
	})

	// An engine stops for a while, as when its host is paused, and then continues. Its
	// streams must be complete.
	It("continues its streams after being frozen", func() {
		s, address, c := startEngine(fastOptions())
		ended := startGenerate(ctx, s, c, address, newRequest("s", "x", 0))
		frozen := true
		s.change(controlChange{Frozen: &frozen})
		shortCtx, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
		defer cancel()
		Expect(c.Health(shortCtx, address)).To(MatchError(context.DeadlineExceeded))
		frozen = false
		s.change(controlChange{Frozen: &frozen})
		Eventually(ended, bound).Should(Receive(BeNil()))
	})

	It("returns a single JSON body when no stream is requested", func() {
		_, address, _ := startEngine(fastOptions())
		body := `{"model":"ordering","messages":[{"role":"user","content":"hi"}],"max_tokens":5}`
		resp, err := http.Post("http://"+address+"/v1/chat/completions", "application/json", strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = resp.Body.Close() }()
		var answer Answer
		Expect(json.NewDecoder(resp.Body).Decode(&answer)).To(Succeed())
		Expect(answer.Tokens).To(Equal(ExpectedTokens("ordering", newRequest("", "hi", 0).Messages, 5)))
		Expect(answer.Finish.Reason).To(Equal("length"))
	})

	It("closes all connections without an answer while it refuses", func() {
		s, address, c := startEngine(fastOptions())
		refuse := true
		s.change(controlChange{Refuse: &refuse})
		Expect(target.FailureOf(c.Health(ctx, address)).Crashed).To(BeTrue())
	})

	It("rejects invalid options", func() {
		o := DefaultOptions()
		o.Slots = 0
		_, err := New(o)
		Expect(err).To(MatchError(ContainSubstring("slots is 0")))
	})
})
