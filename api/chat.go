package api

import (
	"context"
	"net/http"

	"github.com/labstack/echo/v4"

	"tarragonhollow.example/tarragonhollow/chat"
	"tarragonhollow.example/tarragonhollow/target"
)

// chat serves POST /v1/chat/completions.
func (s *Server) chat(c echo.Context) error {
	in, err := s.arrive(c)
	defer in.end()
	if err != nil {
		return err
	}
	req, stream, err := chat.ParseRequest(in.body)
	if err != nil {
		return err
	}
	in.call.Fingerprint = fingerprint(http.MethodPost, c.Request().URL.Path, in.body)
	ctx, cancel := context.WithDeadline(c.Request().Context(), in.call.Deadline)
	defer cancel()
	whole := ChatCall{Call: in.call, Stream: stream, Request: req}
	stateOf(c).called = true
	if stream {
		return s.streamChat(ctx, c, whole)
	}
	return s.wholeChat(ctx, c, whole)
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
	body := chat.EncodeAnswer(CompletionID(call.Call), call.Request.Model, stateOf(c).began, result.Answer())
	return c.JSONBlob(http.StatusOK, body)
}

// streamChat answers with server-sent events. Until the first token a refusal
// is a plain answer with its status; after it, an error event ends the stream
// without [DONE].
func (s *Server) streamChat(ctx context.Context, c echo.Context, call ChatCall) error {
	w := newEventWriter(c.Response(), CompletionID(call.Call), call.Request.Model, stateOf(c).began)
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
	st.refused(refusal)
	if failed := w.fail(errorBody{Error: fieldsOf(refusal)}); failed != nil {
		s.metrics.writeErrors.Inc()
	}
	return nil
}

// CompletionID names a completion: the same key gives the same id, so that a
// kept answer reads the same each time.
func CompletionID(call Call) string {
	if call.Key != "" {
		return "chatcmpl-" + shortHash(scoped(call.Caller, call.Key))
	}
	return "chatcmpl-" + call.RequestID
}
