package jobs

import (
	"context"
	"sync"
	"time"

	"tarragonhollow.example/tarragonhollow/core/batch"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/extern/partlog"
)

const (
	// chunkBytes is the size of a record of a body. The log's records hold
	// 256 KiB.
	chunkBytes = 192 << 10
	// callBytes bounds the records of one append; the log takes 2 MiB.
	callBytes = 1 << 20
	// putAttempts bounds the appends of one group of chunks.
	putAttempts = 4
)

// bodyStore writes items' bodies to the log and reads them back. The bodies of
// the partitions that this daemon runs are held in memory until their items
// end.
type bodyStore struct {
	jobs *Jobs

	mu   sync.Mutex
	held map[string]map[int][][]byte // job, item, chunk
	// following holds the end of each followed partition's reader.
	following map[int]*bodyReader
}

func newBodyStore(j *Jobs) *bodyStore {
	return &bodyStore{jobs: j, held: map[string]map[int][][]byte{}, following: map[int]*bodyReader{}}
}

func (b *bodyStore) partition(part int) partlog.Partition {
	return partlog.Partition{Topic: b.jobs.Topics.Bodies, Part: part}
}

// put writes all bodies of a job, and the list of its items where that stands apart
// from the acceptance. Writing them again is harmless: the keys are the same, and so
// is the content.
func (b *bodyStore) put(ctx context.Context, s *Submission, list []byte) error {
	p := b.partition(b.jobs.part(s.ID))
	var group []partlog.Record
	if len(list) > 0 {
		group = append(group, partlog.Record{Key: batch.ItemsKey(s.ID), Value: list})
	}
	size := len(list)
	for i := range s.Items {
		for chunk, data := range chunks(s.Items[i].Body) {
			if size+len(data) > callBytes {
				if err := b.append(ctx, p, group); err != nil {
					return err
				}
				group, size = nil, 0
			}
			group = append(group, partlog.Record{Key: batch.BodyKey(s.ID, i, chunk), Value: data})
			size += len(data)
		}
	}
	if len(group) == 0 {
		return nil
	}
	return b.append(ctx, p, group)
}

func (b *bodyStore) append(ctx context.Context, p partlog.Partition, records []partlog.Record) error {
	for attempt := 1; ; attempt++ {
		_, err := b.jobs.Log.Append(ctx, p, records, partlog.Anywhere)
		if err == nil {
			return nil
		}
		if attempt == putAttempts || !duty.Pause(ctx, unsettledPause) {
			// Bodies alone accept nothing, whether they arrived or not.
			return partlog.Unavailable.Wrap(err, "the bodies could not be kept")
		}
	}
}

func chunks(body []byte) [][]byte {
	var list [][]byte
	for len(body) > chunkBytes {
		list = append(list, body[:chunkBytes])
		body = body[chunkBytes:]
	}
	if len(body) > 0 {
		list = append(list, body)
	}
	return list
}

// get returns a body from memory, or from the log.
func (b *bodyStore) get(ctx context.Context, job string, item, size int) ([]byte, error) {
	if body, ok := b.have(job, item, size); ok {
		return body, nil
	}
	p := b.partition(b.jobs.part(job))
	var body []byte
	after := batch.ItemKey(job, item)
	for len(body) < size {
		page, err := b.jobs.Log.Newest(ctx, p, after)
		if err != nil {
			return nil, err
		}
		for _, k := range page.Records {
			after = k.Key
			of, at, _, err := batch.ParseBodyKey(k.Key)
			if err != nil || of != job || at != item {
				return nil, partlog.Invalid.New("the body of %s item %d has %d of %d bytes", job, item, len(body), size)
			}
			body = append(body, k.Value...)
			if len(body) >= size {
				break
			}
		}
		if len(page.Records) == 0 {
			return nil, partlog.Invalid.New("the body of %s item %d has %d of %d bytes", job, item, len(body), size)
		}
	}
	return body, nil
}

// have returns a body that is held in memory whole.
func (b *bodyStore) have(job string, item, size int) ([]byte, bool) {
	if size == 0 {
		return nil, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var body []byte
	for _, chunk := range b.held[job][item] {
		body = append(body, chunk...)
	}
	return body, len(body) == size
}

// follow reads the bodies of a partition until unfollow.
func (b *bodyStore) follow(ctx context.Context, part int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.following[part] != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	r := &bodyReader{store: b, part: part, position: -1, stop: cancel}
	b.following[part] = r
	go partlog.Follow(ctx, b.jobs.Log, b.partition(part), bodiesPace, r)
}

// unfollow ends the reading of a partition.
func (b *bodyStore) unfollow(part int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.following[part]; r != nil {
		r.stop()
		delete(b.following, part)
	}
}

// drop forgets the body of an item that has ended, or of a whole job.
func (b *bodyStore) drop(job string, item int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.held[job], item)
	if len(b.held[job]) == 0 {
		delete(b.held, job)
	}
}

func (b *bodyStore) dropJob(job string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.held, job)
}

// bodyReader takes the bodies of one partition.
type bodyReader struct {
	store    *bodyStore
	part     int
	position int64
	stop     context.CancelFunc
}

// Position implements partlog.Reader.
func (r *bodyReader) Position() int64 { return r.position }

// Load implements partlog.Reader.
func (r *bodyReader) Load(records []partlog.Kept, end int64) {
	r.keep(records)
	r.position = end
}

// Take implements partlog.Reader.
func (r *bodyReader) Take(page partlog.Page) {
	r.keep(page.Records)
	r.position = page.Next
}

// Heard implements partlog.Reader; the results of the partition tell of outages.
func (r *bodyReader) Heard(time.Time, error) {}

// keep holds the chunks of items that have not ended.
func (r *bodyReader) keep(records []partlog.Kept) {
	for _, k := range records {
		if _, isList := batch.ParseItemsKey(k.Key); isList {
			_ = r.store.jobs.applyItems(k) // it tells of an unreadable one
			continue
		}
		job, item, chunk, err := batch.ParseBodyKey(k.Key)
		if err != nil || len(k.Value) == 0 || r.store.jobs.over(job, item) {
			continue
		}
		r.store.hold(job, item, chunk, k.Value)
	}
	if len(records) > 0 {
		r.store.jobs.runner.wake()
	}
}

func (b *bodyStore) hold(job string, item, chunk int, data []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	items := b.held[job]
	if items == nil {
		items = map[int][][]byte{}
		b.held[job] = items
	}
	for len(items[item]) <= chunk {
		items[item] = append(items[item], nil)
	}
	items[item][chunk] = data
}

// over tells whether an item is known to have ended, or its job.
func (j *Jobs) over(job string, item int) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	known := j.book.Job(job)
	return known != nil && known.Accepted && (known.Ended || known.Finished(item))
}
