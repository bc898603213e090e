package election_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/election"
)

func TestElection(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "election")
}

// zone simulates the daemons of one zone on a simulated clock. Heartbeats arrive
// immediately unless the link drops them.
type zone struct {
	now     time.Time
	members []election.Member
	views   map[string]*election.Election
	dead    map[string]bool
	// cut reports whether heartbeats from one daemon to the other are lost.
	cut func(from, to string) bool
	// sent counts the heartbeats.
	sent int
}

func newZone(members ...election.Member) *zone {
	z := &zone{now: time.Unix(1000, 0), members: members, views: map[string]*election.Election{}, dead: map[string]bool{},
		cut: func(string, string) bool { return false }}
	for _, m := range members {
		z.start(m.Address)
	}
	return z
}

func (z *zone) start(address string) {
	view := election.New("z", address, z.now)
	view.SetMembers(z.now, z.members)
	z.views[address] = view
	delete(z.dead, address)
}

// advance advances the clock in steps of a tenth of a heartbeat interval.
func (z *zone) advance(d time.Duration) {
	const steps = 10
	for end := z.now.Add(d); z.now.Before(end); z.now = z.now.Add(election.HeartbeatInterval / steps) {
		for i, m := range z.members {
			tick := z.now.UnixNano()/int64(election.HeartbeatInterval/steps) + int64(i)
			if !z.dead[m.Address] && tick%steps == 0 {
				z.sendHeartbeats(m.Address)
			}
		}
	}
}

func (z *zone) sendHeartbeats(from string) {
	if !z.views[from].Lead(z.now, true) {
		return
	}
	for to, view := range z.views {
		if to != from && !z.dead[to] && !z.cut(from, to) {
			view.ReceiveHeartbeat(z.now, from)
			z.sent++
		}
	}
}

// leaders counts, by the address of the leader, the live daemons that follow it.
func (z *zone) leaders() map[string]int {
	got := map[string]int{}
	for address, view := range z.views {
		if z.dead[address] {
			continue
		}
		leader, found := view.Leader(z.now)
		if !found {
			leader = "none"
		}
		got[leader]++
	}
	return got
}

func members(n int) []election.Member {
	var list []election.Member
	for i := range n {
		capacity := 0.2
		if i < n/5 {
			capacity = 0.8
		}
		list = append(list, election.Member{Address: fmt.Sprint("10.0.0.", i, ":1"), Capacity: capacity})
	}
	return list
}

const settleTime = 2 * time.Second

var _ = Describe("The election of a zone's leader", func() {
	It("elects one leader among the hosts with the most capacity, the same one at all daemons", func() {
		z := newZone(members(49)...)
		z.advance(settleTime)
		got := z.leaders()
		Expect(got).To(HaveLen(1))
		for leader := range got {
			Expect(leader).To(BeElementOf("10.0.0.0:1", "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1", "10.0.0.5:1",
				"10.0.0.6:1", "10.0.0.7:1", "10.0.0.8:1"))
		}
	})

	// The leader's host loses power. Requests of the zone are placed by outdated load
	// reports until another daemon leads, so that must not take long, and the daemons
	// must not all come forward together: on small hosts that alone would cost seconds.
	It("replaces a dead leader within a second, by one daemon", func() {
		z := newZone(members(49)...)
		z.advance(settleTime)
		for leader := range z.leaders() {
			z.dead[leader] = true
		}
		z.sent = 0
		z.advance(time.Second)
		Expect(z.leaders()).To(HaveLen(1))
		Expect(z.leaders()).NotTo(HaveKey("none"))
		// One leader sends 48 heartbeats each 150 ms.
		Expect(z.sent).To(BeNumerically("<=", 3*48*8))
	})

	// More than half of the zone's hosts lose power at the same moment, including the
	// best ones.
	It("replaces the best half of a zone", func() {
		z := newZone(members(40)...)
		z.advance(settleTime)
		for i := range 22 {
			z.dead[fmt.Sprint("10.0.0.", i, ":1")] = true
		}
		z.advance(settleTime)
		Expect(z.leaders()).To(HaveLen(1))
		Expect(z.leaders()).NotTo(HaveKey("none"))
	})

	It("returns to the best member once it has restarted", func() {
		z := newZone(members(10)...)
		z.advance(settleTime)
		before := z.leaders()
		for leader := range before {
			z.dead[leader] = true
		}
		z.advance(settleTime)
		for leader := range before {
			z.start(leader)
		}
		z.advance(settleTime)
		Expect(z.leaders()).To(Equal(before))
	})

	// A switch failure partitions the zone. Each side elects its own leader, and they
	// agree again after the partition heals.
	It("elects one leader on each side of a partition, and a single one after it", func() {
		z := newZone(members(20)...)
		z.advance(settleTime)
		side := func(address string) bool { return len(address)%2 == 0 }
		z.cut = func(from, to string) bool { return side(from) != side(to) }
		z.advance(settleTime)
		Expect(z.leaders()).To(HaveLen(2))
		z.cut = func(string, string) bool { return false }
		z.advance(settleTime)
		Expect(z.leaders()).To(HaveLen(1))
	})

	// A leader whose incoming link is cut continues to send heartbeats but answers
	// nobody. Each request would wait for it until it timed out.
	It("excludes a leader that sends heartbeats but answers no calls", func() {
		z := newZone(members(10)...)
		z.advance(settleTime)
		view := z.views["10.0.0.9:1"]
		leader := func() string {
			address, _ := view.Leader(z.now)
			return address
		}
		unresponsive := leader()
		Expect(unresponsive).NotTo(BeEmpty())
		view.CallFailed(z.now, unresponsive, false)
		Expect(leader()).To(Equal(unresponsive))
		view.CallAnswered(unresponsive)
		view.CallFailed(z.now, unresponsive, false)
		Expect(leader()).To(Equal(unresponsive))
		view.CallFailed(z.now, unresponsive, false)
		z.advance(election.HeartbeatInterval * 2)
		_, found := view.Leader(z.now)
		Expect(found).To(BeFalse())
		z.advance(election.ExclusionPeriod)
		Expect(leader()).To(Equal(unresponsive))
	})

	It("drops a leader immediately if nothing listens at its address, or if it resigns", func() {
		z := newZone(members(10)...)
		z.advance(settleTime)
		view := z.views["10.0.0.9:1"]
		leader, _ := view.Leader(z.now)
		view.CallFailed(z.now, leader, true)
		_, found := view.Leader(z.now)
		Expect(found).To(BeFalse())
		z.advance(settleTime)
		view.Resigned(z.now, leader)
		_, found = view.Leader(z.now)
		Expect(found).To(BeFalse())
	})

	It("never lets a daemon lead that is not eligible or not a member", func() {
		alone := election.New("z", "a", time.Unix(1000, 0))
		Expect(alone.Lead(time.Unix(2000, 0), true)).To(BeFalse())
		alone.SetMembers(time.Unix(1000, 0), []election.Member{{Address: "a"}})
		Expect(alone.Lead(time.Unix(2000, 0), false)).To(BeFalse())
		Expect(alone.Lead(time.Unix(2000, 0), true)).To(BeTrue())
		Expect(alone.ReceiveHeartbeat(time.Unix(2000, 0), "stranger")).To(BeFalse())
	})
})
