package capacity

import (
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"tarragonhollow.example/tarragonhollow/core/membership"
	"tarragonhollow.example/tarragonhollow/core/shard"
	"tarragonhollow.example/tarragonhollow/daemon/signal"
)

// fleetSizes are the numbers of daemons in the measured fleets.
var fleetSizes = []int{12, 48, 170, 340}

const (
	// shardCount and zoneCount are those of the planned fleet.
	shardCount = 32
	zoneCount  = 7
	// convergeTicksPerDaemon is the number of probe intervals per daemon until a fleet
	// whose daemons all start at once no longer spreads updates about the start;
	// minConvergeTicks is the minimum for small fleets.
	convergeTicksPerDaemon = 2.4
	minConvergeTicks       = 120
	// probeInterval and suspectAfter have the daemon's default values.
	probeInterval = 500 * time.Millisecond
	suspectAfter  = 2 * time.Second
)

// gobMeter counts the bytes of gob-encoded values on one connection.
type gobMeter struct {
	bytes int
	enc   *gob.Encoder
}

func newGobMeter() *gobMeter {
	m := &gobMeter{}
	m.enc = gob.NewEncoder(m)
	return m
}

func (m *gobMeter) Write(p []byte) (int, error) {
	m.bytes += len(p)
	return len(p), nil
}

// add encodes a value. The first value of a type includes the type's description; later
// ones do not, so callers add each type once before they measure.
func (m *gobMeter) add(v any) {
	if err := m.enc.Encode(v); err != nil {
		panic(err)
	}
}

// memberFleet runs membership machines over a simulated network without losses. It counts
// messages, and bytes if meter is set.
type memberFleet struct {
	now      time.Time
	hosts    []string
	nodes    map[string]*membership.Machine
	down     map[string]bool
	messages int
	meter    *gobMeter
}

// newMemberFleet starts n daemons in seven zones and runs them until their views have
// converged. The first 32 daemons hold one shard each.
func newMemberFleet(n int) *memberFleet {
	f := &memberFleet{now: time.UnixMilli(1e12), nodes: map[string]*membership.Machine{}, down: map[string]bool{}}
	list := membership.HostList{Version: 1}
	for i := range n {
		list.Daemons = append(list.Daemons, membership.ListedDaemon{Host: hostName(i), Address: hostAddress(i)})
	}
	for i := range n {
		self := membership.Member{
			Host: hostName(i), Zone: fmt.Sprintf("region-%d-zone-%d", i%zoneCount/4, i%zoneCount),
			PeerAddress: hostAddress(i), HTTPAddress: hostAddress(i), Incarnation: uint64(1e18) + uint64(i),
			ConfigVersion: 500, LogOK: true, Ready: true,
		}
		if i < shardCount {
			self.Shards = []membership.ShardHold{{Shard: i, Term: 7}}
		}
		m := membership.New(membership.Options{
			Self: self, Seeds: []string{hostAddress(0), hostAddress(1)}, Seed: uint64(i + 1),
			ProbeEvery: probeInterval, SuspectAfter: suspectAfter,
		})
		m.SetHostList(f.now, list)
		f.hosts = append(f.hosts, hostName(i))
		f.nodes[hostAddress(i)] = m
	}
	f.run(max(minConvergeTicks, int(convergeTicksPerDaemon*float64(n))))
	return f
}

func hostName(i int) string    { return fmt.Sprintf("entry-%03d", i) }
func hostAddress(i int) string { return fmt.Sprintf("10.20.%d.%d:7000", i/200, i%200+1) }

func (f *memberFleet) run(ticks int) {
	for range ticks {
		f.now = f.now.Add(probeInterval)
		for i := range f.hosts {
			address := hostAddress(i)
			if f.down[address] {
				continue
			}
			probes := f.nodes[address].Tick(f.now)
			for len(probes) > 0 {
				p := probes[0]
				probes = append(probes[1:], f.send(f.nodes[address], p)...)
			}
		}
	}
}

// send delivers one probe and its reply, and returns the probes that follow from it.
func (f *memberFleet) send(m *membership.Machine, p membership.Probe) []membership.Probe {
	f.messages++
	peer := f.nodes[p.Address]
	if peer == nil || f.down[p.Address] {
		return m.Missed(f.now, p)
	}
	switch p.Kind {
	case membership.ProbeIndirect:
		f.messages++
		req := peer.StartVia(f.now, p.Via)
		if f.down[p.Via.Address] {
			m.AnsweredVia(f.now, p, peer.FinishVia(f.now, nil))
			return nil
		}
		reply := f.nodes[p.Via.Address].AnswerProbe(f.now, req)
		m.AnsweredVia(f.now, p, peer.FinishVia(f.now, &reply))
	case membership.ProbeSync:
		reply := peer.AnswerSync(f.now, p.Request)
		f.meterBytes(p.Request, reply)
		m.AnsweredSync(f.now, reply)
	default:
		reply := peer.AnswerProbe(f.now, p.Request)
		f.meterBytes(p.Request, reply)
		return m.Answered(f.now, p, reply)
	}
	return nil
}

func (f *memberFleet) meterBytes(request, reply any) {
	if f.meter != nil {
		f.meter.add(request)
		f.meter.add(reply)
	}
}

// stale counts the pairs of a running and a stopped host where the running one does not
// yet consider the stopped one dead.
func (f *memberFleet) stale() int {
	n := 0
	for i := range f.hosts {
		if f.down[hostAddress(i)] {
			continue
		}
		for _, member := range f.nodes[hostAddress(i)].Snapshot().Members() {
			if f.down[member.PeerAddress] {
				n++
			}
		}
	}
	return n
}

// wronglyDead counts the pairs of running hosts where one considers the other dead.
func (f *memberFleet) wronglyDead() int {
	running := len(f.hosts) - len(f.down)
	n := 0
	for i := range f.hosts {
		if f.down[hostAddress(i)] {
			continue
		}
		live := 0
		for _, member := range f.nodes[hostAddress(i)].Snapshot().Members() {
			if !f.down[member.PeerAddress] {
				live++
			}
		}
		n += running - live
	}
	return n
}

// BenchmarkMembershipQuiet reports the cost per daemon in a fleet without changes: messages
// sent a second, bytes sent and received a second, and the CPU time of its own ticks and
// of its replies to other daemons, in percent of a core, without gob and sockets.
func BenchmarkMembershipQuiet(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			f := newMemberFleet(n)
			const ticks = 40
			seconds := ticks * probeInterval.Seconds()
			f.meter = newGobMeter()
			f.run(4) // so that the type descriptions are not counted
			f.messages, f.meter.bytes = 0, 0
			f.run(ticks)
			messages := float64(f.messages) / float64(n) / seconds
			// Each byte is sent by one daemon and received by another.
			bytes := 2 * float64(f.meter.bytes) / float64(n) / seconds
			f.meter = nil
			b.ResetTimer()
			for b.Loop() {
				f.run(ticks)
			}
			perDaemon := b.Elapsed().Seconds() / float64(b.N) / float64(n) / seconds
			b.ReportMetric(messages, "msgs/s")
			b.ReportMetric(bytes, "bytes/s")
			b.ReportMetric(100*perDaemon, "core%")
		})
	}
}

// BenchmarkMembershipLoss stops some daemons at once and looks at all pairs of a survivor
// and a lost daemon. It reports the time until the survivor considers the lost daemon dead
// in 99% and in 100% of the pairs, the messages a second that a survivor sent until then,
// and the number of pairs of survivors where one wrongly considered the other dead.
func BenchmarkMembershipLoss(b *testing.B) {
	losses := []struct {
		name string
		lost func(i, n int) bool
	}{
		{"host", func(i, _ int) bool { return i == 7 }},
		{"rack", func(i, n int) bool { return i < n/zoneCount*zoneCount/2 && i%zoneCount == 0 }},
		{"zone", func(i, _ int) bool { return i%zoneCount == 0 }},
		{"region", func(i, _ int) bool { return i%zoneCount < 3 }},
	}
	for _, loss := range losses {
		for _, n := range []int{12, 48, 340} {
			b.Run(fmt.Sprintf("%s/daemons=%d", loss.name, n), func(b *testing.B) {
				var seconds, most, messages, wrong, lost float64
				for b.Loop() {
					f := newMemberFleet(n)
					for i := range n {
						if loss.lost(i, n) {
							f.down[hostAddress(i)] = true
						}
					}
					f.messages, most = 0, 0
					ticks, stale, pairs := 0, 1, len(f.down)*(n-len(f.down))
					for stale > 0 && ticks < 1000 {
						f.run(1)
						ticks++
						if stale = f.stale(); most == 0 && stale <= pairs/100 {
							most = float64(ticks) * probeInterval.Seconds()
						}
					}
					seconds = float64(ticks) * probeInterval.Seconds()
					lost = float64(len(f.down))
					messages = float64(f.messages) / (float64(n) - lost) / seconds
					wrong = float64(f.wronglyDead())
				}
				b.ReportMetric(lost, "lost")
				b.ReportMetric(most, "s-to-99%")
				b.ReportMetric(seconds, "s-to-all")
				b.ReportMetric(messages, "msgs/s")
				b.ReportMetric(wrong, "wrong")
			})
		}
	}
}

// BenchmarkMembershipFacts raises the configuration version of all daemons at once, as a
// configuration change does. It reports the time until the operator's daemon, and until
// every daemon, has received the new version of all others.
func BenchmarkMembershipFacts(b *testing.B) {
	for _, n := range []int{12, 48, 340} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			f := newMemberFleet(n)
			version := uint64(500)
			var first, all float64
			for b.Loop() {
				version++
				for _, m := range f.nodes {
					m.SetFacts(func(self *membership.Member) { self.ConfigVersion = version })
				}
				first, all = 0, 0
				for ticks := 1; all == 0 && ticks < 1000; ticks++ {
					f.run(1)
					seconds := float64(ticks) * probeInterval.Seconds()
					if first == 0 && f.behind(0, version) == 0 {
						first = seconds
					}
					if f.allUpToDate(version) {
						all = seconds
					}
				}
			}
			b.ReportMetric(first, "s-at-operator")
			b.ReportMetric(all, "s-everywhere")
		})
	}
}

// behind counts the daemons whose new version daemon i has not received yet.
func (f *memberFleet) behind(i int, version uint64) int {
	n := 0
	for _, member := range f.nodes[hostAddress(i)].Snapshot().Members() {
		if member.ConfigVersion < version {
			n++
		}
	}
	return n
}

func (f *memberFleet) allUpToDate(version uint64) bool {
	for i := range f.hosts {
		if f.behind(i, version) > 0 {
			return false
		}
	}
	return true
}

// snapshotView returns the membership snapshot of one daemon in a fleet of n daemons.
func snapshotView(n int) *membership.Snapshot {
	return newMemberFleet(n).nodes[hostAddress(0)].Snapshot()
}

func targetAddress(i int) string { return fmt.Sprintf("10.30.%d.%d:9000", i/200, i%200+1) }

// BenchmarkStewards looks up the batch dispatcher of every target. core% is the CPU time of
// the ten rounds a second that a daemon makes.
func BenchmarkStewards(b *testing.B) {
	const rounds = 10
	for _, size := range []struct{ daemons, targets int }{{12, 14}, {12, 600}, {48, 85}, {170, 300}, {340, 600}} {
		b.Run(fmt.Sprintf("daemons=%d/targets=%d", size.daemons, size.targets), func(b *testing.B) {
			view := snapshotView(size.daemons)
			for b.Loop() {
				for i := range size.targets {
					signal.StewardOf(view, targetAddress(i))
				}
			}
			b.ReportMetric(100*rounds*b.Elapsed().Seconds()/float64(b.N), "core%")
		})
	}
}

// BenchmarkClaimRound ranks the successors of every shard, as each daemon does whenever it
// checks its claims. core% is the CPU time of the 20 checks a second that a daemon makes.
func BenchmarkClaimRound(b *testing.B) {
	const rounds = 20
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			view := snapshotView(n)
			for b.Loop() {
				for id := range shardCount {
					view.Successors(shard.Key(id))
				}
			}
			b.ReportMetric(100*rounds*b.Elapsed().Seconds()/float64(b.N), "core%")
		})
	}
}

// BenchmarkSnapshot takes a snapshot, as every change of the membership does.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			m := newMemberFleet(n).nodes[hostAddress(0)]
			b.ReportAllocs()
			for b.Loop() {
				m.Snapshot()
			}
		})
	}
}
