package ledger

import "tarragonhollow.example/tarragonhollow/core/outcome"

const (
	// chunkBytes is the size at which a chunk on the log is full.
	chunkBytes = 256 << 10
	// uploadWindow is how many bytes of an upload may wait for the log before the owner
	// delays its reply to a chunk.
	uploadWindow = 512 << 10
	// uploadIdleMs is how long an upload may be idle before it is dropped.
	uploadIdleMs = 60_000
	// uploadWaitMs bounds how long a chunk or commit waits for the log.
	uploadWaitMs = 10_000
)

// upload is a job that is being uploaded.
type upload struct {
	open   JobOpenRequest
	lastMs int64
	// index is the expected index of the next chunk request, first the line number of its
	// first item.
	index int
	first int
	// queued and pending are the bytes and the number of the chunks that wait to be read
	// back.
	queued  int
	pending int
	// jobExists reports that the job existed when the upload was opened: its items are
	// not stored again, only its fingerprint is compared.
	jobExists bool
	// failure is why the upload can't continue; nil if it can.
	failure *outcome.Refusal

	chunkWaiters  []waiter
	commit        *JobCommitRequest
	commitWaiters []waiter
	accepting     bool
	acceptAt      int64
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
		o.uploads[id] = &upload{open: req, lastMs: nowMs, jobExists: o.st.jobs[req.Job] != nil}
	}
	return JobOpenReply{}
}

// AddItems handles the next chunk of an upload. A chunk that is sent again because its
// reply was lost is stored once.
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
	u.chunkWaiters = append(u.chunkWaiters, waiter{call: call, until: nowMs + uploadWaitMs})
	o.answerChunks(u)
}

// abandon removes an upload and drops its chunks at once. Otherwise a caller that
// repeatedly sends a job with an invalid last line would leave the items of each try in
// memory for a minute. Nothing of the upload was accepted, and it can't be committed
// after this.
func (o *Owner) abandon(u *upload) {
	if u == nil || u.accepting {
		return // the proposed accept decides
	}
	id := u.id()
	o.failUpload(u, interrupted())
	delete(o.uploads, id)
	// A chunk that is read back later creates a new entry, which tickUploads drops.
	if j := o.st.uploads[id]; j != nil && !j.aborting {
		j.aborting = true
		o.propose(&abortProposal{id: id}, false)
	}
}

func (o *Owner) addItems(u *upload, req *JobChunkRequest) *outcome.Refusal {
	switch {
	case u == nil || req.Index > u.index:
		return interrupted()
	case u.failure != nil:
		return u.failure
	case req.Index < u.index:
		return nil
	}
	for i := range req.Items {
		if len(req.Items[i].Body) > maxItemBytes {
			u.failure = outcome.Refuse(outcome.TooLarge, "item %q has %d bytes, at most %d are kept",
				req.Items[i].CustomID, len(req.Items[i].Body), maxItemBytes)
			return u.failure
		}
	}
	u.index++
	if u.jobExists {
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
		o.propose(p, false)
		items = items[n:]
	}
}

func (o *Owner) answerChunks(u *upload) {
	if u.failure == nil && u.queued > uploadWindow {
		return
	}
	for _, w := range u.chunkWaiters {
		o.reply(Reply{Call: w.call, Chunk: &JobChunkReply{Refusal: u.failure}})
	}
	u.chunkWaiters = nil
}

// chunkProposal writes a chunk of an upload to the log.
type chunkProposal struct {
	upload *upload
	bytes  int
	entry  ChunkEntry
}

func (p *chunkProposal) subject() subject { return jobSubject(p.entry.Job, false) }

func (p *chunkProposal) size() int { return p.bytes }

func (p *chunkProposal) entries(o *Owner) []Entry {
	if p.upload.failure != nil || o.st.jobs[p.entry.Job] != nil {
		return nil // another upload of the job was accepted meanwhile
	}
	return []Entry{{Chunk: &p.entry}}
}

func (p *chunkProposal) done(o *Owner) {
	u := p.upload
	u.queued -= p.bytes
	u.pending--
	if j := o.st.uploads[u.id()]; j != nil {
		if c := j.chunkOf(p.entry.First); c != nil {
			o.findRoutes(c)
		}
	}
	o.answerChunks(u)
	o.tryAccept(u)
}

func (p *chunkProposal) withdraw(o *Owner, cause *outcome.Refusal) bool {
	o.failUpload(p.upload, cause)
	return true
}

// failUpload ends an upload that can't be completed; nothing of it was accepted.
func (o *Owner) failUpload(u *upload, cause *outcome.Refusal) {
	u.failure = cause
	o.answerChunks(u)
	o.answerCommits(u, JobCommitReply{Refusal: cause})
}

// CommitJob handles the commit of an upload.
func (o *Owner) CommitJob(nowMs int64, call CallID, req JobCommitRequest) {
	o.now = nowMs
	u := o.uploads[uploadID{req.Job, req.Upload}]
	if j := o.st.jobs[req.Job]; j != nil {
		r := o.compareCommit(j, &req)
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
	u.commitWaiters = append(u.commitWaiters, waiter{call: call, until: nowMs + uploadWaitMs})
	o.tryAccept(u)
}

func (u *upload) refuseCommit(req *JobCommitRequest) *outcome.Refusal {
	switch {
	case u == nil || u.jobExists || u.index != req.Chunks:
		return interrupted()
	case u.failure != nil:
		return u.failure
	case u.first != req.Items:
		return outcome.Refuse(outcome.BadRequest, "%d items were sent, %d committed", u.first, req.Items)
	}
	return nil
}

// compareCommit returns the reply to the commit of a job that exists: its status if the
// job is the same, or a conflict, which changes nothing.
func (o *Owner) compareCommit(j *job, req *JobCommitRequest) JobCommitReply {
	if j.Fingerprint != req.Fingerprint {
		return JobCommitReply{Refusal: outcome.Refuse(outcome.Conflict,
			"a job of this name has other content, nothing was changed")}
	}
	return JobCommitReply{Created: j.Upload == req.Upload, Status: o.status(j)}
}

// tryAccept proposes the job if it was committed and all its chunks were read back.
func (o *Owner) tryAccept(u *upload) {
	if u.commit == nil || u.pending > 0 || u.accepting || u.failure != nil {
		return
	}
	u.accepting = true
	o.propose(&acceptProposal{upload: u}, true)
}

func (o *Owner) answerCommits(u *upload, r JobCommitReply) {
	for _, w := range u.commitWaiters {
		reply := r
		o.reply(Reply{Call: w.call, Commit: &reply})
	}
	u.commitWaiters = nil
}

// acceptProposal turns an upload into the job.
type acceptProposal struct{ upload *upload }

func (p *acceptProposal) subject() subject { return jobSubject(p.upload.open.Job, true) }

func (p *acceptProposal) size() int { return objectOverhead }

// entries returns nothing if another upload of the job was accepted first or this one
// failed.
func (p *acceptProposal) entries(o *Owner) []Entry {
	u := p.upload
	if o.st.jobs[u.open.Job] != nil || u.failure != nil {
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

func (p *acceptProposal) done(o *Owner) {
	u := p.upload
	j := o.st.jobs[u.open.Job]
	if j == nil || u.commit == nil {
		return
	}
	o.answerCommits(u, o.compareCommit(j, u.commit))
	delete(o.uploads, u.id())
	if j.Upload == u.open.Upload {
		o.addSched(j, 0)
	}
}

func (p *acceptProposal) withdraw(o *Owner, cause *outcome.Refusal) bool {
	o.failUpload(p.upload, cause)
	return true
}

// tickUploads expires waiting calls and drops uploads that are idle, including those that
// a previous owner left on the log.
func (o *Owner) tickUploads() {
	for id, u := range o.uploads {
		u.chunkWaiters = o.expireWaiters(u.chunkWaiters, func(w waiter) {
			o.reply(Reply{Call: w.call, Chunk: &JobChunkReply{Refusal: interrupted()}})
		})
		u.commitWaiters = o.expireWaiters(u.commitWaiters, func(w waiter) {
			// The accept may be on the log already, so the job may be accepted.
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
			o.propose(&abortProposal{id: id}, false)
		}
	}
}

// abortProposal drops an upload that was not committed.
type abortProposal struct{ id uploadID }

func (p *abortProposal) subject() subject { return jobSubject(p.id.job, true) }

func (p *abortProposal) size() int { return objectOverhead }

func (p *abortProposal) entries(o *Owner) []Entry {
	if o.st.uploads[p.id] == nil || o.uploads[p.id] != nil {
		return nil
	}
	return []Entry{{Abort: &AbortEntry{Job: p.id.job, Upload: p.id.upload}}}
}

func (p *abortProposal) done(*Owner) {}

func (p *abortProposal) withdraw(*Owner, *outcome.Refusal) bool { return false }
