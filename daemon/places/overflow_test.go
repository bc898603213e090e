package places_test

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"tarragonhollow.example/tarragonhollow/core/routing"
	"tarragonhollow.example/tarragonhollow/core/slots"
	"tarragonhollow.example/tarragonhollow/daemon/places"
)

var _ = Describe("Balancing between the zones of a large fleet", func() {
	var (
		f     *largeFleet
		logs  *observer.ObservedLogs
		set   *metrics.Set
		keyed func(zone int) bool
		// timeout is the slot timeout if it is not 0.
		timeout time.Duration
	)
	BeforeEach(func() {
		set, keyed, timeout = metrics.NewSet(), func(int) bool { return true }, 0
	})
	// start starts a fleet in which batch takes all slots of the zones 1 to 3 and online
	// requests those of zone 0.
	start := func() {
		GinkgoHelper()
		var core zapcore.Core
		core, logs = observer.New(zap.InfoLevel)
		f = newLargeFleet(func(i int, o *places.Options) {
			o.Policy.ZoneBalance = keyed(i % fleetZones)
			o.Metrics = set
			if timeout > 0 {
				o.SlotTimeout = timeout
			}
			if i == fleetZones {
				o.Logger = zap.New(core)
			}
		})
		for i := range fleetZones {
			f.awaitLeader(i, fmt.Sprint("p", i+fleetZones))
		}
		f.awaitReports()
		f.fillZone()
		for zone := 1; zone < fleetZones; zone++ {
			for range zoneTargets * targetSlots {
				Eventually(func() bool {
					_, ok := f.views[zone].AcquireBatch(context.Background(), places.BatchRequest{Group: "g"})
					return ok
				}).WithTimeout(limit).Should(BeTrue())
			}
		}
		f.awaitReports()
		_, more := f.views[1].AcquireBatch(context.Background(), places.BatchRequest{Group: "g"})
		Expect(more).To(BeFalse())
	}
	// overflows returns how many requests were sent to another zone, by reason and outcome.
	overflows := func(reason, outcome string) uint64 {
		return set.GetOrCreateCounter(`tarragonhollow_zone_overflow_total{reason="` + reason + `",outcome="` + outcome + `"}`).Get()
	}
	unanswered := func() uint64 {
		return overflows("free", "unanswered") + overflows("batch", "unanswered") + overflows("queue", "unanswered")
	}
	preempted := func() int {
		n := 0
		for i := range f.views {
			for _, count := range f.views[i].Preemptions() {
				n += count
			}
		}
		return n
	}
	// overflow acquires slots in zone 0 until a request has gone to another zone.
	overflow := func() places.Slot {
		GinkgoHelper()
		var slot places.Slot
		Eventually(func() string {
			slot = f.acquire(0)
			if slot.Zone == "z0" {
				f.views[0].Release(slot, routing.Neutral, 0)
			}
			return slot.Zone
		}).WithTimeout(limit).ShouldNot(Equal("z0"))
		return slot
	}

	// Callers of a full zone wait or are refused while batch runs in another zone.
	It("preempts batch in another zone for an online request", func() {
		start()
		slot := overflow()
		Expect(slot.GrantedBy).To(BeElementOf("p5", "p6", "p7"))
		Eventually(preempted).WithTimeout(limit).Should(Equal(1))
		Consistently(preempted).Should(BeZero())
		Expect(overflows("batch", "granted")).To(BeNumerically(">=", 1))
		lines := logs.FilterMessage("zone_overflow").All()
		Expect(lines).NotTo(BeEmpty())
		Expect(lines[0].ContextMap()).To(And(HaveKeyWithValue("zone", "z0"), HaveKeyWithValue("reason", "batch"),
			HaveKey("remote_batch"), HaveKey("waiting")))
	})

	// All zones are full. The other leader refuses a request whose expected wait at home it does
	// not know.
	It("lets an online request wait in another zone where it starts earlier", func() {
		keyed = func(zone int) bool { return zone < 2 }
		start()
		measured := f.acquire(1)
		f.views[1].Release(measured, routing.Succeeded, 10*time.Millisecond)
		f.awaitReports()
		for range zoneTargets * targetSlots {
			Expect(f.acquire(1).Zone).To(Equal("z1"))
		}
		f.awaitReports()
		measured = f.acquire(0)
		Expect(measured.Zone).To(Equal("z0"))
		f.views[0].Release(measured, routing.Succeeded, 10*time.Second)
		f.awaitReports()
		Expect(overflow().Zone).To(Equal("z1"))
		Expect(overflows("queue", "granted")).To(BeNumerically(">=", 1))
	})

	// Leaders' reports arrive, but calls to them are lost: each request would wait for the
	// slot timeout.
	It("sends no further requests to leaders that do not answer", func() {
		timeout = 50 * time.Millisecond
		start()
		for i := 5; i < 8; i++ {
			f.network.setCut(fmt.Sprint("p", i), true)
		}
		Eventually(func() uint64 {
			slot := f.acquire(0)
			Expect(slot.Zone).To(Equal("z0"))
			return unanswered()
		}).WithTimeout(limit).Should(BeNumerically(">=", 3))
		before, began := unanswered(), time.Now()
		for range 40 {
			Expect(f.acquire(0).Zone).To(Equal("z0"))
		}
		// One request a zone in 500 ms.
		Expect(unanswered() - before).To(BeNumerically("<=", 3*(1+time.Since(began)/(500*time.Millisecond))))
	})

	// A caller that gives up while its request visits another zone would keep all requests
	// from that zone.
	It("goes on sending requests to a zone after a caller has given up", func() {
		timeout = 200 * time.Millisecond
		start()
		setCut := func(cut bool) {
			for i := 5; i < 8; i++ {
				f.network.setCut(fmt.Sprint("p", i), cut)
			}
		}
		// Reports are lost too while the leaders are cut off, but remain valid.
		const requests = 3 // one for each zone
		setCut(true)
		for range requests {
			cancelled, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
			slot, _ := f.views[4].Acquire(cancelled, places.Request{Group: "g", MaxWait: time.Second})
			cancel()
			f.views[4].Release(slot, routing.Neutral, 0)
		}
		setCut(false)
		Expect(unanswered()).To(BeNumerically("==", requests))
		Expect(f.acquire(4).Zone).NotTo(Equal("z0"))
	})

	// A leader has died: its last report offers slots that nobody grants.
	It("sends no requests to a zone whose leader's reports have ended", func() {
		start()
		for i := 1; i < fleetSize; i++ {
			if i%fleetZones != 0 {
				f.stop(i)
			}
		}
		time.Sleep(2 * slots.FreeSlotsTTL)
		before := f.network.count("Slots.Grant")
		const requests = 10
		for range requests {
			Expect(f.acquire(0).Zone).To(Equal("z0"))
		}
		// The leader of zone 0 alone is called, once for each request.
		Expect(f.network.count("Slots.Grant") - before).To(BeNumerically("<=", requests))
	})

	// A stale leader reports slots that it does not have. Each request would be sent there
	// first.
	It("returns to the local zone after a zone without the slots that it reported, and leaves that out", func() {
		start()
		measured := f.acquire(1)
		f.views[1].Release(measured, routing.Succeeded, time.Second)
		f.awaitReports()
		for range zoneTargets * targetSlots {
			Expect(f.acquire(1).Zone).To(Equal("z1"))
		}
		report := places.ZoneReport{Zone: "z1", Leader: "p5", Free: map[string]int{"g": 50}, Load: map[string]slots.ZoneLoad{"g": {Free: 50}}}
		none := func() uint64 { return overflows("free", "none") }
		acquire := func() uint64 {
			before := none()
			Expect(f.network.Call(context.Background(), "p4", "Slots.Room", report, &places.Ack{})).To(Succeed())
			slot := f.acquire(0)
			if none() > before {
				Expect(slot.Zone).To(Equal("z0"))
			}
			return none()
		}
		began := time.Now()
		Eventually(acquire).WithTimeout(limit).Should(BeNumerically(">=", 1))
		for range 20 {
			acquire()
		}
		Expect(none()).To(BeNumerically("<=", 1+time.Since(began)/(500*time.Millisecond)))
	})

	// During a rolling upgrade, leaders of the previous build report free slots only, and
	// grant visiting requests nothing else.
	It("sends requests only to free slots of zones that do not balance", func() {
		keyed = func(zone int) bool { return zone == 0 }
		start()
		for range 10 {
			Expect(f.acquire(0).Zone).To(Equal("z0"))
		}
		Expect(preempted()).To(BeZero())
	})
})
