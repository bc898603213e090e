package caller_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/caller"
	"tarragonhollow.example/tarragonhollow/core/outcome"
)

func TestCaller(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "caller")
}

// answering returns a client of a server that answers every request with text and ends the
// body by closing the connection, as an HTTP/1.0 proxy does in front of a daemon.
func answering(text string) *caller.Client {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		defer func(conn net.Conn) { _ = conn.Close() }(conn)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+text)
	}))
	DeferCleanup(server.Close)
	return &caller.Client{Base: server.URL}
}

var _ = Describe("Client", func() {
	// A daemon cuts off results that it can't continue. Where a proxy hides the cut, the
	// error line must not be taken for an item, nor the lines before it for all results.
	It("returns no results that end with an error line", func() {
		c := answering(`{"custom_id":"one","state":"completed","attempts":1}` + "\n" +
			`{"error":{"code":"no_owner","message":"moving","run":"not_run","retry_after_ms":0}}` + "\n")
		results, err := c.Results(context.Background(), caller.Options{}, "j")
		Expect(results).To(BeEmpty())
		Expect(caller.AsRefusal(err)).NotTo(BeNil())
		Expect(caller.AsRefusal(err).Code).To(Equal(outcome.NoOwner))
	})

	// A stream whose connection ends looks complete to a reader that only waits for its end.
	DescribeTable("does not take a stream for complete that ends without [DONE]",
		func(text string) {
			err := answering(text).StreamChat(context.Background(), caller.Options{}, caller.Chat{}, func(string) {})
			Expect(err).To(HaveOccurred())
		},
		Entry("after a token", `data: {"choices":[{"delta":{"content":"one"}}]}`+"\n\n"),
		Entry("after the finish reason", `data: {"choices":[{"delta":{},"finish_reason":"stop"}]}`+"\n\n"),
		Entry("with an error event", `data: {"error":{"code":"target_failed"}}`+"\n\n"),
		Entry("within [DONE]", "data: [DON"),
	)
})
