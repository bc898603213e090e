package ledger

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"tarragonhollow.example/tarragonhollow/core/outcome"
)

// referenceReplay is a simple reference implementation of State.Apply for keyed requests:
// it applies the whole history.
func referenceReplay(records []*Record) map[string]RequestBody {
	kept := map[string]RequestBody{}
	var term uint64
	holder := ""
	seen := map[string]uint64{}
	for _, r := range records {
		id := fmt.Sprint(r.Writer, "/", r.Term)
		claim := len(r.Entries) > 0 && r.Entries[0].Claim != nil
		switch {
		case claim && r.Term == term+1:
			term, holder = r.Term, r.Writer
		case claim, holder == "", r.Term != term, r.Writer != holder, r.Seq <= seen[id]:
			continue
		}
		seen[id] = r.Seq
		for _, e := range r.Entries {
			referenceApply(kept, e)
			if e.Release != nil {
				holder = ""
			}
		}
	}
	return kept
}

func referenceApply(kept map[string]RequestBody, e Entry) {
	switch {
	case e.Start != nil:
		kept[e.Start.Request.Key] = e.Start.Request
	case e.Forget != nil:
		for _, k := range e.Forget.Keys {
			delete(kept, k)
		}
	case e.Finish != nil:
		f := e.Finish
		r, ok := kept[f.Key]
		current := ok && r.State == RequestRunning && r.Attempt == f.Attempt
		switch {
		case f.Free && current:
			delete(kept, f.Key)
		case !f.Free && f.State == RequestCompleted && ok && r.State != RequestCompleted, !f.Free && current:
			r.State, r.Answer, r.Refusal = f.State, f.Answer, f.Refusal
			kept[f.Key] = r
		}
	}
}

func drawEntry(t *rapid.T) Entry {
	key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
	attempt := rapid.IntRange(1, 2).Draw(t, "attempt")
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0, 1:
		return Entry{Start: &StartEntry{Request: RequestBody{Key: key, Attempt: attempt, State: RequestRunning}}}
	case 2:
		return Entry{Finish: &FinishEntry{Key: key, Attempt: attempt, Free: true}}
	case 3:
		state := rapid.SampledFrom([]RequestState{RequestFailed, RequestUnknown}).Draw(t, "state")
		return Entry{Finish: &FinishEntry{Key: key, Attempt: attempt, State: state, Refusal: &RefusalBody{Code: "x"}}}
	case 4:
		return Entry{Forget: &ForgetEntry{Keys: []string{key}}}
	}
	text := rapid.StringMatching("[a-z]{3}").Draw(t, "answer")
	return Entry{Finish: &FinishEntry{Key: key, Attempt: attempt, State: RequestCompleted, Answer: answer(text)}}
}

// TestApplyMatchesReference checks that records of several writers, with stale terms,
// repeats and competing claims, give the same state as the reference implementation.
func TestApplyMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		st := NewState(0, 0, true)
		var history []*Record
		seq := map[string]uint64{}
		for i := 0; i < rapid.IntRange(1, 60).Draw(t, "records"); i++ {
			r := &Record{
				Writer: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "writer"),
				Term:   st.term + uint64(rapid.IntRange(0, 2).Draw(t, "term")),
			}
			seq[r.Writer]++
			r.Seq = seq[r.Writer]
			switch rapid.IntRange(0, 9).Draw(t, "record") {
			case 0, 1:
				r.Entries = []Entry{{Claim: &Claim{}}}
			case 2:
				r.Entries = []Entry{{Release: &Release{}}}
			case 3:
				if len(history) > 0 {
					r = history[rapid.IntRange(0, len(history)-1).Draw(t, "repeat")]
				}
			default:
				r.Writer = rapid.SampledFrom([]string{r.Writer, st.holder}).Draw(t, "held")
				r.Term = rapid.SampledFrom([]uint64{r.Term, st.term}).Draw(t, "held_term")
				r.Entries = []Entry{drawEntry(t), drawEntry(t)}
			}
			history = append(history, r)
			if _, err := st.Apply(int64(i), 10, r); err != nil {
				t.Fatal(err)
			}
		}
		want := referenceReplay(history)
		if len(want) != len(st.requests) {
			t.Fatalf("%d requests, reference %d", len(st.requests), len(want))
		}
		for k, w := range want {
			got := st.requests[k]
			if got == nil || got.State != w.State || got.Attempt != w.Attempt || body(got.Answer) != body(w.Answer) {
				t.Fatalf("%s: %+v, reference %+v", k, got, w)
			}
		}
	})
}

// lateAppend is an append whose response was lost and that may land at any later time.
type lateAppend struct{ data []byte }

// randomRun drives owners at random: claims, crashes, lost responses, delayed appends,
// dead entry hosts, expiry.
type randomRun struct {
	*sim
	t           *rapid.T
	owners      []*Owner
	lateAppends []lateAppend
	begun       map[CallID]BeginRequest
	// running maps a request's key to the nonce that may have run it.
	running map[string]string
	// reported holds the nonces whose entry host has reported an answer.
	reported map[string]bool
	starts   int
}

// steps are drawn in proportion to how often they are listed. Claims must be rare, or no
// owner holds the shard long enough to do anything.
var steps = strings.Fields("restart progress progress progress progress progress progress progress " +
	"append append read read begin begin begin begin begin finish finish finish finish wait wait land entry job job job")

func (w *randomRun) step() {
	i := rapid.IntRange(0, len(w.owners)-1).Draw(w.t, "owner")
	o := w.owners[i]
	switch rapid.SampledFrom(steps).Draw(w.t, "step") {
	case "restart":
		w.starts++
		w.owners[i] = w.owner(fmt.Sprint("o", w.starts))
	case "progress":
		for range 3 {
			w.append(o)
			w.read(o)
		}
	case "append":
		w.append(o)
	case "read":
		w.read(o)
	case "begin":
		w.begin(o)
	case "finish":
		w.finish(o)
	case "wait":
		// Long waits let full states grow old, so that they are rewritten.
		w.now += rapid.SampledFrom([]int64{20, 500, 5000, 700_000}).Draw(w.t, "ms")
		o.Tick(w.now)
		w.collect(o)
	case "land":
		if len(w.lateAppends) > 0 {
			w.log.append(w.lateAppends[0].data)
			w.lateAppends = w.lateAppends[1:]
		}
	case "entry":
		w.dead[rapid.SampledFrom([]string{"e1", "e2"}).Draw(w.t, "entry")] = rapid.Bool().Draw(w.t, "dead")
	case "job":
		w.job(o, "c/j", fmt.Sprint("u", w.calls), 3, true)
		for _, it := range w.pull(o, "s", 2) {
			o.FinishItems(w.now, w.call(), FinishItemsRequest{Steward: "s", Ends: []ItemEnd{{Ref: it.Ref, Answer: answer(fmt.Sprint(w.now))}}})
		}
	}
	w.check()
}

func (w *randomRun) append(o *Owner) {
	w.now += 150
	if o.NeedsRetryOffset() {
		o.SetRetryOffset(w.log.next())
	}
	data, err := o.Build(w.now)
	if err != nil {
		w.t.Fatal(err)
	}
	w.collect(o)
	if data == nil {
		return
	}
	out := rapid.SampledFrom([]AppendOutcome{Appended, Appended, Appended, Unavailable, Throttled, Unknown}).Draw(w.t, "outcome")
	switch {
	case out == Appended:
		w.log.append(data)
	case out == Unknown && rapid.Bool().Draw(w.t, "landed"):
		w.log.append(data)
	case out == Unknown:
		w.lateAppends = append(w.lateAppends, lateAppend{data: data})
	}
	o.AppendDone(w.now, out, 0)
	w.collect(o)
}

func (w *randomRun) begin(o *Owner) {
	if !o.Holding() {
		return
	}
	key := rapid.SampledFrom([]string{"k1", "k2"}).Draw(w.t, "key")
	entry := rapid.SampledFrom([]string{"e1", "e2"}).Draw(w.t, "entry")
	id := w.call()
	req := keyedRequest(key, fmt.Sprint("n", id), entry)
	w.begun[id] = req
	o.Begin(w.now, id, req)
	w.collect(o)
}

func (w *randomRun) finish(o *Owner) {
	key := rapid.SampledFrom([]string{"k1", "k2"}).Draw(w.t, "key")
	nonce := w.running[key]
	if nonce == "" || !o.Holding() {
		return
	}
	req := FinishRequest{Key: key, Nonce: nonce, Attempt: 1, Answer: answer(nonce)}
	if rapid.Bool().Draw(w.t, "not_run") && !w.reported[nonce] {
		req.Answer, req.Refusal = nil, outcome.Refuse(outcome.NoTarget, "none")
		delete(w.running, key) // correct: it was not run
	}
	w.reported[nonce] = req.Answer != nil
	o.Finish(w.now, w.call(), req)
	w.collect(o)
}

// check verifies that a request is granted to one arrival only, and to another only after
// the first was reported as not run, and that callers read the answer of that run.
func (w *randomRun) check() {
	for id, r := range w.replies {
		req, ours := w.begun[id]
		if !ours || r.Begin == nil {
			continue
		}
		delete(w.replies, id)
		switch r.Begin.Verdict {
		case Granted:
			if other := w.running[req.Key]; other != "" && other != req.Nonce {
				w.t.Fatalf("%s granted to %s while %s may run", req.Key, req.Nonce, other)
			}
			w.running[req.Key] = req.Nonce
		case Settled:
			if a := r.Begin.Answer; a != nil && body(a) != w.running[req.Key] {
				w.t.Fatalf("%s answered %q, run by %q", req.Key, body(a), w.running[req.Key])
			}
		}
	}
}

// TestRequestsRunOnce sends non-repeatable requests again and again while owners crash,
// lose claims and responses, and delayed appends land late. No request may be granted
// twice. Then readers that begin at any offset must arrive at the same live state.
func TestRequestsRunOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &randomRun{
			sim: newSim(), t: t, begun: map[CallID]BeginRequest{}, running: map[string]string{},
			reported: map[string]bool{},
		}
		w.owners = []*Owner{w.owner("o-a"), w.owner("o-b"), w.owner("o-c")}
		for i := 0; i < 250; i++ {
			w.step()
		}
		full := w.log.replayFrom(0, true)
		if full.lastValidOffset == NoLow {
			return
		}
		want := dump(full)
		if got := dump(w.log.replay()); got != want {
			t.Fatalf("from the last Low:\n%s\nfrom the start:\n%s", got, want)
		}
		w.log.first = int64(rapid.IntRange(0, int(full.Low())).Draw(t, "trim"))
		if late := w.log.replayFrom(w.log.first, w.log.first == 0); late.Anchored() && dump(late) != want {
			t.Fatalf("without an anchor from %d:\n%s\nfrom the start:\n%s", w.log.first, dump(late), want)
		}
	})
}
