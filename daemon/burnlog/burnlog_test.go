package burnlog

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/api"
	"tarragonhollow.example/tarragonhollow/core/burn"
	"tarragonhollow.example/tarragonhollow/core/config"
	"tarragonhollow.example/tarragonhollow/core/ledger"
	"tarragonhollow.example/tarragonhollow/core/membership"
	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/extern/fakelog"
	"tarragonhollow.example/tarragonhollow/target"
)

func TestBurnlog(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "daemon/burnlog")
}

var cfg = &config.Config{
	Version: 1,
	Profiles: map[string]*config.Profile{
		"desk": {Name: "desk", SLO: config.SLO{Availability: 0.99, FirstToken: 100 * time.Millisecond,
			BetweenTokens: 20 * time.Millisecond, LatencyShare: 0.95}},
		"night": {Name: "night", Urgency: config.Batch, SLO: config.SLO{DueShare: 0.9}},
	},
	Groups: map[string]*config.TargetGroup{"menu-engines": {Name: "menu-engines", Kind: config.KindEngine, Model: "menu"}},
}

// fleet is a set of daemons that call each other directly.
type fleet struct {
	log          *fakelog.Log
	trimmedTo    int64
	now          time.Time
	services     map[string]*service
	notAnswering map[string]bool
	members      []membership.Member
}

type peerView struct {
	membership.View
	f    *fleet
	self membership.Member
}

func (v peerView) First(key string) (membership.Member, bool) {
	return membership.FirstOf(v.Successors(key))
}

func (v peerView) Successors(string) []membership.Member { return v.Members() }

func (v peerView) LiveID(id string) bool {
	return slices.ContainsFunc(v.Members(), func(m membership.Member) bool { return m.ID() == id })
}

func (v peerView) Self() membership.Member      { return v.self }
func (v peerView) Members() []membership.Member { return v.f.members }

// Register and Call let a daemon's view also serve as its peer server and client.
func (v peerView) Register(_ string, receiver any) error {
	v.f.services[v.self.Host] = receiver.(*service)
	return nil
}

func (v peerView) Notify(string, string, any) {}

func (v peerView) Call(ctx context.Context, address, _ string, _, reply any) error {
	if v.f.notAnswering[address] {
		<-ctx.Done()
		return ctx.Err()
	}
	return v.f.services[address].Summaries(SummariesRequest{}, reply.(*SummariesReply))
}

func (f *fleet) clock() time.Time { return f.now }

func (f *fleet) add(host string) *Collector {
	m := membership.Member{Host: host, Incarnation: uint64(len(f.services) + 1), PeerAddress: host}
	f.members = append(f.members, m)
	v := peerView{f: f, self: m}
	c, err := New(Options{Log: f.log, View: v, Peer: v, Registrar: v, Clock: f.clock, PeerWait: 20 * time.Millisecond,
		Config: func() *config.Config { return cfg }})
	Expect(err).NotTo(HaveOccurred())
	return c
}

// kill removes a daemon from the view of all daemons.
func (f *fleet) kill(host string) {
	for i, m := range f.members {
		if m.Host == host {
			f.members = append(f.members[:i:i], f.members[i+1:]...)
			return
		}
	}
}

func count(c *Collector, n int, o burn.Outcome) {
	for range n {
		c.record(burn.Event{AtMs: c.nowMs(), Profile: "desk", Group: "menu-engines", Outcome: o, Reason: "no_target"})
	}
}

// drainQueue counts the queued events, as recordLoop does.
func drainQueue(c *Collector) {
	for c.events.Len() > 0 {
		c.record(<-c.events.C())
	}
}

func find(r FleetReport, profile, objective string) burn.ObjectiveReport {
	for _, p := range r.Profiles {
		for _, o := range p.Objectives {
			if p.Profile == profile && o.Objective == objective {
				return o
			}
		}
	}
	Fail("no objective " + objective)
	return burn.ObjectiveReport{}
}

// totals returns the counts of the one-hour window.
func totals(r FleetReport, profile, objective string) [2]uint64 {
	w := find(r, profile, objective).Windows[2]
	return [2]uint64{w.Total, w.Bad}
}

var _ = Describe("burn of the fleet", func() {
	ctx := context.Background()
	var f *fleet
	var a, b, c *Collector
	report := func() FleetReport {
		r, err := a.Report(ctx)
		Expect(err).NotTo(HaveOccurred())
		return r
	}

	BeforeEach(func() {
		f = &fleet{log: fakelog.New(fakelog.Options{}), now: time.Unix(1_800_000_000, 0),
			services: map[string]*service{}, notAnswering: map[string]bool{}}
		a, b, c = f.add("a"), f.add("b"), f.add("c")
	})

	// Guards against a report without errors after the loss of the host at which all
	// failed requests were. The host had appended its counts to the log before. The
	// responses to two of its appends were lost, so the log has the same counts three
	// times.
	It("includes the counts of a killed daemon once", func() {
		count(a, 5, burn.OK)
		count(b, 3, burn.Failed)
		f.log.LoseAnswers(2)
		for range 2 {
			_, err := b.appendNext(ctx)
			Expect(err).To(HaveOccurred())
		}
		count(b, 1, burn.Failed)
		Expect(b.appendNext(ctx)).To(BeFalse())
		Expect(f.log.Records(Stream)).To(HaveLen(3))
		Expect(totals(report(), "desk", "availability")).To(Equal([2]uint64{9, 4}))
		f.kill("b")
		r := report()
		Expect(totals(r, "desk", "availability")).To(Equal([2]uint64{9, 4}))
		Expect(find(r, "desk", "availability").Alert).To(Equal(burn.FastAlert))
		Expect(r.NotAnswering).To(BeEmpty())
		Expect(r.LogComplete).To(BeTrue())
	})

	// A host is paused when an operator requests the report. The report must come in time,
	// list the host, and include the counts that the host appended before.
	It("lists a daemon that does not respond, and shows that the log is unreachable", func() {
		count(c, 2, burn.OK)
		Expect(c.Drain(ctx)).To(Succeed())
		count(c, 7, burn.OK)
		f.notAnswering["c"] = true
		r := report()
		Expect(r.NotAnswering).To(Equal([]string{"c"}))
		Expect(totals(r, "desk", "availability")).To(Equal([2]uint64{2, 0}))
		f.notAnswering["c"] = false
		f.log.SetOutage(true)
		r = report()
		Expect(r.LogComplete).To(BeFalse())
		Expect(totals(r, "desk", "availability")).To(Equal([2]uint64{9, 0}))
	})

	It("keeps counts during an outage of the log, and splits a large backlog into records", func() {
		f.log.SetOutage(true)
		for i := range maxCells {
			b.record(burn.Event{AtMs: b.nowMs(), Profile: "desk", Group: fmt.Sprint("g", i), Outcome: burn.OK})
			if i%100 == 0 {
				Expect(b.appendNext(ctx)).Error().To(HaveOccurred())
			}
		}
		f.log.SetOutage(false)
		Expect(b.Drain(ctx)).To(Succeed())
		Expect(f.log.Records(Stream)).To(HaveLen(2)) // a cell for the minute and one for the hour per group
		f.kill("b")
		Expect(totals(report(), "desk", "availability")).To(Equal([2]uint64{maxCells, 0}))
	})

	// The error budget covers three days, the log one day. Without rewrites, the counts of
	// a daemon would be missing a day after its end, or even while it runs, and operators
	// would see a budget that recovers without reason.
	It("rewrites its counts and those of dead daemons before they expire", func() {
		count(b, 4, burn.Failed)
		Expect(b.Drain(ctx)).To(Succeed())
		for i, d := range []*Collector{b, a, a} {
			Expect(find(report(), "desk", "availability").BudgetLeft).To(BeNumerically("<", 0))
			expires := int64(len(f.log.Records(Stream)))
			f.now = f.now.Add(20 * time.Hour)
			Expect(d.Drain(ctx)).To(Succeed())
			f.log.Trim(Stream, f.trimmedTo+expires)
			f.trimmedTo += expires
			if i == 0 {
				f.kill("b")
			}
			a.nextOffset, a.logSet = 0, burn.NewSet() // as a newly started daemon reads it
		}
		Expect(find(report(), "desk", "availability").BudgetLeft).To(BeNumerically("<", 0))
	})

	DescribeTable("stays below two appends per second", func(hosts int) {
		for len(f.members) < hosts {
			f.members = append(f.members, membership.Member{})
		}
		Expect(float64(hosts) / a.period().Seconds()).To(BeNumerically("<", 2))
	}, Entry("today", 12), Entry("at 340 hosts", 340), Entry("at 2000 hosts", 2000))

	It("measures streams and whole answers", func() {
		call := api.ChatCall{Call: api.Call{Profile: cfg.Profiles["desk"]}, Request: target.GenerateRequest{Model: "menu"}}
		steps := []time.Duration{90 * time.Millisecond, 15 * time.Millisecond, 25 * time.Millisecond}
		run := func(_ context.Context, _ api.ChatCall, sink func(target.Token) error) (api.ChatResult, error) {
			for _, d := range steps {
				f.now = f.now.Add(d)
				if sink != nil {
					_ = sink(target.Token{})
				}
			}
			return api.ChatResult{}, nil
		}
		_, _ = a.Chat(ctx, call, func(target.Token) error { return nil }, run)
		_, _ = a.Chat(ctx, call, nil, run)
		_, _ = a.Chat(ctx, call, nil, func(context.Context, api.ChatCall, func(target.Token) error) (api.ChatResult, error) {
			return api.ChatResult{}, outcome.Refuse(outcome.CallerLimit, "")
		})
		a.Refused("desk", outcome.Overloaded)
		drainQueue(a)
		r := report()
		Expect(totals(r, "desk", "availability")).To(Equal([2]uint64{3, 1}))
		Expect(totals(r, "desk", "first_token")).To(Equal([2]uint64{2, 1}))
		Expect(totals(r, "desk", "between_tokens")).To(Equal([2]uint64{1, 1}))
		Expect(find(r, "desk", "availability").TopReasons).To(HaveLen(1))
	})

	It("counts the ends of batch items that their owner reports as final", func() {
		owner := &fakeOwner{state: map[string]ledger.ItemState{"1": ledger.ItemFailed, "2": ledger.ItemWaiting}}
		client := a.Items(owner)
		for i, id := range []string{"0", "1", "2", "3"} {
			owner.items = append(owner.items, ledger.LeasedItem{Ref: ledger.ItemRef{Job: "x/j", Index: i}, Profile: "night",
				DueMs: f.now.UnixMilli() - int64(1-i%2), Item: ledger.Item{CustomID: id}})
		}
		_, err := client.Pull(ctx, "", ledger.PullRequest{Group: "menu-engines"})
		Expect(err).NotTo(HaveOccurred())
		failed := outcome.Refuse(outcome.TargetFailed, "")
		ends := []ledger.ItemEnd{
			{Ref: owner.items[0].Ref, Answer: &ledger.Answer{Status: 200}}, // late
			{Ref: owner.items[1].Ref, Refusal: failed},                     // failed for good
			{Ref: owner.items[2].Ref, Refusal: failed},                     // waiting for its next attempt
			{Ref: owner.items[3].Ref, Answer: &ledger.Answer{Status: 200}}, // in time
		}
		owner.err = errors.New("no owner")
		_, _ = client.FinishItems(ctx, ledger.FinishItemsRequest{Ends: ends})
		Expect(a.leases.Len()).To(Equal(len(ends)), "an end that its owner did not accept does not count")
		owner.err = nil
		for range 2 {
			_, _ = client.FinishItems(ctx, ledger.FinishItemsRequest{Ends: ends})
		}
		loops, stop := context.WithCancel(ctx)
		group := duty.NewGroup(loops)
		defer group.Wait()
		defer stop()
		a.Run(group)
		Eventually(func() [2]uint64 { return totals(report(), "night", "due_time") }).Should(Equal([2]uint64{3, 2}))
	})
})

type fakeOwner struct {
	ledger.Client
	items []ledger.LeasedItem
	state map[string]ledger.ItemState
	err   error
}

func (o *fakeOwner) Pull(context.Context, string, ledger.PullRequest) (ledger.PullReply, error) {
	return ledger.PullReply{Items: o.items}, nil
}

func (o *fakeOwner) FinishItems(context.Context, ledger.FinishItemsRequest) ([]ledger.ItemEnd, error) {
	return nil, o.err
}

func (o *fakeOwner) Item(_ context.Context, _, id string) (ledger.ItemResult, error) {
	return ledger.ItemResult{State: o.state[id], Refusal: outcome.Refuse(outcome.TargetFailed, "")}, nil
}
