package test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/caller"
	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/test/fleet"
)

// ticketProfile is a batch profile whose items may not be repeated.
const ticketProfile = "\n[profile night-tickets]\nurgency = batch\nrepeatable = false\ndue = 1h\nretries = 2\ndeadline = 20s\n"

var _ = Describe("A job whose items may not be repeated", func() {
	// The desk sends the morning's breakfasts as one job. A daemon dies with some
	// of them at the kitchen, and some of the kitchen's answers are lost: no room
	// may be billed twice, and what the results say of each must be true.
	It("runs each at most once and says truly which ran", func() {
		f := fleet.Start(fleet.Options{Limits: ticketProfile})
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
		f.Others(f.Owner(job))[0].Kill()
		f.WaitOwned()
		for _, d := range f.Running() {
			f.WaitJob(d, fleet.Job{Name: job})
			results, err := f.Results(d, job)
			Expect(err).NotTo(HaveOccurred())
			Expect(results).To(HaveLen(items))
			for _, r := range results {
				Expect(ticketProblem(f, job, r)).To(BeEmpty(), "%+v", r)
			}
		}
	})
})

// served counts the calls that the services have executed.
func served(f *fleet.Fleet) int {
	n := 0
	for _, s := range f.Services {
		n += len(s.Record().Calls)
	}
	return n
}

// ticketProblem compares an item's result with its executions.
func ticketProblem(f *fleet.Fleet, job string, r caller.Result) string {
	ran := f.Executions("/" + job + "/" + r.CustomID)
	switch {
	case ran > 1:
		return fmt.Sprintf("ran %d times", ran)
	case r.State == "completed" && ran != 1:
		return "completed and never ran"
	case r.State == "failed" && r.Error.Run == outcome.NotRun && ran != 0:
		return "failed as not_run and ran"
	case r.State != "completed" && r.State != "failed":
		return "not ended"
	}
	return ""
}
