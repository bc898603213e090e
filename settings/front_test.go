package settings_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/settings"
)

const minimalFront = `[host]
name = entry-1
zone = z
callers_address = 127.0.0.1:1
ready_address = 127.0.0.1:2
peer_address = 127.0.0.1:3
metrics_address = 127.0.0.1:4
[log_service]
address = 127.0.0.1:5
partitions = 12
`

var _ = Describe("Settings of front", func() {
	It("keep the defaults", func() {
		f, err := settings.ParseFront("f.ini", minimalFront)
		Expect(err).NotTo(HaveOccurred())
		Expect(f.LogPartitions).To(Equal(12))
		Expect(f.StopGrace).To(Equal(8 * time.Second))
		Expect(f.JobsReadable).To(Equal(2 * time.Minute))
	})

	DescribeTable("are refused with file, section, key and what is allowed",
		func(added, want string) {
			_, err := settings.ParseFront("f.ini", minimalFront+added)
			Expect(settings.Problems(err).Error()).To(Equal(want))
		},
		Entry("a bad level", "[log]\nlevel = loud\n",
			`f.ini:12: [log] level = "loud": unknown value; allowed: debug, info, warn, error`),
		Entry("an unknown key", "[jobs]\ncolour = red\n",
			`f.ini:12: [jobs] colour = "red": unknown key; allowed: readable, headroom`),
		Entry("no memory", "[limits]\nmemory_mb = 0\n",
			`f.ini:12: [limits] memory_mb = "0": out of range; allowed: whole number from 32 to 1048576`),
		Entry("fair queueing without the queue", "[scheduling]\nfair_shares = on\n",
			`f.ini:12: [scheduling] fair_shares = "on": on without queue; allowed: off, or queue = on`),
		Entry("a toggle with another word", "[scheduling]\nqueue = yes\n",
			`f.ini:12: [scheduling] queue = "yes": unknown value; allowed: on, off`),
	)

	It("report every missing key at once", func() {
		_, err := settings.ParseFront("f.ini", "")
		Expect(settings.Problems(err)).To(HaveLen(8))
	})

	It("report a file that can't be read", func() {
		_, err := settings.LoadFront("/nowhere/f.ini")
		Expect(err).To(HaveOccurred())
		Expect(settings.Problems(err)).To(BeNil())
	})
})
