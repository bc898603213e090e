package engine

import (
	"time"

	"tarragonhollow.example/tarragonhollow/target"
)

// event is one thing that a stream's handler writes: a token, or the finish.
type event struct {
	token  target.Token
	finish *target.Finish
}

// sequence is a request in the queue or in the batch. The server's lock guards
// all but events.
type sequence struct {
	req    target.GenerateRequest
	record *Record
	// answer is the whole answer, next the index of the token to come.
	answer []string
	next   int
	sent   int
	// prompt and cached count tokens; prefill those still to be taken in, and
	// chunk those taken in by the step under way.
	prompt  int
	cached  int
	prefill int
	chunk   int
	crashes bool
	// cancelled takes the sequence out at the next step.
	cancelled bool
	// events has room for everything the sequence can ever emit: a slow reader
	// never holds up the batch.
	events chan event
}

func newSequence(req target.GenerateRequest, record *Record) *sequence {
	q := &sequence{req: req, record: record}
	q.answer = ExpectedTokens(req.Model, req.Messages, req.MaxTokens)
	q.next = min(len(req.ResumeTokens), len(q.answer))
	q.events = make(chan event, len(q.answer)-q.next+1)
	return q
}

// hashes returns the prefixes of all that was taken in or generated so far.
func (q *sequence) hashes() []string {
	return target.BlockHashes(target.PromptBytes(q.req.Messages, q.answer[:q.next]))
}

// admit sets how much of the prompt has to be prefilled.
func (q *sequence) admit(cache *prefixCache) {
	b := target.PromptBytes(q.req.Messages, q.req.ResumeTokens)
	q.prompt = (len(b) + target.TokenBytes - 1) / target.TokenBytes
	q.cached = cache.match(target.BlockHashes(b)) * target.BlockTokens
	// The last token is always computed: its output is the first new token.
	q.cached = min(q.cached, q.prompt-1)
	q.prefill = q.prompt - q.cached
}

// step advances by one step of the batch and tells whether the sequence ended.
func (q *sequence) step(now time.Time) bool {
	q.prefill -= q.chunk
	if q.prefill > 0 {
		return false
	}
	if q.next < len(q.answer) {
		q.events <- event{token: target.Token{Index: q.next, Text: q.answer[q.next]}}
		q.next++
		q.sent++
		q.record.token(now)
	}
	return q.next == len(q.answer)
}

// end emits the finish.
func (q *sequence) end(reason string) {
	q.events <- event{finish: &target.Finish{Reason: reason, Usage: target.Usage{
		PromptTokens: q.prompt, CachedTokens: q.cached, CompletionTokens: q.sent,
	}}}
}
