package jobs

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/batch"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/extern/partlog"
)

const (
	// gatherResults is how long results are gathered into one append; it is a
	// fraction of the pace at which other daemons read them.
	gatherResults = 100 * time.Millisecond
	// writePause is the pause after a failed append.
	writePause = 200 * time.Millisecond
	// settleTime bounds one try to settle an append.
	settleTime = 5 * time.Second
	// maxRecordBytes bounds one result; the log's records hold 256 KiB with their
	// key.
	maxRecordBytes = 255 << 10
	// maxResultBytes bounds the results of one append.
	maxResultBytes = 1 << 20
)

// entry is a result that waits to be written.
type entry struct {
	job    string
	result batch.Result
	// since is when it began to wait.
	since time.Time
}

func (e *entry) key() itemKey { return itemKey{e.job, e.result.Item} }

// writer writes the results of one partition. Each append demands that the
// partition ends where this daemon has read to, so an item that another daemon
// finished first is seen before a second result could be written.
type writer struct {
	jobs   *Jobs
	cursor *cursor

	mu    sync.Mutex
	queue []entry
	wakes chan struct{}
}

func newWriter(j *Jobs, c *cursor) *writer {
	return &writer{jobs: j, cursor: c, wakes: make(chan struct{}, 1)}
}

// add queues a result. The queue is bounded by the items that run here.
func (w *writer) add(e entry) {
	w.mu.Lock()
	w.queue = append(w.queue, e)
	w.mu.Unlock()
	duty.Wake(w.wakes)
}

// waiting returns a copy of what waits since the given moment or longer.
func (w *writer) waiting(since time.Time) []entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []entry
	for _, e := range w.queue {
		if !e.since.After(since) {
			list = append(list, e)
		}
	}
	return list
}

// remove drops what another daemon has written.
func (w *writer) remove(written map[itemKey]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue = slices.DeleteFunc(w.queue, func(e entry) bool { return written[e.key()] })
}

// empty tells whether everything is written.
func (w *writer) empty() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.queue) == 0
}

// run writes results until ctx is done.
func (w *writer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wakes:
		}
		if !duty.Pause(ctx, gatherResults) {
			return
		}
		for !w.empty() && ctx.Err() == nil {
			if err := w.write(ctx); err != nil {
				w.jobs.Logger.Info("results_not_written", zap.Int("part", w.cursor.partition.Part), zap.Error(err))
				duty.Pause(ctx, writePause)
			}
		}
	}
}

// write appends the head of the queue.
func (w *writer) write(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	at, head, records, err := w.next()
	if err != nil || len(head) == 0 {
		return err
	}
	// What an append without an answer did is seen before the next one.
	_, err = w.jobs.appendAt(ctx, w.cursor, at, records)
	if partlog.IsConflict(err) {
		return w.jobs.catchUp(ctx, w.cursor)
	}
	if err == nil {
		w.jobs.Logger.Info("results_written", zap.Int("part", w.cursor.partition.Part), zap.Int64("at", at), zap.Int("results", len(head)))
	}
	return err
}

// next drops what the book has already and returns the rest's head with the
// offset that it must stand at. Both are taken under one lock: a result that
// is read in between would move the offset and fail the append.
//
// An item's second result in the queue is dropped too. Failure guarded against: it is
// queued by a run here and by a daemon that hands it over, perhaps twice. Two records
// of one item in one append both stand on the log; a host that reads the newest of each
// key then shows the item at another position than before.
func (w *writer) next() (int64, []entry, []partlog.Record, error) {
	w.jobs.mu.Lock()
	defer w.jobs.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	at := w.cursor.position
	if at < 0 {
		return 0, nil, nil, partlog.Unavailable.New("the partition was not read yet")
	}
	var open []entry
	queued := map[itemKey]bool{}
	for _, e := range w.queue {
		known := w.jobs.book.Job(e.job)
		if known != nil && !known.Finished(e.result.Item) && !queued[e.key()] {
			queued[e.key()] = true
			open = append(open, e)
		}
	}
	w.queue = open
	return encodeResults(at, open)
}

func encodeResults(at int64, open []entry) (int64, []entry, []partlog.Record, error) {
	var records []partlog.Record
	size := 0
	for i, e := range open {
		value, err := encodeResult(e.result)
		if err != nil {
			return 0, nil, nil, err
		}
		if size += len(value); size > maxResultBytes && i > 0 {
			break
		}
		records = append(records, partlog.Record{Key: batch.ResultKey(e.job, e.result.Item), Value: value})
	}
	return at, open[:len(records)], records, nil
}

// encodeResult returns the result's record. One that the log can't hold ends as
// errored: written as it is, it would be refused again and again, and hold up
// every result behind it.
func encodeResult(r batch.Result) ([]byte, error) {
	value, err := batch.Encode(r)
	if err != nil || len(value) <= maxRecordBytes {
		return value, err
	}
	return batch.Encode(batch.Result{Item: r.Item, ID: r.ID, State: batch.Errored, Tokens: r.Tokens})
}
