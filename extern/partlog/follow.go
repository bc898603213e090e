package partlog

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// firstPause and longestPause bound the pause after a failed call. The first
	// is near a call's own time; the longest keeps a fleet that waits for the log
	// from using up its rate, and lies well within the second in which a change
	// has to be seen.
	firstPause   = 50 * time.Millisecond
	longestPause = 400 * time.Millisecond
)

// Reader takes what Follow reads of one partition. Its methods are called by
// one goroutine.
type Reader interface {
	// Position is the offset of the next record wanted, negative if nothing was
	// loaded yet.
	Position() int64
	// Load takes the newest record of each key, in log order, as of end.
	Load(records []Kept, end int64)
	// Take takes the records that follow.
	Take(page Page)
	// Heard is told how each call ended. What lies before Position is all that the
	// partition held at the moment asOf, which is zero if the call failed or more is
	// known to follow.
	Heard(asOf time.Time, err error)
}

// Pace sets how often a partition is read.
type Pace struct {
	// Wait is how long a read waits for records.
	Wait time.Duration
	// Gather is the pause after each read that brought records, so that a busy
	// partition is read in few calls.
	Gather time.Duration
	// LongestPause bounds the pause after failed calls; 0 stands for a pause within which
	// a change has to be seen.
	LongestPause time.Duration
}

// Follow loads the partition and then keeps the reader up to date until ctx is
// done.
func Follow(ctx context.Context, log Log, p Partition, pace Pace, r Reader) {
	if pace.LongestPause <= 0 {
		pace.LongestPause = longestPause
	}
	f := follower{log: log, partition: p, pace: pace, reader: r}
	pause := firstPause
	for ctx.Err() == nil {
		news, asOf, err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		r.Heard(asOf, err)
		f.failed = err != nil
		switch {
		case err != nil:
			sleep(ctx, pause/2+rand.N(pause/2+1))
			pause = min(2*pause, pace.LongestPause)
		case news:
			pause = firstPause
			sleep(ctx, pace.Gather)
		default:
			pause = firstPause
		}
	}
}

// follower is one Follow.
type follower struct {
	log       Log
	partition Partition
	pace      Pace
	reader    Reader
	// loading is the load that a failed call interrupted, if any.
	loading *loader
	// failed tells that the last call failed.
	failed bool
}

// step makes one call, or loads the partition. What a first load gave may be
// seconds old, so it counts as no news and no pause follows it.
func (f *follower) step(ctx context.Context) (news bool, asOf time.Time, err error) {
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
	f.reader.Take(page)
	if page.Next >= page.End {
		asOf = page.At
	}
	return len(page.Records) > 0, asOf, nil
}

// read reads what follows. After a failed call it does not wait for records: that
// the log is back shows at once, and not only when there is news.
//
// Failure guarded against: what lapsed or changed while the log was away is judged by
// when it came back; a second late, a target that left meanwhile gets work for a
// second too long.
func (f *follower) read(ctx context.Context, from int64) (Page, error) {
	wait := f.pace.Wait
	if f.failed {
		wait = 0
	}
	return f.log.Read(ctx, f.partition, from, wait)
}

// load begins a load or goes on with the interrupted one.
func (f *follower) load(ctx context.Context) (asOf time.Time, err error) {
	if f.loading == nil {
		f.loading = newLoader(f.partition)
	}
	if err := f.loading.run(ctx, f.log); err != nil {
		return time.Time{}, err
	}
	f.loading.give(f.reader)
	asOf, f.loading = f.loading.at, nil
	return asOf, nil
}

// Load reads the newest record of every key into the reader.
func Load(ctx context.Context, log Log, p Partition, r Reader) error {
	l := newLoader(p)
	if err := l.run(ctx, log); err != nil {
		return err
	}
	l.give(r)
	return nil
}

// loader reads the newest record of every key. The pages are no snapshot: what
// was appended after the first one is left out here and read from the end that
// the first page told. So a load may take as long as it needs.
//
// Failure guarded against: after a loss of power all hosts load at once, and
// the log's rate refuses a part of the calls. A load that begins anew at each
// refusal hardly ever ends if it has many pages, and its calls take the rate
// from the others: run goes on behind the last page that was read.
type loader struct {
	partition Partition
	// end is the partition's end as the first page told, and at when that page came.
	end     int64
	at      time.Time
	after   string
	records []Kept
}

func newLoader(p Partition) *loader { return &loader{partition: p, end: -1} }

// run reads to the last page. After an error it can be run again.
func (l *loader) run(ctx context.Context, log Log) error {
	for {
		page, err := log.Newest(ctx, l.partition, l.after)
		if err != nil {
			return err
		}
		before := l.after
		l.add(page)
		// A page behind which the next one can't be asked for is the last: keys that
		// can't be read must not make a load go round for ever.
		if !page.More || l.after == before {
			return nil
		}
	}
}

func (l *loader) add(page NewestPage) {
	if l.end < 0 {
		l.end, l.at = page.End, page.At
	}
	for _, k := range page.Records {
		if k.Offset < l.end {
			l.records = append(l.records, k)
		}
		l.after = max(l.after, k.Key)
	}
}

// give hands the records over in log order.
func (l *loader) give(r Reader) {
	slices.SortFunc(l.records, func(a, b Kept) int { return cmp.Compare(a.Offset, b.Offset) })
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
