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
		r.StoreAnswered(at(0))
		r.Replace(at(0), []roster.Target{{ID: "a"}, {ID: "b"}, {ID: "c", Draining: true}})
		return r
	}

	// Ten thousand targets rewrite their entries all the time. A daemon must not
	// recompute its groups at each write: that would waste its CPU.
	It("counts changes, but not heartbeats", func() {
		r := fresh()
		version := r.Version(at(0))
		r.StoreAnswered(at(time.Second))
		r.Set(at(time.Second), roster.Target{ID: "a"})
		Expect(r.Version(at(time.Second))).To(Equal(version))
		r.Set(at(time.Second), roster.Target{ID: "a", Draining: true})
		Expect(r.Version(at(time.Second))).NotTo(Equal(version))
		version = r.Version(at(time.Second))
		r.Remove(at(2*time.Second), "b")
		Expect(r.Version(at(2 * time.Second))).NotTo(Equal(version))
	})

	It("counts changes due to time alone", func() {
		r := fresh()
		back := at(6 * time.Second)
		r.StoreAnswered(back)
		r.Replace(back, nil)
		_, until := r.Usable(back)
		version := r.Version(back)
		Expect(r.Version(until.Add(-1))).To(Equal(version))
		Expect(r.Version(until)).NotTo(Equal(version))
	})

	// A daemon of a large zone holds a sample that a reader of the log chose.
	It("adopts a sample unchanged, and is complete again after a list of all targets", func() {
		r := fresh()
		Expect(r.Complete()).To(BeTrue())
		r.Adopt(at(10*time.Second), []roster.Target{{ID: "b"}, {ID: "z"}}, false)
		Expect(ids(r, at(10*time.Second))).To(Equal([]string{"b", "z"}))
		Expect(r.Complete()).To(BeFalse())
		r.Confirm(at(9 * time.Second))
		Expect(r.Age(at(11 * time.Second))).To(Equal(time.Second))
		r.Adopt(at(12*time.Second), []roster.Target{{ID: "z"}}, true)
		Expect(ids(r, at(12*time.Second))).To(Equal([]string{"z"}), "no grace period for what the reader dropped")
		Expect(r.Complete()).To(BeTrue())
		r.Adopt(at(13*time.Second), nil, false)
		r.StoreAnswered(at(13 * time.Second))
		r.Replace(at(13*time.Second), []roster.Target{{ID: "a"}})
		Expect(r.Complete()).To(BeTrue())
	})

	It("uses listed targets that are not draining", func() {
		r := fresh()
		Expect(ids(r, at(0))).To(Equal([]string{"a", "b"}))
		r.Set(at(0), roster.Target{ID: "a", Draining: true})
		Expect(ids(r, at(0))).To(Equal([]string{"b"}))
	})

	It("drops a target immediately if its entry vanishes while the store answers", func() {
		r := fresh()
		r.StoreAnswered(at(time.Second))
		r.Remove(at(time.Second), "a")
		Expect(ids(r, at(time.Second))).To(Equal([]string{"b"}))
	})

	// The store was unavailable for seconds and let the entries of live targets expire.
	// When it returns, the list is empty: every request would be refused although all
	// targets serve. They rewrite their entries within 2 s.
	It("keeps targets whose entries expired during an outage of the store, until they had time to rewrite them", func() {
		r := fresh()
		back := at(6 * time.Second)
		r.StoreAnswered(back)
		r.Replace(back, nil)
		Expect(ids(r, back)).To(Equal([]string{"a", "b"}))
		r.Set(at(0), roster.Target{ID: "a", Address: "new"})
		list, until := r.Usable(back.Add(time.Second))
		Expect(list).To(HaveLen(2))
		Expect(list[0].Address).To(Equal("new"))
		Expect(until).To(Equal(back.Add(roster.ReturnGrace)))
		Expect(ids(r, until)).To(Equal([]string{"a"}))
	})

	It("gives no grace period to a target that was draining before the outage", func() {
		r := fresh()
		r.Set(at(0), roster.Target{ID: "b", Draining: true})
		back := at(6 * time.Second)
		r.StoreAnswered(back)
		r.Replace(back, nil)
		Expect(ids(r, back)).To(Equal([]string{"a"}))
	})

	It("does not extend the grace period with every answer", func() {
		r := fresh()
		back := at(6 * time.Second)
		for d := time.Duration(0); d <= roster.ReturnGrace; d += roster.ReturnGrace / 4 {
			r.StoreAnswered(back.Add(d))
		}
		r.Remove(back.Add(roster.ReturnGrace), "a")
		Expect(ids(r, back.Add(roster.ReturnGrace))).To(Equal([]string{"b"}))
	})

	// A target crashes, restarts under its ID at another address and writes an entry;
	// only then does the last write of its earlier start take effect, seconds late.
	// Requests must not go back to the old address, and a draining target must not look
	// ready.
	It("lets no late entry of an earlier start replace a later one", func() {
		r := fresh()
		r.Set(at(0), roster.Target{ID: "a", Born: 100, Address: "old"})
		r.Set(at(0), roster.Target{ID: "a", Born: 200, Address: "new"})
		r.Set(at(time.Second), roster.Target{ID: "a", Born: 100, Address: "old"})
		list, _ := r.Usable(at(time.Second))
		Expect(list[0].Address).To(Equal("new"))
		r.Set(at(2*time.Second), roster.Target{ID: "a", Born: 200, Address: "new", Draining: true})
		r.Set(at(3*time.Second), roster.Target{ID: "a", Born: 100, Address: "old"})
		Expect(ids(r, at(4*time.Second))).To(Equal([]string{"b"}))
		r.Set(at(5*time.Second), roster.Target{ID: "a", Born: 200, Address: "new", Draining: true})
		Expect(ids(r, at(time.Minute))).To(Equal([]string{"b"}))
	})

	// A target's clock goes back, and it restarts: by that clock its later start is the
	// earlier one. It must not stay unused forever.
	It("accepts a start that was born earlier if the later one writes nothing more", func() {
		r := fresh()
		r.Set(at(0), roster.Target{ID: "a", Born: 200, Address: "old"})
		r.Set(at(time.Second), roster.Target{ID: "a", Born: 150, Address: "new"})
		_, until := r.Usable(at(2 * time.Second))
		Expect(until).To(Equal(at(time.Second + roster.LateWriteWindow)))
		list, _ := r.Usable(until)
		Expect(list[0].Address).To(Equal("new"))
	})

	It("accepts any start once the entry is removed", func() {
		r := fresh()
		r.StoreAnswered(at(time.Second))
		r.Set(at(time.Second), roster.Target{ID: "a", Born: 200})
		r.Remove(at(time.Second), "a")
		r.Set(at(time.Second), roster.Target{ID: "a", Born: 100})
		Expect(r.CurrentStart("a")).To(Equal(roster.StartOf("a", 100)))
	})

	It("gives each start of a target a different, short name", func() {
		names := map[roster.Start]bool{}
		for _, id := range []string{"a", "b", "a-longer-name-of-a-target"} {
			for born := range int64(50) {
				name := roster.StartOf(id, 1_800_000_000_000+born)
				Expect(name).To(HaveLen(11))
				names[name] = true
			}
		}
		Expect(names).To(HaveLen(150))
	})

	// Something else overwrites a target's entry. Nothing is known of the target then; it
	// must not stay in use for the grace period of an expired entry.
	It("drops a target immediately if its entry is invalidated", func() {
		r := fresh()
		back := at(6 * time.Second)
		r.StoreAnswered(back)
		r.Replace(back, []roster.Target{{ID: "b"}}, "a")
		Expect(ids(r, back)).To(Equal([]string{"b"}))
	})

	// The store rejects this daemon's requests and serves the others, while one target of
	// several leaves without draining. It must get no work during the grace period: it
	// ends within that time.
	It("gives no grace period where only a part of a group vanishes", func() {
		r := roster.New()
		r.StoreAnswered(at(0))
		r.Replace(at(0), []roster.Target{{ID: "a", Group: "g"}, {ID: "b", Group: "g"}, {ID: "c", Group: "g"}, {ID: "d", Group: "h"}})
		back := at(6 * time.Second)
		r.StoreAnswered(back)
		r.Remove(back, "a")
		Expect(ids(r, back)).To(Equal([]string{"b", "c", "d"}))
		r.Remove(back, "d")
		Expect(ids(r, back)).To(Equal([]string{"b", "c", "d"}))
		r.Remove(back, "b")
		Expect(ids(r, back)).To(Equal([]string{"a", "b", "c", "d"}))
		Expect(ids(r, back.Add(roster.ReturnGrace))).To(Equal([]string{"c"}))
	})
})

var _ = Describe("The versions of a roster's targets", func() {
	// A version whose only target came and went between two looks is taken for one that never was.
	It("include those that came and went since the last look", func() {
		now := time.Unix(1_800_000_000, 0)
		r := roster.New()
		r.Set(now, roster.Target{ID: "a", Group: "g", Version: "v1"})
		Expect(r.Versions()["g"]).To(HaveLen(1))
		r.Set(now, roster.Target{ID: "b", Group: "g", Version: "v2"})
		r.Remove(now, "b")
		Expect(r.Versions()["g"]).To(HaveLen(2))
		Expect(r.Versions()["g"]).To(HaveLen(1))
	})

	// A version whose targets all drain, or expired in an outage of the store, is taken for gone.
	It("include those of targets that get no new work", func() {
		now := time.Unix(1_800_000_000, 0)
		r := roster.New()
		r.StoreAnswered(now)
		r.Replace(now, []roster.Target{
			{ID: "a", Group: "g", Version: "v1", Draining: true}, {ID: "b", Group: "g", Version: "v2"}, {ID: "c", Group: "g", Version: "v3"},
		})
		now = now.Add(time.Minute)
		r.StoreAnswered(now)
		r.Remove(now, "c")
		Expect(r.Versions()).To(Equal(map[string]map[string]bool{"g": {"v1": true, "v2": true, "v3": true}}))
	})
})
