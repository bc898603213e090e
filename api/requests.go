package api

import (
	"encoding/json"
	"mime"
	"net/http"
	"net/url"
	"strings"

	"github.com/labstack/echo/v4"

	"tarragonhollow.example/tarragonhollow/core/ledger"
	"tarragonhollow.example/tarragonhollow/core/outcome"
)

// requestView is the response of GET /v1/requests/{key}.
type requestView struct {
	Key      string              `json:"key"`
	State    ledger.RequestState `json:"state"`
	Response *answerView         `json:"response,omitempty"`
	Error    *errorFields        `json:"error,omitempty"`
}

// answerView is a stored answer. The body is embedded if it is JSON, else a string.
type answerView struct {
	Status      int             `json:"status"`
	ContentType string          `json:"content_type,omitempty"`
	Body        json.RawMessage `json:"body"`
}

// request serves GET /v1/requests/{key}.
func (s *Server) request(c echo.Context) error {
	caller, err := s.identify(c)
	if err != nil {
		return err
	}
	key, err := pathTail(c, "/v1/requests/", maxKeyBytes)
	if err != nil {
		return err
	}
	stateOf(c).key = scoped(caller, key)
	kept, err := s.opts.Backend.Request(c.Request().Context(), scoped(caller, key))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, requestView{
		Key: key, State: kept.State, Response: viewAnswer(kept.Answer), Error: viewRefusal(kept.Refusal),
	})
}

// pathTail returns the decoded rest of the path after prefix. It uses the escaped path,
// because an escaped slash is a part of the name.
func pathTail(c echo.Context, prefix string, maxBytes int) (string, error) {
	tail := strings.TrimPrefix(c.Request().URL.EscapedPath(), prefix)
	name, err := url.PathUnescape(tail)
	if err != nil || name == "" {
		return "", outcome.Refuse(outcome.BadRequest, "the path's last part is empty or badly escaped")
	}
	if len(name) > maxBytes {
		return "", outcome.Refuse(outcome.BadRequest, "the path's last part has %d bytes, at most %d are allowed", len(name), maxBytes)
	}
	return name, nil
}

// viewAnswer returns the response fields of a stored answer, nil for nil.
func viewAnswer(a *ledger.Answer) *answerView {
	if a == nil {
		return nil
	}
	return &answerView{Status: a.Status, ContentType: a.ContentType, Body: jsonBody(a)}
}

// jsonBody returns the body as one JSON value.
func jsonBody(a *ledger.Answer) json.RawMessage {
	media, _, err := mime.ParseMediaType(a.ContentType)
	isJSON := err == nil && (media == echo.MIMEApplicationJSON || strings.HasSuffix(media, "+json"))
	if isJSON && json.Valid(a.Body) {
		return a.Body
	}
	return appendJSONString(nil, string(a.Body))
}

// viewRefusal returns the response fields of a stored refusal, nil for nil.
func viewRefusal(r *outcome.Refusal) *errorFields {
	if r == nil {
		return nil
	}
	fields := fieldsOf(r)
	return &fields
}
