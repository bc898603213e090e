package relay_test

import (
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/core/route"
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

	// A stream whose version serves nowhere any more goes on at another version, or waits in
	// vain until its deadline.
	It("cuts off a stream at once whose version no other target has", func() {
		f.startTargets(3, breakOff)
		f.setVersions("v1", "v2", "v3")
		began := time.Now()
		w, result := f.serve()
		Expect(result.Aborted).To(BeTrue())
		Expect(w.Body.String()).To(Equal(plain(0, 1, 2)))
		Expect(f.sent()).To(HaveLen(1))
		Expect(time.Since(began)).To(BeNumerically("<", timeout/2))
	})
})
