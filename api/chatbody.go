package api

import (
	"bytes"
	"encoding/json"
	"strings"

	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/target"
)

// chatFields are the body's fields that the daemon understands.
type chatFields struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens *int          `json:"max_tokens"`
	// MaxCompletionTokens is the newer name of MaxTokens.
	MaxCompletionTokens *int  `json:"max_completion_tokens"`
	Stream              *bool `json:"stream"`
}

// understood names those fields; all others are passed on untouched.
var understood = []string{"model", "messages", "max_tokens", "max_completion_tokens", "stream"}

// chatMessage is a message whose content is a string or an array of text parts.
type chatMessage struct {
	Role    string      `json:"role"`
	Content chatContent `json:"content"`
}

// errContent is the type of errors of a message's content.
var errContent = errorNamespace.NewType("content")

// chatContent is the text of a message.
type chatContent string

// chatPart is one part of a content array.
type chatPart struct {
	Type string  `json:"type"`
	Text *string `json:"text"`
}

// UnmarshalJSON implements json.Unmarshaler.
func (t *chatContent) UnmarshalJSON(raw []byte) error {
	if len(raw) > 0 && raw[0] != '[' {
		var s *string
		if err := json.Unmarshal(raw, &s); err != nil || s == nil {
			return errContent.New("content must be a string or an array of text parts")
		}
		*t = chatContent(*s)
		return nil
	}
	var parts []chatPart
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
	*t = chatContent(text.String())
	return nil
}

// ParseChat reads the body of a chat completion. The error is a *outcome.Refusal.
func ParseChat(body []byte) (req target.GenerateRequest, stream bool, err error) {
	var f chatFields
	if err := json.Unmarshal(body, &f); err != nil {
		return req, false, outcome.Refuse(outcome.BadRequest, "the body is not a chat completion: %v", err)
	}
	if !bytes.HasPrefix(bytes.TrimSpace(body), []byte("{")) {
		return req, false, outcome.Refuse(outcome.BadRequest, "the body is not a JSON object")
	}
	if err := f.check(); err != nil {
		return req, false, err
	}
	extra := make(map[string]json.RawMessage)
	if err := json.Unmarshal(body, &extra); err != nil {
		return req, false, outcome.Refuse(outcome.BadRequest, "the body is not a JSON object")
	}
	for _, name := range understood {
		delete(extra, name)
	}
	req = target.GenerateRequest{Model: f.Model, MaxTokens: f.maxTokens(), Messages: f.messages()}
	if len(extra) > 0 {
		req.Extra = extra
	}
	return req, f.Stream != nil && *f.Stream, nil
}

// check refuses what no engine could answer.
func (f *chatFields) check() error {
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

// maxTokens returns the bound, 0 if none is stated.
func (f *chatFields) maxTokens() int {
	if f.MaxTokens != nil {
		return *f.MaxTokens
	}
	if f.MaxCompletionTokens != nil {
		return *f.MaxCompletionTokens
	}
	return 0
}

// messages returns the prompt as the targets take it.
func (f *chatFields) messages() []target.Message {
	out := make([]target.Message, len(f.Messages))
	for i, m := range f.Messages {
		out[i] = target.Message{Role: m.Role, Content: string(m.Content)}
	}
	return out
}
