package places_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/core/routing"
	"tarragonhollow.example/tarragonhollow/core/slots"
	"tarragonhollow.example/tarragonhollow/daemon/places"
)

// queueFleet is a fleet in which requests wait at the leader. Only zone 0 has targets, so
// that no request goes to another zone.
type queueFleet struct {
	*largeFleet
	logs  *observer.ObservedLogs
	taken []places.Slot
}

// acquired is the result of a request.
type acquired struct {
	slot    places.Slot
	refusal *outcome.Refusal
}

func newQueueFleet() *queueFleet {
	var targets []roster.Target
	for i := range zoneTargets {
		id := fmt.Sprint("t", i)
		targets = append(targets, roster.Target{ID: id, Start: roster.StartOf(id, 0), Group: "g", Address: id, Zone: "z0", Slots: targetSlots})
	}
	core, logs := observer.New(zapcore.InfoLevel)
	return &queueFleet{largeFleet: newFleetOf(targets, func(_ int, o *places.Options) { o.Policy, o.Logger = slots.Policy{Queue: true}, zap.New(core) }), logs: logs}
}

// fill takes all slots of zone 0 for daemon 0, which the leader grants one by one.
func (f *queueFleet) fill(leader string) {
	GinkgoHelper()
	f.awaitLeader(0, leader)
	f.awaitReports()
	for range zoneTargets * targetSlots {
		slot := f.acquire(0)
		Expect(slot.GrantedBy).To(Equal(leader))
		f.taken = append(f.taken, slot)
	}
}

// release frees one of the slots that fill took.
func (f *queueFleet) release() {
	f.views[0].Release(f.taken[0], routing.Neutral, 0)
	f.taken = f.taken[1:]
}

// wait sends a request from daemon i, and returns once it is in a queue.
func (f *queueFleet) wait(ctx context.Context, i int) <-chan acquired {
	GinkgoHelper()
	queued := f.logs.FilterMessage("request_queued").Len()
	result := make(chan acquired, 1)
	go func() {
		slot, refusal := f.views[i].Acquire(ctx, places.Request{ID: fmt.Sprint("r", i), Group: "g", MaxWait: 3 * limit})
		result <- acquired{slot, refusal}
	}()
	Eventually(func() int { return f.logs.FilterMessage("request_queued").Len() }).WithTimeout(limit).Should(BeNumerically(">", queued))
	return result
}

// granted waits until a waiting request has a slot.
func granted(result <-chan acquired) places.Slot {
	GinkgoHelper()
	var got acquired
	Eventually(result).WithTimeout(limit).Should(Receive(&got))
	Expect(got.refusal).To(BeNil())
	return got.slot
}

// outcomes lists how the waits of a request ended.
func (f *queueFleet) outcomes(id string) []string {
	var list []string
	for _, entry := range f.logs.FilterMessage("request_dequeued").FilterField(zap.String("id", id)).All() {
		list = append(list, fmt.Sprint(entry.ContextMap()["outcome"]))
	}
	return list
}

var _ = Describe("A request that waits at the leader", func() {
	var f *queueFleet
	ctx := context.Background()
	BeforeEach(func() { f = newQueueFleet() })

	// Without the delivery a freed slot would stay idle until the next renewal.
	It("gets the slot that becomes free", func() {
		f.fill("p4")
		remote, own := f.wait(ctx, 8), f.wait(ctx, 4)
		f.release()
		f.release()
		Expect(granted(remote).GrantedBy).To(Equal("p4"))
		Expect(granted(own).GrantedBy).To(Equal("p4"))
		Expect(f.outcomes("r8")).To(Equal([]string{"granted"}))
		Expect(f.network.count("Slots.Deliver")).To(Equal(1), "the leader's own request needs no message")
	})

	// Failure: the delivery is lost on the network.
	It("gets its slot by a renewal if the delivery is lost", func() {
		f.fill("p4")
		f.network.lose("Slots.Deliver", true)
		waiting := f.wait(ctx, 8)
		f.release()
		slot := granted(waiting)
		Expect(slot.GrantedBy).To(Equal("p4"))
		// The slot is taken once: the next request waits.
		f.wait(ctx, 12)
	})

	// Failure: the leader dies with the queue.
	It("goes on without the leader once that has died", func() {
		f.fill("p4")
		waiting := f.wait(ctx, 8)
		f.network.setCut("p4", true)
		f.stop(4)
		Eventually(func() bool {
			_, found := f.views[8].Leader()
			return found
		}).WithTimeout(limit).Should(BeTrue())
		for len(f.taken) > 0 {
			f.release()
		}
		Expect(granted(waiting).GrantedBy).NotTo(Equal("p4"))
	})

	// Failure: the leader changes, and the new one does not know who waits.
	It("waits on at a new leader", func() {
		f.network.setCut("p4", true)
		f.stop(4)
		var leader string
		Eventually(func() string {
			slot := f.acquire(0)
			f.views[0].Release(slot, routing.Neutral, 0)
			leader = slot.GrantedBy
			return leader
		}).WithTimeout(limit).ShouldNot(Or(BeEmpty(), Equal("p4")))
		f.fill(leader)
		waiting := f.wait(ctx, 8)
		f.network.setCut("p4", false)
		f.run(4)
		Eventually(func() string {
			now, _ := f.views[8].Leader()
			return now
		}).WithTimeout(limit).Should(Equal("p4"))
		f.awaitReports()
		f.release()
		Expect(granted(waiting).GrantedBy).To(Equal("p4"))
	})

	// Failure: the holder dies while its request waits. A slot for it would stay idle until
	// its lease expires.
	It("gets the slot for which a dead holder waited before", func() {
		f.fill("p4")
		var grant slots.Grant
		dead := slots.Request{ID: slots.ID{Holder: "dead", Number: 1}, Group: "g", Patience: limit, MayWait: true}
		Expect(f.network.Invoke("p4", "Slots.Grant", dead, &grant)).To(Succeed())
		Expect(grant.Verdict).To(Equal(slots.Waiting))
		waiting := f.wait(ctx, 8)
		// Heartbeats of 150 ms pass for longer than a request stays without a renewal.
		f.awaitReports()
		f.release()
		granted(waiting)
		Expect(f.network.count("Slots.Deliver")).To(Equal(1))
	})

	// Failure: the caller leaves. Its request must not take the place of another one.
	It("ends at once when its caller leaves", func() {
		f.fill("p4")
		left, leave := context.WithCancel(ctx)
		first := f.wait(left, 8)
		second := f.wait(ctx, 12)
		leave()
		var got acquired
		Eventually(first).WithTimeout(limit).Should(Receive(&got))
		Expect(got.refusal.Code).To(Equal(outcome.Cancelled))
		Expect(f.outcomes("r8")).To(Equal([]string{"caller_left"}))
		f.awaitReports()
		f.release()
		granted(second)
		Expect(f.network.count("Slots.Deliver")).To(Equal(1))
	})

	// A request that waits past its maximum wait is answered too late for its caller.
	It("is refused when its maximum wait has passed", func() {
		f.fill("p4")
		_, refusal := f.views[8].Acquire(ctx, places.Request{ID: "r8", Group: "g", MaxWait: 150 * time.Millisecond})
		Expect(refusal).NotTo(BeNil())
		Expect(refusal.Code).To(Equal(outcome.Overloaded))
		Expect(f.outcomes("r8")).To(Equal([]string{"overloaded"}))
	})
})
