package relay_test

import (
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/target/rawtarget"
	"tarragonhollow.example/tarragonhollow/test/descriptors"
)

var _ = Describe("A relay without free descriptors", func() {
	// Guards against sound targets that are ejected because this host can't open connections,
	// and against a refusal that does not say that the request has not run.
	It("refuses requests as not run and goes on with the same targets", func() {
		f := newFixture()
		f.startTargets(1, func(_ int, _ *rawtarget.Request, c net.Conn) {
			rawtarget.Write(c, rawtarget.Head(200, idHeader, "Content-Length: 2")+"ok")
		})
		restore := descriptors.Exhaust()
		defer func() { restore() }()
		for range 5 {
			f.request.Arrived, f.request.Deadline = time.Now(), time.Now().Add(timeout)
			_, result := f.serve()
			Expect(result.Refusal).NotTo(BeNil())
			Expect(result.Refusal.Run).To(Equal(outcome.NotRun))
			Expect(result.Refusal.Code).NotTo(Equal(outcome.BadRequest))
		}
		restore()
		f.request.Arrived, f.request.Deadline = time.Now(), time.Now().Add(timeout)
		w, result := f.serve()
		Expect(result.Refusal).To(BeNil(), "the target was ejected")
		Expect(w.Body.String()).To(Equal("ok"))
	})
})
