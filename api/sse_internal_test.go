package api

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"

	"tarragonhollow.example/tarragonhollow/core/outcome"
)

// A token's text must reach the caller as it is, whatever bytes the engine sent.
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

// The hashes of uploads share one bound, and a bound reached is told, not hidden.
func TestIDSetReservesItsMemory(t *testing.T) {
	memory := newBodyMemory(callerShare * idStep * idBytes)
	ids := newIDSet(memory.claim("office"))
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
	if used := memory.total(); used != 0 || len(memory.callers) != 0 {
		t.Fatalf("%d bytes of %d callers are still reserved", used, len(memory.callers))
	}
}

// Four callers with slow, large bodies would leave nothing for a fifth: a quarter
// stays for small ones, and no caller takes more than its half.
func TestBodyMemoryKeepsRoomForOthers(t *testing.T) {
	const most = 32 * smallClaim
	memory := newBodyMemory(most)
	for _, caller := range []string{"a", "b", "c", "d"} {
		for memory.claim(caller).grow(2*smallClaim) == nil {
		}
		if memory.callers[caller] > most/callerShare {
			t.Fatalf("caller %s holds %d bytes of %d", caller, memory.callers[caller], most)
		}
	}
	if memory.used != most-most/smallReserve {
		t.Fatalf("large claims hold %d bytes of %d", memory.used, most)
	}
	if refusal := memory.claim("a").grow(1); refusal == nil || refusal.Code != outcome.CallerLimit {
		t.Fatalf("a caller at its share got %v", refusal)
	}
	small := memory.claim("guest")
	if refusal := small.grow(smallClaim); refusal != nil {
		t.Fatalf("a small claim got %v", refusal)
	}
	if refusal := small.grow(1); refusal == nil || refusal.Code != outcome.Overloaded {
		t.Fatalf("a claim that grew large got %v", refusal)
	}
}
