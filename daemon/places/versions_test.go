package places_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/core/routing"
	"tarragonhollow.example/tarragonhollow/core/slots"
	"tarragonhollow.example/tarragonhollow/daemon/places"
)

var _ = Describe("The slots of a large fleet with targets of several versions", func() {
	// Each zone has two targets of v1 and one of v2; only zone 0 has one of v3.
	targetsOf := func() []roster.Target {
		var targets []roster.Target
		for i := range fleetZones*zoneTargets + 1 {
			id, version := fmt.Sprint("t", i), "v1"
			switch {
			case i == fleetZones*zoneTargets:
				version = "v3"
			case i >= fleetZones*(zoneTargets-1):
				version = "v2"
			}
			targets = append(targets, roster.Target{ID: id, Start: roster.StartOf(id, 0), Group: "g", Address: id,
				Zone: fmt.Sprint("z", i%fleetZones), Version: version, Slots: targetSlots})
		}
		return targets
	}

	// A stream whose version serves in another zone only, or is the smaller part of a zone's
	// targets, goes on there; one whose version has gone is refused.
	for _, policy := range []slots.Policy{{}, {Queue: true, ZoneBalance: true, BatchReserve: true}} {
		It(fmt.Sprintf("are at the version that a request requires (%+v)", policy), func() {
			f := newFleetOf(targetsOf(), func(_ int, o *places.Options) { o.Policy = policy })
			for i := range fleetZones {
				f.awaitLeader(i, fmt.Sprint("p", i+fleetZones))
			}
			f.awaitReports()
			granted := map[string]int{}
			for n := range 120 {
				v, version := f.views[n%fleetSize], fmt.Sprint("v", 1+n/fleetSize)
				slot, refusal := v.Acquire(context.Background(), places.Request{Group: "g", Version: version, MaxWait: time.Second})
				Expect(refusal).To(BeNil())
				Expect(slot.Version).To(Equal(version))
				if slot.GrantedBy != "" {
					granted[version]++
				}
				v.Release(slot, routing.Succeeded, time.Millisecond)
				if item, ok := v.AcquireBatch(context.Background(), places.BatchRequest{Group: "g", Version: version}); ok {
					Expect(item.Version).To(Equal(version))
					v.ReleaseBatch(item, routing.Succeeded)
				}
			}
			Expect(granted).To(And(HaveKey("v1"), HaveKey("v2"), HaveKey("v3")))
			_, refusal := f.views[0].Acquire(context.Background(), places.Request{Group: "g", Version: "v4", MaxWait: time.Second})
			Expect(refusal).NotTo(BeNil())
		})
	}
})
