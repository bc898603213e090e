package roster_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/roster"
)

// What a target has announced decides whether its process may have ended in order.
var _ = Describe("The roster's departures", func() {
	const heartbeat = 1200 * time.Millisecond
	start := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	var r *roster.Roster
	// answers lets the store answer at the given time, with an entry of the target unless it is nil.
	answers := func(d time.Duration, t *roster.Target) {
		r.StoreAnswered(at(d))
		if t != nil {
			r.Set(at(d), *t)
		}
	}
	ready, draining := &roster.Target{ID: "a", Born: 1}, &roster.Target{ID: "a", Born: 1, Draining: true}
	departure := func() (roster.Departure, bool) { return r.Departure("a", roster.StartOf("a", 1)) }
	BeforeEach(func() {
		r = roster.New()
		answers(0, ready)
		answers(time.Second, ready)
	})

	It("are unknown for a target that serves", func() {
		_, known := departure()
		Expect(known).To(BeFalse())
	})

	It("begin after the last answer without the announcement", func() {
		answers(2*time.Second, nil)
		answers(2400*time.Millisecond, draining)
		answers(3600*time.Millisecond, draining)
		d, known := departure()
		Expect(known).To(BeTrue())
		Expect(d.Since).To(Equal(at(2 * time.Second)))
		Expect(d.Announced(heartbeat)).To(BeTrue())
	})

	It("outlast the removal of the entry", func() {
		answers(2*time.Second, draining)
		answers(4*time.Second, nil)
		r.Remove(at(4*time.Second), "a")
		d, known := departure()
		Expect(known).To(BeTrue())
		Expect(d.Since).To(Equal(at(time.Second)))
		Expect(d.Announced(heartbeat)).To(BeTrue())
	})

	It("include the removal of an entry that was written just before", func() {
		answers(2*time.Second, ready)
		answers(3*time.Second, nil)
		r.Remove(at(3*time.Second), "a")
		d, known := departure()
		Expect(known).To(BeTrue())
		Expect(d.Since).To(Equal(at(2 * time.Second)))
		Expect(d.Announced(heartbeat)).To(BeTrue())
	})

	// Guards against a crashed target that is taken for one that leaves when its entry expires.
	It("don't include an entry that expired", func() {
		answers(2*time.Second, ready)
		for d := 3 * time.Second; d <= 5*time.Second; d += time.Second {
			answers(d, nil)
		}
		answers(5700*time.Millisecond, nil)
		r.Remove(at(5700*time.Millisecond), "a")
		d, _ := departure()
		Expect(d.Announced(heartbeat)).To(BeFalse())
	})

	// Guards against the same where the daemon was cut off from the store, and the last entry and its
	// removal arrive together.
	It("don't include a removal after the store was out of reach", func() {
		answers(6*time.Second, ready)
		r.Remove(at(6*time.Second), "a")
		d, _ := departure()
		Expect(d.Announced(heartbeat)).To(BeFalse())
	})

	It("end when the target is ready again or starts again", func() {
		answers(2*time.Second, draining)
		answers(3*time.Second, ready)
		_, known := departure()
		Expect(known).To(BeFalse())
		answers(4*time.Second, draining)
		answers(5*time.Second, &roster.Target{ID: "a", Born: 2})
		_, known = departure()
		Expect(known).To(BeFalse())
		_, known = r.DepartureOf("a")
		Expect(known).To(BeFalse())
	})

	It("are forgotten", func() {
		r.Remove(at(2*time.Second), "a")
		late := 10 * time.Minute
		answers(late, &roster.Target{ID: "b"})
		r.Remove(at(late), "b")
		_, known := r.DepartureOf("a")
		Expect(known).To(BeFalse())
	})
})
