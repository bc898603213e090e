package api

import (
	"testing"
	"time"

	"tarragonhollow.example/tarragonhollow/core/outcome"
)

// The list of refusals must not contain those of an hour ago, and the most frequent ones
// must come first.
func TestRefusalsCoverTheLastMinutes(t *testing.T) {
	var r refusals
	now := time.Unix(1_000_000, 0)
	old := refusalKind{code: outcome.NoTarget, run: outcome.NotRun, profile: "a"}
	fresh := refusalKind{code: outcome.Overloaded, run: outcome.NotRun, profile: "a"}
	r.add(now.Add(-time.Hour), old, "old")
	r.add(now.Add(-9*time.Minute), old, "late")
	r.add(now, fresh, "first")
	r.add(now, fresh, "second")
	got := r.list(now)
	if len(got) != 2 || got[0].Code != outcome.Overloaded || got[0].Count != 2 || got[0].LastMessage != "second" || got[1].Count != 1 {
		t.Fatalf("%+v", got)
	}
	if got := r.list(now.Add(2 * time.Minute)); len(got) != 1 {
		t.Fatalf("%+v", got)
	}
}
