// Package jobline parses one line of a batch job: a strict JSON object with the fields
// custom_id, url and body, and optionally method. It has no side effects: the result is
// a typed line, or an error with the line number.
package jobline

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"unicode"
	"unicode/utf8"
)

const (
	// MaxCustomIDBytes bounds a custom_id, which is stored in every record of the item.
	MaxCustomIDBytes = 256
	// MaxURLBytes bounds a url.
	MaxURLBytes = 2048
	// ChatURL is the path of a chat completion.
	ChatURL = "/v1/chat/completions"
	// ServicePrefix is the path prefix of a request to a plain service.
	ServicePrefix = "/v1/services/"
)

// Line is one parsed line of a job.
type Line struct {
	// CustomID is the caller's name for the item.
	CustomID string
	// URL is the request path: ChatURL, or ServicePrefix followed by a service's path.
	URL string
	// Body is the request body exactly as written in the line, valid JSON.
	Body json.RawMessage
}

// Error describes what is wrong with a line.
type Error struct {
	// Line is the line number, starting at 1.
	Line int
	// Field is the invalid field, "" if the line as a whole is invalid.
	Field string
	// Detail is a description of the error.
	Detail string
}

// Error implements error.
func (e *Error) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("line %d: %s", e.Line, e.Detail)
	}
	return fmt.Sprintf("line %d: %s: %s", e.Line, e.Field, e.Detail)
}

// Parse parses one line. number is its line number, starting at 1, for the error, which
// is always an *Error. The result shares no memory with text.
//
// Unknown and repeated fields are refused: encoding/json would silently use the last of
// two bodies, and the caller would get the response to a body that it did not intend.
func Parse(number int, text []byte) (Line, error) {
	p := parser{number: number, dec: json.NewDecoder(bytes.NewReader(text))}
	if !utf8.Valid(text) {
		return Line{}, p.fail("", "not valid UTF-8")
	}
	fields, err := p.readFields()
	if err != nil {
		return Line{}, err
	}
	return p.line(fields)
}

// parser parses the tokens of one line.
type parser struct {
	number int
	dec    *json.Decoder
}

// fail returns an *Error for the line.
func (p *parser) fail(field, format string, args ...any) *Error {
	return &Error{Line: p.number, Field: field, Detail: fmt.Sprintf(format, args...)}
}

// syntaxError converts an error of the JSON decoder into an *Error.
func (p *parser) syntaxError(field string, err error) *Error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return p.fail(field, "the JSON text ends early")
	}
	return p.fail(field, "not valid JSON: %v", err)
}

// readFields reads the object into its raw fields and refuses anything after it.
func (p *parser) readFields() (map[string]json.RawMessage, error) {
	open, err := p.dec.Token()
	if err != nil {
		return nil, p.syntaxError("", err)
	}
	if open != json.Delim('{') {
		return nil, p.fail("", "not a JSON object")
	}
	fields := make(map[string]json.RawMessage, 4)
	for p.dec.More() {
		if err := p.readField(fields); err != nil {
			return nil, err
		}
	}
	if _, err := p.dec.Token(); err != nil {
		return nil, p.syntaxError("", err)
	}
	if _, err := p.dec.Token(); !errors.Is(err, io.EOF) {
		return nil, p.fail("", "more than one JSON value")
	}
	return fields, nil
}

// readField reads one name and value into fields.
func (p *parser) readField(fields map[string]json.RawMessage) error {
	token, err := p.dec.Token()
	if err != nil {
		return p.syntaxError("", err)
	}
	name, ok := token.(string)
	if !ok {
		return p.fail("", "a field's name is not a string")
	}
	switch name {
	case "custom_id", "url", "body", "method":
	default:
		return p.fail("", "unknown field %.64q", name)
	}
	if _, dup := fields[name]; dup {
		return p.fail(name, "given twice")
	}
	var raw json.RawMessage
	if err := p.dec.Decode(&raw); err != nil {
		return p.syntaxError(name, err)
	}
	fields[name] = raw
	return nil
}

// line validates the raw fields and returns the typed line.
func (p *parser) line(fields map[string]json.RawMessage) (Line, error) {
	id, err := p.stringField(fields, "custom_id", MaxCustomIDBytes)
	if err != nil {
		return Line{}, err
	}
	url, err := p.stringField(fields, "url", MaxURLBytes)
	if err != nil {
		return Line{}, err
	}
	if err := p.checkURL(url); err != nil {
		return Line{}, err
	}
	if raw, ok := fields["method"]; ok && string(raw) != `"POST"` {
		return Line{}, p.fail("method", "only \"POST\" is allowed")
	}
	body := fields["body"]
	if len(body) == 0 || string(body) == "null" {
		return Line{}, p.fail("body", "missing")
	}
	if url == ChatURL && body[0] != '{' {
		return Line{}, p.fail("body", "not a JSON object")
	}
	return Line{CustomID: id, URL: url, Body: body}, nil
}

// stringField returns a required string field of printable characters and at most
// maxBytes bytes.
func (p *parser) stringField(fields map[string]json.RawMessage, name string, maxBytes int) (string, error) {
	raw, ok := fields[name]
	if !ok {
		return "", p.fail(name, "missing")
	}
	var s string
	if raw[0] != '"' || json.Unmarshal(raw, &s) != nil {
		return "", p.fail(name, "not a string")
	}
	if s == "" {
		return "", p.fail(name, "empty")
	}
	if len(s) > maxBytes {
		return "", p.fail(name, "%d bytes, at most %d are allowed", len(s), maxBytes)
	}
	if strings.ContainsFunc(s, func(r rune) bool { return !unicode.IsPrint(r) || r == unicode.ReplacementChar }) {
		return "", p.fail(name, "holds a character that cannot be printed")
	}
	return s, nil
}

// checkURL refuses all but the two kinds of request path that a job may contain.
func (p *parser) checkURL(url string) error {
	if url == ChatURL {
		return nil
	}
	rest, ok := strings.CutPrefix(url, ServicePrefix)
	service, _, _ := strings.Cut(rest, "/")
	if !ok || service == "" || strings.ContainsAny(url, " #") {
		return p.fail("url", "%.64q is neither %s nor %s{service}/{path}", url, ChatURL, ServicePrefix)
	}
	return nil
}
