package burn_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"tarragonhollow.example/tarragonhollow/core/burn"
	"tarragonhollow.example/tarragonhollow/core/config"
	"tarragonhollow.example/tarragonhollow/core/outcome"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func TestBurn(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "core/burn")
}

var profiles = map[string]*config.Profile{
	"desk": {Name: "desk", Urgency: config.Online, SLO: config.SLO{
		Availability: 0.99, FirstToken: time.Second, BetweenTokens: 100 * time.Millisecond, LatencyShare: 0.95}},
	"night": {Name: "night", Urgency: config.Batch, SLO: config.SLO{Availability: 0.9, DueShare: 0.98}},
	"plain": {Name: "plain"},
}

const nowMs = int64(1_790_000_123_456)

// raw is an event with the source that recorded it.
type raw struct {
	burn.Event
	source int
}

// recount computes a window with the naive model: from the raw events, one by one.
func recount(events []raw, profile, objective string, spanMs, widthMs int64, coarse map[int]bool) (n burn.Count) {
	for _, e := range events {
		width := widthMs
		if coarse[e.source] && width < 60_000 {
			width = 60_000
		}
		age := nowMs/width - e.AtMs/width
		if e.Profile != profile || e.Outcome == burn.NotCounted || age < 0 || age >= spanMs/width {
			continue
		}
		counts, bad := true, e.Outcome == burn.Failed
		switch objective {
		case "first_token":
			counts, bad = e.Outcome == burn.OK && e.FirstTokenMs > 0, e.FirstTokenMs > 1000
		case "between_tokens":
			counts, bad = e.Outcome == burn.OK && e.BetweenTokensMs > 0, e.BetweenTokensMs > 100
		case "due_time":
			bad = bad || e.DueMissed
		}
		if counts {
			n.Total++
		}
		if counts && bad {
			n.Bad++
		}
	}
	return n
}

func event() *rapid.Generator[burn.Event] {
	return rapid.Custom(func(t *rapid.T) burn.Event {
		span := rapid.SampledFrom([]int64{400_000, 4_000_000, 25_000_000, 280_000_000}).Draw(t, "span")
		return burn.Event{
			AtMs:            nowMs + 20_000 - rapid.Int64Range(0, span).Draw(t, "age"),
			Profile:         rapid.SampledFrom([]string{"desk", "night"}).Draw(t, "profile"),
			Group:           rapid.SampledFrom([]string{"menu", "tickets"}).Draw(t, "group"),
			Outcome:         burn.Outcome(rapid.IntRange(0, 2).Draw(t, "outcome")),
			Reason:          rapid.SampledFrom([]string{"", "no_target", "overloaded"}).Draw(t, "reason"),
			FirstTokenMs:    rapid.Int64Range(0, 2000).Draw(t, "first"),
			BetweenTokensMs: rapid.Int64Range(0, 200).Draw(t, "between"),
			DueMissed:       rapid.Bool().Draw(t, "missed"),
		}
	})
}

// Hosts are replaced, and summaries are sent twice and arrive in any order, from peers and
// from the log. The report must equal the one that a single observer of all raw events would
// compute.
func TestReportIsTheRecountOfRawEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const sources = 3
		coarse := map[int]bool{2: rapid.Bool().Draw(t, "host 2 is known from the log only")}
		var recorders [sources]*burn.Recorder
		for i := range recorders {
			recorders[i] = burn.NewRecorder(fmt.Sprint("host#", i))
		}
		var events []raw
		var sent []burn.Summary
		for _, e := range rapid.SliceOfN(event(), 0, 150).Draw(t, "events") {
			from := rapid.IntRange(0, sources-1).Draw(t, "source")
			events = append(events, raw{e, from})
			recorders[from].Record(e, profiles[e.Profile])
			if rapid.IntRange(0, 5).Draw(t, "flush") == 0 {
				sent = append(sent, onWire(t, recorders[from].Changes(), coarse[from]))
			}
		}
		for i, r := range recorders {
			sent = append(sent, onWire(t, r.Changes(), coarse[i]))
		}
		again := rapid.SliceOfN(rapid.SampledFrom(sent), 0, 5).Draw(t, "again")
		set := burn.NewSet()
		for _, s := range rapid.Permutation(append(sent, again...)).Draw(t, "order") {
			set.Merge(s)
		}
		set.Prune(nowMs)
		second := burn.NewSet()
		for _, s := range set.Summaries() {
			second.Merge(onWire(t, s, false))
		}
		compare(t, events, second.Report(nowMs, profiles), coarse)
	})
}

// onWire encodes and decodes a summary: coarse ones in the log's encoding, others as JSON.
func onWire(t *rapid.T, s burn.Summary, coarse bool) (out burn.Summary) {
	if coarse {
		text, err := burn.Encode(s.Coarse())
		if err != nil {
			t.Fatal(err)
		}
		if out, err = burn.Decode(text); err != nil {
			t.Fatal(err)
		}
		return out
	}
	text, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(text, &out); err != nil {
		t.Fatal(err)
	}
	return out
}

// compare checks every number of a report against the recount.
func compare(t *rapid.T, events []raw, report burn.Report, coarse map[int]bool) {
	spans := map[string][2]int64{"5m": {300_000, 10_000}, "30m": {1_800_000, 60_000}, "1h": {3_600_000, 60_000}, "6h": {21_600_000, 60_000}}
	seen := 0
	for _, p := range report.Profiles {
		for _, o := range p.Objectives {
			seen++
			burns := map[string]float64{}
			rate := func(n burn.Count) float64 {
				if n.Total == 0 {
					return 0
				}
				return float64(n.Bad) / float64(n.Total) / (1 - o.Share)
			}
			for _, w := range o.Windows {
				want := recount(events, p.Profile, o.Objective, spans[w.Window][0], spans[w.Window][1], coarse)
				burns[w.Window] = rate(want)
				if w.Total != want.Total || w.Bad != want.Bad || w.Burn != burns[w.Window] {
					t.Fatalf("%s %s %s: %+v, want %+v", p.Profile, o.Objective, w.Window, w, want)
				}
			}
			alert := burns["5m"] >= 14.4 && burns["1h"] >= 14.4 || burns["30m"] >= 6 && burns["6h"] >= 6
			if o.Alerting != alert {
				t.Fatalf("%s %s: alerting %t with %v", p.Profile, o.Objective, o.Alerting, burns)
			}
			const hour = 3_600_000
			if left := 1 - rate(recount(events, p.Profile, o.Objective, 72*hour, hour, coarse)); o.BudgetLeft != left {
				t.Fatalf("%s %s: budget %v, want %v", p.Profile, o.Objective, o.BudgetLeft, left)
			}
			var listed, bad uint64
			for _, r := range o.TopReasons {
				listed += r.Count
			}
			if bad = recount(events, p.Profile, o.Objective, spans["6h"][0], spans["6h"][1], coarse).Bad; len(o.TopReasons) < 5 && listed != bad {
				t.Fatalf("%s %s: %d reasons for %d bad events", p.Profile, o.Objective, listed, bad)
			}
		}
	}
	if seen != 5 {
		t.Fatalf("%d objectives reported, want 5", seen)
	}
}

var _ = Describe("classification", func() {
	It("counts failures that the fleet could have avoided, and none that the caller caused", func() {
		for code, want := range map[outcome.Code]burn.Outcome{
			outcome.BadRequest: burn.NotCounted, outcome.CallerLimit: burn.NotCounted, outcome.Unprocessable: burn.NotCounted,
			outcome.Quarantined: burn.Failed, outcome.Overloaded: burn.Failed, outcome.OutcomeUnknown: burn.Failed,
		} {
			got, reason := burn.Classify(outcome.Refuse(code, ""))
			Expect(got).To(Equal(want), string(code))
			Expect(reason == string(code)).To(Equal(want == burn.Failed))
		}
	})

	It("bounds the number of reasons of a bucket without losing counts", func() {
		r := burn.NewRecorder("h#1")
		for i := range 1000 {
			r.Record(burn.Event{AtMs: nowMs, Profile: "desk", Group: "menu", Outcome: burn.Failed, Reason: fmt.Sprint("r", i)}, profiles["desk"])
		}
		all := r.All()
		Expect(all.Series[0].Cells[0].Reasons).To(HaveLen(13))
		set := burn.NewSet()
		set.Merge(all)
		top := set.Report(nowMs, profiles).Profiles[0].Objectives[0].TopReasons
		Expect(top[0]).To(Equal(burn.TopReason{Group: "menu", Reason: "other", Count: 988}))
	})
})

// BenchmarkRecord measures one event; run with -benchmem.
func BenchmarkRecord(b *testing.B) {
	r := burn.NewRecorder("h#1")
	b.ReportAllocs()
	for i := range b.N {
		r.Record(burn.Event{AtMs: nowMs + int64(i), Profile: "desk", Group: "menu", Outcome: burn.OK, FirstTokenMs: 3}, profiles["desk"])
	}
}
