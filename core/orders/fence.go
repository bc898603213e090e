package orders

const (
	// seqBits is how much of a fence counts the orders of one tenure record.
	seqBits = 20
	// MaxSeq is the last sequence number of a tenure record; an issuer that has
	// used it up renews its tenure.
	MaxSeq = 1<<seqBits - 1
	// MaxOffset is the last offset of the orders stream that fits into a fence:
	// 2^44 records, at two a second more than 250,000 years.
	MaxOffset = 1<<(64-seqBits) - 2
)

// Fence returns the fencing number of an order: the offset of the issuer's
// latest tenure record above the order's sequence number.
//
// An engine compares fences with ==, < and > only, and may be moved from one
// model to another, whose issuer is another daemon. So all issuers draw from
// one sequence, the offsets of one stream, which only rise and are never
// reused. The shard's term alone would not do: terms of two shards have no
// order, and an engine moved to a model of a shard with lower terms would
// refuse every order of its rightful issuer.
//
// ok is false when a bound is exceeded: then nothing may be sent.
func Fence(offset int64, seq uint32) (fence uint64, ok bool) {
	if offset < 0 || offset > MaxOffset || seq > MaxSeq {
		return 0, false
	}
	return uint64(offset+1)<<seqBits | uint64(seq), true
}
