package batch_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"tarragonhollow.example/tarragonhollow/core/batch"
)

// Jobs that were accepted before client accounts existed stay readable by everyone who
// knows their IDs; a job with an account belongs to that account alone.
func TestJobsBelongToTheirAccount(t *testing.T) {
	type before struct {
		ID, Host, Path, Quota string
		AcceptedMs            int64
		Items                 []batch.Item
	}
	old, err := batch.Encode(before{ID: "old", Host: "h", Path: "/b/", Quota: "h/b/", Items: []batch.Item{{ID: "x", Tokens: 3}}})
	if err != nil {
		t.Fatal(err)
	}
	own, err := batch.Encode(batch.JobRecord{ID: "own", Account: "hotel", Items: []batch.Item{{ID: "y", Tokens: 3}}})
	if err != nil {
		t.Fatal(err)
	}
	store := batch.NewStore()
	for id, value := range map[string][]byte{"old": old, "own": own} {
		if _, err := store.ApplyJob(batch.AcceptedKey(id), value); err != nil {
			t.Fatal(err)
		}
	}
	if j := store.Job("old"); !j.BelongsTo("hotel") || !j.BelongsTo("") || store.WaitingTokens("h/b/") != 3 {
		t.Fatalf("the old job reads %+v", j.JobRecord)
	}
	if j := store.Job("own"); !j.BelongsTo("hotel") || j.BelongsTo("") || j.BelongsTo("inn") {
		t.Fatalf("the account's job reads %+v", j.JobRecord)
	}
}

func TestBatch(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "batch")
}

const quota = "q"

func encode(v any) []byte {
	data, err := batch.Encode(v)
	Expect(err).NotTo(HaveOccurred())
	return data
}

func accepted(id string, tokens ...int64) []byte {
	r := batch.JobRecord{ID: id, Quota: quota, AcceptedMs: 1000}
	for i, n := range tokens {
		r.Items = append(r.Items, batch.Item{ID: fmt.Sprintf("%s-%d", id, i), Tokens: n})
	}
	return encode(&r)
}

func finished(id string, item int, output string) []byte {
	return encode(batch.Result{Item: item, ID: fmt.Sprintf("%s-%d", id, item), State: batch.Succeeded, Output: output})
}

var _ = Describe("The job store", func() {
	var b *batch.Store
	BeforeEach(func() { b = batch.NewStore() })
	job := func(key string, value []byte) batch.Change {
		c, err := b.ApplyJob(key, value)
		Expect(err).NotTo(HaveOccurred())
		return c
	}
	result := func(id string, item int, output string) batch.Change {
		c, err := b.ApplyResult(batch.ResultKey(id, item), finished(id, item, output))
		Expect(err).NotTo(HaveOccurred())
		return c
	}

	It("accepts a job once and counts its tokens until its items end", func() {
		Expect(job(batch.AcceptedKey("j"), accepted("j", 10, 20)).Job).To(Equal("j"))
		Expect(job(batch.AcceptedKey("j"), accepted("j", 99)).Job).To(BeEmpty())
		Expect(b.WaitingTokens(quota)).To(BeEquivalentTo(30))
		result("j", 1, "x")
		Expect(b.WaitingTokens(quota)).To(BeEquivalentTo(10))
		job(batch.EndedKey("j"), []byte{1})
		Expect(b.WaitingTokens(quota)).To(BeZero())
		Expect(b.Job("j").Open()).To(BeFalse())
	})

	// Every daemon reads every acceptance. If acceptances held long item lists, a fleet
	// that restarts after a power loss would use the log's entire read rate for them.
	It("keeps a long list of items out of the acceptance", func() {
		list := func(n int) *batch.JobRecord {
			r := &batch.JobRecord{ID: "j", Quota: quota}
			for i := range n {
				r.Items = append(r.Items, batch.Item{ID: fmt.Sprintf("j-%d", i), Path: "/some/path/of/a/request", Tokens: 7,
					Headers: []batch.Header{{Name: "Some-Header", Value: "with a value of some length"}}})
			}
			return r
		}
		short, apart, err := list(1).Split()
		Expect(err).NotTo(HaveOccurred())
		Expect(apart).To(BeNil())
		Expect(short.Items).To(HaveLen(1))
		const many = 200
		long, apart, err := list(many).Split()
		Expect(err).NotTo(HaveOccurred())
		Expect(len(encode(long))).To(BeNumerically("<", 200))
		job(batch.AcceptedKey("j"), encode(long))
		Expect(b.Job("j").Count).To(Equal(many))
		Expect(b.Job("j").HasItems()).To(BeFalse())
		Expect(b.WaitingTokens(quota)).To(BeEquivalentTo(7 * many))
		_, err = b.ApplyItems(batch.ItemsKey("j"), apart)
		Expect(err).NotTo(HaveOccurred())
		Expect(b.Job("j").Items).To(HaveLen(many))
	})

	// Item lists, acceptances and results are in three partitions, which are read at
	// different speeds, and the lists by some daemons only. A wrong sum would refuse
	// callers permanently, or let a caller exceed its quota.
	It("counts the same tokens whichever of acceptance, list and results is read first", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			tokens := rapid.SliceOfN(rapid.Int64Range(0, 50), 1, 6).Draw(t, "tokens")
			record := batch.JobRecord{ID: "j", Quota: quota, Count: len(tokens)}
			var list batch.ItemList
			for i, n := range tokens {
				record.Tokens += n
				list.Items = append(list.Items, batch.Item{ID: fmt.Sprintf("j-%d", i), Tokens: n})
			}
			done := rapid.SliceOfNDistinct(rapid.IntRange(0, len(tokens)-1), 0, len(tokens), rapid.ID).Draw(t, "finished")
			steps := []func(*batch.Store) error{
				func(b *batch.Store) error { _, err := b.ApplyJob(batch.AcceptedKey("j"), encode(&record)); return err },
			}
			if rapid.Bool().Draw(t, "listed") {
				steps = append(steps, func(b *batch.Store) error { _, err := b.ApplyItems(batch.ItemsKey("j"), encode(list)); return err })
			}
			want := record.Tokens
			for _, i := range done {
				want -= tokens[i]
				steps = append(steps, func(b *batch.Store) error {
					r := batch.Result{Item: i, ID: fmt.Sprintf("j-%d", i), State: batch.Succeeded, Tokens: tokens[i]}
					_, err := b.ApplyResult(batch.ResultKey("j", i), encode(r))
					return err
				})
			}
			store := batch.NewStore()
			for _, step := range rapid.Permutation(steps).Draw(t, "order") {
				if err := step(store); err != nil {
					t.Fatal(err)
				}
			}
			if got := store.WaitingTokens(quota); got != want {
				t.Fatalf("%d tokens wait, want %d", got, want)
			}
			if _, err := store.ApplyJob(batch.EndedKey("j"), []byte{1}); err != nil || store.WaitingTokens(quota) != 0 {
				t.Fatalf("%d tokens wait after the end: %v", store.WaitingTokens(quota), err)
			}
		})
	})

	It("rejects an item list that does not match its job", func() {
		job(batch.AcceptedKey("j"), encode(&batch.JobRecord{ID: "j", Quota: quota, Count: 2, Tokens: 30}))
		for _, foreign := range []batch.ItemList{
			{}, {Items: []batch.Item{{ID: "j-0", Tokens: 30}}}, {Items: []batch.Item{{ID: "j-0", Tokens: 10}, {ID: "j-1", Tokens: 10}}},
			{Items: []batch.Item{{ID: "j-0", Tokens: 40}, {ID: "j-1", Tokens: -10}}},
		} {
			_, err := b.ApplyItems(batch.ItemsKey("j"), encode(foreign))
			Expect(err).To(HaveOccurred())
		}
		Expect(b.Job("j").HasItems()).To(BeFalse())
		Expect(b.WaitingTokens(quota)).To(BeEquivalentTo(30))
	})

	// An item ran at two daemons. The second result must neither change the output that a
	// caller has already read nor take a second position.
	It("keeps the first result of an item at its position", func() {
		job(batch.AcceptedKey("j"), accepted("j", 1, 1))
		result("j", 1, "first")
		Expect(result("j", 1, "second").Job).To(BeEmpty())
		result("j", 0, "other")
		Expect(b.Job("j").Results).To(HaveLen(2))
		Expect(b.Job("j").Results[0].Output).To(Equal("first"))
		Expect(b.Job("j").Results[1].Output).To(Equal("other"))
	})

	It("holds the same state whichever partition is read first", func() {
		result("j", 0, "x")
		job(batch.EndedKey("k"), []byte{1})
		job(batch.AcceptedKey("j"), accepted("j", 10, 20))
		job(batch.AcceptedKey("k"), accepted("k", 40))
		Expect(b.WaitingTokens(quota)).To(BeEquivalentTo(20))
		Expect(b.Job("k").Open()).To(BeFalse())
	})

	It("expires only closed jobs, and only after the retention period", func() {
		job(batch.AcceptedKey("j"), accepted("j", 1))
		job(batch.AcceptedKey("open"), accepted("open", 1))
		result("j", 0, "x")
		Expect(b.Expired(time.UnixMilli(1000).Add(time.Minute), time.Minute)).To(BeEmpty())
		Expect(b.Expired(time.UnixMilli(1001).Add(time.Minute), time.Minute)).To(Equal([]string{"j"}))
		Expect(job(batch.AcceptedKey("j"), nil).Removed).To(BeTrue())
		Expect(b.Job("j")).To(BeNil())
		Expect(b.WaitingTokens(quota)).To(BeEquivalentTo(1))
	})

	// A job is removed from the log while a daemon does not read it. Its tokens must not
	// stay counted as waiting forever: jobs that fit the quota would be refused.
	It("removes the accepted jobs that the log no longer holds", func() {
		job(batch.AcceptedKey("j"), accepted("j", 5))
		job(batch.AcceptedKey("open"), accepted("open", 1))
		Expect(b.Retain(map[string]bool{"open": true})).To(Equal([]batch.Change{{Job: "j", Removed: true}}))
		Expect(b.Job("j")).To(BeNil())
		Expect(b.WaitingTokens(quota)).To(BeEquivalentTo(1))
		id, ok := batch.ParseAcceptedKey(batch.AcceptedKey("a/b"))
		Expect(ok).To(BeTrue())
		Expect(id).To(Equal("a/b"))
		_, ok = batch.ParseAcceptedKey(batch.EndedKey("a/b"))
		Expect(ok).To(BeFalse())
	})

	It("rejects invalid records without changing the state", func() {
		_, err := b.ApplyJob("job/x", []byte{0xff})
		Expect(err).To(HaveOccurred())
		_, err = b.ApplyJob("what/x", []byte{1})
		Expect(err).To(HaveOccurred())
		_, err = b.ApplyResult("noindex", []byte{1})
		Expect(err).To(HaveOccurred())
		Expect(b.Len()).To(BeZero())
	})

	It("parses the keys of bodies", func() {
		id, item, chunk, err := batch.ParseBodyKey(batch.BodyKey("a/b", 12, 3))
		Expect(err).NotTo(HaveOccurred())
		Expect([]any{id, item, chunk}).To(Equal([]any{"a/b", 12, 3}))
		Expect(batch.ItemKey("j", 7) < batch.BodyKey("j", 7, 0)).To(BeTrue())
		Expect(batch.ItemKey("j", 7) > batch.BodyKey("j", 6, 999)).To(BeTrue())
	})

	// All hosts lose power. A daemon that restarts reads only the newest record of each
	// key, and must return every result at the position where callers have read it.
	It("derives the same state from the newest records as from the whole log", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			type record struct {
				key    string
				value  []byte
				offset int64
			}
			whole := batch.NewStore()
			seen := map[int]bool{}
			newest := map[string]record{}
			steps := rapid.SliceOfN(rapid.IntRange(0, 9), 0, 30).Draw(t, "items")
			offset := int64(0)
			for i, item := range steps {
				// Writers look at the store first, so an item is written once.
				if seen[item] {
					continue
				}
				seen[item] = true
				r := record{batch.ResultKey("j", item), finished("j", item, fmt.Sprint(i)), offset}
				offset++
				newest[r.key] = r
				if _, err := whole.ApplyResult(r.key, r.value); err != nil {
					t.Fatal(err)
				}
			}
			var kept []record
			for _, r := range newest {
				kept = append(kept, r)
			}
			slices.SortFunc(kept, func(a, b record) int { return cmp.Compare(a.offset, b.offset) })
			restarted := batch.NewStore()
			for _, r := range kept {
				if _, err := restarted.ApplyResult(r.key, r.value); err != nil {
					t.Fatal(err)
				}
			}
			if len(kept) > 0 && fmt.Sprint(whole.Job("j").Results) != fmt.Sprint(restarted.Job("j").Results) {
				t.Fatalf("%v became %v", whole.Job("j").Results, restarted.Job("j").Results)
			}
		})
	})
})
