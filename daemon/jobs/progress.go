package jobs

import (
	"context"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/batch"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/extern/partlog"
	"tarragonhollow.example/tarragonhollow/target/sse"
)

const (
	// keepEvery is the pace at which the progress of items is looked through. One
	// append a partition and look tells of all its items, some 15 appends a second
	// for 12 partitions, of a rate of 800.
	keepEvery = 700 * time.Millisecond
	// keepTime bounds one append of progress; it is not waited for by anybody.
	keepTime = time.Second
	// restorePatience is how long the items of a partition that came from another
	// daemon wait for their progress to be read. Begun anew, an item takes seconds.
	restorePatience = 2500 * time.Millisecond
)

// progress is what is kept of an unfinished item between its runs. Only its run, or
// whoever starts one, uses it; the text is also read by the one that keeps it on the
// log.
type progress struct {
	mu sync.Mutex
	// lastEvent is the number of the last event received, output the data of all.
	lastEvent int64
	output    []string
	bytes     int
	// kept is how many events the log holds.
	kept int64

	// failures counts the answers by which the target told that the item failed.
	failures int
	// fruitless counts the runs in a row that were broken off without an event.
	fruitless int
	// notBefore delays the next run.
	notBefore time.Time
	// avoid is the start of the target that the last run failed at.
	avoid string
	// unrouted is since when no route fits.
	unrouted time.Time
	// missing is since when the body is looked for.
	missing time.Time
}

func newProgress() *progress { return &progress{lastEvent: noEvent} }

// take adds the whole events; false tells of a gap.
func (p *progress) take(events *sse.Splitter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		e, ok := events.Next()
		if !ok {
			return true
		}
		if e.ID < 0 || e.ID <= p.lastEvent {
			continue
		}
		if p.lastEvent != noEvent && e.ID != p.lastEvent+1 {
			return false
		}
		p.lastEvent = e.ID
		p.output = append(p.output, e.Data)
		p.bytes += len(e.Data) + 1
	}
}

// events is how many events of the item are had.
func (p *progress) events() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastEvent + 1
}

// begun tells whether anything of the item is had.
func (p *progress) begun() bool { return p.events() > 0 }

// text is the data of all events.
func (p *progress) text() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.output, "\n")
}

// clear drops the text of an item that has ended.
func (p *progress) clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.output, p.bytes, p.lastEvent = nil, 0, noEvent
}

// restore takes what the log holds, if it is more than what is had here.
func (p *progress) restore(from batch.Progress) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if from.LastEvent <= p.lastEvent {
		return false
	}
	p.lastEvent, p.output, p.bytes = from.LastEvent, []string{from.Output}, len(from.Output)
	p.kept = from.LastEvent + 1
	return true
}

// worth decides whether an item is kept again; see batch.WorthKeeping.
type worth func(events, kept int64, bytes int) bool

// anyGrowth keeps whatever is new: nothing follows the stop of a daemon.
func anyGrowth(events, kept int64, bytes int) bool {
	return events > kept && batch.WorthKeeping(events, 0, bytes)
}

// snapshot returns the item's progress if it is worth keeping, and counts it as kept.
func (p *progress) snapshot(keep worth) (batch.Progress, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	events := p.lastEvent + 1
	if !keep(events, p.kept, p.bytes) {
		return batch.Progress{}, false
	}
	p.kept = events
	return batch.Progress{LastEvent: p.lastEvent, Output: strings.Join(p.output, "\n")}, true
}

// wasKept tells whether the log holds any progress of the item.
func (p *progress) wasKept() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.kept > 0
}

// keep keeps the progress of items on the log until ctx is done.
func (r *runner) keep(ctx context.Context) {
	duty.Every(ctx, keepEvery, func() { r.keepProgress(ctx, batch.WorthKeeping) })
}

// keepProgress writes the progress that is worth it, in one append a partition. One
// that fails is left: the next look writes more.
func (r *runner) keepProgress(ctx context.Context, keep worth) {
	ctx, cancel := context.WithTimeout(ctx, keepTime)
	defer cancel()
	for part, records := range r.progressRecords(keep) {
		p := partlog.Partition{Topic: r.jobs.Topics.Progress, Part: part}
		_, err := r.jobs.Log.Append(ctx, p, records, partlog.Anywhere)
		if err != nil {
			r.jobs.Logger.Info("progress_not_kept", zap.Int("part", part), zap.Int("records", len(records)), zap.Error(err))
		}
	}
}

// progressRecords gathers the records by partition: what is new of unfinished items,
// and the ends of those that the log still holds.
func (r *runner) progressRecords(keep worth) map[int][]partlog.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	records := map[int][]partlog.Record{}
	add := func(key itemKey, value []byte) {
		part := r.jobs.part(key.job)
		records[part] = append(records[part], partlog.Record{Key: batch.ResultKey(key.job, key.item), Value: value})
	}
	for _, key := range r.over {
		add(key, nil)
	}
	r.over = nil
	for key, p := range r.progress {
		snapshot, ok := p.snapshot(keep)
		if !ok {
			continue
		}
		snapshot.Item = key.item
		value, err := batch.Encode(snapshot)
		if err != nil {
			r.jobs.Logger.Error("progress_not_encoded", zap.String("job", key.job), zap.Int("item", key.item), zap.Error(err))
			continue
		}
		add(key, value)
	}
	return records
}

// forgetProgress drops what is had of an item that is over, here and on the log. r.mu
// is held.
func (r *runner) forgetProgress(key itemKey) {
	if p := r.progress[key]; p != nil && p.wasKept() {
		r.over = append(r.over, key)
	}
	delete(r.progress, key)
}

// restoreProgress reads the progress of a partition that came here.
func (r *runner) restoreProgress(ctx context.Context, part int) {
	p := partlog.Partition{Topic: r.jobs.Topics.Progress, Part: part}
	err := partlog.Load(ctx, r.jobs.Log, p, &progressReader{runner: r, part: part})
	if err != nil {
		r.jobs.Logger.Info("progress_not_read", zap.Int("part", part), zap.Error(err))
	}
}

// progressReader takes the progress of one partition.
type progressReader struct {
	runner *runner
	part   int
}

// Position implements partlog.Reader; the partition is only loaded.
func (pr *progressReader) Position() int64 { return noEvent }

// Heard implements partlog.Reader.
func (pr *progressReader) Heard(time.Time, error) {}

// Take implements partlog.Reader.
func (pr *progressReader) Take(partlog.Page) {}

// Load implements partlog.Reader.
func (pr *progressReader) Load(records []partlog.Kept, _ int64) {
	restored := 0
	for _, k := range records {
		if pr.restoreOne(k) {
			restored++
		}
	}
	r := pr.runner
	r.mu.Lock()
	r.restored[pr.part] = time.Now()
	r.mu.Unlock()
	r.jobs.Logger.Info("progress_restored", zap.Int("part", pr.part), zap.Int("records", len(records)), zap.Int("items", restored))
	r.wake()
}

// restoreOne takes the progress of an item that has not ended and does not run here.
func (pr *progressReader) restoreOne(k partlog.Kept) bool {
	r := pr.runner
	if k.Unreadable {
		return false
	}
	job, progress, ok, err := batch.DecodeProgress(k.Key, k.Value)
	if err != nil {
		r.jobs.Logger.Error("record_unreadable", zap.String("key", k.Key), zap.Int64("offset", k.Offset), zap.Error(err))
	}
	if !ok || err != nil || r.jobs.over(job, progress.Item) {
		return false
	}
	key := itemKey{job, progress.Item}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.active[key] != nil {
		return false
	}
	if r.progress[key] == nil {
		r.progress[key] = newProgress()
	}
	return r.progress[key].restore(progress)
}
