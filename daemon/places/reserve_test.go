package places_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/daemon/places"
)

var _ = Describe("Batch items of a large fleet with the batch reserve", func() {
	var f *largeFleet
	var items []places.Slot
	BeforeEach(func() {
		f, items = newLargeFleet(func(_ int, o *places.Options) { o.Policy.BatchReserve = true }), nil
		f.awaitLeader(0, "p4")
		f.awaitLeader(8, "p4")
		f.awaitReports()
		for len(items) < zoneTargets*targetSlots {
			// The first item at each target has the most slack.
			slack := time.Hour - time.Duration(len(items))*time.Minute
			slot, ok := f.views[8].AcquireBatch(context.Background(), places.BatchRequest{Group: "g", Slack: slack, ShortOfTime: true})
			Expect(ok).To(BeTrue())
			Expect(slot.Zone).To(Equal("z0"))
			items = append(items, slot)
		}
	})

	// preempted waits for a notice and returns the leases that it names.
	preempted := func() map[uint64]bool {
		GinkgoHelper()
		var named map[uint64]bool
		Eventually(func() map[uint64]bool {
			named = f.views[8].PreemptedLeases()
			return named
		}).WithTimeout(limit).ShouldNot(BeEmpty())
		return named
	}

	// first is the first item at the target.
	first := func(target string) uint64 {
		GinkgoHelper()
		for _, item := range items {
			if item.ID == target {
				return item.Lease()
			}
		}
		Fail("no item at " + target)
		return 0
	}

	// The holder would stop the youngest item, which has the least time.
	It("are preempted in the order that the leader chooses", func() {
		Expect(f.views[8].BatchReserve()).To(BeTrue())
		online := f.acquire(0)
		Expect(preempted()).To(Equal(map[uint64]bool{first(online.ID): true}))
		Expect(f.views[8].Preemptions()).To(BeEmpty())
	})

	// Online work would queue behind the item for as long as the item runs.
	It("are preempted by a further notice if the first one is lost", func() {
		f.network.setCut("p8", true)
		online := f.acquire(0)
		f.network.setCut("p8", false)
		Expect(preempted()).To(HaveKey(first(online.ID)))
	})
})
