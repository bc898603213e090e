package bodymemory

import (
	"errors"
	"io"
	"strings"
	"testing"

	"tarragonhollow.example/tarragonhollow/core/outcome"
)

// Without limits, four callers with slow, large bodies would leave no memory for a fifth.
// A quarter is reserved for small bodies, and no caller gets more than half.
func TestBodyMemoryKeepsRoomForOthers(t *testing.T) {
	const limit = 32 * SmallClaimBytes
	memory := New(limit)
	for _, caller := range []string{"a", "b", "c", "d"} {
		for memory.Claim(caller).Grow(2*SmallClaimBytes) == nil {
		}
		if memory.callers[caller] > limit/CallerShare {
			t.Fatalf("caller %s holds %d bytes of %d", caller, memory.callers[caller], limit)
		}
	}
	if memory.used != limit-limit/smallReserve {
		t.Fatalf("large claims hold %d bytes of %d", memory.used, limit)
	}
	if refusal := memory.Claim("a").Grow(1); refusal == nil || refusal.Code != outcome.CallerLimit {
		t.Fatalf("a caller at its share got %v", refusal)
	}
	small := memory.Claim("guest")
	if refusal := small.Grow(SmallClaimBytes); refusal != nil {
		t.Fatalf("a small claim got %v", refusal)
	}
	if refusal := small.Grow(1); refusal == nil || refusal.Code != outcome.Overloaded {
		t.Fatalf("a claim that grew large got %v", refusal)
	}
}

// Hundreds of callers start bodies of several megabytes at once. A body that a host of
// 144 MB can't hold is refused, and the memory reserved for it is released.
func TestReadAllStopsWhereTheMemoryIsFull(t *testing.T) {
	memory := New(8 * StepBytes)
	claim := memory.Claim("a")
	body, err := claim.ReadAll(strings.NewReader(strings.Repeat("x", StepBytes)), StepBytes)
	if err != nil || len(body) != StepBytes {
		t.Fatalf("%d bytes, %v", len(body), err)
	}
	other := memory.Claim("b")
	_, err = other.ReadAll(strings.NewReader(strings.Repeat("x", 9*StepBytes)), -1)
	var refusal *outcome.Refusal
	if !errors.As(err, &refusal) || refusal.Run != outcome.NotRun || refusal.RetryAfterMs == 0 {
		t.Fatalf("a body beyond the memory got %v", err)
	}
	other.Release()
	claim.Release()
	if memory.Total() != 0 {
		t.Fatalf("%d bytes are still reserved", memory.Total())
	}
	if _, err := memory.Claim("c").ReadAll(io.MultiReader(strings.NewReader("ab"), &broken{}), 10); !errors.Is(err, errBroken) {
		t.Fatalf("a body that broke off gave %v", err)
	}
}

var errBroken = errors.New("broken off")

type broken struct{}

func (*broken) Read([]byte) (int, error) { return 0, errBroken }

// Guards against memory that stays reserved when a claim shrinks, and against a largest claim that
// can't be had.
func TestClaimsAreResized(t *testing.T) {
	memory := New(1 << 20)
	claim := memory.Claim("a")
	for _, n := range []int64{memory.MaxClaim(), 10, 0, 20, 20} {
		if refusal := claim.Resize(n); refusal != nil || claim.Held() != n || memory.Total() != n {
			t.Fatalf("%d bytes: %v, %d held of %d", n, refusal, claim.Held(), memory.Total())
		}
	}
	if refusal := claim.Resize(memory.MaxClaim() + 1); refusal == nil || claim.Held() != 20 {
		t.Fatalf("more than the largest claim: %v, %d held", refusal, claim.Held())
	}
	if claim.Release(); memory.Total() != 0 || memory.Callers() != 0 {
		t.Fatalf("%d bytes of %d callers are still reserved", memory.Total(), memory.Callers())
	}
	if refusal := memory.Claim("b").Resize(0); refusal != nil || memory.Callers() != 0 {
		t.Fatalf("nothing reserved: %v, %d callers", refusal, memory.Callers())
	}
}
