package ledger

import "tarragonhollow.example/tarragonhollow/core/outcome"

const (
	// chunkBytes is the size of one chunk on the log.
	chunkBytes = 256 << 10
	// uploadWindow is how much of an upload may wait for the log before the
	// next chunk is asked for.
	uploadWindow = 512 << 10
	// uploadIdleMs is how long an upload may rest before it is dropped.
	uploadIdleMs = 60_000
	// uploadWaitMs bounds how long a chunk or commit waits for the log.
	uploadWaitMs = 10_000
)

// upload is a job on its way in.
type upload struct {
	open   JobOpenRequest
	lastMs int64
	// index is the next chunk request, first the line number of its first item.
	index int
	first int
	// queued and pending are the bytes and chunks that wait to be read back.
	queued  int
	pending int
	// known tells that the job existed when the upload was opened: its items
	// are not stored again, only its fingerprint is compared.
	known bool
	// broken holds why the upload can't go on.
	broken *outcome.Refusal

	room      []waiter
	commit    *JobCommitRequest
	commits   []waiter
	accepting bool
	acceptAt  int64
}

func (u *upload) id() uploadID { return uploadID{u.open.Job, u.open.Upload} }

func interrupted() *outcome.Refusal {
	return outcome.Refuse(outcome.NoOwner, "the upload was interrupted, send the job again").
		After(outageRetryMs)
}

// OpenJob begins an upload.
func (o *Owner) OpenJob(nowMs int64, req JobOpenRequest) JobOpenReply {
	o.now = nowMs
	if !o.LogOK() {
		return JobOpenReply{Refusal: logUnavailable()}
	}
	id := uploadID{req.Job, req.Upload}
	if o.uploads[id] == nil {
		o.uploads[id] = &upload{open: req, lastMs: nowMs, known: o.st.jobs[req.Job] != nil}
	}
	return JobOpenReply{}
}

// AddItems steps the next chunk of an upload in. A chunk sent again because its
// reply was lost is taken once.
func (o *Owner) AddItems(nowMs int64, call CallID, req JobChunkRequest) {
	o.now = nowMs
	u := o.uploads[uploadID{req.Job, req.Upload}]
	if req.Abandon {
		o.abandon(u)
		o.reply(Reply{Call: call, Chunk: &JobChunkReply{}})
		return
	}
	refusal := o.addItems(u, &req)
	if refusal != nil {
		o.reply(Reply{Call: call, Chunk: &JobChunkReply{Refusal: refusal}})
		return
	}
	u.lastMs = nowMs
	u.room = append(u.room, waiter{call: call, until: nowMs + uploadWaitMs})
	o.giveRoom(u)
}

// abandon forgets an upload and drops its chunks.
//
// Failure guarded against: a caller whose job has a fault in its last line sends
// it again and again; each try would keep its items in memory for a minute.
// Nothing of it was accepted: once forgotten it can't be committed any more.
func (o *Owner) abandon(u *upload) {
	if u == nil || u.accepting {
		return // an accept on its way decides
	}
	id := u.id()
	o.breakUpload(u, interrupted())
	delete(o.uploads, id)
	// A chunk that is read back later comes into a new entry, for the tick to drop.
	if j := o.st.uploads[id]; j != nil && !j.aborting {
		j.aborting = true
		o.queue(&abortProposal{id: id}, false)
	}
}

func (o *Owner) addItems(u *upload, req *JobChunkRequest) *outcome.Refusal {
	switch {
	case u == nil || req.Index > u.index:
		return interrupted()
	case u.broken != nil:
		return u.broken
	case req.Index < u.index:
		return nil
	}
	for i := range req.Items {
		if len(req.Items[i].Body) > maxItemBytes {
			u.broken = outcome.Refuse(outcome.TooLarge, "item %q has %d bytes, at most %d are kept",
				req.Items[i].CustomID, len(req.Items[i].Body), maxItemBytes)
			return u.broken
		}
	}
	u.index++
	if u.known {
		u.first += len(req.Items)
		return nil
	}
	o.queueChunks(u, req.Items)
	return nil
}

func (o *Owner) queueChunks(u *upload, items []Item) {
	for len(items) > 0 {
		n, bytes := 0, 0
		for n < len(items) && (n == 0 || bytes < chunkBytes) {
			bytes += len(items[n].Body) + len(items[n].CustomID) + len(items[n].URL) + objectOverhead
			n++
		}
		p := &chunkProposal{upload: u, bytes: bytes, entry: ChunkEntry{
			Job: u.open.Job, Upload: u.open.Upload, First: u.first, Items: items[:n:n],
		}}
		u.first += n
		u.queued += bytes
		u.pending++
		o.queue(p, false)
		items = items[n:]
	}
}

func (o *Owner) giveRoom(u *upload) {
	if u.broken == nil && u.queued > uploadWindow {
		return
	}
	for _, w := range u.room {
		o.reply(Reply{Call: w.call, Chunk: &JobChunkReply{Refusal: u.broken}})
	}
	u.room = nil
}

// chunkProposal puts a chunk of an upload on the log.
type chunkProposal struct {
	upload *upload
	bytes  int
	entry  ChunkEntry
}

func (p *chunkProposal) subject() subject { return jobSubject(p.entry.Job, false) }

func (p *chunkProposal) size() int { return p.bytes }

func (p *chunkProposal) entries(o *Owner) []Entry {
	if p.upload.broken != nil || o.st.jobs[p.entry.Job] != nil {
		return nil // the job came by another upload meanwhile
	}
	return []Entry{{Chunk: &p.entry}}
}

func (p *chunkProposal) settled(o *Owner) {
	u := p.upload
	u.queued -= p.bytes
	u.pending--
	if j := o.st.uploads[u.id()]; j != nil {
		if c := j.chunkOf(p.entry.First); c != nil {
			o.findRoutes(c)
		}
	}
	o.giveRoom(u)
	o.tryAccept(u)
}

func (p *chunkProposal) withdraw(o *Owner, cause *outcome.Refusal) bool {
	o.breakUpload(p.upload, cause)
	return true
}

// breakUpload ends an upload that can't be completed; nothing was accepted.
func (o *Owner) breakUpload(u *upload, cause *outcome.Refusal) {
	u.broken = cause
	o.giveRoom(u)
	o.answerCommits(u, JobCommitReply{Refusal: cause})
}

// CommitJob steps the end of an upload in.
func (o *Owner) CommitJob(nowMs int64, call CallID, req JobCommitRequest) {
	o.now = nowMs
	u := o.uploads[uploadID{req.Job, req.Upload}]
	if j := o.st.jobs[req.Job]; j != nil {
		r := o.compare(j, &req)
		o.reply(Reply{Call: call, Commit: &r})
		return
	}
	refusal := u.refuseCommit(&req)
	if refusal != nil {
		o.reply(Reply{Call: call, Commit: &JobCommitReply{Refusal: refusal}})
		return
	}
	u.lastMs = nowMs
	u.commit = &req
	u.commits = append(u.commits, waiter{call: call, until: nowMs + uploadWaitMs})
	o.tryAccept(u)
}

func (u *upload) refuseCommit(req *JobCommitRequest) *outcome.Refusal {
	switch {
	case u == nil || u.known || u.index != req.Chunks:
		return interrupted()
	case u.broken != nil:
		return u.broken
	case u.first != req.Items:
		return outcome.Refuse(outcome.BadRequest, "%d items were sent, %d committed", u.first, req.Items)
	}
	return nil
}

// compare answers a commit of a job that is there: the same job, or a conflict
// that changes nothing.
func (o *Owner) compare(j *job, req *JobCommitRequest) JobCommitReply {
	if j.Fingerprint != req.Fingerprint {
		return JobCommitReply{Refusal: outcome.Refuse(outcome.Conflict,
			"a job of this name has other content, nothing was changed")}
	}
	return JobCommitReply{Created: j.Upload == req.Upload, Status: o.status(j)}
}

// tryAccept proposes the job once all its chunks were read back.
func (o *Owner) tryAccept(u *upload) {
	if u.commit == nil || u.pending > 0 || u.accepting || u.broken != nil {
		return
	}
	u.accepting = true
	o.queue(&acceptProposal{upload: u}, true)
}

func (o *Owner) answerCommits(u *upload, r JobCommitReply) {
	for _, w := range u.commits {
		reply := r
		o.reply(Reply{Call: w.call, Commit: &reply})
	}
	u.commits = nil
}

// acceptProposal makes an upload the job.
type acceptProposal struct{ upload *upload }

func (p *acceptProposal) subject() subject { return jobSubject(p.upload.open.Job, true) }

func (p *acceptProposal) size() int { return objectOverhead }

// entries is empty if another upload of the job came first.
func (p *acceptProposal) entries(o *Owner) []Entry {
	u := p.upload
	if o.st.jobs[u.open.Job] != nil || u.broken != nil {
		return nil
	}
	u.acceptAt = o.now
	return []Entry{{Accept: &JobHeader{
		Job: u.open.Job, Upload: u.open.Upload, Profile: u.open.Profile,
		Fingerprint: u.commit.Fingerprint, State: JobAccepted, Items: u.first,
		Repeatable: u.open.Repeatable, MaxAttempts: u.open.MaxAttempts,
		AcceptedMs: o.now, DueMs: u.open.DueMs,
	}}}
}

func (p *acceptProposal) settled(o *Owner) {
	u := p.upload
	j := o.st.jobs[u.open.Job]
	if j == nil || u.commit == nil {
		return
	}
	o.answerCommits(u, o.compare(j, u.commit))
	delete(o.uploads, u.id())
	if j.Upload == u.open.Upload {
		o.addSched(j, 0)
	}
}

func (p *acceptProposal) withdraw(o *Owner, cause *outcome.Refusal) bool {
	o.breakUpload(p.upload, cause)
	return true
}

// tickUploads ends waits and drops uploads that rest or are broken, also those
// that a predecessor left behind.
func (o *Owner) tickUploads() {
	for id, u := range o.uploads {
		u.room = o.expire(u.room, func(w waiter) {
			o.reply(Reply{Call: w.call, Chunk: &JobChunkReply{Refusal: interrupted()}})
		})
		u.commits = o.expire(u.commits, func(w waiter) {
			// The accept may be on the log already, so the job may be taken on.
			refusal := logUnavailable().WithRun(outcome.MayHaveRun)
			o.reply(Reply{Call: w.call, Commit: &JobCommitReply{Refusal: refusal}})
		})
		if o.now-u.lastMs > uploadIdleMs && u.pending == 0 {
			delete(o.uploads, id)
		}
	}
	if o.now-o.heldSinceMs < uploadIdleMs {
		return
	}
	for id, j := range o.st.uploads {
		if o.uploads[id] == nil && !j.aborting {
			j.aborting = true
			o.queue(&abortProposal{id: id}, false)
		}
	}
}

// abortProposal drops an upload that never committed.
type abortProposal struct{ id uploadID }

func (p *abortProposal) subject() subject { return jobSubject(p.id.job, true) }

func (p *abortProposal) size() int { return objectOverhead }

func (p *abortProposal) entries(o *Owner) []Entry {
	if o.st.uploads[p.id] == nil || o.uploads[p.id] != nil {
		return nil
	}
	return []Entry{{Abort: &AbortEntry{Job: p.id.job, Upload: p.id.upload}}}
}

func (p *abortProposal) settled(*Owner) {}

func (p *abortProposal) withdraw(*Owner, *outcome.Refusal) bool { return false }
