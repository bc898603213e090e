package partlog_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/extern/partlog"
	"tarragonhollow.example/tarragonhollow/extern/partlog/fakepartlog"
)

func TestPartlog(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "partlog")
}

// recorder records the newest value of each key, and the order of the keys.
type recorder struct {
	mu       sync.Mutex
	position int64
	values   map[string]string
	order    []string
	failing  bool
	// caughtUp holds the positions at which no more records were known to follow.
	caughtUp []int64
}

func (r *recorder) Position() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.position
}

func (r *recorder) Load(records []partlog.StoredRecord, end int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.values, r.order = map[string]string{}, nil
	r.apply(records)
	r.position = end
}

func (r *recorder) Apply(page partlog.Page) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apply(page.Records)
	r.position = page.Next
}

func (r *recorder) apply(records []partlog.StoredRecord) {
	for _, record := range records {
		r.values[record.Key] = string(record.Value)
		r.order = append(r.order, record.Key)
	}
}

func (r *recorder) CallEnded(asOf time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failing = err != nil
	if !asOf.IsZero() && !slices.Contains(r.caughtUp, r.position) {
		r.caughtUp = append(r.caughtUp, r.position)
	}
}

func (r *recorder) caughtUpAt() []int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.caughtUp)
}

// shortPages is a log whose reads return at most one record.
type shortPages struct{ *fakepartlog.Log }

func (l shortPages) Read(ctx context.Context, p partlog.Partition, from int64, wait time.Duration) (partlog.Page, error) {
	page, err := l.Log.Read(ctx, p, from, wait)
	if len(page.Records) > 1 {
		page.Records, page.Next = page.Records[:1], from+1
	}
	return page, err
}

func (r *recorder) value(key string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.values[key]
}

func (r *recorder) isFailing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failing
}

var _ = Describe("Following a partition", func() {
	const limit = 10 * time.Second
	var (
		log *fakepartlog.Log
		r   *recorder
		p   = partlog.Partition{Topic: "t"}
	)
	put := func(key, value string) {
		_, err := log.Append(context.Background(), p, []partlog.Record{{Key: key, Value: []byte(value)}}, partlog.AnyOffset)
		Expect(err).NotTo(HaveOccurred())
	}
	opts := partlog.ReadOptions{Wait: 50 * time.Millisecond}
	follow := func() {
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			partlog.Follow(ctx, log, p, opts, r)
			close(done)
		}()
		DeferCleanup(func() {
			cancel()
			<-done
		})
	}
	BeforeEach(func() {
		log = fakepartlog.New(1)
		r = &recorder{position: -1}
		opts.Linger = 0
	})

	// Guards against a reader that takes a partial read for the whole partition while more
	// records follow.
	It("is not up to date while more is known to follow", func() {
		put("k", "0")
		ctx, stop := context.WithCancel(context.Background())
		DeferCleanup(stop)
		go partlog.Follow(ctx, shortPages{log}, p, opts, r)
		Eventually(r.caughtUpAt).WithTimeout(limit).Should(Equal([]int64{1}))
		var records []partlog.Record
		for i := range 3 {
			records = append(records, partlog.Record{Key: "k", Value: []byte(fmt.Sprint(i))})
		}
		_, err := log.Append(context.Background(), p, records, partlog.AnyOffset)
		Expect(err).NotTo(HaveOccurred())
		Eventually(r.caughtUpAt).WithTimeout(limit).Should(Equal([]int64{1, 4}))
	})

	// A long list takes seconds to load, and still contains a target that left meanwhile.
	// That target gets requests until the reader has read the records appended since.
	It("reads on at once after the first load", func() {
		put("k", "1")
		opts.Linger = time.Hour
		follow()
		Eventually(func() string { return r.value("k") }).WithTimeout(limit).Should(Equal("1"))
		put("k", "2")
		Eventually(func() string { return r.value("k") }).WithTimeout(limit).Should(Equal("2"))
	})

	It("loads the newest records over several pages in log order, then reads the records that follow", func() {
		for i := range 8 {
			put(fmt.Sprint("k", 7-i), "old")
		}
		put("k7", "new")
		follow()
		Eventually(func() string { return r.value("k7") }).WithTimeout(limit).Should(Equal("new"))
		r.mu.Lock()
		Expect(r.order).To(Equal([]string{"k6", "k5", "k4", "k3", "k2", "k1", "k0", "k7"}))
		r.mu.Unlock()
		put("later", "x")
		Eventually(func() string { return r.value("later") }).WithTimeout(limit).Should(Equal("x"))
	})

	// After a power loss all hosts start at once and load the same lists. The log's rate
	// limit refuses some of their calls, so a few of a long list's pages are refused. A
	// host that restarted the load each time would never finish it: it would know no
	// target while its callers wait.
	It("loads a long list although most calls are refused", func() {
		for i := range 30 {
			put(fmt.Sprintf("k%02d", i), "x")
		}
		log.LimitNewest(2)
		follow()
		Eventually(func() string { return r.value("k29") }).WithTimeout(limit).Should(Equal("x"))
		Expect(r.value("k00")).To(Equal("x"))
	})

	// The log deletes its history while a reader waits. The reader must not stop at the
	// gap, or a new configuration would never be applied on this host.
	It("loads again when the history it needs was dropped", func() {
		put("k", "1")
		follow()
		Eventually(func() string { return r.value("k") }).WithTimeout(limit).Should(Equal("1"))
		log.SetDown(true)
		Eventually(r.isFailing).WithTimeout(limit).Should(BeTrue())
		log.SetDown(false)
		put("k", "2")
		log.Expire(p)
		Eventually(func() string { return r.value("k") }).WithTimeout(limit).Should(Equal("2"))
	})

	It("receives new records within its wait although the waiting read is not notified", func() {
		log.SetNotificationsLost(true)
		follow()
		Eventually(r.Position).WithTimeout(limit).Should(BeZero())
		put("k", "1")
		Eventually(func() string { return r.value("k") }).WithTimeout(limit).Should(Equal("1"))
	})

	// The log was unavailable and is available again, without new records. The reader must
	// learn of that at once and not at the end of a read that waits for records.
	It("learns at once that the log is available again", func() {
		opts.Wait = time.Hour
		put("k", "1")
		log.SetReadsDown(true)
		follow()
		Eventually(r.isFailing).WithTimeout(limit).Should(BeTrue())
		log.SetReadsDown(false)
		Eventually(r.isFailing).WithTimeout(limit).Should(BeFalse())
	})
})
