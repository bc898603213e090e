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
	// retryAfterMs is when callers should retry while the log is unavailable: its outages
	// last seconds.
	retryAfterMs = 500
	// quotaRetryMs is when callers should retry after a full quota: items take seconds.
	quotaRetryMs = 1000
	// maxReadBytes bounds the results that one read returns.
	maxReadBytes = 900 << 10
	// maxConflicts bounds how often an append is repeated because other daemons appended
	// first.
	maxConflicts = 20
	// maxReadAge is how long ago a partition may have been read to its end when a caller
	// is answered that it holds nothing new; a result that one daemon returns, all must
	// return within a second.
	maxReadAge = 300 * time.Millisecond
)

// Submission is a job as a caller submits it.
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

// Submit accepts the job, or returns why not. Nil means that the job is stored: its
// acceptance and all its bodies are acknowledged by the log. A refusal with not_run is
// final for this call: nothing that could accept the job was sent.
func (j *Jobs) Submit(ctx context.Context, s *Submission, r *route.Route) *outcome.Refusal {
	if batch.LongestKey(s.ID) > partlog.MaxKeyBytes {
		refusal := outcome.Refuse(outcome.BadRequest, "a job's ID of %d bytes is too long", len(s.ID))
		j.logSubmitted(s, r, refusal, "caller")
		return refusal
	}
	refusal := j.submitWithFallback(ctx, s, r, newRecord(s, r))
	j.recordRefusal(ctx, refusal)
	refusal = j.paced(ctx, refusal)
	j.logSubmitted(s, r, refusal, "caller")
	return refusal
}

func (j *Jobs) logSubmitted(s *Submission, r *route.Route, refusal *outcome.Refusal, from string) {
	result := "accepted"
	if refusal != nil {
		result = string(refusal.Code)
	}
	j.Logger.Info("job_submitted", zap.String("job", s.ID), zap.String("account", s.Account), zap.String("from", from), zap.String("route", r.Name),
		zap.Int("items", len(s.Items)), zap.String("outcome", result), zap.Bool("log_lost", j.accepted.isFailing()),
		zap.Int64("waiting_tokens", j.waitingTokens(r.QuotaKey(s.Account))), zap.Int64("cap", r.TokenCap))
}

func (j *Jobs) waitingTokens(quota string) int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.store.WaitingTokens(quota)
}

func newRecord(s *Submission, r *route.Route) *batch.JobRecord {
	record := &batch.JobRecord{ID: s.ID, Account: s.Account, Host: s.Host, Path: s.Path, Quota: r.QuotaKey(s.Account), AcceptedMs: time.Now().UnixMilli()}
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
			return refuseUnavailable(err)
		}
	}
	if known, refusal := j.checkSubmissionFresh(ctx, record, r); known || refusal != nil {
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
	// The bodies and the list are written first: once the acceptance is on the log, any
	// daemon may be asked for them, and this one may have failed.
	if err := j.bodies.put(ctx, s, list); err != nil {
		return refuseUnavailable(err)
	}
	records := []partlog.Record{{Key: batch.AcceptedKey(s.ID), Value: value}}
	for range maxConflicts {
		at := j.accepted.Position()
		if known, refusal := j.checkSubmissionFresh(ctx, record, r); known || refusal != nil {
			return refusal
		}
		unresolved, err := j.appendAt(ctx, j.accepted, at, records)
		if err == nil {
			return nil
		}
		if !partlog.IsConflict(err) {
			return refuseUnavailable(err)
		}
		if err := j.catchUp(ctx, j.accepted); err != nil {
			return withRunState(refuseUnavailable(err), unresolved)
		}
	}
	if known, refusal := j.checkSubmissionFresh(ctx, record, r); known || refusal != nil {
		return refusal
	}
	return refuseUnavailable(partlog.Conflict.New("others kept coming first"))
}

// withRunState returns the refusal, marked MayHaveRun if an append of the acceptance is
// unresolved: it may have taken effect.
func withRunState(refusal *outcome.Refusal, unresolved bool) *outcome.Refusal {
	if !unresolved {
		return refusal
	}
	return refusal.WithRun(outcome.MayHaveRun)
}

// checkSubmissionFresh is checkSubmission, but before it refuses a job for the quota it reads
// the acceptances and ends to their end and makes sure that all results were read recently.
// Otherwise ended jobs and finished items would count as waiting, and a job that another
// daemon has accepted would be refused.
func (j *Jobs) checkSubmissionFresh(ctx context.Context, record *batch.JobRecord, r *route.Route) (bool, *outcome.Refusal) {
	known, refusal := j.checkSubmission(record, r)
	if refusal == nil || refusal.Code != outcome.CallerLimit {
		return known, refusal
	}
	if err := j.catchUp(ctx, j.accepted); err != nil {
		return false, refuseUnavailable(err)
	}
	for _, c := range j.results {
		if j.readWithin(c, maxReadAge) {
			continue
		}
		if c.Position() < 0 && !j.loadLimiter.allow(time.Now(), j.FleetSize()) {
			return false, refuseUnavailable(partlog.Unavailable.New("what waits is not known here"))
		}
		if err := j.catchUp(ctx, c); err != nil {
			return false, refuseUnavailable(err)
		}
	}
	return j.checkSubmission(record, r)
}

// checkSubmission reports whether the job is known, or why it can't be accepted.
func (j *Jobs) checkSubmission(record *batch.JobRecord, r *route.Route) (bool, *outcome.Refusal) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if known := j.store.Job(record.ID); known != nil && (known.Accepted || known.Ended) {
		if known.Accepted && !known.BelongsTo(record.Account) {
			return false, outcome.Refuse(outcome.Conflict, "the ID %s can't be used", record.ID)
		}
		return true, nil
	}
	if j.accepted.position < 0 {
		return false, refuseUnavailable(partlog.Unavailable.New("the jobs were not read yet"))
	}
	if r.TokenCap == 0 {
		return false, nil
	}
	tokens := int64(0)
	for i := range record.Items {
		tokens += record.Items[i].Tokens
	}
	if waiting := j.store.WaitingTokens(record.Quota); waiting+tokens > r.TokenCap {
		return false, outcome.Refuse(outcome.CallerLimit, "%d tokens wait, %d more would pass the cap of %d",
			waiting, tokens, r.TokenCap).After(quotaRetryMs)
	}
	return false, nil
}

func refuseUnavailable(err error) *outcome.Refusal {
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
	// Results are the results from the requested position on.
	Results []batch.Result
}

// Read returns results from a position on, waiting up to wait for the first. The account
// is the client account that makes the request, "" for none.
func (j *Jobs) Read(ctx context.Context, account, id string, after int, wait time.Duration) (View, *outcome.Refusal) {
	if j.forwards(id) {
		if view, refusal, ok := j.readFromHolder(ctx, account, id, after, wait); ok {
			return view, refusal
		}
	}
	if refusal := j.requireJob(ctx, account, id); refusal != nil {
		return View{}, refusal
	}
	if !j.holds(id) && j.FleetSize() > maxFleetForLogReads {
		if view, refusal, ok := j.readFromHolder(ctx, account, id, after, wait); ok && refusal == nil {
			return view, nil
		}
	}
	return j.readLocal(ctx, id, after, wait)
}

// forwards reports whether calls about the job go to the holder of its partition first:
// this daemon does not follow the acceptances, and the holder is known.
func (j *Jobs) forwards(id string) bool {
	if j.following.running() || j.holds(id) {
		return false
	}
	_, known := j.holderOf(id)
	return known
}

// holds reports whether this daemon holds the job's partition.
func (j *Jobs) holds(id string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.results[j.part(id)].unfollow != nil
}

// readLocal answers from the store, after reading the log if the store may be stale.
func (j *Jobs) readLocal(ctx context.Context, id string, after int, wait time.Duration) (View, *outcome.Refusal) {
	if !j.holds(id) {
		if refusal := j.ensureFresh(ctx, id); refusal != nil {
			return View{}, refusal
		}
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waited := false; ; {
		view, changed, refusal := j.view(id, after)
		if refusal != nil || len(view.Results) > 0 || after >= view.Total || waited {
			return view, refusal
		}
		select {
		case <-changed:
		case <-timer.C:
			waited = true
			if refusal := j.ensureFresh(ctx, id); refusal != nil {
				return View{}, refusal
			}
		case <-ctx.Done():
			return View{}, refuseUnavailable(partlog.Unavailable.Wrap(ctx.Err(), "the caller's time is up"))
		}
	}
}

// requireJob makes sure that the job is known and the account may use it. It returns "no
// such job" only after reading the log to its end. An account that doesn't own the job
// gets the same answer, after the same work, as if the job didn't exist.
func (j *Jobs) requireJob(ctx context.Context, account, id string) *outcome.Refusal {
	return j.requireMatchingJob(ctx, id, func(known *batch.Job) bool { return known.BelongsTo(account) })
}

// requireMatchingJob makes sure that the job is known and matches.
func (j *Jobs) requireMatchingJob(ctx context.Context, id string, matches func(*batch.Job) bool) *outcome.Refusal {
	if j.hasJob(id, matches) {
		return nil
	}
	if err := j.catchUpAccepted(ctx); err != nil {
		return refuseUnavailable(err)
	}
	if j.hasJob(id, matches) {
		return nil
	}
	return outcome.Refuse(outcome.NotFound, "no job %s", id)
}

func (j *Jobs) hasJob(id string, matches func(*batch.Job) bool) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	known := j.store.Job(id)
	return known != nil && known.Accepted && matches(known)
}

// ensureFresh makes sure that a job's results were read to their end recently, before a
// caller is answered that there is nothing new.
//
// Failure guarded against: a read that waits for records may return none for seconds
// after new ones were written, while another daemon already returns them to callers. A
// caller that has read a result there then can't find it here. A read that does not wait
// returns what the log holds.
func (j *Jobs) ensureFresh(ctx context.Context, id string) *outcome.Refusal {
	c := j.results[j.part(id)]
	if j.readWithin(c, maxReadAge) {
		return nil
	}
	if c.Position() < 0 && !j.loadLimiter.allow(time.Now(), j.FleetSize()) {
		return refuseUnavailable(partlog.Unavailable.New("the results of %s are at their holder, which is not reached", id))
	}
	if err := j.catchUp(ctx, c); err != nil {
		return refuseUnavailable(err)
	}
	return nil
}

func (j *Jobs) readWithin(c *cursor, d time.Duration) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return c.position >= 0 && time.Since(c.readAt) < d
}

func (j *Jobs) view(id string, after int) (View, <-chan struct{}, *outcome.Refusal) {
	j.mu.Lock()
	defer j.mu.Unlock()
	known := j.store.Job(id)
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
	return v, j.changes.Next(), nil
}

// End ends a job: once it returns nil, no daemon that reads the log starts another of its
// items. The account is the client account that makes the request, "" for none.
func (j *Jobs) End(ctx context.Context, account, id string) *outcome.Refusal {
	refusal := j.end(ctx, account, id)
	result := "ended"
	if refusal != nil {
		result = string(refusal.Code)
	}
	j.Logger.Info("job_end", zap.String("job", id), zap.String("account", account), zap.String("outcome", result))
	return refusal
}

func (j *Jobs) end(ctx context.Context, account, id string) *outcome.Refusal {
	if j.forwards(id) {
		if refusal, answered := j.endAtHolder(ctx, account, id); answered {
			return refusal
		}
	}
	return j.endLocal(ctx, account, id)
}

func (j *Jobs) endLocal(ctx context.Context, account, id string) *outcome.Refusal {
	if refusal := j.requireJob(ctx, account, id); refusal != nil {
		return refusal
	}
	if j.isEnded(id) {
		return nil
	}
	records := []partlog.Record{{Key: batch.EndedKey(id), Value: []byte{1}}}
	for {
		offset, err := j.Log.Append(ctx, j.accepted.partition, records, partlog.AnyOffset)
		j.recordCall(ctx, j.accepted, err)
		if err == nil {
			j.applyAppended(j.accepted, offset, records)
			return nil
		}
		// Ending a job is idempotent, so an append without an answer is repeated.
		if !partlog.IsUnknown(err) || ctx.Err() != nil {
			return refuseUnavailable(err)
		}
	}
}

func (j *Jobs) isEnded(id string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	known := j.store.Job(id)
	return known != nil && known.Ended
}
