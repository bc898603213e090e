package h1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/textproto"
)

// maxLegacyHead is the maximum size of the head of an HTTP/1.0 answer, in bytes.
const maxLegacyHead = 64 << 10

// readResponse is http.ReadResponse, except that an HTTP/1.0 answer with a transfer coding is an
// error.
//
// Failure guarded against: net/http ignores and removes the coding, so that the body appears to
// end with its connection. The chunks would be forwarded with their sizes, and one that is cut
// would appear complete. HTTP/1.0 has no codings (RFC 9112, section 6.1).
func readResponse(r *bufio.Reader, method string) (*http.Response, error) {
	request := &http.Request{Method: method}
	if !isLegacy(r) {
		return http.ReadResponse(r, request)
	}
	head, err := readLegacyHead(r)
	if err != nil {
		return nil, err
	}
	lines := textproto.NewReader(bufio.NewReader(bytes.NewReader(head)))
	if _, err := lines.ReadLine(); err != nil {
		return nil, err
	}
	header, err := lines.ReadMIMEHeader()
	if err != nil {
		return nil, err
	}
	if _, coded := header["Transfer-Encoding"]; coded {
		return nil, errors.New("received an HTTP/1.0 answer with a transfer coding")
	}
	return http.ReadResponse(bufio.NewReader(io.MultiReader(bytes.NewReader(head), r)), request)
}

// isLegacy reports whether an HTTP/1.0 answer follows. It waits for no more bytes than it needs:
// what is no answer may be shorter than a version. An error is reported by the next read.
func isLegacy(r *bufio.Reader) bool {
	const version = "HTTP/1.0"
	for n := range len(version) {
		next, err := r.Peek(n + 1)
		if err != nil || next[n] != version[n] {
			return false
		}
	}
	return true
}

// readLegacyHead reads up to the empty line that ends the head.
func readLegacyHead(r *bufio.Reader) ([]byte, error) {
	var head []byte
	for {
		line, err := r.ReadSlice('\n')
		head = append(head, line...)
		switch {
		case err == io.EOF:
			return nil, io.ErrUnexpectedEOF
		case err != nil && !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		case len(head) > maxLegacyHead:
			return nil, errors.New("the head of the answer is too long")
		case bytes.HasSuffix(head, []byte("\n\r\n")), bytes.HasSuffix(head, []byte("\n\n")):
			return head, nil
		}
	}
}
