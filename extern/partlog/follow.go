package partlog

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// initialBackoff and maxBackoff bound the pause after a failed call. The initial
	// backoff is about the duration of a call. The maximum keeps a fleet that waits for
	// the log from using up its rate limit, and is well below the one second within
	// which a change has to be seen.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 400 * time.Millisecond
)

// Reader consumes what Follow reads from one partition. Its methods are called from a
// single goroutine.
type Reader interface {
	// Position returns the offset of the next record to read, negative if nothing has
	// been loaded yet.
	Position() int64
	// Load replaces the reader's state by the newest record of each key, in log order,
	// as of the offset end.
	Load(records []StoredRecord, end int64)
	// Apply applies the records that follow.
	Apply(page Page)
	// CallEnded is called after each call with its error. The records before Position
	// are all that the partition contained at the time asOf, which is zero if the call
	// failed or more records are known to follow.
	CallEnded(asOf time.Time, err error)
}

// ReadOptions sets how often a partition is read.
type ReadOptions struct {
	// Wait is how long a read waits for records.
	Wait time.Duration
	// Linger is the pause after each read that returned records, so that a busy
	// partition is read in few calls.
	Linger time.Duration
	// MaxBackoff bounds the pause after failed calls; 0 means a default that is below the
	// one second within which a change has to be seen.
	MaxBackoff time.Duration
}

// Follow loads the partition into r and then keeps r up to date until ctx is done.
func Follow(ctx context.Context, log Log, p Partition, opts ReadOptions, r Reader) {
	if opts.MaxBackoff <= 0 {
		opts.MaxBackoff = maxBackoff
	}
	f := follower{log: log, partition: p, opts: opts, reader: r}
	backoff := initialBackoff
	for ctx.Err() == nil {
		received, asOf, err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		r.CallEnded(asOf, err)
		f.failed = err != nil
		switch {
		case err != nil:
			sleep(ctx, backoff/2+rand.N(backoff/2+1))
			backoff = min(2*backoff, opts.MaxBackoff)
		case received:
			backoff = initialBackoff
			sleep(ctx, opts.Linger)
		default:
			backoff = initialBackoff
		}
	}
}

// follower is the state of one call of Follow.
type follower struct {
	log       Log
	partition Partition
	opts      ReadOptions
	reader    Reader
	// loading is the load that a failed call interrupted, nil if there is none.
	loading *loader
	// failed reports whether the last call failed.
	failed bool
}

// step makes one read, or loads the partition. received reports whether the read
// returned records, after which Follow pauses. The records of a first load may be
// seconds old, so it returns false for them and Follow reads on without a pause.
func (f *follower) step(ctx context.Context) (received bool, asOf time.Time, err error) {
	from := f.reader.Position()
	if from < 0 || f.loading != nil {
		asOf, err = f.load(ctx)
		return false, asOf, err
	}
	page, err := f.read(ctx, from)
	if IsExpired(err) {
		asOf, err = f.load(ctx)
		return true, asOf, err
	}
	if err != nil {
		return false, time.Time{}, err
	}
	f.reader.Apply(page)
	if page.Next >= page.End {
		asOf = page.At
	}
	return len(page.Records) > 0, asOf, nil
}

// read reads the records that follow. After a failed call it does not wait for new
// records, so that the reader learns at once, rather than with the next record, that
// the log is available again.
//
// Failure guarded against: what expired or changed during an outage of the log is
// judged by when the log came back. If that is noticed a second late, a target that
// left during the outage gets work for a second too long.
func (f *follower) read(ctx context.Context, from int64) (Page, error) {
	wait := f.opts.Wait
	if f.failed {
		wait = 0
	}
	return f.log.Read(ctx, f.partition, from, wait)
}

// load starts a load or resumes the interrupted one.
func (f *follower) load(ctx context.Context) (asOf time.Time, err error) {
	if f.loading == nil {
		f.loading = newLoader(f.partition)
	}
	if err := f.loading.run(ctx, f.log); err != nil {
		return time.Time{}, err
	}
	f.loading.deliver(f.reader)
	asOf, f.loading = f.loading.at, nil
	return asOf, nil
}

// Load reads the newest record of every key into the reader.
func Load(ctx context.Context, log Log, p Partition, r Reader) error {
	l := newLoader(p)
	if err := l.run(ctx, log); err != nil {
		return err
	}
	l.deliver(r)
	return nil
}

// loader reads the newest record of every key. The pages are not a consistent snapshot:
// records appended after the first page was read are skipped here and read afterwards,
// from the partition end that the first page returned. A load may therefore take any
// amount of time.
//
// Failure guarded against: after a power loss all hosts load at once, and the log's
// rate limit refuses some of the calls. A load of many pages that restarted at each
// refusal would hardly ever finish, and its calls would use up the rate limit of the
// others. run therefore resumes after the last page that was read.
type loader struct {
	partition Partition
	// end is the partition's end according to the first page, and at is when that page
	// was received.
	end     int64
	at      time.Time
	after   string
	records []StoredRecord
}

func newLoader(p Partition) *loader { return &loader{partition: p, end: -1} }

// run reads up to the last page. It can be called again after an error.
func (l *loader) run(ctx context.Context, log Log) error {
	for {
		page, err := log.Newest(ctx, l.partition, l.after)
		if err != nil {
			return err
		}
		before := l.after
		l.add(page)
		// A page that does not advance the key is treated as the last one, since the
		// next page could not be requested: unreadable keys must not make a load loop
		// forever.
		if !page.More || l.after == before {
			return nil
		}
	}
}

func (l *loader) add(page NewestPage) {
	if l.end < 0 {
		l.end, l.at = page.End, page.At
	}
	for _, record := range page.Records {
		if record.Offset < l.end {
			l.records = append(l.records, record)
		}
		l.after = max(l.after, record.Key)
	}
}

// deliver loads the records into r in log order.
func (l *loader) deliver(r Reader) {
	slices.SortFunc(l.records, func(a, b StoredRecord) int { return cmp.Compare(a.Offset, b.Offset) })
	r.Load(l.records, l.end)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
