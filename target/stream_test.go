package target

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestPlainTokenAgreesWithJSON compares the fast parser with encoding/json.
func TestPlainTokenAgreesWithJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		token := Token{Index: rapid.IntRange(0, 2_000_000_000).Draw(t, "index")}
		token.Text = rapid.OneOf(rapid.String(), rapid.StringMatching(`[ a-z"\\{}:,]*`)).Draw(t, "text")
		data, _ := json.Marshal(token)
		var want Token
		_ = json.Unmarshal(data, &want)
		got, finish, err := parseData(data)
		if err != nil || finish != nil || got != want {
			t.Fatalf("%s: got %+v %v %v, want %+v", data, got, finish, err, want)
		}
	})
}

// TestAllocationsPerToken checks that a token costs one allocation: its text.
func TestAllocationsPerToken(t *testing.T) {
	const tokens = 1000
	var b bytes.Buffer
	for i := range tokens {
		fmt.Fprintf(&b, "data: {\"index\":%d,\"text\":\" word\"}\n\n", i)
	}
	b.WriteString("data: {\"finish\":{\"reason\":\"stop\"}}\n\n")
	body := bytes.NewReader(b.Bytes())
	sink := func(Token) error { return nil }
	perStream := testing.AllocsPerRun(20, func() {
		body.Reset(b.Bytes())
		if _, err := readStream(context.Background(), "a", body, 0, sink); err != nil {
			t.Fatal(err)
		}
	})
	t.Logf("%.3f allocations per token", perStream/tokens)
	if perStream/tokens > 1.1 {
		t.Fatalf("%.3f allocations per token", perStream/tokens)
	}
}

// TestPrefixHashesShareWhatPromptsShare checks the hashes against a comparison of the
// prompts' bytes.
func TestPrefixHashesShareWhatPromptsShare(t *testing.T) {
	message := rapid.Custom(func(t *rapid.T) Message {
		return Message{Role: "user", Content: rapid.StringMatching(`[ab]{0,200}`).Draw(t, "content")}
	})
	rapid.Check(t, func(t *rapid.T) {
		common := rapid.SliceOfN(message, 0, 3).Draw(t, "common")
		a := append(append([]Message{}, common...), rapid.SliceOfN(message, 0, 3).Draw(t, "a")...)
		b := append(append([]Message{}, common...), rapid.SliceOfN(message, 0, 3).Draw(t, "b")...)
		ha, hb := PrefixHashes(a), PrefixHashes(b)
		for i := range min(len(ha), len(hb)) {
			end := (i + 1) * blockBytes
			same := bytes.Equal(PromptBytes(a, nil)[:end], PromptBytes(b, nil)[:end])
			if same != (ha[i] == hb[i]) {
				t.Fatalf("block %d: same bytes %v, same hash %v", i, same, ha[i] == hb[i])
			}
		}
	})
}
