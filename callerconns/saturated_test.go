package callerconns_test

import (
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/callerconns"
)

// Guards against a process that goes on to accept connections while it can't serve those that it has.
var _ = Describe("The callers' listener of a saturated process", func() {
	It("resets new connections until the process is relieved", func() {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		set := metrics.NewSet()
		refused := set.NewCounter("refused_total")
		l := callerconns.New(inner, 1000, time.Second, callerconns.Metrics{
			Evicted: set.NewCounter("evicted_total"), Stalled: set.NewCounter("stalled_total"), Refused: refused,
		})
		DeferCleanup(l.Close)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				_ = c.Close() // it is not read
			}
		}()
		dial := func() {
			if c, err := net.Dial("tcp", inner.Addr().String()); err == nil {
				_ = c.Close() // nothing was sent on it
			}
		}
		DeferCleanup(runtime.GOMAXPROCS, runtime.GOMAXPROCS(1))
		var relieved atomic.Bool
		DeferCleanup(relieved.Store, true)
		for range 8 {
			go func() {
				for !relieved.Load() {
				}
			}()
		}
		refusals := func() uint64 {
			var dialled sync.WaitGroup
			for range 100 {
				dialled.Go(dial)
			}
			dialled.Wait()
			return refused.Get()
		}
		Eventually(refusals).WithTimeout(20 * time.Second).Should(BeNumerically(">", 0))
		relieved.Store(true)
		Eventually(func() uint64 {
			before := refused.Get()
			for range 20 {
				dial()
				time.Sleep(20 * time.Millisecond)
			}
			return refused.Get() - before
		}).WithTimeout(20 * time.Second).Should(BeZero())
	})
})
