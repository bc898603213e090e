package relay_test

import (
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/core/route"
	"tarragonhollow.example/tarragonhollow/target/killabletarget"
	"tarragonhollow.example/tarragonhollow/target/rawtarget"
)

// A target's process is killed in the middle of an answer without framing. Its kernel closes the
// connection in an orderly way, which is how such an answer ends, so that the caller would
// receive a truncated answer as complete.
var _ = Describe("The relay of an unframed answer whose target is killed", func() {
	var f *fixture
	BeforeEach(func() { f = newFixture() })

	useTargets := func(addresses ...string) {
		f.view.Update(func(now time.Time, ros *roster.Roster) {
			var list []roster.Target
			for _, a := range addresses {
				list = append(list, roster.Target{ID: a, Group: "g", Address: a, Zone: "z", Version: "v1", Slots: 2})
			}
			ros.StoreAnswered(now)
			ros.Replace(now, list)
		})
	}
	// startKilled starts a target that is killed once it has sent the answer. The next target is
	// known from then on.
	startKilled := func(answer, next string) {
		killed, err := killabletarget.Start(answer)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(killed.Kill)
		useTargets(killed.Address)
		go func() {
			defer GinkgoRecover()
			Expect(killed.AwaitAnswer()).To(Succeed())
			useTargets(next, killed.Address)
			killed.Kill()
		}()
	}
	startNext := func(answer string) *rawtarget.Target {
		t, err := rawtarget.Start(func(_ *rawtarget.Request, c net.Conn) {
			rawtarget.Write(c, answer)
			_ = c.Close()
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(t.Close)
		return t
	}
	receive := func() (*http.Response, string, error) {
		response, err := http.Get(f.listen().URL)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		return response, string(body), err
	}
	stream := func(resumable bool) {
		f.request.Route.Kind, f.request.Route.Resumable = route.Stream, resumable
		f.request.Route.GapObjective = time.Second
	}

	It("resumes a stream at another target", func() {
		stream(true)
		next := startNext(unframedHead() + plain(2, 3))
		startKilled(unframedHead()+plain(0, 1), next.Address)
		_, body, err := receive()
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(plain(0, 1, 2, 3)))
		Expect(next.Requests()[0].Header.Get("After")).To(Equal("1"))
	})

	// A target that leaves right behind its last event can't be told from one that was killed.
	// Another one shows that nothing follows. Otherwise a whole stream would be cut off.
	DescribeTable("completes a stream whose target has left if another one has nothing more", func(rest string) {
		stream(true)
		next := startNext(rest)
		startKilled(unframedHead()+plain(0, 1), next.Address)
		_, body, err := receive()
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(plain(0, 1)))
		Expect(next.Requests()[0].Header.Get("After")).To(Equal("1"))
	},
		Entry("in chunks", streamHead()+rawtarget.LastChunk),
		Entry("with a length", rawtarget.Whole(http.StatusOK, "", idHeader, "Content-Type: text/event-stream")),
		Entry("without framing", unframedHead()),
	)

	// A stream in chunks breaks off. Of the targets that go on with it, one or both are killed in
	// their answers without framing: a killed target ends no stream, and one that goes on serving does.
	DescribeTable("does not take crashes at one event for the end of a framed stream", func(secondKilled bool) {
		stream(true)
		begin := startNext(streamHead() + events(0, 1))
		first, err := killabletarget.Start(unframedHead() + plain(2, 3))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(first.Kill)
		last := startNext(unframedHead()).Address
		var second *killabletarget.Target
		if secondKilled {
			second, err = killabletarget.Start(unframedHead())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(second.Kill)
			last = second.Address
		}
		useTargets(begin.Address)
		begin.OnRequest(func() { useTargets(begin.Address, first.Address) })
		go func() {
			defer GinkgoRecover()
			Expect(first.AwaitAnswer()).To(Succeed())
			useTargets(begin.Address, first.Address, last)
			first.Kill()
			if secondKilled {
				Expect(second.AwaitAnswer()).To(Succeed())
				second.Kill()
			}
		}()
		_, body, err := receive()
		Expect(body).To(Equal(plain(0, 1, 2, 3)))
		if secondKilled {
			Expect(err).To(HaveOccurred())
		} else {
			Expect(err).NotTo(HaveOccurred())
		}
	},
		Entry("both", true),
		Entry("the first, and another one ends there", false),
	)

	It("cuts off a stream with a reset that no target may go on with", func() {
		stream(false)
		next := startNext(unframedHead() + plain(2, 3))
		startKilled(unframedHead()+plain(0, 1), next.Address)
		_, body, err := receive()
		Expect(body).To(Equal(plain(0, 1)))
		Expect(err).To(HaveOccurred())
		Expect(next.Requests()).To(BeEmpty())
	})

	It("sends a request that may be repeated to another target", func() {
		next := startNext(rawtarget.Whole(http.StatusOK, "whole", idHeader))
		startKilled(rawtarget.Head(http.StatusOK, idHeader)+"who", next.Address)
		response, body, err := receive()
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Expect(body).To(Equal("whole"))
	})

	It("answers a request that may not be repeated with a failure", func() {
		f.request.Route.Kind = route.NonIdempotent
		next := startNext(rawtarget.Whole(http.StatusOK, "whole", idHeader))
		startKilled(rawtarget.Head(http.StatusOK, idHeader)+"who", next.Address)
		response, _, _ := receive()
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header.Get("Run")).To(Equal("may_have_run"))
		Expect(next.Requests()).To(BeEmpty())
	})

	DescribeTable("completes an answer whose target goes on serving",
		func(streamed bool, body string) {
			if streamed {
				stream(true)
			}
			useTargets(startNext(unframedHead() + body).Address)
			response, received, err := receive()
			Expect(err).NotTo(HaveOccurred())
			Expect(response.ContentLength).To(Equal(int64(-1)))
			Expect(received).To(Equal(body))
		},
		Entry("a stream", true, plain(0, 1)),
		Entry("a stream without events", true, ""),
		Entry("another answer", false, "whole"),
	)
})
