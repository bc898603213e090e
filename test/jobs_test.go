package test

import (
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/caller"
	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/settings"
	"tarragonhollow.example/tarragonhollow/standin/engine"
	"tarragonhollow.example/tarragonhollow/test/fleet"
)

var _ = Describe("A job", func() {
	// A script retries its upload at every daemon at once, and another caller sends
	// another list under the same name.
	It("that is resent whole to several daemons at once is accepted once, and its name cannot be reused", func() {
		f := fleet.Start(fleet.Options{})
		job := fleet.NewJob("prep", 50, -1)
		var created, same atomic.Int32
		concurrently(6, func(i int) {
			isNew, err := f.Put(f.Daemons[i%3], job)
			Expect(err).NotTo(HaveOccurred())
			if isNew {
				created.Add(1)
			} else {
				same.Add(1)
			}
		})
		Expect(created.Load()).To(Equal(int32(1)))
		Expect(same.Load()).To(Equal(int32(5)))
		other := fleet.NewJob("another list", 50, -1)
		other.Name = job.Name
		for _, d := range f.Daemons {
			_, err := f.Put(d, other)
			expectRun(err, outcome.NotRun)
			Expect(caller.AsRefusal(err).Status).To(Equal(409))
		}
		f.WaitJob(f.Daemons[1], job)
		f.CheckJob(job)
		Expect(f.ItemCalls(other)).To(BeEmpty())
		for fingerprint, n := range finishedRuns(f, job) {
			Expect(n).To(Equal(1), "runs of prompt %s", fingerprint)
		}
		Expect(f.Put(f.Daemons[2], job)).To(BeFalse())
	})

	// Once a daemon has acknowledged the cancellation, no further item may start at
	// any engine.
	It("that is cancelled starts no further item", func() {
		f := fleet.Start(fleet.Options{Shape: slowEngines})
		job := fleet.NewJob("prep", 400, -1)
		f.MustPut(f.Daemons[0], job)
		waitForItemCalls(f, job, 30)
		other := f.Others(f.Owner(job.Name))[0]
		Expect(cancelJob(f, other, job.Name)).To(Succeed())
		acknowledgedMs := time.Now().UnixMilli()
		expectCancelled(f, job, acknowledgedMs)
		results, err := f.Results(f.Daemons[2], job.Name)
		Expect(err).NotTo(HaveOccurred())
		states := map[string]int{}
		for _, r := range results {
			states[r.State]++
		}
		Expect(results).To(HaveLen(400))
		Expect(states["completed"] + states["cancelled"]).To(Equal(400))
		Expect(states["cancelled"]).To(BeNumerically(">", 0))
		// A resent job is the cancelled one, not a new one.
		Expect(f.Put(f.Daemons[1], job)).To(BeFalse())
		expectCancelled(f, job, acknowledgedMs)
	})

	// Daemons that dispatch items to engines hang while the job is cancelled, and
	// resume after the cancellation was acknowledged.
	It("that is cancelled starts no item at a daemon that resumes", func() {
		f := fleet.Start(fleet.Options{Shape: slowEngines, Settings: func(s *settings.Settings) {
			s.Ledger.Lease = 3 * time.Second
		}})
		job := fleet.NewJob("prep", 400, -1)
		f.MustPut(f.Daemons[0], job)
		waitForItemCalls(f, job, 30)
		owner := f.Owner(job.Name)
		hung := f.Others(owner)
		for _, d := range hung {
			d.Pause()
		}
		Expect(cancelJob(f, owner, job.Name)).To(Succeed())
		acknowledgedMs := time.Now().UnixMilli()
		// The engines are idle then, so that a daemon that holds items could start them.
		Eventually(func() int { return runningCalls(f) }, timeout, pollInterval).Should(BeZero())
		for _, d := range hung {
			d.Resume()
		}
		f.WaitOwned()
		expectCancelled(f, job, acknowledgedMs)
	})

	// The shard's owner is lost right after the cancellation was acknowledged, possibly
	// before the batch dispatchers have received it.
	It("that is cancelled stays cancelled when its owner is lost", func() {
		f := fleet.Start(fleet.Options{Shape: slowEngines})
		job := fleet.NewJob("prep", 400, -1)
		f.MustPut(f.Daemons[0], job)
		waitForItemCalls(f, job, 30)
		owner := f.Owner(job.Name)
		Expect(cancelJob(f, f.Others(owner)[0], job.Name)).To(Succeed())
		acknowledgedMs := time.Now().UnixMilli()
		owner.Kill()
		f.WaitOwned()
		expectCancelled(f, job, acknowledgedMs)
	})
})

// expectCancelled waits until every daemon reports the job as cancelled and none of its
// items runs, and then checks that none started after acknowledgedMs, the time in Unix
// milliseconds at which the cancellation was acknowledged.
func expectCancelled(f *fleet.Fleet, j fleet.Job, acknowledgedMs int64) {
	GinkgoHelper()
	for _, d := range f.Running() {
		Eventually(func() (string, error) {
			state, err := f.JobState(d, j.Name)
			return state.State, err
		}, timeout, pollInterval).Should(Equal("cancelled"), d.Name)
	}
	Eventually(func() []engine.Record { return unfinished(f.ItemCalls(j)) }, timeout, pollInterval).Should(BeEmpty())
	for _, r := range f.ItemCalls(j) {
		Expect(r.AtMs).To(BeNumerically("<=", acknowledgedMs), "started after the cancellation was acknowledged: %+v", r)
	}
}

func unfinished(records []engine.Record) []engine.Record {
	var out []engine.Record
	for _, r := range records {
		if r.Ended == "" {
			out = append(out, r)
		}
	}
	return out
}
