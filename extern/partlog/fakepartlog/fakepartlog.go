// Package fakepartlog is an in-memory partitioned log for tests, with the faults of the
// real one: outages, lost responses, appends that take effect later, readers that are
// not notified of new records, and deleted history.
package fakepartlog

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"tarragonhollow.example/tarragonhollow/extern/partlog"
)

// MaxRecordBytes is the maximum size of a record.
const MaxRecordBytes = 256 << 10

// Log implements partlog.Log and partlog.Groups.
type Log struct {
	mu     sync.Mutex
	parts  map[partlog.Partition]*partition
	groups map[string]*group
	// pageSize is the maximum number of records in a NewestPage.
	pageSize int
	// partsPerTopic is the number of partitions that a group assigns per topic.
	partsPerTopic int
	appended      chan struct{}

	down bool
	// readsDown makes reads fail while appends are served.
	readsDown bool
	// serveEvery limits reads of newest records: one of every serveEvery is served.
	serveEvery        int
	newestCalls       int
	notificationsLost bool
	answersToLose     int
	appendsToDelay    int
	delayed           []func()
	// appends counts the appends that were executed.
	appends int
}

type partition struct {
	first   int64
	records []partlog.StoredRecord
	newest  map[string]partlog.StoredRecord
}

type group struct {
	generation int64
	members    []string
	topics     []string
}

var (
	_ partlog.Log    = (*Log)(nil)
	_ partlog.Groups = (*Log)(nil)
)

// New returns an empty log whose groups assign partsPerTopic partitions of each topic.
func New(partsPerTopic int) *Log {
	return &Log{parts: map[partlog.Partition]*partition{}, groups: map[string]*group{}, partsPerTopic: partsPerTopic, appended: make(chan struct{}), pageSize: smallPage}
}

// SetDown makes every call fail without effect.
func (l *Log) SetDown(down bool) { l.set(func() { l.down = down }) }

// SetReadsDown makes reads of records fail while appends are served.
func (l *Log) SetReadsDown(down bool) { l.set(func() { l.readsDown = down }) }

// LimitNewest serves one of every n reads of newest records and refuses the others
// with Limited; 0 serves all.
func (l *Log) LimitNewest(n int) { l.set(func() { l.serveEvery = n }) }

// SetNotificationsLost makes waiting reads not wake up for new records.
func (l *Log) SetNotificationsLost(lost bool) { l.set(func() { l.notificationsLost = lost }) }

// LoseAnswers makes the next n appends take effect but fail as Unknown.
func (l *Log) LoseAnswers(n int) { l.set(func() { l.answersToLose = n }) }

// DelayAppends makes the next n appends fail as Unknown. RunDelayed executes them, if
// their condition still holds then.
func (l *Log) DelayAppends(n int) { l.set(func() { l.appendsToDelay = n }) }

// RunDelayed executes the delayed appends.
func (l *Log) RunDelayed() {
	l.set(func() {
		delayed := l.delayed
		l.delayed = nil
		for _, run := range delayed {
			run()
		}
	})
}

// Expire deletes the history of a partition except the newest record of each key.
func (l *Log) Expire(p partlog.Partition) {
	l.set(func() {
		part := l.part(p)
		part.first += int64(len(part.records))
		part.records = nil
	})
}

// Appends returns how many appends were executed.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

func (l *Log) set(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

func (l *Log) part(p partlog.Partition) *partition {
	part := l.parts[p]
	if part == nil {
		part = &partition{newest: map[string]partlog.StoredRecord{}}
		l.parts[p] = part
	}
	return part
}

func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

// Append implements partlog.Log.
func (l *Log) Append(_ context.Context, p partlog.Partition, records []partlog.Record, at int64) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, partlog.Unavailable.New("down")
	}
	if l.appendsToDelay > 0 {
		l.appendsToDelay--
		l.delayed = append(l.delayed, func() { _, _ = l.execute(p, records, at) })
		return 0, partlog.Unknown.New("no answer")
	}
	offset, err := l.execute(p, records, at)
	if err == nil && l.answersToLose > 0 {
		l.answersToLose--
		return 0, partlog.Unknown.New("the answer is lost")
	}
	return offset, err
}

func (l *Log) execute(p partlog.Partition, records []partlog.Record, at int64) (int64, error) {
	if err := partlog.CheckKeys(records); err != nil {
		return 0, err
	}
	for _, r := range records {
		if len(r.Key)+len(r.Value) > MaxRecordBytes {
			return 0, partlog.Invalid.New("a record of %d bytes", len(r.Value))
		}
	}
	part := l.part(p)
	offset := part.end()
	if at != partlog.AnyOffset && at != offset {
		return 0, partlog.Conflict.New("ends at %d, not at %d", offset, at)
	}
	for _, r := range records {
		stored := partlog.StoredRecord{Record: r, Offset: part.end()}
		part.records = append(part.records, stored)
		if len(r.Value) == 0 {
			delete(part.newest, r.Key)
		} else {
			part.newest[r.Key] = stored
		}
	}
	l.appends++
	close(l.appended)
	l.appended = make(chan struct{})
	return offset, nil
}

// Read implements partlog.Log.
func (l *Log) Read(ctx context.Context, p partlog.Partition, from int64, wait time.Duration) (partlog.Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, appended, err := l.read(p, from)
		if err != nil || len(page.Records) > 0 || wait == 0 {
			return page, err
		}
		select {
		case <-appended:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return page, partlog.Unavailable.Wrap(ctx.Err(), "read")
		}
	}
}

func (l *Log) read(p partlog.Partition, from int64) (partlog.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down || l.readsDown {
		return partlog.Page{}, nil, partlog.Unavailable.New("down")
	}
	part := l.part(p)
	if from < part.first {
		return partlog.Page{}, nil, partlog.Expired.New("first is %d", part.first)
	}
	records := slices.Clone(part.records[min(from-part.first, int64(len(part.records))):])
	appended := l.appended
	if l.notificationsLost {
		appended = nil
	}
	return partlog.Page{Next: from + int64(len(records)), End: part.end(), Records: records, At: time.Now()}, appended, nil
}

// smallPage is the default page size. It is small so that tests read several pages.
const smallPage = 3

// SetPageSize sets how many newest records a page holds.
func (l *Log) SetPageSize(n int) { l.set(func() { l.pageSize = n }) }

// Newest implements partlog.Log.
func (l *Log) Newest(_ context.Context, p partlog.Partition, after string) (partlog.NewestPage, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return partlog.NewestPage{}, partlog.Unavailable.New("down")
	}
	l.newestCalls++
	if l.serveEvery > 0 && l.newestCalls%l.serveEvery != 0 {
		return partlog.NewestPage{}, partlog.Limited.New("too many calls")
	}
	part := l.part(p)
	var all []partlog.StoredRecord
	for key, record := range part.newest {
		if key > after {
			all = append(all, record)
		}
	}
	slices.SortFunc(all, func(a, b partlog.StoredRecord) int { return cmp.Compare(a.Key, b.Key) })
	page := partlog.NewestPage{End: part.end(), More: len(all) > l.pageSize, At: time.Now()}
	page.Records = all[:min(l.pageSize, len(all))]
	return page, nil
}

// Join implements partlog.Groups. It assigns partitions to the members round-robin.
func (l *Log) Join(_ context.Context, name, member string, topics []string, _ time.Duration, _ int64) (partlog.Assignment, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return partlog.Assignment{}, partlog.Unavailable.New("down")
	}
	g := l.groups[name]
	if g == nil {
		g = &group{}
		l.groups[name] = g
	}
	if !slices.Contains(g.members, member) {
		g.members = append(g.members, member)
		g.generation++
	}
	g.topics = topics
	assignment := partlog.Assignment{Generation: g.generation}
	memberIndex := slices.Index(g.members, member)
	for _, topic := range topics {
		for part := range l.partsPerTopic {
			if part%len(g.members) == memberIndex {
				assignment.Parts = append(assignment.Parts, partlog.Partition{Topic: topic, Part: part})
			}
		}
	}
	return assignment, nil
}

// Owners implements partlog.Groups.
func (l *Log) Owners(_ context.Context, name string) (map[partlog.Partition]string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, partlog.Unavailable.New("down")
	}
	owners := map[partlog.Partition]string{}
	g := l.groups[name]
	if g == nil || len(g.members) == 0 {
		return owners, nil
	}
	for _, topic := range g.topics {
		for part := range l.partsPerTopic {
			owners[partlog.Partition{Topic: topic, Part: part}] = g.members[part%len(g.members)]
		}
	}
	return owners, nil
}

// Leave implements partlog.Groups.
func (l *Log) Leave(_ context.Context, name, member string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return partlog.Unavailable.New("down")
	}
	if g := l.groups[name]; g != nil {
		g.members = slices.DeleteFunc(g.members, func(m string) bool { return m == member })
		g.generation++
	}
	return nil
}
