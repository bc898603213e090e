package callerconns

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// saturableProcess is a process with a limit of what it finishes, and its admission.
type saturableProcess struct {
	admission
	now time.Time
	// finishes is the number of requests that the process finishes in a second.
	finishes float64
	backlog  float64
}

func newSaturableProcess(finishes float64) *saturableProcess {
	p := &saturableProcess{now: time.Unix(1_000_000, 0), finishes: finishes}
	p.admission = admission{measuredAt: p.now, wait: func() time.Duration {
		wait := time.Duration(p.backlog / p.finishes * float64(time.Second))
		p.now, p.backlog = p.now.Add(wait), 0 // connections wait meanwhile
		return wait
	}}
	return p
}

// arrive lets connections arrive at the given rate for some seconds, and returns the share that was
// admitted.
func (p *saturableProcess) arrive(rate, seconds float64) float64 {
	count, admitted, arrives := int(rate*seconds), 0, p.now
	for range count {
		arrives = arrives.Add(time.Duration(float64(time.Second) / rate))
		if idle := arrives.Sub(p.now); idle > 0 {
			p.now, p.backlog = arrives, max(0, p.backlog-p.finishes*idle.Seconds())
		}
		if p.admit(p.now) {
			p.backlog++
			admitted++
		}
	}
	return float64(admitted) / float64(count)
}

// Guards against a daemon that reads more requests than it can finish, and against one that refuses
// connections without need.
var _ = Describe("The admission of new connections", func() {
	It("limits them to what a saturated process finishes", func() {
		p := newSaturableProcess(200)
		p.arrive(1000, 3)
		Expect(p.arrive(1000, 10)).To(BeNumerically("~", 0.2, 0.1))
		Expect(p.backlog/p.finishes).To(BeNumerically("<", 1), "seconds of work that waits")
	})
	It("admits all while the process is not saturated", func() {
		p := newSaturableProcess(200)
		Expect(p.arrive(150, 10)).To(Equal(1.0))
	})
	It("admits all after the saturation", func() {
		p := newSaturableProcess(200)
		Expect(p.arrive(1000, 5)).To(BeNumerically("<", 0.5))
		p.arrive(100, 3)
		Expect(p.arrive(100, 5)).To(Equal(1.0))
	})
	It("admits all after the process was suspended", func() {
		p := newSaturableProcess(200)
		p.arrive(100, 2)
		p.now, p.backlog = p.now.Add(1500*time.Millisecond), 10
		Expect(p.arrive(100, 2)).To(Equal(1.0))
	})
	It("admits a few at a time while the limit lasts", func() {
		p := newSaturableProcess(200)
		p.arrive(1000, 5)
		p.arrive(5, 0.5)
		Expect(p.rate).To(BeNumerically(">", 0))
		for range leastBurst - 1 {
			Expect(p.admit(p.now)).To(BeTrue())
		}
	})
	It("measures how long a new goroutine waits for a processor", func() {
		Expect(processorWait()).To(BeNumerically(">", 0))
	})
})
