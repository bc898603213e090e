package batch

import (
	"slices"
	"strings"
	"time"
)

// Job is the state of one job.
type Job struct {
	JobRecord
	// Accepted reports whether the acceptance record was read. It is false while only
	// results or the end record have been read: the partitions are read at different
	// speeds.
	Accepted bool
	// Ended reports whether the caller ended the job.
	Ended bool
	// Results are in the order of their positions.
	Results []Result
	// finished holds the items that have a result, doneTokens the sum of their tokens.
	finished   map[int]bool
	doneTokens int64
}

// BelongsTo reports whether a client account may read and end the job. A job that was
// submitted before client accounts existed belongs to everyone who knows its ID.
func (j *Job) BelongsTo(account string) bool { return j.Account == "" || j.Account == account }

// HasItems reports whether the job's items are known. They are not known if their list is
// stored separately from the acceptance and has not been read.
func (j *Job) HasItems() bool { return len(j.Items) > 0 }

// Finished reports whether the item has a result.
func (j *Job) Finished(item int) bool { return j.finished[item] }

// Open reports whether items of the job may still run.
func (j *Job) Open() bool { return j.Accepted && !j.Ended && len(j.Results) < j.Count }

// ItemByID returns the index of the item with the ID, or -1 if the job has no such item.
func (j *Job) ItemByID(id string) int {
	for i := range j.Items {
		if j.Items[i].ID == id {
			return i
		}
	}
	return -1
}

// matches reports whether the result belongs to one of the job's items.
func (j *Job) matches(r *Result) bool {
	return r.Item < j.Count && (!j.HasItems() || j.Items[r.Item].ID == r.ID)
}

// tokensOf returns the tokens to subtract from the waiting tokens for a result.
func (j *Job) tokensOf(r *Result) int64 {
	if j.HasItems() {
		return j.Items[r.Item].Tokens
	}
	return min(r.Tokens, j.Tokens-j.doneTokens)
}

// dropMismatched removes results that were read before the acceptance or the item list
// and match none of the job's items, and recomputes doneTokens from the others.
func (j *Job) dropMismatched() {
	j.doneTokens = 0
	j.Results = slices.DeleteFunc(j.Results, func(r Result) bool {
		mismatched := !j.matches(&r)
		if mismatched {
			delete(j.finished, r.Item)
		} else {
			j.doneTokens += j.tokensOf(&r)
		}
		return mismatched
	})
}

// Change describes what a record changed; it is empty for records that change nothing.
type Change struct {
	// Job is the ID of the changed job, "" for none.
	Job string
	// Removed reports that the job was removed from the store.
	Removed bool
}

// Store is the state of all jobs.
type Store struct {
	jobs map[string]*Job
	// waiting holds, by quota, the sum of the tokens of accepted items without a result.
	waiting map[string]int64
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{jobs: map[string]*Job{}, waiting: map[string]int64{}}
}

// Job returns a job, or nil if no record of it was read. The caller must not modify it.
func (s *Store) Job(id string) *Job { return s.jobs[id] }

// Jobs calls visit for every accepted job.
func (s *Store) Jobs(visit func(*Job)) {
	for _, j := range s.jobs {
		if j.Accepted {
			visit(j)
		}
	}
}

// Len returns the number of jobs in the store.
func (s *Store) Len() int { return len(s.jobs) }

// WaitingTokens returns the tokens that count towards a quota.
func (s *Store) WaitingTokens(quota string) int64 { return s.waiting[quota] }

// ApplyJob applies a record of the partition that holds acceptances and ends. Records must
// be applied in log order.
func (s *Store) ApplyJob(key string, value []byte) (Change, error) {
	if id, ok := strings.CutPrefix(key, endedPrefix); ok {
		return s.applyEnd(id, value), nil
	}
	id, ok := strings.CutPrefix(key, acceptedPrefix)
	if !ok {
		return Change{}, ErrRecord.New("unknown key %q", key)
	}
	if len(value) == 0 {
		return s.remove(id), nil
	}
	record, err := decode[JobRecord](key, value)
	if err != nil {
		return Change{}, err
	}
	record.setTotals()
	if !record.valid(id) {
		return Change{}, ErrRecord.New("record %q is not a valid acceptance of the job in its key", key)
	}
	return s.accept(record), nil
}

// accept applies an acceptance. A repeated one changes nothing: the first in log order
// defines the job.
func (s *Store) accept(record JobRecord) Change {
	j := s.job(record.ID)
	if j.Accepted {
		return Change{}
	}
	if list := j.Items; len(record.Items) == 0 && record.matchesItems(list) {
		record.Items = list // the item list was read before the acceptance
	}
	j.JobRecord = record
	j.Accepted = true
	j.dropMismatched()
	if !j.Ended {
		s.waiting[j.Quota] += j.waitingTokens()
	}
	return Change{Job: j.ID}
}

// matchesItems reports whether the items have the count and the tokens of the acceptance.
func (r *JobRecord) matchesItems(items []Item) bool {
	of := JobRecord{Items: items}
	of.setTotals()
	return of.Count == r.Count && of.Tokens == r.Tokens
}

// ApplyItems applies an item list that is stored separately from its job's acceptance.
func (s *Store) ApplyItems(key string, value []byte) (Change, error) {
	id, ok := ParseItemsKey(key)
	if !ok || len(value) == 0 {
		return Change{}, nil
	}
	list, err := decode[ItemList](key, value)
	if err != nil {
		return Change{}, err
	}
	j := s.job(id)
	if !validItems(list.Items) || len(list.Items) > maxItemNumber || j.Accepted && !j.matchesItems(list.Items) {
		return Change{}, ErrRecord.New("record %q is not a valid item list of the job in its key", key)
	}
	if j.HasItems() {
		return Change{}, nil
	}
	counted := j.Accepted && !j.Ended
	if counted {
		s.waiting[j.Quota] -= j.waitingTokens()
	}
	j.Items = list.Items
	if j.Accepted {
		j.dropMismatched()
	}
	if counted {
		s.waiting[j.Quota] += j.waitingTokens()
	}
	return Change{Job: id}, nil
}

func (s *Store) applyEnd(id string, value []byte) Change {
	if len(value) == 0 {
		return Change{}
	}
	j := s.job(id)
	if j.Ended {
		return Change{}
	}
	if j.Accepted {
		s.waiting[j.Quota] -= j.waitingTokens()
	}
	j.Ended = true
	return Change{Job: id}
}

// ApplyResult applies a record of a partition of results. Records must be applied in log
// order: the order determines the positions, and the first result of an item is final.
func (s *Store) ApplyResult(key string, value []byte) (Change, error) {
	id, item, err := parseResultKey(key)
	if err != nil || len(value) == 0 {
		return Change{}, err
	}
	result, err := decode[Result](key, value)
	if err != nil {
		return Change{}, err
	}
	if !result.valid(item) {
		return Change{}, ErrRecord.New("record %q is not a valid result of the item in its key", key)
	}
	j := s.job(id)
	if j.Accepted && !j.matches(&result) {
		return Change{}, ErrRecord.New("the job in the key %q has no such item", key)
	}
	if j.finished[item] {
		return Change{}, nil
	}
	j.finished[item] = true
	j.Results = append(j.Results, result)
	if j.Accepted {
		tokens := j.tokensOf(&result)
		j.doneTokens += tokens
		if !j.Ended {
			s.waiting[j.Quota] -= tokens
		}
	}
	return Change{Job: id}, nil
}

// remove deletes a job.
func (s *Store) remove(id string) Change {
	j := s.jobs[id]
	if j == nil {
		return Change{}
	}
	if j.Accepted && !j.Ended {
		s.waiting[j.Quota] -= j.waitingTokens()
	}
	delete(s.jobs, id)
	return Change{Job: id, Removed: true}
}

// Retain removes the accepted jobs that are not in kept.
func (s *Store) Retain(kept map[string]bool) []Change {
	var changes []Change
	for id, j := range s.jobs {
		if j.Accepted && !kept[id] {
			changes = append(changes, s.remove(id))
		}
	}
	return changes
}

// Expired returns the IDs of the accepted jobs whose retention period is over: no item may
// still run and they were accepted longer than keep ago.
func (s *Store) Expired(now time.Time, keep time.Duration) []string {
	var ids []string
	for id, j := range s.jobs {
		age := now.Sub(time.UnixMilli(j.AcceptedMs))
		if j.Accepted && !j.Open() && age > keep {
			ids = append(ids, id)
		}
	}
	return ids
}

func (s *Store) job(id string) *Job {
	j := s.jobs[id]
	if j == nil {
		j = &Job{JobRecord: JobRecord{ID: id}, finished: map[int]bool{}}
		s.jobs[id] = j
	}
	return j
}

// waitingTokens returns the tokens of the items without a result.
func (j *Job) waitingTokens() int64 { return j.Tokens - j.doneTokens }
