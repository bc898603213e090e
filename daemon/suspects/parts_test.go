package suspects_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/crashparts"
	"tarragonhollow.example/tarragonhollow/core/membership"
	"tarragonhollow.example/tarragonhollow/core/retry"
	"tarragonhollow.example/tarragonhollow/daemon/suspects"
	"tarragonhollow.example/tarragonhollow/extern/partlog/fakepartlog"
	"tarragonhollow.example/tarragonhollow/peer"
)

var _ = Describe("Prompt parts that crash targets", func() {
	const wait = 10 * time.Second
	verdict := func(t *suspects.Tracker, parts ...string) func() crashparts.Verdict {
		return func() crashparts.Verdict { return t.DecideParts(parts).Verdict }
	}
	crash := func(t *suspects.Tracker, target int, parts ...string) {
		t.PartsCrashed(crashparts.Crash{Target: fmt.Sprint("t", target), Parts: parts, Requests: []string{fmt.Sprint("r", target)}})
	}

	// Requests with the part reach other daemons each time, and each daemon sees one crash.
	It("are refused on all daemons after crashes seen on different ones", func() {
		f := &fleet{}
		a, b, c := startDaemon(f, "a"), startDaemon(f, "b"), startDaemon(f, "c")
		run(a, b, c)
		crash(a, 1, "shared", "bad")
		crash(b, 2, "shared", "bad")
		crash(c, 3, "bad")
		for _, t := range []*suspects.Tracker{a, b, c} {
			Eventually(verdict(t, "new", "bad")).WithTimeout(wait).Should(Equal(crashparts.Refused))
		}
		late := startDaemon(f, "late")
		run(late)
		Eventually(verdict(late, "new", "bad")).WithTimeout(wait).Should(Equal(crashparts.Refused))
	})

	// Daemons that are cut off from each other, and one that starts alone, lose as many targets
	// again.
	It("are refused by daemons that reach only the log", func() {
		log := fakepartlog.New(1)
		a, b := startDaemonWithLog(&fleet{}, "a", log), startDaemonWithLog(&fleet{}, "b", log)
		run(a, b)
		crash(a, 1, "shared", "bad")
		crash(b, 2, "shared", "bad")
		crash(a, 3, "bad")
		late := startDaemonWithLog(&fleet{}, "late", log)
		run(late)
		for _, t := range []*suspects.Tracker{a, b, late} {
			Eventually(verdict(t, "new", "bad")).WithTimeout(wait).Should(Equal(crashparts.Refused))
		}
	})

	// A request that crashes targets is learned by the other half only when it has crashed targets
	// there too.
	It("are kept in the log beside the requests that crashed targets", func() {
		log := fakepartlog.New(1)
		a, b := startDaemonWithLog(&fleet{}, "a", log), startDaemonWithLog(&fleet{}, "b", log)
		run(a, b)
		a.Crashed(retry.Crash{Target: "t1", Running: []string{"drawing"}, Total: 1})
		a.Crashed(retry.Crash{Target: "t2", Running: []string{"drawing"}, Total: 1})
		Eventually(func() retry.Verdict { return b.Verdict("drawing") }).WithTimeout(wait).Should(Equal(retry.Quarantined))
	})

	// Sound requests that share a part stay refused at daemons that don't see it answered.
	It("are cleared on all daemons, also on those that reach only the log", func() {
		log := fakepartlog.New(1)
		f := &fleet{}
		a, b, c := startDaemonWithLog(f, "a", log), startDaemonWithLog(f, "b", log), startDaemonWithLog(&fleet{}, "c", log)
		run(a, b, c)
		for target := 1; target <= 3; target++ {
			crash(a, target, "shared")
		}
		for _, t := range []*suspects.Tracker{a, b, c} {
			Eventually(verdict(t, "shared")).WithTimeout(wait).Should(Equal(crashparts.Refused))
		}
		c.PartsBegan([]string{"shared"}, time.Now())
		for _, t := range []*suspects.Tracker{a, b, c} {
			Eventually(verdict(t, "shared")).WithTimeout(wait).Should(Equal(crashparts.Clear))
		}
	})

	// A request waits in a queue while its part is found to crash targets, and is then sent.
	It("end the waits of requests", func() {
		t := startDaemon(&fleet{}, "a")
		run(t)
		refused := make(chan struct{})
		stop := t.OnRefused([]string{"bad"}, func() { close(refused) })
		defer stop()
		for target := 1; target <= 3; target++ {
			crash(t, target, "bad")
		}
		Eventually(refused).WithTimeout(wait).Should(BeClosed())
	})

	// Most daemons of a large fleet know only those of their own zone. Guards against a probe in each
	// zone at the same time, each of which costs a target.
	It("are probed by one zone at a time", func() {
		clock := time.Now()
		zones := []string{"z1", "z2", "z3", "z4"}
		var trackers []*suspects.Tracker
		for _, zone := range zones {
			t, err := suspects.New(suspects.Options{
				View: view{fleet: &fleet{members: []membership.Member{{Host: "h-" + zone, Zone: zone}}}}, Zones: zones,
				Peer: peer.NewClient(peer.ClientOptions{}), Registrar: peer.NewServer(peer.ServerOptions{}), Limit: func() int { return 2 }, Clock: func() time.Time { return clock },
			})
			Expect(err).NotTo(HaveOccurred())
			for target := 1; target <= 3; target++ {
				crash(t, target, "bad")
			}
			trackers = append(trackers, t)
		}
		probes := func(after time.Duration) (n int) {
			clock = clock.Add(after)
			for _, t := range trackers {
				if t.Probe("bad") {
					n++
				}
			}
			return n
		}
		Expect(probes(time.Minute)).To(Equal(1))
		Expect(probes(4 * time.Second)).To(Equal(0))
		Expect(probes(time.Second)).To(Equal(1))
	})

	It("let one request at a time run that may crash its target", func() {
		t := startDaemon(&fleet{}, "a")
		release, ok := t.Limit("p")
		Expect(ok).To(BeTrue())
		_, ok = t.Limit("p")
		Expect(ok).To(BeFalse())
		release()
		again, ok := t.Limit("p")
		Expect(ok).To(BeTrue())
		release()
		_, ok = t.Limit("p")
		Expect(ok).To(BeFalse(), "a second release must not end another request's limit")
		again()
	})
})
