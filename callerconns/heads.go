package callerconns

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"tarragonhollow.example/tarragonhollow/bodymemory"
	"tarragonhollow.example/tarragonhollow/core/outcome"
)

const (
	// lineCost and byteCost are the memory in bytes that a line and a byte of a head use at most
	// while the request is parsed, waits and is forwarded: an entry of the header map, its key and
	// its value, all of them in two copies of the header, and the text read and written.
	lineCost, byteCost = 400, 4
	// freeHead is the cost of a head that every connection may have without a share of the common
	// memory. Ordinary requests stay below it, so a full memory does not affect them.
	freeHead = 12 << 10
	// headsReportInterval is the least time between two reports of refused heads.
	headsReportInterval = time.Second
)

// Heads bounds what the heads of requests, from the request line to the empty line, use on all
// connections together.
//
// Failure guarded against: a head of a few thousand short lines uses some fifty times its size
// once it is parsed, for as long as its request waits or runs. Hundreds of connections with such
// heads, each within its limit, exceed the memory of the process.
type Heads struct {
	// Memory is shared by the heads that cost more than freeHead.
	Memory *bodymemory.Memory
	// MaxBytes returns the maximum size of a head as it is received, in bytes.
	MaxBytes func() int
	// Timeout bounds the time from a head's first byte to its end.
	Timeout time.Duration
	// TooLarge and NoMemory count the refused heads.
	TooLarge, NoMemory *metrics.Counter
	// Refused is called at most once in headsReportInterval when heads are refused. It must not
	// block.
	Refused func(HeadsRefused)

	reportedAt atomic.Int64 // nanoseconds since the epoch
}

// HeadsRefused describes refused heads.
type HeadsRefused struct {
	// Caller is the client of the last one, Reason why it was refused.
	Caller net.Addr
	Reason string
	// TooLarge and NoMemory are the totals since the start, HeldBytes is what heads use now.
	TooLarge, NoMemory uint64
	HeldBytes          int64
}

// headCost returns the memory in bytes that a head uses beyond freeHead.
func headCost(lines, size int) int64 {
	return max(0, int64(lines)*lineCost+int64(size)*byteCost-freeHead)
}

// refused counts a refusal and reports it, unless one was reported just before.
func (l *Heads) refused(caller net.Addr, refusal *outcome.Refusal) {
	count := l.NoMemory
	if refusal.Code == outcome.TooLarge {
		count = l.TooLarge
	}
	count.Inc()
	now, reported := time.Now().UnixNano(), l.reportedAt.Load()
	if l.Refused == nil || now-reported < int64(headsReportInterval) || !l.reportedAt.CompareAndSwap(reported, now) {
		return
	}
	l.Refused(HeadsRefused{Caller: caller, Reason: refusal.Message, TooLarge: l.TooLarge.Get(), NoMemory: l.NoMemory.Get(), HeldBytes: l.Memory.Total()})
}

// CountHeads wraps a handler: the memory of a request's head is counted as parsed until the
// request has ended. A request whose head does not fit is refused: it may have arrived in parts
// behind another request, where it is not seen before. Requests have no trailer.
func CountHeads(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(connKey{}).(*stallConn)
		if !ok || conn.head == nil {
			next.ServeHTTP(w, r)
			return
		}
		if refusal := conn.head.parsed(r); refusal != nil {
			writeRefusal(w, refusal)
			return
		}
		r.Body = &bodyWithoutTrailer{r.Body, r}
		next.ServeHTTP(w, r)
	})
}

// bodyWithoutTrailer drops the trailer of its request.
//
// Failure guarded against: a trailer of hundreds of lines that no handler reads is held until the
// request ends.
type bodyWithoutTrailer struct {
	io.ReadCloser
	request *http.Request
}

// Read implements io.Reader.
func (b *bodyWithoutTrailer) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.request.Trailer = nil
	}
	return n, err
}

// sizeOf returns the number of lines of a head, the request line included, and their size.
func sizeOf(r *http.Request) (lines, size int) {
	lines, size = 1, len(r.RequestURI)
	for name, values := range r.Header {
		for _, value := range values {
			lines++
			size += len(name) + len(value)
		}
	}
	return lines, size
}
