// Package jobs keeps batch jobs on the partitioned log and runs their items.
//
// Every daemon reads all acceptances, so each can accept a job; there is no leader. In a
// large zone only the daemons that hold a partition do, and the others forward calls to
// them; see follow.go.
//
// All agreement is reached on the log: a conditional append at an expected end offset
// succeeds only if the appender had read everything before it. So a job is accepted once
// and within its quota, and an item has one result at one position, whoever wrote them
// and however late an append took effect.
//
// The log's consumer groups assign the partitions to daemons: the holder of a partition
// reads the results there, runs the items, and answers the other daemons' reads, so that
// each result crosses the log once and not once for every daemon. That only saves work:
// two daemons that both believe they hold a partition run an item twice, and the log
// keeps one result; without any holder, reads are answered from the log itself.
package jobs

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/batch"
	"tarragonhollow.example/tarragonhollow/core/route"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/daemon/places"
	"tarragonhollow.example/tarragonhollow/daemon/relay"
	"tarragonhollow.example/tarragonhollow/extern/partlog"
	"tarragonhollow.example/tarragonhollow/peer"
	"tarragonhollow.example/tarragonhollow/target/h1"
)

// Topics are the names of the topics, as the log's adapter expects them.
type Topics struct {
	// Jobs holds acceptances and ends, all in partition 0: a single order of all jobs
	// makes the quota exact.
	Jobs string
	// Results and Bodies hold a job's results and items' bodies, each job in one
	// partition.
	Results, Bodies string
	// Progress holds the events received for unfinished items, each job in one partition.
	Progress string
}

// Options configure Jobs.
type Options struct {
	// Host is the daemon's name, Zone its availability zone.
	Host, Zone string
	Log        partlog.Log
	Groups     partlog.Groups
	// Peers calls other daemons; Address returns a daemon's peer address by its name.
	Peers   peer.Caller
	Address func(host string) (string, bool)
	// ListPeers lists the other daemons; nil means none.
	ListPeers func() []places.Peer
	// FleetSize returns the number of daemons.
	FleetSize func() int
	// LargeZone reports whether the local zone is so large that few of its daemons hold
	// partitions, and CanHoldPartitions whether this host may; nil means a small zone.
	LargeZone, CanHoldPartitions func() bool
	// Holders names the daemons that hold partitions, in a large zone; nil means Places.
	Holders Holders
	Topics  Topics
	// Parts is the number of partitions of each topic.
	Parts int
	// Routes returns the active routes, nil before the first configuration.
	Routes func() *route.Table
	Places *places.Places
	Pool   *h1.Pool
	// Wire prepares items in the same way as requests.
	Wire relay.Wire
	// Crashes records which items were running when targets broke connections.
	Crashes *relay.CrashDetector
	// KeepFor is how long after its acceptance a closed job can still be read.
	KeepFor time.Duration
	// Headroom is the number of slots of each target that batch leaves free.
	Headroom int
	// PacedReturn makes the Retry-After of a refused submission follow the age of the log's
	// outage.
	PacedReturn bool
	Logger      *zap.Logger
	Metrics     *metrics.Set
}

// Read intervals of the partitions. A read that waits may miss new records for its whole
// wait, so what has to be seen within 3 s, such as the end of a job, is read at least
// every second. Results and bodies that are needed sooner are read on demand.
var (
	jobsPace    = partlog.ReadOptions{Wait: time.Second, Linger: 300 * time.Millisecond}
	resultsPace = partlog.ReadOptions{Wait: 8 * time.Second, Linger: 200 * time.Millisecond}
	bodiesPace  = partlog.ReadOptions{Wait: 8 * time.Second, Linger: 200 * time.Millisecond}
)

// Jobs accepts batch jobs, runs their items and returns their results. It is safe for
// concurrent use.
type Jobs struct {
	Options

	// following is the loop that reads the acceptances; see follow.go.
	following following
	// outage is what is known of an outage of the acceptances; see outage.go.
	outage outageRecord

	mu    sync.Mutex
	store *batch.Store
	// changes is notified of each change of the store.
	changes     duty.Notifier
	accepted    *cursor
	results     []*cursor
	writers     []*writer
	runner      *runner
	bodies      *bodyStore
	owners      *owners
	loadLimiter loadLimiter
}

// New returns Jobs that has read no records yet.
func New(o Options) *Jobs {
	if o.LargeZone == nil {
		o.LargeZone = func() bool { return false }
	}
	if o.Holders == nil {
		o.Holders = o.Places
	}
	if o.CanHoldPartitions == nil {
		o.CanHoldPartitions = func() bool { return true }
	}
	j := &Jobs{Options: o, store: batch.NewStore()}
	j.accepted = j.newCursor(partlog.Partition{Topic: o.Topics.Jobs}, j.store.ApplyJob)
	j.following.loop.Loop = func(ctx context.Context) { partlog.Follow(ctx, j.Log, j.accepted.partition, jobsPace, j.accepted) }
	for part := range o.Parts {
		p := partlog.Partition{Topic: o.Topics.Results, Part: part}
		c := j.newCursor(p, j.store.ApplyResult)
		j.results = append(j.results, c)
		j.writers = append(j.writers, newWriter(j, c))
	}
	j.bodies = newBodyStore(j)
	j.runner = newRunner(j)
	j.owners = &owners{jobs: j}
	return j
}

// Run starts the loops.
func (j *Jobs) Run(group *duty.Group) {
	group.Go(j.followAccepted)
	for _, w := range j.writers {
		group.Go(w.run)
	}
	group.Go(j.runner.keepMembership)
	group.Go(j.runner.run)
	group.Go(j.runner.saveProgressLoop)
	group.Go(j.handOffResults)
}

func (j *Jobs) part(job string) int { return Part(job, j.Parts) }

// Part returns the partition, out of parts, of a job's results, bodies and progress.
func Part(job string, parts int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(job))
	return int(h.Sum32() % uint32(parts))
}

// cursor applies the records of one partition to the store.
type cursor struct {
	jobs      *Jobs
	partition partlog.Partition
	apply     func(key string, value []byte) (batch.Change, error)

	// position is the next offset, negative before the first load; guarded by
	// jobs.mu, like the fields below.
	position int64
	failing  bool
	// readAt is when the partition was last read to its end.
	readAt time.Time
	// unfollow stops reading a held partition, nil for others.
	unfollow context.CancelFunc
}

func (j *Jobs) newCursor(p partlog.Partition, apply func(string, []byte) (batch.Change, error)) *cursor {
	return &cursor{jobs: j, partition: p, apply: apply, position: -1}
}

// Position implements partlog.Reader.
func (c *cursor) Position() int64 {
	c.jobs.mu.Lock()
	defer c.jobs.mu.Unlock()
	return c.position
}

// Load implements partlog.Reader. Records that were already applied change nothing; the
// others follow them in log order.
func (c *cursor) Load(records []partlog.StoredRecord, end int64) {
	c.jobs.mu.Lock()
	defer c.jobs.mu.Unlock()
	first := c.position < 0
	for _, k := range records {
		c.applyOne(k)
	}
	if c == c.jobs.accepted && c.position < end {
		c.jobs.retainAccepted(records)
	}
	c.position = max(c.position, end)
	c.readAt = time.Now()
	if first {
		c.jobs.Logger.Info("partition_loaded", zap.String("topic", c.partition.Topic), zap.Int("part", c.partition.Part),
			zap.Int("records", len(records)), zap.Int64("end", end))
	}
	c.jobs.changes.Notify()
}

// Apply implements partlog.Reader.
func (c *cursor) Apply(page partlog.Page) {
	c.jobs.mu.Lock()
	defer c.jobs.mu.Unlock()
	c.applyRecords(page.Records)
	if c.position >= page.End {
		c.readAt = time.Now()
	}
}

// applyRecords applies the records that were not applied yet: local appends are applied
// as soon as they are acknowledged, and a read in flight may return them again.
func (c *cursor) applyRecords(records []partlog.StoredRecord) {
	applied := false
	for _, k := range records {
		if k.Offset != c.position {
			continue
		}
		c.applyOne(k)
		c.position++
		applied = true
	}
	if applied {
		c.jobs.changes.Notify()
	}
}

func (c *cursor) applyOne(k partlog.StoredRecord) {
	change, err := batch.Change{}, error(batch.ErrRecord.New("no key and value"))
	if !k.Unreadable {
		change, err = c.apply(k.Key, k.Value)
	}
	if err != nil {
		c.jobs.Logger.Error("record_unreadable", zap.String("key", k.Key), zap.Int64("offset", k.Offset), zap.Error(err))
		return
	}
	if change.Job != "" {
		c.jobs.runner.onChange(change)
	}
}

// CallEnded implements partlog.Reader.
func (c *cursor) CallEnded(_ time.Time, err error) {
	c.jobs.recordCall(context.Background(), c, err)
	c.jobs.mu.Lock()
	defer c.jobs.mu.Unlock()
	failing := err != nil
	if failing != c.failing {
		c.failing = failing
		c.jobs.Logger.Info("log_partition", zap.String("topic", c.partition.Topic), zap.Int("part", c.partition.Part),
			zap.Bool("lost", failing), zap.Error(err))
	}
}

// catchUp reads the partition to its end now.
func (j *Jobs) catchUp(ctx context.Context, c *cursor) error {
	err := j.readToEnd(ctx, c)
	j.recordCall(ctx, c, err)
	return err
}

func (j *Jobs) readToEnd(ctx context.Context, c *cursor) error {
	for {
		from := c.Position()
		if from < 0 {
			return partlog.Load(ctx, j.Log, c.partition, c)
		}
		page, err := j.Log.Read(ctx, c.partition, from, 0)
		if partlog.IsExpired(err) {
			return partlog.Load(ctx, j.Log, c.partition, c)
		}
		if err != nil {
			return err
		}
		c.Apply(page)
		if page.Next >= page.End {
			return nil
		}
	}
}

// appendRetryPause is the pause before an append without an answer is sent again.
const appendRetryPause = 50 * time.Millisecond

// appendAt appends records to the cursor's partition if it ends at the given offset, and
// applies them. On a conflict another daemon has appended: catch up and check again.
//
// An append without an answer may have taken effect, or may do so seconds later. It is
// resolved by sending the same records with the same expected offset again: only one of
// the two can take effect, and a conflict then means that the partition has moved on.
// unresolved reports that the conflict may be with the first append itself, which only
// catching up shows. If ctx ends before a conflict or an answer arrives, the error is
// Unknown.
func (j *Jobs) appendAt(ctx context.Context, c *cursor, at int64, records []partlog.Record) (unresolved bool, err error) {
	for {
		offset, err := j.Log.Append(ctx, c.partition, records, at)
		j.recordCall(ctx, c, err)
		if err == nil {
			j.applyAppended(c, offset, records)
			return false, nil
		}
		if partlog.IsConflict(err) {
			return unresolved, err
		}
		if partlog.IsUnknown(err) && !unresolved {
			unresolved = true
			j.Logger.Info("append_unsettled", zap.String("topic", c.partition.Topic), zap.Int("part", c.partition.Part),
				zap.Int64("at", at), zap.Error(err))
		}
		if !unresolved {
			return false, err
		}
		if !duty.Pause(ctx, appendRetryPause) {
			return true, partlog.Unknown.Wrap(err, "the append at %d is not settled", at)
		}
	}
}

func (j *Jobs) applyAppended(c *cursor, offset int64, records []partlog.Record) {
	j.mu.Lock()
	defer j.mu.Unlock()
	stored := make([]partlog.StoredRecord, len(records))
	for i, r := range records {
		stored[i] = partlog.StoredRecord{Record: r, Offset: offset + int64(i)}
	}
	c.applyRecords(stored)
}

// Loaded reports whether the acceptances were read, if this daemon needs them.
func (j *Jobs) Loaded() bool { return j.accepted.Position() >= 0 || !j.needsAccepted() }
