package places_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/daemon/places"
)

// A daemon of a large zone doesn't read the targets' entries itself. It has to know of the leaves of
// the targets at which its work runs.
var _ = Describe("A sample of the targets", func() {
	const drain = time.Second
	view := func(name string) *places.Places {
		return places.New(places.Options{Host: name, Zone: "z", PeerAddress: name, FleetSize: func() int { return 100 },
			LargeZone: func() bool { return true }, Drain: drain, Logger: zap.NewNop()})
	}
	target := roster.Target{ID: "t", Start: roster.StartOf("t", 0), Group: "g", Address: "t", Zone: "z", Slots: 4}

	DescribeTable("passes on the announced leave of a target", func(ago time.Duration, leave func(at time.Time, r *roster.Roster), known, over bool) {
		reader, subscriber := view("reader"), view("subscriber")
		reader.Update(func(now time.Time, r *roster.Roster) {
			for at := now.Add(-ago - time.Second); at.Before(now.Add(-ago)); at = at.Add(time.Second / 2) {
				r.StoreAnswered(at)
				r.Set(at, target)
				r.Set(at, roster.Target{ID: "other", Group: "g", Address: "other", Zone: "z", Slots: 4})
			}
			at := now.Add(-ago)
			r.StoreAnswered(at)
			leave(at, r)
		})
		sample, sampled := reader.Sample("subscriber", false, []string{"t"})
		Expect(sampled).To(BeTrue())
		subscriber.Adopt(time.Now(), sample.Targets, false)
		subscriber.AdoptDepartures(time.Now(), sample.Departures)
		for _, p := range []*places.Places{reader, subscriber} {
			d := p.Departure(target)
			Expect(d.Announced).To(Equal(known))
			Expect(d.Over).To(Equal(over))
		}
		restarted := target
		restarted.Born, restarted.Start = 7, roster.StartOf("t", 7)
		Expect(subscriber.Departure(restarted).Announced).To(BeFalse())
	},
		Entry("none", time.Duration(0), func(time.Time, *roster.Roster) {}, false, false),
		Entry("that has begun", time.Duration(0), drains, true, false),
		Entry("that is over", drain, drains, true, true),
		Entry("by the removal of its entry", time.Duration(0), removes, true, false),
		Entry("by the removal of its entry, that is over", drain, removes, true, true),
	)
})

func drains(at time.Time, r *roster.Roster) {
	t, _ := r.Entry("t")
	t.Draining = true
	r.Set(at, t)
}

func removes(at time.Time, r *roster.Roster) { r.Remove(at, "t") }
