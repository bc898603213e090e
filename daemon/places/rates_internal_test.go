package places

import (
	"bytes"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/core/routing"
	"tarragonhollow.example/tarragonhollow/core/slots"
)

// Guards against a slow target that an operator can't see: a leader logs its rate once
// when it becomes slow and once when it has recovered, and shows it as a metric.
func TestLeaderReportsSlowTargets(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	set := metrics.NewSet()
	p := New(Options{Host: "h", Zone: "z", PeerAddress: "p", Cores: 1, FleetSize: func() int { return 100 },
		Policy: slots.Policy{TargetRates: true}, Logger: zap.New(core), Metrics: set})
	p.Update(func(now time.Time, r *roster.Roster) {
		r.StoreAnswered(now)
		r.Replace(now, []roster.Target{
			{ID: "slow", Start: roster.StartOf("slow", 0), Group: "g", Zone: "z", Slots: 8},
			{ID: "fast", Start: roster.StartOf("fast", 0), Group: "g", Zone: "z", Slots: 8},
		})
	})
	now := time.Now()
	number := uint64(0)
	serve := func(target, other string, took time.Duration) {
		number++
		id := slots.ID{Holder: "other", Number: number}
		start := string(roster.StartOf(target, 0))
		grant := p.scheduler.ledger.Grant(now, slots.Request{ID: id, Group: "g", Work: 1, Exclude: []string{string(roster.StartOf(other, 0))}}, 0)
		if grant.Target != start {
			t.Fatalf("granted %+v, want %s", grant, start)
		}
		p.scheduler.applyLeaseReport(now, LeaseReport{Holder: "other", Number: number, Ended: []slots.Ended{{Number: number, Target: start, Outcome: routing.Succeeded, Took: took}}})
	}
	for range 60 {
		serve("fast", "slow", time.Second)
		serve("slow", "fast", 20*time.Second)
	}
	// The election of a daemon that is alone needs some rounds.
	for range 50 {
		now = now.Add(50 * time.Millisecond)
		p.leadOnce(now, nil)
	}
	if n := lines.FilterMessage("target_rate").Len(); !p.scheduler.leads || n != 1 {
		t.Fatalf("leads %v, %d lines of a slow target, want 1", p.scheduler.leads, n)
	}
	var text bytes.Buffer
	set.WritePrometheus(&text)
	if !bytes.Contains(text.Bytes(), []byte(`tarragonhollow_target_rate{group="g",target="slow"} 1.`)) {
		t.Fatalf("no rate of the slow target in:\n%s", text.String())
	}
	now = now.Add(time.Minute)
	p.leadOnce(now, nil)
	if n := lines.FilterMessage("target_rate").Len(); n != 2 {
		t.Fatalf("%d lines of a target that was slow and has recovered, want 2", n)
	}
}
