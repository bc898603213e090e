package orders

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"tarragonhollow.example/tarragonhollow/core/config"
	"tarragonhollow.example/tarragonhollow/core/membership"
	"tarragonhollow.example/tarragonhollow/core/shard"
	"tarragonhollow.example/tarragonhollow/extern"
	"tarragonhollow.example/tarragonhollow/extern/fakelog"
	"tarragonhollow.example/tarragonhollow/target"
	"tarragonhollow.example/tarragonhollow/target/faketarget"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func TestOrders(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "daemon/orders")
}

const shards = 8

var menuShard = shard.Of(modelKey+"menu", shards)

type view struct{ membership.View }

func (view) TargetLeaving(string) bool { return false }

type weights struct{}

func (weights) Weights(_ context.Context, _, version string) (extern.Weights, error) {
	if version == "none" {
		return extern.Weights{}, extern.NotFound.New("no such version")
	}
	return extern.Weights{Bytes: 1}, nil
}

// fakeEngine is one engine of a testGroup.
type fakeEngine struct {
	version string
	fence   uint64
	loading bool
	applied []string
}

// testGroup is a group of engines with the daemons that send them orders. The test sets the
// time. The daemons share a clock, since only its rate matters. Rounds run one after the
// other, or one inside a call of another, so no lock is needed.
type testGroup struct {
	log     *fakelog.Log
	checks  bool
	now     time.Time
	engines map[string]*fakeEngine
	// sent lists the issuers of the orders that were applied, in their sequence.
	sent []string
}

func newTestGroup(checks bool, n int) *testGroup {
	b := &testGroup{log: fakelog.New(fakelog.Options{}), checks: checks, now: time.Unix(1_800_000_000, 0), engines: map[string]*fakeEngine{}}
	for i := range n {
		b.engines[fmt.Sprint("10.0.0.", i, ":1")] = &fakeEngine{version: "1"}
	}
	return b
}

func (b *testGroup) clock() time.Time { return b.now }

func (b *testGroup) loadingEnds() {
	for _, e := range b.engines {
		e.loading = false
	}
}

func (b *testGroup) loading() (n int) {
	for _, e := range b.engines {
		if e.loading {
			n++
		}
	}
	return n
}

func (b *testGroup) config(version string) func() *config.Config {
	g := &config.TargetGroup{Name: "menu-engines", Kind: config.KindEngine, Model: "menu", ChecksOrders: b.checks}
	for address := range b.engines {
		g.Targets = append(g.Targets, config.Target{Address: address})
	}
	c := &config.Config{
		Version: 1, Groups: map[string]*config.TargetGroup{g.Name: g},
		Models: map[string]*config.Model{"menu": {Name: "menu", Version: version}},
	}
	return func() *config.Config { return c }
}

// daemon is one issuer. Its ledger always reports that it holds the shard.
type daemon struct {
	*Orders
	pause func()
}

func (b *testGroup) daemon(name string, term uint64, version string) *daemon {
	d := &daemon{}
	lead, err := NewLogLeadership(LeadershipOptions{
		Holds: func() []membership.ShardHold { return []membership.ShardHold{{Shard: menuShard, Term: term}} },
		Self:  name, Log: b.log, Clock: b.clock,
	})
	Expect(err).NotTo(HaveOccurred())
	d.Orders, err = New(Options{
		Config: b.config(version), View: view{}, Leadership: lead, Weights: weights{}, Shards: shards, Clock: b.clock,
		Engine: &faketarget.Engine{OnLoad: b.report, OnGenerate: b.generate, OnOrder: func(address string, o target.Order) error {
			if d.pause != nil {
				d.pause()
			}
			return b.applyOrder(name, address, o)
		}},
	})
	Expect(err).NotTo(HaveOccurred())
	return d
}

func (b *testGroup) report(address string) (target.LoadReport, error) {
	return target.LoadReport{Model: "menu", Version: b.engines[address].version}, nil
}

func (b *testGroup) generate(address string, _ target.GenerateRequest) faketarget.Generation {
	if b.engines[address].loading {
		return faketarget.Generation{Err: &target.Failure{Busy: true, Status: http.StatusServiceUnavailable}}
	}
	return faketarget.Generation{Tokens: []string{"t"}}
}

func (b *testGroup) applyOrder(from, address string, o target.Order) error {
	e := b.engines[address]
	if b.checks && o.Fence < e.fence {
		return &target.Failure{Reached: true, Rejected: true, Status: http.StatusConflict}
	}
	e.fence, e.version, e.loading = o.Fence, o.Version, true
	e.applied = append(e.applied, from)
	b.sent = append(b.sent, from)
	return nil
}

// Guards against a model that goes back to an old version: the issuing daemon is paused,
// another daemon takes the shard over and loads the new version, and the old one resumes and
// sends what it had decided before. In this test the pauses fall between two rounds, in any
// sequence and any number.
func TestOldIssuerNeverOrdersAfterTheNewOne(t *testing.T) {
	RegisterTestingT(t)
	rapid.Check(t, func(t *rapid.T) {
		b := newTestGroup(rapid.Bool().Draw(t, "the targets check"), rapid.IntRange(2, 8).Draw(t, "targets"))
		issuers := []*daemon{b.daemon("old#1", 3, "1b"), b.daemon("new#1", 4, "2")}
		for range rapid.IntRange(50, 150).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				b.now = b.now.Add(time.Duration(rapid.Int64Range(1, 4_000).Draw(t, "ms")) * time.Millisecond)
			case 1:
				b.loadingEnds()
			case 2:
				issuers[0].round(context.Background())
			default:
				issuers[1].round(context.Background())
			}
		}
		for _, e := range b.engines {
			checkOrder(t, e.applied)
		}
		if !b.checks {
			checkOrder(t, b.sent)
			if n := b.loading(); n > max(1, len(b.engines)/4) {
				t.Fatalf("%d of %d targets load", n, len(b.engines))
			}
		}
	})
}

func checkOrder(t *rapid.T, from []string) {
	for i := 1; i < len(from); i++ {
		if from[i-1] == "new#1" && from[i] == "old#1" {
			t.Fatalf("orders by %v", from)
		}
	}
}

var _ = Describe("orders", func() {
	ctx := context.Background()

	rollOut := func(b *testGroup, d *daemon) {
		for range 80 {
			d.round(ctx)
			Expect(b.loading()).To(BeNumerically("<=", max(1, len(b.engines)/4)))
			b.now = b.now.Add(2 * time.Second)
			if b.loading() > 0 && b.now.Unix()%6 == 0 {
				b.loadingEnds()
			}
		}
	}

	It("changes a whole group to the new version while most of its targets keep serving", func() {
		b := newTestGroup(false, 6)
		rollOut(b, b.daemon("a#1", 1, "2"))
		for _, e := range b.engines {
			Expect(e.version).To(Equal("2"))
			Expect(e.applied).To(HaveLen(1))
		}
	})

	// An engine is moved to another model, whose issuer has an older tenure record on the
	// stream. The engine refuses the first order as stale. The issuer must get a higher
	// fencing number, or it would never be able to send the engine an order.
	It("renews its fencing number when a target has received a higher one", func() {
		b := newTestGroup(true, 2)
		Expect(b.log.Append(ctx, Stream, []byte("not a claim"))).To(BeZero())
		for _, e := range b.engines {
			e.fence = 2<<20 + 5
		}
		d := b.daemon("a#1", 1, "2")
		rollOut(b, d)
		for _, e := range b.engines {
			Expect(e.version).To(Equal("2"))
		}
		Expect(d.meter.failed.Get()).To(BeEquivalentTo(1))
	})

	// The remaining window: the issuer is paused during the call, after its last check of
	// the clock. Its order arrives after another daemon has sent one. A target that checks
	// fencing numbers refuses the order. A target that ignores them applies it, and the old
	// issuer logs this when it resumes.
	DescribeTable("a pause between the check and the send", func(checks bool, version string) {
		b := newTestGroup(checks, 1)
		old, successor := b.daemon("old#1", 3, "1b"), b.daemon("new#1", 4, "2")
		old.pause = func() {
			for range 10 {
				successor.round(ctx)
				b.now = b.now.Add(2 * time.Second)
			}
			Expect(b.sent).To(Equal([]string{"new#1"}))
			b.loadingEnds()
		}
		old.round(ctx)
		Expect(b.engines["10.0.0.0:1"].version).To(Equal(version))
		Expect(old.meter.outlived.Get()).To(BeEquivalentTo(1))
	},
		Entry("has no effect if targets check fencing numbers", true, "2"),
		Entry("takes effect and is logged if they do not", false, "1b"),
	)

	It("sends no order without weights, nor while the log can't prove the tenure", func() {
		b := newTestGroup(true, 3)
		b.log.SetOutage(true)
		d := b.daemon("a#1", 1, "2")
		rollOut(b, d)
		Expect(b.sent).To(BeEmpty())
		b.log.SetOutage(false)
		rollOut(b, b.daemon("b#1", 1, "none"))
		Expect(b.log.Appends()).To(BeZero(), "a version that the store lacks costs no append")
		b.log.LoseAnswers(1)
		rollOut(b, d)
		Expect(b.sent).To(HaveLen(3))
	})
})
