package ledger

const (
	// restateFloor and restateFactor: full states are appended anew once the
	// stream from Low on is longer than restateFactor times the live state and
	// the floor. Each round costs the live state once and halves the stream, so
	// at most half of what is appended is restating.
	restateFloor  = 4 << 20
	restateFactor = 2
	// retentionShare: a state is also appended anew once it is older than this
	// part of the log's retention, long before it could expire.
	retentionShare = 3
	// restateBytes bounds what one record restates, so that other changes don't
	// wait for it.
	restateBytes = 128 << 10
	// sweepMs is how often kept answers and results are looked through.
	sweepMs = 10_000
	// forgetBatch bounds the names in one Forget.
	forgetBatch = 512
)

func (o *Owner) restateDue(x *object) bool {
	if x == nil || o.phase != holding {
		return false
	}
	if o.now-x.atMs > o.cfg.RetentionMs/retentionShare {
		return true
	}
	return o.st.folded-x.folded > restateFactor*o.st.liveBytes+restateFloor
}

// termDue tells that the last valid record, which carries the term, is so old
// that an idle shard must append one before it expires.
func (o *Owner) termDue() bool {
	return o.phase == holding && o.now-o.st.lastAtMs > o.cfg.RetentionMs/retentionShare
}

// restate adds full states of the oldest objects to a record. They are exact,
// because a record is built only when all earlier ones have been folded, and
// they come before the record's other entries. It returns their size.
func (o *Owner) restate(rec *Record) (bytes int) {
	room := int64(restateBytes)
	for e := o.st.live.Front(); e != nil && room > 0; e = e.Next() {
		x := e.Value.(*object)
		if !o.restateDue(x) {
			break
		}
		entry, size := x.full(room)
		room -= size
		bytes += int(size)
		rec.Entries = append(rec.Entries, entry)
		o.figures.Restated++
	}
	return bytes
}

// full returns the object's full state; of a chunk, as many items from its
// front as there is room for.
func (x *object) full(room int64) (Entry, int64) {
	switch {
	case x.request != nil:
		body := x.request.RequestBody
		return Entry{RestateRequest: &body}, x.bytes
	case x.job != nil:
		header := x.job.JobHeader
		return Entry{RestateJob: &header}, x.bytes
	}
	return x.chunk.full(room)
}

func (c *chunk) full(room int64) (Entry, int64) {
	n, bytes := 0, int64(objectOverhead)
	for n < len(c.items) && (n == 0 || bytes+c.items[n].size() <= room) {
		bytes += c.items[n].size()
		n++
	}
	items := make([]ItemBody, n)
	copy(items, c.items)
	return Entry{RestateChunk: &ChunkBody{
		Job: c.owner.Job, Upload: c.owner.Upload, Open: c.owner.State == JobOpen,
		First: c.first, Items: items,
	}}, bytes
}

// sweep proposes to forget what has been kept for its time.
func (o *Owner) sweep() {
	limits := o.cfg.Limits()
	var f ForgetEntry
	for key, r := range o.st.requests {
		old := r.State != RequestRunning && o.now-r.AtMs > limits.KeptAnswersMs
		if old && o.runs[key] == nil && len(f.Keys) < forgetBatch {
			f.Keys = append(f.Keys, key)
		}
	}
	for name, j := range o.st.jobs {
		done := j.State == JobEnded || j.State == JobCancelled
		if done && o.now-j.EndedMs > limits.KeptResultsMs && len(f.Jobs) < forgetBatch {
			f.Jobs = append(f.Jobs, name)
		}
	}
	for _, key := range f.Keys {
		o.queue(&forgetProposal{subjectOf: requestSubject(key), entry: ForgetEntry{Keys: []string{key}}}, false)
	}
	for _, name := range f.Jobs {
		o.queue(&forgetProposal{subjectOf: jobSubject(name, true), entry: ForgetEntry{Jobs: []string{name}}}, false)
	}
}
