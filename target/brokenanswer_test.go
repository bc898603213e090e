package target_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/target"
	"tarragonhollow.example/tarragonhollow/target/rawtarget"
)

var _ = Describe("A service in trouble", func() {
	call := func(address string, body []byte) (target.ServiceResponse, error) {
		client := target.NewServiceClient(target.DefaultClientOptions())
		DeferCleanup(client.Close)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		return client.Call(ctx, address, target.ServiceRequest{Method: http.MethodPost, Path: "/orders", Body: body})
	}

	// Guards against bytes that are no answer and are passed on as one.
	DescribeTable("has what is no answer reported as such", func(head ...string) {
		service, err := rawtarget.Start(func(_ *rawtarget.Request, c net.Conn) {
			rawtarget.Write(c, strings.Join(head, "\r\n")+"\r\n\r\nsome")
			_ = c.Close()
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(service.Close)
		answer, err := call(service.Address, []byte("x"))
		Expect(err).To(HaveOccurred(), "%+v", answer)
		Expect(answer).To(Equal(target.ServiceResponse{}))
		failure := target.FailureOf(err)
		Expect(failure).NotTo(BeNil())
		Expect([]bool{failure.Reached, failure.Rejected, failure.Busy}).To(Equal([]bool{true, false, false}))
	},
		Entry("status 000", "HTTP/1.1 000 Odd", "Content-Length: 4"),
		Entry("a status above 599", "HTTP/1.1 777 Odd", "Content-Length: 4"),
		Entry("a version that doesn't exist", "HTTP/7.3 200 OK", "Content-Length: 4"),
		Entry("a control byte in the reason", "HTTP/1.1 200 O\x01K", "Content-Length: 4"),
		Entry("a blank in the name of the length", "HTTP/1.1 200 OK", "Content-Length : 2"),
		Entry("a blank in the name of the coding", "HTTP/1.1 200 OK", "Transfer-Encoding : chunked"),
		Entry("a blank in another name", "HTTP/1.1 200 OK", "A b: c", "Content-Length: 4"),
		Entry("a control byte in a name", "HTTP/1.1 200 OK", "A\x01b: c", "Content-Length: 4"),
		Entry("an HTTP/1.0 answer with a transfer coding", "HTTP/1.0 200 OK", "Transfer-Encoding: chunked"),
		Entry("an informational answer with a blank in a name", "HTTP/1.1 103 Early", "A b: c", "", "HTTP/1.1 200 OK", "Content-Length: 4"),
	)

	// Guards against sound answers that are refused because their form is rare.
	DescribeTable("but sound, has its answer passed on", func(head ...string) {
		service, err := rawtarget.Start(func(_ *rawtarget.Request, c net.Conn) {
			rawtarget.Write(c, strings.Join(head, "\r\n")+"\r\n\r\nsome")
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(service.Close)
		answer, err := call(service.Address, []byte("x"))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(answer.Body)).To(Equal("some"))
	},
		Entry("no reason", "HTTP/1.1 200", "Content-Length: 4"),
		Entry("a folded value", "HTTP/1.1 200 OK", "A: b", " c", "Content-Length: 4"),
		Entry("informational answers", "HTTP/1.1 100 Continue", "", "HTTP/1.1 103 Early", "Link: x", "", "HTTP/1.1 200 OK", "Content-Length: 4"),
		Entry("a large field", "HTTP/1.1 200 OK", "A: "+strings.Repeat("a", 50_000), "Content-Length: 4"),
	)

	// early starts a service that answers when it has read a part of the request.
	early := func(end func(c *net.TCPConn)) string {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		go func() {
			for {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				go func() {
					defer c.Close()
					if _, err := io.ReadFull(c, make([]byte, 20)); err != nil {
						return // a connection without a request
					}
					rawtarget.Write(c, "HTTP/1.1 200 OK\r\n\r\nsome")
					end(c.(*net.TCPConn))
				}()
			}
		}()
		return listener.Addr().String()
	}

	// Guards against a part of an answer that appears complete since the write of the request took
	// the error of the reset.
	It("has an early answer without a length that is reset reported as broken", func() {
		address := early(func(c *net.TCPConn) { rawtarget.Reset(c) })
		for range 20 {
			_, err := call(address, make([]byte, 3<<20))
			Expect(err).To(HaveOccurred())
		}
	})

	It("but sound, has an early answer without a length that ends in order passed on", func() {
		address := early(func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		})
		for range 20 {
			answer, err := call(address, make([]byte, 3<<20))
			Expect(err).NotTo(HaveOccurred())
			Expect(string(answer.Body)).To(Equal("some"))
		}
	})
})
