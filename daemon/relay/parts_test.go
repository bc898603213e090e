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
	"tarragonhollow.example/tarragonhollow/core/roster"
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

	// Guards against a sound request that isn't sent again after a crash with another cause.
	It("sends a request again whose target crashed once", func() {
		f.startTargets(3, func(turn int, r *rawtarget.Request, c net.Conn) {
			if turn == 0 {
				f.crash(c)
				return
			}
			answer(turn, r, c)
		})
		w, result := serve("shared", "sound")
		Expect(result).To(Equal(relay.Result{}))
		Expect(w.Body.String()).To(Equal(plain(0, 1)))
	})

	// Guards against a request that waits in a queue while its part is found to crash targets, and is
	// sent then.
	It("ends the attempt of a request whose answer has not begun", func() {
		var held atomic.Int64
		f.startTargets(1, func(_ int, _ *rawtarget.Request, c net.Conn) {
			held.Add(1)
			_, _ = c.Read(make([]byte, 1)) // until the relay closes the connection
		})
		done := make(chan relay.Result, 1)
		go func() {
			_, result := serve("shared", bad)
			done <- result
		}()
		Eventually(held.Load).WithTimeout(timeout).Should(BeEquivalentTo(1))
		f.startTargets(6, answer)
		for range 3 {
			serve("shared", bad)
		}
		var result relay.Result
		Eventually(done).WithTimeout(timeout).Should(Receive(&result))
		Expect(result.Refusal.Run).To(Equal(outcome.MayHaveRun))
		Expect(held.Load()).To(BeEquivalentTo(1))
	})

	// Guards against parts that are blamed for the crash of a target that had begun their answers.
	It("does not suspect requests whose answers had begun", func() {
		begun := make(chan struct{}, 10)
		var crash sync.Once
		f.startTargets(4, func(turn int, r *rawtarget.Request, c net.Conn) {
			if strings.Contains(r.URI, "/crashing/") {
				<-begun
				time.Sleep(400 * time.Millisecond) // the other answer's target has lived on
				crash.Do(func() { f.crash(c) })
				return
			}
			after := r.Header.Get("After")
			if after == "" {
				rawtarget.Write(c, rawtarget.Head(200, "Id: "+r.Header.Get("Id"), "Content-Type: text/event-stream", "Transfer-Encoding: chunked")+events(0, 0))
				begun <- struct{}{}
				time.Sleep(time.Second)
				return
			}
			rawtarget.Write(c, rawtarget.Head(200, "Id: "+r.Header.Get("Id"), "Content-Type: text/event-stream", "Transfer-Encoding: chunked")+events(1, 1)+rawtarget.LastChunk)
		})
		f.view.Update(func(now time.Time, ros *roster.Roster) {
			ros.StoreAnswered(now)
			ros.Replace(now, f.entries[:1])
		})
		var group sync.WaitGroup
		group.Go(func() {
			defer GinkgoRecover()
			serve("begun")
		})
		group.Go(func() {
			defer GinkgoRecover()
			serve("crashing")
		})
		group.Wait()
		Expect(f.suspects.DecideParts([]string{"begun"}).Part).To(BeEmpty())
	})
})
