package test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/caller"
	"tarragonhollow.example/tarragonhollow/standin/logsvc"
	"tarragonhollow.example/tarragonhollow/test/fleet"
)

var _ = Describe("A job whose items may not be repeated and whose owner dies", func() {
	// The job's owner dies while items run at a service, log reads are slow, and some
	// of the service's answers are lost. Guards against items that run twice and
	// against results that state the wrong run state.
	It("runs each at most once and reports correctly which ran", func() {
		f := fleet.Start(fleet.Options{Limits: nonRepeatableProfile})
		logFaults(f, logsvc.Faults{ReadDelayMs: 300})
		startTicketJob(f)
		f.Owner(ticketJob).Kill()
		logFaults(f, logsvc.Faults{})
		f.WaitOwned()
		for _, d := range f.Running() {
			Eventually(func() (caller.Job, error) { return f.JobState(d, ticketJob) }, timeout, pollInterval).Should(HaveField("State", "ended"), func() string {
				stuck, _ := f.JobState(d, ticketJob)
				return fmt.Sprintf("%+v", stuck)
			})
			expectTickets(f, d)
		}
	})
})
