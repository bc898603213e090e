package relay_test

import (
	"context"
	"io"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/core/route"
	"tarragonhollow.example/tarragonhollow/daemon/relay/fakewire"
	"tarragonhollow.example/tarragonhollow/target/rawtarget"
)

// setVersions sets the software versions of the fixture's targets, in their order.
func (f *fixture) setVersions(versions ...string) {
	f.view.Update(func(now time.Time, r *roster.Roster) {
		for i, t := range f.targets {
			for _, entry := range []string{"t0", "t1", "t2", "t3", "t4", "t5"} {
				if known, ok := r.Entry(entry); ok && known.Address == t.Address {
					known.Version = versions[i]
					r.Set(now, known)
				}
			}
		}
	})
}

var _ = Describe("The relay of a stream, with targets of several versions", func() {
	const streams = 8 // enough for one that would be mixed by chance
	var f *fixture
	newStream := func() {
		f = newFixture()
		f.request.Route.Kind = route.Stream
		f.request.Route.Resumable = true
		f.request.Route.MaxAttempts = 4
		f.request.Route.GapObjective = 200 * time.Millisecond
	}
	BeforeEach(newStream)
	// breakOff lets the first target break its stream off after event 2; others go on.
	breakOff := func(turn int, _ *rawtarget.Request, c net.Conn) {
		if turn == 0 {
			rawtarget.Write(c, streamHead()+events(0, 2))
			rawtarget.Reset(c)
			return
		}
		rawtarget.Write(c, streamHead()+events(3, 5)+rawtarget.LastChunk)
	}

	// Events of two software versions in one answer.
	It("resumes only at a target of the version that sent the first event", func() {
		for range streams {
			newStream()
			f.startTargets(6, breakOff)
			f.setVersions("v1", "v2", "v1", "v2", "v1", "v2")
			w, result := f.serve()
			Expect(result.Aborted).To(BeFalse())
			Expect(w.Body.String()).To(Equal(plain(span(0, 5)...)))
			used := map[int]bool{}
			for i, t := range f.targets {
				if len(t.Requests()) > 0 {
					used[i%2] = true
				}
			}
			Expect(used).To(HaveLen(1), "targets of two versions ran parts of one stream")
		}
	})

	// A version that serves at one target only is given up after a break.
	It("resumes at the same target if no other one has the version", func() {
		f.startTargets(3, breakOff)
		f.setVersions("v1", "v2", "v3")
		w, result := f.serve()
		Expect(result.Aborted).To(BeFalse())
		Expect(w.Body.String()).To(Equal(plain(span(0, 5)...)))
		used := 0
		for _, t := range f.targets {
			used += min(1, len(t.Requests()))
		}
		Expect(used).To(Equal(1))
	})

	// A caller's stream goes on at another version than the one that began it, or one whose
	// version isn't known is sent on.
	DescribeTable("resumes a caller's stream only at its version",
		func(stream, began, wanted string) {
			f.streams.Began("first", "g", began, false)
			f.request.StreamID, f.request.Resumes, f.request.After = stream, true, 2
			f.startTargets(4, func(_ int, _ *rawtarget.Request, c net.Conn) {
				rawtarget.Write(c, streamHead()+events(3, 5)+rawtarget.LastChunk)
			})
			f.setVersions("v1", "v2", "v1", "v2")
			w, result := f.serve()
			if wanted == "" {
				Expect(result.Refusal).To(HaveField("Run", outcome.NotRun))
				Expect(f.sent()).To(BeEmpty())
				return
			}
			Expect(w.Body.String()).To(Equal(plain(3, 4, 5)))
			for i, t := range f.targets {
				if []string{"v1", "v2", "v1", "v2"}[i] != wanted {
					Expect(t.Requests()).To(BeEmpty())
				}
			}
		},
		Entry("of the first version", "first", "v1", "v1"),
		Entry("of the second version", "first", "v2", "v2"),
		Entry("of a version that serves nowhere", "first", "v3", ""),
		Entry("of unknown origin", "another", "v1", ""),
	)

	// Streams that nobody may resume cost what only others need, or are refused.
	It("neither records nor refuses streams of a route that can't be resumed", func() {
		f.request.Route.Resumable = false
		f.request.Resumes, f.request.After = true, 2
		f.startTargets(2, func(_ int, _ *rawtarget.Request, c net.Conn) {
			rawtarget.Write(c, streamHead()+events(0, 5)+rawtarget.LastChunk)
		})
		f.setVersions("v1", "v2")
		w, _ := f.serve()
		Expect(w.Body.String()).To(Equal(plain(span(0, 5)...)))
		Expect(f.streams.began).To(BeEmpty())
	})

	// A target that started again under its ID, with another version, was answering.
	It("doesn't resume a stream whose target changed its version meanwhile", func() {
		f.startTargets(3, func(turn int, r *rawtarget.Request, c net.Conn) {
			if turn > 0 {
				rawtarget.Write(c, streamHead()+events(3, 5)+rawtarget.LastChunk)
				return
			}
			rawtarget.Write(c, streamHead()+events(0, 2))
			time.Sleep(50 * time.Millisecond) // the caller has the events
			f.view.Update(func(now time.Time, ros *roster.Roster) {
				t, _ := ros.Entry(r.Header.Get("Expect"))
				t.Born, t.Version = t.Born+1, "v2"
				ros.Set(now, t)
			})
			_, _ = io.Copy(io.Discard, c) // until the relay gives up
		})
		f.setVersions("v1", "v1", "v1")
		w, result := f.serve()
		Expect(result.Aborted).To(BeTrue())
		Expect(w.Body.String()).To(Equal(plain(0, 1, 2)))
		Expect(f.streams.Find(context.Background(), "r", []string{"g"}).Version).To(BeEmpty())
	})

	// A target that started again under its ID with another version goes on with a stream before
	// its new entry arrives.
	It("doesn't send a caller's stream to a target that has started again", func() {
		f.streams.Began("first", "g", "v1", false)
		f.request.StreamID, f.request.Resumes, f.request.After = "first", true, 2
		f.startTargets(2, func(_ int, r *rawtarget.Request, c net.Conn) {
			if r.URI != fakewire.IdentityURI {
				rawtarget.Write(c, streamHead()+events(3, 5)+rawtarget.LastChunk)
				return
			}
			born := "5"
			if c.LocalAddr().String() == f.targets[0].Address {
				born = "6"
			}
			rawtarget.Write(c, rawtarget.Whole(200, "", "Born: "+born))
		})
		f.setVersions("v1", "v1")
		f.view.Update(func(now time.Time, ros *roster.Roster) {
			for _, id := range []string{"t0", "t1"} {
				t, _ := ros.Entry(id)
				t.Born = 5
				ros.Set(now, t)
			}
		})
		for range streams {
			w, _ := f.serve()
			Expect(w.Body.String()).To(Equal(plain(3, 4, 5)))
		}
		for _, r := range f.targets[0].Requests() {
			Expect(r.URI).To(Equal(fakewire.IdentityURI))
		}
	})

	// A stream whose version serves nowhere any more goes on at another version, or waits in
	// vain until its deadline.
	It("cuts off a stream at once whose version no other target has", func() {
		f.startTargets(3, func(turn int, r *rawtarget.Request, c net.Conn) {
			f.view.Update(func(now time.Time, ros *roster.Roster) { ros.Remove(now, r.Header.Get("Expect")) })
			breakOff(turn, r, c)
		})
		f.setVersions("v1", "v2", "v3")
		began := time.Now()
		w, result := f.serve()
		Expect(result.Aborted).To(BeTrue())
		Expect(w.Body.String()).To(Equal(plain(0, 1, 2)))
		Expect(f.sent()).To(HaveLen(1))
		Expect(time.Since(began)).To(BeNumerically("<", timeout/2))
	})
})
