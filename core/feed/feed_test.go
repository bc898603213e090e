package feed_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/feed"
)

func TestFeed(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "feed")
}

const (
	step    = 50 * time.Millisecond
	fresh   = 100 * time.Millisecond
	stale   = feed.StaleAfter + time.Second
	members = 40
)

// zone lists the daemons of a zone, the leader "d00" first.
func zone() []string {
	var list []string
	for i := range members {
		list = append(list, fmt.Sprintf("d%02d", i))
	}
	return list
}

func addresses(readers []feed.Reader) []string {
	var list []string
	for _, r := range readers {
		list = append(list, r.Address)
	}
	return list
}

var _ = Describe("The leader's choice of readers", func() {
	var (
		now     time.Time
		readers *feed.Readers
	)
	BeforeEach(func() {
		now = time.Unix(1000, 0)
		readers = feed.NewReaders("d00")
	})
	// run advances the clock; age returns the age of the log's last answer to a daemon,
	// and false for a daemon that does not report.
	run := func(d time.Duration, own time.Duration, age func(address string) (time.Duration, bool)) []feed.Reader {
		var list []feed.Reader
		for range int(d / step) {
			now = now.Add(step)
			list = readers.Select(now, own, zone())
			for _, r := range list[1:] {
				if a, reports := age(r.Address); reports {
					readers.Report(now, r.Address, a)
				}
			}
		}
		return list
	}
	nobody := func(string) (time.Duration, bool) { return 0, false }

	It("is the leader alone while it reaches the log", func() {
		Expect(addresses(run(10*time.Second, fresh, nobody))).To(Equal([]string{"d00"}))
	})

	// The log rejects the leader's requests and serves most other daemons.
	It("finds a daemon that the log serves while it rejects the leader", func() {
		served := func(address string) (time.Duration, bool) {
			if address == "d04" {
				return fresh, true
			}
			return feed.Never, true
		}
		run(8*time.Second, stale, served)
		list := run(step, stale, served)
		Expect(list).To(ContainElement(And(HaveField("Address", "d04"), WithTransform(feed.Reader.Fresh, BeTrue()))), "%v", list)
	})

	// The log is unavailable to all daemons: the whole fleet must not query it.
	It("has few daemons query a log that answers nobody, and rotates through them", func() {
		queried := map[string]bool{}
		for range 40 {
			list := run(time.Second, feed.Never, func(string) (time.Duration, bool) { return feed.Never, true })
			Expect(len(list)).To(BeNumerically("<=", 5))
			for _, r := range list {
				queried[r.Address] = true
			}
		}
		Expect(len(queried)).To(BeNumerically(">", 8))
	})

	It("excludes daemons that are dead", func() {
		list := run(12*time.Second, stale, func(address string) (time.Duration, bool) { return fresh, address == "d06" })
		Expect(list).To(ContainElement(HaveField("Address", "d06")))
		Expect(addresses(list)).NotTo(ContainElement("d01"))
	})

	It("returns to the leader alone once it reaches the log", func() {
		all := func(string) (time.Duration, bool) { return fresh, true }
		Expect(len(run(3*time.Second, stale, all))).To(BeNumerically(">", 1))
		Expect(addresses(run(3*time.Second, fresh, all))).To(Equal([]string{"d00"}))
	})

	It("accepts a daemon that began to read on its own, for as long as it is needed", func() {
		readers.Report(now, "d33", fresh)
		Expect(addresses(readers.Select(now, stale, zone()))).To(ContainElement("d33"))
		readers.Report(now, "d33", fresh)
		Expect(addresses(readers.Select(now, fresh, zone()))).To(Equal([]string{"d00"}))
	})
})

var _ = Describe("The standby", func() {
	It("is the next daemon that requests all targets", func() {
		now := time.Unix(1000, 0)
		standby := feed.NewStandby("d00")
		named := ""
		for range 100 {
			now = now.Add(step)
			named = standby.Select(now, zone())
			if named == "d02" {
				standby.FullListRequested(now, named)
			}
		}
		Expect(named).To(Equal("d02"), "d01 is dead")
		for range 200 {
			now = now.Add(step)
			if named = standby.Select(now, zone()); named == "d01" {
				standby.FullListRequested(now, named)
			}
		}
		Expect(named).To(Equal("d01"), "d02 has died, and the exclusion of d01 ended long ago")
	})
})

var _ = Describe("A subscriber's source", func() {
	It("is a reader that the log answers, and not one that just failed to answer", func() {
		now := time.Unix(1000, 0)
		s := feed.NewSource("self")
		_, known := s.Next(now)
		Expect(known).To(BeFalse())
		s.SetReaders([]feed.Reader{{Address: "self"}, {Address: "cut", Age: stale}, {Address: "new", Age: feed.Never}, {Address: "good", Age: fresh}})
		next := func(at time.Time) string {
			address, _ := s.Next(at)
			return address
		}
		Expect(next(now)).To(Equal("good"))
		s.Failed(now, "good")
		Expect(next(now)).NotTo(Equal("good"))
		Expect(next(now.Add(2 * time.Second))).To(Equal("good"))
	})

	It("spreads the subscribers over equal readers", func() {
		counts := map[string]int{}
		for _, self := range zone() {
			s := feed.NewSource(self)
			s.SetReaders([]feed.Reader{{Address: "a", Age: fresh}, {Address: "b", Age: fresh}})
			address, _ := s.Next(time.Unix(1000, 0))
			counts[address]++
		}
		Expect(counts["a"]).To(BeNumerically("~", members/2, members/4))
	})
})

var _ = Describe("Reading the log without a reader", func() {
	start := time.Unix(1000, 0)
	const targets = 10_000

	// zoneOf is a zone without readers. reading counts how many of its daemons read the
	// configuration and the targets at a moment; age is the age of the log's last answer.
	type zoneOf struct{ daemons []*feed.Fallback }
	newZone := func() *zoneOf {
		z := &zoneOf{}
		for range members {
			z.daemons = append(z.daemons, feed.NewFallback(start))
		}
		return z
	}
	reading := func(z *zoneOf, now time.Time, age time.Duration) (configuration, lists int) {
		for i, d := range z.daemons {
			c, t := d.Decide(now, feed.Situation{Position: i, Members: members, Targets: targets, ConfigurationAge: age, TargetsAge: age})
			if c {
				configuration++
			}
			if t {
				lists++
			}
		}
		return configuration, lists
	}

	It("begins at once, one daemon after the other, where all have just started", func() {
		z := newZone()
		c, t := reading(z, start, feed.Never)
		Expect([]int{c, t}).To(Equal([]int{1, 1}))
		c, t = reading(z, start.Add(500*time.Millisecond), feed.Never)
		Expect(c).To(BeNumerically("~", 21, 1))
		Expect(t).To(Equal(2))
	})

	// The log is unavailable. If all daemons of a fleet kept trying it, the first answers
	// after its return would be refusals because of the request rate.
	It("is abandoned and retried in turn while the log answers nobody", func() {
		z := newZone()
		most := 0
		for now := start; now.Before(start.Add(2 * time.Minute)); now = now.Add(step) {
			_, t := reading(z, now, feed.Never)
			most = max(most, t)
		}
		Expect(most).To(BeNumerically("<=", 4))
		Expect(most).To(BeNumerically(">", 0))
	})

	It("continues while the log answers, until a reader does", func() {
		f := feed.NewFallback(start)
		s := feed.Situation{Members: members, ConfigurationAge: fresh, TargetsAge: fresh}
		for now := start; now.Before(start.Add(time.Minute)); now = now.Add(step) {
			c, t := f.Decide(now, s)
			Expect(c && t).To(BeTrue())
		}
		f.ReaderAnswered(start.Add(time.Minute))
		c, t := f.Decide(start.Add(time.Minute+step), s)
		Expect(c || t).To(BeFalse())
		c, t = f.Decide(start.Add(time.Minute+2*time.Second), s)
		Expect(c && t).To(BeTrue(), "the reader no longer answers")
	})
})

var _ = Describe("A sample", func() {
	names := func(n int) []uint64 {
		var hashes []uint64
		for i := range n {
			hashes = append(hashes, feed.Hash(fmt.Sprint("target-", i)))
		}
		return hashes
	}

	It("has a fixed size, and holds all names where there are fewer", func() {
		for _, n := range []int{0, 1, 31, 32, 33, 1000, 10_000} {
			Expect(feed.Sample(7, names(n), 32)).To(HaveLen(min(n, 32)))
		}
	})

	It("uses all names evenly over many holders", func() {
		used := map[int]int{}
		hashes := names(500)
		const holders = 400
		for h := range holders {
			for _, i := range feed.Sample(feed.Hash(fmt.Sprint("host-", h)), hashes, 32) {
				used[i]++
			}
		}
		Expect(used).To(HaveLen(500))
		for _, n := range used {
			Expect(n).To(BeNumerically("<", 3*holders*32/500))
		}
	})

	It("changes little when a name is removed", func() {
		hashes := names(500)
		before := map[uint64]bool{}
		for _, i := range feed.Sample(7, hashes, 32) {
			before[hashes[i]] = true
		}
		same := 0
		rest := hashes[1:]
		for _, i := range feed.Sample(7, rest, 32) {
			if before[rest[i]] {
				same++
			}
		}
		Expect(same).To(BeNumerically(">=", 31))
	})
})
