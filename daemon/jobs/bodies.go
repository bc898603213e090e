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
	// chunkBytes is the size of a body's records. The log's records hold 256 KiB.
	chunkBytes = 192 << 10
	// maxAppendBytes bounds the records of one append; the log accepts 2 MiB.
	maxAppendBytes = 1 << 20
	// putAttempts bounds the attempts to append one group of chunks.
	putAttempts = 4
)

// bodyStore writes items' bodies to the log and reads them back. The bodies in the
// partitions that this daemon holds are cached in memory until their items end.
type bodyStore struct {
	jobs *Jobs

	mu    sync.Mutex
	cache map[string]map[int][][]byte // job, item, chunk
	// following holds the reader of each followed partition.
	following map[int]*bodyReader
}

func newBodyStore(j *Jobs) *bodyStore {
	return &bodyStore{jobs: j, cache: map[string]map[int][][]byte{}, following: map[int]*bodyReader{}}
}

func (b *bodyStore) partition(part int) partlog.Partition {
	return partlog.Partition{Topic: b.jobs.Topics.Bodies, Part: part}
}

// put writes all bodies of a job, and the list of its items if that is stored apart from
// the acceptance. Writing them again is harmless: the keys are the same, and so is the
// content.
func (b *bodyStore) put(ctx context.Context, s *Submission, list []byte) error {
	p := b.partition(b.jobs.part(s.ID))
	var group []partlog.Record
	if len(list) > 0 {
		group = append(group, partlog.Record{Key: batch.ItemsKey(s.ID), Value: list})
	}
	size := len(list)
	for i := range s.Items {
		for chunk, data := range chunks(s.Items[i].Body) {
			if size+len(data) > maxAppendBytes {
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
		_, err := b.jobs.Log.Append(ctx, p, records, partlog.AnyOffset)
		if err == nil {
			return nil
		}
		if attempt == putAttempts || !duty.Pause(ctx, appendRetryPause) {
			// Without an acceptance the job doesn't exist, whether or not its bodies were
			// written.
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

// get returns a body from the cache, or else from the log.
func (b *bodyStore) get(ctx context.Context, job string, item, size int) ([]byte, error) {
	if body, ok := b.cached(job, item, size); ok {
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
			bodyJob, bodyItem, _, err := batch.ParseBodyKey(k.Key)
			if err != nil || bodyJob != job || bodyItem != item {
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

// cached returns a body from the cache; false if not all of it is there.
func (b *bodyStore) cached(job string, item, size int) ([]byte, bool) {
	if size == 0 {
		return nil, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var body []byte
	for _, chunk := range b.cache[job][item] {
		body = append(body, chunk...)
	}
	return body, len(body) == size
}

// follow starts reading the bodies of a partition; unfollow stops it.
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

// unfollow stops reading a partition.
func (b *bodyStore) unfollow(part int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.following[part]; r != nil {
		r.stop()
		delete(b.following, part)
	}
}

// evict removes the body of an item that has ended from the cache.
func (b *bodyStore) evict(job string, item int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.cache[job], item)
	if len(b.cache[job]) == 0 {
		delete(b.cache, job)
	}
}

func (b *bodyStore) evictJob(job string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.cache, job)
}

// bodyReader caches the bodies of one partition.
type bodyReader struct {
	store    *bodyStore
	part     int
	position int64
	stop     context.CancelFunc
}

// Position implements partlog.Reader.
func (r *bodyReader) Position() int64 { return r.position }

// Load implements partlog.Reader.
func (r *bodyReader) Load(records []partlog.StoredRecord, end int64) {
	r.cacheChunks(records)
	r.position = end
}

// Apply implements partlog.Reader.
func (r *bodyReader) Apply(page partlog.Page) {
	r.cacheChunks(page.Records)
	r.position = page.Next
}

// CallEnded implements partlog.Reader. The cursor of the partition's results reports outages.
func (r *bodyReader) CallEnded(time.Time, error) {}

// cacheChunks caches the chunks of items that have not ended.
func (r *bodyReader) cacheChunks(records []partlog.StoredRecord) {
	for _, k := range records {
		if _, isList := batch.ParseItemsKey(k.Key); isList {
			_ = r.store.jobs.applyItems(k) // it logs an unreadable record
			continue
		}
		job, item, chunk, err := batch.ParseBodyKey(k.Key)
		if err != nil || len(k.Value) == 0 || r.store.jobs.itemEnded(job, item) {
			continue
		}
		r.store.cacheChunk(job, item, chunk, k.Value)
	}
	if len(records) > 0 {
		r.store.jobs.runner.wake()
	}
}

// cacheBody caches a whole body in place of what was cached of it.
func (b *bodyStore) cacheBody(job string, item int, body []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.items(job)[item] = chunks(body)
}

func (b *bodyStore) cacheChunk(job string, item, chunk int, data []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	items := b.items(job)
	for len(items[item]) <= chunk {
		items[item] = append(items[item], nil)
	}
	items[item][chunk] = data
}

// items returns the cached chunks of a job's items, to which the caller may add. b.mu is held.
func (b *bodyStore) items(job string) map[int][][]byte {
	items := b.cache[job]
	if items == nil {
		items = map[int][][]byte{}
		b.cache[job] = items
	}
	return items
}

// itemEnded reports whether the item or its job is known to have ended.
func (j *Jobs) itemEnded(job string, item int) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	known := j.store.Job(job)
	return known != nil && known.Accepted && (known.Ended || known.Finished(item))
}
