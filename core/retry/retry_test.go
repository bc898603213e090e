package retry

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tarragonhollow.example/tarragonhollow/core/outcome"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "7")
	os.Exit(m.Run())
}

var epoch = time.Unix(1_000_000, 0)

// When all targets fail, every request attempts its retries. The budget must limit their
// sum to its share, in any order of requests and time.
func TestBudgetHoldsTheShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 0.5).Draw(t, "share")
		b := NewBudget(share, epoch)
		now, first, passed := epoch, 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			b.CountFirst()
			first++
			for range 3 {
				if b.Take(now) {
					passed++
				}
			}
		}
		bound := MaxTokens + share*float64(first) + FloorPerSecond*now.Sub(epoch).Seconds()
		if float64(passed) > bound+1e-6 {
			t.Fatalf("%d retries passed, the bound is %.2f", passed, bound)
		}
	})
}

// A retry that is taken and not made must be available again, or searches for a target that end
// without one use up the budget.
func TestRefundedRetryIsAvailable(t *testing.T) {
	b := NewBudget(0, epoch)
	for range 3 * int(MaxTokens) {
		if !b.Take(epoch) {
			t.Fatal("no retry is available though all were refunded")
		}
		b.Refund()
	}
	for range int(MaxTokens) {
		b.Take(epoch)
	}
	if b.Available(epoch) {
		t.Fatal("refunds exceed what was taken")
	}
}

// A guest's order must not be sent twice, and "not run" must be true: over random
// failures, a non-repeatable request is never retried once it reached a target, no retry
// starts past the deadline, and the state is not_run exactly if no attempt reached a
// target.
func TestDecideIsAccurateAndAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Situation{
			Failure: Failure{
				Reached:  rapid.Bool().Draw(t, "reached"),
				Rejected: rapid.IntRange(0, 5).Draw(t, "rejected") == 0,
				Busy:     rapid.Bool().Draw(t, "busy"),
			},
			Repeatable: rapid.Bool().Draw(t, "repeatable"), ReachedBefore: rapid.Bool().Draw(t, "before"),
			Attempts: rapid.IntRange(1, 9).Draw(t, "attempts"), Retries: rapid.IntRange(0, 5).Draw(t, "retries"),
			Now: epoch, Deadline: epoch.Add(time.Duration(rapid.IntRange(-5, 800).Draw(t, "left")) * time.Millisecond),
			Random: rapid.Float64Range(0, 0.999).Draw(t, "random"),
		}
		d := Decide(s, NewBudget(0.1, epoch))
		reached := s.Failure.Reached || s.ReachedBefore
		if d.Refusal != nil {
			if (d.Refusal.Run == outcome.NotRun) == reached {
				t.Fatalf("run state %s, reached %v", d.Refusal.Run, reached)
			}
			return
		}
		if reached && !s.Repeatable {
			t.Fatal("a non-repeatable request is sent again")
		}
		if s.Now.Add(d.Backoff).After(s.Deadline) || s.Attempts > s.Retries {
			t.Fatalf("retry after %s, attempts %d of %d", d.Backoff, s.Attempts, s.Retries+1)
		}
	})
}

// One request crashes every target that runs it; it is sent again and again, to any
// daemon, together with harmless requests. Suspects run alone. The crasher must be
// refused after a few targets, and no harmless request ever. Each daemon sees its own
// requests only, and reports its part of a crash before the next round.
func TestCrasherIsQuarantinedAndHarmlessRequestsAreNot(t *testing.T) {
	const crasher, most = "crasher", 3
	rapid.Check(t, func(t *rapid.T) {
		s := NewSuspects(2)
		var at int64
		crashed := 0
		for round := range 12 {
			at += 10_000
			if s.Verdict(crasher) == Quarantined {
				break
			}
			target := fmt.Sprintf("t%d", round)
			beside := companions(t, s)
			if s.Verdict(crasher) != Clear {
				beside = nil
			}
			crashed++
			for _, seen := range split(t, append([]string{crasher}, beside...)) {
				s.Crashed(Crash{Target: target, AtMs: at + int64(rapid.IntRange(0, 900).Draw(t, "late")), Running: seen, Total: len(beside) + 1})
			}
			for _, f := range beside {
				if rapid.Bool().Draw(t, "retried") && s.Verdict(f) != Quarantined {
					s.Completed(f)
				}
			}
			for i := range 6 {
				if s.Verdict(harmless(i)) == Quarantined {
					t.Fatalf("%s is quarantined after %d crashes", harmless(i), crashed)
				}
			}
		}
		if s.Verdict(crasher) != Quarantined || crashed > most {
			t.Fatalf("the crasher crashed %d targets, verdict %v", crashed, s.Verdict(crasher))
		}
	})
}

func harmless(i int) string { return fmt.Sprintf("innocent%d", i) }

// companions draws requests that may share a target: no suspects.
func companions(t *rapid.T, s *Suspects) []string {
	var clear []string
	for i := range 6 {
		if rapid.Bool().Draw(t, "beside") && s.Verdict(harmless(i)) == Clear {
			clear = append(clear, harmless(i))
		}
	}
	return clear
}

// split divides the requests between two daemons.
func split(t *rapid.T, all []string) [][]string {
	cut := rapid.IntRange(0, len(all)).Draw(t, "cut")
	parts := [][]string{slices.Clone(all[:cut]), slices.Clone(all[cut:])}
	return slices.DeleteFunc(parts, func(p []string) bool { return len(p) == 0 })
}

// A faulty target crashes repeatedly under one request. That is evidence against the
// target: a crash of a second one is needed.
func TestOneFaultyTargetQuarantinesNothing(t *testing.T) {
	s := NewSuspects(2)
	for i := range int64(5) {
		s.Crashed(Crash{Target: "bad", AtMs: i * 60_000, Running: []string{"order"}, Total: 1})
	}
	if v := s.Verdict("order"); v != PreferAlone {
		t.Fatalf("verdict %v", v)
	}
	s.Crashed(Crash{Target: "other", AtMs: 400_000, Running: []string{"order"}, Total: 1})
	if v := s.Verdict("order"); v != Quarantined {
		t.Fatalf("verdict %v after a second target", v)
	}
}

// Two daemons run two suspects on the same target at the same moment, each assuming that
// its own runs alone. The second daemon's report must clear the harmless one.
func TestLateReportWithdrawsAVerdict(t *testing.T) {
	s := NewSuspects(2)
	s.Crashed(Crash{Target: "a", AtMs: 0, Running: []string{"innocent", "crasher"}, Total: 2})
	s.Crashed(Crash{Target: "b", AtMs: 9_000, Running: []string{"innocent"}, Total: 1})
	s.Crashed(Crash{Target: "b", AtMs: 9_200, Running: []string{"crasher"}, Total: 1})
	if v := s.Verdict("innocent"); v != RunAlone {
		t.Fatalf("verdict %v", v)
	}
	s.Crashed(Crash{Target: "c", AtMs: 20_000, Running: []string{"crasher"}, Total: 1})
	if s.Verdict("crasher") != Quarantined || s.Verdict("innocent") != Clear {
		t.Fatalf("crasher %v innocent %v", s.Verdict("crasher"), s.Verdict("innocent"))
	}
}
