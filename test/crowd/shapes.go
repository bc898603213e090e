// Package crowd opens many connections to a process and sends on each what a client that keeps
// neither to HTTP nor to the limits of a server may send, while it samples the memory and the
// descriptors of the process.
package crowd

import (
	"bufio"
	"fmt"
	"strconv"
	"strings"
)

// Shape is what one connection sends.
type Shape struct {
	Name string
	// Write writes until it is done or w fails. The connection is then held open.
	Write func(w *bufio.Writer, t Target) error
}

// Target is the request to which the lines of a shape are added.
type Target struct {
	// Path is the path of a request that may have a body, Head its header lines, each with its
	// line break, without those about the body.
	Path, Head string
	// HeadBytes is the limit of a request's head on the wire.
	HeadBytes int
}

const (
	// endlessBytes ends what has no end, on each connection.
	endlessBytes = 1 << 20
	// headReserve is left for the request line and the end of a head at its limit.
	headReserve = 128
	// pipelined is the number of requests that a client sends without reading a response.
	pipelined = 64
	// partBytes is the size of the part of a head that follows a body: as much as a server's
	// buffer holds.
	partBytes = 4096
	// trailerBytes is the size of the trailer section of a chunked body, below such a buffer.
	trailerBytes = 3900
)

// requestLine returns the request line of a POST.
func (t Target) requestLine() string { return "POST " + t.Path + " HTTP/1.1\r\n" }

// distinctLines returns header lines of short distinct names, of up to n bytes together.
func distinctLines(n int) string {
	var b strings.Builder
	for i := 36 * 36; b.Len() < n-8; i++ {
		b.WriteString(strconv.FormatInt(int64(i), 36))
		b.WriteString(":\r\n")
	}
	return b.String()
}

// repeat writes text again and again, endlessBytes in all.
func repeat(w *bufio.Writer, text string) error {
	for written := 0; written < endlessBytes; written += len(text) {
		if _, err := w.WriteString(text); err != nil {
			return err
		}
	}
	return w.Flush()
}

// once returns a shape that writes the text that make returns.
func once(name string, text func(t Target) string) Shape {
	return Shape{name, func(w *bufio.Writer, t Target) error {
		if _, err := w.WriteString(text(t)); err != nil {
			return err
		}
		return w.Flush()
	}}
}

// endless returns a shape that writes a beginning and then the text again and again.
func endless(name string, begin func(t Target) string, text string) Shape {
	return Shape{name, func(w *bufio.Writer, t Target) error {
		if _, err := w.WriteString(begin(t)); err != nil {
			return err
		}
		return repeat(w, text)
	}}
}

// wholeHead returns a head at its limit, of many short distinct lines, with one more line.
func (t Target) wholeHead(line string) string {
	begin := t.requestLine() + t.Head + line
	return begin + distinctLines(t.HeadBytes-len(begin)-headReserve) + "\r\n"
}

// Heads are the shapes that concern heads of requests, for any server.
var Heads = []Shape{
	once("whole heads of many short lines whose bodies never come", func(t Target) string {
		return t.wholeHead("Content-Length: 9\r\n")
	}),
	once("heads of many short lines that stop before their end", func(t Target) string {
		return strings.TrimSuffix(t.wholeHead(""), "\r\n")
	}),
	once("whole requests of many short lines", func(t Target) string {
		return t.wholeHead("Content-Length: 0\r\n")
	}),
	once("requests of many short lines behind each other, whose responses nobody reads", func(t Target) string {
		return strings.Repeat(t.wholeHead("Content-Length: 0\r\n"), pipelined)
	}),
	{"heads of distinct short lines without end", func(w *bufio.Writer, t Target) error {
		return repeat(w, t.requestLine()+t.Head+distinctLines(endlessBytes))
	}},
	endless("heads of equal short lines without end", func(t Target) string { return t.requestLine() + t.Head }, "a:\r\n"),
	endless("heads of short lines that end with a bare line feed, without end",
		func(t Target) string { return t.requestLine() + t.Head }, "a:\n"),
	endless("heads of folded lines without end", func(t Target) string { return t.requestLine() + t.Head + "a: b\r\n" }, " b\r\n"),
	endless("heads of lines without a colon, without end", func(t Target) string { return t.requestLine() + t.Head }, "a\r\n"),
	endless("a header line without end", func(t Target) string { return t.requestLine() + t.Head + "a: " }, strings.Repeat("b", 64)),
	endless("a request line without end", func(t Target) string { return "POST " + t.Path }, strings.Repeat("b", 64)),
	endless("bytes without a line break, without end", func(Target) string { return "" }, "\x16\x03\x01\x00\xff"),
	endless("empty lines without end", func(Target) string { return "" }, "\r\n"),
	once("a part of a head of many short lines behind a body", func(t Target) string {
		part := distinctLines(partBytes - headReserve - len(t.Head))
		return t.requestLine() + t.Head + "Content-Length: 1\r\n\r\nx" + t.requestLine() + t.Head + part
	}),
}

// Bodies are the shapes that concern the framing of bodies, for any server.
var Bodies = []Shape{
	once("chunked bodies with trailers of many short lines", func(t Target) string {
		return t.requestLine() + t.Head + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + distinctLines(trailerBytes) + "\r\n"
	}),
	endless("chunked bodies with trailers without end", func(t Target) string {
		return t.requestLine() + t.Head + "Transfer-Encoding: chunked\r\n\r\n0\r\n"
	}, "a:\r\n"),
	endless("chunks of one byte without end", func(t Target) string {
		return t.requestLine() + t.Head + "Transfer-Encoding: chunked\r\n\r\n"
	}, "1\r\nx\r\n"),
	endless("a chunk extension without end", func(t Target) string {
		return t.requestLine() + t.Head + "Transfer-Encoding: chunked\r\n\r\n1;"
	}, strings.Repeat("a", 64)),
}

// Probes are the shapes for listeners that serve only requests without a body.
var Probes = []Shape{
	once("connections without a request", func(Target) string { return "" }),
	once("whole requests of many short lines", func(t Target) string {
		return strings.Replace(t.wholeHead(""), "POST", "GET", 1)
	}),
	once("heads of many short lines that stop before their end", func(t Target) string {
		return strings.TrimSuffix(t.wholeHead(""), "\r\n")
	}),
	{"heads of distinct short lines without end", func(w *bufio.Writer, t Target) error {
		return repeat(w, t.requestLine()+t.Head+distinctLines(endlessBytes))
	}},
	endless("heads of equal short lines without end", func(t Target) string { return t.requestLine() + t.Head }, "a:\r\n"),
}

// Job returns a shape that sends a request with a body.
func Job(name, body string) Shape {
	return once(name, func(t Target) string {
		return fmt.Sprintf("%s%sContent-Length: %d\r\n\r\n%s", t.requestLine(), t.Head, len(body), body)
	})
}
