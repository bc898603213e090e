package suspects

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/crashparts"
	"tarragonhollow.example/tarragonhollow/core/retry"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/extern/partlog"
)

const (
	// keptWait is how long a read waits for records, which end it. With a longer one a connection
	// that has gone silent is noticed later, with a shorter one a large fleet makes more calls.
	keptWait = 15 * time.Second
	// keptLinger groups the records of one crash into few reads.
	keptLinger = 50 * time.Millisecond
	// keptMaxBackoff bounds the pause after failed calls: a fleet that waits for the log must not
	// use up its rate limit.
	keptMaxBackoff = 2 * time.Second
	// clearedDelay is the maximum delay of a record that only clears parts. Many daemons answer
	// requests with the same parts; those that see the part cleared meanwhile write nothing.
	clearedDelay = 500 * time.Millisecond
	// writePause is the time between two writes, writeBackoff that after a failed one.
	writePause, writeBackoff = 100 * time.Millisecond, 500 * time.Millisecond
	// writeTimeout bounds one write.
	writeTimeout = 2 * time.Second
	// maxOwn is the maximum number of crashes of which this daemon keeps a record in the log, and
	// maxKeptBytes that of the bytes of a record that is read.
	maxOwn       = 64
	maxKeptBytes = 64 << 10
	// deleteAfter is how long after a crash anybody deletes its record: the daemon that wrote it may
	// be gone.
	deleteAfter = 2 * crashparts.Retention
)

// keptRecord is what one daemon knows of one crash, as it is kept in the log.
type keptRecord struct {
	Parts    *crashparts.Crash `json:"parts,omitempty"`
	Requests *retry.Crash      `json:"requests,omitempty"`
}

// keptCrashes keeps crashes in the log, for daemons that this one does not reach and for those that
// start later. Each daemon writes its own record of a crash, under the target's start and its name.
type keptCrashes struct {
	tracker *Tracker
	// partition is where the records are.
	partition partlog.Partition
	wakes     chan struct{}

	mu       sync.Mutex
	position int64
	// own is what this daemon has to say, order its keys, oldest first, and due those that are to be
	// written, with the time.
	own   map[string]keptRecord
	order []string
	due   map[string]time.Time
	// cleared holds what records in the log clear, by target; read holds the keys in the log, with
	// the time of the crash in Unix milliseconds.
	cleared map[string][]string
	read    map[string]int64
}

func newKeptCrashes(t *Tracker) *keptCrashes {
	return &keptCrashes{tracker: t, partition: partlog.Partition{Topic: t.opt.Topic}, wakes: make(chan struct{}, 1), position: -1,
		own: map[string]keptRecord{}, due: map[string]time.Time{}, cleared: map[string][]string{}, read: map[string]int64{}}
}

func (k *keptCrashes) key(target string) string { return target + "/" + k.tracker.opt.View.Self().Host }

// add queues what this daemon has seen for the log.
func (k *keptCrashes) add(requests []retry.Crash, parts []crashparts.Crash) {
	if k.tracker.opt.Log == nil {
		return
	}
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range requests {
		r := k.own[k.key(c.Target)]
		merged := retry.NewSuspects(1)
		if r.Requests != nil {
			merged.Crashed(*r.Requests)
		}
		merged.Crashed(c)
		all := merged.Crashes()
		r.Requests = &all[len(all)-1]
		k.put(c.Target, r, now)
	}
	for _, c := range parts {
		r := k.own[k.key(c.Target)]
		merged := crashparts.New()
		if r.Parts != nil {
			merged.Apply(0, *r.Parts)
		}
		merged.Apply(0, c)
		if all := merged.Crashes(); len(all) > 0 {
			r.Parts = &all[0]
		}
		at := now
		if len(c.Parts) == 0 {
			at = now.Add(rand.N(clearedDelay))
		}
		k.put(c.Target, r, at)
	}
	duty.Wake(k.wakes)
}

// put sets a record that is to be written at the given time. k.mu is held.
func (k *keptCrashes) put(target string, r keptRecord, at time.Time) {
	key := k.key(target)
	if _, known := k.own[key]; !known {
		k.order = append(k.order, key)
	}
	k.own[key] = r
	if due, waits := k.due[key]; !waits || at.Before(due) {
		k.due[key] = at
	}
	for len(k.order) > maxOwn {
		k.drop(k.order[0])
	}
}

// drop removes a record of this daemon, also from the log. k.mu is held.
func (k *keptCrashes) drop(key string) {
	k.order = slices.DeleteFunc(k.order, func(other string) bool { return other == key })
	delete(k.own, key)
	delete(k.due, key)
	if _, written := k.read[key]; written {
		k.due[key] = time.Now()
	}
}

// write writes what is due until ctx is done.
func (k *keptCrashes) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.wakes:
		}
		for pause := time.Duration(0); ; {
			if !duty.Pause(ctx, pause) {
				return
			}
			records, next := k.takeDue(time.Now())
			if len(records) == 0 && next.IsZero() {
				break
			}
			pause = max(writePause, time.Until(next))
			if len(records) > 0 && !k.append(ctx, records) {
				pause = writeBackoff
			}
		}
	}
}

// append writes records. After an error they are due again.
func (k *keptCrashes) append(ctx context.Context, records []partlog.Record) bool {
	call, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err := k.tracker.opt.Log.Append(call, k.partition, records, partlog.AnyOffset)
	if err == nil {
		return true
	}
	k.tracker.opt.Logger.Info("crashes_not_kept", zap.Int("records", len(records)), zap.Error(err))
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range records {
		k.due[r.Key] = time.Now()
	}
	return false
}

// takeDue removes the records that are to be written now from those that wait, and returns when the
// next is due, zero for none.
func (k *keptCrashes) takeDue(now time.Time) (records []partlog.Record, next time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for key, at := range k.due {
		if at.After(now) {
			if next.IsZero() || at.Before(next) {
				next = at
			}
			continue
		}
		delete(k.due, key)
		r, kept := k.own[key]
		if kept && k.redundant(key, r) {
			continue
		}
		records = append(records, partlog.Record{Key: key, Value: r.encode(kept)})
	}
	return records, next
}

// redundant reports whether a record says nothing that others in the log don't: it only clears
// parts that are cleared there. k.mu is held.
func (k *keptCrashes) redundant(key string, r keptRecord) bool {
	if r.Requests != nil || r.Parts == nil || len(r.Parts.Parts) > 0 {
		return false
	}
	if _, written := k.read[key]; written {
		return false
	}
	for _, part := range r.Parts.Cleared {
		if !slices.Contains(k.cleared[r.Parts.Target], part) {
			return false
		}
	}
	return true
}

// encode returns the value of a record, nil for one that is deleted.
func (r keptRecord) encode(kept bool) []byte {
	if !kept {
		return nil
	}
	value, err := json.Marshal(r)
	if err != nil {
		return nil // the types can be encoded
	}
	return value
}

// follow reads the records of all daemons until ctx is done.
func (k *keptCrashes) follow(ctx context.Context) {
	partlog.Follow(ctx, k.tracker.opt.Log, k.partition,
		partlog.ReadOptions{Wait: keptWait, Linger: keptLinger, MaxBackoff: keptMaxBackoff}, k)
}

// Position implements partlog.Reader.
func (k *keptCrashes) Position() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.position
}

// Load implements partlog.Reader.
func (k *keptCrashes) Load(records []partlog.StoredRecord, end int64) {
	k.mu.Lock()
	clear(k.read)
	clear(k.cleared)
	k.mu.Unlock()
	k.apply(records, end)
}

// Apply implements partlog.Reader.
func (k *keptCrashes) Apply(page partlog.Page) { k.apply(page.Records, page.Next) }

// CallEnded implements partlog.Reader; package jobs logs outages of the log.
func (k *keptCrashes) CallEnded(time.Time, error) {}

func (k *keptCrashes) apply(records []partlog.StoredRecord, position int64) {
	var requests []retry.Crash
	var parts []crashparts.Crash
	k.mu.Lock()
	for _, stored := range records {
		r, ok := k.note(stored)
		if !ok {
			continue
		}
		if r.Requests != nil {
			requests = append(requests, *r.Requests)
		}
		if r.Parts != nil {
			parts = append(parts, *r.Parts)
		}
	}
	k.position = position
	k.mu.Unlock()
	k.tracker.apply(requests)
	k.tracker.applyParts(parts)
}

// note records that a record was read and decodes it. k.mu is held.
func (k *keptCrashes) note(stored partlog.StoredRecord) (r keptRecord, ok bool) {
	if stored.Unreadable || len(stored.Value) == 0 {
		delete(k.read, stored.Key)
		return r, false
	}
	if len(stored.Value) > maxKeptBytes || json.Unmarshal(stored.Value, &r) != nil {
		k.tracker.opt.Logger.Warn("crash_unreadable", zap.String("key", stored.Key), zap.Int64("offset", stored.Offset))
		k.read[stored.Key] = 0
		return r, false
	}
	at := int64(0)
	if r.Requests != nil {
		at = r.Requests.AtMs
	}
	if r.Parts != nil {
		at = max(at, r.Parts.AtMs)
		for _, part := range r.Parts.Cleared {
			if !slices.Contains(k.cleared[r.Parts.Target], part) {
				k.cleared[r.Parts.Target] = append(k.cleared[r.Parts.Target], part)
			}
		}
	}
	k.read[stored.Key] = at
	return r, true
}

// expire deletes the records of this daemon that have expired, and those of others that nobody has
// deleted.
func (k *keptCrashes) expire() {
	if k.tracker.opt.Log == nil {
		return
	}
	now := k.tracker.opt.Clock().UnixMilli()
	self := k.tracker.opt.View.Self().Host
	k.mu.Lock()
	defer k.mu.Unlock()
	for key, at := range k.read {
		limit := deleteAfter
		if strings.HasSuffix(key, "/"+self) {
			limit = crashparts.Retention
		} else if rand.IntN(deleteOdds) > 0 {
			continue
		}
		if now-at > limit.Milliseconds() {
			k.drop(key)
		}
	}
	known := map[string]bool{}
	for key := range k.read {
		target, _, _ := strings.Cut(key, "/")
		known[target] = true
	}
	maps.DeleteFunc(k.cleared, func(target string, _ []string) bool { return !known[target] })
	duty.Wake(k.wakes)
}

// deleteOdds spreads the deletion of others' records over the daemons: one in as many deletes at
// each check.
const deleteOdds = 64
