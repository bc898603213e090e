package test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/test/fleet"
)

var _ = Describe("An order that may not run twice", func() {
	// The service executes the order and the connection drops before its answer. The
	// caller must be answered may_have_run at once, and so must every resend.
	It("whose answer is lost runs once, and every resend is answered may_have_run", func() {
		f := fleet.Start(fleet.Options{})
		f.ControlServices(`{"answer_lost":1}`)
		_, err := f.Order(f.Daemons[0], "tray")
		expectRun(err, outcome.MayHaveRun)
		for _, d := range f.Daemons {
			_, err := f.Order(d, "tray")
			expectRun(err, outcome.MayHaveRun)
			stored, err := f.KeyedRequest(d, "tray")
			Expect(err).NotTo(HaveOccurred())
			Expect(stored.State).To(Equal("may_have_run"))
		}
		Expect(f.Executions("tray")).To(Equal(1))
	})

	// The host that received the order dies while the service runs it. The caller
	// resends it to another daemon, and the service completes it later.
	It("whose entry host dies after the start is never run again", func() {
		f := fleet.Start(fleet.Options{})
		f.ControlServices(`{"frozen":true}`)
		const key = "tray"
		owner := f.Owner(key)
		entry, third := f.Others(owner)[0], f.Others(owner)[1]
		entryErr := make(chan error, 1)
		go func() {
			_, err := f.Order(entry, key)
			entryErr <- err
		}()
		Eventually(f.Held, timeout, pollInterval).Should(Equal(1))
		entry.Kill()
		Eventually(entryErr, timeout, pollInterval).Should(Receive(HaveOccurred()))
		resend := func() outcome.RunState {
			_, err := f.Order(third, key)
			run, _ := fleet.RunState(err)
			return run
		}
		Eventually(resend, timeout, pollInterval).Should(Equal(outcome.MayHaveRun))
		f.ControlServices(`{"frozen":false}`)
		Eventually(func() int { return f.Executions(key) }, timeout, pollInterval).Should(Equal(1))
		Expect(resend()).To(Equal(outcome.MayHaveRun))
		Expect(f.Executions(key)).To(Equal(1))
	})

	// The entry host and the shard's owner die together after the start, so that the
	// next owner knows the order only from the log.
	It("whose owner dies with its entry host is never run again", func() {
		f := fleet.Start(fleet.Options{})
		f.ControlServices(`{"frozen":true}`)
		const key = "tray"
		owner := f.Owner(key)
		entry, third := f.Others(owner)[0], f.Others(owner)[1]
		go func() { _, _ = f.Order(entry, key) }()
		Eventually(f.Held, timeout, pollInterval).Should(Equal(1))
		owner.Kill()
		entry.Kill()
		Eventually(func() outcome.RunState {
			_, err := f.Order(third, key)
			run, _ := fleet.RunState(err)
			return run
		}, timeout, pollInterval).Should(Equal(outcome.MayHaveRun))
		f.ControlServices(`{"frozen":false}`)
		Eventually(func() int { return f.Executions(key) }, timeout, pollInterval).Should(Equal(1))
	})

	// Only the shard's owner dies. The entry host receives the service's answer, which
	// resolves the order at the next owner.
	It("whose owner dies after the start is resolved by the late answer", func() {
		f := fleet.Start(fleet.Options{})
		f.ControlServices(`{"frozen":true}`)
		const key = "tray"
		owner := f.Owner(key)
		entry := f.Others(owner)[0]
		answered := make(chan error, 1)
		go func() {
			_, err := f.Order(entry, key)
			answered <- err
		}()
		Eventually(f.Held, timeout, pollInterval).Should(Equal(1))
		owner.Kill()
		f.WaitOwned()
		f.ControlServices(`{"frozen":false}`)
		Eventually(answered, timeout, pollInterval).Should(Receive(BeNil()))
		for _, d := range f.Running() {
			Eventually(func() (string, error) {
				stored, err := f.KeyedRequest(d, key)
				return stored.State, err
			}, timeout, pollInterval).Should(Equal("completed"))
		}
		Expect(f.Executions(key)).To(Equal(1))
	})

	// The entry host hangs while the service runs the order, until long after its
	// leases have expired, and then resumes and reads the service's answer.
	It("whose entry host resumes is resolved by its late answer", func() {
		f := fleet.Start(fleet.Options{})
		f.ControlServices(`{"frozen":true}`)
		const key = "tray"
		entry := f.Owner(key)
		other := f.Others(entry)[0]
		answered := make(chan error, 1)
		go func() {
			_, err := f.Order(entry, key)
			answered <- err
		}()
		Eventually(f.Held, timeout, pollInterval).Should(Equal(1))
		entry.Pause()
		f.WaitOwned()
		Eventually(func() outcome.RunState {
			_, err := f.Order(other, key)
			run, _ := fleet.RunState(err)
			return run
		}, timeout, pollInterval).Should(Equal(outcome.MayHaveRun))
		f.ControlServices(`{"frozen":false}`)
		Eventually(func() int { return f.Executions(key) }, timeout, pollInterval).Should(Equal(1))
		entry.Resume()
		Eventually(answered, timeout, pollInterval).Should(Receive())
		for _, d := range f.Daemons {
			Eventually(func() (string, error) {
				stored, err := f.KeyedRequest(d, key)
				return stored.State, err
			}, timeout, pollInterval).Should(Equal("completed"))
		}
		Expect(f.Executions(key)).To(Equal(1))
	})

	// The same orders are sent repeatedly to every daemon while one of them dies.
	It("that is resent everywhere at once while a daemon dies runs at most once", func() {
		f := fleet.Start(fleet.Options{})
		f.ControlServices(`{"slow_ms":2000}`)
		const orders = 12
		go func() {
			defer GinkgoRecover()
			Eventually(func() int { return executed(f, orders) }, timeout, pollInterval).Should(BeNumerically(">", 2))
			f.Daemons[1].Kill()
		}()
		concurrently(3*orders, func(i int) {
			_, err := f.Order(f.Daemons[i%3], fmt.Sprintf("tray-%d", i/3))
			if run, _ := fleet.RunState(err); run == outcome.NotRun {
				_, _ = f.Order(f.Daemons[2], fmt.Sprintf("tray-%d", i/3))
			}
		})
		for i := range orders {
			key := fmt.Sprintf("tray-%d", i)
			Expect(f.Executions(key)).To(BeNumerically("<=", 1), key)
			Eventually(func() error {
				_, err := f.Order(f.Daemons[0], key)
				if run, _ := fleet.RunState(err); run == outcome.MayHaveRun {
					return nil
				}
				return err
			}, timeout, pollInterval).Should(Succeed(), key)
			Expect(f.Executions(key)).To(BeNumerically("<=", 1), key)
		}
	})
})

// executed counts the orders tray-0..tray-(n-1) that have run.
func executed(f *fleet.Fleet, n int) int {
	count := 0
	for i := range n {
		count += min(1, f.Executions(fmt.Sprintf("tray-%d", i)))
	}
	return count
}
