package relay_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/core/route"
	"tarragonhollow.example/tarragonhollow/daemon/relay"
	"tarragonhollow.example/tarragonhollow/target/killabletarget"
)

// slowWriter is the writer of a caller that takes its first bytes only after a while.
type slowWriter struct {
	http.ResponseWriter
	blocked, proceed chan struct{}
	first            bool
}

func (w *slowWriter) Write(p []byte) (int, error) {
	if !w.first {
		w.first = true
		close(w.blocked)
		<-w.proceed
	}
	return w.ResponseWriter.Write(p)
}

func (w *slowWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

var _ = Describe("The relay of an unframed answer whose target is killed and whose address is reused", func() {
	// Failure guarded against: the relay reads the end of the connection late (a slow caller, or the
	// daemon was suspended); the address accepts again by then, and the truncated answer ends as complete.
	DescribeTable("does not complete it", func(startAgain, listed bool, newID string, born int) {
		f := newFixture()
		f.request.Route.Kind, f.request.Route.Resumable = route.Stream, false
		f.request.Route.GapObjective = time.Second
		killed, err := killabletarget.Start(unframedHead() + plain(0, 1))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(killed.Kill)
		list := func(id string, born int) {
			f.view.Update(func(now time.Time, ros *roster.Roster) {
				ros.StoreAnswered(now)
				ros.Replace(now, []roster.Target{{ID: id, Born: int64(born), Group: "g", Address: killed.Address, Zone: "z", Slots: 2}})
			})
		}
		list("i-1", 1)
		blocked, proceed := make(chan struct{}), make(chan struct{})
		go func() {
			defer GinkgoRecover()
			<-blocked
			time.Sleep(100 * time.Millisecond) // the second connection to the target is opened meanwhile
			killed.Kill()
			if startAgain {
				again, err := net.Listen("tcp", killed.Address)
				Expect(err).NotTo(HaveOccurred())
				DeferCleanup(again.Close)
				go func() {
					for {
						c, err := again.Accept()
						if err != nil {
							return
						}
						go func() { _, _ = http.ReadRequest(bufio.NewReader(c)) }()
					}
				}()
			}
			if listed {
				list(newID, born)
				time.Sleep(200 * time.Millisecond)
			}
			close(proceed)
		}()
		server := serveOnConnections(func(w http.ResponseWriter, r *http.Request) (res relay.Result) {
			return f.relay.Serve(r.Context(), f.request, &slowWriter{ResponseWriter: w, blocked: blocked, proceed: proceed})
		})
		response, err := http.Get(server.URL)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		Expect(string(body)).To(Equal(plain(0, 1)))
		Expect(err).To(HaveOccurred(), "the truncated stream ended as complete")
	},
		Entry("nothing starts there (control)", false, false, "", 0),
		Entry("another start accepts there, not listed yet", true, false, "", 0),
		Entry("another start accepts there, under a new ID that the target list holds", true, true, "i-2", 2),
		Entry("another start accepts there, under the same ID, listed (control)", true, true, "i-1", 2),
	)
})
