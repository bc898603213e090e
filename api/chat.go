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
	in, err := s.admit(c)
	defer in.release()
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
	call := ChatCall{Call: in.call, Stream: stream, Request: req}
	stateOf(c).backendCalled = true
	if stream {
		return s.streamChat(ctx, c, call)
	}
	return s.jsonChat(ctx, c, call)
}

// jsonChat answers with one JSON object.
func (s *Server) jsonChat(ctx context.Context, c echo.Context, call ChatCall) error {
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

// streamChat answers with server-sent events. Before the first token a refusal is a
// plain response with its status. After it an error event ends the stream without
// [DONE].
func (s *Server) streamChat(ctx context.Context, c echo.Context, call ChatCall) error {
	w := newEventWriter(c.Response(), CompletionID(call.Call), call.Request.Model, stateOf(c).began)
	result, err := s.opts.Backend.Chat(ctx, call, func(t target.Token) error { return w.token(t.Text) })
	if err == nil && !w.begun && result.Text != "" {
		// A stored answer may have no separate tokens: it is sent as one chunk.
		err = w.token(result.Text)
	}
	if err != nil {
		return s.endStream(c, w, err)
	}
	return w.finish(result.Finish)
}

// endStream ends a stream that has begun with an error event. If the stream has not
// begun or the event can't be written, it returns err.
func (s *Server) endStream(c echo.Context, w *eventWriter, err error) error {
	if !w.begun {
		return err
	}
	st := stateOf(c)
	refusal := refusalOf(err, st.backendCalled)
	st.recordRefusal(refusal)
	if failed := w.fail(errorBody{Error: fieldsOf(refusal)}); failed != nil {
		s.metrics.writeErrors.Inc()
		return err
	}
	return nil
}

// CompletionID returns the id of a completion. The same key gives the same id, so that
// a stored answer is identical each time it is returned.
func CompletionID(call Call) string {
	if call.Key != "" {
		return "chatcmpl-" + shortHash(scoped(call.Caller, call.Key))
	}
	return "chatcmpl-" + call.RequestID
}
