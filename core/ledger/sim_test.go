package ledger

import (
	"flag"
	"fmt"
	"os"
	"sort"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func TestLedger(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "core/ledger")
}

// simLog is a shard's stream. Records below first have expired for readers; the test
// keeps them.
type simLog struct {
	data  [][]byte
	first int64
}

func (l *simLog) next() int64 { return int64(len(l.data)) }

func (l *simLog) append(data []byte) { l.data = append(l.data, data) }

func (l *simLog) record(offset int64) *Record {
	r, err := DecodeRecord(0, l.data[offset])
	if err != nil {
		panic(err)
	}
	return r
}

// replay returns the state of a daemon that starts to read the stream now.
func (l *simLog) replay() *State {
	var tail *Record
	if l.next() > l.first {
		tail = l.record(l.next() - 1)
	}
	start, anchored := ReplayStart(l.first, l.next(), tail)
	return l.replayFrom(start, anchored)
}

func (l *simLog) replayFrom(start int64, anchored bool) *State {
	st := NewState(0, start, anchored)
	for at := start; at < l.next(); at++ {
		if _, err := st.Apply(at, len(l.data[at]), l.record(at)); err != nil {
			panic(err)
		}
	}
	return st
}

// sim runs owners of one shard against a log, with a clock and liveness that the test
// controls.
type sim struct {
	log  simLog
	now  int64
	dead map[string]bool
	// unserved reports that no target group serves any item.
	unserved bool
	calls    CallID
	replies  map[CallID]Reply
}

func newSim() *sim {
	return &sim{now: 1_000_000, dead: map[string]bool{}, replies: map[CallID]Reply{}}
}

func (s *sim) owner(self string) *Owner {
	return NewOwner(OwnerConfig{
		Self: self, Live: func(id string) bool { return !s.dead[id] },
		GroupOf: func(it Item) (string, bool) { return "g", len(it.Body) > 0 && !s.unserved },
		Limits:  func() Limits { return Limits{KeptAnswersMs: 1e9, KeptResultsMs: 1e9, CrashLimit: 2} },
		LeaseMs: 4000, AppendIntervalMs: 100, UrgentIntervalMs: 10, RetentionMs: 3_600_000,
	}, s.log.replay(), s.now)
}

func (s *sim) call() CallID {
	s.calls++
	return s.calls
}

// read applies the rest of the log to the owner and collects its replies.
func (s *sim) read(o *Owner) {
	for !o.Lost() && o.State().Next() < s.log.next() {
		at := o.State().Next()
		if err := o.Apply(s.now, at, s.log.data[at]); err != nil {
			panic(err)
		}
	}
	s.collect(o)
}

func (s *sim) collect(o *Owner) {
	for _, r := range o.TakeReplies() {
		s.replies[r.Call] = r
	}
}

// flush appends and reads back until the owner has nothing left to append.
func (s *sim) flush(o *Owner) {
	for i := 0; i < 100; i++ {
		s.now += 200
		if !s.step(o) {
			return
		}
	}
	panic("the owner still appends records after 100 rounds")
}

// step appends and reads back one record, if there is one to append now.
func (s *sim) step(o *Owner) bool {
	o.Tick(s.now)
	data, err := o.Build(s.now)
	if err != nil {
		panic(err)
	}
	if data != nil {
		s.log.append(data)
		o.AppendDone(s.now, Appended, 0)
		s.read(o)
	}
	s.collect(o)
	return data != nil
}

// holder returns an owner that has claimed the shard.
func (s *sim) holder(self string) *Owner {
	o := s.owner(self)
	s.flush(o)
	if !o.Holding() {
		panic(self + " does not hold the shard")
	}
	return o
}

func keyedRequest(key, nonce, entry string) BeginRequest {
	return BeginRequest{Key: key, Nonce: nonce, Entry: entry, Fingerprint: "f"}
}

func answer(body string) *Answer { return &Answer{Status: 200, Body: []byte(body)} }

// job uploads and commits a job of n items and returns the commit's call.
func (s *sim) job(o *Owner, name, upload string, n int, repeatable bool) CallID {
	o.OpenJob(s.now, JobOpenRequest{
		Job: name, Upload: upload, Profile: "p", DueMs: s.now + 1e6, Repeatable: repeatable, MaxAttempts: 2,
	})
	chunk := JobChunkRequest{Job: name, Upload: upload}
	for i := 0; i < n; i++ {
		chunk.Items = append(chunk.Items, Item{CustomID: fmt.Sprint(i), URL: "/v1/services/s/p", Body: []byte("{}")})
	}
	o.AddItems(s.now, s.call(), chunk)
	id := s.call()
	o.CommitJob(s.now, id, JobCommitRequest{Job: name, Upload: upload, Chunks: 1, Items: n, Fingerprint: "f"})
	return id
}

func (s *sim) pull(o *Owner, dispatcher string, n int) []LeasedItem {
	return o.Pull(s.now, PullRequest{Steward: dispatcher, Group: "g", Max: n, MaxBytes: 1 << 20}).Items
}

// pullSeq sends the dispatcher's pull number seq, listing all items that it holds.
func (s *sim) pullSeq(o *Owner, seq uint64, held ...ItemRef) []LeasedItem {
	return o.Pull(s.now, PullRequest{
		Steward: "s", Group: "g", Max: 1, MaxBytes: 1 << 20, Seq: seq, Held: held, HeldWhole: true,
	}).Items
}

// dump returns a canonical text of the live state.
func dump(st *State) string {
	var lines []string
	for key, r := range st.requests {
		b := r.RequestBody
		b.AtMs = 0
		lines = append(lines, fmt.Sprintf("request %s %+v %s %+v", key, b.withoutPointers(), body(b.Answer), b.Refusal))
	}
	for name, j := range st.jobs {
		lines = append(lines, fmt.Sprintf("job %s %+v %d %d %d", name, j.JobHeader, j.completed, j.failed, j.received))
		for i := 0; i < j.Items; i++ {
			if _, it := st.item(name, i); it != nil {
				plain := *it
				plain.Answer, plain.Refusal = nil, nil
				lines = append(lines, fmt.Sprintf("item %s %06d %+v %s %+v", name, i, plain, body(it.Answer), it.Refusal))
			}
		}
	}
	for id, j := range st.uploads {
		lines = append(lines, fmt.Sprintf("upload %+v %d", id, j.received))
	}
	sort.Strings(lines)
	return fmt.Sprintf("term %d %s\n%s", st.term, st.holder, strings.Join(lines, "\n"))
}

func (b RequestBody) withoutPointers() RequestBody {
	b.Answer, b.Refusal = nil, nil
	return b
}

func body(a *Answer) string {
	if a == nil {
		return "-"
	}
	return string(a.Body)
}
