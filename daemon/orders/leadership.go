package orders

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/google/uuid"

	"tarragonhollow.example/tarragonhollow/core/membership"
	"tarragonhollow.example/tarragonhollow/core/orders"
	"tarragonhollow.example/tarragonhollow/extern"
)

// Tenure is the time in which this daemon gives the orders to a shard's models.
type Tenure struct {
	// Term is the ledger's term of the shard.
	Term uint64
	// Offset is the latest tenure record's place on the orders stream; fencing
	// numbers come from it.
	Offset int64
	// From is when a predecessor's time has certainly run out: before it,
	// targets that ignore the fencing number get no order.
	From time.Time
	// Until is when this daemon must have renewed.
	Until time.Time
}

// Leadership tells for which shards this daemon gives the orders.
type Leadership interface {
	// Held tells whether this daemon holds the shard as far as it has read. It
	// says who should try, and protects nothing.
	Held(shard int) bool
	// Tenure returns a tenure that has a good part of its time left. renew asks
	// for a new record, and thus a higher fencing number, in any case. Errors
	// are NotIssuer and Unproven.
	Tenure(ctx context.Context, shard int, renew bool) (Tenure, error)
}

const (
	// Stream is the log stream of tenure records.
	Stream = "orders"
	// DefaultLease is how long one record allows orders.
	DefaultLease = 10 * time.Second
	// marginShare is the part of the lease that a successor waits longer, for
	// clocks that run at different rates: they may differ by a fifth.
	marginShare = 5
	// renewShare is the part of the lease after which it is renewed.
	renewShare = 2
	readBytes  = 256 << 10
	readWait   = 200 * time.Millisecond
)

// LogLeadership proves tenures by records on the orders stream.
//
// Why two issuers cannot act at once, for a target that ignores fencing
// numbers: an issuer acts until sent+lease, where sent is when it BEGAN to
// append a record that it has read back as valid. A successor's first record has
// a higher term, so every record that the old issuer appends behind it is void.
// The records on which the old issuer may act therefore landed before the
// successor's, and were begun before that; so they end before landed+lease. The
// successor waits from when it READ its record, after it landed, for a lease and
// the margin. No two clocks are compared; only their rates have to agree, to
// within marginShare.
//
// The remaining window: the process is paused, or the host's network holds the
// bytes, between the last look at the clock and the arrival at the target. An
// order sent within the tenure can thus take effect after it. The connection's
// deadline is the tenure's end, which closes the window for everything that the
// process itself still does; what lasts longer is logged as
// order_outlived_tenure. A target that checks fencing numbers has no window once
// it has seen the successor's.
type LogLeadership struct {
	opt    LeadershipOptions
	lease  time.Duration
	mu     sync.Mutex
	claims *orders.Claims
	held   map[int]Tenure
}

// LeadershipOptions configure a LogLeadership.
type LeadershipOptions struct {
	// Holds lists the ledger shards that this daemon holds; required.
	Holds func() []membership.ShardHold
	// Self is this daemon's incarnation id; required.
	Self string
	// Log is the platform's log; required.
	Log extern.Log
	// Lease is how long one record allows orders; default DefaultLease.
	Lease time.Duration
	// Clock returns the time with a monotonic reading; default time.Now.
	Clock func() time.Time
}

// NewLogLeadership validates the options.
func NewLogLeadership(o LeadershipOptions) (*LogLeadership, error) {
	if o.Holds == nil || o.Self == "" || o.Log == nil {
		return nil, BadOptions.New("Holds, Self and Log are required")
	}
	if o.Lease <= 0 {
		o.Lease = DefaultLease
	}
	if o.Clock == nil {
		o.Clock = time.Now
	}
	return &LogLeadership{opt: o, lease: o.Lease, claims: orders.NewClaims(), held: make(map[int]Tenure)}, nil
}

// Held implements Leadership.
func (l *LogLeadership) Held(shard int) bool {
	_, ok := l.term(shard)
	return ok
}

func (l *LogLeadership) term(shard int) (uint64, bool) {
	for _, h := range l.opt.Holds() {
		if h.Shard == shard {
			return h.Term, true
		}
	}
	return 0, false
}

// Tenure implements Leadership. It appends at most one record, and none while
// more than half of the lease is left.
func (l *LogLeadership) Tenure(ctx context.Context, shard int, renew bool) (Tenure, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	term, ok := l.term(shard)
	if !ok {
		delete(l.held, shard)
		return Tenure{}, NotIssuer.New("shard %d is not held here", shard)
	}
	now, known := l.held[shard]
	fresh := l.opt.Clock().Add(l.lease / renewShare).Before(now.Until)
	if known && now.Term == term && fresh && !renew {
		return now, nil
	}
	return l.renew(ctx, shard, term)
}

// renew appends a record and reads it back.
func (l *LogLeadership) renew(ctx context.Context, shard int, term uint64) (Tenure, error) {
	claim := orders.Claim{Shard: shard, Term: term, Holder: l.opt.Self, ID: uuid.NewString()}
	data, err := json.Marshal(claim)
	if err != nil {
		return Tenure{}, Unproven.Wrap(err, "tenure record")
	}
	sent := l.opt.Clock()
	_, err = l.opt.Log.Append(ctx, Stream, data)
	if err != nil && !extern.IsUnknown(err) {
		return Tenure{}, Unproven.Wrap(err, "append to %s", Stream)
	}
	offset, valid, err := l.readBack(ctx, claim.ID)
	if err != nil {
		return Tenure{}, err
	}
	if !valid {
		delete(l.held, shard)
		return Tenure{}, NotIssuer.New("shard %d has an issuer in a later term than %d", shard, term)
	}
	t := Tenure{Term: term, Offset: offset, From: l.from(shard, term), Until: sent.Add(l.lease)}
	l.held[shard] = t
	return t, nil
}

// from returns when orders to targets that ignore fencing numbers may begin.
// Once in a term it is worked out, after its first record was read.
func (l *LogLeadership) from(shard int, term uint64) time.Time {
	if now, ok := l.held[shard]; ok && now.Term == term {
		return now.From
	}
	read := l.opt.Clock()
	if !l.claims.Replaced(shard) {
		return read
	}
	return read.Add(l.lease + l.lease/marginShare)
}

// readBack folds the stream up to the record named id. A record whose answer
// was lost and that is not there by the stream's end of now may still land
// later; nothing rests on it then.
func (l *LogLeadership) readBack(ctx context.Context, id string) (offset int64, valid bool, err error) {
	_, end, err := l.opt.Log.Bounds(ctx, Stream)
	if err != nil {
		return 0, false, Unproven.Wrap(err, "bounds of %s", Stream)
	}
	for l.claims.Next() < end {
		page, err := l.opt.Log.Read(ctx, Stream, l.claims.Next(), readBytes, readWait)
		if err != nil {
			return 0, false, Unproven.Wrap(err, "read %s", Stream)
		}
		if len(page.Records) == 0 {
			break
		}
		found := false
		for _, r := range page.Records {
			var claim orders.Claim
			if json.Unmarshal(r.Data, &claim) != nil {
				l.claims.Skip(r.Offset)
				continue
			}
			ok := l.claims.Apply(r.Offset, claim)
			if claim.ID == id {
				found, offset, valid = true, r.Offset, ok
			}
		}
		if found {
			return offset, valid, nil
		}
	}
	return 0, false, Unproven.New("the record is not on %s", Stream)
}
