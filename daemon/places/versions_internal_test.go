package places

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/election"
	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/core/routing"
	"tarragonhollow.example/tarragonhollow/core/slots"
)

func versioned(id, zone, version string) roster.Target {
	return roster.Target{ID: id, Start: roster.StartOf(id, 0), Group: "g", Address: id, Zone: zone, Version: version, Slots: 2}
}

// readAll is the change by a reading of all entries from the log.
func readAll(targets []roster.Target) func(time.Time, *roster.Roster) {
	return func(now time.Time, r *roster.Roster) {
		r.StoreAnswered(now)
		r.Replace(now, targets)
	}
}

// versionView returns the view of the daemon "self" in zone z, which knows the given targets
// and follows the leader "a". A sampled view is that of a large zone.
func versionView(leaders *scriptedLeaders, sampled bool, targets ...roster.Target) *Places {
	p := New(Options{Host: "self", Zone: "z", PeerAddress: "self", Peers: leaders, Policy: slots.Policy{Queue: true},
		FleetSize: func() int { return 100 }, LargeZone: func() bool { return sampled }, Logger: zap.NewNop()})
	now := time.Now()
	if sampled {
		p.Adopt(now, targets, false)
	} else {
		p.Update(readAll(targets))
	}
	p.scheduler.election.SetMembers(now, []election.Member{{Address: "a", Capacity: 2}, {Address: "self", Capacity: 1}})
	p.scheduler.election.ReceiveHeartbeat(now, "a")
	return p
}

// granting is the answer of a leader of an earlier build that grants the target: its
// description names no version.
func granting(t roster.Target) slots.Grant {
	at := slots.Target{Start: string(t.Start), Slots: t.Slots, ID: t.ID, Address: t.Address, Zone: t.Zone}
	return slots.Grant{Verdict: slots.Granted, Target: at.Start, At: at}
}

// acquirers are the ways to acquire a slot at a target of v2.
var acquirers = map[string]func(*Places) (Slot, bool){
	"online": func(p *Places) (Slot, bool) {
		slot, refusal := p.Acquire(context.Background(), Request{Group: "g", Version: "v2", MaxWait: time.Second})
		return slot, refusal == nil
	},
	"batch": func(p *Places) (Slot, bool) {
		return p.AcquireBatch(context.Background(), BatchRequest{Group: "g", Version: "v2"})
	},
}

// Guards against a stream that goes on at another version because a leader of an earlier
// build, which knows no versions, chose the target: at once, after a wait, in another zone,
// and where this daemon holds only a sample and does not know the target.
func TestLeaderWithoutVersionsNeverLeadsToAnotherVersion(t *testing.T) {
	old, young := versioned("old", "z", "v1"), versioned("new", "z", "v2")
	unknown, remote := versioned("unknown", "z", ""), versioned("remote", "other", "")
	var p *Places
	cases := map[string]struct {
		sampled bool
		at      string // the leader whose grant must be returned
		answer  func(leader string, r slots.Request) slots.Grant
	}{
		"of a known target":              {false, "a", func(string, slots.Request) slots.Grant { return granting(old) }},
		"of an entry without a version":  {false, "a", func(string, slots.Request) slots.Grant { return granting(unknown) }},
		"of a target outside the sample": {true, "a", func(string, slots.Request) slots.Grant { return granting(remote) }},
		"of another zone": {true, "b", func(leader string, _ slots.Request) slots.Grant {
			if leader == "a" {
				return slots.Grant{Verdict: slots.Elsewhere, Zone: "other", Leader: "b"}
			}
			return granting(remote)
		}},
		"after a wait": {false, "a", func(_ string, r slots.Request) slots.Grant {
			if r.Batch {
				return granting(old)
			}
			p.scheduler.deliver(WaitEnd{From: "a", Number: r.ID.Number, Grant: granting(old)})
			return slots.Grant{Verdict: slots.Waiting}
		}},
	}
	for name, c := range cases {
		for kind, acquire := range acquirers {
			t.Run(name+"/"+kind, func(t *testing.T) {
				g := NewWithT(t)
				leaders := &scriptedLeaders{answer: func(_ context.Context, leader string, r slots.Request) (slots.Grant, error) {
					return c.answer(leader, r), nil
				}}
				p = versionView(leaders, c.sampled, old, young, unknown)
				for range 2 {
					slot, ok := acquire(p)
					g.Expect(ok).To(BeTrue())
					g.Expect(slot.Target).To(Equal(young))
					g.Expect(slot.GrantedBy).To(BeEmpty())
				}
				g.Expect(abandonedAt(p.scheduler)).To(ContainElement(c.at))
				g.Expect(leaders.asked[0].Version).To(Equal("v2"))
				p.Update(func(now time.Time, r *roster.Roster) { r.Remove(now, "new") })
				_, ok := acquire(p)
				g.Expect(ok).To(BeFalse())
			})
		}
	}
}

// Guards against slots that are returned although the leader says that the target, which is
// outside this daemon's sample, is of the required version.
func TestAcceptsAGrantAtATargetOutsideTheSample(t *testing.T) {
	for kind, acquire := range acquirers {
		t.Run(kind, func(t *testing.T) {
			g := NewWithT(t)
			grant := granting(versioned("remote", "other", ""))
			grant.At.Version = "v2"
			leaders := &scriptedLeaders{answer: func(context.Context, string, slots.Request) (slots.Grant, error) { return grant, nil }}
			p := versionView(leaders, true, versioned("old", "z", "v1"))
			slot, ok := acquire(p)
			g.Expect(ok).To(BeTrue())
			g.Expect([]string{slot.ID, slot.Version, slot.GrantedBy}).To(Equal([]string{"remote", "v2", "a"}))
			g.Expect(abandonedAt(p.scheduler)).To(BeEmpty())
		})
	}
}

// Guards against a request that waits for its deadline, or is sent elsewhere, although no
// target of its version is known, and against other causes in its refusal.
func TestRefusesAtOnceAVersionThatNoTargetHas(t *testing.T) {
	g := NewWithT(t)
	leaders := &scriptedLeaders{answer: func(context.Context, string, slots.Request) (slots.Grant, error) { return slots.Grant{}, nil }}
	p := versionView(leaders, false, versioned("old", "z", "v1"), versioned("unknown", "z", ""))
	for _, alone := range []bool{false, true} {
		_, refusal := p.Acquire(context.Background(), Request{Group: "g", Version: "v2", Alone: alone, MaxWait: time.Second})
		g.Expect(refusal).NotTo(BeNil())
		g.Expect(refusal.Code).To(Equal(outcome.NoTarget))
		g.Expect(refusal.Message).To(Equal("no target of g with version v2 is known"))
		g.Expect(refusal.RetryAfterMs).To(BeEquivalentTo(noTargetRetryMs))
	}
	g.Expect(p.ServesVersion("g", "v1")).To(BeTrue())
	g.Expect(p.ServesVersion("g", "")).To(BeTrue())
	g.Expect(p.ServesVersion("g", "v2")).To(BeFalse())
	g.Expect(p.ServesVersion("h", "")).To(BeFalse())
}

// Guards against a daemon without a leader that chooses another version because all targets
// of the required one are tried, failed or full, or because the request must run alone.
func TestChoosesLocallyOnlyTheRequiredVersion(t *testing.T) {
	leaders := &scriptedLeaders{answer: func(ctx context.Context, _ string, _ slots.Request) (slots.Grant, error) { return noAnswer(ctx) }}
	targets := []roster.Target{versioned("old1", "z", "v1"), versioned("old2", "z", "v1"), versioned("new1", "z", "v2"), versioned("new2", "other", "v2"), versioned("unknown", "z", "")}
	for _, alone := range []bool{false, true} {
		for _, fails := range []bool{false, true} {
			g := NewWithT(t)
			p := versionView(leaders, false, targets...)
			tried := map[string]bool{}
			for range 6 {
				slot, refusal := p.Acquire(context.Background(), Request{Group: "g", Version: "v2", Alone: alone, Exclude: tried, MaxWait: time.Second})
				g.Expect(refusal).To(BeNil())
				g.Expect(slot.Version).To(Equal("v2"))
				tried[string(slot.Start)] = true
				if fails {
					p.Release(slot, routing.HardFailed, 0)
				}
			}
			g.Expect(tried).To(HaveLen(2))
		}
	}
}

// Guards against batch items that are chosen another version without a leader, and against
// one that can't be repeated at the only target of its version.
func TestChoosesLocallyOnlyTheRequiredVersionForItems(t *testing.T) {
	g := NewWithT(t)
	p := New(Options{Host: "self", Zone: "z", PeerAddress: "self", Logger: zap.NewNop()})
	young := versioned("new", "other", "v2")
	p.Update(readAll([]roster.Target{versioned("old1", "z", "v1"), versioned("old2", "z", "v1"), young}))
	item := BatchRequest{Group: "g", Version: "v2", Exclude: map[string]bool{string(young.Start): true}}
	for range young.Slots {
		slot, ok := p.AcquireBatch(context.Background(), item)
		g.Expect(ok).To(BeTrue())
		g.Expect(slot.Target).To(Equal(young))
	}
	_, ok := p.AcquireBatch(context.Background(), item)
	g.Expect(ok).To(BeFalse())
}

// Guards against a leader that takes the sample of other zones' targets that it has from
// another daemon for all of them, and does not send requests to zones that serve a version.
func TestRemoteVersionsAreUnknownFromASample(t *testing.T) {
	g := NewWithT(t)
	targets := []roster.Target{versioned("old", "z", "v1"), versioned("new", "other", "v2")}
	p := New(Options{Host: "self", Zone: "z", PeerAddress: "self", Logger: zap.NewNop()})
	read := readAll(targets)
	p.Update(read)
	served := map[slots.ZoneGroup]bool{{Zone: "other", Group: "g", Version: "v2"}: true}
	g.Expect(p.remoteVersions(targets)).To(Equal(served))
	for _, wholeZone := range []bool{false, true} {
		p.Adopt(time.Now(), slices.Clone(targets), wholeZone)
		p.Rebuild()
		g.Expect(p.remoteVersions(targets)).To(BeNil())
	}
	p.Update(read)
	g.Expect(p.remoteVersions(targets)).To(Equal(served))
}

// Guards against a daemon of a large zone that, without its leader, refuses streams of a
// version that few targets have, and against samples that grow with the number of versions.
func TestSamplesHoldEachVersion(t *testing.T) {
	g := NewWithT(t)
	var targets []roster.Target
	for i := range 1000 {
		targets = append(targets, versioned(fmt.Sprint("old", i), "z", "v1"), versioned(fmt.Sprint("far", i), "other", "v1"))
	}
	uniform := newPool("z", targets)
	before := uniform.sample("self")
	g.Expect(before).To(HaveLen(localSampleSize + remoteSampleSize))
	for i := range 3 {
		targets = append(targets, versioned(fmt.Sprint("new", i), "z", "v2"), versioned(fmt.Sprint("newer", i), "other", "v3"))
	}
	count := func(list []roster.Target, version string) int {
		return len(slices.DeleteFunc(slices.Clone(list), func(t roster.Target) bool { return t.Version != version }))
	}
	mixed := newPool("z", targets)
	for _, list := range [][]roster.Target{mixed.sample("self"), mixed.wholeZone("self")} {
		g.Expect([]int{count(list, "v2"), count(list, "v3")}).To(Equal([]int{3, 3}))
		g.Expect(slices.CompactFunc(list, func(a, b roster.Target) bool { return a.ID == b.ID })).To(HaveLen(len(list)))
	}
	for i := range targets {
		targets[i].Version = fmt.Sprint("v", i)
	}
	g.Expect(len(newPool("z", targets).sample("self"))).To(BeNumerically("<=", len(before)+maxSampledVersions*versionSampleSize))
}
