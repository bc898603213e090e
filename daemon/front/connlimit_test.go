package front

import (
	"math"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against callers' connections that use up the descriptors or the memory of a small host.
var _ = DescribeTable("The limit of callers' connections",
	func(memoryMB int, descriptors uint64, limit int) {
		Expect(connectionLimit(memoryMB, descriptors)).To(Equal(limit))
	},
	Entry("is capped on a large host", 4096, uint64(1<<20), 3000),
	Entry("is capped without a limit of descriptors", 4096, uint64(math.MaxUint64), 3000),
	Entry("follows the memory", 184, uint64(8200), 1744),
	Entry("follows the descriptors", 512, uint64(2200), 666),
	Entry("has a minimum", 32, uint64(100), 64),
)
