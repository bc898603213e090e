package orders

// Claim is one tenure record on the orders stream: the holder of a shard claims to be the
// issuer of the orders for that shard's models.
type Claim struct {
	// Shard and Term are those of the shard in the ledger.
	Shard int    `json:"shard"`
	Term  uint64 `json:"term"`
	// Holder is the daemon's incarnation id.
	Holder string `json:"holder"`
	// ID identifies this record, so that its writer can find it if the answer to its
	// append was lost.
	ID string `json:"id"`
}

// Claims derives the issuer of each shard from the orders stream. Daemons that have applied
// the stream up to the same offset agree.
type Claims struct {
	next   int64
	shards map[int]issuer
}

type issuer struct {
	term   uint64
	holder string
	// replaced reports whether an issuer before this one is known.
	replaced bool
}

// NewClaims returns the state of an empty stream.
func NewClaims() *Claims { return &Claims{shards: make(map[int]issuer)} }

// Next returns the offset to read next.
func (c *Claims) Next() int64 { return c.next }

// Skip advances past an offset that holds no readable claim.
func (c *Claims) Skip(offset int64) { c.next = offset + 1 }

// Apply applies the record at an offset and reports whether it is valid, that is, whether
// its writer is the issuer from this offset on. A record with an older term is invalid. If
// two holders claim the same term, which the ledger never grants, the first one is valid.
//
// Failure guarded against: a holder resumes after a pause and continues to issue orders
// although it was replaced. Its record has an older term than an earlier record. It is
// invalid at every reader including its writer, which therefore stops permanently.
func (c *Claims) Apply(offset int64, claim Claim) bool {
	c.next = offset + 1
	current, known := c.shards[claim.Shard]
	switch {
	case !known, claim.Term > current.term:
		c.shards[claim.Shard] = issuer{term: claim.Term, holder: claim.Holder, replaced: known}
		return true
	default:
		return claim.Term == current.term && claim.Holder == current.holder
	}
}

// Replaced reports whether the shard's issuer replaced another one that is still on the
// stream. An issuer that is no longer on the stream has written no valid record within the
// log's retention time, which is far longer than a tenure.
func (c *Claims) Replaced(shard int) bool { return c.shards[shard].replaced }
