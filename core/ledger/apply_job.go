package ledger

import (
	"slices"
	"sort"
)

func (s *State) applyJobEntry(offset, atMs int64, e *Entry) {
	switch {
	case e.Chunk != nil:
		s.addChunk(offset, atMs, e.Chunk)
	case e.Accept != nil:
		s.putHeader(offset, atMs, e.Accept)
	case e.RestateJob != nil:
		s.putHeader(offset, atMs, e.RestateJob)
	case e.RestateChunk != nil:
		s.putChunk(offset, atMs, e.RestateChunk)
	case e.Abort != nil:
		s.dropUpload(uploadID{e.Abort.Job, e.Abort.Upload})
	case e.Starts != nil:
		s.startItems(e.Starts)
	case e.Ends != nil:
		s.endItems(e.Ends)
	case e.Cancel != nil:
		s.setJobState(e.Cancel.Job, JobCancelling, 0)
	case e.Ended != nil:
		s.setJobState(e.Ended.Job, e.Ended.State, atMs)
	}
}

func newJob(name, upload string) *job {
	j := &job{}
	j.Job, j.Upload, j.State = name, upload, JobOpen
	j.object.job = j
	return j
}

// ensureUpload returns the job that holds an upload's chunks, creating it if the reader
// began after the first chunk.
func (s *State) ensureUpload(name, upload string) *job {
	id := uploadID{name, upload}
	j := s.uploads[id]
	if j == nil {
		j = newJob(name, upload)
		s.uploads[id] = j
	}
	return j
}

// ensureJob returns the job, creating it if the reader began after its Accept. Owners
// write an Accept only if no job has the name, so the job that holds the upload's chunks
// becomes the accepted one whether or not this reader has applied all of its chunks: the
// missing ones are rewritten later.
func (s *State) ensureJob(name, upload string) *job {
	if j := s.jobs[name]; j != nil {
		return j
	}
	j := s.ensureUpload(name, upload)
	s.jobs[name] = j
	delete(s.uploads, uploadID{name, upload})
	return j
}

func (s *State) addChunk(offset, atMs int64, e *ChunkEntry) {
	items := make([]ItemBody, len(e.Items))
	for i := range e.Items {
		items[i] = ItemBody{Item: e.Items[i], State: ItemWaiting}
	}
	body := ChunkBody{
		Job: e.Job, Upload: e.Upload, Open: true, First: e.First, Items: items,
	}
	s.putChunk(offset, atMs, &body)
}

func (s *State) putChunk(offset, atMs int64, b *ChunkBody) {
	var j *job
	if b.Open {
		j = s.ensureUpload(b.Job, b.Upload)
	} else {
		j = s.ensureJob(b.Job, b.Upload)
	}
	c := s.ensureChunk(j, b.First, len(b.Items))
	j.received += len(b.Items) - len(c.items)
	j.countItems(c, -1)
	c.items = b.Items
	j.countItems(c, 1)
	s.recordFullState(&c.object, offset, atMs, c.size())
}

// ensureChunk returns the chunk that begins at first, creating it if there is none. A
// chunk longer than n is split: the remainder keeps its position in the list of objects
// by age, because its last full state is still the old one.
func (s *State) ensureChunk(j *job, first, n int) *chunk {
	at := sort.Search(len(j.chunks), func(i int) bool { return j.chunks[i].first >= first })
	if at == len(j.chunks) || j.chunks[at].first != first {
		c := j.newChunk(first)
		j.chunks = slices.Insert(j.chunks, at, c)
		return c
	}
	c := j.chunks[at]
	if len(c.items) <= n {
		return c
	}
	rest := j.newChunk(first + n)
	rest.items, c.items = c.items[n:], c.items[:n:n]
	if len(c.routes) > n {
		rest.routes, c.routes = c.routes[n:], c.routes[:n:n]
	}
	rest.fullOffset, rest.appliedBytes, rest.atMs = c.fullOffset, c.appliedBytes, c.atMs
	rest.bytes = rest.size()
	s.liveBytes += rest.bytes
	s.addBytes(&c.object, c.size()-c.bytes)
	rest.elem = s.live.InsertAfter(&rest.object, c.elem)
	j.chunks = slices.Insert(j.chunks, at+1, rest)
	return c
}

func (j *job) newChunk(first int) *chunk {
	c := &chunk{owner: j, first: first}
	c.object.chunk = c
	return c
}

func (j *job) countItems(c *chunk, sign int) {
	for i := range c.items {
		j.count(c.items[i].State, sign)
	}
}

func (j *job) count(state ItemState, sign int) {
	switch state {
	case ItemCompleted:
		j.completed += sign
	case ItemFailed:
		j.failed += sign
	}
}

func (s *State) putHeader(offset, atMs int64, h *JobHeader) {
	j := s.ensureJob(h.Job, h.Upload)
	j.JobHeader = *h
	s.recordFullState(&j.object, offset, atMs, j.headerSize())
	for id := range s.uploads {
		if id.job == h.Job {
			s.dropUpload(id)
		}
	}
}

func (s *State) setJobState(name string, state JobState, atMs int64) {
	j := s.jobs[name]
	if j == nil {
		return
	}
	j.State = state
	if atMs != 0 {
		j.EndedMs = atMs
	}
}

func (s *State) startItems(e *ItemStarts) {
	for _, m := range e.Marks {
		_, it := s.item(m.Job, m.Index)
		if it == nil || it.ended() {
			continue
		}
		it.Started, it.Attempts = m.Steward, m.Attempt
	}
}

// endItems applies the ends of items; the first end of an item in log order is the
// result.
func (s *State) endItems(e *ItemEnds) {
	for i := range e.Changes {
		s.endItem(&e.Changes[i])
	}
}

func (s *State) endItem(ch *ItemChange) {
	c, it := s.item(ch.Job, ch.Index)
	if it == nil || it.ended() {
		return
	}
	before := it.size()
	it.State, it.Attempts = ch.State, max(ch.Attempt, it.Attempts)
	it.Answer, it.Refusal, it.Progress = ch.Answer, ch.Refusal, ch.Progress
	it.Suspect, it.Crashes, it.Started = ch.Suspect, ch.Crashes, ""
	it.Failures = ch.Failures
	if it.ended() {
		it.Item.Body, it.Progress = nil, nil // not needed after the end
		c.owner.count(ch.State, 1)
	}
	s.addBytes(&c.object, it.size()-before)
}

// item returns the item of an accepted job with the line number, nil if there is none.
func (s *State) item(name string, index int) (*chunk, *ItemBody) {
	j := s.jobs[name]
	if j == nil {
		return nil, nil
	}
	c := j.chunkOf(index)
	if c == nil {
		return nil, nil
	}
	return c, &c.items[index-c.first]
}

func (j *job) chunkOf(index int) *chunk {
	after := sort.Search(len(j.chunks), func(i int) bool { return j.chunks[i].first > index })
	if after == 0 {
		return nil
	}
	c := j.chunks[after-1]
	if index >= c.first+len(c.items) {
		return nil
	}
	return c
}

func (s *State) dropUpload(id uploadID) {
	if j := s.uploads[id]; j != nil {
		s.dropJob(j)
		delete(s.uploads, id)
	}
}

func (s *State) dropJob(j *job) {
	s.removeObject(&j.object)
	for _, c := range j.chunks {
		s.removeObject(&c.object)
	}
}

func (it *ItemBody) ended() bool { return it.State == ItemCompleted || it.State == ItemFailed }

func (it *ItemBody) size() int64 {
	n := len(it.Item.CustomID) + len(it.Item.URL) + len(it.Item.Body) + 16
	for _, token := range it.Progress {
		n += len(token) + 1
	}
	return int64(n) + it.Answer.size() + it.Refusal.size()
}

func (c *chunk) size() int64 {
	n := int64(objectOverhead)
	for i := range c.items {
		n += c.items[i].size()
	}
	return n
}

func (j *job) headerSize() int64 {
	return int64(len(j.Job)+len(j.Upload)+len(j.Profile)+len(j.Fingerprint)) + objectOverhead
}
