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

	// A guest's request arrives behind two batch items at an engine with one
	// slot. The engine knows no priority: the guest waits for both. This is the
	// harm that the system has to keep away from the engines.
	It("admits in order of arrival whatever the urgency", func() {
		o := fast()
		o.Slots = 1
		s, address, c := start(o)
		batch, online := target.WithUrgency(ctx, "batch"), target.WithUrgency(ctx, "online")
		ends := []<-chan error{
			begin(batch, s, c, address, asking("b1", "floor 1", 10)),
			begin(batch, s, c, address, asking("b2", "floor 2", 10)),
			begin(online, s, c, address, asking("o", "breakfast", 10)),
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

	It("frees the slot of a cancelled stream and one whose client went away", func() {
		o := fast()
		o.Slots = 1
		o.BaseStepMs = 2000
		s, address, c := start(o)
		leaving, leave := context.WithCancel(ctx)
		gone := begin(leaving, s, c, address, asking("gone", "a", 0))
		cancelled := begin(ctx, s, c, address, asking("cancelled", "b", 0))
		last := begin(ctx, s, c, address, asking("last", "c", 1))
		leave()
		Eventually(gone, bound).Should(Receive(HaveOccurred()))
		Expect(c.Cancel(ctx, address, "cancelled")).To(Succeed())
		Eventually(cancelled, bound).Should(Receive(MatchError(target.ErrStreamCancelled)))
		Eventually(last, bound).Should(Receive(BeNil()))
		Expect(s.Records()).To(HaveExactElements(HaveField("Ended", EndedCancelled),
			HaveField("Ended", EndedCancelled), HaveField("Ended", EndedFinished)))
	})

	It("saves prefill for a cached prefix, a resumed stream and an imported one", func() {
		_, address, c := start(fast())
		_, other, _ := start(fast())
		long := asking("s", strings.Repeat("menu of the day ", 40), 20)
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

	It("tells cache events late", func() {
		_, address, c := start(fast())
		late := fast()
		late.EventDelayMs = 3_600_000
		_, lateAddress, _ := start(late)
		req := asking("s", strings.Repeat("x", 200), 1)
		for _, a := range []string{address, lateAddress} {
			_, err := c.Generate(ctx, a, req, discard)
			Expect(err).NotTo(HaveOccurred())
		}
		hashes := target.PrefixHashes(req.Messages)
		Eventually(func() ([]target.CacheEvent, error) { return c.CacheEvents(ctx, address, 0) }, bound).
			Should(ContainElement(target.CacheEvent{Seq: 1, Prefix: hashes[len(hashes)-1], Stored: true}))
		Expect(c.CacheEvents(ctx, lateAddress, 0)).To(BeEmpty())
	})

	It("reports its load with a lag", func() {
		now := time.UnixMilli(10_000)
		var h loadHistory
		for i := range 1000 {
			h.add(loadSample{at: now.Add(time.Duration(i) * time.Millisecond), running: i}, 50*time.Millisecond)
		}
		last := now.Add(999 * time.Millisecond)
		Expect(h.samples[h.indexAt(last.Add(-50*time.Millisecond))].running).To(Equal(949))
		Expect(len(h.samples)).To(BeNumerically("<", 200), "what is too old to be shown is dropped")
		Expect(h.indexAt(now.Add(-time.Second))).To(Equal(-1))
	})

	// An operator rolls out a new model. Callers are turned away truthfully while
	// it loads, and afterwards whoever asks for the old model.
	It("refuses while it loads a model, then serves only that model", func() {
		o := fast()
		o.Model = "ordering"
		o.LoadMs = 3_600_000
		s, address, c := start(o)
		before := begin(ctx, s, c, address, asking("before", "x", 3))
		Expect(c.Order(ctx, address, target.Order{Fence: 1, Action: ActionLoadModel, Model: "drawing"})).To(Succeed())
		_, err := c.Generate(ctx, address, asking("during", "x", 3), discard)
		Expect(target.FailureOf(err).Status).To(Equal(http.StatusServiceUnavailable))
		Eventually(before, bound).Should(Receive(BeNil()), "what was admitted is finished")
		s.mu.Lock()
		s.served.loadingUntil = time.Now()
		s.mu.Unlock()
		drawing := asking("after", "x", 3)
		drawing.Model = "drawing"
		_, err = c.Generate(ctx, address, drawing, discard)
		Expect(err).NotTo(HaveOccurred())
		_, err = c.Generate(ctx, address, asking("old", "x", 3), discard)
		Expect(target.FailureOf(err).Status).To(Equal(http.StatusConflict))
	})

	// An engine stops for a while, as one whose host is paused, and goes on: its
	// streams must be whole.
	It("goes on where it stood after being frozen", func() {
		s, address, c := start(fast())
		ended := begin(ctx, s, c, address, asking("s", "x", 0))
		frozen := true
		s.change(controlChange{Frozen: &frozen})
		silent, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
		defer cancel()
		Expect(c.Health(silent, address)).To(MatchError(context.DeadlineExceeded))
		frozen = false
		s.change(controlChange{Frozen: &frozen})
		Eventually(ended, bound).Should(Receive(BeNil()))
	})

	It("answers whole when no stream is asked for", func() {
		_, address, _ := start(fast())
		body := `{"model":"ordering","messages":[{"role":"user","content":"hi"}],"max_tokens":5}`
		resp, err := http.Post("http://"+address+"/v1/chat/completions", "application/json", strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = resp.Body.Close() }()
		var answer Answer
		Expect(json.NewDecoder(resp.Body).Decode(&answer)).To(Succeed())
		Expect(answer.Tokens).To(Equal(ExpectedTokens("ordering", asking("", "hi", 0).Messages, 5)))
		Expect(answer.Finish.Reason).To(Equal("length"))
	})

	It("hangs up on all while it refuses", func() {
		s, address, c := start(fast())
		refuse := true
		s.change(controlChange{Refuse: &refuse})
		Expect(target.FailureOf(c.Health(ctx, address)).Crashed).To(BeTrue())
	})

	It("refuses options that make no sense", func() {
		o := DefaultOptions()
		o.Slots = 0
		_, err := New(o)
		Expect(err).To(MatchError(ContainSubstring("slots is 0")))
	})
})
