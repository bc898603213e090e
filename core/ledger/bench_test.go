package ledger

import (
	"fmt"
	"strings"
	"testing"
)

// benchItems is the number of items in BenchmarkReplay, benchBody and benchAnswer the
// sizes of the prompts and answers in bytes: a nightly bundle of short prompts with short
// answers.
const (
	benchItems  = 100_000
	benchBody   = 400
	benchAnswer = 600
)

// uploadAndFinish uploads a job of n items and finishes them at the rate per second of
// the simulated clock; rate 0 finishes them as fast as they are handed out.
func uploadAndFinish(s *sim, o *Owner, n, rate int) {
	o.OpenJob(s.now, JobOpenRequest{Job: "c/j", Upload: "u", Repeatable: true, MaxAttempts: 2, DueMs: s.now + 1e8})
	prompt := []byte(`{"model":"m","x":"` + strings.Repeat("p", benchBody) + `"}`)
	const perChunk = 500
	for first := 0; first < n; first += perChunk {
		chunk := JobChunkRequest{Job: "c/j", Upload: "u", Index: first / perChunk}
		for i := first; i < min(n, first+perChunk); i++ {
			chunk.Items = append(chunk.Items, Item{CustomID: fmt.Sprint(i), URL: "/v1/chat/completions", Body: prompt})
		}
		o.AddItems(s.now, s.call(), chunk)
		s.flush(o)
	}
	o.CommitJob(s.now, s.call(), JobCommitRequest{
		Job: "c/j", Upload: "u", Chunks: (n + perChunk - 1) / perChunk, Items: n, Fingerprint: "f",
	})
	s.flush(o)
	finishAll(s, o, rate)
}

func finishAll(s *sim, o *Owner, rate int) {
	const stepMs = 10
	reply := answer(strings.Repeat("a", benchAnswer))
	due := 0.0
	for ended := false; !ended; {
		s.now += stepMs
		due += float64(rate) * stepMs / 1000
		n := int(due)
		if rate == 0 {
			n = 500
		}
		due -= float64(n)
		req := FinishItemsRequest{Steward: "s"}
		for _, it := range o.Pull(s.now, PullRequest{Steward: "s", Group: "g", Max: n, MaxBytes: 1 << 30}).Items {
			req.Ends = append(req.Ends, ItemEnd{Ref: it.Ref, Answer: reply})
		}
		if len(req.Ends) > 0 {
			o.FinishItems(s.now, s.call(), req)
		}
		if rate == 0 {
			s.flush(o)
		} else if data, _ := o.Build(s.now); data != nil {
			s.log.append(data)
			o.AppendDone(s.now, Appended, 0)
			s.read(o)
		}
		st, _ := o.Job(s.now, "c/j")
		ended = st.State == JobEnded
	}
}

// BenchmarkAppends reports how many appends and log bytes a job's items cost at several
// rates of one shard.
func BenchmarkAppends(b *testing.B) {
	for _, rate := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("items_per_second=%d", rate), func(b *testing.B) {
			const items = 5000
			var appends, bytes int
			for b.Loop() {
				s := newSim()
				uploadAndFinish(s, s.holder("a"), items, rate)
				appends, bytes = len(s.log.data), 0
				for _, d := range s.log.data {
					bytes += len(d)
				}
			}
			b.ReportMetric(float64(appends)*1000/items, "appends/1000items")
			b.ReportMetric(float64(bytes)/items, "logbytes/item")
		})
	}
}

// BenchmarkReplay replays the stream of 100,000 finished items.
func BenchmarkReplay(b *testing.B) {
	s := newSim()
	uploadAndFinish(s, s.holder("a"), benchItems, 0)
	var bytes int64
	for _, d := range s.log.data {
		bytes += int64(len(d))
	}
	b.SetBytes(bytes)
	for b.Loop() {
		s.log.replayFrom(0, true)
	}
}

// BenchmarkKeyed measures the cost of keyed requests, 500 for each flush to the log.
func BenchmarkKeyed(b *testing.B) {
	s := newSim()
	o := s.holder("a")
	n := 0
	for b.Loop() {
		key := fmt.Sprint("c/", n)
		n++
		req := BeginRequest{Key: key, Nonce: key, Entry: "e", Fingerprint: "f", Repeatable: true}
		o.Begin(s.now, s.call(), req)
		o.Finish(s.now, s.call(), FinishRequest{Key: key, Nonce: key, Attempt: 1, Answer: answer("x")})
		if n%500 == 0 {
			s.flush(o)
		}
	}
}
