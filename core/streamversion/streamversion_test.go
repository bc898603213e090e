package streamversion_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/streamversion"
)

func TestStreamVersion(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "streamversion")
}

var start = time.Unix(1_800_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func versions(list ...string) map[string]map[string]bool {
	set := map[string]bool{}
	for _, v := range list {
		set[v] = true
	}
	return map[string]map[string]bool{"g": set}
}

var _ = Describe("A history of versions", func() {
	var h *streamversion.History
	BeforeEach(func() { h = &streamversion.History{} })

	It("knows a single version once it covers the memory", func() {
		h.Observe(start, versions("v1"))
		_, ok := h.Single(at(streamversion.Memory-1), "g")
		Expect(ok).To(BeFalse())
		version, ok := h.Single(at(streamversion.Memory), "g")
		Expect(ok).To(BeTrue())
		Expect(version).To(Equal("v1"))
	})

	// A stream of a version that has gone is taken for one of the version that is left.
	It("knows no single version while another one was there within the memory", func() {
		h.Observe(start, versions("v1"))
		h.Observe(at(2*time.Minute), versions("v1", "v2"))
		h.Observe(at(3*time.Minute), versions("v2"))
		_, ok := h.Single(at(3*time.Minute+streamversion.Memory), "g")
		Expect(ok).To(BeFalse())
		Expect(h.Versions(at(3*time.Minute+streamversion.Memory), "g")).To(Equal([]string{"v1", "v2"}))
		version, ok := h.Single(at(3*time.Minute+streamversion.Memory+1), "g")
		Expect(ok).To(BeTrue())
		Expect(version).To(Equal("v2"))
	})

	// A version came and went while the list of targets was not followed.
	It("knows no single version after an interruption", func() {
		h.Observe(start, versions("v1"))
		h.Interrupted(at(2 * time.Minute))
		_, ok := h.Single(at(2*time.Minute+1), "g")
		Expect(ok).To(BeFalse())
	})

	It("knows no single version of a group without targets, or with one of unknown version", func() {
		h.Observe(start, versions("v1", ""))
		_, ok := h.Single(at(2*time.Minute), "g")
		Expect(ok).To(BeFalse())
		_, ok = h.Single(at(2*time.Minute), "other")
		Expect(ok).To(BeFalse())
	})
})

var _ = Describe("Records of versions", func() {
	seen := func(version string, last time.Time, observed bool) streamversion.Seen {
		return streamversion.Seen{Group: "g", Version: version, Last: last, Observed: observed}
	}

	It("are due for each version once, and again while it has targets", func() {
		var r streamversion.Records
		due := r.Due([]streamversion.Seen{seen("v1", start, true), seen("v2", start, true)})
		Expect(due).To(HaveLen(2))
		r.Kept(due...)
		Expect(r.Due([]streamversion.Seen{seen("v1", at(streamversion.RefreshEvery-1), true)})).To(BeEmpty())
		Expect(r.Due([]streamversion.Seen{seen("v1", at(streamversion.RefreshEvery), true)})).To(HaveLen(1))
	})

	// Guards against versions that never go: each start would extend what the record shows.
	It("are not extended by what was restored from them", func() {
		var r streamversion.Records
		k := streamversion.Recorded{Group: "g", Version: "v1", At: start.UnixMilli()}
		r.Kept(k)
		now := at(streamversion.Memory)
		s, ok := k.Seen(now)
		Expect(ok).To(BeTrue())
		Expect(s.Last.After(start.Add(streamversion.RefreshEvery))).To(BeTrue(), "streams may have begun until then")
		var h streamversion.History
		h.Observe(now, versions("v2"))
		h.Restore(start, []streamversion.Seen{s})
		Expect(h.Versions(now, "g")).To(Equal([]string{"v1", "v2"}))
		for _, due := range r.Due(h.Seen(now)) {
			Expect(due.Version).To(Equal("v2"))
		}
	})

	It("tell nothing when they are too old, and of a clock that is ahead no more than now", func() {
		k := streamversion.Recorded{Group: "g", Version: "v1", At: start.UnixMilli()}
		_, ok := k.Seen(at(3 * streamversion.Memory))
		Expect(ok).To(BeFalse())
		s, ok := k.Seen(at(-time.Second))
		Expect(ok).To(BeTrue())
		Expect(s.Last).To(Equal(at(-time.Second)))
	})
})

var _ = Describe("A history that is restored", func() {
	// Guards against a record that is forgotten with the next change of the list of targets.
	It("covers the time from which versions were recorded, until the next interruption", func() {
		var h streamversion.History
		h.Interrupted(start)
		h.Observe(start, versions("v1"))
		h.Restore(at(-time.Hour), nil)
		h.Interrupted(start)
		h.Observe(at(1), versions("v1"))
		version, ok := h.Single(at(2), "g")
		Expect(ok).To(BeTrue())
		Expect(version).To(Equal("v1"))
		h.Interrupted(at(3))
		_, ok = h.Single(at(4), "g")
		Expect(ok).To(BeFalse())
	})

	It("knows versions that it has not seen itself, and keeps what it has seen later", func() {
		var h streamversion.History
		h.Observe(start, versions("v1"))
		h.Restore(at(-time.Hour), []streamversion.Seen{{Group: "g", Version: "v2", Last: start}, {Group: "g", Version: "v1", Last: at(-time.Minute)}})
		_, ok := h.Single(at(streamversion.Memory), "g")
		Expect(ok).To(BeFalse())
		version, ok := h.Single(at(streamversion.Memory+1), "g")
		Expect(ok).To(BeTrue())
		Expect(version).To(Equal("v1"))
	})
})

var _ = Describe("A table of streams' versions", func() {
	var t *streamversion.Table
	record := streamversion.Record{Stream: "s", Group: "g", Version: "v1"}
	always := func(string) bool { return true }
	BeforeEach(func() { t = &streamversion.Table{} })

	It("keeps a record for the memory, and drops it after twice that", func() {
		t.Add(start, record, true)
		for i := range 130 {
			t.Add(at(time.Duration(i)*time.Second), streamversion.Record{Stream: fmt.Sprint(i), Group: "g", Version: "v1"}, false)
			_, known := t.Find("s")
			if i <= 60 {
				Expect(known).To(BeTrue(), "after %d s", i)
			}
		}
		_, known := t.Find("s")
		Expect(known).To(BeFalse())
	})

	// Two daemons name different versions for one stream: neither may be guessed.
	It("holds a stream with two versions as uncertain", func() {
		t.Add(start, record, false)
		t.Add(start, streamversion.Record{Stream: "s", Group: "g", Version: "v2"}, false)
		e, known := t.Find("s")
		Expect(known).To(BeTrue())
		Expect(e.Version).To(BeEmpty())
		t.Add(start, record, false)
		e, _ = t.Find("s")
		Expect(e.Version).To(BeEmpty())
	})

	// Streams that began while one version served are unknown elsewhere once another one comes.
	It("returns each record of the daemon's own once, when its group needs it", func() {
		t.Add(start, record, true)
		t.Add(start, streamversion.Record{Stream: "other daemon's", Group: "g", Version: "v1"}, false)
		Expect(t.Unsent(at(time.Second), func(string) bool { return false })).To(BeEmpty())
		Expect(t.Unsent(at(time.Second), always)).To(Equal([]streamversion.Record{record}))
		Expect(t.Unsent(at(time.Second), always)).To(BeEmpty())
	})

	It("is bounded", func() {
		for i := range 100_000 {
			t.Add(start, streamversion.Record{Stream: fmt.Sprint(i), Group: "g", Version: "v1"}, true)
		}
		Expect(t.Len()).To(BeNumerically("<=", 40_000))
	})
})

var _ = Describe("Holders of a stream's record", func() {
	It("are nearly the same for nearly the same list of daemons", func() {
		var all []string
		for i := range 13 {
			all = append(all, fmt.Sprint("10.0.0.", i))
		}
		common := 0
		for i := range 100 {
			first := streamversion.NewHosts(all).Holders(fmt.Sprint(i), 3)
			Expect(first).To(HaveLen(3))
			for _, a := range streamversion.NewHosts(all[1:]).Holders(fmt.Sprint(i), 3) {
				for _, b := range first {
					if a == b {
						common++
					}
				}
			}
		}
		Expect(common).To(BeNumerically(">", 260))
	})

	It("are spread evenly", func() {
		var all []string
		for i := range 13 {
			all = append(all, fmt.Sprint("10.0.0.", i))
		}
		hosts, held := streamversion.NewHosts(all), map[string]int{}
		for i := range 1300 {
			for _, address := range hosts.Holders(fmt.Sprintf("%016x", i), 4) {
				held[address]++
			}
		}
		for _, address := range all {
			Expect(held[address]).To(BeNumerically("~", 400, 100), address)
		}
	})
})
