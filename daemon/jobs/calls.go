package jobs

import (
	"context"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/batch"
	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/core/route"
	"tarragonhollow.example/tarragonhollow/extern/partlog"
)

const (
	// retryAfterMs tells callers when to come back while the log is out: its
	// outages last seconds.
	retryAfterMs = 500
	// quotaRetryMs tells callers when to come back to a full quota: items take
	// seconds.
	quotaRetryMs = 1000
	// maxReadBytes bounds the results of one read.
	maxReadBytes = 900 << 10
	// contention bounds how often an append starts over because others came
	// first.
	contention = 20
	// freshFor is how old the last reading of a partition may be when a caller is
	// told that it holds nothing new; what one daemon shows, all must show within
	// a second.
	freshFor = 300 * time.Millisecond
)

// Submission is a job as a caller hands it in.
type Submission struct {
	ID string
	// Account is the client account's name, "" if there is none.
	Account    string
	Host, Path string
	Items      []SubmittedItem
}

// SubmittedItem is an item with its body.
type SubmittedItem struct {
	batch.Item
	Body []byte
}

// Submit accepts the job, or returns why not. Nil means that the job is kept:
// its acceptance and all its bodies are acknowledged by the log. A refusal that
// says not_run is final for this call: nothing that could accept the job was
// sent.
func (j *Jobs) Submit(ctx context.Context, s *Submission, r *route.Route) *outcome.Refusal {
	refusal := j.handIn(ctx, s, r, newRecord(s, r))
	j.tellSubmitted(s, r, refusal, "caller")
	return refusal
}

func (j *Jobs) tellSubmitted(s *Submission, r *route.Route, refusal *outcome.Refusal, from string) {
	word := "accepted"
	if refusal != nil {
		word = string(refusal.Code)
	}
	j.Logger.Info("job_submitted", zap.String("job", s.ID), zap.String("account", s.Account), zap.String("from", from), zap.String("route", r.Name),
		zap.Int("items", len(s.Items)), zap.String("outcome", word), zap.Bool("log_lost", j.accepted.lost()),
		zap.Int64("waiting_tokens", j.waiting(r.Quota(s.Account))), zap.Int64("cap", r.TokenCap))
}

func (j *Jobs) waiting(quota string) int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.book.Waiting(quota)
}

func newRecord(s *Submission, r *route.Route) *batch.JobRecord {
	record := &batch.JobRecord{ID: s.ID, Account: s.Account, Host: s.Host, Path: s.Path, Quota: r.Quota(s.Account), AcceptedMs: time.Now().UnixMilli()}
	for i := range s.Items {
		item := s.Items[i].Item
		item.BodyBytes = len(s.Items[i].Body)
		record.Items = append(record.Items, item)
	}
	return record
}

func (j *Jobs) submit(ctx context.Context, s *Submission, r *route.Route, record *batch.JobRecord) *outcome.Refusal {
	if !j.following.running() {
		if err := j.catchUpAccepted(ctx); err != nil {
			return logOut(err)
		}
	}
	if known, refusal := j.lookAtAll(ctx, record, r); known || refusal != nil {
		return refusal
	}
	acceptance, list, err := record.Split()
	if err != nil {
		return outcome.Refuse(outcome.BadRequest, "%v", err)
	}
	value, err := batch.Encode(acceptance)
	if err != nil {
		return outcome.Refuse(outcome.BadRequest, "%v", err)
	}
	// The bodies and the list go first: once the acceptance stands, any daemon may be
	// asked for them, and this one may be gone.
	if err := j.bodies.put(ctx, s, list); err != nil {
		return logOut(err)
	}
	records := []partlog.Record{{Key: batch.AcceptedKey(s.ID), Value: value}}
	for range contention {
		at := j.accepted.Position()
		if known, refusal := j.lookAtAll(ctx, record, r); known || refusal != nil {
			return refusal
		}
		unsettled, err := j.appendAt(ctx, j.accepted, at, records)
		if err == nil {
			return nil
		}
		if !partlog.IsConflict(err) {
			return logOut(err)
		}
		if err := j.catchUp(ctx, j.accepted); err != nil {
			return whetherSent(logOut(err), unsettled)
		}
	}
	if known, refusal := j.lookAtAll(ctx, record, r); known || refusal != nil {
		return refusal
	}
	return logOut(partlog.Conflict.New("others kept coming first"))
}

// whetherSent keeps a refusal true: an acceptance without an answer may have
// taken effect.
func whetherSent(refusal *outcome.Refusal, unsettled bool) *outcome.Refusal {
	if !unsettled {
		return refusal
	}
	return refusal.WithRun(outcome.MayHaveRun)
}

// lookAtAll is lookAt, which counts items as waiting whose results were not read
// here. Before a job is refused for the quota, all results are read.
func (j *Jobs) lookAtAll(ctx context.Context, record *batch.JobRecord, r *route.Route) (bool, *outcome.Refusal) {
	known, refusal := j.lookAt(record, r)
	if refusal == nil || refusal.Code != outcome.CallerLimit {
		return known, refusal
	}
	for _, c := range j.results {
		if j.readWithin(c, freshFor) {
			continue
		}
		if c.Position() < 0 && !j.loads.take(time.Now(), j.Fleet()) {
			return false, logOut(partlog.Unavailable.New("what waits is not known here"))
		}
		if err := j.catchUp(ctx, c); err != nil {
			return false, logOut(err)
		}
	}
	return j.lookAt(record, r)
}

// lookAt tells whether the job is known, or why it can't be accepted.
func (j *Jobs) lookAt(record *batch.JobRecord, r *route.Route) (bool, *outcome.Refusal) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if known := j.book.Job(record.ID); known != nil && (known.Accepted || known.Ended) {
		if known.Accepted && !known.BelongsTo(record.Account) {
			return false, outcome.Refuse(outcome.Conflict, "the ID %s can't be used", record.ID)
		}
		return true, nil
	}
	if j.accepted.position < 0 {
		return false, logOut(partlog.Unavailable.New("the jobs were not read yet"))
	}
	if r.TokenCap == 0 {
		return false, nil
	}
	tokens := int64(0)
	for i := range record.Items {
		tokens += record.Items[i].Tokens
	}
	if waiting := j.book.Waiting(record.Quota); waiting+tokens > r.TokenCap {
		return false, outcome.Refuse(outcome.CallerLimit, "%d tokens wait, %d more would pass the cap of %d",
			waiting, tokens, r.TokenCap).After(quotaRetryMs)
	}
	return false, nil
}

func logOut(err error) *outcome.Refusal {
	refusal := outcome.Refuse(outcome.LogUnavailable, "%v", err).After(retryAfterMs)
	if partlog.IsUnknown(err) {
		return refusal.WithRun(outcome.MayHaveRun)
	}
	return refusal
}

// View is what a caller reads of a job.
type View struct {
	// Total is the number of items.
	Total int
	// Next is the position after the last result returned.
	Next int
	// Results stand at the positions from the one asked for.
	Results []batch.Result
}

// Read returns results from a position on, waiting up to wait for the first. Account is
// the client account that asks, "" for none.
func (j *Jobs) Read(ctx context.Context, account, id string, after int, wait time.Duration) (View, *outcome.Refusal) {
	if j.forwards(id) {
		if view, refusal, ok := j.readAtHolder(ctx, account, id, after, wait); ok {
			return view, refusal
		}
	}
	if refusal := j.knownTo(ctx, account, id); refusal != nil {
		return View{}, refusal
	}
	if !j.holds(id) && j.Fleet() > fromLogUpTo {
		if view, refusal, ok := j.readAtHolder(ctx, account, id, after, wait); ok && refusal == nil {
			return view, nil
		}
	}
	return j.readHere(ctx, id, after, wait)
}

// forwards tells whether calls about the job go to the holder of its partition before
// anything else: this daemon does not follow the jobs, and that one is known.
func (j *Jobs) forwards(id string) bool {
	if j.following.running() || j.holds(id) {
		return false
	}
	_, known := j.holderOf(id)
	return known
}

// holds tells whether this daemon holds the job's partition.
func (j *Jobs) holds(id string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.results[j.part(id)].unfollow != nil
}

// readHere answers from the book, and from the log where the book may be old.
func (j *Jobs) readHere(ctx context.Context, id string, after int, wait time.Duration) (View, *outcome.Refusal) {
	if !j.holds(id) {
		if refusal := j.freshen(ctx, id); refusal != nil {
			return View{}, refusal
		}
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waited := false; ; {
		view, news, refusal := j.view(id, after)
		if refusal != nil || len(view.Results) > 0 || after >= view.Total || waited {
			return view, refusal
		}
		select {
		case <-news:
		case <-timer.C:
			waited = true
			if refusal := j.freshen(ctx, id); refusal != nil {
				return View{}, refusal
			}
		case <-ctx.Done():
			return View{}, logOut(partlog.Unavailable.Wrap(ctx.Err(), "the caller's time is up"))
		}
	}
}

// knownTo makes sure that the job is known and a client account's. "No such job" is said
// only after the log was read to its end just now. Another account than the job's gets the
// same answer, after the same work, as if there were no such job.
func (j *Jobs) knownTo(ctx context.Context, account, id string) *outcome.Refusal {
	return j.await(ctx, id, func(known *batch.Job) bool { return known.BelongsTo(account) })
}

// await makes sure that the job is known and fits.
func (j *Jobs) await(ctx context.Context, id string, fits func(*batch.Job) bool) *outcome.Refusal {
	if j.has(id, fits) {
		return nil
	}
	if err := j.catchUpAccepted(ctx); err != nil {
		return logOut(err)
	}
	if j.has(id, fits) {
		return nil
	}
	return outcome.Refuse(outcome.NotFound, "no job %s", id)
}

func (j *Jobs) has(id string, fits func(*batch.Job) bool) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	known := j.book.Job(id)
	return known != nil && known.Accepted && fits(known)
}

// freshen makes sure that a job's results were read to their end lately, before
// a caller is told that nothing new has come.
//
// Failure guarded against: a read that waits for records may hear nothing of
// new ones for seconds, while another daemon shows them to callers already. It
// shows as a result that a caller has read and then can't find. A read that does
// not wait is answered by what the log holds.
func (j *Jobs) freshen(ctx context.Context, id string) *outcome.Refusal {
	c := j.results[j.part(id)]
	if j.readWithin(c, freshFor) {
		return nil
	}
	if c.Position() < 0 && !j.loads.take(time.Now(), j.Fleet()) {
		return logOut(partlog.Unavailable.New("the results of %s are at their holder, which is not reached", id))
	}
	if err := j.catchUp(ctx, c); err != nil {
		return logOut(err)
	}
	return nil
}

func (j *Jobs) readWithin(c *cursor, d time.Duration) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return c.position >= 0 && time.Since(c.read) < d
}

func (j *Jobs) view(id string, after int) (View, <-chan struct{}, *outcome.Refusal) {
	j.mu.Lock()
	defer j.mu.Unlock()
	known := j.book.Job(id)
	if known == nil {
		return View{}, nil, outcome.Refuse(outcome.NotFound, "no job %s", id)
	}
	if j.results[j.part(id)].position < 0 {
		return View{}, nil, outcome.Refuse(outcome.LogUnavailable, "the results of %s were not read yet", id).After(retryAfterMs)
	}
	v := View{Total: known.Count, Next: after}
	size := 0
	for _, r := range known.Results[min(after, len(known.Results)):] {
		size += len(r.Output) + len(r.ID)
		if size > maxReadBytes && len(v.Results) > 0 {
			break
		}
		v.Results = append(v.Results, r)
	}
	v.Next = after + len(v.Results)
	return v, j.news.Next(), nil
}

// End ends a job: once it returns nil, no daemon that reads the log starts
// another of its items. Account is the client account that asks, "" for none.
func (j *Jobs) End(ctx context.Context, account, id string) *outcome.Refusal {
	refusal := j.end(ctx, account, id)
	word := "ended"
	if refusal != nil {
		word = string(refusal.Code)
	}
	j.Logger.Info("job_end", zap.String("job", id), zap.String("account", account), zap.String("outcome", word))
	return refusal
}

func (j *Jobs) end(ctx context.Context, account, id string) *outcome.Refusal {
	if j.forwards(id) {
		if refusal, answered := j.endAtHolder(ctx, account, id); answered {
			return refusal
		}
	}
	return j.endHere(ctx, account, id)
}

func (j *Jobs) endHere(ctx context.Context, account, id string) *outcome.Refusal {
	if refusal := j.knownTo(ctx, account, id); refusal != nil {
		return refusal
	}
	if j.isEnded(id) {
		return nil
	}
	records := []partlog.Record{{Key: batch.EndedKey(id), Value: []byte{1}}}
	for {
		offset, err := j.Log.Append(ctx, j.accepted.partition, records, partlog.Anywhere)
		if err == nil {
			j.applyOwn(j.accepted, offset, records)
			return nil
		}
		// Ending twice is ending once, so an append without an answer is repeated.
		if !partlog.IsUnknown(err) || ctx.Err() != nil {
			return logOut(err)
		}
	}
}

func (j *Jobs) isEnded(id string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	known := j.book.Job(id)
	return known != nil && known.Ended
}
