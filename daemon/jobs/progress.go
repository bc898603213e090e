package jobs

import (
	"context"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/batch"
	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/extern/partlog"
	"tarragonhollow.example/tarragonhollow/target/h1"
	"tarragonhollow.example/tarragonhollow/target/sse"
)

const (
	// saveInterval is how often the progress of items is checked. One append per
	// partition saves all its items: some 15 appends a second for 12 partitions, of a
	// rate of 800.
	saveInterval = 700 * time.Millisecond
	// saveTimeout bounds one append of progress; nothing waits for it.
	saveTimeout = time.Second
	// restoreMaxWait is how long the items of a partition that came from another daemon
	// wait for their progress to be read. An item that starts over takes seconds.
	restoreMaxWait = 2500 * time.Millisecond
)

// progress is the state of an unfinished item between its runs. It is used only by the
// item's run or by the code that starts one; the text is also read by the loop that saves
// it to the log.
type progress struct {
	mu sync.Mutex
	// lastEvent is the number of the last event received, output the data of all.
	lastEvent int64
	output    []string
	bytes     int
	// runLast is the last event of the current run, also if it was received before, or noEvent.
	runLast int64
	// saved is the number of events that the log holds.
	saved int64
	// version is the software version of the targets that sent the events, "" if there is no
	// event or it is not known; see version.go.
	version string
	// group is the target group of these targets, "" if it is not known.
	group string
	// stale reports that the log holds events that were dropped here.
	stale bool

	// unframedEnd is the last event at the most recent confirmed end of a run that only its
	// connection marked; see h1.Answer.ConfirmEnd.
	unframedEnd int64
	// answered reports that a run ended with an answer, after which its connection is kept.
	answered bool
	// failures counts the answers in which a target reported that the item failed,
	// savedFailures is the number that the log holds. Both are guarded by mu.
	failures, savedFailures int
	// unsuccessful counts the consecutive runs that were broken off without an event.
	unsuccessful int
	// notBefore delays the next run.
	notBefore time.Time
	// versionWaitSince is since when the item gets no slot at a target of its version although
	// the group has targets of others.
	versionWaitSince time.Time
	// lastTarget is the target of the last run.
	lastTarget roster.Target
	// avoidTarget is the start of the target at which the last run failed.
	avoidTarget string
	// unroutedSince is since when no route matches.
	unroutedSince time.Time
	// bodyMissingSince is since when the body is missing, or was last requested from the
	// log.
	bodyMissingSince time.Time
}

func newProgress() *progress {
	return &progress{lastEvent: noEvent, runLast: noEvent, unframedEnd: noEvent}
}

// addEvents adds the complete events. It returns false if there is a gap, or an event with
// data whose place is unknown because it has no ID.
func (p *progress) addEvents(events *sse.Splitter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		e, ok := events.Next()
		if !ok {
			return true
		}
		if e.ID < 0 && e.HasData {
			return false
		}
		if e.ID >= 0 {
			p.runLast = e.ID
		}
		if e.ID <= p.lastEvent {
			continue
		}
		if !p.follows(e.ID) {
			return false
		}
		p.lastEvent = e.ID
		p.output = append(p.output, e.Data)
		p.bytes += len(e.Data) + 1
	}
}

// runIsBehind reports whether the run's last event is one before the item's last. The run has
// then started over, and its end is not that of the item.
func (p *progress) runIsBehind() bool { return p.runLast != noEvent && p.runLast < p.lastEvent }

// follows reports whether the event is the one after the last. p.mu is held.
func (p *progress) follows(id int64) bool {
	if p.lastEvent == noEvent {
		return id <= maxFirstEvent
	}
	return id == p.lastEvent+1
}

// nextMaxIdle returns how long the connection for the next run may have been idle. All runs have
// the item's ID: on a connection of an earlier one, a late second answer to that run would be
// taken for the answer to this one.
func (p *progress) nextMaxIdle() time.Duration {
	if p.answered {
		return newConnectionOnly
	}
	return itemMaxIdle
}

// endsWith reports whether a run's confirmed end after a whole event is the item's end. A
// target may end an answer without framing early, so such an end counts only if an earlier run
// ended so after the same event.
func (p *progress) endsWith(framing h1.Framing) bool {
	if framing != h1.Unframed || p.endedUnframed() {
		return true
	}
	p.unframedEnd = p.lastEvent
	return false
}

// endedUnframed reports whether a run ended without framing after the last event.
func (p *progress) endedUnframed() bool {
	return p.unframedEnd != noEvent && p.unframedEnd == p.lastEvent
}

// eventCount returns how many events of the item were received.
func (p *progress) eventCount() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastEvent + 1
}

// begun reports whether any event of the item was received.
func (p *progress) begun() bool { return p.eventCount() > 0 }

// text returns the data of all events.
func (p *progress) text() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.output, "\n")
}

// addFailure counts an answer in which the target reported that the item failed.
func (p *progress) addFailure() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures++
}

func (p *progress) failureCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failures
}

// clear drops the text and the failures of an item that has ended.
func (p *progress) clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropEvents()
	p.failures = 0
	if p.stale {
		p.saved, p.stale = 1, false // removed with the item's end
	}
}

// dropEvents drops all events. p.mu is held.
func (p *progress) dropEvents() {
	p.output, p.bytes, p.lastEvent, p.unframedEnd = nil, 0, noEvent, noEvent
	p.version, p.group = "", ""
}

// restore adopts what is ahead of the local progress in that from the log, and returns true if
// anything is.
func (p *progress) restore(from batch.Progress) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	moreFailures := from.Failures > p.failures
	p.failures, p.savedFailures = max(p.failures, from.Failures), from.Failures
	if from.LastEvent <= p.lastEvent {
		return moreFailures
	}
	if from.Version == "" && p.version != "" && p.lastEvent != noEvent {
		p.stale = true
		return moreFailures
	}
	p.version, p.group = from.Version, from.Group
	p.lastEvent, p.output, p.bytes = from.LastEvent, []string{from.Output}, len(from.Output)
	p.saved = from.LastEvent + 1
	return true
}

// savePolicy reports whether an item's progress should be saved again; see
// batch.ShouldSave.
type savePolicy func(events, saved int64, bytes int) bool

// saveAnyGrowth saves all new progress; it is used when the daemon stops, since no later
// save follows.
func saveAnyGrowth(events, saved int64, bytes int) bool {
	return events > saved && batch.ShouldSave(events, 0, bytes)
}

// snapshot returns the item's progress if it should be saved, and marks it as saved.
func (p *progress) snapshot(shouldSave savePolicy) (batch.Progress, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	events := p.lastEvent + 1
	newFailures := p.failures > p.savedFailures && batch.FitsRecord(p.bytes)
	if !p.stale && !newFailures && !shouldSave(events, p.saved, p.bytes) {
		return batch.Progress{}, false
	}
	p.saved, p.savedFailures, p.stale = events, p.failures, false
	if events == 0 || !batch.FitsRecord(p.bytes) {
		p.saved = 0
		return batch.Progress{LastEvent: noEvent, Failures: p.failures}, true
	}
	return batch.Progress{LastEvent: p.lastEvent, Output: strings.Join(p.output, "\n"), Failures: p.failures, Version: p.version, Group: p.group}, true
}

// isSaved reports whether the log holds any progress of the item.
func (p *progress) isSaved() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.saved > 0 || p.savedFailures > 0 || p.stale
}

// saveProgressLoop saves the progress of items to the log until ctx is done.
func (r *runner) saveProgressLoop(ctx context.Context) {
	duty.Every(ctx, saveInterval, func() { r.saveProgress(ctx, batch.ShouldSave) })
}

// saveProgress writes the progress that should be saved, in one append per partition. A
// failed append is not repeated: the next interval saves more.
func (r *runner) saveProgress(ctx context.Context, shouldSave savePolicy) {
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	for part, records := range r.progressRecords(shouldSave) {
		p := partlog.Partition{Topic: r.jobs.Topics.Progress, Part: part}
		_, err := r.jobs.Log.Append(ctx, p, records, partlog.AnyOffset)
		if err != nil {
			r.jobs.Logger.Info("progress_not_kept", zap.Int("part", part), zap.Int("records", len(records)), zap.Error(err))
		}
	}
}

// progressRecords collects the records by partition: new progress of unfinished items,
// and tombstones for items whose progress the log still holds and that have ended, or have
// started over and have nothing new.
func (r *runner) progressRecords(shouldSave savePolicy) map[int][]partlog.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	records := map[int][]partlog.Record{}
	add := func(key itemKey, value []byte) {
		part := r.jobs.part(key.job)
		records[part] = append(records[part], partlog.Record{Key: batch.ResultKey(key.job, key.item), Value: value})
	}
	for _, key := range r.endedItems {
		add(key, nil)
	}
	r.endedItems = nil
	for key, p := range r.progress {
		snapshot, ok := p.snapshot(shouldSave)
		if !ok {
			continue
		}
		snapshot.Item = key.item
		if snapshot.Empty() {
			add(key, nil)
			continue
		}
		value, err := batch.Encode(snapshot)
		if err != nil {
			r.jobs.Logger.Error("progress_not_encoded", zap.String("job", key.job), zap.Int("item", key.item), zap.Error(err))
			continue
		}
		add(key, value)
	}
	return records
}

// dropProgress removes the progress of an item that has ended, here and on the log. r.mu
// is held.
func (r *runner) dropProgress(key itemKey) {
	if p := r.progress[key]; p != nil && p.isSaved() {
		r.endedItems = append(r.endedItems, key)
	}
	delete(r.progress, key)
}

// restoreProgress reads the progress of a partition that was assigned to this daemon.
func (r *runner) restoreProgress(ctx context.Context, part int) {
	p := partlog.Partition{Topic: r.jobs.Topics.Progress, Part: part}
	err := partlog.Load(ctx, r.jobs.Log, p, &progressReader{runner: r, part: part})
	if err != nil {
		r.jobs.Logger.Info("progress_not_read", zap.Int("part", part), zap.Error(err))
	}
}

// progressReader applies the saved progress of one partition.
type progressReader struct {
	runner *runner
	part   int
}

// Position implements partlog.Reader; the partition is only loaded.
func (pr *progressReader) Position() int64 { return noEvent }

// CallEnded implements partlog.Reader.
func (pr *progressReader) CallEnded(time.Time, error) {}

// Apply implements partlog.Reader.
func (pr *progressReader) Apply(partlog.Page) {}

// Load implements partlog.Reader.
func (pr *progressReader) Load(records []partlog.StoredRecord, _ int64) {
	restored := 0
	for _, k := range records {
		if pr.restoreOne(k) {
			restored++
		}
	}
	r := pr.runner
	r.mu.Lock()
	r.restoredAt[pr.part] = time.Now()
	r.mu.Unlock()
	r.jobs.Logger.Info("progress_restored", zap.Int("part", pr.part), zap.Int("records", len(records)), zap.Int("items", restored))
	r.wake()
}

// restoreOne restores the progress of an item that has not ended and does not run here.
func (pr *progressReader) restoreOne(k partlog.StoredRecord) bool {
	r := pr.runner
	if k.Unreadable {
		return false
	}
	job, progress, ok, err := batch.DecodeProgress(k.Key, k.Value)
	if err != nil {
		r.jobs.Logger.Error("record_unreadable", zap.String("key", k.Key), zap.Int64("offset", k.Offset), zap.Error(err))
	}
	if !ok || err != nil || r.jobs.itemEnded(job, progress.Item) {
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
