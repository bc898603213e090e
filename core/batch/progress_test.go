package batch_test

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"tarragonhollow.example/tarragonhollow/core/batch"
)

// Progress of an item of any length, checked at any interval, is saved often enough that a
// lost host costs at most a fifth of the item or a few events, and the saved events add up
// to at most five times the item.
func TestProgressIsSavedOftenInFewBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		events, saved, written := int64(0), int64(0), int64(0)
		for range rapid.IntRange(1, 100).Draw(t, "checks") {
			events += rapid.Int64Range(0, 40).Draw(t, "more")
			if batch.ShouldSave(events, saved, 0) {
				saved = events
				written += events
			}
			if lost := events - saved; lost >= 8 && lost > events/5 {
				t.Fatalf("%d of %d events are not saved", lost, events)
			}
		}
		if written > 5*events {
			t.Fatalf("%d events written of %d", written, events)
		}
	})
}

func TestProgressRecords(t *testing.T) {
	failed := batch.Progress{Item: 3, LastEvent: -1, Failures: 2}
	value, err := batch.Encode(failed)
	if err != nil {
		t.Fatal(err)
	}
	if _, got, ok, err := batch.DecodeProgress(batch.ResultKey("j", 3), value); err != nil || !ok || got != failed {
		t.Fatalf("%+v %v %v", got, ok, err)
	}
	p := batch.Progress{Item: 3, ID: "x", LastEvent: 7, Output: "a\nb", Failures: 1}
	value, err = batch.Encode(p)
	if err != nil {
		t.Fatal(err)
	}
	job, got, ok, err := batch.DecodeProgress(batch.ResultKey("j", 3), value)
	if err != nil || !ok || job != "j" || got != p {
		t.Fatalf("%s %+v %v %v", job, got, ok, err)
	}
	if _, _, ok, err := batch.DecodeProgress(batch.ResultKey("j", 3), nil); ok || err != nil {
		t.Fatalf("an end: %v %v", ok, err)
	}
	for key, value := range map[string][]byte{batch.ResultKey("j", 4): value, "j": value, batch.ResultKey("j", 3): {0xff}} {
		if _, _, ok, err := batch.DecodeProgress(key, value); ok || err == nil {
			t.Fatalf("%q was accepted", key)
		}
	}
}

// The records of progress that the build before wrote, and what it reads of newer ones.
func TestProgressRecordsOfThePreviousBuild(t *testing.T) {
	type previous struct {
		Item      int
		ID        string
		LastEvent int64
		Output    string
	}
	old := previous{Item: 3, ID: "x", LastEvent: 7, Output: "a\nb"}
	value, err := batch.Encode(old)
	if err != nil {
		t.Fatal(err)
	}
	want := batch.Progress{Item: 3, ID: "x", LastEvent: 7, Output: "a\nb"}
	if _, got, ok, err := batch.DecodeProgress(batch.ResultKey("j", 3), value); err != nil || !ok || got != want {
		t.Fatalf("%+v %v %v", got, ok, err)
	}
	want.Failures = 2
	value, err = batch.Encode(want)
	if err != nil {
		t.Fatal(err)
	}
	var got previous
	if err := msgpack.Unmarshal(value, &got); err != nil || got != old {
		t.Fatalf("%+v %v", got, err)
	}
}

// A holder of the previous build resumes an item at any version and saves it again. Its record
// must not keep the version that this build wrote.
func TestProgressRecordsThatThePreviousBuildRewrote(t *testing.T) {
	type previous struct {
		Item      int
		ID        string
		LastEvent int64
		Output    string
		Failures  int
	}
	value, err := batch.Encode(batch.Progress{Item: 3, LastEvent: 1, Output: "a\nb", Failures: 1, Version: "v1"})
	if err != nil {
		t.Fatal(err)
	}
	var old previous
	if err := msgpack.Unmarshal(value, &old); err != nil || old != (previous{Item: 3, LastEvent: 1, Output: "a\nb", Failures: 1}) {
		t.Fatalf("%+v %v", old, err)
	}
	old.LastEvent, old.Output = 2, "a\nb\nc"
	if value, err = batch.Encode(old); err != nil {
		t.Fatal(err)
	}
	_, got, ok, err := batch.DecodeProgress(batch.ResultKey("j", 3), value)
	if err != nil || !ok || got != (batch.Progress{Item: 3, LastEvent: 2, Output: "a\nb\nc", Failures: 1}) {
		t.Fatalf("%+v %v %v", got, ok, err)
	}
}
