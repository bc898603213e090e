package steward

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/admission"
	"tarragonhollow.example/tarragonhollow/core/config"
	"tarragonhollow.example/tarragonhollow/standin/engine"
	"tarragonhollow.example/tarragonhollow/target"
)

// queueObserver wraps the engine client and knows, at each start, how many requests are in
// flight at that engine.
type queueObserver struct {
	target.Engine
	mu      sync.Mutex
	running map[string]int
	batch   int
	// queued counts the starts at an engine with all slots in use, by urgency.
	queued map[string]int
}

func (w *queueObserver) Generate(ctx context.Context, address string, req target.GenerateRequest, sink func(target.Token) error) (target.Finish, error) {
	urgency := target.UrgencyFrom(ctx)
	w.change(func() {
		if w.running[address] >= observedSlots {
			w.queued[urgency]++
		}
		if urgency == target.UrgencyBatch {
			w.batch++
		}
		w.running[address]++
	})
	defer w.change(func() { w.running[address]-- })
	return w.Engine.Generate(ctx, address, req, sink)
}

func (w *queueObserver) change(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

const observedSlots = 4

var _ = Describe("an online request while batch saturates every target", func() {
	// Engines serve requests first come, first served, so one batch item in an engine's
	// queue would delay an online request. The steward must never send an item that has to
	// queue, and online requests must not share connections with batch either.
	It("is never behind a batch item, in the engine's queue or for a connection", func() {
		var addresses []string
		var onlineCalls atomic.Int64
		for range 2 {
			options := engine.DefaultOptions()
			options.Slots, options.TimeScale = observedSlots, 10
			server, err := engine.New(options)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(server.Close)
			front := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
				if r.Header.Get(target.HeaderUrgency) == target.UrgencyOnline {
					onlineCalls.Add(1)
				}
				server.Handler().ServeHTTP(rw, r)
			}))
			DeferCleanup(front.Close)
			addresses = append(addresses, strings.TrimPrefix(front.URL, "http://"))
		}
		connections := target.DefaultClientOptions()
		connections.BatchConnections = observedSlots - 1
		client := target.NewEngineClient(connections)
		DeferCleanup(client.Close)
		b := newBench(observedSlots, addresses...)
		w := &queueObserver{Engine: client, running: map[string]int{}, queued: map[string]int{}}
		b.opts.Engine = w
		b.opts.PolicyOf = func(*config.TargetGroup) admission.Policy {
			p := admission.DefaultPreemptive()
			p.Fill = observedSlots - 1
			return p
		}
		for i := range 400 {
			b.ledger.add("c/j", "night", strconv.Itoa(i))
		}
		b.start()
		saturated := func() (all bool) {
			w.change(func() {
				all = w.running[addresses[0]] >= observedSlots-1 && w.running[addresses[1]] >= observedSlots-1
			})
			return all
		}
		for burst := range 3 {
			Eventually(saturated, eventuallyTimeout).Should(BeTrue())
			b.online(1)
			var group sync.WaitGroup
			for _, address := range addresses {
				group.Go(func() { sendOnline(w, address, burst) })
			}
			group.Wait()
			b.online(0)
		}
		By("an online request whose signal is lost, while batch holds all its connections indefinitely")
		Eventually(saturated, eventuallyTimeout).Should(BeTrue())
		before := onlineCalls.Load()
		freeze(addresses[0], true)
		DeferCleanup(freeze, addresses[0], false)
		var group sync.WaitGroup
		group.Go(func() { sendOnline(w, addresses[0], 99) })
		Eventually(onlineCalls.Load, eventuallyTimeout).Should(Equal(before+1), "the online request reached the engine")
		freeze(addresses[0], false)
		group.Wait()
		Expect(w.batch).To(BeNumerically(">", 2*observedSlots), "batch did run")
		Expect(w.queued).To(BeEmpty(), "starts at an engine with all slots in use")
	})
})

// sendOnline sends one online request and waits for its complete answer.
func sendOnline(engine target.Engine, address string, n int) {
	defer GinkgoRecover()
	ctx := target.WithUrgency(context.Background(), target.UrgencyOnline)
	_, err := engine.Generate(ctx, address, target.GenerateRequest{
		StreamID: "click/" + strconv.Itoa(n), Model: "m", MaxTokens: 8,
		Messages: []target.Message{{Role: "user", Content: "which sheet is current?"}},
	}, func(target.Token) error { return nil })
	Expect(err).NotTo(HaveOccurred())
}

func freeze(address string, frozen bool) {
	body := strings.NewReader(`{"frozen":` + strconv.FormatBool(frozen) + `}`)
	req, err := http.NewRequest(http.MethodPut, "http://"+address+"/control", body)
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.Body.Close()).To(Succeed())
}
