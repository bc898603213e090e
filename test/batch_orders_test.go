package test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/caller"
	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/test/fleet"
)

// nonRepeatableProfile is a batch profile whose items may not be repeated.
const nonRepeatableProfile = "\n[profile night-tickets]\nurgency = batch\nrepeatable = false\ndue = 1h\nretries = 2\ndeadline = 20s\n"

var _ = Describe("A job whose items may not be repeated", func() {
	// A daemon dies while items of the job run at a service, and some of the
	// service's answers are lost. Guards against items that run twice and against
	// results that state the wrong run state.
	It("runs each at most once and reports correctly which ran", func() {
		f := fleet.Start(fleet.Options{Limits: nonRepeatableProfile})
		startTicketJob(f)
		f.Others(f.Owner(ticketJob))[0].Kill()
		f.WaitOwned()
		for _, d := range f.Running() {
			f.WaitJob(d, fleet.Job{Name: ticketJob})
			expectTickets(f, d)
		}
	})
})

// ticketJob is a job of ticketItems orders, none of which may be repeated.
const (
	ticketJob   = "breakfasts"
	ticketItems = 200
)

// startTicketJob makes the services slow and lose some answers, submits the job, and
// waits until more than 20 calls have run.
func startTicketJob(f *fleet.Fleet) {
	f.ControlServices(`{"slow_ms":2000,"answer_lost":2}`)
	lines := make([]caller.Line, ticketItems)
	for i := range lines {
		lines[i] = caller.Line{CustomID: fleet.ItemID(i), URL: "/v1/services/" + f.Shape.Service + f.Shape.ActionPath, Body: map[string]int{"room": i}}
	}
	body, err := caller.EncodeLines(lines)
	Expect(err).NotTo(HaveOccurred())
	ctx, stop := callContext()
	defer stop()
	_, err = f.Daemons[0].Client.PutJob(ctx, caller.Options{Profile: "night-tickets"}, ticketJob, body)
	Expect(err).NotTo(HaveOccurred())
	Eventually(func() int { return executedCalls(f) }, timeout, pollInterval).Should(BeNumerically(">", 20))
}

// expectTickets compares the results that a daemon returns with the executions.
func expectTickets(f *fleet.Fleet, d *fleet.Daemon) {
	results, err := f.Results(d, ticketJob)
	Expect(err).NotTo(HaveOccurred())
	Expect(results).To(HaveLen(ticketItems))
	for _, r := range results {
		Expect(ticketProblem(f, ticketJob, r)).To(BeEmpty(), "%+v", r)
	}
}

// executedCalls counts the calls that the services have recorded; they execute each of
// them, since no error status is set.
func executedCalls(f *fleet.Fleet) int {
	n := 0
	for _, s := range f.Services {
		n += len(s.Record().Calls)
	}
	return n
}

// ticketProblem compares an item's result with its executions and returns what is
// wrong, or "".
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
