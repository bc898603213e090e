// Package retention checks that work outlives the log's records. It is a separate
// package because it waits until the retention has passed, and go test runs packages in
// parallel.
package retention

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/settings"
	"tarragonhollow.example/tarragonhollow/standin/logsvc"
	"tarragonhollow.example/tarragonhollow/test/fleet"
)

func TestRetention(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "retention")
}

var _ = AfterSuite(fleet.RemoveBinary)

// retention is short, so that the log drops the job's records within the spec.
const retention = time.Minute

var _ = Describe("The log's retention", func() {
	// Results are read after the log has dropped the job's records and every daemon has
	// been replaced.
	It("is outlived by a job's results, a kept order and the configuration", func() {
		f := fleet.Start(fleet.Options{
			Log:      logsvc.Options{Retention: retention},
			Settings: func(s *settings.Settings) { s.Platform.Retention = retention },
		})
		job := fleet.NewJob("prep", 40, 3)
		f.MustPut(f.Daemons[0], job)
		execution, err := f.Order(f.Daemons[1], "tray")
		Expect(err).NotTo(HaveOccurred())
		f.WaitJob(f.Daemons[0], job)
		nextOffsets := map[string]int64{}
		for _, stream := range f.Log.Store().Names() {
			_, nextOffsets[stream] = f.Log.Store().Bounds(stream)
		}
		Eventually(func() []string { return streamsWithOldRecords(f, nextOffsets) }, 3*retention, time.Second).Should(BeEmpty(), "streams that still hold their old records")
		f.CheckJob(job)
		for i, d := range f.Running() {
			d.Kill()
			f.WaitReady(f.Add(i))
		}
		f.WaitOwned()
		f.CheckJob(job)
		for _, d := range f.Running() {
			Expect(f.Order(d, "tray")).To(Equal(execution))
			Expect(d.Status().ConfigVersion).To(Equal(uint64(1)))
		}
		Expect(f.Executions("tray")).To(Equal(1))
		resent, err := f.Put(f.Running()[0], job)
		Expect(err).NotTo(HaveOccurred())
		Expect(resent).To(BeFalse())
	})
})

// streamsWithOldRecords returns the streams that still hold a record from before the
// given next offsets.
func streamsWithOldRecords(f *fleet.Fleet, next map[string]int64) []string {
	var out []string
	for stream, before := range next {
		if first, _ := f.Log.Store().Bounds(stream); first < before {
			out = append(out, stream)
		}
	}
	return out
}
