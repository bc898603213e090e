package shards

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/ledger"
	"tarragonhollow.example/tarragonhollow/core/shard"
	"tarragonhollow.example/tarragonhollow/extern"
)

// suspension is a daemon's log and clock, with which a suspension of its process is simulated:
// calls of the log wait from begin until over is closed, and wake moves the clock.
type suspension struct {
	extern.Log
	skipped atomic.Int64
	over    chan struct{}
	active  atomic.Bool
}

func (s *suspension) now() time.Time { return time.Now().Add(time.Duration(s.skipped.Load())) }

// begin suspends the daemon's calls of the log.
func (s *suspension) begin() { s.active.Store(true) }

// wake moves the daemon's clock by the time that the suspension took. What the log has for the
// daemon reaches it once over is closed.
func (s *suspension) wake(after time.Duration) { s.skipped.Store(int64(after)) }

func (s *suspension) wait(ctx context.Context) {
	if !s.active.Load() {
		return
	}
	select {
	case <-s.over:
	case <-ctx.Done():
	}
}

// Read implements extern.Log.
func (s *suspension) Read(ctx context.Context, stream string, from int64, maxBytes int, wait time.Duration) (extern.Page, error) {
	s.wait(ctx)
	page, err := s.Log.Read(ctx, stream, from, maxBytes, wait)
	s.wait(ctx)
	return page, err
}

// Append implements extern.Log.
func (s *suspension) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	s.wait(ctx)
	return s.Log.Append(ctx, stream, data)
}

var _ = Describe("An owner that lost its shard while it was suspended", func() {
	// Guards against results that end as complete, and jobs that are said not to exist, at a
	// daemon that wakes and has not read yet that another one holds its shard.
	It("answers no reads from what it knew before", func() {
		f := newFleet("b")
		b := f.nodes["b"]
		Eventually(b.shards.Holds).WithTimeout(10 * time.Second).Should(HaveLen(testShards))
		suspended := &suspension{over: make(chan struct{})}
		f.tune = func(o *Options) {
			suspended.Log, o.Log, o.Clock = o.Log, suspended, suspended.now
		}
		a := f.start("a")
		Expect(b.shards.release(b.shards.slotOf("c/job"), a.self.ID())).To(BeTrue())
		Eventually(func() uint64 { return a.term("c/job") }).WithTimeout(10 * time.Second).ShouldNot(BeZero())
		_, err := submit(b, "c/job", "u1", 2)
		Expect(err).NotTo(HaveOccurred())
		Expect(finish(b, pull(b, a, 1, nil).Items)).To(BeEmpty())

		suspended.begin()
		b.isolated.Store(true) // b considers a dead
		Eventually(func() uint64 { return b.term("c/job") }).WithTimeout(10 * time.Second).ShouldNot(BeZero())
		Eventually(func() ledger.JobState {
			Expect(finish(b, pull(b, b, 2, nil).Items)).To(BeEmpty())
			st, err := b.shards.Job(context.Background(), "c/job")
			Expect(err).NotTo(HaveOccurred())
			return st.State
		}).WithTimeout(10 * time.Second).Should(Equal(ledger.JobEnded))
		later := "c/job"
		for shard.Of(later, testShards) != shard.Of("c/job", testShards) || later == "c/job" {
			later += "+"
		}
		_, err = submit(b, later, "u2", 1)
		Expect(err).NotTo(HaveOccurred())

		suspended.wake(time.Minute)
		time.AfterFunc(300*time.Millisecond, func() { close(suspended.over) })
		var wg sync.WaitGroup
		wg.Go(func() {
			defer GinkgoRecover()
			_, err := a.shards.Job(context.Background(), later)
			Expect(err).NotTo(HaveOccurred())
		})
		defer wg.Wait()
		page, err := a.shards.Results(context.Background(), ledger.ResultsRequest{Job: "c/job"})
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Next).To(Equal(2))
		Expect(page.Results).To(HaveLen(2))
	})
})
