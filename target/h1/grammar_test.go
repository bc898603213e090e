package h1_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/target/h1"
	"tarragonhollow.example/tarragonhollow/target/rawtarget"
)

// received is what an exchange returned of an answer.
type received struct {
	status int
	header http.Header
	body   string
}

// receiveRaw sends a request to a target that answers with the bytes and then closes the connection.
func receiveRaw(method, answer string) (received, error) {
	pool := h1.NewPool(func() {})
	DeferCleanup(pool.Close)
	t, err := rawtarget.Start(func(_ *rawtarget.Request, c net.Conn) {
		rawtarget.Write(c, answer)
		_ = c.Close()
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(t.Close)
	a, err := pool.Do(context.Background(), t.Address, &h1.Request{Method: method, URI: "/", Host: "h"}, h1.Options{Deadline: time.Now().Add(limit)})
	if err != nil {
		return received{}, err
	}
	defer a.Close()
	var b strings.Builder
	_, err = io.Copy(&b, answerReader{a})
	if err == nil {
		err = a.ConfirmEnd()
	}
	return received{a.Status, a.Header, b.String()}, err
}

// answerReader reads an answer's body.
type answerReader struct{ *h1.Answer }

func (r answerReader) Read(p []byte) (int, error) { return r.Answer.Read(p, limit) }

// lines joins the lines of a head, each with its line end, and adds the empty line.
func lines(list ...string) string { return strings.Join(list, "\r\n") + "\r\n\r\n" }

var _ = Describe("An answer that violates RFC 9112", func() {
	// Guards against bytes that are no answer and are passed on as one.
	DescribeTable("in its head is broken", func(answer string) {
		got, err := receiveRaw("POST", answer)
		Expect(errorx.IsOfType(err, h1.Broken)).To(BeTrue(), "got %+v, %v", got, err)
		Expect(got).To(Equal(received{}))
	},
		Entry("status 000", lines("HTTP/1.1 000 OK", "Content-Length: 4")+"some"),
		Entry("a status below 100", lines("HTTP/1.1 099 OK", "Content-Length: 4")+"some"),
		Entry("a status above 599", lines("HTTP/1.1 600 OK", "Content-Length: 4")+"some"),
		Entry("a status with a sign", lines("HTTP/1.1 +20 OK", "Content-Length: 4")+"some"),
		Entry("a status of two digits", lines("HTTP/1.1 20 OK", "Content-Length: 4")+"some"),
		Entry("a status of four digits", lines("HTTP/1.1 2000 OK", "Content-Length: 4")+"some"),
		Entry("a status that is no number", lines("HTTP/1.1 2x0 OK", "Content-Length: 4")+"some"),
		Entry("no status", lines("HTTP/1.1", "Content-Length: 4")+"some"),
		Entry("an empty status line", lines("", "HTTP/1.1 200 OK", "Content-Length: 4")+"some"),
		Entry("a blank before the status line", lines(" HTTP/1.1 200 OK", "Content-Length: 4")+"some"),
		Entry("two blanks before the status", lines("HTTP/1.1  200 OK", "Content-Length: 4")+"some"),
		Entry("a version of another major number", lines("HTTP/2.0 200 OK", "Content-Length: 4")+"some"),
		Entry("version 0.9", lines("HTTP/0.9 200 OK", "Content-Length: 4")+"some"),
		Entry("a version of two digits", lines("HTTP/1.10 200 OK", "Content-Length: 4")+"some"),
		Entry("another protocol", lines("HTTQ/1.1 200 OK", "Content-Length: 4")+"some"),
		Entry("a protocol in lower case", lines("http/1.1 200 OK", "Content-Length: 4")+"some"),
		Entry("a control byte in the reason", lines("HTTP/1.1 200 O\x01K", "Content-Length: 4")+"some"),
		Entry("a carriage return in the reason", lines("HTTP/1.1 200 O\rK", "Content-Length: 4")+"some"),
		Entry("a NUL in the reason", lines("HTTP/1.1 200 O\x00K", "Content-Length: 4")+"some"),

		Entry("a blank behind the name of the length", lines("HTTP/1.1 200 OK", "Content-Length : 4")+"some and more"),
		Entry("a blank behind the name of the coding", lines("HTTP/1.1 200 OK", "Transfer-Encoding : chunked")+"4\r\nsome\r\n0\r\n\r\n"),
		Entry("a tab behind a name", lines("HTTP/1.1 200 OK", "A\t: b", "Content-Length: 4")+"some"),
		Entry("a blank in a name", lines("HTTP/1.1 200 OK", "A b: c", "Content-Length: 4")+"some"),
		Entry("a control byte in a name", lines("HTTP/1.1 200 OK", "A\x01b: c", "Content-Length: 4")+"some"),
		Entry("a NUL in a name", lines("HTTP/1.1 200 OK", "A\x00b: c", "Content-Length: 4")+"some"),
		Entry("DEL in a name", lines("HTTP/1.1 200 OK", "A\x7fb: c", "Content-Length: 4")+"some"),
		Entry("a byte above ASCII in a name", lines("HTTP/1.1 200 OK", "A\xe4b: c", "Content-Length: 4")+"some"),
		Entry("a delimiter in a name", lines("HTTP/1.1 200 OK", "A(b): c", "Content-Length: 4")+"some"),
		Entry("an empty name", lines("HTTP/1.1 200 OK", ": c", "Content-Length: 4")+"some"),
		Entry("a line without a colon", lines("HTTP/1.1 200 OK", "Ab", "Content-Length: 4")+"some"),
		Entry("a blank before the first field", lines("HTTP/1.1 200 OK", " A: b", "Content-Length: 4")+"some"),
		Entry("a control byte in a value", lines("HTTP/1.1 200 OK", "A: b\x01c", "Content-Length: 4")+"some"),
		Entry("a NUL in a value", lines("HTTP/1.1 200 OK", "A: b\x00c", "Content-Length: 4")+"some"),
		Entry("a carriage return in a value", lines("HTTP/1.1 200 OK", "A: b\rc", "Content-Length: 4")+"some"),
		Entry("a carriage return at the end of a value", lines("HTTP/1.1 200 OK", "A: b\r", "Content-Length: 4")+"some"),
		Entry("a control byte in a folded line", lines("HTTP/1.1 200 OK", "A: b", " c\x01", "Content-Length: 4")+"some"),

		Entry("a length with a sign", lines("HTTP/1.1 200 OK", "Content-Length: +4")+"some"),
		Entry("a negative length", lines("HTTP/1.1 200 OK", "Content-Length: -4")+"some"),
		Entry("a hexadecimal length", lines("HTTP/1.1 200 OK", "Content-Length: 0x4")+"some"),
		Entry("an empty length", lines("HTTP/1.1 200 OK", "Content-Length:")+"some"),
		Entry("a length beyond all numbers", lines("HTTP/1.1 200 OK", "Content-Length: 99999999999999999999")+"some"),
		Entry("a length with a blank inside", lines("HTTP/1.1 200 OK", "Content-Length: 4 4")+"some"),
		Entry("two lengths in a list", lines("HTTP/1.1 200 OK", "Content-Length: 4, 5")+"some"),
		Entry("two lengths in two fields", lines("HTTP/1.1 200 OK", "Content-Length: 4", "Content-Length: 5")+"some"),
		Entry("an unknown coding", lines("HTTP/1.1 200 OK", "Transfer-Encoding: gzip")+"some"),
		Entry("the coding identity", lines("HTTP/1.1 200 OK", "Transfer-Encoding: identity")+"some"),
		Entry("an empty coding", lines("HTTP/1.1 200 OK", "Transfer-Encoding:")+"some"),
		Entry("a coding with a control byte", lines("HTTP/1.1 200 OK", "Transfer-Encoding: \x0bchunked")+"4\r\nsome\r\n0\r\n\r\n"),
		Entry("two codings", lines("HTTP/1.1 200 OK", "Transfer-Encoding: gzip, chunked")+"4\r\nsome\r\n0\r\n\r\n"),
		Entry("chunks twice", lines("HTTP/1.1 200 OK", "Transfer-Encoding: chunked", "Transfer-Encoding: chunked")+"4\r\nsome\r\n0\r\n\r\n"),
		Entry("an informational answer with a blank in a name", lines("HTTP/1.1 103 Early", "A b: c")+lines("HTTP/1.1 200 OK", "Content-Length: 4")+"some"),
		Entry("another protocol from here on", lines("HTTP/1.1 101 Switching", "Upgrade: x")+lines("HTTP/1.1 200 OK", "Content-Length: 4")+"some"),
		Entry("a head that is cut", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"),
	)

	// Guards against a broken body that appears complete.
	DescribeTable("in its body is broken", func(answer string) {
		got, err := receiveRaw("POST", answer)
		Expect(errorx.IsOfType(err, h1.Broken)).To(BeTrue(), "got %+v, %v", got, err)
	},
		Entry("shorter than its length", lines("HTTP/1.1 200 OK", "Content-Length: 5")+"some"),
		Entry("a cut chunk", lines("HTTP/1.1 200 OK", "Transfer-Encoding: chunked")+"5\r\nsome"),
		Entry("no last chunk", lines("HTTP/1.1 200 OK", "Transfer-Encoding: chunked")+"4\r\nsome\r\n"),
		Entry("no line end behind a chunk", lines("HTTP/1.1 200 OK", "Transfer-Encoding: chunked")+"4\r\nsome0\r\n\r\n"),
		Entry("no size", lines("HTTP/1.1 200 OK", "Transfer-Encoding: chunked")+"\r\nsome\r\n0\r\n\r\n"),
		Entry("a size with a sign", lines("HTTP/1.1 200 OK", "Transfer-Encoding: chunked")+"+4\r\nsome\r\n0\r\n\r\n"),
		Entry("a size that is no number", lines("HTTP/1.1 200 OK", "Transfer-Encoding: chunked")+"4x\r\nsome\r\n0\r\n\r\n"),
		Entry("a size beyond all numbers", lines("HTTP/1.1 200 OK", "Transfer-Encoding: chunked")+"11111111111111111\r\nsome\r\n0\r\n\r\n"),
		Entry("a control byte in a chunk's extension", lines("HTTP/1.1 200 OK", "Transfer-Encoding: chunked")+"4;a\x01\r\nsome\r\n0\r\n\r\n"),
		Entry("no empty line behind the last chunk", lines("HTTP/1.1 200 OK", "Transfer-Encoding: chunked")+"4\r\nsome\r\n0\r\n"),
		Entry("a trailer that is cut", lines("HTTP/1.1 200 OK", "Transfer-Encoding: chunked")+"4\r\nsome\r\n0\r\nA: b"),
		Entry("a trailer with a blank in a name", lines("HTTP/1.1 200 OK", "Transfer-Encoding: chunked")+"4\r\nsome\r\n0\r\nA b: c\r\n\r\n"),
		Entry("a trailer with a control byte in a value", lines("HTTP/1.1 200 OK", "Transfer-Encoding: chunked")+"4\r\nsome\r\n0\r\nA: b\x01\r\n\r\n"),
		Entry("a trailer without a colon", lines("HTTP/1.1 200 OK", "Transfer-Encoding: chunked")+"4\r\nsome\r\n0\r\nHTTP/1.1 200 OK\r\n\r\n"),
	)
})

// longHead is larger than the heads of most servers.
var longHead = strings.Repeat("b", 100<<10)

var _ = Describe("An answer in a legal form", func() {
	// Guards against sound answers that are refused or changed because their form is rare.
	DescribeTable("is passed on unchanged", func(answer string, header http.Header) {
		got, err := receiveRaw("POST", answer)
		Expect(err).NotTo(HaveOccurred())
		Expect(got.status).To(Equal(200))
		Expect(got.body).To(Equal("some"))
		for name, values := range header {
			Expect(got.header[name]).To(Equal(values), name)
		}
		Expect(got.header).NotTo(HaveKey("Cache-Control"))
	},
		Entry("no reason", lines("HTTP/1.1 200 ", "Content-Length: 4")+"some", nil),
		Entry("no reason and no blank", lines("HTTP/1.1 200", "Content-Length: 4")+"some", nil),
		Entry("a reason above ASCII", lines("HTTP/1.1 200 \xe4\t!", "Content-Length: 4")+"some", nil),
		Entry("a later minor version", lines("HTTP/1.2 200 OK", "Content-Length: 4")+"some", nil),
		Entry("plain line feeds", "HTTP/1.1 200 OK\nContent-Length: 4\nA: b\n\nsome", http.Header{"A": {"b"}}),
		Entry("blanks and tabs around a value", lines("HTTP/1.1 200 OK", "Content-Length: \t4 ", "A:b \t")+"some", http.Header{"A": {"b"}}),
		Entry("an empty value", lines("HTTP/1.1 200 OK", "Content-Length: 4", "A:")+"some", http.Header{"A": {""}}),
		Entry("a value above ASCII", lines("HTTP/1.1 200 OK", "Content-Length: 4", "A: \xe4\tb")+"some", http.Header{"A": {"\xe4\tb"}}),
		Entry("a name of all kinds of bytes", lines("HTTP/1.1 200 OK", "Content-Length: 4", "!#$%&'*+-.^_`|~09: b")+"some", http.Header{"!#$%&'*+-.^_`|~09": {"b"}}),
		Entry("names in other cases", lines("HTTP/1.1 200 OK", "cONTENT-lENGTH: 4", "a-B: c")+"some", http.Header{"A-B": {"c"}}),
		Entry("repeated fields", lines("HTTP/1.1 200 OK", "Content-Length: 4", "A: b", "A: c")+"some", http.Header{"A": {"b", "c"}}),
		Entry("a folded value", lines("HTTP/1.1 200 OK", "A: b", " \tc", "\td", "Content-Length: 4")+"some", http.Header{"A": {"b c d"}}),
		Entry("an empty value that goes on", lines("HTTP/1.1 200 OK", "A:", " c", "Content-Length: 4")+"some", http.Header{"A": {"c"}}),
		Entry("a folded length", lines("HTTP/1.1 200 OK", "Content-Length:", " 4")+"some", nil),
		Entry("equal lengths in two fields", lines("HTTP/1.1 200 OK", "Content-Length: 4", "Content-Length: 4")+"some", nil),
		Entry("equal lengths in a list", lines("HTTP/1.1 200 OK", "Content-Length: 4, 4")+"some", nil),
		Entry("a length with zeros", lines("HTTP/1.1 200 OK", "Content-Length: 0004")+"some", nil),
		Entry("a length beside chunks", lines("HTTP/1.1 200 OK", "Content-Length: 4", "Transfer-Encoding: chunked")+"4\r\nsome\r\n0\r\n\r\n", nil),
		Entry("a coding in another case", lines("HTTP/1.1 200 OK", "Transfer-Encoding: Chunked")+"4\r\nsome\r\n0\r\n\r\n", nil),
		Entry("a coding with empty elements", lines("HTTP/1.1 200 OK", "Transfer-Encoding: , chunked,")+"4\r\nsome\r\n0\r\n\r\n", nil),
		Entry("chunk extensions", lines("HTTP/1.1 200 OK", "Transfer-Encoding: chunked")+"4 ;a=\"b c\"\r\nsome\r\n0;d\r\n\r\n", nil),
		Entry("a chunk size with zeros", lines("HTTP/1.1 200 OK", "Transfer-Encoding: chunked")+"0004\r\nsome\r\n000\r\n\r\n", nil),
		Entry("a trailer", lines("HTTP/1.1 200 OK", "Transfer-Encoding: chunked", "Trailer: A")+"4\r\nsome\r\n0\r\nA: b\r\nC: d\r\n\r\n", nil),
		Entry("a long trailer", lines("HTTP/1.1 200 OK", "Transfer-Encoding: chunked")+"4\r\nsome\r\n0\r\nA: "+longHead[:20_000]+"\r\n\r\n", nil),
		Entry("an announcement of an unusual trailer", lines("HTTP/1.1 200 OK", "Transfer-Encoding: chunked", "Trailer: Content-Length")+"4\r\nsome\r\n0\r\n\r\n", nil),
		Entry("the end of the connection", lines("HTTP/1.1 200 OK")+"some", nil),
		Entry("an old directive", lines("HTTP/1.1 200 OK", "Content-Length: 4", "Pragma: no-cache")+"some", http.Header{"Pragma": {"no-cache"}}),
		Entry("informational answers", lines("HTTP/1.1 100 Continue")+lines("HTTP/1.1 103 Early Hints", "Link: x")+lines("HTTP/1.1 200 OK", "Content-Length: 4")+"some", nil),
		Entry("a large field", lines("HTTP/1.1 200 OK", "A: "+longHead, "Content-Length: 4")+"some", http.Header{"A": {longHead}}),
		Entry("many fields", "HTTP/1.1 200 OK\r\n"+strings.Repeat("A: b\r\n", 2000)+lines("Content-Length: 4")+"some", nil),
	)

	DescribeTable("has no body", func(method string, status int, answer string) {
		got, err := receiveRaw(method, answer)
		Expect(err).NotTo(HaveOccurred())
		Expect(got.status).To(Equal(status))
		Expect(got.body).To(BeEmpty())
	},
		Entry("204", "POST", 204, lines("HTTP/1.1 204 None")),
		Entry("204 with a length", "POST", 204, lines("HTTP/1.1 204 None", "Content-Length: 4")),
		Entry("204 with chunks", "POST", 204, lines("HTTP/1.1 204 None", "Transfer-Encoding: chunked")),
		Entry("304 with a length", "POST", 304, lines("HTTP/1.1 304 Same", "Content-Length: 4")),
		Entry("an answer to HEAD", "HEAD", 200, lines("HTTP/1.1 200 OK", "Content-Length: 4")),
		Entry("an answer to HEAD in chunks", "HEAD", 200, lines("HTTP/1.1 200 OK", "Transfer-Encoding: chunked")),
		Entry("an answer to HEAD without framing", "HEAD", 200, lines("HTTP/1.1 200 OK")),
	)

	// Guards against connections that are closed, or kept, against what their answers say.
	DescribeTable("keeps its connection or not", func(kept bool, head ...string) {
		pool := h1.NewPool(func() {})
		DeferCleanup(pool.Close)
		t, err := rawtarget.Start(func(_ *rawtarget.Request, c net.Conn) { rawtarget.Write(c, lines(head...)+"some") })
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(t.Close)
		a, err := pool.Do(context.Background(), t.Address, &h1.Request{Method: "POST", URI: "/", Host: "h"}, h1.Options{Deadline: time.Now().Add(limit)})
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(answerReader{a})
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal("some"))
		a.Close()
		Expect(pool.Idle() == 1).To(Equal(kept), strconv.Itoa(pool.Idle()))
	},
		Entry("HTTP/1.1", true, "HTTP/1.1 200 OK", "Content-Length: 4"),
		Entry("HTTP/1.1 that keeps it", true, "HTTP/1.1 200 OK", "Content-Length: 4", "Connection: keep-alive"),
		Entry("HTTP/1.1 that closes it", false, "HTTP/1.1 200 OK", "Content-Length: 4", "Connection: Close"),
		Entry("HTTP/1.1 that closes it in a list", false, "HTTP/1.1 200 OK", "Content-Length: 4", "Connection: keep-alive, close"),
		Entry("HTTP/1.0", false, "HTTP/1.0 200 OK", "Content-Length: 4"),
	)
})
