package crashparts_test

import (
	"fmt"
	"testing"

	"tarragonhollow.example/tarragonhollow/core/crashparts"
)

// BenchmarkDecide measures what a verdict costs a request of three shared parts.
func BenchmarkDecide(b *testing.B) {
	for _, crashes := range []int{0, 9, crashparts.MaxCrashes} {
		b.Run(fmt.Sprintf("%d crashes", crashes), func(b *testing.B) {
			e := crashparts.New()
			for i := range crashes {
				e.Apply(0, crash(i, "shared", "bad", fmt.Sprint("a", i%40), fmt.Sprint("b", i), fmt.Sprint("c", i%60)))
			}
			request := []string{"shared", "a7", "other"}
			b.ReportAllocs()
			for b.Loop() {
				e.Decide(1000, request)
			}
		})
	}
}

// BenchmarkApply measures what the report of a crash costs with all earlier ones.
func BenchmarkApply(b *testing.B) {
	e := crashparts.New()
	for i := 0; b.Loop(); i++ {
		e.Apply(0, crash(i, "shared", "bad", fmt.Sprint("a", i%40), fmt.Sprint("b", i), fmt.Sprint("c", i%60)))
	}
}

// BenchmarkBegan measures what an answer costs without crashes.
func BenchmarkBegan(b *testing.B) {
	e := crashparts.New()
	for i := 0; b.Loop(); i++ {
		e.Began([]string{"shared", "other"}, 0)
	}
}
