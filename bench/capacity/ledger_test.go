package capacity

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"tarragonhollow.example/tarragonhollow/core/ledger"
)

// Sizes in bytes of an item's prompt, and of the answer of an item or a keyed request:
// short ones, as in the benchmarks of core/ledger.
const (
	promptBytes = 400
	answerBytes = 600
)

// shardRun is one shard's owner with its stream of records in memory.
type shardRun struct {
	now   int64
	data  [][]byte
	bytes int
	owner *ledger.Owner
	calls ledger.CallID
}

func newShardRun() *shardRun {
	r := &shardRun{now: 1_000_000}
	r.owner = ledger.NewOwner(ledger.OwnerConfig{
		Self: "entry-000/1", Live: func(string) bool { return true },
		GroupOf: func(ledger.Item) (string, bool) { return "g", true },
		Limits:  func() ledger.Limits { return ledger.Limits{KeptAnswersMs: 1e10, KeptResultsMs: 1e10, CrashLimit: 2} },
		LeaseMs: 4000, AppendIntervalMs: 100, UrgentIntervalMs: 10, RetentionMs: 86_400_000,
	}, ledger.NewState(0, 0, true), r.now)
	r.flush()
	return r
}

func (r *shardRun) nextCall() ledger.CallID {
	r.calls++
	return r.calls
}

// flush appends records and reads them back until none are pending.
func (r *shardRun) flush() {
	for {
		r.now += 200
		r.owner.Tick(r.now)
		data, err := r.owner.Build(r.now)
		if err != nil {
			panic(err)
		}
		if data == nil {
			r.owner.TakeReplies()
			return
		}
		offset := int64(len(r.data))
		r.data = append(r.data, data)
		r.bytes += len(data)
		r.owner.AppendDone(r.now, ledger.Appended, 0)
		if err := r.owner.Apply(r.now, offset, data); err != nil {
			panic(err)
		}
		r.owner.TakeReplies()
	}
}

// upload accepts a job of n items.
func (r *shardRun) upload(name string, n int) {
	const perChunk = 500
	body := []byte(`{"model":"m","x":"` + strings.Repeat("p", promptBytes) + `"}`)
	r.owner.OpenJob(r.now, ledger.JobOpenRequest{
		Job: name, Upload: "u", Repeatable: true, MaxAttempts: 2, DueMs: r.now + 1e8,
	})
	chunks := 0
	for first := 0; first < n; first += perChunk {
		req := ledger.JobChunkRequest{Job: name, Upload: "u", Index: chunks}
		for i := first; i < min(n, first+perChunk); i++ {
			item := ledger.Item{CustomID: fmt.Sprint("item-", i), URL: "/v1/chat/completions", Body: body}
			req.Items = append(req.Items, item)
		}
		chunks++
		r.owner.AddItems(r.now, r.nextCall(), req)
		r.flush()
	}
	r.owner.CommitJob(r.now, r.nextCall(), ledger.JobCommitRequest{
		Job: name, Upload: "u", Chunks: chunks, Items: n, Fingerprint: "f",
	})
	r.flush()
}

// finish pulls and finishes n items, up to perPull at a time: as many as one report of a
// busy target's batch dispatcher contains.
func (r *shardRun) finish(n, perPull int) {
	answer := []byte(strings.Repeat("a", answerBytes))
	for n > 0 {
		reply := r.owner.Pull(r.now, ledger.PullRequest{Steward: "s", Group: "g", Max: min(perPull, n), MaxBytes: 1 << 30})
		if len(reply.Items) == 0 {
			panic("no item to pull")
		}
		ends := ledger.FinishItemsRequest{Steward: "s"}
		for _, it := range reply.Items {
			ends.Ends = append(ends.Ends, ledger.ItemEnd{Ref: it.Ref, Answer: &ledger.Answer{
				Status: 200, ContentType: "application/json", Body: append([]byte(nil), answer...),
			}})
		}
		r.owner.FinishItems(r.now, r.nextCall(), ends)
		r.flush()
		n -= len(reply.Items)
	}
}

// heapBytes returns the live heap memory in bytes, after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkItems reports the cost of an item to its shard's owner: memory while it waits
// and after it has ended, log bytes, and CPU time from upload to end.
func BenchmarkItems(b *testing.B) {
	for _, n := range []int{10_000, 50_000, 200_000} {
		b.Run(fmt.Sprintf("items=%d", n), func(b *testing.B) {
			var waiting, ended, logged float64
			for b.Loop() {
				r := newShardRun()
				before, bytesBefore := heapBytes(), r.bytes
				r.upload("c/j", n)
				waiting = heapBytes() - before - float64(r.bytes)
				r.finish(n, 200)
				ended = heapBytes() - before - float64(r.bytes)
				logged = float64(r.bytes - bytesBefore)
				runtime.KeepAlive(r)
			}
			b.ReportMetric(waiting/float64(n), "waiting-bytes/item")
			b.ReportMetric(ended/float64(n), "ended-bytes/item")
			b.ReportMetric(logged/float64(n), "log-bytes/item")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(n), "us/item")
		})
	}
}

// BenchmarkRequests reports the cost of a keyed request to its shard's owner, with 50
// requests at a time: memory while its answer is retained, log bytes, appends, and CPU
// time.
func BenchmarkRequests(b *testing.B) {
	answer := []byte(strings.Repeat("a", answerBytes))
	for _, n := range []int{10_000, 50_000, 200_000} {
		b.Run(fmt.Sprintf("requests=%d", n), func(b *testing.B) {
			var kept, logged, appends float64
			for b.Loop() {
				r := newShardRun()
				before, bytesBefore, appendsBefore := heapBytes(), r.bytes, len(r.data)
				for i := range n {
					key := fmt.Sprintf("caller-%d/key-%d", i%18000, i)
					begin := ledger.BeginRequest{Key: key, Nonce: key, Entry: "e", Fingerprint: "0123456789abcdef", Profile: "p", Repeatable: true}
					r.owner.Begin(r.now, r.nextCall(), begin)
					r.owner.Finish(r.now, r.nextCall(), ledger.FinishRequest{
						Key: key, Nonce: key, Attempt: 1, Begin: begin,
						Answer: &ledger.Answer{Status: 200, ContentType: "application/json", Body: append([]byte(nil), answer...)},
					})
					if i%50 == 49 {
						r.flush()
					}
				}
				r.flush()
				kept = heapBytes() - before - float64(r.bytes)
				logged, appends = float64(r.bytes-bytesBefore), float64(len(r.data)-appendsBefore)
				runtime.KeepAlive(r)
			}
			b.ReportMetric(kept/float64(n), "kept-bytes/request")
			b.ReportMetric(logged/float64(n), "log-bytes/request")
			b.ReportMetric(appends*1000/float64(n), "appends/1000requests")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(n), "us/request")
		})
	}
}

// BenchmarkReplay applies the records of a stream of ended items, as a new owner does.
func BenchmarkReplay(b *testing.B) {
	for _, n := range []int{10_000, 50_000, 200_000} {
		b.Run(fmt.Sprintf("items=%d", n), func(b *testing.B) {
			r := newShardRun()
			r.upload("c/j", n)
			r.finish(n, 200)
			b.SetBytes(int64(r.bytes))
			b.ResetTimer()
			for b.Loop() {
				st := ledger.NewState(0, 0, true)
				for at, data := range r.data {
					rec, _ := ledger.DecodeRecord(0, data)
					if _, err := st.Apply(int64(at), len(data), rec); err != nil {
						b.Fatal(err)
					}
				}
			}
			b.ReportMetric(b.Elapsed().Seconds()/float64(b.N)/float64(n)*1e5, "s/100000items")
		})
	}
}

// BenchmarkIdlePull measures the cost of an idle batch dispatcher's request: it pulls items
// of a group from an owner that has only jobs of another group.
func BenchmarkIdlePull(b *testing.B) {
	for _, jobs := range []int{1, 20, 400} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			r := newShardRun()
			for j := range jobs {
				r.upload(fmt.Sprintf("c-%d/j-%d", j%50, j), 20)
			}
			req := ledger.PullRequest{Steward: "s", Group: "other", Max: 8, MaxBytes: 1 << 20}
			for b.Loop() {
				r.owner.Pull(r.now, req)
			}
		})
	}
}
