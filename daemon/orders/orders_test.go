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

// loaded is one engine of the bench.
type loaded struct {
	version string
	fence   uint64
	loads   bool
	applied []string
}

// bench is a group of engines with the daemons that order them. Time is set by
// the test; the daemons share a clock, as all that matters is its rate. Rounds
// run one after the other, or one inside another's call, so nothing is locked.
type bench struct {
	log    *fakelog.Log
	checks bool
	now    time.Time
	fleet  map[string]*loaded
	// sent tells who gave the orders that were obeyed.
	sent []string
}

func newBench(checks bool, n int) *bench {
	b := &bench{log: fakelog.New(fakelog.Options{}), checks: checks, now: time.Unix(1_800_000_000, 0), fleet: map[string]*loaded{}}
	for i := range n {
		b.fleet[fmt.Sprint("10.0.0.", i, ":1")] = &loaded{version: "1"}
	}
	return b
}

func (b *bench) clock() time.Time { return b.now }

func (b *bench) loadingEnds() {
	for _, e := range b.fleet {
		e.loads = false
	}
}

func (b *bench) loading() (n int) {
	for _, e := range b.fleet {
		if e.loads {
			n++
		}
	}
	return n
}

func (b *bench) config(version string) func() *config.Config {
	g := &config.TargetGroup{Name: "menu-engines", Kind: config.KindEngine, Model: "menu", ChecksOrders: b.checks}
	for address := range b.fleet {
		g.Targets = append(g.Targets, config.Target{Address: address})
	}
	c := &config.Config{
		Version: 1, Groups: map[string]*config.TargetGroup{g.Name: g},
		Models: map[string]*config.Model{"menu": {Name: "menu", Version: version}},
	}
	return func() *config.Config { return c }
}

// daemon is one issuer. Its ledger tells it for ever that it holds the shard.
type daemon struct {
	*Orders
	pause func()
}

func (b *bench) daemon(name string, term uint64, version string) *daemon {
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
			return b.obey(name, address, o)
		}},
	})
	Expect(err).NotTo(HaveOccurred())
	return d
}

func (b *bench) report(address string) (target.LoadReport, error) {
	return target.LoadReport{Model: "menu", Version: b.fleet[address].version}, nil
}

func (b *bench) generate(address string, _ target.GenerateRequest) faketarget.Generation {
	if b.fleet[address].loads {
		return faketarget.Generation{Err: &target.Failure{Busy: true, Status: http.StatusServiceUnavailable}}
	}
	return faketarget.Generation{Tokens: []string{"t"}}
}

func (b *bench) obey(from, address string, o target.Order) error {
	e := b.fleet[address]
	if b.checks && o.Fence < e.fence {
		return &target.Failure{Reached: true, Rejected: true, Status: http.StatusConflict}
	}
	e.fence, e.version, e.loads = o.Fence, o.Version, true
	e.applied = append(e.applied, from)
	b.sent = append(b.sent, from)
	return nil
}

// A planner would see its drawing model go back to an old version: the daemon
// that gave the orders is paused, another one takes the shard over and loads
// the new version, and the old one wakes with its decision still in hand.
// Here the pauses fall between two looks, in any order and as often as you like.
func TestOldIssuerNeverOrdersAfterTheNewOne(t *testing.T) {
	RegisterTestingT(t)
	rapid.Check(t, func(t *rapid.T) {
		b := newBench(rapid.Bool().Draw(t, "the targets check"), rapid.IntRange(2, 8).Draw(t, "targets"))
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
		for _, e := range b.fleet {
			checkOrder(t, e.applied)
		}
		if !b.checks {
			checkOrder(t, b.sent)
			if n := b.loading(); n > max(1, len(b.fleet)/4) {
				t.Fatalf("%d of %d targets load", n, len(b.fleet))
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

	rollOut := func(b *bench, d *daemon) {
		for range 80 {
			d.round(ctx)
			Expect(b.loading()).To(BeNumerically("<=", max(1, len(b.fleet)/4)))
			b.now = b.now.Add(2 * time.Second)
			if b.loading() > 0 && b.now.Unix()%6 == 0 {
				b.loadingEnds()
			}
		}
	}

	It("brings a whole group to the version without taking it away", func() {
		b := newBench(false, 6)
		rollOut(b, b.daemon("a#1", 1, "2"))
		for _, e := range b.fleet {
			Expect(e.version).To(Equal("2"))
			Expect(e.applied).To(HaveLen(1))
		}
	})

	// An engine is moved from one model to another whose issuer's tenure record
	// is older on the stream. It refuses the first order as stale; the rightful
	// issuer must not stay locked out.
	It("renews its fencing number when a target has seen a higher one", func() {
		b := newBench(true, 2)
		Expect(b.log.Append(ctx, Stream, []byte("not a claim"))).To(BeZero())
		for _, e := range b.fleet {
			e.fence = 2<<20 + 5
		}
		d := b.daemon("a#1", 1, "2")
		rollOut(b, d)
		for _, e := range b.fleet {
			Expect(e.version).To(Equal("2"))
		}
		Expect(d.meter.failed.Get()).To(BeEquivalentTo(1))
	})

	// The remaining window: the issuer is paused after its last look at the
	// clock, in the middle of the call. The order arrives when another daemon has
	// given its own. A target that checks refuses it; one that ignores the
	// fencing number obeys, and the old issuer tells so when it wakes.
	DescribeTable("a pause between the check and the send", func(checks bool, version string) {
		b := newBench(checks, 1)
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
		Expect(b.fleet["10.0.0.0:1"].version).To(Equal(version))
		Expect(old.meter.outlived.Get()).To(BeEquivalentTo(1))
	},
		Entry("is closed where targets check", true, "2"),
		Entry("is open and logged where they do not", false, "1b"),
	)

	It("gives no order without weights, nor while the log cannot prove the tenure", func() {
		b := newBench(true, 3)
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
