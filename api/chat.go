package api

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"tarragonhollow.example/tarragonhollow/target"
)

// chat serves POST /v1/chat/completions.
func (s *Server) chat(c echo.Context) error {
	in, err := s.arrive(c)
	defer in.end()
	if err != nil {
		return err
	}
	req, stream, err := ParseChat(in.body)
	if err != nil {
		return err
	}
	in.call.Fingerprint = fingerprint(http.MethodPost, c.Request().URL.Path, in.body)
	ctx, cancel := context.WithDeadline(c.Request().Context(), in.call.Deadline)
	defer cancel()
	chat := ChatCall{Call: in.call, Stream: stream, Request: req}
	stateOf(c).called = true
	if stream {
		return s.streamChat(ctx, c, chat)
	}
	return s.wholeChat(ctx, c, chat)
}

// wholeChat answers with one JSON object.
func (s *Server) wholeChat(ctx context.Context, c echo.Context, call ChatCall) error {
	result, err := s.opts.Backend.Chat(ctx, call, nil)
	if err != nil {
		return err
	}
	if result.Replayed {
		c.Response().Header().Set(HeaderReplayed, "true")
	}
	body := ChatBody(completionID(call.Call), call.Request.Model, stateOf(c).began, result)
	return c.JSONBlob(http.StatusOK, body)
}

// streamChat answers with server-sent events. Until the first token a refusal
// is a plain answer with its status; after it, an error event ends the stream
// without [DONE].
func (s *Server) streamChat(ctx context.Context, c echo.Context, call ChatCall) error {
	w := newEventWriter(c.Response(), completionID(call.Call), call.Request.Model, stateOf(c).began)
	result, err := s.opts.Backend.Chat(ctx, call, func(t target.Token) error { return w.token(t.Text) })
	if err == nil && !w.begun && result.Text != "" {
		// A kept answer may come without its tokens: one chunk holds it whole.
		err = w.token(result.Text)
	}
	if err != nil {
		return s.endStream(c, w, err)
	}
	return w.finish(result.Finish)
}

// endStream tells the refusal inside a stream that has begun.
func (s *Server) endStream(c echo.Context, w *eventWriter, err error) error {
	if !w.begun {
		return err
	}
	st := stateOf(c)
	refusal := refusalOf(err, st.called)
	st.code, st.run = refusal.Code, refusal.Run
	if failed := w.fail(errorBody{Error: fieldsOf(refusal)}); failed != nil {
		s.metrics.writeErrors.Inc()
	}
	return nil
}

// completionID names a completion: the same key gives the same id, so that a
// kept answer reads the same each time.
func completionID(call Call) string {
	if call.Key != "" {
		return "chatcmpl-" + shortHash(scoped(call.Caller, call.Key))
	}
	return "chatcmpl-" + call.RequestID
}

// errCompletion is the type of errors of ParseChatBody.
var errCompletion = errorNamespace.NewType("completion")

// completion is the OpenAI shape of a whole answer.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   completionUsage    `json:"usage"`
}

// completionChoice is the only choice of an answer.
type completionChoice struct {
	Index        int            `json:"index"`
	Message      target.Message `json:"message"`
	FinishReason string         `json:"finish_reason"`
}

// completionUsage counts the tokens.
type completionUsage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          promptDetails `json:"prompt_tokens_details"`
}

// promptDetails tells how much of the prompt came from the engine's cache.
type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// ParseChatBody reads back what ChatBody wrote, so that an answer can be kept in
// the very form in which its caller will read it.
func ParseChatBody(body []byte) (ChatResult, error) {
	var c completion
	if err := json.Unmarshal(body, &c); err != nil {
		return ChatResult{}, errCompletion.Wrap(err, "not a chat completion")
	}
	if len(c.Choices) != 1 {
		return ChatResult{}, errCompletion.New("%d choices, want 1", len(c.Choices))
	}
	choice := c.Choices[0]
	return ChatResult{Text: choice.Message.Content, Finish: target.Finish{
		Reason: choice.FinishReason,
		Usage: target.Usage{
			PromptTokens: c.Usage.PromptTokens, CompletionTokens: c.Usage.CompletionTokens,
			CachedTokens: c.Usage.Details.CachedTokens,
		},
	}}, nil
}

// ChatBody encodes a whole answer in the OpenAI shape.
func ChatBody(id, model string, created time.Time, result ChatResult) []byte {
	usage := result.Finish.Usage
	body, err := json.Marshal(completion{
		ID: id, Object: "chat.completion", Created: created.Unix(), Model: model,
		Choices: []completionChoice{{
			Message:      target.Message{Role: "assistant", Content: result.Text},
			FinishReason: result.Finish.Reason,
		}},
		Usage: completionUsage{
			PromptTokens: usage.PromptTokens, CompletionTokens: usage.CompletionTokens,
			TotalTokens: usage.PromptTokens + usage.CompletionTokens,
			Details:     promptDetails{CachedTokens: usage.CachedTokens},
		},
	})
	if err != nil {
		// Strings and numbers always encode.
		panic(err)
	}
	return body
}
