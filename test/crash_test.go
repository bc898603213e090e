package test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/config"
	"tarragonhollow.example/tarragonhollow/standin/engine"
	"tarragonhollow.example/tarragonhollow/test/fleet"
)

// maxCrashes is how many engines one request may crash: the limit at which it is
// quarantined, and one more, which may start before every daemon has received the crash
// reports.
var maxCrashes = config.DefaultLimits().CrashLimit + 1

var _ = Describe("A request that crashes its engine", func() {
	marker := engine.DefaultOptions().CrashMarker

	// A request that crashes every engine is an item of a job. The other items must
	// complete.
	It("fails alone in its job", func() {
		f := fleet.Start(fleet.Options{})
		job := fleet.NewJob("prep", 60, -1)
		job.Texts[20] = "prep " + marker
		f.MustPut(f.Daemons[0], job)
		f.WaitJob(f.Daemons[1], job)
		results, err := f.Results(f.Daemons[2], job.Name)
		Expect(err).NotTo(HaveOccurred())
		Expect(results).To(HaveLen(60))
		for _, r := range results {
			want := "completed"
			if r.CustomID == fleet.ItemID(20) {
				want = "failed"
			}
			Expect(r.State).To(Equal(want), "%+v", r)
		}
		Expect(f.Crashes()).To(BeNumerically("<=", maxCrashes))
	})
})
