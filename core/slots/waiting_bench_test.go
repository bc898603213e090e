package slots_test

import (
	"fmt"
	"testing"
	"time"

	"tarragonhollow.example/tarragonhollow/core/routing"
	"tarragonhollow.example/tarragonhollow/core/slots"
)

// The cost of a grant, a delivery and a release must grow at most logarithmically with the
// number of waiting requests.
func BenchmarkWaiting(b *testing.B) {
	for _, targets := range []int{10, 200, 2000} {
		for _, waiting := range []int{100, 1000, 10_000} {
			b.Run(fmt.Sprintf("targets=%d/waiting=%d", targets, waiting), func(b *testing.B) { benchmarkWaiting(b, targets, waiting) })
		}
	}
}

func benchmarkWaiting(b *testing.B, targets, waiting int) {
	l := slots.NewLedgerWith(slots.Policy{Queue: true})
	var list []slots.Target
	for i := range targets {
		list = append(list, slots.Target{Start: fmt.Sprint("t", i), Slots: perTarget})
	}
	l.SetTargets(map[string][]slots.Target{"g": list})
	now, next := start, uint64(0)
	type held struct {
		number uint64
		target string
	}
	var running []held
	ask := func() {
		next++
		r := slots.Request{ID: slots.ID{Holder: "h", Number: next}, Group: "g", MayWait: true, Patience: time.Hour,
			ObjectiveLeft: time.Duration(next%1000) * time.Millisecond, DeadlineLeft: time.Hour}
		if grant := l.Grant(now, r, next); grant.Verdict == slots.Granted {
			running = append(running, held{next, grant.Target})
		}
	}
	for range targets*perTarget + waiting {
		ask()
	}
	if n := l.Waiting()["g"]; n != waiting {
		b.Fatalf("%d wait", n)
	}
	l.Dispatch(now)
	b.ResetTimer()
	for range b.N {
		// Below waitTTL in total, so that no request expires.
		now = now.Add(time.Nanosecond)
		ended := running[0]
		running = running[1:]
		l.End(now, "h", []slots.Ended{{Number: ended.number, Target: ended.target, Outcome: routing.Succeeded}})
		for _, d := range l.Dispatch(now) {
			running = append(running, held{d.ID.Number, d.Grant.Target})
		}
		ask()
	}
}
