package streams

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/streamversion"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/extern/partlog"
)

const (
	// sinceKey is the key of the record that says since when versions are recorded. The keys of
	// versions are hexadecimal.
	sinceKey = "since"
	// recorders is the number of daemons that record a version.
	recorders = 2
	// restoreEvery is how often a daemon that has just started checks whether it can restore: callers
	// resume their streams at once.
	restoreEvery = 10 * time.Millisecond
	// recordTimeout bounds a call of the log, recordBackoff is the pause after one that failed.
	recordTimeout = 2 * time.Second
	recordBackoff = time.Second
)

// SeenTargets is what is known of targets' versions by a daemon that reads the list of targets; see
// places.Places.
type SeenTargets interface {
	SeenVersions() (seen []streamversion.Seen, loadedAt time.Time, ok bool)
	RestoreVersions(loadedAt, since time.Time, seen []streamversion.Seen) bool
}

// RecordOptions configure the records of versions.
type RecordOptions struct {
	// Log is nil for no records.
	Log     partlog.Log
	Topic   string
	Targets SeenTargets
	// FirstStart reports that no daemon of the system has run before.
	FirstStart bool
	// AllRecord reports that few daemons read the list of targets, so that each of them records.
	AllRecord func() bool
}

// recorder records in the log which versions targets have had, and restores that after a start.
//
// Failure guarded against: all daemons are killed at once, and targets of a version at which streams
// began leave meanwhile. The daemons would take these streams for streams of the version that is
// left.
type recorder struct {
	RecordOptions
	directory *Directory
	records   streamversion.Records
	// restored is the load of the list of targets for which the records were restored.
	restored time.Time
}

// Record records versions until ctx is done.
func (d *Directory) Record(ctx context.Context) {
	r := &recorder{RecordOptions: d.Records, directory: d}
	pause := restoreEvery
	for duty.Pause(ctx, pause) {
		pause = checkEvery
		if r.restored.IsZero() {
			pause = restoreEvery
		}
		if err := r.step(ctx); err != nil {
			d.Logger.Info("versions_not_recorded", zap.Bool("restored", !r.restored.IsZero()), zap.Error(err))
			pause = recordBackoff
		}
	}
}

// awaitRestored waits, for findTimeout at most, until the records have been restored after the start:
// callers resume at once the streams that the end of all daemons broke off.
func (d *Directory) awaitRestored(ctx context.Context) {
	if d.Records.Log == nil {
		return
	}
	select {
	case <-d.restored:
		return
	default:
	}
	if _, _, ok := d.Records.Targets.SeenVersions(); !ok {
		return // another daemon reads the list of targets, and the records, for this one
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	select {
	case <-d.restored:
	case <-ctx.Done():
	}
}

// step restores the records if the list of targets was loaded since, and writes what is due.
func (r *recorder) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	seen, loadedAt, ok := r.Targets.SeenVersions()
	if !ok {
		return nil
	}
	if !loadedAt.Equal(r.restored) {
		return r.restore(ctx, loadedAt)
	}
	due := r.records.Due(seen)
	if !r.AllRecord() {
		hosts := streamversion.NewHosts(r.directory.addresses())
		due = slices.DeleteFunc(due, func(k streamversion.Recorded) bool {
			return !slices.Contains(hosts.Holders(recordKey(k), recorders), r.directory.Self)
		})
	}
	if len(due) == 0 {
		return nil
	}
	return r.append(ctx, due)
}

// append writes records of versions, and further records with them.
func (r *recorder) append(ctx context.Context, versions []streamversion.Recorded, further ...partlog.Record) error {
	records := further
	for _, k := range versions {
		value, err := json.Marshal(k)
		if err != nil {
			return err
		}
		records = append(records, partlog.Record{Key: recordKey(k), Value: value})
	}
	if _, err := r.Log.Append(ctx, r.partition(), records, partlog.AnyOffset); err != nil {
		return err
	}
	r.records.Kept(versions...)
	return nil
}

// restore reads the records and adds what they show to what is known of targets since the list was
// loaded.
func (r *recorder) restore(ctx context.Context, loadedAt time.Time) error {
	var kept keptVersions
	if err := partlog.Load(ctx, r.Log, r.partition(), &kept); err != nil {
		return err
	}
	if !kept.complete {
		return r.begin(ctx) // the next step restores
	}
	now := time.Now()
	var seen []streamversion.Seen
	var expired []partlog.Record
	for _, k := range kept.versions {
		if s, ok := k.Seen(now); ok {
			seen = append(seen, s)
		} else {
			expired = append(expired, partlog.Record{Key: recordKey(k)})
		}
	}
	if !r.Targets.RestoreVersions(loadedAt, streamversion.RecordedSince(now, kept.since), seen) {
		return nil // the list was loaded again meanwhile
	}
	if r.restored.IsZero() {
		close(r.directory.restored)
	}
	r.restored = loadedAt
	r.records.Kept(kept.versions...)
	r.directory.Logger.Info("versions_restored", zap.Int("versions", len(seen)), zap.Int("expired", len(expired)), zap.Int64("since_ms", kept.since))
	if len(expired) > 0 {
		return r.append(ctx, nil, expired...)
	}
	return nil
}

// begin records since when versions are recorded, together with those that there are: from now on,
// or from the beginning if no daemon has run before.
func (r *recorder) begin(ctx context.Context) error {
	seen, _, ok := r.Targets.SeenVersions()
	if !ok {
		return nil
	}
	since := int64(0)
	if !r.FirstStart {
		since = time.Now().UnixMilli()
	}
	value, err := json.Marshal(keptSince{since})
	if err != nil {
		return err
	}
	return r.append(ctx, r.records.Due(seen), partlog.Record{Key: sinceKey, Value: value})
}

func (r *recorder) partition() partlog.Partition { return partlog.Partition{Topic: r.Topic} }

func recordKey(k streamversion.Recorded) string {
	sum := sha256.Sum256([]byte(k.Group + "\x00" + k.Version))
	return hex.EncodeToString(sum[:])
}

// keptSince is the value of the record with sinceKey.
type keptSince struct {
	// Since is in milliseconds since the epoch, 0 for ever.
	Since int64 `json:"since"`
}

// keptVersions is what the log keeps. It implements partlog.Reader for a load.
type keptVersions struct {
	versions []streamversion.Recorded
	since    int64
	// complete reports that there is a record with sinceKey.
	complete bool
}

// Position implements partlog.Reader.
func (k *keptVersions) Position() int64 { return -1 }

// Load implements partlog.Reader. Records that can't be decoded are left out: no daemon wrote them.
func (k *keptVersions) Load(records []partlog.StoredRecord, _ int64) {
	for _, r := range records {
		var since keptSince
		var version streamversion.Recorded
		switch {
		case r.Unreadable || len(r.Value) == 0:
		case r.Key == sinceKey:
			if json.Unmarshal(r.Value, &since) == nil {
				k.since, k.complete = since.Since, true
			}
		case json.Unmarshal(r.Value, &version) == nil && recordKey(version) == r.Key:
			k.versions = append(k.versions, version)
		}
	}
}

// Apply implements partlog.Reader.
func (k *keptVersions) Apply(partlog.Page) {}

// CallEnded implements partlog.Reader.
func (k *keptVersions) CallEnded(time.Time, error) {}
