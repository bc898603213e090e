package jobs_test

import (
	"fmt"
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/batch"
	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/core/route"
	"tarragonhollow.example/tarragonhollow/target/rawtarget"
)

var _ = Describe("Items, with targets of several software versions", func() {
	const resumed = brokenEvents - 1
	var f *versionFixture
	BeforeEach(func() { f = newVersionFixture() })
	v1, v2 := versionText("v1", versionEvents), versionText("v2", versionEvents)

	// Events of two software versions in one output.
	It("resume only at a target of the version that sent the first event", func() {
		const items = 16 // enough for one that would be mixed by chance
		f.startTargets("v1", "v2", "v1", "v2")
		a := f.holder("a", f.entries)
		a.submit(items)
		for _, output := range a.outputs() {
			Expect(output).To(Or(Equal(v1), Equal(v2)))
		}
		Expect(f.requests()).To(HaveLen(2*items), "items started over")
	})

	// Events of two software versions, the first of them received by another daemon.
	It("go on from saved progress only at a target of the version that sent it", func() {
		f.startTargets("v1", "v2", "v2", "v2")
		a := f.holder("a", f.entriesOf("v1"))
		f.setRespond(func(version string, r *rawtarget.Request, c net.Conn) { writeEvents(version, r, c, brokenEvents) })
		const items = 3 // enough for one that would be mixed by chance
		a.submit(items)
		Eventually(f.savedProgress).WithTimeout(limit).Should(HaveLen(items))
		a.stop()
		before := len(f.requests())
		f.setRespond(finishItem)
		b := f.holder("b", f.entries)
		Expect(b.outputs()).To(HaveEach(v1))
		Expect(f.requests()[before:]).To(And(HaveLen(items), HaveEach(fmt.Sprintf("v1:%d", resumed))))
	})

	// A daemon that restores progress whose version serves nowhere joins it to another version's
	// events, or waits for ever.
	It("start over if no target of the version of their saved progress is left", func() {
		f.startTargets("v2")
		b := f.holderAfter(batch.Progress{Version: "v1"})
		Expect(b.outputs()).To(Equal([]string{v2}))
		Expect(f.requests()).To(Equal([]string{"v2:"}))
		Expect(f.startOvers()).To(Equal([]string{fmt.Sprintf("no slot at a target of the version: %d", brokenEvents)}))
	})

	// The previous build doesn't save the version. Its progress may even hold events of two.
	It("start over if the version of their saved progress isn't known", func() {
		f.startTargets("v1")
		b := f.holderAfter(batch.Progress{Failures: 1})
		Expect(b.outputs()).To(Equal([]string{v1}))
		Expect(f.requests()).To(Equal([]string{"v1:"}))
		Expect(f.startOvers()).To(Equal([]string{fmt.Sprintf("the version of the events is not known: %d", brokenEvents)}))
	})

	// An item waits for a version that doesn't come back, or goes on at another one.
	It("start over at another version when the last target of theirs is gone", func() {
		f.startTargets("v1", "v2")
		gone := make(chan struct{})
		f.setRespond(func(version string, r *rawtarget.Request, c net.Conn) {
			if version == "v1" {
				writeEvents(version, r, c, brokenEvents)
				<-gone
				rawtarget.Reset(c)
				return
			}
			writeEvents(version, r, c, brokenEvents)
			time.Sleep(1200 * time.Millisecond) // until the progress is saved, less than a broken run's silence
			writeRest(version, c)
		})
		a := f.holder("a", f.entriesOf("v1"))
		a.submit(1)
		Eventually(f.savedProgress).WithTimeout(limit).Should(ConsistOf(HaveField("Version", "v1")))
		a.setTargets(f.entriesOf("v2"))
		close(gone)
		Eventually(f.savedProgress).WithTimeout(limit).ShouldNot(ContainElement(HaveField("Version", "v1")))
		Expect(a.outputs()).To(Equal([]string{v2}))
		Expect(f.requests()).To(Equal([]string{"v1:", "v2:"}))
		Eventually(f.savedProgress).WithTimeout(limit).Should(BeEmpty())
	})

	// The targets of an item's version take no more work for as long as they live.
	It("start over at another version when the targets of theirs are full", func() {
		f.startTargets("v1", "v2")
		a := f.holder("a", f.entriesOf("v1"))
		var once sync.Once
		f.setRespond(func(version string, r *rawtarget.Request, c net.Conn) {
			once.Do(func() {
				full := append([]roster.Target(nil), f.entries...)
				full[0].Slots = 0
				a.setTargets(full)
			})
			breakOffAt("v1")(version, r, c)
		})
		a.submit(1)
		Expect(a.outputs()).To(Equal([]string{v2}))
		Expect(f.requests()).To(Equal([]string{"v1:", "v2:"}))
	})

	// The only target of a version broke the item's run off. It is avoided if there is another
	// one, and the item must not lose its events because there is none.
	It("resume at the target that broke them off if it is the only one of their version", func() {
		f.startTargets("v1", "v2")
		a := f.holder("a", f.entriesOf("v1"))
		var once sync.Once
		f.setRespond(func(version string, r *rawtarget.Request, c net.Conn) {
			once.Do(func() { a.setTargets(f.entries) })
			breakOffAt("v1")(version, r, c)
		})
		a.submit(1)
		Expect(a.outputs()).To(Equal([]string{v1}))
		Expect(f.requests()).To(Equal([]string{"v1:", fmt.Sprintf("v1:%d", resumed)}))
	})

	// An answer without framing ends early at one version, and a target of another one has nothing
	// to add after the same event.
	It("don't take an end at another version for the confirmation of theirs", func() {
		f.startTargets("v1", "v2")
		a := f.holder("a", f.entriesOf("v1"))
		f.setRespond(func(version string, r *rawtarget.Request, c net.Conn) {
			id, after := r.Header.Get("Id"), r.Header.Get("After")
			switch {
			case version == "v1":
				a.setTargets(f.entriesOf("v2"))
				rawtarget.Write(c, rawtarget.Head(200, "Id: "+id)+rawtarget.Event(0, "v1.0")+rawtarget.Event(1, "v1.1"))
				_ = c.Close()
			case after != "":
				rawtarget.Write(c, rawtarget.Whole(200, "", "Id: "+id))
			default:
				finishItem(version, r, c)
			}
		})
		a.submit(1)
		Expect(a.outputs()).To(Equal([]string{v2}))
		Expect(f.requests()).To(Equal([]string{"v1:", "v2:"}))
	})

	// A target restarts under its ID with another version before its entry says so. What it sent
	// in between may be of either version.
	DescribeTable("start over if their target has another version since",
		func(respond func(change func()) func(string, *rawtarget.Request, net.Conn)) {
			f.startTargets("v1")
			a := f.holder("a", f.entries)
			changed := append([]roster.Target(nil), f.entries...)
			changed[0].Born, changed[0].Version = 1, "v2"
			f.setRespond(respond(func() { a.setTargets(changed) }))
			a.submit(1)
			Expect(a.outputs()).To(Equal([]string{v2}))
			Expect(f.requests()).To(Equal([]string{"v1:", "v1:"}))
			Expect(f.startOvers()).To(HaveLen(1))
		},
		Entry("while the run goes on", func(change func()) func(string, *rawtarget.Request, net.Conn) {
			return restartingTarget(func(r *rawtarget.Request, c net.Conn) {
				writeEvents("v1", r, c, brokenEvents)
				time.Sleep(100 * time.Millisecond) // until the events have arrived
				change()
			})
		}),
		Entry("when the run has broken off", func(change func()) func(string, *rawtarget.Request, net.Conn) {
			return restartingTarget(func(r *rawtarget.Request, c net.Conn) {
				writeEvents("v1", r, c, brokenEvents)
				rawtarget.Reset(c)
				time.Sleep(100 * time.Millisecond) // less than the delay after a failure
				change()
			})
		}),
	)

	// Two services have a version of the same name, and an item goes on at the other one.
	It("resume in the group in which they began, on a route to several", func() {
		const items = 16 // enough for one that would be mixed by chance
		f.route.Groups = []route.Share{{Group: "g", Weight: 1}, {Group: "h", Weight: 1}}
		f.startTargets("v1", "v2")
		f.entries[1].Group, f.entries[1].Version = "h", "v1"
		a := f.holder("a", f.entries)
		a.submit(items)
		for _, output := range a.outputs() {
			Expect(output).To(Or(Equal(v1), Equal(v2)))
		}
		Expect(f.requests()).To(HaveLen(2*items), "items started over")
	})

	// A target started again under its ID, at another version, and its entry doesn't say so yet.
	It("don't go on at a target that has started again", func() {
		f.startTargets("v1", "v1")
		for i := range f.entries {
			f.entries[i].Born = 5
		}
		var mu sync.Mutex
		broken := ""
		f.identity = func(address string) string {
			mu.Lock()
			defer mu.Unlock()
			if broken != "" && address != broken {
				return "6"
			}
			return "5"
		}
		f.setRespond(func(version string, r *rawtarget.Request, c net.Conn) {
			mu.Lock()
			defer mu.Unlock()
			switch address := c.LocalAddr().String(); broken {
			case "":
				broken = address
				writeEvents(version, r, c, brokenEvents)
				rawtarget.Reset(c)
			case address:
				finishItem(version, r, c)
			default:
				finishItem("v2", r, c)
			}
		})
		a := f.holder("a", f.entries)
		a.submit(1)
		Expect(a.outputs()).To(Equal([]string{v1}))
	})

	// Logs must show which version ran an item's events, and which one was wanted.
	It("log the version of each run and the one wanted", func() {
		f.startTargets("v1")
		a := f.holder("a", f.entries)
		a.submit(1)
		Expect(a.outputs()).To(Equal([]string{v1}))
		runs := f.lines.FilterMessage("item_run_ended").All()
		Expect(runs).To(HaveLen(2))
		Expect(runs[0].ContextMap()).To(And(HaveKeyWithValue("version", "v1"), HaveKeyWithValue("version_wanted", "")))
		Expect(runs[1].ContextMap()).To(And(HaveKeyWithValue("version", "v1"), HaveKeyWithValue("version_wanted", "v1")))
	})
})
