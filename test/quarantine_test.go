package test

import (
	"fmt"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/standin/deployment"
	"tarragonhollow.example/tarragonhollow/standin/engine"
	"tarragonhollow.example/tarragonhollow/test/fleet"
)

var _ = Describe("A request that crashes every engine", func() {
	marker := engine.DefaultOptions().CrashMarker

	// A request crashes every engine that runs it, and its caller retries it at one
	// daemon after the other while other callers' requests run on the same engines.
	It("is refused everywhere after a few crashes, and the others' requests complete", func() {
		f := fleet.Start(fleet.Options{Shape: func(s *deployment.Shape) { s.Engines = 10 }})
		var mu sync.Mutex
		var failures []string
		done := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(done)
			concurrently(8, func(i int) {
				for n := range 12 {
					text := fmt.Sprintf("room %d-%d", i, n)
					answer, err := f.Stream(f.Daemons[(i+n)%3], "", text)
					if err != nil || answer != f.Expected(text) {
						mu.Lock()
						failures = append(failures, fmt.Sprintf("%s: %q, %v", text, answer, err))
						mu.Unlock()
					}
				}
			})
		}()
		for i := range 9 {
			_, err := f.Chat(f.Daemons[i%3], "", "read "+marker)
			Expect(err).To(HaveOccurred())
			run, _ := fleet.RunState(err)
			Expect(run).NotTo(BeEmpty(), "%v", err)
		}
		Eventually(done, timeout, pollInterval).Should(BeClosed())
		Expect(f.Crashes()).To(BeNumerically(">=", 1))
		Expect(failures).To(BeEmpty(), "others' requests, after %d crashes", f.Crashes())
		Expect(f.Crashes()).To(BeNumerically("<=", maxCrashes))
	})
})
