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
	cfg, err := s.settled()
	if err != nil {
		return err
	}
	call, err := s.onlineCall(c, cfg)
	if err != nil {
		return err
	}
	leave, err := s.enter(call.Caller, cfg.Limits)
	if err != nil {
		return err
	}
	defer leave()
	body, release, err := s.readBody(c, orDefault(cfg.Limits.BodyBytes, defaultBodyBytes), call.Deadline)
	defer release()
	if err != nil {
		return err
	}
	done, err := s.run(cfg.Limits)
	if err != nil {
		return err
	}
	defer done()
	req, stream, err := ParseChat(body)
	if err != nil {
		return err
	}
	call.Fingerprint = fingerprint(http.MethodPost, c.Request().URL.Path, body)
	ctx, cancel := context.WithDeadline(c.Request().Context(), call.Deadline)
	defer cancel()
	chat := ChatCall{Call: call, Stream: stream, Request: req}
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
		return "chatcmpl-" + shortHash(call.Key)
	}
	return "chatcmpl-" + call.RequestID
}

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
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
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
		},
	})
	if err != nil {
		// Strings and numbers always encode.
		panic(err)
	}
	return body
}
