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
	// Two operators publish at the same moment, each from version 1. One wins;
	// the other must hear who, and that nothing of hers is in force.
	It("has one winner of each race, in force everywhere", func() {
		f := fleet.Start(fleet.Options{})
		for base := uint64(1); base < 5; base++ {
			var won, lost atomic.Int32
			var text atomic.Value
			all(3, func(i int) {
				mine := fmt.Sprintf("%s\n# by operator %d from %d\n", f.Config(), i, base)
				published, err := publish(f.Daemons[i], mine, base)
				if err == nil {
					Expect(published.Version).To(Equal(base + 1))
					won.Add(1)
					text.Store(mine)
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
				Eventually(func() string { return inForce(d).Text }, bound, poll).Should(Equal(text.Load()))
			}
		}
	})

	// All hosts are replaced one after the other while guests chat, and then all
	// in the same minute. Nobody may ever be served by an older configuration,
	// and the night's results must still be readable.
	It("and a job's results survive the replacement of every daemon", func() {
		f := fleet.Start(fleet.Options{})
		job := fleet.NewJob("prep", 60, 9)
		f.MustPut(f.Daemons[0], job)
		mustPublish(f.Daemons[1], f.Config()+"\n# the newest\n", 1)
		execution, err := f.Order(f.Daemons[2], "tray")
		Expect(err).NotTo(HaveOccurred())
		var replaced atomic.Bool
		load := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(load)
			all(6, func(i int) { orderUntil(f, fmt.Sprintf("guest-%d", i), &replaced) })
		}()
		for i := range 3 {
			f.Daemons[i].Terminate()
			f.Daemons[i].WaitExit()
			fresh := f.Add(i)
			neverOlder(fresh, 2)
			f.WaitReady(fresh)
			Expect(f.Chat(fresh, "", "room "+fresh.Name)).To(Equal(f.Expected("room " + fresh.Name)))
		}
		replaced.Store(true)
		Eventually(load, bound, poll).Should(BeClosed())
		f.WaitJob(f.Running()[0], job)
		f.CheckJob(job)
		for _, d := range f.Running() {
			d.Kill()
		}
		for i := range 3 {
			neverOlder(f.Add(i), 2)
		}
		f.WaitReady(f.Running()...)
		f.WaitOwned()
		f.CheckJob(job)
		for _, d := range f.Running() {
			Expect(inForce(d).Version).To(Equal(uint64(2)))
			Expect(f.Order(d, "tray")).To(Equal(execution))
		}
		Expect(f.Executions("tray")).To(Equal(1))
	})
})

// orderUntil places one order after the other until the end is set, each at any
// daemon that takes it: each runs once.
func orderUntil(f *fleet.Fleet, guest string, end *atomic.Bool) {
	for n := 0; !end.Load(); n++ {
		key := fmt.Sprintf("%s-%d", guest, n)
		Eventually(func() (err error) {
			for _, d := range f.Running() {
				if _, err = f.Order(d, key); err == nil {
					break
				}
			}
			return err
		}, bound, poll).Should(Succeed(), key)
		Expect(f.Executions(key)).To(Equal(1), key)
	}
}

// inForce returns the configuration in force at a daemon, the zero one if the
// daemon does not answer.
func inForce(d *fleet.Daemon) caller.Config {
	ctx, stop := callTime()
	defer stop()
	config, _ := d.Client.Config(ctx)
	return config
}

// neverOlder watches a fresh daemon until it is ready: it serves by the version
// or a newer one, or not at all.
func neverOlder(d *fleet.Daemon, version uint64) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		status := d.Status()
		if status.Ready {
			Expect(status.ConfigVersion).To(BeNumerically(">=", version), "%s is ready", d.Name)
		}
		g.Expect(status.Ready).To(BeTrue())
	}, bound, poll).Should(Succeed())
}
