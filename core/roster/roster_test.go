package roster_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/roster"
)

func TestRoster(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "roster")
}

var _ = Describe("The roster", func() {
	start := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	ids := func(r *roster.Roster, now time.Time) []string {
		list, _ := r.Usable(now)
		names := []string{}
		for _, t := range list {
			names = append(names, t.ID)
		}
		return names
	}
	fresh := func() *roster.Roster {
		r := roster.New()
		r.Heard(at(0))
		r.Replace(at(0), []roster.Target{{ID: "a"}, {ID: "b"}, {ID: "c", Draining: true}})
		return r
	}

	It("uses what is listed and does not drain", func() {
		r := fresh()
		Expect(ids(r, at(0))).To(Equal([]string{"a", "b"}))
		r.Set(roster.Target{ID: "a", Draining: true})
		Expect(ids(r, at(0))).To(Equal([]string{"b"}))
	})

	It("drops a target at once whose entry vanishes while the store is heard", func() {
		r := fresh()
		r.Heard(at(time.Second))
		r.Remove(at(time.Second), "a")
		Expect(ids(r, at(time.Second))).To(Equal([]string{"b"}))
	})

	// The store was away for seconds and let the entries of living targets lapse.
	// When it returns, the list is empty: every request would be refused although
	// all targets serve. They write their entries again within 2 s.
	It("keeps targets whose entries lapsed with the store away, until they had time to return", func() {
		r := fresh()
		back := at(6 * time.Second)
		r.Heard(back)
		r.Replace(back, nil)
		Expect(ids(r, back)).To(Equal([]string{"a", "b"}))
		r.Set(roster.Target{ID: "a", Address: "new"})
		list, until := r.Usable(back.Add(time.Second))
		Expect(list).To(HaveLen(2))
		Expect(list[0].Address).To(Equal("new"))
		Expect(until).To(Equal(back.Add(roster.ReturnGrace)))
		Expect(ids(r, until)).To(Equal([]string{"a"}))
	})

	It("gives no grace to a target that drained before the store went away", func() {
		r := fresh()
		r.Set(roster.Target{ID: "b", Draining: true})
		back := at(6 * time.Second)
		r.Heard(back)
		r.Replace(back, nil)
		Expect(ids(r, back)).To(Equal([]string{"a"}))
	})

	It("does not extend the grace with every answer", func() {
		r := fresh()
		back := at(6 * time.Second)
		for d := time.Duration(0); d <= roster.ReturnGrace; d += roster.ReturnGrace / 4 {
			r.Heard(back.Add(d))
		}
		r.Remove(back.Add(roster.ReturnGrace), "a")
		Expect(ids(r, back.Add(roster.ReturnGrace))).To(Equal([]string{"b"}))
	})
})
