package relay_test

import (
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/target/rawtarget"
)

var _ = Describe("The answer to a HEAD request", func() {
	// Guards against a length that the target did not state: the answer has one without a body.
	DescribeTable("keeps the length that its target states", func(head, length string) {
		f := newFixture()
		f.request.HTTP.Method = http.MethodHead
		f.startTargets(1, func(_ int, _ *rawtarget.Request, c net.Conn) { rawtarget.Write(c, head) })
		server := f.listen()
		response, err := http.Head(server.URL)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		Expect(response.StatusCode).To(Equal(200))
		Expect(response.Header.Get("Content-Length")).To(Equal(length))
	},
		Entry("of the body that it leaves out", rawtarget.Head(200, idHeader, "Content-Length: 800"), "800"),
		Entry("of an empty body", rawtarget.Head(200, idHeader, "Content-Length: 0"), "0"),
		Entry("and none if it states none", rawtarget.Head(200, idHeader, "Transfer-Encoding: chunked"), ""),
	)
})
