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
	// The desk sends the morning's breakfasts as one job. A daemon dies with some
	// of them at the kitchen, and some of the kitchen's answers are lost: no room
	// may be billed twice, and what the results say of each must be true.
	It("runs each at most once and says truly which ran", func() {
		f := fleet.Start(fleet.Options{Limits: ticketProfile})
		logFaults(f, logsvc.Faults{ReadDelayMs: 300})
		f.ControlServices(`{"slow_ms":2000,"answer_lost":2}`)
		const job, items = "breakfasts", 200
		lines := make([]caller.Line, items)
		for i := range lines {
			lines[i] = caller.Line{CustomID: fleet.ItemID(i), URL: "/v1/services/" + f.Shape.Service + f.Shape.ActionPath, Body: map[string]int{"room": i}}
		}
		body, err := caller.EncodeLines(lines)
		Expect(err).NotTo(HaveOccurred())
		ctx, stop := callTime()
		defer stop()
		_, err = f.Daemons[0].Client.PutJob(ctx, caller.Options{Profile: "night-tickets"}, job, body)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int { return served(f) }, bound, poll).Should(BeNumerically(">", 20))
		f.Owner(job).Kill()
		logFaults(f, logsvc.Faults{})
		f.WaitOwned()
		for _, d := range f.Running() {
			Eventually(func() (caller.Job, error) { return f.JobState(d, job) }, bound, poll).Should(HaveField("State", "ended"), func() string {
				stuck, _ := f.JobState(d, job)
				return fmt.Sprintf("%+v", stuck)
			})
			results, err := f.Results(d, job)
			Expect(err).NotTo(HaveOccurred())
			Expect(results).To(HaveLen(items))
			for _, r := range results {
				Expect(ticketProblem(f, job, r)).To(BeEmpty(), "%+v", r)
			}
		}
	})
})
