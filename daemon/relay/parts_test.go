package relay_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/core/route"
	"tarragonhollow.example/tarragonhollow/daemon/relay"
	"tarragonhollow.example/tarragonhollow/target/rawtarget"
)

var _ = Describe("The relay of requests with a prompt part that crashes targets", func() {
	const bad = "bad"
	var f *fixture
	var crashes, requests atomic.Int64
	BeforeEach(func() {
		f = newFixture()
		f.request.Route.Kind, f.request.Route.Resumable = route.Stream, true
		f.request.Route.GapObjective = 200 * time.Millisecond
		crashes.Store(0)
		requests.Store(0)
	})
	// answer crashes the target as it begins an answer on the part, and streams two events else.
	answer := func(_ int, r *rawtarget.Request, c net.Conn) {
		time.Sleep(20 * time.Millisecond)
		head := rawtarget.Head(200, "Id: "+r.Header.Get("Id"), "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
		if strings.Contains(r.URI, "/"+bad+"/") {
			crashes.Add(1)
			rawtarget.Write(c, head)
			f.crash(c)
			return
		}
		rawtarget.Write(c, head+events(0, 1)+rawtarget.LastChunk)
	}
	// serve serves a request of its own with the parts.
	serve := func(parts ...string) (*httptest.ResponseRecorder, relay.Result) {
		number := requests.Add(1)
		request := *f.request
		request.ID = fmt.Sprint("q", number)
		request.HTTP.URI = fmt.Sprintf("/%s/%d", strings.Join(parts, "/"), number)
		request.HTTP.Header = http.Header{"Part": append(parts, fmt.Sprint("own", number)), "Id": {request.ID}}
		request.Arrived = time.Now()
		request.Deadline = request.Arrived.Add(timeout)
		w := httptest.NewRecorder()
		return w, f.relay.Serve(context.Background(), &request, w)
	}

	// Guards against requests of which no two are alike, and of which each crashes the targets to
	// which it is sent, one after the other.
	It("refuses them after three crashes, as not run, and serves those that share other parts", func() {
		f.startTargets(12, answer)
		for range 10 {
			_, result := serve("shared", bad)
			Expect(result.Refusal).NotTo(BeNil())
			w, sound := serve("shared", "other")
			Expect(sound).To(Equal(relay.Result{}))
			Expect(w.Body.String()).To(Equal(plain(0, 1)))
		}
		Expect(crashes.Load()).To(BeNumerically("<=", 3))
		_, result := serve("shared", bad)
		Expect(result.Refusal.Run).To(Equal(outcome.NotRun))
		Expect(result.Refusal.RetryAfterMs).To(BeZero(), "a return would be refused too")
	})

	// Guards against a crowd of such requests that arrives before the first crash is known.
	It("loses few targets to many at once", func() {
		f.startTargets(30, answer)
		var group sync.WaitGroup
		for range 60 {
			group.Go(func() {
				defer GinkgoRecover()
				serve("shared", bad)
			})
			time.Sleep(5 * time.Millisecond)
		}
		group.Wait()
		Expect(crashes.Load()).To(And(BeNumerically(">=", 3), BeNumerically("<", 15)))
		before := crashes.Load()
		for range 10 {
			serve("shared", bad)
		}
		Expect(crashes.Load()).To(Equal(before))
	})
})
