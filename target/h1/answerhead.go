package h1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

const (
	// maxHeadBytes and maxHeadLines bound the head of an answer, and its trailer.
	maxHeadBytes = 256 << 10
	maxHeadLines = 4096
	// lineCost and byteCost are the memory in bytes that a line and a byte of a head use at most
	// until its answer was forwarded: the text, an entry of the header, and its copies.
	lineCost, byteCost = 400, 4
	// freeHead is the cost up to which a head needs no share of the pool's memory. Ordinary answers
	// stay below it, so that a full memory does not affect them.
	freeHead = 12 << 10
	// statusPrefix begins the status line of each version that is understood: a later minor version
	// is read like HTTP/1.1 (RFC 9110, section 2.5).
	statusPrefix = "HTTP/1."
	// statusLength is the length of a status line without a reason.
	statusLength = len(statusPrefix + "1 200")
	// minStatus and maxStatus are the valid statuses (RFC 9110, section 15).
	minStatus, maxStatus = 100, 599
)

// head is the head of an answer.
type head struct {
	minor, status int
	header        http.Header
	framing       Framing
	// length is that of the body if framing is FramedByLength.
	length int64
	// noBody reports that nothing follows the head, whatever it says (RFC 9112, section 6.3).
	noBody bool
}

// headCost returns the memory in bytes that a head uses beyond freeHead.
func headCost(lines, size int) int64 {
	return max(0, int64(lines)*lineCost+int64(size)*byteCost-freeHead)
}

// readAnswerHead reads and checks a head. reserve is called with the memory that the head uses, as
// that grows, and its errors are returned.
//
// Failure guarded against: net/http's parser accepts a blank behind the name of a field, which hides
// the framing, statuses and versions that don't exist, and heads of any size.
func readAnswerHead(r *bufio.Reader, method string, reserve func(cost int64) error) (*head, error) {
	if err := checkPrefix(r); err != nil {
		return nil, err
	}
	text, err := readSection(r, reserve)
	if err != nil {
		return nil, err
	}
	return parseHead(string(text), method)
}

// parseHead parses a head without the empty line at its end.
func parseHead(text, method string) (*head, error) {
	line, fields, _ := strings.Cut(text, "\n")
	h := &head{}
	var err error
	if h.minor, h.status, err = parseStatusLine(strings.TrimSuffix(line, "\r")); err != nil {
		return nil, err
	}
	if h.header, err = parseFields(fields); err != nil {
		return nil, err
	}
	return h, h.parseFraming(method)
}

// checkPrefix returns an error as soon as what is received can't be a status line. It waits for no
// more bytes than it needs: what is no answer may be short, or have no line end.
func checkPrefix(r *bufio.Reader) error {
	for n := range len(statusPrefix) {
		next, err := r.Peek(n + 1)
		if err != nil {
			return cutShort(err)
		}
		if next[n] != statusPrefix[n] {
			return fmt.Errorf("received %q in place of a status line", next)
		}
	}
	return nil
}

// cutShort returns the error of a read at which more must follow.
func cutShort(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readSection reads lines up to an empty one, which is not returned. See readAnswerHead for reserve.
func readSection(r *bufio.Reader, reserve func(cost int64) error) ([]byte, error) {
	var text []byte
	lineStart, lines := 0, 0
	for {
		part, err := r.ReadSlice('\n')
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return nil, cutShort(err)
		}
		if lines >= maxHeadLines || len(text)+len(part) > maxHeadBytes {
			return nil, errors.New("the head or the trailer of the answer is too long")
		}
		if err := reserve(headCost(lines+1, len(text)+len(part))); err != nil {
			return nil, err
		}
		text = append(text, part...)
		if err != nil {
			continue // the line goes on
		}
		if line := text[lineStart:]; len(line) == 1 || len(line) == 2 && line[0] == '\r' {
			return text[:lineStart], nil
		}
		lineStart = len(text)
		lines++
	}
}

// parseStatusLine parses "HTTP/1.x SSS reason" (RFC 9112, section 4). The reason may be missing, also
// with the blank before it.
func parseStatusLine(line string) (minor, status int, err error) {
	if len(line) < statusLength || !strings.HasPrefix(line, statusPrefix) {
		return 0, 0, fmt.Errorf("invalid status line %.64q", line)
	}
	version, rest := line[len(statusPrefix):len(statusPrefix)+2], line[len(statusPrefix)+2:]
	code, reason := rest[:3], rest[3:]
	if !isDigits(version[:1]) || version[1] != ' ' || !isDigits(code) || reason != "" && reason[0] != ' ' || !httpguts.ValidHeaderFieldValue(reason) {
		return 0, 0, fmt.Errorf("invalid status line %.64q", line)
	}
	status, _ = strconv.Atoi(code) // three digits
	if status < minStatus || status > maxStatus {
		return 0, 0, fmt.Errorf("received an answer with status %s", code)
	}
	return int(version[0] - '0'), status, nil
}

func isDigits(s string) bool {
	return s != "" && strings.IndexFunc(s, func(c rune) bool { return c < '0' || c > '9' }) < 0
}

// parseFields parses field lines (RFC 9112, section 5). A value that is folded over several lines,
// which is obsolete, is joined with blanks.
func parseFields(text string) (http.Header, error) {
	header := http.Header{}
	name := ""
	var parts []string // the lines of the current value
	flush := func() {
		if name != "" {
			header[name] = append(header[name], strings.Join(parts, " "))
		}
	}
	for text != "" {
		var line string
		line, text, _ = strings.Cut(text, "\n")
		line = strings.TrimSuffix(line, "\r")
		value, folded := line, line != "" && (line[0] == ' ' || line[0] == '\t')
		if !folded {
			flush()
			var ok bool
			name, value, ok = strings.Cut(line, ":")
			if !ok || !httpguts.ValidHeaderFieldName(name) {
				return nil, fmt.Errorf("invalid field line %.64q", line)
			}
			name, parts = textproto.CanonicalMIMEHeaderKey(name), nil
		}
		if name == "" || !httpguts.ValidHeaderFieldValue(value) {
			return nil, fmt.Errorf("invalid field line %.64q", line)
		}
		if value = strings.Trim(value, " \t"); value != "" {
			parts = append(parts, value)
		}
	}
	flush()
	return header, nil
}

// parseFraming determines where the body ends (RFC 9112, section 6.3). Chunks override a length. A
// coding that was not asked for is an error.
func (h *head) parseFraming(method string) error {
	length, hasLength, err := parseLength(h.header["Content-Length"])
	if err != nil {
		return err
	}
	codings, coded := h.header["Transfer-Encoding"]
	h.noBody = method == http.MethodHead || h.status < http.StatusOK || h.status == http.StatusNoContent || h.status == http.StatusNotModified
	switch {
	case coded && h.minor == 0:
		return errors.New("received an HTTP/1.0 answer with a transfer coding") // HTTP/1.0 has none
	case coded && !isChunked(codings):
		return fmt.Errorf("received an answer with the transfer coding %.64q", codings)
	case h.noBody && method != http.MethodHead:
		h.framing = FramedByLength
	case coded:
		h.framing = FramedByChunks
	case hasLength:
		h.framing, h.length = FramedByLength, length
		h.noBody = h.noBody || length == 0
	default:
		h.framing = Unframed
	}
	return nil
}

// parseLength parses the values of Content-Length, which may repeat one number.
func parseLength(values []string) (length int64, present bool, err error) {
	for _, value := range values {
		for element := range strings.SplitSeq(value, ",") {
			element = strings.Trim(element, " \t")
			n, err := strconv.ParseInt(element, 10, 64)
			if !isDigits(element) || err != nil || present && n != length {
				return 0, false, fmt.Errorf("received an answer with the length %.64q", values)
			}
			length, present = n, true
		}
	}
	return length, present, nil
}

// isChunked reports whether the only transfer coding is that in chunks. A list may have empty
// elements (RFC 9110, section 5.6.1).
func isChunked(values []string) bool {
	count := 0
	for element := range strings.SplitSeq(strings.Join(values, ","), ",") {
		switch element = strings.Trim(element, " \t"); {
		case element == "":
		case !strings.EqualFold(element, "chunked"):
			return false
		default:
			count++
		}
	}
	return count == 1
}

// statedLength returns the length if it frames the body, else -1.
func (h *head) statedLength() int64 {
	if h.framing != FramedByLength {
		return -1
	}
	return h.length
}

// closes reports whether the answer is the last one on its connection.
func (h *head) closes() bool {
	return h.minor == 0 || h.framing == Unframed && !h.noBody || httpguts.HeaderValuesContainsToken(h.header["Connection"], "close")
}
