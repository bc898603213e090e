package crashparts_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"tarragonhollow.example/tarragonhollow/core/crashparts"
)

func TestCrashParts(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "crashparts")
}

// minute is a time after which no report is under way any more, in milliseconds.
const minute = int64(60_000)

// crash returns the crash of a target under the parts.
func crash(target int, parts ...string) crashparts.Crash {
	return crashparts.Crash{Target: fmt.Sprint("t", target), Parts: parts}
}

// applied returns evidence of crashes that were received at 0.
func applied(crashes ...crashparts.Crash) *crashparts.Evidence {
	e := crashparts.New()
	for _, c := range crashes {
		e.Apply(0, c)
	}
	return e
}

var _ = Describe("The evidence on parts", func() {
	verdict := func(e *crashparts.Evidence, parts ...string) crashparts.Verdict { return e.Decide(1000, parts).Verdict }

	// Guards against a part that crashes one target after the other in requests of which no two are
	// alike.
	It("refuses a part after three crashes", func() {
		e := applied(crash(1, "shared", "bad"))
		Expect(verdict(e, "other", "bad")).To(Equal(crashparts.Suspect))
		e.Apply(0, crash(2, "other", "bad"))
		Expect(verdict(e, "third", "bad")).To(Equal(crashparts.Limited))
		e.Apply(0, crash(3, "third", "bad"))
		Expect(verdict(e, "fourth", "bad")).To(Equal(crashparts.Refused))
		Expect(e.RefusedParts()).To(Equal([]string{"bad"}))
	})

	// Guards against the refusal of sound requests that share the first part with those that crash
	// targets, where all targets are down and nothing can clear the shared part.
	It("does not refuse what shares other parts", func() {
		e := applied(crash(1, "shared", "bad"), crash(2, "shared", "bad"), crash(3, "shared", "bad"), crash(4, "shared", "bad"))
		Expect(verdict(e, "shared", "bad")).To(Equal(crashparts.Refused))
		Expect(verdict(e, "shared", "sound")).To(Equal(crashparts.Limited))
		e.Began([]string{"shared", "sound"}, 10)
		Expect(verdict(e, "shared", "sound")).To(Equal(crashparts.Clear))
		Expect(verdict(e, "shared", "bad")).To(Equal(crashparts.Refused))
	})

	// Guards against a verdict that takes the one part for the explanation of the other's crashes.
	It("refuses two parts that crash targets at the same time, and not what they share", func() {
		e := applied(crash(1, "shared", "bad1"), crash(2, "shared", "bad2"), crash(3, "shared", "bad1"), crash(4, "shared", "bad2"),
			crash(5, "shared", "bad1"), crash(6, "shared", "bad2"))
		Expect(verdict(e, "shared", "bad1")).To(Equal(crashparts.Refused))
		Expect(verdict(e, "shared", "bad2")).To(Equal(crashparts.Refused))
		Expect(verdict(e, "shared", "sound")).To(Equal(crashparts.Limited))
	})

	// Guards against a first part that is never refused, since all requests share it.
	It("refuses a part that stands first in the prompt", func() {
		e := applied(crash(1, "bad", "a"), crash(2, "bad", "b"), crash(3, "bad", "c"))
		Expect(verdict(e, "bad", "d")).To(Equal(crashparts.Refused))
	})

	// Guards against the refusal of a rare part whose requests ran beside the one that crashed the
	// targets.
	It("does not refuse what another part explains", func() {
		e := applied(crash(1, "bad", "rare"), crash(2, "bad", "rare"), crash(3, "bad", "rare"), crash(4, "bad"))
		Expect(verdict(e, "rare")).To(Equal(crashparts.Limited))
		Expect(verdict(e, "bad")).To(Equal(crashparts.Refused))
	})

	// Guards against a part that was cleared before it began to crash targets.
	It("counts only crashes that no answer follows", func() {
		e := applied(crash(1, "p"), crash(2, "p"))
		Expect(e.Began([]string{"p"}, 10)).To(HaveLen(2))
		for target := 3; target <= 5; target++ {
			Expect(verdict(e, "p")).NotTo(Equal(crashparts.Refused))
			e.Apply(20, crash(target, "p"))
		}
		Expect(verdict(e, "p")).To(Equal(crashparts.Refused))
	})

	// Guards against an answer that began before the crash and clears the part of it.
	It("is not cleared by an answer that began before the crash was known", func() {
		e := crashparts.New()
		e.Apply(100, crash(1, "p"))
		Expect(e.Began([]string{"p"}, 99)).To(BeEmpty())
		Expect(e.Decide(1000, []string{"p"}).Verdict).To(Equal(crashparts.Suspect))
	})

	// Guards against the refusal of a part that the daemon's peers have just cleared.
	It("is pending while reports are under way", func() {
		e := applied(crash(1, "p"), crash(2, "p"), crash(3, "p"))
		Expect(e.Decide(50, []string{"p"}).Verdict).To(Equal(crashparts.Pending))
		Expect(e.Decide(500, []string{"p"}).Verdict).To(Equal(crashparts.Refused))
	})

	// Guards against a part that stays refused although its targets have been replaced, and against
	// probes that crash one target after the other.
	It("allows few probes, at longer and longer intervals", func() {
		e := applied(crash(1, "p"), crash(2, "p"), crash(3, "p"))
		probes, targets := 0, 3
		for now := int64(0); now < 100_000; now += 100 {
			if !e.Probe(now, "p", 0) {
				continue
			}
			probes++
			targets++
			e.Apply(now, crashparts.Crash{Target: fmt.Sprint("t", targets), AtMs: now, Parts: []string{"p"}})
		}
		Expect(probes).To(Equal(1))
		e.Began([]string{"p"}, 200_000)
		Expect(e.Decide(200_000, []string{"p"}).Verdict).To(Equal(crashparts.Clear))
	})

	// Guards against a sound part that stays refused for a minute after many targets were lost at
	// once.
	It("probes a part early with which answers began before", func() {
		e := crashparts.New()
		e.Began([]string{"p"}, 0)
		for i := range 9 {
			e.Apply(0, crash(i, "p"))
		}
		Expect(e.Decide(1000, []string{"p"}).Answered).To(BeTrue())
		Expect(e.Probe(1900, "p", 0)).To(BeFalse())
		Expect(e.Probe(2000, "p", time.Second)).To(BeFalse())
		Expect(e.Probe(2000, "p", 0)).To(BeTrue())
	})

	// Guards against the loss of a whole zone that displaces the evidence against a part.
	It("keeps what counts when there are too many crashes", func() {
		e := applied(crash(1, "bad"), crash(2, "bad"), crash(3, "bad"))
		for i := range 4 * crashparts.MaxCrashes {
			e.Apply(1, crash(10+i, fmt.Sprint("own", i)))
		}
		Expect(verdict(e, "bad")).To(Equal(crashparts.Refused))
		Expect(len(e.Crashes())).To(Equal(crashparts.MaxCrashes))
	})

	It("forgets crashes after the retention", func() {
		e := applied(crash(1, "p"), crash(2, "p"), crash(3, "p"))
		e.Expire(crashparts.Retention.Milliseconds() + 1)
		Expect(e.Decide(minute, []string{"p"}).Verdict).To(Equal(crashparts.Clear))
	})

	It("says what a verdict rests on", func() {
		e := crashparts.New()
		e.Apply(0, crashparts.Crash{Target: "t1", Parts: []string{"p", "q"}, Requests: []string{"r1"}})
		e.Apply(0, crashparts.Crash{Target: "t2", Parts: []string{"p"}, Requests: []string{"r2"}})
		e.Began([]string{"q"}, 1)
		Expect(e.BasisOf("p")).To(Equal(crashparts.Basis{Part: "p", Targets: []string{"t1", "t2"}, Requests: []string{"r1", "r2"}, Cleared: []string{"q"}}))
	})
})

// Guards against daemons that know the same and come to different verdicts, since reports reached
// them in another order.
func TestVerdictsDoNotDependOnTheOrderOfReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		part := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"})
		reports := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) crashparts.Crash {
			return crashparts.Crash{
				Target:  rapid.SampledFrom([]string{"t1", "t2", "t3", "t4", "t5"}).Draw(t, "target"),
				Parts:   rapid.SliceOfN(part, 0, 3).Draw(t, "parts"),
				Cleared: rapid.SliceOfN(part, 0, 1).Draw(t, "cleared"),
			}
		}), 0, 20).Draw(t, "reports")
		order := rapid.Permutation(reports).Draw(t, "order")
		first, second := applied(reports...), applied(order...)
		parts := rapid.SliceOfNDistinct(part, 1, 3, rapid.ID[string]).Draw(t, "request")
		a, b := first.Decide(minute, parts), second.Decide(minute, parts)
		if a.Verdict != b.Verdict {
			t.Fatalf("%+v and %+v", a, b)
		}
	})
}

// Guards against evidence that grows without bounds.
func TestEvidenceIsBounded(t *testing.T) {
	e := crashparts.New()
	now := time.Now().UnixMilli()
	for i := range crashparts.MaxCrashes + 50 {
		var parts []string
		for j := range 2 * crashparts.MaxParts {
			parts = append(parts, fmt.Sprint(i%7, "-", j))
		}
		e.Apply(now, crash(i, parts...))
	}
	crashes := e.Crashes()
	if len(crashes) > crashparts.MaxCrashes {
		t.Fatalf("%d crashes", len(crashes))
	}
	for _, c := range crashes {
		if len(c.Parts) > crashparts.MaxParts {
			t.Fatalf("%d parts", len(c.Parts))
		}
	}
}
