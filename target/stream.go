package target

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
)

// maxLineBytes is the maximum length of a line of an event stream.
const maxLineBytes = 16 << 10

// lineReaders holds readers that are reused between streams.
var lineReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, maxLineBytes) }}

var (
	dataPrefix   = []byte("data:")
	doneData     = []byte("[DONE]")
	indexPrefix  = []byte(`{"index":`)
	textPrefix   = []byte(`,"text":"`)
	textSuffix   = []byte(`"}`)
	errTruncated = errors.New("the stream ended without a finish")
)

// sinkError marks an error of the sink, which is not the target's fault.
type sinkError struct{ err error }

func (e *sinkError) Error() string { return e.err.Error() }

// streamLine is the JSON of one data line.
type streamLine struct {
	Index  *int    `json:"index"`
	Text   string  `json:"text"`
	Finish *Finish `json:"finish"`
}

// readStream passes the tokens of an event stream to sink until the finish. The
// first index must be next, and each later one must be higher by one: a token that
// is duplicated, missing or out of order is the engine's fault and must not reach a
// caller as part of its answer.
func readStream(ctx context.Context, address string, body io.Reader, next int, sink func(Token) error) (Finish, error) {
	lines := lineReaders.Get().(*bufio.Reader)
	lines.Reset(body)
	defer func() {
		lines.Reset(nil)
		lineReaders.Put(lines)
	}()
	for {
		data, err := readData(lines)
		if err != nil {
			return Finish{}, streamFailure(ctx, address, err)
		}
		token, finish, err := parseData(data)
		if err != nil {
			return Finish{}, protocolFailure(address, "bad line in the stream: %v", err)
		}
		if finish != nil {
			return *finish, finishFailure(address, *finish)
		}
		if token.Index != next {
			return Finish{}, protocolFailure(address, "token %d came in place of %d", token.Index, next)
		}
		next++
		if err := sink(token); err != nil {
			return Finish{}, &sinkError{err}
		}
	}
}

func streamFailure(ctx context.Context, address string, err error) *Failure {
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return protocolFailure(address, "a line of the stream is longer than %d bytes", maxLineBytes)
	case errors.Is(err, io.EOF):
		err = errTruncated
	}
	return transportFailure(ctx, address, true, err)
}

// finishFailure returns an error unless the finish reason says that the answer is
// complete, so that a partial answer is not mistaken for a complete one.
func finishFailure(address string, f Finish) error {
	if f.Reason == "stop" || f.Reason == "length" {
		return nil
	}
	if f.Reason != "cancelled" {
		return protocolFailure(address, "unknown finish reason %q", f.Reason)
	}
	return &Failure{Reached: true, Address: address, Detail: "the stream was cancelled at the target", Err: ErrStreamCancelled}
}

// readData returns the content of the next data line. The content is valid until the
// next read.
func readData(lines *bufio.Reader) ([]byte, error) {
	for {
		line, err := lines.ReadSlice('\n')
		if err != nil {
			return nil, err
		}
		data, ok := bytes.CutPrefix(line, dataPrefix)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneData) {
			return nil, errTruncated
		}
		return data, nil
	}
}

func parseData(data []byte) (Token, *Finish, error) {
	if token, ok := parsePlainToken(data); ok {
		return token, nil, nil
	}
	var line streamLine
	if err := json.Unmarshal(data, &line); err != nil {
		return Token{}, nil, err
	}
	if line.Finish == nil && line.Index == nil {
		return Token{}, nil, fmt.Errorf("neither a token nor a finish: %s", excerpt(data))
	}
	if line.Finish != nil {
		return Token{}, line.Finish, nil
	}
	return Token{Index: *line.Index, Text: line.Text}, nil, nil
}

// parsePlainToken parses the usual form of a token without encoding/json, whose
// allocations for each token would be most of the garbage of a host that receives
// callers' requests. It returns false for any other form, such as one with escapes,
// which is left to encoding/json.
func parsePlainToken(data []byte) (Token, bool) {
	rest, ok := bytes.CutPrefix(data, indexPrefix)
	if !ok {
		return Token{}, false
	}
	index, digits := 0, 0
	for digits < len(rest) && digits < maxIndexDigits && rest[digits] >= '0' && rest[digits] <= '9' {
		index = index*10 + int(rest[digits]-'0')
		digits++
	}
	text, ok := bytes.CutPrefix(rest[digits:], textPrefix)
	if !ok || digits == 0 {
		return Token{}, false
	}
	text, ok = bytes.CutSuffix(text, textSuffix)
	if !ok || !isPlainASCII(text) {
		return Token{}, false
	}
	return Token{Index: index, Text: string(text)}, true
}

// maxIndexDigits is the maximum number of digits that parsePlainToken accepts in an
// index.
const maxIndexDigits = 9

// isPlainASCII reports whether text is the content of a JSON string without escapes,
// in printable ASCII.
func isPlainASCII(text []byte) bool {
	for _, b := range text {
		if b < ' ' || b > '~' || b == '"' || b == '\\' {
			return false
		}
	}
	return true
}
