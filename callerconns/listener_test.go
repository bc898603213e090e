package callerconns_test

import (
	"net"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/callerconns"
)

func TestCallerConns(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "callerconns")
}

var _ = Describe("The callers' listener", func() {
	// A graceful shutdown closes the listener and then shuts the server down, which closes
	// the listener again if its accept loop has not ended yet. An error from the second
	// Close would be reported to the operator as interrupted requests although there were
	// none.
	It("can be closed twice", func() {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		set := metrics.NewSet()
		l := callerconns.New(inner, 1, time.Second, callerconns.Metrics{
			Evicted: set.NewCounter("evicted_total"), Stalled: set.NewCounter("stalled_total"),
		})
		Expect(l.Close()).To(Succeed())
		Expect(l.Close()).To(Succeed())
	})
})
