package chat_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"tarragonhollow.example/tarragonhollow/chat"
	"tarragonhollow.example/tarragonhollow/target"
)

// TestAnswerReadsBack checks that a stored response decodes to the same value. Otherwise
// a request that is sent again would get a different text.
func TestAnswerReadsBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 1000)
		usage := target.Usage{PromptTokens: n.Draw(t, "prompt"), CachedTokens: n.Draw(t, "cached"), CompletionTokens: n.Draw(t, "completion")}
		want := chat.Answer{Text: rapid.String().Draw(t, "text"), Finish: target.Finish{Reason: "stop", Usage: usage}}
		got, err := chat.DecodeAnswer(chat.EncodeAnswer("id", "model", time.Unix(0, 0), want))
		if err != nil || got != want {
			t.Fatalf("%+v, %v, want %+v", got, err, want)
		}
	})
}
