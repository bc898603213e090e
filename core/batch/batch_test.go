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

var _ = Describe("The book", func() {
	var b *batch.Book
	BeforeEach(func() { b = batch.NewBook() })
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
		Expect(b.Waiting(quota)).To(BeEquivalentTo(30))
		result("j", 1, "x")
		Expect(b.Waiting(quota)).To(BeEquivalentTo(10))
		job(batch.EndedKey("j"), []byte{1})
		Expect(b.Waiting(quota)).To(BeZero())
		Expect(b.Job("j").Open()).To(BeFalse())
	})

	// An item ran at two daemons. The second result must neither change the text
	// that a caller has read nor take a second position.
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
		Expect(b.Waiting(quota)).To(BeEquivalentTo(20))
		Expect(b.Job("k").Open()).To(BeFalse())
	})

	It("forgets closed jobs only, and after their time", func() {
		job(batch.AcceptedKey("j"), accepted("j", 1))
		job(batch.AcceptedKey("open"), accepted("open", 1))
		result("j", 0, "x")
		Expect(b.Forgettable(time.UnixMilli(1000).Add(time.Minute), time.Minute)).To(BeEmpty())
		Expect(b.Forgettable(time.UnixMilli(1001).Add(time.Minute), time.Minute)).To(Equal([]string{"j"}))
		Expect(job(batch.AcceptedKey("j"), nil).Forgotten).To(BeTrue())
		Expect(b.Job("j")).To(BeNil())
		Expect(b.Waiting(quota)).To(BeEquivalentTo(1))
	})

	It("refuses what it can't read, and changes nothing", func() {
		_, err := b.ApplyJob("job/x", []byte{0xff})
		Expect(err).To(HaveOccurred())
		_, err = b.ApplyJob("what/x", []byte{1})
		Expect(err).To(HaveOccurred())
		_, err = b.ApplyResult("noindex", []byte{1})
		Expect(err).To(HaveOccurred())
		Expect(b.Len()).To(BeZero())
	})

	It("reads the keys of bodies back", func() {
		id, item, chunk, err := batch.ParseBodyKey(batch.BodyKey("a/b", 12, 3))
		Expect(err).NotTo(HaveOccurred())
		Expect([]any{id, item, chunk}).To(Equal([]any{"a/b", 12, 3}))
		Expect(batch.ItemKey("j", 7) < batch.BodyKey("j", 7, 0)).To(BeTrue())
		Expect(batch.ItemKey("j", 7) > batch.BodyKey("j", 6, 999)).To(BeTrue())
	})

	// All hosts lose power. A daemon that starts reads only the newest record of
	// each key, and must show every result where callers have read it.
	It("is the same from the newest records as from the whole log", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			type record struct {
				key    string
				value  []byte
				offset int64
			}
			whole := batch.NewBook()
			seen := map[int]bool{}
			newest := map[string]record{}
			steps := rapid.SliceOfN(rapid.IntRange(0, 9), 0, 30).Draw(t, "items")
			offset := int64(0)
			for i, item := range steps {
				// Writers look at the book first, so an item is written once.
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
			restarted := batch.NewBook()
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
