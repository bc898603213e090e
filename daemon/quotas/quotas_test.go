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

// timeout bounds the waits for expected events.
const timeout = 10 * time.Second

// fakeNetwork delivers calls to daemons by their address, except to and from those that are
// cut off.
type fakeNetwork struct {
	mu      sync.Mutex
	daemons map[string]any
	cut     map[string]bool
}

// endpoint is the network as one daemon uses it.
type endpoint struct {
	*fakeNetwork
	self string
}

func (f endpoint) Call(_ context.Context, address, method string, args, reply any) error {
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

func (f endpoint) Notify(address, method string, args any) {
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

func (f endpoint) Register(_ string, receiver any) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.daemons[f.self] = receiver
	return nil
}

func (f *fakeNetwork) setCut(daemons ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = map[string]bool{}
	for _, d := range daemons {
		f.cut[d] = true
	}
}

// fakeLeaders is one daemon's view of the leaders.
type fakeLeaders struct {
	mu     sync.Mutex
	leader string
	others []string
}

func (v *fakeLeaders) Leader() (string, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.leader, v.leader != ""
}

func (v *fakeLeaders) OtherLeaders() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]string(nil), v.others...)
}

func (v *fakeLeaders) RecordCall(string, error, bool) {}

func (v *fakeLeaders) set(leader string, others ...string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.leader, v.others = leader, others
}

var _ = Describe("Quotas of a fleet", func() {
	var (
		network *fakeNetwork
		views   []*fakeLeaders
		fleet   []*Quotas
		sets    []*metrics.Set
		set     atomic.Pointer[accounts.Set]
		// count is the fleet size as the daemons know it.
		count atomic.Int64
	)
	// setRate sets the hotel's quota to a rate, with a burst of 30.
	setRate := func(rate float64) {
		list, _ := accounts.NewSet([]accounts.Entry{
			{Account: accounts.Account{Name: "hotel", Quota: accounts.Quota{Rate: rate, Burst: 30}}},
			{Account: accounts.Account{Name: "free"}},
		})
		set.Store(list)
	}
	// Daemons 0 to 2 are in one zone, 3 to 5 in another; 0 and 3 lead.
	BeforeEach(func() {
		network = &fakeNetwork{daemons: map[string]any{}}
		views, fleet, sets = nil, nil, nil
		setRate(0.01)
		count.Store(6)
		for i := range 6 {
			self := fmt.Sprint("d", i)
			sets = append(sets, metrics.NewSet())
			v := &fakeLeaders{}
			v.set(fmt.Sprint("d", i/3*3), fmt.Sprint("d", 3-i/3*3))
			q := New(Options{Self: self, Leaders: v, FleetSize: func() int { return int(count.Load()) }, Accounts: set.Load,
				Peers: endpoint{network, self}, Tolerance: quota.Tolerance{Window: time.Second, Slack: 12}, Logger: zap.NewNop(), Metrics: sets[i]})
			Expect(q.Register(endpoint{network, self})).To(Succeed())
			views, fleet = append(views, v), append(fleet, q)
		}
	})
	// tick runs a tick of all daemons at a time after their start.
	tick := func(after time.Duration) {
		for _, q := range fleet {
			q.tick(q.started.Add(after))
		}
	}
	take := func(i int, account string) *outcome.Refusal {
		_, refusal := fleet[i].Take(context.Background(), account)
		return refusal
	}
	// takeAll takes all tokens through the given daemons and returns their number.
	takeAll := func(daemons ...int) int {
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
	// awaitVotes ticks until each leader holds the votes of its zone, and with them its share
	// of the allowed overshoot.
	awaitVotes := func() {
		tick(startupTickInterval)
		tick(2 * startupTickInterval)
		for _, i := range []int{0, 3} {
			Expect(weight(i)).To(Equal(0.5))
		}
	}

	It("admit requests that need no token", func() {
		Expect(take(0, "")).To(BeNil())
		Expect(take(0, "free")).To(BeNil())
		Expect(take(0, "gone")).To(BeNil())
	})

	// A hotel floods the fleet through daemons of both zones right after all of them have
	// started: half of the allowed overshoot is available and no burst, and the rest gets 429.
	It("share one bound among all daemons", func() {
		awaitVotes()
		Expect(takeAll(1, 2, 4, 5, 0, 3)).To(And(BeNumerically(">=", 6), BeNumerically("<=", 12)))
		refusal := take(1, "hotel")
		Expect(refusal.Code).To(Equal(outcome.CallerLimit))
		Expect(refusal.Run).To(Equal(outcome.NotRun))
		Expect(refusal.RetryAfterMs).To(BeNumerically(">", 0))
	})

	It("do not count a request that no target ran", func() {
		awaitVotes()
		takeAll(0, 3)
		token, refusal := Token{}, (*outcome.Refusal)(nil)
		fleet[1].Refund(token)
		Expect(take(2, "hotel")).NotTo(BeNil())
		setRate(50)
		Eventually(func() *outcome.Refusal {
			token, refusal = fleet[1].Take(context.Background(), "hotel")
			return refusal
		}).WithTimeout(timeout).Should(BeNil())
		setRate(0.01)
		takeAll(0, 3)
		fleet[1].Refund(token)
		Eventually(func() *outcome.Refusal { return take(2, "hotel") }).WithTimeout(timeout).Should(BeNil())
	})

	// All of the hotel's callers are in one zone. They also get the other zone's tokens.
	It("move tokens to the zone that needs them", func() {
		awaitVotes()
		Expect(takeAll(1)).To(And(BeNumerically(">=", 6), BeNumerically("<=", 12)))
		Expect(takeAll(4)).To(BeZero())
	})

	// A zone loses its leader for a moment. Its daemons request tokens from another zone's
	// leader, and no request of the hotel is refused because of that.
	It("are counted by another zone's leader where the local one is lost", func() {
		awaitVotes()
		network.setCut("d0")
		Expect(take(1, "hotel")).To(BeNil())
	})

	// A daemon is partitioned from all others. Without them it may admit only its share of
	// the allowed overshoot. Further callers are told to try another daemon, and not that the
	// account is over its quota, which this daemon can't know.
	It("refuse truly where nobody is reached", func() {
		awaitVotes()
		network.setCut("d5")
		views[5].set("")
		refusal := (*outcome.Refusal)(nil)
		Eventually(func() *outcome.Refusal { refusal = take(5, "hotel"); return refusal }).WithTimeout(timeout).ShouldNot(BeNil())
		Expect(refusal.Code).To(Equal(outcome.NoOwner))
		Expect(refusal.Run).To(Equal(outcome.NotRun))
		Expect(refusal.RetryAfterMs).To(BeNumerically(">", 0))
	})

	// All daemons start at once. None knows a leader or the others yet. One that assumed that
	// it is the leader, or the whole fleet, would give out more than its share, or bind its
	// vote, which the elected leader would then lack.
	It("wait for a leader before a daemon counts by itself", func() {
		known := [6]string{}
		for i, v := range views {
			known[i], _ = v.Leader()
			v.set("")
		}
		count.Store(0)
		for after := startupTickInterval; after < selfVoteAfter; after += startupTickInterval {
			tick(after)
			Expect(weight(0) + weight(1)).To(BeZero())
		}
		count.Store(6)
		for i, v := range views {
			v.set(known[i], "d0", "d3")
		}
		tick(selfVoteAfter)
		tick(selfVoteAfter + startupTickInterval)
		Expect(weight(0)).To(Equal(0.5))
		Expect(weight(3)).To(Equal(0.5))
	})

	It("let a daemon count on its own once it has known no leader for long", func() {
		views[5].set("")
		q := fleet[5]
		q.tick(q.started.Add(selfVoteAfter))
		Expect(weight(5)).To(BeZero())
		q.tick(q.started.Add(selfVoteAfter + startupTickInterval))
		Expect(weight(5)).To(Equal(1.0 / 6))
	})

	It("return votes when a leader stops, so that the next one has them at once", func() {
		awaitVotes()
		fleet[0].StepDown()
		for i := range 3 {
			views[i].set("d1", "d3")
		}
		tick(4 * startupTickInterval)
		tick(5 * startupTickInterval)
		Expect(weight(1)).To(Equal(0.5))
		Expect(weight(0)).To(BeZero())
	})
})
