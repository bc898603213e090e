package configlog_test

import (
	"flag"
	"fmt"
	"os"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"tarragonhollow.example/tarragonhollow/core/configlog"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "20261202")
	os.Exit(m.Run())
}

// world is a stream without expiry, evaluated by the naive model, and readers of the same
// stream with expiry.
type world struct {
	records []configlog.Record
	states  []configlog.State // after each record
	first   int64
	readers []*configlog.Replayer
	ids     int
}

func encode(t *rapid.T, r configlog.Record) []byte {
	data, err := r.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// append adds a record and applies it to the naive model.
func (w *world) append(r configlog.Record) {
	offset := int64(len(w.records))
	s := configlog.State{Through: -1}
	if offset > 0 {
		s = w.states[offset-1]
	}
	s.Through = offset
	switch c := r.Change; {
	case c != nil && c.Forced:
		s = configlog.State{Through: offset, Version: uint64(offset) + 1, Epoch: uint64(offset) + 1, Text: c.Text}
		s.History = []configlog.Entry{{Version: s.Version, ID: c.ID, AtMs: offset}}
	case c != nil && c.Base == s.Version && c.Epoch == s.Epoch:
		s.Version, s.Text = s.Version+1, c.Text
		s.History = append(append([]configlog.Entry{}, s.History...), configlog.Entry{Version: s.Version, ID: c.ID, AtMs: offset})
	case r.Withdraw != nil && r.Withdraw.Epoch == s.Epoch:
		s.Epoch++
	}
	w.records, w.states = append(w.records, r), append(w.states, s)
}

// read passes at most n records that have not expired to a reader.
func (w *world) read(t *rapid.T, reader *configlog.Replayer, n int) {
	var page []configlog.Input
	for offset := max(reader.Next(), w.first); offset < int64(len(w.records)) && len(page) < n; offset++ {
		page = append(page, configlog.Input{Offset: offset, AtMs: offset, Data: encode(t, w.records[offset])})
	}
	reader.Apply(w.first, page)
}

func (w *world) check(t *rapid.T, reader *configlog.Replayer) {
	got := reader.State()
	if got.Through < 0 {
		return
	}
	want := w.states[got.Through]
	if len(got.History) == 0 {
		got.History = want.History
	}
	if !reflect.DeepEqual(got, want) || reader.Regressed() > 0 {
		t.Fatalf("reader has %+v, the naive model %+v, regressed %d", got, want, reader.Regressed())
	}
}

// Operators publish concurrently, answers are lost, records expire, daemons restart, fall
// behind and fetch states from each other. Every reader's state must be that of the naive
// model after a prefix of the whole stream, and no reader's version may fall.
func TestReplayerAgreesWithNaiveModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{}
		for range 3 {
			w.readers = append(w.readers, configlog.NewReplayer())
		}
		pick := func(name string) int { return rapid.IntRange(0, 2).Draw(t, name) }
		act := map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				s := w.readers[pick("author")].State()
				w.ids++
				id := fmt.Sprint("id-", w.ids)
				forced := rapid.IntRange(0, 15).Draw(t, "forced") == 0
				w.append(configlog.Record{Change: &configlog.Change{ID: id, Base: s.Version, Epoch: s.Epoch, Text: "text of " + id, Forced: forced}})
			},
			"withdraw": func(*rapid.T) {
				w.append(configlog.Record{Withdraw: &configlog.Withdraw{Epoch: w.readers[pick("author")].State().Epoch}})
			},
			"restate": func(*rapid.T) {
				if s := w.readers[pick("author")].State(); s.Through >= 0 {
					w.append(configlog.Record{Restate: &s})
				}
			},
			"trim": func(t *rapid.T) {
				w.first = rapid.Int64Range(w.first, int64(len(w.records))).Draw(t, "first")
			},
			"read":    func(t *rapid.T) { w.read(t, w.readers[pick("reader")], rapid.IntRange(1, 9).Draw(t, "n")) },
			"restart": func(*rapid.T) { w.readers[pick("reader")] = configlog.NewReplayer() },
			"adopt": func(*rapid.T) {
				from, to := w.readers[pick("from")].State(), w.readers[pick("to")]
				before := to.State().Version
				to.Adopt(from)
				if to.State().Version < before {
					t.Fatalf("version fell from %d to %d", before, to.State().Version)
				}
			},
			"": func(t *rapid.T) {
				for _, f := range w.readers {
					w.check(t, f)
				}
			},
		}
		t.Repeat(act)
		w.checkEnd(t)
	})
}

// checkEnd reads the whole stream: a reader's state must be complete exactly if the
// remaining records allow it.
func (w *world) checkEnd(t *rapid.T) {
	for _, reader := range w.readers {
		before := reader.State().Version
		w.read(t, reader, len(w.records)+1)
		w.check(t, reader)
		if reader.State().Version < before {
			t.Fatalf("version fell from %d to %d", before, reader.State().Version)
		}
		if reader.Complete() && reader.State().Through != int64(len(w.records))-1 {
			t.Fatalf("complete at %d of %d", reader.State().Through, len(w.records))
		}
	}
	fresh := configlog.NewReplayer()
	w.read(t, fresh, len(w.records)+1)
	complete := w.first == 0
	for offset := w.first; offset < int64(len(w.records)); offset++ {
		r := w.records[offset]
		complete = complete || (r.Restate != nil && r.Restate.Through >= w.first-1) || (r.Change != nil && r.Change.Forced)
	}
	if fresh.Complete() != complete {
		t.Fatalf("fresh reader complete %v, want %v", fresh.Complete(), complete)
	}
	w.check(t, fresh)
}

// Two operators publish from the same version and one answer is lost. Each must get the
// actual verdict, independent of the order of the records.
func TestJudge(t *testing.T) {
	a := configlog.Change{ID: "a", Base: 0, Text: "A", Author: "thu"}
	b := configlog.Change{ID: "b", Base: 0, Text: "B", Author: "minh"}
	late := configlog.Change{ID: "late", Base: 1, Text: "L"}
	reader := configlog.NewReplayer()
	step := func(r configlog.Record) {
		data, err := r.Encode()
		if err != nil {
			t.Fatal(err)
		}
		reader.Apply(0, []configlog.Input{{Offset: reader.Next(), Data: data}})
	}
	judged := func(c configlog.Change, want configlog.Verdict, winner string) {
		t.Helper()
		if got, entry := configlog.Judge(reader.State(), c); got != want || entry.ID != winner {
			t.Fatalf("change %s: verdict %v by %q, want %v by %q", c.ID, got, entry.ID, want, winner)
		}
	}
	step(configlog.Record{Change: &a})
	step(configlog.Record{Change: &b})
	judged(a, configlog.Accepted, "a")
	judged(b, configlog.Lost, "a")
	// The append of "late" was not answered. The withdrawal makes the change void
	// permanently, even though it arrives afterwards.
	step(configlog.Record{Withdraw: &configlog.Withdraw{Epoch: 0}})
	judged(late, configlog.Void, "")
	step(configlog.Record{Change: &late})
	judged(late, configlog.Void, "")
	if s := reader.State(); s.Version != 1 || s.Text != "A" {
		t.Fatalf("state is %+v", s)
	}
}
