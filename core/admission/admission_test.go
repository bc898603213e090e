package admission

import (
	"flag"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "4711"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// signal is one online signal as the reference model keeps it.
type signal struct {
	at     time.Time
	entry  string
	online int
}

// model is the reference model: it keeps every signal ever sent and counts the online
// requests by a scan.
type model struct {
	signals []signal
	running map[StreamID]Stream
}

func (m *model) online(now time.Time) int {
	last := map[string]signal{}
	for _, s := range m.signals {
		last[s.entry] = s
	}
	n := 0
	for _, s := range last {
		if now.Sub(s.at) <= SignalExpiry {
			n += s.online
		}
	}
	return n
}

// A planner's CAD plugin hangs because batch fills the slots that online work needs.
// Whatever the order of signals, admissions, ends and pauses, the admitted streams must
// fit next to the online requests that the reference model counts. While online work
// runs, streams of weight 0 may take only what is below the fill level. A suspect must
// run alone.
func TestGiveWayAgainstNaiveCount(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.UnixMilli(1_000_000)
		slots := rapid.IntRange(1, 8).Draw(rt, "slots")
		policy := DefaultPreemptive()
		policy.Fill = rapid.IntRange(0, 8).Draw(rt, "fill")
		target := NewTarget(policy, slots, now)
		m := &model{running: map[StreamID]Stream{}}
		var seq uint64
		var next StreamID
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			switch rapid.IntRange(0, 3).Draw(rt, "event") {
			case 0:
				seq++
				sent := signal{now, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "entry"), rapid.IntRange(0, 3).Draw(rt, "online")}
				m.signals = append(m.signals, sent)
				target.Signal(now, sent.entry, seq, sent.online, seq)
			case 1:
				now = now.Add(time.Duration(rapid.IntRange(0, 2500).Draw(rt, "pause")) * time.Millisecond)
			case 2:
				for id := range m.running {
					target.Ended(now, id)
					delete(m.running, id)
					break
				}
			case 3:
				for id := range m.running {
					target.Progress(id, 1)
				}
			}
			weight := rapid.SampledFrom([]float64{0, 0, 0.5, 1}).Draw(rt, "weight")
			q := Queue{Waiting: rapid.IntRange(0, 9).Draw(rt, "waiting"), Weight: weight}
			q.SmallPrefill = rapid.IntRange(0, q.Waiting).Draw(rt, "small")
			q.Suspect = q.Waiting > 0 && rapid.IntRange(0, 5).Draw(rt, "suspect") == 0
			a := target.Step(now, q)
			checkStep(rt, m, a, q, now, slots, policy)
			for _, id := range a.Cancel {
				target.Ended(now, id)
				delete(m.running, id)
			}
			for range a.Admit {
				next++
				s := Stream{ID: next, Base: weight, Suspect: q.Suspect}
				m.running[next] = s
				target.Admitted(now, s)
			}
		}
	})
}

func checkStep(rt *rapid.T, m *model, a Action, q Queue, now time.Time, slots int, policy Preemptive) {
	online, headroom := m.online(now), policy.headroom(slots)
	below := max(min(policy.Fill, slots-headroom)-online, 0)
	weightless := 0
	kept := map[StreamID]Stream{}
	for id, s := range m.running {
		kept[id] = s
	}
	for _, id := range a.Cancel {
		if _, ok := kept[id]; !ok {
			rt.Fatalf("cancelled stream %d does not run", id)
		}
		delete(kept, id)
	}
	if a.Admit > 0 && len(kept)+a.Admit > slots-online-headroom {
		rt.Fatalf("admits %d with %d batch and %d online of %d slots", a.Admit, len(kept), online, slots)
	}
	for _, s := range kept {
		if s.Base == 0 {
			weightless++
		}
		if s.Suspect && a.Admit > 0 {
			rt.Fatalf("admits while a suspect runs")
		}
	}
	if online > 0 && weightless > below {
		rt.Fatalf("%d streams of weight 0 keep running with %d online, fill %d of %d slots", weightless, online, policy.Fill, slots)
	}
	if online > 0 && len(kept) > max(slots-online-headroom, 0) {
		rt.Fatalf("keeps %d with %d online of %d slots", len(kept), online, slots)
	}
	if online > 0 && q.Weight == 0 && a.Admit > 0 && len(kept)+a.Admit > below {
		rt.Fatalf("admits weight 0 with %d batch and %d online, fill %d", len(kept), online, policy.Fill)
	}
	if q.Suspect && a.Admit > 0 && (a.Admit != 1 || len(m.running)+online > 0) {
		rt.Fatalf("suspect admitted with %d batch and %d online", len(m.running), online)
	}
}

// Protecting online work alone is easy: admit nothing. An idle target must also be filled
// up to its headroom, by every policy, shortly after online work ended.
func TestIdleTargetIsFilled(t *testing.T) {
	for _, p := range []Policy{FCFS{}, StaticReserve{Free: 1}, DefaultPreemptive()} {
		g := NewWithT(t)
		now := time.UnixMilli(1_000_000)
		target := NewTarget(p, 8, now)
		target.SetEntries([]string{"a"})
		target.Signal(now, "a", 1, 2, 2)
		target.Signal(now.Add(time.Second), "a", 2, 0, 2)
		now = now.Add(time.Second)
		for range 100 {
			now = now.Add(10 * time.Millisecond)
			for range target.Step(now, Queue{Waiting: 20}).Admit {
				target.Admitted(now, Stream{ID: StreamID(target.Running() + 1)})
			}
		}
		want := 7
		if p == (FCFS{}) {
			want = 8
		}
		g.Expect(target.Running()).To(Equal(want), p.Name())
	}
}

// Checks each rule of the design note once, with numbers small enough to verify by hand.
func TestPreemptiveRules(t *testing.T) {
	g := NewWithT(t)
	now := time.UnixMilli(1_000_000)
	start := func(weight float64, streams int) *Target {
		target := NewTarget(DefaultPreemptive(), 9, now)
		for i := range streams {
			target.Admitted(now, Stream{ID: StreamID(i + 1), Base: weight, Tokens: i})
		}
		return target
	}
	late := now.Add(time.Hour)

	half := start(0.5, 8)
	half.Signal(now, "a", 1, 4, 4)
	g.Expect(half.Step(now, Queue{}).Cancel).To(ConsistOf(StreamID(1), StreamID(2), StreamID(3), StreamID(4), StreamID(5), StreamID(6)),
		"weight 0.5 keeps two of four free slots, the streams with most tokens")

	prefill := start(1, 1)
	prefill.Signal(now, "a", 1, 1, 1)
	g.Expect(prefill.Step(now, Queue{Waiting: 5, Weight: 1}).Reason).To(Equal(ReasonPrefill))
	prefill.Progress(1, 1)
	g.Expect(prefill.Step(now, Queue{Waiting: 5, Weight: 1}).Admit).To(Equal(1), "one prefill at a time")

	g.Expect(prefill.BatchLimit(now, 1)).To(Equal(7), "one prefill at a time, but seven streams are worth fetching")

	filled := NewTarget(Preemptive{Headroom: 1, Fill: 5}, 8, now)
	for i := range 7 {
		filled.Admitted(now, Stream{ID: StreamID(i + 1), Tokens: 1})
	}
	filled.Signal(now, "a", 1, 2, 2)
	g.Expect(filled.Step(now, Queue{}).Cancel).To(HaveLen(4), "three of weight 0 are kept: with two online they make five")
	filled.Signal(now, "a", 2, 6, 6)
	g.Expect(filled.Step(now, Queue{Waiting: 9}).Cancel).To(HaveLen(7), "a burst takes all")

	small := NewTarget(Preemptive{Headroom: 1, Fill: 5}, 8, now)
	small.Admitted(now, Stream{ID: 1})
	small.Admitted(now, Stream{ID: 2, SmallPrefill: true})
	small.Signal(now, "a", 1, 1, 1)
	g.Expect(small.Step(now, Queue{}).Cancel).To(Equal([]StreamID{1}), "a long prefill does not continue while online work runs")
	small.Ended(now, 1)
	small.Progress(2, 1)
	g.Expect(small.Step(now, Queue{Waiting: 5})).To(Equal(Action{Reason: ReasonLongPrefill}))
	g.Expect(small.Step(now, Queue{Waiting: 5, SmallPrefill: 1})).To(Equal(Action{Admit: 1, SmallPrefill: true, Reason: ReasonOnline}))

	silent := start(0, 0)
	silent.SetEntries([]string{"a"})
	silent.Signal(now, "a", 1, 1, 1)
	g.Expect(silent.Step(now.Add(SignalExpiry), Queue{Waiting: 20}).Reason).To(Equal(ReasonOnline))
	g.Expect(silent.Step(now.Add(SignalExpiry+time.Millisecond), Queue{Waiting: 20}).Reason).To(Equal(ReasonCoolDown), "the count has just expired")
	g.Expect(silent.Step(late.Add(time.Minute), Queue{Waiting: 20})).To(Equal(Action{Admit: 4, Reason: ReasonSilent}), "half of eight")
	silent.SetEntries(nil)
	g.Expect(silent.Step(late.Add(time.Minute), Queue{Waiting: 20}).Admit).To(Equal(8), "no signals are expected from a dead host")

	unsignalled := start(0, 2)
	unsignalled.ApplyReport(now.Add(time.Second), 0, 5, 1)
	g.Expect(unsignalled.Online(now.Add(time.Second))).To(Equal(4), "the report shows four more than our two")
	g.Expect(unsignalled.Step(now.Add(time.Second), Queue{}).Cancel).To(HaveLen(2))

	lagging := start(0, 8)
	for i := range 8 {
		lagging.Ended(now.Add(time.Second), StreamID(i+1))
	}
	lagging.ApplyReport(now.Add(2500*time.Millisecond), time.Second, 8, 0)
	g.Expect(lagging.Online(now.Add(2500*time.Millisecond))).To(BeZero(), "the report still shows our own eight")
	lagging.ApplyReport(now.Add(4*time.Second), time.Second, 8, 0)
	g.Expect(lagging.Online(now.Add(4*time.Second))).To(Equal(8), "they ended too long ago to be ours")

	pinned := NewTarget(DefaultPreemptive(), 4, now)
	pinned.Admitted(now, Stream{ID: 1, Pinned: true})
	pinned.Signal(now, "a", 1, 4, 4)
	g.Expect(pinned.Step(now, Queue{}).Cancel).To(BeEmpty())

	brief := start(0, 0)
	brief.Signal(late, "a", 1, 0, 7)
	brief.Signal(late.Add(time.Second), "a", 2, 0, 8)
	g.Expect(brief.Step(late.Add(time.Second), Queue{Waiting: 1}).Reason).To(Equal(ReasonCoolDown), "a request came and went between two signals")
}

func TestForecastAndUrgency(t *testing.T) {
	g := NewWithT(t)
	now := time.UnixMilli(1_000_000)
	var r Rate
	r.Observe(now, 0)
	for i := range 600 {
		r.Observe(now.Add(time.Duration(i+1)*100*time.Millisecond), 1)
	}
	now = now.Add(time.Minute)
	g.Expect(r.PerSecond(now)).To(BeNumerically("~", 10, 0.5))
	finish, known := ForecastFinish(now, 600, 10)
	g.Expect(known).To(BeTrue())
	g.Expect(finish).To(Equal(now.Add(time.Minute)))
	_, known = ForecastFinish(now, 1, 0)
	g.Expect(known).To(BeFalse())
	due := now.Add(2 * UrgentWindow)
	g.Expect(EffectiveWeight(0, now, due, time.Time{})).To(BeZero())
	g.Expect(EffectiveWeight(0, now, due, now.Add(UrgentWindow*3/2))).To(BeNumerically("~", UrgentWeight/2, 1e-9), "the forecast uses up half of the window")
	g.Expect(EffectiveWeight(0, now, due, due.Add(time.Hour))).To(Equal(UrgentWeight))
	g.Expect(EffectiveWeight(0.9, now, now, now)).To(Equal(0.9))
}
