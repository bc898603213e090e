package jobs

import (
	"strings"
	"sync"
	"testing"

	"tarragonhollow.example/tarragonhollow/core/batch"
	"tarragonhollow.example/tarragonhollow/extern/partlog"
	"tarragonhollow.example/tarragonhollow/target/rawtarget"
	"tarragonhollow.example/tarragonhollow/target/sse"
)

// addEvent adds one event to the progress.
func addEvent(p *progress, id int) {
	var events sse.Splitter
	events.Write([]byte(rawtarget.Event(id, "x")))
	p.addEvents(&events)
}

// A saved text that does not end with the saved last event would be joined to a run that
// continues elsewhere.
func TestSavedTextEndsWithItsLastEvent(t *testing.T) {
	p := newProgress()
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		for id := range 2000 {
			addEvent(p, id)
		}
	}()
	for last := int64(noEvent); last < 1999; {
		saved, ok := p.snapshot(saveAnyGrowth)
		if !ok {
			continue
		}
		if last = saved.LastEvent; int64(strings.Count(saved.Output, "x")) != last+1 {
			t.Fatalf("last event %d, but %d events in the text", last, strings.Count(saved.Output, "x"))
		}
		restored := newProgress()
		restored.restore(saved)
		addEvent(restored, int(last)+1)
		if got := restored.text(); got != saved.Output+"\nx" {
			t.Fatalf("%d bytes restored and one event make %d", len(saved.Output), len(got))
		}
	}
	wg.Wait()
}

// An earlier holder may save what it has after the present one has more, and a partition may be
// restored while its items run. Text and last event have to stay those of one progress.
func TestRestoreDoesNotMixProgress(t *testing.T) {
	record := func(last int64, text string) partlog.StoredRecord {
		value, err := batch.Encode(batch.Progress{LastEvent: last, Output: text})
		if err != nil {
			t.Fatal(err)
		}
		return partlog.StoredRecord{Record: partlog.Record{Key: batch.ResultKey("j", 0), Value: value}}
	}
	key := itemKey{"j", 0}
	for _, c := range []struct {
		name  string
		runs  bool
		saved partlog.StoredRecord
		text  string
		last  int64
	}{
		{"ahead", false, record(3, "a\nb\nc\nd"), "a\nb\nc\nd", 3},
		{"ahead of a run in flight", true, record(3, "a\nb\nc\nd"), "x\nx", 1},
		{"as far", false, record(1, "a\nb"), "x\nx", 1},
		{"behind", false, record(0, "a"), "x\nx", 1},
		{"of an ended item", false, partlog.StoredRecord{Record: partlog.Record{Key: batch.ResultKey("j", 0)}}, "x\nx", 1},
	} {
		p := newProgress()
		addEvent(p, 0)
		addEvent(p, 1)
		r := &runner{jobs: &Jobs{store: batch.NewStore()}, active: map[itemKey]*itemRun{}, progress: map[itemKey]*progress{key: p}}
		if c.runs {
			r.active[key] = &itemRun{}
		}
		(&progressReader{runner: r}).restoreOne(c.saved)
		if got := r.progress[key]; got.text() != c.text || got.lastEvent != c.last {
			t.Errorf("%s: last event %d, text %q", c.name, got.lastEvent, got.text())
		}
	}
}
