package membership_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"tarragonhollow.example/tarragonhollow/core/membership"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "20261202")
	os.Exit(m.Run())
}

func TestMembership(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "membership")
}

// A fleet loses up to a tenth of its messages while hosts die and return. No view may lose
// a host that runs throughout, and after the faults end all views must contain exactly the
// running hosts.
func TestViewsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(2, 16).Draw(t, "hosts"))
		f.run(20)
		lossPercent := rapid.IntRange(0, 10).Draw(t, "loss percent")
		dice := rapid.Uint64().Draw(t, "dice")
		f.loses = func(a, b string) bool {
			dice = dice*6364136223846793005 + 1442695040888963407
			return int(dice>>33%100) < lossPercent
		}
		touched := map[string]bool{}
		for step := range rapid.IntRange(1, 6).Draw(t, "steps") {
			host := rapid.SampledFrom(f.hosts).Draw(t, "host")
			touched[host] = true
			f.down[host] = !f.down[host]
			if !f.down[host] {
				f.start(host, uint64(step+2))
			}
			for range rapid.IntRange(1, 12).Draw(t, "ticks") {
				f.run(1)
				mustHold(t, f, touched)
			}
		}
		f.loses = func(string, string) bool { return false }
		f.run(60)
		if err := f.agreed(); err != nil {
			t.Fatal(err)
		}
	})
}

func mustHold(t *rapid.T, f *fleet, touched map[string]bool) {
	for _, observer := range f.hosts {
		if touched[observer] {
			continue
		}
		seen := f.states(observer)
		for _, host := range f.hosts {
			if _, ok := seen[host]; !ok && !touched[host] {
				t.Fatalf("%s: %s lost %s, which runs", f.now, observer, host)
			}
		}
	}
}

var _ = Describe("Machine", func() {
	// A host is lost. Within nine probe intervals (2.7 s) every other daemon must declare
	// it dead, independent of the fleet's size and the time of the loss.
	DescribeTable("detects a dead host", func(n int) {
		for moment := range 10 {
			f := newFleet(n)
			f.run(40 + moment)
			Expect(f.agreed()).To(Succeed())
			f.down["host-01"] = true
			ticks := 0
			for ; f.agreed() != nil && ticks < 100; ticks++ {
				f.run(1)
			}
			Expect(ticks).To(BeNumerically("<=", 9))
		}
	}, Entry("of 3", 3), Entry("of 12", 12), Entry("of 48", 48))

	// A process is paused for a long time and resumes after its peers have declared it
	// dead. It must not declare them dead because of timers that expired during the pause,
	// must learn that it was declared dead, and must return to all views as the same
	// incarnation.
	It("restores a paused daemon after it refutes", func() {
		f := newFleet(5)
		f.run(20)
		f.down["host-03"] = true
		f.run(20)
		Expect(f.agreed()).To(Succeed())
		f.down["host-03"] = false
		frozen := f.nodes["host-03"]
		for range 20 {
			f.run(1)
			Expect(f.states("host-03")).To(HaveLen(5))
		}
		Expect(f.agreed()).To(Succeed())
		Expect(frozen.DeclaredDead()).To(BeNumerically(">=", 1))
		Expect(frozen.Self().Incarnation).To(Equal(uint64(1)))
	})

	// A daemon suspects another one and is paused at that moment; meanwhile the suspect
	// recovers. The time to refute expired only by the paused daemon's clock, so it must
	// not declare the suspect dead when it resumes.
	It("restarts suspicions that expired during a pause", func() {
		f := newFleet(5)
		f.run(20)
		f.down["host-04"] = true
		for f.states("host-03")["host-04"] != membership.Suspect {
			f.run(1)
		}
		f.run(2) // its own probes miss too
		Expect(f.states("host-03")).To(HaveKeyWithValue("host-04", membership.Suspect))
		f.down["host-03"], f.down["host-04"] = true, false
		f.run(20)
		f.down["host-03"] = false
		for range 20 {
			f.run(1)
			Expect(f.states("host-03")).To(HaveKey("host-04"))
		}
	})

	// A daemon whose link is cut in one direction receives nothing and reports all others
	// dead. Daemons that receive the report must not apply it before their own probes have
	// missed, however long that takes.
	It("does not declare a member dead on a peer's report alone", func() {
		m := membership.New(membership.Options{Self: membership.Member{Host: "self", Incarnation: 1}})
		now := time.UnixMilli(0)
		isolated := membership.Member{Host: "deaf", PeerAddress: "d", Incarnation: 1, FactsVersion: 1}
		reported := membership.Member{Host: "told", PeerAddress: "t", Incarnation: 1, FactsVersion: 1}
		report := func(s membership.State) {
			reported.State = s
			m.AnswerProbe(now, membership.ProbeRequest{From: isolated, Gossip: membership.Gossip{Members: []membership.Member{reported}}})
		}
		tick := func() (probes []membership.Probe) {
			now = now.Add(membership.DefaultProbeEvery)
			return m.Tick(now)
		}
		report(membership.Live)
		report(membership.Suspect)
		var direct membership.Probe
		for range 10 {
			report(membership.Dead)
			for _, p := range tick() {
				if p.Host == "told" && p.Kind == membership.ProbeDirect {
					direct = p
				}
			}
			Expect(m.Snapshot().LiveID("told#1")).To(BeTrue())
		}
		// The member's own requests still arrive, but that does not prove it reachable.
		reported.State = membership.Live
		m.AnswerProbe(now, membership.ProbeRequest{From: reported})
		for _, p := range m.Missed(now, direct) {
			Expect(m.Missed(now, p)).To(BeEmpty())
		}
		report(membership.Dead)
		Expect(m.Snapshot().LiveID("told#1")).To(BeFalse())
	})

	// A process is killed and its callers wait for a successor. Its host refuses
	// connections, which the host of a paused or slow process never does, so its peers
	// need not wait for it to refute. But one daemon's result alone is not enough: its own
	// outgoing link may be blocked.
	It("declares a member that refuses connections dead at once when another daemon confirms it", func() {
		now := time.UnixMilli(0)
		staysLive := func(fail func(*membership.Machine, membership.Probe) []membership.Probe, confirm bool) bool {
			m := membership.New(membership.Options{Self: membership.Member{Host: "self", Incarnation: 1}})
			m.Tick(now) // before it has a member for the regular probe
			for _, host := range []string{"killed", "w1", "w2"} {
				m.AnswerProbe(now, membership.ProbeRequest{From: membership.Member{Host: host, PeerAddress: host, Incarnation: 1}})
			}
			probes := m.CallFailed(now, "killed")
			Expect(probes).To(HaveLen(1))
			for _, direct := range probes {
				Expect(m.CallFailed(now, "killed")).To(BeEmpty(), "one probe per tick")
				for _, via := range fail(m, direct) {
					if confirm {
						m.AnsweredVia(now, via, membership.ViaReply{})
						continue
					}
					m.Missed(now, via)
				}
			}
			Expect(m.CallFailed(now, "nobody")).To(BeEmpty())
			return m.Snapshot().LiveID("killed#1")
		}
		refused := func(m *membership.Machine, p membership.Probe) []membership.Probe { return m.Refused(now, p) }
		silent := func(m *membership.Machine, p membership.Probe) []membership.Probe { return m.Missed(now, p) }
		Expect(staysLive(refused, true)).To(BeFalse())
		Expect(staysLive(refused, false)).To(BeTrue(), "no other daemon confirmed it")
		Expect(staysLive(silent, true)).To(BeTrue(), "it may be paused")
	})

	// The link between one pair of hosts is cut, and one host can send but receives
	// nothing. Neither may make the others declare a healthy host dead.
	It("keeps healthy hosts when one link is cut and one host receives nothing", func() {
		f := newFleet(6)
		f.run(20)
		f.loses = func(a, b string) bool {
			pair := (a == "host-00" && b == "host-01") || (a == "host-01" && b == "host-00")
			return pair || b == "host-05"
		}
		for range 40 {
			f.run(1)
			for _, observer := range f.hosts[:5] {
				Expect(f.states(observer)).To(HaveKey("host-00"))
				Expect(f.states(observer)).To(HaveKey("host-01"))
				Expect(f.states(observer)).To(HaveKey("host-04"))
			}
		}
		Expect(f.states("host-00")).NotTo(HaveKey("host-05"))
	})

	// The whole fleet splits and each half declares the other dead. When the link is
	// restored, dead hosts are no longer probed as members, so they must be contacted
	// periodically.
	It("heals a network partition", func() {
		f := newFleet(6)
		f.run(20)
		f.loses = func(a, b string) bool { return (a < "host-03") != (b < "host-03") }
		f.run(20)
		Expect(f.states("host-00")).To(HaveLen(3))
		f.loses = func(string, string) bool { return false }
		f.run(40)
		Expect(f.agreed()).To(Succeed())
	})

	It("spreads facts, and the host list's target states to a daemon whose list is old", func() {
		f := newFleet(6)
		f.run(20)
		f.nodes["host-02"].SetFacts(func(m *membership.Member) {
			m.Shards = []membership.ShardHold{{Shard: 7, Term: 3}}
			m.ConfigVersion = 9
		})
		old := membership.HostList{Version: 4, Targets: []membership.ListedTarget{{Address: "t:1"}}}
		f.nodes["host-05"].SetHostList(f.now, old)
		list := membership.HostList{Version: 5, Targets: []membership.ListedTarget{{Address: "t:1", Leaving: true}}}
		f.nodes["host-01"].SetHostList(f.now, list)
		f.run(12)
		view := f.nodes["host-05"].Snapshot()
		holder, ok := view.Holder(7)
		Expect(ok).To(BeTrue())
		Expect(holder.Host).To(Equal("host-02"))
		Expect(holder.ConfigVersion).To(Equal(uint64(9)))
		Expect(view.TargetLeaving("t:1")).To(BeTrue())
		// A daemon that was unreachable while the notice spread receives it afterwards.
		f.down["host-04"] = true
		list.Version, list.Targets[0].Address = 6, "t:2"
		f.nodes["host-01"].SetHostList(f.now, list)
		f.run(60)
		f.down["host-04"] = false
		f.run(30)
		Expect(f.nodes["host-04"].Snapshot().TargetLeaving("t:2")).To(BeTrue())
		list.Version, list.Targets[0] = 7, membership.ListedTarget{Address: "t:1"}
		f.nodes["host-03"].SetHostList(f.now, list)
		f.run(12)
		Expect(f.nodes["host-05"].Snapshot().TargetLeaving("t:1")).To(BeFalse())
	})

	It("distinguishes the incarnations of a restarted daemon", func() {
		f := newFleet(4)
		f.run(20)
		f.start("host-02", 2)
		f.run(20)
		Expect(f.agreed()).To(Succeed())
		view := f.nodes["host-00"].Snapshot()
		Expect(view.LiveID(membership.IncarnationID("host-02", 2))).To(BeTrue())
		Expect(view.LiveID(membership.IncarnationID("host-02", 1))).To(BeFalse())
	})

	It("marks a host as leaving if the host list says so", func() {
		f := newFleet(3)
		f.run(20)
		leaving := membership.HostList{Version: 1, Daemons: []membership.ListedDaemon{{Host: "host-01", Leaving: true}}}
		f.nodes["host-01"].SetHostList(f.now, leaving)
		f.run(10)
		Expect(f.states("host-00")).To(HaveKeyWithValue("host-01", membership.Leaving))
		Expect(f.nodes["host-00"].Snapshot().Successors("k")).To(HaveLen(2))
	})
})

var _ = Describe("Rank", func() {
	It("moves only the keys of a lost host, and agrees with Successors", func() {
		f := newFleet(5)
		f.run(20)
		view := f.nodes["host-00"].Snapshot()
		for i := range 200 {
			key := fmt.Sprint("key-", i)
			all := membership.Rank(key, f.hosts)
			rest := membership.Rank(key, f.hosts[1:])
			if all[0] != "host-00" {
				Expect(rest[0]).To(Equal(all[0]))
			}
			Expect(view.Successors(key)[0].Host).To(Equal(all[0]))
			first, ok := view.First(key)
			Expect(ok).To(BeTrue())
			Expect(first.Host).To(Equal(all[0]))
		}
	})

	// The platform's log is unavailable. No daemon can claim a shard, but each target must
	// keep its batch dispatcher: without one its batch work would stop, and every daemon
	// would lose its arbiter of caller limits.
	It("keeps the first member of a key while the log is unavailable", func() {
		f := newFleet(5)
		f.run(20)
		before, _ := f.nodes["host-00"].Snapshot().First("steward/10.0.0.1:1")
		for _, node := range f.nodes {
			node.SetFacts(func(m *membership.Member) { m.LogOK = false })
		}
		f.run(40)
		view := f.nodes["host-00"].Snapshot()
		Expect(view.Successors("steward/10.0.0.1:1")).To(BeEmpty())
		after, ok := view.First("steward/10.0.0.1:1")
		Expect(ok).To(BeTrue())
		Expect(after.Host).To(Equal(before.Host))
	})
})
