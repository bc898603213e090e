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

// slowEngines makes work run long enough for a failure to hit it in flight.
func slowEngines(s *deployment.Shape) { s.EngineOptions.TimeScale = 1 }

// waitForItemCalls waits until the engines have received the given number of calls for
// the job's items.
func waitForItemCalls(f *fleet.Fleet, j fleet.Job, calls int) {
	GinkgoHelper()
	Eventually(func() int { return len(f.ItemCalls(j)) }, timeout, pollInterval).Should(BeNumerically(">=", calls))
}

// streamFromAny sends a keyed chat to one daemon after the other until one answers, as
// callers behind a load balancer do.
func streamFromAny(f *fleet.Fleet, first int, key, text string) (string, error) {
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
	// The host that owns a job and streams chats is lost. The callers retry at another
	// daemon with the same key, and the job continues under the shard's next owner.
	It("leaves every accepted item with exactly one correct result", func() {
		f := fleet.Start(fleet.Options{Shape: slowEngines})
		job := fleet.NewJob("prep", 120, 11)
		f.MustPut(f.Daemons[1], job)
		lost := f.Owner(job.Name)
		waitForItemCalls(f, job, 10)
		var started atomic.Int32
		killed := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(killed)
			Eventually(func() int { return runningCalls(f) }, timeout, pollInterval).Should(BeNumerically(">", 6))
			Eventually(started.Load, timeout, pollInterval).Should(Equal(int32(12)))
			lost.Kill()
		}()
		concurrently(12, func(i int) {
			started.Add(1)
			text := fmt.Sprintf("room %d", i)
			answer, err := streamFromAny(f, i, "chat-"+text, text)
			Expect(err).NotTo(HaveOccurred())
			Expect(answer).To(Equal(f.Expected(text)))
		})
		<-killed
		f.WaitOwned()
		f.WaitJob(f.Running()[0], job)
		f.CheckJob(job)
	})

	// A daemon answers 202 and is lost right after, together with the owner of the
	// job's shard. The job was acknowledged and must run.
	It("keeps a job that was acknowledged just before", func() {
		f := fleet.Start(fleet.Options{})
		job := fleet.NewJob("prep", 40, -1)
		owner := f.Owner(job.Name)
		entry := f.Others(owner)[0]
		Expect(f.Put(entry, job)).To(BeTrue())
		owner.Kill()
		entry.Kill()
		survivor := f.Running()[0]
		f.WaitJob(survivor, job)
		f.CheckJob(job)
	})

	// The daemon that acknowledged an order and the shard's owner are lost at the same
	// time. The caller resends the order to another daemon.
	It("keeps an order's answer that was acknowledged just before", func() {
		f := fleet.Start(fleet.Options{})
		const key = "tray"
		owner := f.Owner(key)
		entry := f.Others(owner)[0]
		execution, err := f.Order(entry, key)
		Expect(err).NotTo(HaveOccurred())
		owner.Kill()
		entry.Kill()
		survivor := f.Running()[0]
		Eventually(func() (int64, error) { return f.Order(survivor, key) }, timeout, pollInterval).Should(Equal(execution))
		stored, err := f.KeyedRequest(survivor, key)
		Expect(err).NotTo(HaveOccurred())
		Expect(stored.State).To(Equal("completed"))
		Expect(f.Executions(key)).To(Equal(1))
	})

	// Each host in turn is killed while it works and replaced by a new one of the same
	// name.
	It("may be each daemon in turn, with a replacement, and the job ends correctly", func() {
		f := fleet.Start(fleet.Options{Shape: slowEngines})
		job := fleet.NewJob("prep", 150, -1)
		f.MustPut(f.Daemons[0], job)
		for i := range 3 {
			waitForItemCalls(f, job, 20*(i+1))
			f.Daemons[i].Kill()
			f.WaitReady(f.Add(i))
		}
		f.WaitJob(f.Running()[0], job)
		f.CheckJob(job)
	})

	// The process hangs until its leases have expired, and resumes when others own its
	// shards: what it writes then must have no effect.
	It("and resumes later duplicates nothing", func() {
		f := fleet.Start(fleet.Options{Shape: slowEngines})
		job := fleet.NewJob("prep", 80, -1)
		f.MustPut(f.Daemons[0], job)
		waitForItemCalls(f, job, 10)
		paused := f.Owner(job.Name)
		held := paused.Shards()
		paused.Pause()
		f.WaitOwned()
		key := f.KeyOwnedBy(f.Running()[0], "tray")
		execution, err := f.Order(f.Running()[1], key)
		Expect(err).NotTo(HaveOccurred())
		paused.Resume()
		f.WaitOwned()
		Eventually(func() (int64, error) { return f.Order(paused, key) }, timeout, pollInterval).Should(Equal(execution))
		Expect(f.Executions(key)).To(Equal(1))
		Expect(held).NotTo(BeEmpty())
		Eventually(func() int { return doublyHeld(f) }, timeout, pollInterval).Should(BeZero())
		f.WaitJob(paused, job)
		f.CheckJob(job)
	})
})

// runningCalls counts the calls that run at the engines.
func runningCalls(f *fleet.Fleet) int {
	n := 0
	for _, e := range f.Engines {
		n += e.Stats().Running
	}
	return n
}

// doublyHeld counts the shards that more than one running daemon reports as held.
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

// finishedRuns counts the job's calls that the engines finished, by the fingerprint of
// the prompt.
func finishedRuns(f *fleet.Fleet, j fleet.Job) map[string]int {
	out := map[string]int{}
	for _, r := range f.ItemCalls(j) {
		if r.Ended == engine.EndedFinished {
			out[r.Fingerprint]++
		}
	}
	return out
}
