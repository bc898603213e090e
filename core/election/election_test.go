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

// zone plays the daemons of one zone on a simulated clock. Heartbeats arrive at
// once where the link lets them through.
type zone struct {
	now     time.Time
	members []election.Member
	views   map[string]*election.Election
	dead    map[string]bool
	// cut tells whether a heartbeat is lost on its way.
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

// pass lets time pass in steps of a tenth of a heartbeat.
func (z *zone) pass(d time.Duration) {
	const steps = 10
	for end := z.now.Add(d); z.now.Before(end); z.now = z.now.Add(election.HeartbeatEvery / steps) {
		for i, m := range z.members {
			tick := z.now.UnixNano()/int64(election.HeartbeatEvery/steps) + int64(i)
			if !z.dead[m.Address] && tick%steps == 0 {
				z.beat(m.Address)
			}
		}
	}
}

func (z *zone) beat(from string) {
	if !z.views[from].Lead(z.now, true) {
		return
	}
	for to, view := range z.views {
		if to != from && !z.dead[to] && !z.cut(from, to) {
			view.Heard(z.now, from)
			z.sent++
		}
	}
}

// leaders lists whom the living daemons take for the leader.
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
		room := 0.2
		if i < n/5 {
			room = 0.8
		}
		list = append(list, election.Member{Address: fmt.Sprint("10.0.0.", i, ":1"), Room: room})
	}
	return list
}

const settled = 2 * time.Second

var _ = Describe("The election of a zone's leader", func() {
	It("takes one leader of the roomiest hosts, and the same one at all daemons", func() {
		z := newZone(members(49)...)
		z.pass(settled)
		got := z.leaders()
		Expect(got).To(HaveLen(1))
		for leader := range got {
			Expect(leader).To(BeElementOf("10.0.0.0:1", "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1", "10.0.0.5:1",
				"10.0.0.6:1", "10.0.0.7:1", "10.0.0.8:1"))
		}
	})

	// The leader's host loses power. Requests of the zone are placed by old words
	// until another one leads, so that must not take long, and the daemons must not
	// all come forward together: on small hosts that alone would cost seconds.
	It("replaces a leader that died within a second, by one daemon", func() {
		z := newZone(members(49)...)
		z.pass(settled)
		for leader := range z.leaders() {
			z.dead[leader] = true
		}
		z.sent = 0
		z.pass(time.Second)
		Expect(z.leaders()).To(HaveLen(1))
		Expect(z.leaders()).NotTo(HaveKey("none"))
		// One leader sends 48 heartbeats each 150 ms.
		Expect(z.sent).To(BeNumerically("<=", 3*48*8))
	})

	// More than half of the zone's hosts lose power at the same moment, the best
	// ones among them.
	It("replaces the best half of a zone", func() {
		z := newZone(members(40)...)
		z.pass(settled)
		for i := range 22 {
			z.dead[fmt.Sprint("10.0.0.", i, ":1")] = true
		}
		z.pass(settled)
		Expect(z.leaders()).To(HaveLen(1))
		Expect(z.leaders()).NotTo(HaveKey("none"))
	})

	It("goes back to the best one when it has started again", func() {
		z := newZone(members(10)...)
		z.pass(settled)
		before := z.leaders()
		for leader := range before {
			z.dead[leader] = true
		}
		z.pass(settled)
		for leader := range before {
			z.start(leader)
		}
		z.pass(settled)
		Expect(z.leaders()).To(Equal(before))
	})

	// A switch parts the zone. Each side goes on by itself, and they agree again
	// afterwards.
	It("takes one leader on each side of a cut, and one again after it", func() {
		z := newZone(members(20)...)
		z.pass(settled)
		side := func(address string) bool { return len(address)%2 == 0 }
		z.cut = func(from, to string) bool { return side(from) != side(to) }
		z.pass(settled)
		Expect(z.leaders()).To(HaveLen(2))
		z.cut = func(string, string) bool { return false }
		z.pass(settled)
		Expect(z.leaders()).To(HaveLen(1))
	})

	// A leader whose incoming link is cut goes on sending heartbeats and answers
	// nobody. Each request would wait for it in vain.
	It("passes over a leader that sends heartbeats and answers no call", func() {
		z := newZone(members(10)...)
		z.pass(settled)
		view := z.views["10.0.0.9:1"]
		leader := func() string {
			address, _ := view.Leader(z.now)
			return address
		}
		deaf := leader()
		Expect(deaf).NotTo(BeEmpty())
		view.Failed(z.now, deaf, false)
		Expect(leader()).To(Equal(deaf))
		view.Answered(deaf)
		view.Failed(z.now, deaf, false)
		Expect(leader()).To(Equal(deaf))
		view.Failed(z.now, deaf, false)
		z.pass(election.HeartbeatEvery * 2)
		_, found := view.Leader(z.now)
		Expect(found).To(BeFalse())
		z.pass(election.DeafFor)
		Expect(leader()).To(Equal(deaf))
	})

	It("drops a leader at once where nobody listens any more, or that resigns", func() {
		z := newZone(members(10)...)
		z.pass(settled)
		view := z.views["10.0.0.9:1"]
		leader, _ := view.Leader(z.now)
		view.Failed(z.now, leader, true)
		_, found := view.Leader(z.now)
		Expect(found).To(BeFalse())
		z.pass(settled)
		view.Resigned(z.now, leader)
		_, found = view.Leader(z.now)
		Expect(found).To(BeFalse())
	})

	It("never lets a daemon lead that can't, or that is no member", func() {
		alone := election.New("z", "a", time.Unix(1000, 0))
		Expect(alone.Lead(time.Unix(2000, 0), true)).To(BeFalse())
		alone.SetMembers(time.Unix(1000, 0), []election.Member{{Address: "a"}})
		Expect(alone.Lead(time.Unix(2000, 0), false)).To(BeFalse())
		Expect(alone.Lead(time.Unix(2000, 0), true)).To(BeTrue())
		Expect(alone.Heard(time.Unix(2000, 0), "stranger")).To(BeFalse())
	})
})
