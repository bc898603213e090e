package front

import (
	"net/http"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/bodymemory"
	"tarragonhollow.example/tarragonhollow/callerconns"
)

const (
	// headBytesPerHeaderByte is the largest size of a head, as it is received, for each byte of
	// names and values that the configuration allows: the shortest line takes four bytes, of which
	// one counts, and the request line may be as long as all names and values.
	headBytesPerHeaderByte = 5
	// minHeadBytes is the least limit of a head, in bytes.
	minHeadBytes = 8 << 10
)

// callerHeads returns the bounds of the heads of callers' requests.
func (n *Node) callerHeads() *callerconns.Heads {
	memory := bodymemory.New(n.Settings.HeadBytes())
	n.Metrics.GetOrCreateGauge("tarragonhollow_http_head_memory_bytes", func() float64 { return float64(memory.Total()) })
	return n.newHeads(memory, n.maxHeadBytes)
}

// boundAnswerHeads bounds what the heads of targets' answers use, beside those of requests.
func (n *Node) boundAnswerHeads() {
	n.pool.HeadMemory = bodymemory.New(n.Settings.HeadBytes())
	n.Metrics.GetOrCreateGauge("tarragonhollow_answer_head_memory_bytes", func() float64 { return float64(n.pool.HeadMemory.Total()) })
}

func (n *Node) newHeads(memory *bodymemory.Memory, maxBytes func() int) *callerconns.Heads {
	return &callerconns.Heads{
		Memory: memory, MaxBytes: maxBytes, Timeout: headerTimeout,
		TooLarge: n.Metrics.GetOrCreateCounter(`tarragonhollow_http_heads_refused_total{cause="size"}`),
		NoMemory: n.Metrics.GetOrCreateCounter(`tarragonhollow_http_heads_refused_total{cause="memory"}`),
		Refused: func(r callerconns.HeadsRefused) {
			n.Logger.Warn("heads_refused", zap.Stringer("caller_address", r.Caller), zap.String("reason", r.Reason),
				zap.Uint64("too_large", r.TooLarge), zap.Uint64("no_memory", r.NoMemory), zap.Int64("held_bytes", r.HeldBytes))
		},
	}
}

// maxHeadBytes returns the maximum size of a request's head as it is received, in bytes. The
// configuration's own limit is checked when the head is parsed.
func (n *Node) maxHeadBytes() int {
	table := n.Configuration.Routes()
	if table == nil || table.Limits.MaxHeaderBytes <= 0 {
		return http.DefaultMaxHeaderBytes
	}
	return max(minHeadBytes, min(headBytesPerHeaderByte*table.Limits.MaxHeaderBytes, http.DefaultMaxHeaderBytes))
}
