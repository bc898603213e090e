// Package chat decodes and encodes chat completions in the OpenAI format: the requests
// of callers and job lines, and the complete response as it is stored.
package chat

import (
	"encoding/json"
	"strings"

	"github.com/joomcode/errorx"

	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/target"
)

var errorNamespace = errorx.NewNamespace("chat")

// requestFields are the fields of the body that the daemon interprets.
type requestFields struct {
	Model     string
	Messages  []message
	MaxTokens *int
	// MaxCompletionTokens is the newer name of MaxTokens.
	MaxCompletionTokens *int
	Stream              *bool
}

// field is a field's name and the pointer that its value is decoded into.
type field struct {
	name  string
	value any
}

// known returns the fields that the daemon interprets; all others are forwarded unchanged.
func (f *requestFields) known() []field {
	return []field{
		{"model", &f.Model}, {"messages", &f.Messages}, {"stream", &f.Stream},
		{"max_tokens", &f.MaxTokens}, {"max_completion_tokens", &f.MaxCompletionTokens},
	}
}

// message is a message whose content is a string or an array of text parts.
type message struct {
	Role    string  `json:"role"`
	Content content `json:"content"`
}

// errContent is the type of errors about a message's content.
var errContent = errorNamespace.NewType("content")

// content is the text of a message.
type content string

// part is one part of a content array.
type part struct {
	Type string  `json:"type"`
	Text *string `json:"text"`
}

// UnmarshalJSON implements json.Unmarshaler.
func (t *content) UnmarshalJSON(raw []byte) error {
	if len(raw) > 0 && raw[0] != '[' {
		var s *string
		if err := json.Unmarshal(raw, &s); err != nil || s == nil {
			return errContent.New("content must be a string or an array of text parts")
		}
		*t = content(*s)
		return nil
	}
	var parts []part
	if err := json.Unmarshal(raw, &parts); err != nil {
		return err
	}
	var text strings.Builder
	for _, p := range parts {
		if p.Type != "text" || p.Text == nil {
			return errContent.New("a content part of type %q: only text parts are supported", p.Type)
		}
		text.WriteString(*p.Text)
	}
	*t = content(text.String())
	return nil
}

// ParseRequest reads the body of a chat completion. The error is a *outcome.Refusal.
//
// Names of fields are case-sensitive. Failure guarded against: encoding/json matches
// names case-insensitively and would take "Stream" for "stream", so that a field which
// the daemon does not know would change the form of the response and also be forwarded.
func ParseRequest(body []byte) (req target.GenerateRequest, stream bool, err error) {
	extra := make(map[string]json.RawMessage)
	if err := json.Unmarshal(body, &extra); err != nil {
		return req, false, outcome.Refuse(outcome.BadRequest, "the body is not a JSON object: %v", err)
	}
	var f requestFields
	for _, field := range f.known() {
		raw, present := extra[field.name]
		delete(extra, field.name)
		if !present {
			continue
		}
		if err := json.Unmarshal(raw, field.value); err != nil {
			return req, false, outcome.Refuse(outcome.BadRequest, "%s: %v", field.name, err)
		}
	}
	if err := f.check(); err != nil {
		return req, false, err
	}
	req = target.GenerateRequest{Model: f.Model, MaxTokens: f.maxTokens(), Messages: f.messages()}
	if len(extra) > 0 {
		req.Extra = extra
	}
	return req, f.Stream != nil && *f.Stream, nil
}

// check refuses a request that no engine could answer.
func (f *requestFields) check() error {
	if f.Model == "" {
		return outcome.Refuse(outcome.BadRequest, "model is missing")
	}
	if len(f.Messages) == 0 {
		return outcome.Refuse(outcome.BadRequest, "messages is empty")
	}
	for i, m := range f.Messages {
		if m.Role == "" {
			return outcome.Refuse(outcome.BadRequest, "messages[%d].role is missing", i)
		}
	}
	if f.maxTokens() < 0 {
		return outcome.Refuse(outcome.BadRequest, "max_tokens is negative")
	}
	return nil
}

// maxTokens returns the requested maximum of tokens, 0 if there is none.
func (f *requestFields) maxTokens() int {
	if f.MaxTokens != nil {
		return *f.MaxTokens
	}
	if f.MaxCompletionTokens != nil {
		return *f.MaxCompletionTokens
	}
	return 0
}

// messages returns the prompt in the form that targets accept.
func (f *requestFields) messages() []target.Message {
	out := make([]target.Message, len(f.Messages))
	for i, m := range f.Messages {
		out[i] = target.Message{Role: m.Role, Content: string(m.Content)}
	}
	return out
}
