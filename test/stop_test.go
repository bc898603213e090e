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
	// A host is taken down while guests read streams and orders are at the
	// kitchen. The balancer in front sees it unready and sends no more. Every
	// request that it was sent must end whole, also those that outlast the grace
	// and the listener; its shards and batch go to others.
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
		go balance(leaving, &unready)
		go func() {
			defer GinkgoRecover()
			Eventually(answered.Load, bound, poll).Should(BeNumerically(">", 20))
			leaving.Terminate()
		}()
		all(20, func(i int) {
			for n := 0; !unready.Load(); n++ {
				name := fmt.Sprintf("room %d-%d", i, n)
				Expect(askOnce(f, leaving, i, name)).To(Succeed(), name)
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

// balance sets the flag once the daemon says that it is not ready, as a
// balancer's health check does.
func balance(d *fleet.Daemon, unready *atomic.Bool) {
	for {
		ctx, stop := callTime()
		err := d.Client.Ready(ctx)
		stop()
		if err != nil {
			unready.Store(true)
			return
		}
		time.Sleep(poll)
	}
}

// askOnce sends an order, a whole chat or a stream, by the caller's number, and
// checks the answer.
func askOnce(f *fleet.Fleet, d *fleet.Daemon, kind int, name string) error {
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
	// The platform marks an engine as leaving while guests chat and a job runs.
	// A few seconds later nothing new may reach it, and what runs there ends.
	It("gets no new work a few seconds after the host list's word", func() {
		f := fleet.Start(fleet.Options{})
		job := fleet.NewJob("prep", 1500, -1)
		f.MustPut(f.Daemons[0], job)
		batchRuns(f, job, 50)
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
			all(24, func(i int) {
				text := fmt.Sprintf("round %d room %d", round, i)
				Expect(f.Chat(f.Daemons[i%3], "", text)).To(Equal(f.Expected(text)))
			})
			Eventually(func() int { return len(f.ItemCalls(job)) }, bound, poll).Should(BeNumerically(">", before))
		}
		Eventually(func() int {
			before := calls()
			load()
			return calls() - before
		}, bound, poll).Should(BeZero(), "new calls during a round of load")
		settled := calls()
		for range 5 {
			load()
		}
		Expect(calls()).To(Equal(settled))
		for _, r := range f.Engines[0].Records() {
			Expect(r.Urgency == "online" && r.Ended != "finished").To(BeFalse(), "%+v", r)
		}
		f.WaitJob(f.Daemons[1], job)
		f.CheckJob(job)
		Expect(calls()).To(Equal(settled))
	})
})
