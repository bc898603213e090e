package test

import (
	"fmt"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/standin/deployment"
	"tarragonhollow.example/tarragonhollow/standin/engine"
	"tarragonhollow.example/tarragonhollow/test/fleet"
)

// slowEngines leaves work in flight long enough to be caught there.
func slowEngines(s *deployment.Shape) { s.EngineOptions.TimeScale = 1 }

// batchRuns waits until the engines have had that many calls of the job.
func batchRuns(f *fleet.Fleet, j fleet.Job, calls int) {
	GinkgoHelper()
	Eventually(func() int { return len(f.ItemCalls(j)) }, bound, poll).Should(BeNumerically(">=", calls))
}

// askInTurn sends a keyed chat to one daemon after the other until one answers,
// as callers behind a balancer do.
func askInTurn(f *fleet.Fleet, first int, key, text string) (string, error) {
	var answer string
	var err error
	for i := range f.Daemons {
		answer, err = f.Stream(f.Daemons[(first+i)%len(f.Daemons)], key, text)
		if err == nil {
			break
		}
	}
	return answer, err
}

var _ = Describe("A daemon that is lost", func() {
	// The host that owns a kitchen's job and serves guests loses its power. The
	// guests' tablets ask another daemon by the same key, and the job goes on
	// under the shard's next owner.
	It("leaves every accepted item with exactly one right result", func() {
		f := fleet.Start(fleet.Options{Shape: slowEngines})
		job := fleet.NewJob("prep", 120, 11)
		f.MustPut(f.Daemons[1], job)
		lost := f.Owner(job.Name)
		batchRuns(f, job, 10)
		var reading atomic.Int32
		killed := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(killed)
			Eventually(func() int { return running(f) }, bound, poll).Should(BeNumerically(">", 6))
			Eventually(reading.Load, bound, poll).Should(Equal(int32(12)))
			lost.Kill()
		}()
		all(12, func(i int) {
			reading.Add(1)
			text := fmt.Sprintf("room %d", i)
			answer, err := askInTurn(f, i, "chat-"+text, text)
			Expect(err).NotTo(HaveOccurred())
			Expect(answer).To(Equal(f.Expected(text)))
		})
		<-killed
		f.WaitOwned()
		f.WaitJob(f.Running()[0], job)
		f.CheckJob(job)
	})

	// A daemon tells 202 and a second later its rack is gone, together with the
	// owner of the job's shard. The caller was told that the job is taken.
	It("keeps a job that was acknowledged just before", func() {
		f := fleet.Start(fleet.Options{})
		job := fleet.NewJob("prep", 40, -1)
		owner := f.Owner(job.Name)
		entry := f.Others(owner)[0]
		Expect(f.Put(entry, job)).To(BeTrue())
		owner.Kill()
		entry.Kill()
		left := f.Running()[0]
		f.WaitJob(left, job)
		f.CheckJob(job)
	})

	// A tablet shows "order placed", and the daemon that said so and the shard's
	// owner are lost in the same moment. The tablet asks again elsewhere.
	It("keeps an order's answer that was acknowledged just before", func() {
		f := fleet.Start(fleet.Options{})
		const key = "tray"
		owner := f.Owner(key)
		entry := f.Others(owner)[0]
		execution, err := f.Order(entry, key)
		Expect(err).NotTo(HaveOccurred())
		owner.Kill()
		entry.Kill()
		left := f.Running()[0]
		Eventually(func() (int64, error) { return f.Order(left, key) }, bound, poll).Should(Equal(execution))
		kept, err := f.Kept(left, key)
		Expect(err).NotTo(HaveOccurred())
		Expect(kept.State).To(Equal("completed"))
		Expect(f.Executions(key)).To(Equal(1))
	})

	// Hosts are replaced one after the other in a bad hour: each one is killed
	// while it works, and a new one with its name comes up.
	It("may be each one in turn, replaced, and the job still ends right", func() {
		f := fleet.Start(fleet.Options{Shape: slowEngines})
		job := fleet.NewJob("prep", 150, -1)
		f.MustPut(f.Daemons[0], job)
		for i := range 3 {
			batchRuns(f, job, 20*(i+1))
			f.Daemons[i].Kill()
			f.WaitReady(f.Add(i))
		}
		f.WaitJob(f.Running()[0], job)
		f.CheckJob(job)
	})

	// The process hangs in a stopped machine beyond its claims, and comes back
	// when others own its shards: what it writes then must not count.
	It("and wakes again doubles nothing", func() {
		f := fleet.Start(fleet.Options{Shape: slowEngines})
		job := fleet.NewJob("prep", 80, -1)
		f.MustPut(f.Daemons[0], job)
		batchRuns(f, job, 10)
		paused := f.Owner(job.Name)
		held := paused.Shards()
		paused.Pause()
		f.WaitOwned()
		key := f.KeyOwnedBy(f.Running()[0], "tray")
		execution, err := f.Order(f.Running()[1], key)
		Expect(err).NotTo(HaveOccurred())
		paused.Resume()
		f.WaitOwned()
		Eventually(func() (int64, error) { return f.Order(paused, key) }, bound, poll).Should(Equal(execution))
		Expect(f.Executions(key)).To(Equal(1))
		Expect(held).NotTo(BeEmpty())
		Eventually(func() int { return doublyHeld(f) }, bound, poll).Should(BeZero())
		f.WaitJob(paused, job)
		f.CheckJob(job)
	})
})

// running counts the calls that run at the engines.
func running(f *fleet.Fleet) int {
	n := 0
	for _, e := range f.Engines {
		n += e.Stats().Running
	}
	return n
}

// doublyHeld counts the shards that two daemons believe to hold.
func doublyHeld(f *fleet.Fleet) int {
	holders := map[int]int{}
	twice := 0
	for _, d := range f.Running() {
		for _, s := range d.Shards() {
			if holders[s]++; holders[s] == 2 {
				twice++
			}
		}
	}
	return twice
}

// finished counts the job's calls that the engines finished, by prompt.
func finished(f *fleet.Fleet, j fleet.Job) map[string]int {
	out := map[string]int{}
	for _, r := range f.ItemCalls(j) {
		if r.Ended == engine.EndedFinished {
			out[r.Fingerprint]++
		}
	}
	return out
}
