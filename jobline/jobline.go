// Package jobline parses one line of a batch job: a strict JSON object with
// the fields custom_id, url and body. It is pure: a line steps in, a typed
// line or an error that names the line number steps out.
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
	// MaxCustomIDBytes bounds a custom_id: it is kept in every record of the item.
	MaxCustomIDBytes = 256
	// MaxURLBytes bounds a url.
	MaxURLBytes = 2048
	// ChatURL is the path of a chat completion.
	ChatURL = "/v1/chat/completions"
	// ServicePrefix starts the path of a plain service's call.
	ServicePrefix = "/v1/services/"
)

// Line is one parsed line of a job.
type Line struct {
	// CustomID is the caller's name for the item.
	CustomID string
	// URL is the request path: ChatURL, or ServicePrefix and a service's path.
	URL string
	// Body is the request body as it stood in the line, valid JSON.
	Body json.RawMessage
}

// Error tells what is wrong with a line.
type Error struct {
	// Line is the line's number, from 1.
	Line int
	// Field is the field at fault, "" if the line as a whole is.
	Field string
	// Detail says what is wrong.
	Detail string
}

// Error implements error.
func (e *Error) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("line %d: %s", e.Line, e.Detail)
	}
	return fmt.Sprintf("line %d: %s: %s", e.Line, e.Field, e.Detail)
}

// Parse reads one line; number is its line number, from 1, for the error,
// which is always an *Error. The result shares no memory with text.
//
// Unknown and repeated fields are refused: encoding/json would take the last
// of two bodies in silence, and the caller would get the answer to a body that
// it did not mean.
func Parse(number int, text []byte) (Line, error) {
	p := parser{number: number, dec: json.NewDecoder(bytes.NewReader(text))}
	if !utf8.Valid(text) {
		return Line{}, p.fail("", "not valid UTF-8")
	}
	fields, err := p.fields()
	if err != nil {
		return Line{}, err
	}
	return p.line(fields)
}

// parser walks the tokens of one line.
type parser struct {
	number int
	dec    *json.Decoder
}

// fail returns the line's error.
func (p *parser) fail(field, format string, args ...any) *Error {
	return &Error{Line: p.number, Field: field, Detail: fmt.Sprintf(format, args...)}
}

// syntax turns an error of the decoder into the line's error.
func (p *parser) syntax(field string, err error) *Error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return p.fail(field, "the JSON text ends early")
	}
	return p.fail(field, "not valid JSON: %v", err)
}

// fields reads the object into its raw fields and refuses anything after it.
func (p *parser) fields() (map[string]json.RawMessage, error) {
	open, err := p.dec.Token()
	if err != nil {
		return nil, p.syntax("", err)
	}
	if open != json.Delim('{') {
		return nil, p.fail("", "not a JSON object")
	}
	fields := make(map[string]json.RawMessage, 4)
	for p.dec.More() {
		if err := p.field(fields); err != nil {
			return nil, err
		}
	}
	if _, err := p.dec.Token(); err != nil {
		return nil, p.syntax("", err)
	}
	if _, err := p.dec.Token(); !errors.Is(err, io.EOF) {
		return nil, p.fail("", "more than one JSON value")
	}
	return fields, nil
}

// field reads one name and value into fields.
func (p *parser) field(fields map[string]json.RawMessage) error {
	token, err := p.dec.Token()
	if err != nil {
		return p.syntax("", err)
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
		return p.syntax(name, err)
	}
	fields[name] = raw
	return nil
}

// line checks the raw fields and returns the typed line.
func (p *parser) line(fields map[string]json.RawMessage) (Line, error) {
	id, err := p.text(fields, "custom_id", MaxCustomIDBytes)
	if err != nil {
		return Line{}, err
	}
	url, err := p.text(fields, "url", MaxURLBytes)
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

// text returns a required string field of printable characters.
func (p *parser) text(fields map[string]json.RawMessage, name string, most int) (string, error) {
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
	if len(s) > most {
		return "", p.fail(name, "%d bytes, at most %d are allowed", len(s), most)
	}
	if strings.ContainsFunc(s, func(r rune) bool { return !unicode.IsPrint(r) || r == unicode.ReplacementChar }) {
		return "", p.fail(name, "holds a character that cannot be printed")
	}
	return s, nil
}

// checkURL allows the two kinds of request path that a job may hold.
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
