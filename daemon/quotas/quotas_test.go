package quotas

import (
	"context"
	"fmt"
	"reflect"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/accounts"
	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/core/quota"
	"tarragonhollow.example/tarragonhollow/peer"
)

func TestQuotas(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quotas")
}

// limit bounds what is expected to come.
const limit = 10 * time.Second

// wire calls daemons by their address; those that are cut reach nobody.
type wire struct {
	mu      sync.Mutex
	daemons map[string]any
	cut     map[string]bool
}

// from is the wire as one daemon uses it.
type from struct {
	*wire
	self string
}

func (f from) Call(_ context.Context, address, method string, args, reply any) error {
	f.mu.Lock()
	to := f.daemons[address]
	if f.cut[address] || f.cut[f.self] {
		to = nil
	}
	f.mu.Unlock()
	if to == nil {
		return peer.Unreachable.New("%s", address)
	}
	_, name, _ := strings.Cut(method, ".")
	out := reflect.ValueOf(to).MethodByName(name).Call([]reflect.Value{reflect.ValueOf(args), reflect.ValueOf(reply)})
	err, _ := out[0].Interface().(error)
	return err
}

func (f from) Notify(address, method string, args any) {
	_, name, _ := strings.Cut(method, ".")
	f.mu.Lock()
	to := f.daemons[address]
	if f.cut[address] || f.cut[f.self] {
		to = nil
	}
	f.mu.Unlock()
	if to == nil {
		return
	}
	m := reflect.ValueOf(to).MethodByName(name)
	m.Call([]reflect.Value{reflect.ValueOf(args), reflect.New(m.Type().In(1).Elem())})
}

func (f from) Register(_ string, receiver any) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.daemons[f.self] = receiver
	return nil
}

func (w *wire) setCut(daemons ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = map[string]bool{}
	for _, d := range daemons {
		w.cut[d] = true
	}
}

// view is what a daemon knows of the leaders.
type view struct {
	mu     sync.Mutex
	leader string
	others []string
}

func (v *view) Leader() (string, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.leader, v.leader != ""
}

func (v *view) OtherLeaders() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]string(nil), v.others...)
}

func (v *view) NoteCall(string, error, bool) {}

func (v *view) set(leader string, others ...string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.leader, v.others = leader, others
}

var _ = Describe("Quotas of a fleet", func() {
	var (
		w     *wire
		views []*view
		fleet []*Quotas
		sets  []*metrics.Set
		set   atomic.Pointer[accounts.Set]
		// count is how many daemons there are as far as known.
		count atomic.Int64
	)
	// limited has the hotel's quota changed to a rate, and a burst of 30.
	limited := func(rate float64) {
		list, _ := accounts.NewSet([]accounts.Entry{
			{Account: accounts.Account{Name: "hotel", Quota: accounts.Quota{Rate: rate, Burst: 30}}},
			{Account: accounts.Account{Name: "free"}},
		})
		set.Store(list)
	}
	// Daemons 0 to 2 are in one zone, 3 to 5 in another; 0 and 3 lead.
	BeforeEach(func() {
		w = &wire{daemons: map[string]any{}}
		views, fleet, sets = nil, nil, nil
		limited(0.01)
		count.Store(6)
		for i := range 6 {
			self := fmt.Sprint("d", i)
			sets = append(sets, metrics.NewSet())
			v := &view{}
			v.set(fmt.Sprint("d", i/3*3), fmt.Sprint("d", 3-i/3*3))
			q := New(Options{Self: self, Leaders: v, Fleet: func() int { return int(count.Load()) }, Accounts: set.Load,
				Peers: from{w, self}, Terms: quota.Terms{Window: time.Second, Slack: 12}, Logger: zap.NewNop(), Metrics: sets[i]})
			Expect(q.Register(from{w, self})).To(Succeed())
			views, fleet = append(views, v), append(fleet, q)
		}
	})
	// tick has all daemons look who leads, and tell it, at a moment after their start.
	tick := func(after time.Duration) {
		for _, q := range fleet {
			q.tick(q.started.Add(after))
		}
	}
	take := func(i int, account string) *outcome.Refusal {
		_, refusal := fleet[i].Take(context.Background(), account)
		return refusal
	}
	// drain takes all tokens through the given daemons and counts them.
	drain := func(daemons ...int) int {
		n := 0
		for _, i := range daemons {
			for take(i, "hotel") == nil {
				n++
				Expect(n).To(BeNumerically("<", 100))
			}
		}
		return n
	}
	weight := func(i int) float64 { return sets[i].GetOrCreateGauge("tarragonhollow_quota_weight", nil).Get() }
	// whole waits until each leader holds the votes of its zone, and with them its part
	// of the spare.
	whole := func() {
		tick(startTick)
		tick(2 * startTick)
		for _, i := range []int{0, 3} {
			Expect(weight(i)).To(Equal(0.5))
		}
	}

	It("let requests through that need no token", func() {
		Expect(take(0, "")).To(BeNil())
		Expect(take(0, "free")).To(BeNil())
		Expect(take(0, "gone")).To(BeNil())
	})

	// A hotel floods the fleet through daemons of both zones right after all of them
	// have started: half of the spare is there, no burst, and 429 says so.
	It("are one bound for all daemons", func() {
		whole()
		Expect(drain(1, 2, 4, 5, 0, 3)).To(And(BeNumerically(">=", 6), BeNumerically("<=", 12)))
		refusal := take(1, "hotel")
		Expect(refusal.Code).To(Equal(outcome.CallerLimit))
		Expect(refusal.Run).To(Equal(outcome.NotRun))
		Expect(refusal.RetryAfterMs).To(BeNumerically(">", 0))
	})

	It("count a request not that no target ran", func() {
		whole()
		drain(0, 3)
		leave, refusal := Leave{}, (*outcome.Refusal)(nil)
		fleet[1].Back(leave)
		Expect(take(2, "hotel")).NotTo(BeNil())
		limited(50)
		Eventually(func() *outcome.Refusal {
			leave, refusal = fleet[1].Take(context.Background(), "hotel")
			return refusal
		}).WithTimeout(limit).Should(BeNil())
		limited(0.01)
		drain(0, 3)
		fleet[1].Back(leave)
		Eventually(func() *outcome.Refusal { return take(2, "hotel") }).WithTimeout(limit).Should(BeNil())
	})

	// All of the hotel's callers are in one zone. The tokens of the other zone serve them.
	It("move tokens to the zone that needs them", func() {
		whole()
		Expect(drain(1)).To(And(BeNumerically(">=", 6), BeNumerically("<=", 12)))
		Expect(drain(4)).To(BeZero())
	})

	// A zone loses its leader for a moment. Its daemons ask another zone's leader, and no
	// request of the hotel is refused for that.
	It("are counted by another zone's leader where the own one is gone", func() {
		whole()
		w.setCut("d0")
		Expect(take(1, "hotel")).To(BeNil())
	})

	// A daemon is cut off from all others. What it may let through alone is its part of
	// the spare; whoever comes beyond that is told to go elsewhere, and not that the
	// account is over its quota, which the daemon can't know.
	It("refuse truly where nobody is reached", func() {
		whole()
		w.setCut("d5")
		views[5].set("")
		refusal := (*outcome.Refusal)(nil)
		Eventually(func() *outcome.Refusal { refusal = take(5, "hotel"); return refusal }).WithTimeout(limit).ShouldNot(BeNil())
		Expect(refusal.Code).To(Equal(outcome.NoOwner))
		Expect(refusal.Run).To(Equal(outcome.NotRun))
		Expect(refusal.RetryAfterMs).To(BeNumerically(">", 0))
	})

	// All daemons start at once. None knows a leader yet, nor the others. One that took
	// itself for the leader, or for the whole fleet, would give out what is not its part,
	// or bind its vote, which the leader that comes forward then lacks.
	It("wait for a leader before a daemon counts by itself", func() {
		known := [6]string{}
		for i, v := range views {
			known[i], _ = v.Leader()
			v.set("")
		}
		count.Store(0)
		for after := startTick; after < aloneAfter; after += startTick {
			tick(after)
			Expect(weight(0) + weight(1)).To(BeZero())
		}
		count.Store(6)
		for i, v := range views {
			v.set(known[i], "d0", "d3")
		}
		tick(aloneAfter)
		tick(aloneAfter + startTick)
		Expect(weight(0)).To(Equal(0.5))
		Expect(weight(3)).To(Equal(0.5))
	})

	It("count a daemon by itself that has known no leader for long", func() {
		views[5].set("")
		q := fleet[5]
		q.tick(q.started.Add(aloneAfter))
		Expect(weight(5)).To(BeZero())
		q.tick(q.started.Add(aloneAfter + startTick))
		Expect(weight(5)).To(Equal(1.0 / 6))
	})

	It("give votes back when a leader stops, so that the next one has them at once", func() {
		whole()
		fleet[0].StepDown()
		for i := range 3 {
			views[i].set("d1", "d3")
		}
		tick(4 * startTick)
		tick(5 * startTick)
		Expect(weight(1)).To(Equal(0.5))
		Expect(weight(0)).To(BeZero())
	})
})
