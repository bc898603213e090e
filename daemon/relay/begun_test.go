package relay_test

import (
	"net"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/route"
	"tarragonhollow.example/tarragonhollow/target/rawtarget"
)

// moment is how long no target takes work, well below the time that callers wait.
const moment = 600 * time.Millisecond

// breakOff begins a stream and breaks it off.
func breakOff(c net.Conn) {
	rawtarget.Write(c, streamHead()+events(0, 1))
	time.Sleep(100 * time.Millisecond)
	rawtarget.Reset(c)
}

var _ = Describe("The relay of a begun stream that no target takes for a moment", func() {
	whole := plain(span(0, 3)...)

	// A stream's target falls silent, and those that are to go on reject it for a while.
	It("completes a stream that more targets reject than a new request may try", func() {
		f := newSilentFixture(route.Stream)
		var rejected atomic.Int64
		f.start(7, func(_ int, r *rawtarget.Request, c net.Conn) {
			switch {
			case !resumed(r):
				beginAndPause(c)
			case rejected.Add(1) <= 6:
				reject(c)
			default:
				rawtarget.Write(c, streamHead()+events(2, 3)+rawtarget.LastChunk)
			}
		})
		Expect(f.serveAll(1, whole)).To(Equal(tally{whole: 1}))
	})

	// Its target crashes, and those that are to go on reject it until one has a free slot.
	It("goes on when a target takes it again", func() {
		f := newSilentFixture(route.Stream)
		var freeAt atomic.Pointer[time.Time]
		f.start(7, func(_ int, r *rawtarget.Request, c net.Conn) {
			at := time.Now().Add(moment)
			switch {
			case !resumed(r):
				freeAt.CompareAndSwap(nil, &at)
				breakOff(c)
			case time.Now().Before(*freeAt.Load()):
				reject(c)
			default:
				rawtarget.Write(c, streamHead()+events(2, 3)+rawtarget.LastChunk)
			}
		})
		Expect(f.serveAll(1, whole)).To(Equal(tally{whole: 1}))
		Expect(len(f.sent())).To(BeNumerically("<", 12), "rejections are not spaced out")
	})

	// Many streams' targets crash at once, and those that are to go on reject them for longer than the
	// caller's last half second. Guards against streams that are cut off since rejections, which cost no
	// target a run, have spent the retry budget.
	It("goes on when a target takes it again, however many others were rejected", func() {
		f := newSilentFixture(route.Stream)
		const streams = 15
		var freeAt atomic.Pointer[time.Time]
		f.start(7, func(_ int, r *rawtarget.Request, c net.Conn) {
			at := time.Now().Add(2 * moment)
			switch {
			case !resumed(r):
				freeAt.CompareAndSwap(nil, &at)
				breakOff(c)
			case time.Now().Before(*freeAt.Load()):
				reject(c)
			default:
				rawtarget.Write(c, streamHead()+events(2, 3)+rawtarget.LastChunk)
			}
		})
		Expect(f.serveAll(streams, whole)).To(Equal(tally{whole: streams}))
	})

	// Its target crashes while the daemon knows no target, or none of the stream's version.
	DescribeTable("goes on when a target is known again",
		func(change func(f *silentFixture)) {
			f := newSilentFixture(route.Stream)
			var began atomic.Int64
			f.start(2, func(_ int, r *rawtarget.Request, c net.Conn) {
				if !resumed(r) {
					began.Add(1)
					breakOff(c)
					return
				}
				rawtarget.Write(c, streamHead()+events(2, 3)+rawtarget.LastChunk)
			})
			before := append(f.list[:0:0], f.list...)
			go func() {
				defer GinkgoRecover()
				Eventually(began.Load).WithTimeout(timeout).WithPolling(time.Millisecond).Should(Equal(int64(10)))
				change(f)
				f.announce()
				time.Sleep(moment)
				f.list = before
				f.announce()
			}()
			Expect(f.serveAll(10, whole)).To(Equal(tally{whole: 10}))
		},
		Entry("after none", func(f *silentFixture) { f.list = nil }),
		Entry("after draining ones", func(f *silentFixture) { f.list[0].Draining, f.list[1].Draining = true, true }),
		Entry("after ones of another version", func(f *silentFixture) { f.list[0].Version, f.list[1].Version = "v2", "v2" }),
	)

	// No target takes it again. The caller's wait is over, and the stream is cut off visibly.
	It("is cut off when its caller's wait is over", func() {
		f := newSilentFixture(route.Stream)
		f.request.Deadline = time.Now().Add(time.Minute)
		f.start(3, func(_ int, r *rawtarget.Request, c net.Conn) {
			if !resumed(r) {
				breakOff(c)
				return
			}
			reject(c)
		})
		w, result := f.serve()
		Expect(result.Aborted).To(BeTrue())
		Expect(w.Body.String()).To(Equal(plain(0, 1)))
	})
})
