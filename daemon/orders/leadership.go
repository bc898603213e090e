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

// Tenure is a period in which this daemon issues the orders for the models of a shard.
type Tenure struct {
	// Term is the ledger's term of the shard.
	Term uint64
	// Offset is the offset of the latest tenure record on the orders stream. Fencing
	// numbers are derived from it.
	Offset int64
	// From is when the tenure of a predecessor has certainly expired. Before it, targets
	// that ignore the fencing number get no order.
	From time.Time
	// Until is when the tenure expires unless it is renewed.
	Until time.Time
}

// Leadership determines for which shards this daemon issues the orders.
type Leadership interface {
	// Held reports whether this daemon holds the shard according to the records that it
	// has read. The result only determines which daemon should try; it is no protection
	// against two issuers.
	Held(shard int) bool
	// Tenure returns a tenure that has a good part of its time left. renew requests a new
	// record, and thus a higher fencing number, in any case. Errors are of type NotIssuer
	// or Unproven.
	Tenure(ctx context.Context, shard int, renew bool) (Tenure, error)
}

const (
	// Stream is the log stream of tenure records.
	Stream = "orders"
	// DefaultLease is how long one tenure record permits orders.
	DefaultLease = 10 * time.Second
	// marginDivisor sets the margin for which a successor waits in addition to the lease:
	// a fifth of the lease, since clock rates may differ by up to a fifth.
	marginDivisor = 5
	// renewDivisor sets when a tenure is renewed: after half of the lease.
	renewDivisor = 2
	readBytes    = 256 << 10
	readWait     = 200 * time.Millisecond
)

// LogLeadership proves tenures by records on the orders stream.
//
// Two issuers never act at the same time, even for a target that ignores fencing numbers,
// for these reasons. An issuer acts until sent+lease, where sent is the time at which it
// STARTED to append a record that it has read back as valid. A successor's first record has
// a higher term, so every record that the old issuer appends after it is void. The records
// on which the old issuer may act were therefore appended to the log before the successor's
// record, and sent before that, so they expire less than a lease after the successor's
// record was appended. The successor waits for a lease and the margin from the time at which
// it READ its record, which is after the append. No two clocks are compared; only their
// rates have to agree, within the fifth that marginDivisor allows.
//
// One window remains: between the last check of the clock and the arrival at the target the
// process may be paused, or the host's network may delay the bytes. An order sent within the
// tenure can thus take effect after it. The connection's deadline is the end of the tenure,
// which closes the window for everything that the process itself still does. An order that
// takes longer is logged as order_outlived_tenure. A target that checks fencing numbers has
// no window once it has received the successor's number.
type LogLeadership struct {
	opt     LeadershipOptions
	lease   time.Duration
	mu      sync.Mutex
	claims  *orders.Claims
	tenures map[int]Tenure
}

// LeadershipOptions configure a LogLeadership.
type LeadershipOptions struct {
	// Holds returns the ledger shards that this daemon holds; required.
	Holds func() []membership.ShardHold
	// Self is this daemon's incarnation id; required.
	Self string
	// Log is the platform's log; required.
	Log extern.Log
	// Lease is how long one tenure record permits orders; default DefaultLease.
	Lease time.Duration
	// Clock returns the time with a monotonic reading; default time.Now.
	Clock func() time.Time
}

// NewLogLeadership returns a LogLeadership. It fails with BadOptions if a required option
// is missing.
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
	return &LogLeadership{opt: o, lease: o.Lease, claims: orders.NewClaims(), tenures: make(map[int]Tenure)}, nil
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

// Tenure implements Leadership. It appends at most one record, and none while more than half
// of the lease is left, unless renew is set or the term has changed.
func (l *LogLeadership) Tenure(ctx context.Context, shard int, renew bool) (Tenure, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	term, ok := l.term(shard)
	if !ok {
		delete(l.tenures, shard)
		return Tenure{}, NotIssuer.New("this daemon does not hold shard %d", shard)
	}
	current, known := l.tenures[shard]
	fresh := l.opt.Clock().Add(l.lease / renewDivisor).Before(current.Until)
	if known && current.Term == term && fresh && !renew {
		return current, nil
	}
	return l.renew(ctx, shard, term)
}

// renew appends a tenure record and reads it back.
func (l *LogLeadership) renew(ctx context.Context, shard int, term uint64) (Tenure, error) {
	claim := orders.Claim{Shard: shard, Term: term, Holder: l.opt.Self, ID: uuid.NewString()}
	data, err := json.Marshal(claim)
	if err != nil {
		return Tenure{}, Unproven.Wrap(err, "encode tenure record")
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
		delete(l.tenures, shard)
		return Tenure{}, NotIssuer.New("shard %d has an issuer in a later term than %d", shard, term)
	}
	t := Tenure{Term: term, Offset: offset, From: l.validFrom(shard, term), Until: sent.Add(l.lease)}
	l.tenures[shard] = t
	return t, nil
}

// validFrom returns when orders to targets that ignore fencing numbers may begin. It is
// determined once per term, after the term's first record was read.
func (l *LogLeadership) validFrom(shard int, term uint64) time.Time {
	if current, ok := l.tenures[shard]; ok && current.Term == term {
		return current.From
	}
	read := l.opt.Clock()
	if !l.claims.Replaced(shard) {
		return read
	}
	return read.Add(l.lease + l.lease/marginDivisor)
}

// readBack applies the stream's records up to the one with the given id. If the response to
// an append was lost and the record is not found before the current end of the stream, the
// record may still be appended later; no tenure is based on it then.
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
	return 0, false, Unproven.New("the tenure record was not found on %s", Stream)
}
