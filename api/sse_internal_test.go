package api

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"

	"tarragonhollow.example/tarragonhollow/bodymemory"
)

// A token's text must reach the caller unchanged, whatever bytes the engine sent.
func TestJSONStringIsThatOfEncodingJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := string(rapid.SliceOf(rapid.Byte()).Draw(t, "bytes")) + rapid.String().Draw(t, "text")
		want, err := json.Marshal(text)
		if err != nil {
			t.Fatal(err)
		}
		var got, expected string
		if err := json.Unmarshal(appendJSONString(nil, text), &got); err != nil {
			t.Fatal(err)
		}
		if err := json.Unmarshal(want, &expected); err != nil || got != expected {
			t.Fatalf("%q became %q, want %q", text, got, expected)
		}
	})
}

// The hashes of all uploads share one memory limit, and exceeding it must be reported.
func TestIDSetReservesItsMemory(t *testing.T) {
	memory := bodymemory.New(bodymemory.CallerShare * idStep * idBytes)
	ids := newIDSet(memory.Claim("office"))
	for i := range idStep {
		if isNew, err := ids.add(string(rune('a' + i))); err != nil || !isNew {
			t.Fatalf("id %d: %t, %v", i, isNew, err)
		}
	}
	if _, err := ids.add("one more"); err == nil {
		t.Fatal("the bound was passed")
	}
	if isNew, err := ids.add("a"); err != nil || isNew {
		t.Fatalf("a duplicate was missed: %t, %v", isNew, err)
	}
	ids.release()
	if used, callers := memory.Total(), memory.Callers(); used != 0 || callers != 0 {
		t.Fatalf("%d bytes of %d callers are still reserved", used, callers)
	}
}
