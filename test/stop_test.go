package test

import (
	"fmt"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/extern"
	"tarragonhollow.example/tarragonhollow/settings"
	"tarragonhollow.example/tarragonhollow/standin/deployment"
	"tarragonhollow.example/tarragonhollow/test/fleet"
)

var _ = Describe("A planned stop", func() {
	// A host is stopped while it serves streams and orders. The load balancer sends no
	// more requests once the daemon is not ready. Every request that it was sent must
	// complete, also those that outlast the grace period and the listener; its shards
	// and batch work move to other daemons.
	It("interrupts no request", func() {
		f := fleet.Start(fleet.Options{
			Shape: func(s *deployment.Shape) {
				s.EngineOptions.TimeScale = 0.25
				s.ServiceOptions.AnswerMs = 20_000
			},
			Settings: func(s *settings.Settings) { s.Drain.Grace = time.Second },
		})
		leaving := f.Daemons[0]
		job := fleet.NewJob("prep", 60, -1)
		f.MustPut(leaving, job)
		var answered atomic.Int32
		var unready atomic.Bool
		go watchReadiness(leaving, &unready)
		go func() {
			defer GinkgoRecover()
			Eventually(answered.Load, timeout, pollInterval).Should(BeNumerically(">", 20))
			leaving.Terminate()
		}()
		concurrently(20, func(i int) {
			for n := 0; !unready.Load(); n++ {
				name := fmt.Sprintf("room %d-%d", i, n)
				Expect(sendOne(f, leaving, i, name)).To(Succeed(), name)
				answered.Add(1)
			}
		})
		leaving.WaitExit()
		f.WaitOwned()
		f.WaitJob(f.Running()[0], job)
		f.CheckJob(job)
		Expect(leaving.Logged("event=requests_cut")).To(BeZero())
		Expect(leaving.Logged("event=shards_not_handed_over")).To(BeZero())
	})
})

// watchReadiness sets the flag once the daemon reports that it is not ready, like the
// health check of a load balancer.
func watchReadiness(d *fleet.Daemon, unready *atomic.Bool) {
	for {
		ctx, stop := callContext()
		err := d.Client.Ready(ctx)
		stop()
		if err != nil {
			unready.Store(true)
			return
		}
		time.Sleep(pollInterval)
	}
}

// sendOne sends an order, a stream or an unstreamed chat, for kind%3 = 0, 1 and 2, and
// checks the answer.
func sendOne(f *fleet.Fleet, d *fleet.Daemon, kind int, name string) error {
	var answer string
	var err error
	switch kind % 3 {
	case 0:
		_, err = f.Order(d, name)
		return err
	case 1:
		answer, err = f.Stream(d, "", name)
	default:
		answer, err = f.Chat(d, name, name)
	}
	if err == nil && answer != f.Expected(name) {
		err = fmt.Errorf("answer %q, want %q", answer, f.Expected(name))
	}
	return err
}

var _ = Describe("A target that leaves", func() {
	// The platform marks an engine as leaving while chats and a job run. A few seconds
	// later no new call may reach it, and running calls must complete.
	It("gets no new work a few seconds after the host list marks it as leaving", func() {
		f := fleet.Start(fleet.Options{})
		job := fleet.NewJob("prep", 1500, -1)
		f.MustPut(f.Daemons[0], job)
		waitForItemCalls(f, job, 50)
		calls := func() int { return len(f.Engines[0].Records()) }
		Expect(calls()).To(BeNumerically(">", 0))
		Expect(f.Hosts.Put(extern.Host{
			Name: "engine-0", Role: extern.RoleTarget, Address: f.EngineAddresses[0],
			Zone: f.Shape.Zone(0), State: extern.HostLeaving,
		})).To(Succeed())
		round := 0
		load := func() {
			round++
			before := len(f.ItemCalls(job))
			concurrently(24, func(i int) {
				text := fmt.Sprintf("round %d room %d", round, i)
				Expect(f.Chat(f.Daemons[i%3], "", text)).To(Equal(f.Expected(text)))
			})
			Eventually(func() int { return len(f.ItemCalls(job)) }, timeout, pollInterval).Should(BeNumerically(">", before))
		}
		Eventually(func() int {
			before := calls()
			load()
			return calls() - before
		}, timeout, pollInterval).Should(BeZero(), "new calls during a round of load")
		finalCalls := calls()
		for range 5 {
			load()
		}
		Expect(calls()).To(Equal(finalCalls))
		for _, r := range f.Engines[0].Records() {
			Expect(r.Urgency == "online" && r.Ended != "finished").To(BeFalse(), "%+v", r)
		}
		f.WaitJob(f.Daemons[1], job)
		f.CheckJob(job)
		Expect(calls()).To(Equal(finalCalls))
	})
})
