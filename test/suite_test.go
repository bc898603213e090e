// Package test checks the fleet's guarantees with real daemon processes. Each spec
// causes one failure and then verifies the outcome from callers' responses and targets'
// records, not from what the system reports about itself.
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

// timeout and pollInterval apply to every wait.
const (
	timeout      = fleet.WaitTimeout
	pollInterval = fleet.PollInterval
)

// concurrently runs work(0) to work(n-1) concurrently and returns when all have ended.
func concurrently(n int, work func(i int)) {
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

// expectRun expects that the error is a refusal with the given run state.
func expectRun(err error, want outcome.RunState) {
	GinkgoHelper()
	run, code := fleet.RunState(err)
	Expect(run).To(Equal(want), "code %s, error %v", code, err)
}
