package test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/test/fleet"
)

// Guards against two daemons that are told to listen on one address, since neither listens yet
// when the second address is chosen.
var _ = Describe("Free addresses", func() {
	It("are each returned once", func() {
		returned := map[string]bool{}
		for range 500 {
			address := fleet.FreeAddress("127.0.0.1")
			Expect(returned).NotTo(HaveKey(address))
			returned[address] = true
		}
	})
})
