package batch_test

import (
	"fmt"
	"testing"

	"tarragonhollow.example/tarragonhollow/core/batch"
)

// FuzzRecords applies arbitrary records to a store that holds a valid job. No record may
// cause a panic, allocate an entry for a number that no item has, or change the job's state.
func FuzzRecords(f *testing.F) {
	encode := func(v any) []byte {
		data, err := batch.Encode(v)
		if err != nil {
			f.Fatal(err)
		}
		return data
	}
	good := batch.JobRecord{ID: "j", Quota: "q", Items: []batch.Item{{ID: "a", Tokens: 3}, {ID: "b", Tokens: 4}}}
	result := batch.Result{Item: 0, ID: "a", State: batch.Succeeded, Output: "x"}
	f.Add("job/j", encode(good))
	f.Add("job/k", encode(good))
	f.Add("job/k", encode(batch.JobRecord{ID: "k", Items: []batch.Item{{ID: "a", Tokens: -1 << 62, BodyBytes: -1}}}))
	f.Add("end/k", []byte{1})
	f.Add(batch.ResultKey("j", 1), encode(result))
	f.Add("j/-1", encode(result))
	f.Add("j/99999999999", encode(result))
	f.Add("j/7", encode(batch.Result{Item: 7, ID: "z", State: 9}))
	f.Add("j/00001/999999999", []byte{1})
	f.Add("\xff", []byte{0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		store := batch.NewStore()
		apply(t, store.ApplyResult, batch.ResultKey("k", 0), encode(result))
		apply(t, store.ApplyJob, batch.AcceptedKey("j"), encode(good))
		_, _ = store.ApplyJob(key, value)
		_, _ = store.ApplyResult(key, value)
		if _, p, ok, err := batch.DecodeProgress(key, value); ok && (err != nil || p.Item < 0 || p.LastEvent < -1 || p.LastEvent < 0 && p.Failures <= 0) {
			t.Fatalf("%q is the progress %+v", key, p)
		}
		if job, item, chunk, err := batch.ParseBodyKey(key); err == nil && (item < 0 || chunk < 0 || item > 99_999 || chunk > 999) {
			t.Fatalf("%q names chunk %d of item %d of %s", key, chunk, item, job)
		}
		if key == "job/j" || key == "end/j" {
			return // the job's own records may end or remove it
		}
		j := store.Job("j")
		if j == nil || !j.Accepted || len(j.Items) != 2 || len(j.Results) > 2 {
			t.Fatalf("%q left %+v", key, j)
		}
		for _, r := range j.Results {
			if r.ID != j.Items[r.Item].ID {
				t.Fatalf("%q brought the result %+v", key, r)
			}
		}
		if got, want := store.WaitingTokens("q"), waitingTokens(j); got < want {
			t.Fatalf("%q left %d tokens waiting, the job has %d", key, got, want)
		}
	})
}

func apply(t *testing.T, by func(string, []byte) (batch.Change, error), key string, value []byte) {
	if _, err := by(key, value); err != nil {
		t.Fatal(fmt.Errorf("%s: %w", key, err))
	}
}

func waitingTokens(j *batch.Job) int64 {
	sum := int64(0)
	for i, item := range j.Items {
		if !j.Finished(i) && !j.Ended {
			sum += item.Tokens
		}
	}
	return sum
}
