package ledger

const (
	// Objects are rewritten forward on the log once the stream from Low on is longer than
	// rewriteFactor times the live state plus rewriteMinBytes. Each round appends the
	// live state once and halves the stream, so at most half of what is appended is
	// rewritten state.
	rewriteMinBytes = 4 << 20
	rewriteFactor   = 2
	// An object is also rewritten once its last full state is older than the log's
	// retention divided by retentionShare, long before it could expire.
	retentionShare = 3
	// rewriteMaxBytes bounds the rewritten state in one record, so that other changes
	// don't have to wait for it.
	rewriteMaxBytes = 128 << 10
	// gcIntervalMs is how often stored answers and results are checked for expiry.
	gcIntervalMs = 10_000
	// maxForgetNames bounds the keys, and the jobs, that one garbage collection drops.
	maxForgetNames = 512
)

func (o *Owner) rewriteDue(x *object) bool {
	if x == nil || o.phase != holding {
		return false
	}
	if o.now-x.atMs > o.cfg.RetentionMs/retentionShare {
		return true
	}
	return o.st.appliedBytes-x.appliedBytes > rewriteFactor*o.st.liveBytes+rewriteMinBytes
}

// keepAliveDue reports whether the last valid record, which carries the term, is so old
// that an idle shard must append a record before it expires.
func (o *Owner) keepAliveDue() bool {
	return o.phase == holding && o.now-o.st.lastAtMs > o.cfg.RetentionMs/retentionShare
}

// rewriteOldest adds the full states of the oldest objects to a record and returns their
// size in bytes. The states are exact: a record is built only when all earlier ones have
// been applied, and the full states precede the record's other entries.
func (o *Owner) rewriteOldest(rec *Record) (bytes int) {
	bytesLeft := int64(rewriteMaxBytes)
	for e := o.st.live.Front(); e != nil && bytesLeft > 0; e = e.Next() {
		x := e.Value.(*object)
		if !o.rewriteDue(x) {
			break
		}
		entry, size := x.full(bytesLeft)
		bytesLeft -= size
		bytes += int(size)
		rec.Entries = append(rec.Entries, entry)
		o.stats.Rewritten++
	}
	return bytes
}

// full returns an entry with the object's full state and its size; for a chunk, as many
// items from its front as fit into maxBytes, but at least one.
func (x *object) full(maxBytes int64) (Entry, int64) {
	switch {
	case x.request != nil:
		body := x.request.RequestBody
		return Entry{RestateRequest: &body}, x.bytes
	case x.job != nil:
		header := x.job.JobHeader
		return Entry{RestateJob: &header}, x.bytes
	}
	return x.chunk.full(maxBytes)
}

func (c *chunk) full(maxBytes int64) (Entry, int64) {
	n, bytes := 0, int64(objectOverhead)
	for n < len(c.items) && (n == 0 || bytes+c.items[n].size() <= maxBytes) {
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

// collectGarbage proposes to drop the answers and jobs whose retention time is over.
func (o *Owner) collectGarbage() {
	limits := o.cfg.Limits()
	var f ForgetEntry
	for key, r := range o.st.requests {
		expired := r.State != RequestRunning && o.now-r.AtMs > limits.KeptAnswersMs
		if expired && o.runs[key] == nil && len(f.Keys) < maxForgetNames {
			f.Keys = append(f.Keys, key)
		}
	}
	for name, j := range o.st.jobs {
		ended := j.State == JobEnded || j.State == JobCancelled
		if ended && o.now-j.EndedMs > limits.KeptResultsMs && len(f.Jobs) < maxForgetNames {
			f.Jobs = append(f.Jobs, name)
		}
	}
	for _, key := range f.Keys {
		o.propose(&forgetProposal{subjectOf: requestSubject(key), entry: ForgetEntry{Keys: []string{key}}}, false)
	}
	for _, name := range f.Jobs {
		o.propose(&forgetProposal{subjectOf: jobSubject(name, true), entry: ForgetEntry{Jobs: []string{name}}}, false)
	}
}
