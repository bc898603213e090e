package relay_test

import (
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/target/rawtarget"
	"tarragonhollow.example/tarragonhollow/test/descriptors"
)

var _ = Describe("A relay without free descriptors", func() {
	// Guards against sound targets that are ejected because this host can't open connections,
	// and against a refusal that does not say that the request has not run.
	It("refuses requests as not run and goes on with the same targets", func() {
		core, lines := observer.New(zap.InfoLevel)
		f := newFixture()
		f.logPlaces(zap.New(core))
		f.startTargets(1, func(_ int, _ *rawtarget.Request, c net.Conn) {
			rawtarget.Write(c, rawtarget.Head(200, idHeader, "Content-Length: 2")+"ok")
		})
		restore := descriptors.Forbid()
		defer func() { restore() }()
		for range 5 {
			f.request.Arrived, f.request.Deadline = time.Now(), time.Now().Add(timeout)
			_, result := f.serve()
			Expect(result.Refusal).NotTo(BeNil())
			Expect(result.Refusal.Run).To(Equal(outcome.NotRun))
			Expect(result.Refusal.Code).NotTo(Equal(outcome.BadRequest))
		}
		restore()
		Expect(lines.FilterMessage("target_health").All()).To(BeEmpty(), "the target was ejected")
		f.request.Arrived, f.request.Deadline = time.Now(), time.Now().Add(timeout)
		w, result := f.serve()
		Expect(result.Refusal).To(BeNil())
		Expect(w.Body.String()).To(Equal("ok"))
	})
})
