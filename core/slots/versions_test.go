package slots_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"tarragonhollow.example/tarragonhollow/core/routing"
	"tarragonhollow.example/tarragonhollow/core/slots"
)

func version(v string) func(*slots.Request) { return func(r *slots.Request) { r.Version = v } }

func patience(d time.Duration) func(*slots.Request) {
	return func(r *slots.Request) { r.Patience = d }
}

// setVersions sets the zone's targets: old ones of v1, t0, t1, ..., and new ones of v2 with
// one slot each, n0, n1, ...
func (z *waitZone) setVersions(old, new int) {
	var targets []slots.Target
	for i := range old {
		targets = append(targets, slots.Target{Start: fmt.Sprint("t", i), Slots: perTarget, Version: "v1"})
	}
	for i := range new {
		targets = append(targets, slots.Target{Start: fmt.Sprint("n", i), Slots: 1, Version: "v2"})
	}
	z.ledger.SetTargets(map[string][]slots.Target{"g": targets})
}

func newVersionZone(t *testing.T, old, new int) *waitZone {
	z := newWaitZone(t, 0)
	z.setVersions(old, new)
	return z
}

// granted takes a slot and returns the request and its target.
func (z *waitZone) granted(change ...func(*slots.Request)) (slots.Request, string) {
	r, grant := z.ask(change...)
	z.Expect(grant.Verdict).To(Equal(slots.Granted))
	return r, grant.Target
}

// Guards against a slot at a target of another or of unknown version, by any path: free and
// preempted slots, the queue, targets that are excluded or degraded, with any policy.
func TestGrantsOnlyTheRequiredVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := slots.Policy{Queue: rapid.Bool().Draw(t, "queue"), ZoneBalance: rapid.Bool().Draw(t, "balance"),
			BatchReserve: rapid.Bool().Draw(t, "reserve"), TargetRates: rapid.Bool().Draw(t, "rates"), FairShares: rapid.Bool().Draw(t, "shares")}
		l, now := slots.NewLedgerWith(policy), start
		n := rapid.IntRange(1, 100).Draw(t, "targets")
		versions, required := map[string]string{}, map[slots.ID]string{}
		var targets []slots.Target
		setTargets := func() {
			targets = nil
			for i := range n {
				at := fmt.Sprint("t", i)
				if versions[at] == "" {
					versions[at] = rapid.SampledFrom([]string{"", "v1", "v1", "v2"}).Draw(t, "version")
				}
				if rapid.IntRange(0, 4).Draw(t, "listed") > 0 {
					targets = append(targets, slots.Target{Start: at, Slots: 1, Version: versions[at]})
				}
			}
			l.SetTargets(map[string][]slots.Target{"g": targets})
		}
		setTargets()
		type slot struct {
			id     slots.ID
			target string
		}
		var taken []slot
		check := func(id slots.ID, g slots.Grant) {
			if g.Verdict != slots.Granted {
				return
			}
			if want := required[id]; want != "" && (versions[g.Target] != want || g.At.Version != want) {
				t.Fatalf("a request for %s got %s of version %q", want, g.Target, versions[g.Target])
			}
			taken = append(taken, slot{id, g.Target})
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 120).Draw(t, "ms")) * time.Millisecond)
			switch op := rapid.IntRange(0, 9).Draw(t, "op"); {
			case op == 0:
				setTargets()
			case op < 4 && len(taken) > 0:
				i := rapid.IntRange(0, len(taken)-1).Draw(t, "ends")
				o := rapid.SampledFrom([]routing.Outcome{routing.Succeeded, routing.HardFailed}).Draw(t, "outcome")
				l.End(now, taken[i].id.Holder, []slots.Ended{{Number: taken[i].id.Number, Target: taken[i].target, Outcome: o, Took: 300 * time.Millisecond}})
				taken = append(taken[:i], taken[i+1:]...)
			default:
				r := request(mayWait, version(rapid.SampledFrom([]string{"", "v1", "v2"}).Draw(t, "required")))
				r.Batch, r.LastChance = rapid.Bool().Draw(t, "batch"), rapid.Bool().Draw(t, "last")
				r.Visiting, r.Preempts = rapid.Bool().Draw(t, "visiting"), rapid.Bool().Draw(t, "preempts")
				r.HomeWait, r.Rank = time.Second, rapid.IntRange(0, 2).Draw(t, "rank")
				for _, target := range targets {
					if rapid.Bool().Draw(t, "excluded") {
						r.Exclude = append(r.Exclude, target.Start)
					}
				}
				required[r.ID] = r.Version
				check(r.ID, l.Grant(now, r, rapid.Uint64().Draw(t, "seed")))
			}
			for _, d := range l.Dispatch(now) {
				check(d.ID, d.Grant)
			}
		}
	})
}

// Guards against a refusal although a target of a rare version is free in a large group, of
// which a grant examines a sample.
func TestGrantsARareVersionInALargeGroup(t *testing.T) {
	for seed := range uint64(50) {
		l := slots.NewLedger()
		var targets []slots.Target
		for i := range 300 {
			targets = append(targets, slots.Target{Start: fmt.Sprint("t", i), Slots: perTarget, Version: "v1"})
		}
		targets[217].Version = "v2"
		l.SetTargets(map[string][]slots.Target{"g": targets})
		for _, change := range []func(*slots.Request){func(*slots.Request) {}, batch} {
			if grant := l.Grant(start, request(version("v2"), change), seed); grant.Target != "t217" {
				t.Fatalf("seed %d: %v at %q", seed, grant.Verdict, grant.Target)
			}
		}
	}
}

// Guards against a request that waits although no target of its version exists.
func TestDoesNotQueueForAVersionThatNoTargetHas(t *testing.T) {
	z := newVersionZone(t, 2, 0)
	_, grant := z.ask(version("v2"))
	z.Expect(grant.Verdict).To(Equal(slots.None))
	z.setVersions(2, 1)
	z.granted(version("v2"))
	waits := z.queued(version("v2"))
	z.setVersions(2, 0)
	ended := z.ledger.Dispatch(z.now)
	z.Expect(ended).To(HaveLen(1))
	z.Expect(ended[0].ID).To(Equal(waits.ID))
	z.Expect(ended[0].Grant.Verdict).To(Equal(slots.None))
}

// Guards against a queue that is blocked by requests for a version without a free slot, more
// of them than are passed over, and against new requests that find only a sample's slots.
func TestRequestsForABusyVersionDoNotBlockOthers(t *testing.T) {
	const old = 300
	z := newVersionZone(t, old, 1)
	z.granted(version("v2"))
	var waiting []slots.Request
	for range 100 {
		waiting = append(waiting, z.queued(version("v2")))
	}
	taken := map[string][]slots.Request{}
	for range old * perTarget {
		r, target := z.granted()
		taken[target] = append(taken[target], r)
	}
	z.Expect(z.end(taken["t7"][0], "t7", 0)).To(BeEmpty())
	r := request(mayWait)
	grant := z.ledger.Grant(z.now, r, 100) // a sample begins at t100
	z.Expect(grant.Target).To(Equal("t7"))
	other := z.queued()
	ended := z.end(r, "t7", 0)
	z.Expect(ended).To(HaveLen(1))
	z.Expect(ended[0].ID).To(Equal(other.ID))
	z.Expect(z.ledger.Waiting()["g"]).To(Equal(len(waiting)))
}

// Guards against a request that waits for its whole maximum wait in vain: a slot of its version
// becomes free too rarely, though others do so often.
func TestRefusesAtOnceWhatItsVersionCannotServe(t *testing.T) {
	z := newVersionZone(t, 10, 1)
	for range 10 * perTarget {
		z.granted(version("v1"))
	}
	r, target := z.granted(version("v2"))
	z.end(r, target, 600*time.Millisecond)
	z.granted(version("v2"))
	_, grant := z.ask(version("v2"), patience(400*time.Millisecond))
	z.Expect(grant.Verdict).To(Equal(slots.Overloaded))
	z.Expect(grant.Wait).To(BeNumerically("~", 600*time.Millisecond, time.Millisecond))
	z.queued(version("v2"), patience(700*time.Millisecond))
	_, grant = z.ask(version("v2"), patience(700*time.Millisecond)) // behind the one before
	z.Expect(grant.Verdict).To(Equal(slots.Overloaded))
	_, grant = z.ask(patience(400 * time.Millisecond)) // accepts any of 41 slots
	z.Expect(grant.Verdict).To(Equal(slots.Waiting))
}

// Guards against a request that requires a version and never gets a slot: later requests that
// accept any version, and can still meet their objective, take each of them.
func TestRequestForAVersionIsNotStarved(t *testing.T) {
	z := newVersionZone(t, 5, 1)
	taken := map[string][]slots.Request{}
	for range 5*perTarget + 1 {
		r, target := z.granted()
		taken[target] = append(taken[target], r)
	}
	requires := z.queued(version("v2"), patience(5*time.Second), func(r *slots.Request) { r.ObjectiveLeft = 10 * time.Millisecond })
	z.now = z.now.Add(50 * time.Millisecond) // it misses its objective, the later ones don't
	z.queued()
	urgent := z.queued(func(r *slots.Request) { r.Rank = -1 })
	ended := z.end(taken["n0"][0], "n0", 0)
	z.Expect(ended).To(HaveLen(1))
	z.Expect(ended[0].ID).To(Equal(urgent.ID)) // a higher priority stays ahead
	ended = z.end(urgent, "n0", 0)
	z.Expect(ended).To(HaveLen(1))
	z.Expect(ended[0].ID).To(Equal(requires.ID))
}

// Guards against requests that wait in the queue for a version whose targets are all
// degraded, while those of another are healthy.
func TestRequestsForADegradedVersionWaitAtItsTargets(t *testing.T) {
	z := newVersionZone(t, 1, 1)
	held, target := z.granted(version("v2"))
	waits := z.queued(version("v2"))
	z.ledger.End(z.now, "h", []slots.Ended{{Target: target, Outcome: routing.HardFailed}})
	z.now = z.now.Add(100 * time.Millisecond)
	ended := z.ledger.Dispatch(z.now)
	z.Expect(ended).To(HaveLen(1))
	z.Expect(ended[0].ID).To(Equal(waits.ID))
	z.Expect(ended[0].Grant.Verdict).To(Equal(slots.Granted))
	z.Expect(ended[0].Grant.Target).To(Equal("n0"))
	z.Expect(held.Version).To(Equal("v2"))
}

// Guards against a batch item that gets no slot of its version because the online reserve,
// which any version serves, exceeds this version's slots.
func TestBatchReserveCountsTheSlotsOfAllVersions(t *testing.T) {
	z := &waitZone{WithT: NewWithT(t), ledger: slots.NewLedgerWith(slots.Policy{BatchReserve: true}), now: start}
	z.setVersions(10, 1)
	var taken []slots.Request
	var at []string
	for range 10 {
		r, target := z.granted(version("v1"))
		taken, at = append(taken, r), append(at, target)
	}
	for range 40 {
		z.now = z.now.Add(50 * time.Millisecond)
		z.ledger.Expire(z.now)
		var running []slots.Running
		for i, r := range taken {
			running = append(running, slots.Running{Number: r.ID.Number, Target: at[i]})
		}
		z.ledger.Report(z.now, "h", running, nil)
	}
	for i := range 5 {
		z.end(taken[i], at[i], time.Second)
	}
	z.now = z.now.Add(500 * time.Millisecond)
	item := func(r *slots.Request) { r.Slack = time.Minute }
	z.Expect(z.ledger.Reserves(z.now)["g"]).To(BeNumerically(">", 1))
	_, target := z.granted(batch, version("v2"), item)
	z.Expect(target).To(Equal("n0"))
}

func balancedZones(t *testing.T) *waitZone {
	z := &waitZone{WithT: NewWithT(t), ledger: slots.NewLedgerWith(slots.Policy{Queue: true, ZoneBalance: true}), now: start}
	z.setVersions(1, 0)
	for _, zone := range []string{"a", "b"} {
		free := map[string]slots.ZoneLoad{"g": {Free: 10}}
		z.ledger.ApplyRemoteLoad(z.now, zone, "leader-"+zone, map[string]int{"g": 10}, free)
	}
	return z
}

func preempting(r *slots.Request) { r.Preempts = true }

// Guards against a request that is sent to a zone without targets of its version, and against
// one that stays although another zone has them.
func TestSendsARequestToAZoneThatHasItsVersion(t *testing.T) {
	z := balancedZones(t)
	z.ledger.SetRemoteVersions(map[slots.ZoneGroup]bool{{Zone: "a", Group: "g", Version: "v1"}: true, {Zone: "b", Group: "g", Version: "v2"}: true})
	for _, kind := range []func(*slots.Request){preempting, batch} {
		_, grant := z.ask(version("v2"), kind)
		z.Expect(grant.Verdict).To(Equal(slots.Elsewhere))
		z.Expect(grant.Zone).To(Equal("b"))
	}
	_, grant := z.ask(version("v3"), preempting)
	z.Expect(grant.Verdict).To(Equal(slots.None))
}

// Guards against a zone that is left aside by all requests because it had no slot of one
// version, and against requests for that version that go there again and again.
func TestAZoneWithoutASlotOfAVersionServesOthers(t *testing.T) {
	z := balancedZones(t)
	failed := func(r *slots.Request) { r.FailedZone, r.Stay = "a", true }
	_, grant := z.ask(version("v2"), preempting)
	z.Expect(grant.Zone).To(Equal("a"))
	_, grant = z.ask(version("v2"), preempting, failed)
	z.Expect(grant.Verdict).To(Equal(slots.None))
	_, grant = z.ask(version("v2"), preempting)
	z.Expect(grant.Zone).To(Equal("b"))
	z.granted(preempting)
	for range perTarget - 1 {
		z.granted(preempting)
	}
	zones := map[string]bool{}
	for range 4 {
		_, grant = z.ask(preempting)
		z.Expect(grant.Verdict).To(Equal(slots.Elsewhere))
		zones[grant.Zone] = true
	}
	z.Expect(zones).To(HaveKey("a"))
}

// Guards against a batch item that is sent again and again to the zone with the most free
// slots, none of which is of its version, while another zone has one.
func TestZonesTakeTurnsForItemsThatRequireAVersion(t *testing.T) {
	for _, policy := range []slots.Policy{{}, {ZoneBalance: true}} {
		z := &waitZone{WithT: NewWithT(t), ledger: slots.NewLedgerWith(policy), now: start}
		z.setVersions(1, 0)
		visited, unversioned := map[string]int{}, map[string]int{}
		for range 6 {
			z.now = z.now.Add(200 * time.Millisecond)
			for zone, free := range map[string]int{"a": 90, "b": 10, "c": 0} {
				z.ledger.ApplyRemoteLoad(z.now, zone, "leader-"+zone, map[string]int{"g": free}, map[string]slots.ZoneLoad{"g": {Free: free}})
			}
			_, grant := z.ask(version("v2"), batch)
			visited[grant.Zone]++
			_, grant = z.ask(batch, without("t0"))
			unversioned[grant.Zone]++
		}
		z.Expect(visited).To(Equal(map[string]int{"a": 3, "b": 3}))
		z.Expect(unversioned).To(Equal(map[string]int{"a": 6}))
	}
}
