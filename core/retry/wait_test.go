package retry_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/retry"
)

var _ = Describe("The maximum wait for an answer of a target", func() {
	// around returns a random time about a mean, as targets take it with a slot free.
	around := func(r *rand.Rand, mean time.Duration) time.Duration {
		return time.Duration(float64(mean) * (0.5 + r.ExpFloat64()/2))
	}
	learned := func(r *rand.Rand, mean time.Duration) *retry.WaitEstimator {
		var s retry.WaitEstimator
		for range 200 {
			s.Answered(around(r, mean))
		}
		return &s
	}

	It("is the longest until enough answers were seen", func() {
		var s retry.WaitEstimator
		for range 15 {
			Expect(s.MaxWait()).To(Equal(retry.LongestWait))
			s.Answered(20 * time.Millisecond)
		}
		s.Answered(20 * time.Millisecond)
		Expect(s.MaxWait()).To(BeNumerically("<", retry.LongestWait))
	})

	// A guest's question goes to a target that has just stopped answering. Another one
	// must still answer it within its 300 ms.
	It("leaves time for another target within the objective where targets are quick", func() {
		s := learned(rand.New(rand.NewPCG(1, 1)), 30*time.Millisecond)
		Expect(s.MaxWait()).To(BeNumerically("<=", 250*time.Millisecond))
		Expect(s.MaxWait()).To(BeNumerically(">=", retry.ShortestWait))
	})

	// A waiting request that starts later than this before its objective misses it. An
	// estimate without a spread is too short for half of the answers.
	It("comes with the time within which nearly all answers begin", func() {
		var none retry.WaitEstimator
		Expect(none.Usual()).To(BeZero())
		r := rand.New(rand.NewPCG(1, 2))
		s := learned(r, 30*time.Millisecond)
		within := 0
		for range 1000 {
			if around(r, 30*time.Millisecond) <= s.Usual() {
				within++
			}
		}
		Expect(within).To(BeNumerically(">", 900))
		for range 5 {
			s.TimedOut(retry.LongestWait)
		}
		Expect(s.Usual()).To(BeNumerically("<=", retry.LongestWait))
	})

	// All targets become slow together. A maximum wait that gives up requests that would
	// still have been answered doubles their load.
	It("gives up few requests when all targets become slow together", func() {
		for _, slow := range []time.Duration{150 * time.Millisecond, 400 * time.Millisecond, 700 * time.Millisecond} {
			r := rand.New(rand.NewPCG(2, uint64(slow)))
			s := learned(r, 30*time.Millisecond)
			const requests = 200
			gaveUp := 0
			for range requests {
				wait, took := s.MaxWait(), around(r, slow)
				if took > wait && wait < retry.LongestWait {
					gaveUp++
					s.TimedOut(wait)
					continue
				}
				s.Answered(took)
			}
			// A tenth of the requests is half of what may be retried at all.
			Expect(gaveUp).To(BeNumerically("<=", requests/10), slow.String())
		}
	})

	It("returns to what targets take once they are quick again", func() {
		r := rand.New(rand.NewPCG(3, 3))
		s := learned(r, 30*time.Millisecond)
		before := s.MaxWait()
		s.TimedOut(before)
		s.TimedOut(s.MaxWait())
		Expect(s.MaxWait()).To(BeNumerically(">", 2*before))
		for range 40 {
			s.Answered(around(r, 30*time.Millisecond))
		}
		Expect(s.MaxWait()).To(BeNumerically("<=", 300*time.Millisecond))
	})
})
