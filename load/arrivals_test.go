package load_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tarragonhollow.example/tarragonhollow/load"
)

// Policies are compared on the same arrivals, so the same seed must give the same ones,
// in ascending order and within the round.
func TestArrivalsAreRepeatable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shape := load.Shape{
			Rate:        float64(rapid.IntRange(1, 50).Draw(t, "rate")),
			BurstRate:   float64(rapid.IntRange(0, 200).Draw(t, "burst")),
			BurstEvery:  5 * time.Second,
			BurstLength: time.Second,
		}
		seed := rapid.Uint64().Draw(t, "seed")
		const round = 20 * time.Second
		first := load.Arrivals(shape, round, seed)
		if !slices.Equal(first, load.Arrivals(shape, round, seed)) {
			t.Fatal("the same seed gave different arrivals")
		}
		if !slices.IsSorted(first) || (len(first) > 0 && first[len(first)-1] >= round) {
			t.Fatalf("out of order or beyond the round: %v", first)
		}
	})
}

// The arrivals must include the bursts, and have the shape's rates in and between them.
func TestArrivalsFollowTheShape(t *testing.T) {
	shape := load.Shape{Rate: 10, BurstRate: 100, BurstEvery: 10 * time.Second, BurstLength: 2 * time.Second}
	calm, burst := 0, 0
	for _, at := range load.Arrivals(shape, 100*time.Second, 1) {
		if phase := (at + 5*time.Second) % (10 * time.Second); phase < 2*time.Second {
			burst++
		} else {
			calm++
		}
	}
	// 20 s of bursts at 100/s and 80 s at 10/s; the bounds are five standard deviations.
	if burst < 1776 || burst > 2224 || calm < 658 || calm > 942 {
		t.Fatalf("burst %d, calm %d", burst, calm)
	}
}
