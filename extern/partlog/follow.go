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
	// Heard is told how each call ended.
	Heard(err error)
}

// Pace sets how often a partition is read.
type Pace struct {
	// Wait is how long a read waits for records.
	Wait time.Duration
	// Gather is the pause after each read that brought records, so that a busy
	// partition is read in few calls.
	Gather time.Duration
}

// Follow loads the partition and then keeps the reader up to date until ctx is
// done.
func Follow(ctx context.Context, log Log, p Partition, pace Pace, r Reader) {
	pause := firstPause
	for ctx.Err() == nil {
		news, err := step(ctx, log, p, pace, r)
		if ctx.Err() != nil {
			return
		}
		r.Heard(err)
		switch {
		case err != nil:
			sleep(ctx, pause/2+rand.N(pause/2+1))
			pause = min(2*pause, longestPause)
		case news:
			pause = firstPause
			sleep(ctx, pace.Gather)
		default:
			pause = firstPause
		}
	}
}

// step makes one call, or loads the partition.
func step(ctx context.Context, log Log, p Partition, pace Pace, r Reader) (bool, error) {
	from := r.Position()
	if from < 0 {
		return true, Load(ctx, log, p, r)
	}
	page, err := log.Read(ctx, p, from, pace.Wait)
	if IsExpired(err) {
		return true, Load(ctx, log, p, r)
	}
	if err != nil {
		return false, err
	}
	r.Take(page)
	return len(page.Records) > 0, nil
}

// Load reads the newest record of every key into the reader. The pages are no
// snapshot: what was appended after the first one is left out here and read
// from the end that the first page told.
func Load(ctx context.Context, log Log, p Partition, r Reader) error {
	var records []Kept
	end, after := int64(-1), ""
	for {
		page, err := log.Newest(ctx, p, after)
		if err != nil {
			return err
		}
		if end < 0 {
			end = page.End
		}
		for _, k := range page.Records {
			if k.Offset < end {
				records = append(records, k)
			}
			after = k.Key
		}
		if !page.More || len(page.Records) == 0 {
			break
		}
	}
	slices.SortFunc(records, func(a, b Kept) int { return cmp.Compare(a.Offset, b.Offset) })
	r.Load(records, end)
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
