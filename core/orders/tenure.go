package orders

// Claim is one tenure record on the orders stream: the holder of a shard says
// that it gives the orders to the models of that shard.
type Claim struct {
	// Shard and Term are those of the ledger's shard.
	Shard int    `json:"shard"`
	Term  uint64 `json:"term"`
	// Holder is the daemon's incarnation id.
	Holder string `json:"holder"`
	// ID names this record, so that its writer finds it after a lost answer.
	ID string `json:"id"`
}

// Claims folds the orders stream: which issuer a shard has. Two daemons that
// have folded the same offset agree.
type Claims struct {
	next   int64
	shards map[int]issuer
}

type issuer struct {
	term   uint64
	holder string
	// replaced tells that an issuer before this one is known.
	replaced bool
}

// NewClaims returns the fold of an empty stream.
func NewClaims() *Claims { return &Claims{shards: make(map[int]issuer)} }

// Next is the offset to read from.
func (c *Claims) Next() int64 { return c.next }

// Skip notes that an offset holds no readable claim.
func (c *Claims) Skip(offset int64) { c.next = offset + 1 }

// Apply folds the record at an offset and tells whether it is valid: whether
// its writer is the issuer from here on. A record of an older term is void,
// and of two holders that both name one term, which a ledger never grants, the
// first stays.
//
// Failure guarded against: a holder that was paused wakes and wants to go on.
// It shows as a record with an old term behind a newer one. It is void at every
// reader, its writer included, which therefore stops for good.
func (c *Claims) Apply(offset int64, claim Claim) bool {
	c.next = offset + 1
	now, known := c.shards[claim.Shard]
	switch {
	case !known, claim.Term > now.term:
		c.shards[claim.Shard] = issuer{term: claim.Term, holder: claim.Holder, replaced: known}
		return true
	default:
		return claim.Term == now.term && claim.Holder == now.holder
	}
}

// Replaced tells whether the shard's issuer follows another one that the stream
// still shows. One that it does not show any more has had no valid record for
// as long as the log keeps records, which is far longer than a tenure.
func (c *Claims) Replaced(shard int) bool { return c.shards[shard].replaced }
