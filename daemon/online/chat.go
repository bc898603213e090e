package online

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"tarragonhollow.example/tarragonhollow/api"
	"tarragonhollow.example/tarragonhollow/chat"
	"tarragonhollow.example/tarragonhollow/core/ledger"
	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/target"
)

const (
	contentJSON = "application/json"
	roleUser    = "user"
)

// Chat runs a chat completion. sink, if not nil, receives every token before Chat
// returns; what it has not received of a replayed answer is passed to it as a single token.
func (o *Online) Chat(ctx context.Context, call api.ChatCall, sink func(target.Token) error) (api.ChatResult, error) {
	began := o.opt.Clock()
	result, refusal := o.chat(ctx, call, sink)
	o.meters.observeEnd(call.Call, o.opt.Clock().Sub(began), refusal)
	if refusal != nil {
		return api.ChatResult{}, refusal
	}
	return result, nil
}

func (o *Online) chat(ctx context.Context, call api.ChatCall, sink func(target.Token) error) (api.ChatResult, *outcome.Refusal) {
	c := o.opt.Config()
	if c == nil || c.Version == 0 {
		return api.ChatResult{}, outcome.Refuse(outcome.NotReady, "no configuration yet")
	}
	groupConfig := c.GroupForModel(call.Request.Model)
	if groupConfig == nil {
		return api.ChatResult{}, outcome.Refuse(outcome.UnknownTarget, "no target group serves model %q", call.Request.Model)
	}
	g := o.groupOf(c, groupConfig)
	if g == nil {
		return api.ChatResult{}, outcome.Refuse(outcome.UnknownTarget, "model %q is not served any more", call.Request.Model)
	}
	ctx, release, refusal := o.admit(ctx, call.Call, c)
	if refusal != nil {
		return api.ChatResult{}, refusal
	}
	defer release()
	s := o.newStream(call, g, sink)
	if call.Key == "" {
		refusal := o.attemptAll(ctx, s.run, s.try)
		return s.result(), refusal
	}
	return o.chatKeyed(ctx, call, s)
}

// chatKeyed runs a chat under its idempotency key.
func (o *Online) chatKeyed(ctx context.Context, call api.ChatCall, s *stream) (api.ChatResult, *outcome.Refusal) {
	answer, replayed, refusal := o.keyed(ctx, s.run, func(ctx context.Context) (*ledger.Answer, *outcome.Refusal) {
		if refusal := o.attemptAll(ctx, s.run, s.try); refusal != nil {
			return nil, refusal
		}
		return o.encodeChat(call, s.result()), nil
	})
	if refusal != nil {
		return api.ChatResult{}, refusal
	}
	result, refusal := decodeChat(answer)
	if refusal != nil {
		return result, refusal
	}
	result.Replayed = replayed
	if replayed && s.sink != nil {
		return s.replay(result)
	}
	return result, nil
}

// encodeChat encodes the answer for the ledger as its caller receives it, so that
// GET /v1/requests/{key} returns the same body as the first answer.
func (o *Online) encodeChat(call api.ChatCall, r api.ChatResult) *ledger.Answer {
	body := chat.EncodeAnswer(api.CompletionID(call.Call), call.Request.Model, o.opt.Clock(), r.Answer())
	return &ledger.Answer{Status: http.StatusOK, ContentType: contentJSON, Body: body}
}

func decodeChat(a *ledger.Answer) (api.ChatResult, *outcome.Refusal) {
	decoded, err := chat.DecodeAnswer(a.Body)
	if err != nil {
		return api.ChatResult{}, outcome.Refuse(outcome.Conflict, "the key's kept answer is not a chat's").
			WithRun(outcome.Ran)
	}
	return api.ChatResult{Text: decoded.Text, Finish: decoded.Finish}, nil
}

// stream collects one chat's tokens over all attempts.
type stream struct {
	online  *Online
	run     *run
	request target.GenerateRequest
	id      string
	sink    func(target.Token) error
	// texts holds the tokens delivered so far, in order and without gaps; the next
	// attempt resumes after them.
	texts  []string
	finish target.Finish
	// complete reports whether a target ended the answer; finish is set then.
	complete bool
	lastAt   time.Time
}

func (o *Online) newStream(call api.ChatCall, g *group, sink func(target.Token) error) *stream {
	r := o.newRun(call.Call, g)
	r.pick.Prefixes = target.PrefixHashes(call.Request.Messages)
	r.pick.Affinity = conversationKey(call.Request.Messages)
	r.tokens = promptTokens(call.Request.Messages)
	return &stream{
		online: o, run: r, request: call.Request, id: uuid.NewString(), sink: sink,
		texts: call.Request.ResumeTokens[:len(call.Request.ResumeTokens):len(call.Request.ResumeTokens)],
	}
}

// conversationKey identifies a conversation by a hash of all messages up to and
// including the caller's first one. It is the same in every later turn and differs
// between conversations that share a system prompt.
func conversationKey(messages []target.Message) string {
	d := xxhash.New()
	for _, m := range messages {
		_, _ = d.WriteString(m.Role + "\x00" + m.Content + "\x01")
		if m.Role == roleUser {
			break
		}
	}
	return strconv.FormatUint(d.Sum64(), 16)
}

func promptTokens(messages []target.Message) int {
	n := 0
	for _, m := range messages {
		n += len(m.Content)
	}
	return n / target.TokenBytes
}

func (s *stream) result() api.ChatResult {
	finish := s.finish
	finish.Usage.CompletionTokens = len(s.texts)
	return api.ChatResult{Text: strings.Join(s.texts, ""), Finish: finish}
}

// replay completes the caller's stream with the answer of another run of the key. Tokens
// of this run that the caller already has must be the beginning of that answer, since a
// stream never mixes two answers. A complete answer of this run remains the stream's.
func (s *stream) replay(kept api.ChatResult) (api.ChatResult, *outcome.Refusal) {
	if s.complete {
		return s.result(), nil
	}
	rest, same := strings.CutPrefix(kept.Text, strings.Join(s.texts, ""))
	if !same {
		return kept, outcome.Refuse(outcome.TargetFailed, "the stream broke off, and the key's answer is that of another run").
			WithRun(outcome.Ran)
	}
	if rest == "" {
		return kept, nil
	}
	if err := s.sink(target.Token{Index: len(s.texts), Text: rest}); err != nil {
		return kept, outcome.Refuse(outcome.Cancelled, "the caller left").WithRun(outcome.Ran)
	}
	return kept, nil
}

// try generates at one target, resuming after the tokens already delivered.
func (s *stream) try(ctx context.Context, address string, last bool) error {
	attempt, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := s.online.watchStall(s.run, address, last, cancel)
	defer watch.stop()
	request := s.request
	request.StreamID = s.id + "." + strconv.Itoa(s.run.attempts)
	request.ResumeTokens = append([]string(nil), s.texts...)
	if s.run.attempts > 1 && len(s.texts) > 0 {
		s.online.meters.resumes.Inc()
	}
	finish, err := s.online.opt.Engine.Generate(targetContext(attempt, s.run.call), address, request, func(t target.Token) error {
		watch.progressed()
		s.run.markAnswered(address)
		return s.accept(t)
	})
	if err != nil && attempt.Err() != nil {
		s.online.cancels.queue.Offer(abandonedStream{address, request.StreamID})
	}
	if err != nil {
		return stallError(attempt, ctx, err)
	}
	s.finish, s.complete = finish, true
	return nil
}

// accept delivers each token exactly once. A target may repeat tokens that it was told
// to resume after, or leave a gap; neither may corrupt the caller's text. Repeated
// tokens are dropped, and a gap ends the attempt.
func (s *stream) accept(t target.Token) error {
	if t.Index < len(s.texts) {
		return nil
	}
	if t.Index > len(s.texts) {
		return &target.Failure{Reached: true, Detail: "target left a gap in the stream"}
	}
	s.observeToken()
	s.texts = append(s.texts, t.Text)
	if s.sink == nil {
		return nil
	}
	if err := s.sink(t); err != nil {
		if s.continuesDetached() {
			s.sink = nil
			return nil
		}
		return errSink
	}
	return nil
}

// continuesDetached reports whether the request continues after its caller has
// disconnected: a non-repeatable request that was stopped midway would have an unknown
// outcome.
func (s *stream) continuesDetached() bool { return !s.run.call.Profile.Repeatable }

func (s *stream) observeToken() {
	now := s.online.opt.Clock()
	m := s.online.meters.profile(s.run.call.Profile.Name)
	if s.lastAt.IsZero() {
		m.firstToken.Update(now.Sub(s.run.started).Seconds())
	} else {
		m.betweenTokens.Update(now.Sub(s.lastAt).Seconds())
	}
	s.lastAt = now
}

func targetContext(ctx context.Context, call api.Call) context.Context {
	ctx = target.WithUrgency(ctx, target.UrgencyOnline)
	if call.Key == "" {
		return ctx
	}
	return target.WithKey(ctx, targetKey(call))
}
