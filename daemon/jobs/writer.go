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
	// resultLinger is how long results are batched up for one append, a fraction of the
	// interval at which other daemons read them.
	resultLinger = 100 * time.Millisecond
	// writeRetryPause is the pause after a failed append.
	writeRetryPause = 200 * time.Millisecond
	// resolveTimeout bounds one attempt to write results, until the append's outcome is
	// known.
	resolveTimeout = 5 * time.Second
	// maxRecordBytes bounds one result; the log's records hold 256 KiB including their
	// key.
	maxRecordBytes = 255 << 10
	// maxResultBytes bounds the results of one append.
	maxResultBytes = 1 << 20
)

// queuedResult is a result that waits to be written.
type queuedResult struct {
	job    string
	result batch.Result
	// queuedAt is when it was queued.
	queuedAt time.Time
}

func (e *queuedResult) key() itemKey { return itemKey{e.job, e.result.Item} }

// writer writes the results of one partition. Each append requires that the partition
// ends where this daemon has read to, so the result of an item that another daemon
// finished first is seen before a second one could be written.
type writer struct {
	jobs   *Jobs
	cursor *cursor

	mu    sync.Mutex
	queue []queuedResult
	wakes chan struct{}
}

func newWriter(j *Jobs, c *cursor) *writer {
	return &writer{jobs: j, cursor: c, wakes: make(chan struct{}, 1)}
}

// add queues a result. The queue is bounded by the items that run here.
func (w *writer) add(e queuedResult) {
	w.mu.Lock()
	w.queue = append(w.queue, e)
	w.mu.Unlock()
	duty.Wake(w.wakes)
}

// waiting returns a copy of the results that were queued at or before the given time.
func (w *writer) waiting(queuedBy time.Time) []queuedResult {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []queuedResult
	for _, e := range w.queue {
		if !e.queuedAt.After(queuedBy) {
			list = append(list, e)
		}
	}
	return list
}

// remove drops the results that another daemon has written.
func (w *writer) remove(written map[itemKey]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue = slices.DeleteFunc(w.queue, func(e queuedResult) bool { return written[e.key()] })
}

// empty reports whether everything is written.
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
		if !duty.Pause(ctx, resultLinger) {
			return
		}
		for !w.empty() && ctx.Err() == nil {
			if err := w.write(ctx); err != nil {
				w.jobs.Logger.Info("results_not_written", zap.Int("part", w.cursor.partition.Part), zap.Error(err))
				duty.Pause(ctx, writeRetryPause)
			}
		}
	}
}

// write appends the head of the queue.
func (w *writer) write(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	at, head, records, err := w.next()
	if err != nil || len(head) == 0 {
		return err
	}
	// If the append gets no answer, its effect is read before the next one.
	_, err = w.jobs.appendAt(ctx, w.cursor, at, records)
	if partlog.IsConflict(err) {
		return w.jobs.catchUp(ctx, w.cursor)
	}
	if err == nil {
		w.jobs.Logger.Info("results_written", zap.Int("part", w.cursor.partition.Part), zap.Int64("at", at), zap.Int("results", len(head)))
	}
	return err
}

// next drops the results that the store already has and returns the head of the remaining
// ones with the offset at which it must be appended. Both are determined under one lock:
// a result read in between would move the offset and fail the append.
//
// A second result of an item in the queue is dropped too. Failure guarded against: a
// result is queued by a run here and by a daemon that hands it off, perhaps twice. Two
// records of one item in one append would both be on the log; a host that reads only the
// newest record of each key would then return the item at another position than before.
func (w *writer) next() (int64, []queuedResult, []partlog.Record, error) {
	w.jobs.mu.Lock()
	defer w.jobs.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	at := w.cursor.position
	if at < 0 {
		return 0, nil, nil, partlog.Unavailable.New("the partition was not read yet")
	}
	var pending []queuedResult
	queued := map[itemKey]bool{}
	for _, e := range w.queue {
		known := w.jobs.store.Job(e.job)
		if known != nil && !known.Finished(e.result.Item) && !queued[e.key()] {
			queued[e.key()] = true
			pending = append(pending, e)
		}
	}
	w.queue = pending
	return encodeResults(at, pending)
}

func encodeResults(at int64, pending []queuedResult) (int64, []queuedResult, []partlog.Record, error) {
	var records []partlog.Record
	size := 0
	for i, e := range pending {
		value, err := encodeResult(e.result)
		if err != nil {
			return 0, nil, nil, err
		}
		if size += len(value); size > maxResultBytes && i > 0 {
			break
		}
		records = append(records, partlog.Record{Key: batch.ResultKey(e.job, e.result.Item), Value: value})
	}
	return at, pending[:len(records)], records, nil
}

// encodeResult returns the result's record. A result that exceeds the log's record size
// is stored as errored: written as it is, it would be rejected again and again, and block
// all results behind it.
func encodeResult(r batch.Result) ([]byte, error) {
	value, err := batch.Encode(r)
	if err != nil || len(value) <= maxRecordBytes {
		return value, err
	}
	return batch.Encode(batch.Result{Item: r.Item, ID: r.ID, State: batch.Errored, Tokens: r.Tokens})
}
