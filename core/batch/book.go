package batch

import (
	"slices"
	"strings"
	"time"
)

// Job is what is known of a job.
type Job struct {
	JobRecord
	// Accepted is false while only results or the end have been read: the
	// partitions are read at different paces.
	Accepted bool
	// Ended tells that the caller gave the job up.
	Ended bool
	// Results are in the order of their positions.
	Results []Result
	// finished holds the items that have a result, done the sum of their tokens.
	finished map[int]bool
	done     int64
}

// BelongsTo tells whether a client account may read and end the job. One that was handed
// in when there were no accounts belongs to whoever knows its ID, as it did then.
func (j *Job) BelongsTo(account string) bool { return j.Account == "" || j.Account == account }

// Listed tells whether the job's items are known. They are not where their list
// stands apart from the acceptance and was not read.
func (j *Job) Listed() bool { return len(j.Items) > 0 }

// Finished tells whether the item has a result.
func (j *Job) Finished(item int) bool { return j.finished[item] }

// Open tells whether items of the job may still run.
func (j *Job) Open() bool { return j.Accepted && !j.Ended && len(j.Results) < j.Count }

// ItemByID returns the index of an item, -1 if the job has none of that ID.
func (j *Job) ItemByID(id string) int {
	for i := range j.Items {
		if j.Items[i].ID == id {
			return i
		}
	}
	return -1
}

// owns tells whether the result is one of the job's items.
func (j *Job) owns(r *Result) bool {
	return r.Item < j.Count && (!j.Listed() || j.Items[r.Item].ID == r.ID)
}

// tokensOf is what a result takes off the tokens that wait.
func (j *Job) tokensOf(r *Result) int64 {
	if j.Listed() {
		return j.Items[r.Item].Tokens
	}
	return min(r.Tokens, j.Tokens-j.done)
}

// dropForeign drops the results that were read before the acceptance or the items and
// are none of the job's, and counts the others.
func (j *Job) dropForeign() {
	j.done = 0
	j.Results = slices.DeleteFunc(j.Results, func(r Result) bool {
		foreign := !j.owns(&r)
		if foreign {
			delete(j.finished, r.Item)
		} else {
			j.done += j.tokensOf(&r)
		}
		return foreign
	})
}

// Change tells what a record changed; empty for records that change nothing.
type Change struct {
	// Job is the job concerned, "" for none.
	Job string
	// Forgotten tells that the job is no longer kept.
	Forgotten bool
}

// Book is the state of all jobs.
type Book struct {
	jobs map[string]*Job
	// waiting holds, by quota, the tokens of accepted items without a result.
	waiting map[string]int64
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{jobs: map[string]*Job{}, waiting: map[string]int64{}}
}

// Job returns a job, nil if no record of it was read. The job must not be
// changed.
func (b *Book) Job(id string) *Job { return b.jobs[id] }

// Jobs calls visit for every accepted job.
func (b *Book) Jobs(visit func(*Job)) {
	for _, j := range b.jobs {
		if j.Accepted {
			visit(j)
		}
	}
}

// Len returns how many jobs are kept.
func (b *Book) Len() int { return len(b.jobs) }

// Waiting returns the tokens that count on a quota.
func (b *Book) Waiting(quota string) int64 { return b.waiting[quota] }

// ApplyJob takes a record of the partition of acceptances and ends, in log
// order.
func (b *Book) ApplyJob(key string, value []byte) (Change, error) {
	if id, ok := strings.CutPrefix(key, endedPrefix); ok {
		return b.applyEnd(id, value), nil
	}
	id, ok := strings.CutPrefix(key, acceptedPrefix)
	if !ok {
		return Change{}, ErrRecord.New("unknown key %q", key)
	}
	if len(value) == 0 {
		return b.forget(id), nil
	}
	record, err := decode[JobRecord](key, value)
	if err != nil {
		return Change{}, err
	}
	record.tally()
	if !record.valid(id) {
		return Change{}, ErrRecord.New("the record %q is no acceptance of its job", key)
	}
	return b.accept(record), nil
}

// accept takes an acceptance. A repeated one changes nothing: the first in log
// order is the job.
func (b *Book) accept(record JobRecord) Change {
	j := b.job(record.ID)
	if j.Accepted {
		return Change{}
	}
	if list := j.Items; len(record.Items) == 0 && record.lists(list) {
		record.Items = list // it was read first
	}
	j.JobRecord = record
	j.Accepted = true
	j.dropForeign()
	if !j.Ended {
		b.waiting[j.Quota] += j.waitingTokens()
	}
	return Change{Job: j.ID}
}

// lists tells whether the items are those of the acceptance.
func (r *JobRecord) lists(items []Item) bool {
	of := JobRecord{Items: items}
	of.tally()
	return of.Count == r.Count && of.Tokens == r.Tokens
}

// ApplyItems takes a list of items that stands apart from its job's acceptance.
func (b *Book) ApplyItems(key string, value []byte) (Change, error) {
	id, ok := ParseItemsKey(key)
	if !ok || len(value) == 0 {
		return Change{}, nil
	}
	list, err := decode[ItemList](key, value)
	if err != nil {
		return Change{}, err
	}
	j := b.job(id)
	if !validItems(list.Items) || len(list.Items) > maxItemNumber || j.Accepted && !j.lists(list.Items) {
		return Change{}, ErrRecord.New("the record %q is no list of its job's items", key)
	}
	if j.Listed() {
		return Change{}, nil
	}
	counted := j.Accepted && !j.Ended
	if counted {
		b.waiting[j.Quota] -= j.waitingTokens()
	}
	j.Items = list.Items
	if j.Accepted {
		j.dropForeign()
	}
	if counted {
		b.waiting[j.Quota] += j.waitingTokens()
	}
	return Change{Job: id}, nil
}

func (b *Book) applyEnd(id string, value []byte) Change {
	if len(value) == 0 {
		return Change{}
	}
	j := b.job(id)
	if j.Ended {
		return Change{}
	}
	if j.Accepted {
		b.waiting[j.Quota] -= j.waitingTokens()
	}
	j.Ended = true
	return Change{Job: id}
}

// ApplyResult takes a record of a partition of results, in log order: the
// order gives the positions, and the first result of an item is its result.
func (b *Book) ApplyResult(key string, value []byte) (Change, error) {
	id, item, err := parseResultKey(key)
	if err != nil || len(value) == 0 {
		return Change{}, err
	}
	result, err := decode[Result](key, value)
	if err != nil {
		return Change{}, err
	}
	if !result.valid(item) {
		return Change{}, ErrRecord.New("the record %q is no result of its item", key)
	}
	j := b.job(id)
	if j.Accepted && !j.owns(&result) {
		return Change{}, ErrRecord.New("the job of %q has no such item", key)
	}
	if j.finished[item] {
		return Change{}, nil
	}
	j.finished[item] = true
	j.Results = append(j.Results, result)
	if j.Accepted {
		tokens := j.tokensOf(&result)
		j.done += tokens
		if !j.Ended {
			b.waiting[j.Quota] -= tokens
		}
	}
	return Change{Job: id}, nil
}

// forget drops a job.
func (b *Book) forget(id string) Change {
	j := b.jobs[id]
	if j == nil {
		return Change{}
	}
	if j.Accepted && !j.Ended {
		b.waiting[j.Quota] -= j.waitingTokens()
	}
	delete(b.jobs, id)
	return Change{Job: id, Forgotten: true}
}

// Retain forgets the accepted jobs that are not among the kept ones.
func (b *Book) Retain(kept map[string]bool) []Change {
	var changes []Change
	for id, j := range b.jobs {
		if j.Accepted && !kept[id] {
			changes = append(changes, b.forget(id))
		}
	}
	return changes
}

// Forgettable lists the accepted jobs that nobody may ask for any more: closed
// and accepted longer ago than keep.
func (b *Book) Forgettable(now time.Time, keep time.Duration) []string {
	var ids []string
	for id, j := range b.jobs {
		age := now.Sub(time.UnixMilli(j.AcceptedMs))
		if j.Accepted && !j.Open() && age > keep {
			ids = append(ids, id)
		}
	}
	return ids
}

func (b *Book) job(id string) *Job {
	j := b.jobs[id]
	if j == nil {
		j = &Job{JobRecord: JobRecord{ID: id}, finished: map[int]bool{}}
		b.jobs[id] = j
	}
	return j
}

// waitingTokens are the tokens of the items without a result.
func (j *Job) waitingTokens() int64 { return j.Tokens - j.done }
