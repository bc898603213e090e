package engine

import (
	"time"

	"tarragonhollow.example/tarragonhollow/target"
)

// event is what a stream's handler writes next: a token or the finish.
type event struct {
	token  target.Token
	finish *target.Finish
}

// sequence is a request in the queue or in the batch. Server.mu guards all fields but
// events.
type sequence struct {
	req    target.GenerateRequest
	record *Record
	// answer is the complete answer, next the index of the next token to emit, and
	// sent the number of tokens emitted.
	answer []string
	next   int
	sent   int
	// prompt and cached are numbers of tokens. prefill is the number of prompt tokens
	// still to be processed, chunk the number processed in the current step.
	prompt  int
	cached  int
	prefill int
	chunk   int
	crashes bool
	// cancelled makes the next step remove the sequence.
	cancelled bool
	// events is buffered for everything that the sequence can emit, so that a slow
	// reader never blocks the batch.
	events chan event
}

func newSequence(req target.GenerateRequest, record *Record) *sequence {
	q := &sequence{req: req, record: record}
	q.answer = ExpectedTokens(req.Model, req.Messages, req.MaxTokens)
	q.next = min(len(req.ResumeTokens), len(q.answer))
	q.events = make(chan event, len(q.answer)-q.next+1)
	return q
}

// hashes returns the block hashes of the prompt and the answer so far, including resumed
// tokens.
func (q *sequence) hashes() []string {
	return target.BlockHashes(target.PromptBytes(q.req.Messages, q.answer[:q.next]))
}

// admit looks the prompt up in the cache and sets how much of it has to be prefilled.
func (q *sequence) admit(cache *prefixCache) {
	b := target.PromptBytes(q.req.Messages, q.req.ResumeTokens)
	q.prompt = (len(b) + target.TokenBytes - 1) / target.TokenBytes
	q.cached = cache.match(target.BlockHashes(b)) * target.BlockTokens
	// The last token is always computed: its output is the first new token.
	q.cached = min(q.cached, q.prompt-1)
	q.prefill = q.prompt - q.cached
}

// step advances the sequence by one step of the batch and reports whether it ended.
func (q *sequence) step(now time.Time) bool {
	q.prefill -= q.chunk
	if q.prefill > 0 {
		return false
	}
	if q.next < len(q.answer) {
		q.events <- event{token: target.Token{Index: q.next, Text: q.answer[q.next]}}
		q.next++
		q.sent++
		q.record.addToken(now)
	}
	return q.next == len(q.answer)
}

// end emits the finish event.
func (q *sequence) end(reason string) {
	q.events <- event{finish: &target.Finish{Reason: reason, Usage: target.Usage{
		PromptTokens: q.prompt, CachedTokens: q.cached, CompletionTokens: q.sent,
	}}}
}
