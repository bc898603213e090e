package callerconns

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"tarragonhollow.example/tarragonhollow/bodymemory"
	"tarragonhollow.example/tarragonhollow/core/outcome"
)

const (
	// serverBuffer is the size of net/http's buffer for a connection.
	serverBuffer = 4 << 10
	// minRead is the least room for a read of a head that arrives in parts.
	minRead = 1 << 10
)

// headReader passes the head of each request to net/http as a whole, once its memory is reserved.
// Until then it holds the bytes as they arrived: net/http parses each line as it comes, and holds
// the much larger result until the last one.
type headReader struct {
	conn   *stallConn
	limits *Heads
	claim  *bodymemory.Claim

	mu sync.Mutex
	// inHead reports that the next bytes belong to a head, bodyLeft is how many more belong to the
	// body of the current request, unknownLength if it has no stated length.
	inHead   bool
	bodyLeft int64
	// endBy is when the head must be complete, zero if it has not begun, and readDeadline the
	// deadline that the server has set.
	endBy, readDeadline time.Time

	// The other fields are used by the goroutine that reads and, between requests, by the one that
	// serves the connection.

	// pending holds what was read and not passed on, its first passable bytes may be passed on.
	pending  []byte
	passable int
	// lineStart and searched are offsets in pending: of the current line, and of what was not yet
	// searched for its end.
	lineStart, searched int
	// lines and size count what was read of the current head.
	lines, size int
	// recent counts the lines of the last bytes of a body without a stated length.
	recent  recentLines
	refused bool
}

// unknownLength is the number of bytes that are left of a body in chunks.
const unknownLength = -1

func newHeadReader(conn *stallConn, limits *Heads) *headReader {
	caller := conn.RemoteAddr().String()
	if host, _, err := net.SplitHostPort(caller); err == nil {
		caller = host
	}
	return &headReader{conn: conn, limits: limits, claim: limits.Memory.Claim(caller), inHead: true}
}

// track follows the state that the server gives the connection.
func (h *headReader) track(state http.ConnState) {
	switch state {
	case http.StateActive:
		h.setInHead(false)
	case http.StateIdle:
		h.next()
	case http.StateClosed, http.StateHijacked:
		h.claim.Release()
	}
}

// next prepares for the head of the next request.
func (h *headReader) next() {
	h.claim.Release()
	h.lines, h.size, h.lineStart, h.searched, h.passable = 0, 0, 0, 0, 0
	if _, bodyLeft := h.position(); bodyLeft != unknownLength {
		h.recent = recentLines{}
	}
	h.setInHead(true)
}

// parsed reserves what the parsed head of a request uses, in place of the estimate.
func (h *headReader) parsed(r *http.Request) *outcome.Refusal {
	h.setInHead(false)
	h.setBodyLeft(r.ContentLength)
	lines, size := sizeOf(r)
	return h.claim.Resize(headCost(lines, size))
}

func (h *headReader) setInHead(inHead bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inHead = inHead
	h.unlimitTimeLocked()
}

func (h *headReader) setBodyLeft(n int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bodyLeft = n
}

// position returns whether the next bytes belong to a head, and otherwise how many are left of the
// body.
func (h *headReader) position() (inHead bool, bodyLeft int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.inHead, h.bodyLeft
}

// passed records that bytes were passed on which are none of a head.
func (h *headReader) passed(p []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.bodyLeft == unknownLength {
		h.recent.add(p)
		return
	}
	h.bodyLeft = max(0, h.bodyLeft-int64(len(p)))
}

// setReadDeadline sets the server's deadline.
func (h *headReader) setReadDeadline(t time.Time) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.readDeadline = t
	return h.applyDeadlineLocked()
}

// applyDeadlineLocked sets the earlier one of the server's deadline and that of the head: the server
// takes a connection for idle until a whole head is passed on.
func (h *headReader) applyDeadlineLocked() error {
	deadline := h.readDeadline
	if !h.endBy.IsZero() && (deadline.IsZero() || deadline.After(h.endBy)) {
		deadline = h.endBy
	}
	return h.conn.Conn.SetReadDeadline(deadline)
}

// limitTime sets the time by which a head must be complete that has begun and is not.
func (h *headReader) limitTime() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.inHead || !h.endBy.IsZero() {
		return nil
	}
	h.endBy = time.Now().Add(h.limits.Timeout)
	return h.applyDeadlineLocked()
}

// unlimitTime restores the server's deadline when a head is complete.
func (h *headReader) unlimitTime() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unlimitTimeLocked()
}

func (h *headReader) unlimitTimeLocked() {
	if !h.endBy.IsZero() {
		h.endBy = time.Time{}
		_ = h.applyDeadlineLocked() // fails only on a closed connection
	}
}

// read reads from the connection, as net.Conn does. Bytes behind a body of a stated length are kept
// back: they belong to the next head.
func (h *headReader) read(p []byte) (int, error) {
	for {
		inHead, bodyLeft := h.position()
		if !inHead && bodyLeft > 0 {
			p = p[:min(int64(len(p)), bodyLeft)]
		}
		switch {
		case h.refused:
			return 0, io.EOF
		// net/http reads a single byte to notice the end of the connection while a handler runs.
		case !inHead || len(p) == 1 && h.passable == 0:
			return h.readBody(p)
		case h.passable > 0:
			n := h.pass(p, h.passable)
			h.passable -= n
			return n, nil
		}
		if n, err := h.readHead(p); n > 0 || err != nil {
			return n, err
		}
	}
}

// readBody reads what is none of a head.
func (h *headReader) readBody(p []byte) (n int, err error) {
	if len(h.pending) > 0 {
		n = h.pass(p, len(h.pending))
	} else {
		n, err = h.conn.readRaw(p)
	}
	h.passed(p[:n])
	return n, err
}

// pass passes on up to n pending bytes.
func (h *headReader) pass(p []byte, n int) int {
	n = copy(p, h.pending[:n])
	h.pending = h.pending[n:]
	if len(h.pending) == 0 {
		h.pending = nil
	}
	h.lineStart, h.searched = max(0, h.lineStart-n), max(0, h.searched-n)
	return n
}

// readHead reads once, unless there are pending bytes that were not searched. A head that arrives
// in one piece is read to p; its length is returned. One that arrives in parts becomes passable
// when it is complete.
func (h *headReader) readHead(p []byte) (n int, err error) {
	if h.size == 0 && len(h.pending) == 0 && !h.reserveRecent() {
		return 0, io.EOF
	}
	data, direct := h.pending, len(h.pending) == 0
	switch {
	case direct:
		n, err = h.conn.readRaw(p)
		data = p[:n]
	case h.searched == len(h.pending):
		h.pending = slices.Grow(h.pending, minRead)
		n, err = h.conn.readRaw(h.pending[len(h.pending):cap(h.pending)])
		h.pending = h.pending[:len(h.pending)+n]
		data = h.pending
	}
	if err != nil {
		return 0, err
	}
	whole := h.findEnd(data)
	if direct {
		rest := data
		if whole {
			rest = data[h.searched:]
		}
		h.pending = append(h.pending, rest...)
	}
	if refusal := h.check(whole); refusal != nil {
		return 0, h.refuse(refusal)
	}
	if !whole {
		return 0, h.limitTime()
	}
	h.unlimitTime()
	if !direct {
		h.passable = h.searched
		return 0, nil
	}
	n = h.searched
	h.lineStart, h.searched = 0, 0
	return n, nil
}

// reserveRecent reserves the memory of a part of a head that net/http may have read with the end of
// a body in chunks, and parsed. The connection of a client that may only be idle gets no response.
func (h *headReader) reserveRecent() bool {
	refusal := h.claim.Resize(max(0, int64(h.recent.lines()*lineCost)-freeHead))
	if refusal != nil {
		h.refused = true
		h.limits.refused(h.conn.RemoteAddr(), refusal)
	}
	return refusal == nil
}

// findEnd searches data, which starts with the pending bytes, for the end of the head, and reports
// whether it is found. A line that is none of a head ends it too: net/http refuses the request.
func (h *headReader) findEnd(data []byte) bool {
	for {
		length := bytes.IndexByte(data[h.searched:], '\n')
		if length < 0 {
			h.size += len(data) - h.searched
			h.searched = len(data)
			return false
		}
		end := h.searched + length + 1
		line := bytes.TrimSuffix(data[h.lineStart:end-1], []byte("\r"))
		h.size += end - h.searched
		h.lineStart, h.searched = end, end
		h.lines++
		if h.endsHead(line) {
			return true
		}
	}
}

// endsHead reports whether the current line, without its line break, is the last one that is read.
func (h *headReader) endsHead(line []byte) bool {
	switch {
	case len(line) == 0:
		return true
	case h.lines == 1:
		return !bytes.Contains(line, []byte(" HTTP/"))
	case line[0] == ' ' || line[0] == '\t':
		return h.lines == 2
	default:
		return !bytes.Contains(line, []byte(":"))
	}
}

// check reserves the memory of the head so far: of the parsed one if it is whole, otherwise of
// the bytes that were read and of the lines that net/http may have parsed.
func (h *headReader) check(whole bool) *outcome.Refusal {
	if limit := h.limits.MaxBytes(); h.size > limit {
		return outcome.Refuse(outcome.TooLarge, "the head of the request is longer than %d bytes", limit)
	}
	cost := headCost(h.lines, h.size)
	if cost > h.limits.Memory.MaxClaim() {
		return outcome.Refuse(outcome.TooLarge, "the head of the request has %d lines, which use too much memory", h.lines)
	}
	if !whole {
		cost = max(0, int64(cap(h.pending)+h.recent.lines()*lineCost)-freeHead)
	}
	return h.claim.Resize(cost)
}

// recentLines counts the lines of at least the last serverBuffer bytes: net/http may hold them in
// its buffer and take them for the beginning of the next head.
type recentLines struct {
	older, newer, newerBytes int
}

func (r *recentLines) add(p []byte) {
	p = p[max(0, len(p)-serverBuffer):]
	if r.newerBytes+len(p) > serverBuffer {
		r.older, r.newer, r.newerBytes = r.newer, 0, 0
	}
	r.newer += bytes.Count(p, []byte("\n"))
	r.newerBytes += len(p)
}

func (r *recentLines) lines() int { return r.older + r.newer }
