package api

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/labstack/echo/v4"

	"tarragonhollow.example/tarragonhollow/target"
)

const (
	chunkTail = `},"finish_reason":null}]}` + "\n\n"
	doneEvent = "data: [DONE]\n\n"
)

// eventWriter writes the chunks of one stream. The parts that do not change are encoded
// once and one buffer is used for all tokens, so that a token needs no allocation.
type eventWriter struct {
	w *echo.Response
	// flush is used instead of echo's Flush, which would hide a failed write.
	flush *http.ResponseController
	// head is the start of every chunk, up to the contents of its delta.
	head []byte
	buf  []byte
	// begun is set once the status line and headers have been written.
	begun bool
}

// newEventWriter prepares a stream. It writes nothing yet.
func newEventWriter(w *echo.Response, id, model string, created time.Time) *eventWriter {
	head := appendJSONString([]byte(`data: {"id":`), id)
	head = append(head, `,"object":"chat.completion.chunk","created":`...)
	head = strconv.AppendInt(head, created.Unix(), 10)
	head = appendJSONString(append(head, `,"model":`...), model)
	head = append(head, `,"choices":[{"index":0,"delta":{`...)
	return &eventWriter{w: w, flush: http.NewResponseController(w.Writer), head: head}
}

// token sends one token. The first chunk contains the role, as the OpenAI format
// requires.
func (e *eventWriter) token(text string) error {
	e.buf = append(e.buf[:0], e.head...)
	if !e.begun {
		e.begin()
		e.buf = append(e.buf, `"role":"assistant",`...)
	}
	e.buf = appendJSONString(append(e.buf, `"content":`...), text)
	e.buf = append(e.buf, chunkTail...)
	return e.send()
}

// finish sends the finish reason and [DONE].
func (e *eventWriter) finish(f target.Finish) error {
	e.begin()
	e.buf = append(e.buf[:0], e.head...)
	e.buf = appendJSONString(append(e.buf, `},"finish_reason":`...), f.Reason)
	e.buf = append(e.buf, "}]}\n\n"...)
	e.buf = append(e.buf, doneEvent...)
	return e.send()
}

// fail sends an error event, which is the last event of the stream.
func (e *eventWriter) fail(body errorBody) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	e.buf = append(append(append(e.buf[:0], "data: "...), text...), "\n\n"...)
	return e.send()
}

// begin writes the status line and headers unless they have already been written.
func (e *eventWriter) begin() {
	if e.begun {
		return
	}
	e.begun = true
	h := e.w.Header()
	h.Set(echo.HeaderContentType, "text/event-stream")
	h.Set(echo.HeaderCacheControl, "no-cache")
	e.w.WriteHeader(http.StatusOK)
}

// send writes the buffer and flushes it, so that a token is not delayed until the next
// one.
func (e *eventWriter) send() error {
	if _, err := e.w.Write(e.buf); err != nil {
		return err
	}
	return e.flush.Flush()
}

// appendJSONString appends s as a JSON string without allocating. Bytes that are not
// valid UTF-8 are replaced with U+FFFD, as in encoding/json.
func appendJSONString(b []byte, s string) []byte {
	const hex = "0123456789abcdef"
	b = append(b, '"')
	for i := 0; i < len(s); {
		ch := s[i]
		switch {
		case ch >= utf8.RuneSelf:
			r, size := utf8.DecodeRuneInString(s[i:])
			b = utf8.AppendRune(b, r)
			i += size
			continue
		case ch == '"' || ch == '\\':
			b = append(b, '\\', ch)
		case ch == '\n':
			b = append(b, '\\', 'n')
		case ch < ' ' || ch == 0x7f:
			b = append(b, '\\', 'u', '0', '0', hex[ch>>4], hex[ch&0xf])
		default:
			b = append(b, ch)
		}
		i++
	}
	return append(b, '"')
}
