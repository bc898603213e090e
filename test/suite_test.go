// Package test proves the fleet's promises with real daemon processes: each
// spec brings one failure about and then asks callers' answers and targets'
// records, never the system's own word, what became of the work.
package test

import (
	"sync"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/test/fleet"
)

func TestFleet(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fleet of real processes")
}

var _ = AfterSuite(fleet.RemoveBinary)

// bound and poll are those of every wait.
const (
	bound = fleet.Bound
	poll  = fleet.Poll
)

// all runs work(0..n-1) at once and returns when all have ended.
func all(n int, work func(i int)) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer GinkgoRecover()
			work(i)
		}()
	}
	wg.Wait()
}

// beRun matches an error that is a refusal with the run state.
func expectRun(err error, want outcome.RunState) {
	GinkgoHelper()
	run, code := fleet.Run(err)
	Expect(run).To(Equal(want), "code %s, error %v", code, err)
}
