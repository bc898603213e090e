package orders

const (
	// seqBits is the number of bits of a fence that count the orders of one tenure record.
	seqBits = 20
	// MaxSeq is the last sequence number of a tenure record; an issuer that has used it
	// renews its tenure.
	MaxSeq = 1<<seqBits - 1
	// MaxOffset is the last offset of the orders stream that fits into a fence: 2^44
	// records, which at two per second last for more than 250,000 years.
	MaxOffset = 1<<(64-seqBits) - 2
)

// Fence returns the fencing number of an order: the offset of the issuer's latest tenure
// record in the high bits and the order's sequence number in the low bits.
//
// An engine compares fences only with ==, < and >, and may be moved from one model to
// another, whose issuer is another daemon. Therefore all issuers take their numbers from
// one sequence, the offsets of one stream, which only rise and are never reused. The
// shard's term alone is not sufficient: terms of different shards are not ordered, and an
// engine moved to a model of a shard with lower terms would refuse every order of the
// current issuer.
//
// ok is false if a bound is exceeded; no order may be sent then.
func Fence(offset int64, seq uint32) (fence uint64, ok bool) {
	if offset < 0 || offset > MaxOffset || seq > MaxSeq {
		return 0, false
	}
	return uint64(offset+1)<<seqBits | uint64(seq), true
}
