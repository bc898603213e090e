package test

import (
	"fmt"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/caller"
	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/test/fleet"
)

var _ = Describe("The operators' configuration", func() {
	// Three operators publish at the same time from the same base version, 1 in the first
	// round. One publication must be accepted; the others must be refused with the
	// winner and its version, and have no effect.
	It("accepts one of several concurrent publications and applies it on every daemon", func() {
		f := fleet.Start(fleet.Options{})
		for base := uint64(1); base < 5; base++ {
			var won, lost atomic.Int32
			var text atomic.Value
			concurrently(3, func(i int) {
				candidate := fmt.Sprintf("%s\n# by operator %d from %d\n", f.Config(), i, base)
				published, err := publish(f.Daemons[i], candidate, base)
				if err == nil {
					Expect(published.Version).To(Equal(base + 1))
					won.Add(1)
					text.Store(candidate)
					return
				}
				lost.Add(1)
				expectRun(err, outcome.NotRun)
				refused := caller.AsRefusal(err)
				Expect(refused.Status).To(Equal(409))
				Expect(refused.Winner).NotTo(BeEmpty())
				Expect(refused.Version).To(Equal(base + 1))
			})
			Expect([]int32{won.Load(), lost.Load()}).To(Equal([]int32{1, 2}))
			for _, d := range f.Daemons {
				Eventually(func() string { return activeConfig(d).Text }, timeout, pollInterval).Should(Equal(text.Load()))
			}
		}
	})

	// All hosts are replaced one after the other under load, and then all at once. No
	// daemon may serve by an older configuration, and the job's results and the
	// order's answer must remain readable.
	It("and a job's results survive the replacement of every daemon", func() {
		f := fleet.Start(fleet.Options{})
		job := fleet.NewJob("prep", 60, 9)
		f.MustPut(f.Daemons[0], job)
		mustPublish(f.Daemons[1], f.Config()+"\n# the newest\n", 1)
		execution, err := f.Order(f.Daemons[2], "tray")
		Expect(err).NotTo(HaveOccurred())
		var replaced atomic.Bool
		loadDone := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(loadDone)
			concurrently(6, func(i int) { orderUntil(f, fmt.Sprintf("guest-%d", i), &replaced) })
		}()
		for i := range 3 {
			f.Daemons[i].Terminate()
			f.Daemons[i].WaitExit()
			fresh := f.Add(i)
			expectNeverOlder(fresh, 2)
			f.WaitReady(fresh)
			Expect(f.Chat(fresh, "", "room "+fresh.Name)).To(Equal(f.Expected("room " + fresh.Name)))
		}
		replaced.Store(true)
		Eventually(loadDone, timeout, pollInterval).Should(BeClosed())
		f.WaitJob(f.Running()[0], job)
		f.CheckJob(job)
		for _, d := range f.Running() {
			d.Kill()
		}
		for i := range 3 {
			expectNeverOlder(f.Add(i), 2)
		}
		f.WaitReady(f.Running()...)
		f.WaitOwned()
		f.CheckJob(job)
		for _, d := range f.Running() {
			Expect(activeConfig(d).Version).To(Equal(uint64(2)))
			Expect(f.Order(d, "tray")).To(Equal(execution))
		}
		Expect(f.Executions("tray")).To(Equal(1))
	})
})

// orderUntil places one order after the other until end is set, each at the first
// daemon that accepts it, and expects each to run once.
func orderUntil(f *fleet.Fleet, keyPrefix string, end *atomic.Bool) {
	for n := 0; !end.Load(); n++ {
		key := fmt.Sprintf("%s-%d", keyPrefix, n)
		Eventually(func() (err error) {
			for _, d := range f.Running() {
				if _, err = f.Order(d, key); err == nil {
					break
				}
			}
			return err
		}, timeout, pollInterval).Should(Succeed(), key)
		Expect(f.Executions(key)).To(Equal(1), key)
	}
}

// activeConfig returns the configuration in force at a daemon, or the zero value if the
// daemon does not answer.
func activeConfig(d *fleet.Daemon) caller.Config {
	ctx, stop := callContext()
	defer stop()
	config, _ := d.Client.Config(ctx)
	return config
}

// expectNeverOlder polls a new daemon until it is ready, and expects that it is not
// ready with a configuration older than the version.
func expectNeverOlder(d *fleet.Daemon, version uint64) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		status := d.Status()
		if status.Ready {
			Expect(status.ConfigVersion).To(BeNumerically(">=", version), "%s is ready", d.Name)
		}
		g.Expect(status.Ready).To(BeTrue())
	}, timeout, pollInterval).Should(Succeed())
}
