// Package jobs keeps batch jobs on the partitioned log and runs their items.
//
// Every daemon reads all acceptances, so each can accept a job; none is a
// leader. In a large zone only the daemons that hold a partition do, and the others
// forward calls to these; see follow.go.
//
// What has to be agreed is decided by the log: an append that demands
// where its partition ends succeeds only if the appender had read everything
// before. So a job is accepted once and within its quota, and an item has one
// result at one position, whoever wrote them and however late an append took
// effect.
//
// The groups of the log deal out which daemon holds which partition: it reads
// the results there, runs the items, and answers the other daemons' reads, so
// that each result crosses the log once and not once for every daemon. That
// only saves work: two daemons that both believe to hold a partition run an
// item twice, and the log keeps one result; without any holder, reads are
// answered from the log itself.
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

// Topics are the names of the topics, as the log's adapter wants them.
type Topics struct {
	// Jobs holds acceptances and ends, all in partition 0: one order for all
	// jobs makes the quota exact.
	Jobs string
	// Results and Bodies hold a job's results and items' bodies, each job in one
	// partition.
	Results, Bodies string
	// Progress holds what is had of unfinished items, each job in one partition.
	Progress string
}

// Options configure Jobs.
type Options struct {
	// Host is the daemon's name, Zone its availability zone.
	Host, Zone string
	Log        partlog.Log
	Groups     partlog.Groups
	// Peers calls other daemons; Address tells a daemon's peer address by its name.
	Peers   peer.Caller
	Address func(host string) (string, bool)
	// Others lists the other daemons; nil is none.
	Others func() []places.Peer
	// Fleet tells how many daemons there are.
	Fleet func() int
	// Large tells whether the own zone is so large that few of its daemons hold
	// partitions, and Roomy whether this host is one of them; nil is a small zone.
	Large, Roomy func() bool
	// Holders names the daemons that hold partitions, in a large zone; nil is Places.
	Holders Holders
	Topics  Topics
	// Parts is the number of partitions of each topic.
	Parts int
	// Routes returns the routes in force, nil before the first.
	Routes func() *route.Table
	Places *places.Places
	Pool   *h1.Pool
	// Wire prepares items as it does requests.
	Wire relay.Wire
	// Crashes is told of targets that break off.
	Crashes *relay.Crashes
	// KeepFor is how long after its acceptance a closed job can still be read.
	KeepFor time.Duration
	// Headroom is how many places of each target batch leaves free.
	Headroom int
	Logger   *zap.Logger
	Metrics  *metrics.Set
}

// Pace of the partitions. A read that waits may hear nothing of news for its
// whole wait, so what has to be seen within 3 s, such as the end of a job, is
// read at least every second. Results and bodies are asked for when they are
// needed sooner than they come.
var (
	jobsPace    = partlog.Pace{Wait: time.Second, Gather: 300 * time.Millisecond}
	resultsPace = partlog.Pace{Wait: 8 * time.Second, Gather: 200 * time.Millisecond}
	bodiesPace  = partlog.Pace{Wait: 8 * time.Second, Gather: 200 * time.Millisecond}
)

// Jobs is safe for concurrent use.
type Jobs struct {
	Options

	// following is the reading of the acceptances; see follow.go.
	following following

	mu   sync.Mutex
	book *batch.Book
	// news tells of each change of the book.
	news     duty.News
	accepted *cursor
	results  []*cursor
	writers  []*writer
	runner   *runner
	bodies   *bodyStore
	owners   *owners
	loads    loads
}

// New returns Jobs without any record read.
func New(o Options) *Jobs {
	if o.Large == nil {
		o.Large = func() bool { return false }
	}
	if o.Holders == nil {
		o.Holders = o.Places
	}
	if o.Roomy == nil {
		o.Roomy = func() bool { return true }
	}
	j := &Jobs{Options: o, book: batch.NewBook()}
	j.accepted = j.newCursor(partlog.Partition{Topic: o.Topics.Jobs}, j.book.ApplyJob)
	j.following.duty.Loop = func(ctx context.Context) { partlog.Follow(ctx, j.Log, j.accepted.partition, jobsPace, j.accepted) }
	for part := range o.Parts {
		p := partlog.Partition{Topic: o.Topics.Results, Part: part}
		c := j.newCursor(p, j.book.ApplyResult)
		j.results = append(j.results, c)
		j.writers = append(j.writers, newWriter(j, c))
	}
	j.bodies = newBodyStore(j)
	j.runner = newRunner(j)
	j.owners = &owners{jobs: j}
	return j
}

// Run starts the duties.
func (j *Jobs) Run(group *duty.Group) {
	group.Go(j.followAccepted)
	for _, w := range j.writers {
		group.Go(w.run)
	}
	group.Go(j.runner.join)
	group.Go(j.runner.run)
	group.Go(j.runner.keep)
	group.Go(j.handOver)
}

func (j *Jobs) part(job string) int { return Part(job, j.Parts) }

// Part returns the partition, of so many, of a job's results, bodies and progress.
func Part(job string, parts int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(job))
	return int(h.Sum32() % uint32(parts))
}

// cursor follows one partition into the book.
type cursor struct {
	jobs      *Jobs
	partition partlog.Partition
	apply     func(key string, value []byte) (batch.Change, error)

	// position is the next offset, negative before the first load; guarded by
	// jobs.mu, like the fields below.
	position int64
	failing  bool
	// read is when the partition was last read to its end.
	read time.Time
	// unfollow ends the reading of a held partition, nil for others.
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

// Load implements partlog.Reader. Records that were applied already change
// nothing; the others follow them in log order.
func (c *cursor) Load(records []partlog.Kept, end int64) {
	c.jobs.mu.Lock()
	defer c.jobs.mu.Unlock()
	first := c.position < 0
	for _, k := range records {
		c.applyOne(k)
	}
	if c == c.jobs.accepted && c.position < end {
		c.jobs.forgetAllBut(records)
	}
	c.position = max(c.position, end)
	c.read = time.Now()
	if first {
		c.jobs.Logger.Info("partition_loaded", zap.String("topic", c.partition.Topic), zap.Int("part", c.partition.Part),
			zap.Int("records", len(records)), zap.Int64("end", end))
	}
	c.jobs.news.Tell()
}

// Take implements partlog.Reader.
func (c *cursor) Take(page partlog.Page) {
	c.jobs.mu.Lock()
	defer c.jobs.mu.Unlock()
	c.take(page.Records)
	if c.position >= page.End {
		c.read = time.Now()
	}
}

// take applies the records that were not yet: own appends are applied as soon
// as they are acknowledged, and a read that was on its way may bring them again.
func (c *cursor) take(records []partlog.Kept) {
	any := false
	for _, k := range records {
		if k.Offset != c.position {
			continue
		}
		c.applyOne(k)
		c.position++
		any = true
	}
	if any {
		c.jobs.news.Tell()
	}
}

func (c *cursor) applyOne(k partlog.Kept) {
	change, err := batch.Change{}, error(batch.ErrRecord.New("no key and value"))
	if !k.Unreadable {
		change, err = c.apply(k.Key, k.Value)
	}
	if err != nil {
		c.jobs.Logger.Error("record_unreadable", zap.String("key", k.Key), zap.Int64("offset", k.Offset), zap.Error(err))
		return
	}
	if change.Job != "" {
		c.jobs.runner.note(change)
	}
}

// Heard implements partlog.Reader.
func (c *cursor) Heard(_ time.Time, err error) {
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
		c.Take(page)
		if page.Next >= page.End {
			return nil
		}
	}
}

// unsettledPause is the pause before an append without an answer is sent again.
const unsettledPause = 50 * time.Millisecond

// appendAt appends records to the cursor's partition if it ends at the given
// offset, and applies them. Conflict: others appended; catch up and look again.
//
// An append without an answer may have taken effect, or may do so seconds
// later. It is settled by sending the same records with the same demand again:
// only one of the two can take effect, and a conflict then means that the
// partition has moved on. unsettled tells that the conflict may be the first
// one's own doing, which only catching up shows. If ctx ends before a conflict
// or an answer comes, the error is Unknown.
func (j *Jobs) appendAt(ctx context.Context, c *cursor, at int64, records []partlog.Record) (unsettled bool, err error) {
	for {
		offset, err := j.Log.Append(ctx, c.partition, records, at)
		if err == nil {
			j.applyOwn(c, offset, records)
			return false, nil
		}
		if partlog.IsConflict(err) {
			return unsettled, err
		}
		if partlog.IsUnknown(err) && !unsettled {
			unsettled = true
			j.Logger.Info("append_unsettled", zap.String("topic", c.partition.Topic), zap.Int("part", c.partition.Part),
				zap.Int64("at", at), zap.Error(err))
		}
		if !unsettled {
			return false, err
		}
		if !duty.Pause(ctx, unsettledPause) {
			return true, partlog.Unknown.Wrap(err, "the append at %d is not settled", at)
		}
	}
}

func (j *Jobs) applyOwn(c *cursor, offset int64, records []partlog.Record) {
	j.mu.Lock()
	defer j.mu.Unlock()
	kept := make([]partlog.Kept, len(records))
	for i, r := range records {
		kept[i] = partlog.Kept{Record: r, Offset: offset + int64(i)}
	}
	c.take(kept)
}

// Loaded tells whether the jobs were read at all, where this daemon keeps any.
func (j *Jobs) Loaded() bool { return j.accepted.Position() >= 0 || !j.needsAccepted() }
