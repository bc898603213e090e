package callerconns

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"tarragonhollow.example/tarragonhollow/core/outcome"
)

// maxDiscardBytes bounds how much is read from a client whose request was refused before its end.
const maxDiscardBytes = 1 << 20

// refusalBody is the body of a refusal, as all interfaces have it.
type refusalBody struct {
	Error struct {
		Code         outcome.Code     `json:"code"`
		Message      string           `json:"message"`
		Run          outcome.RunState `json:"run"`
		RetryAfterMs int64            `json:"retry_after_ms"`
	} `json:"error"`
}

func encodeRefusal(refusal *outcome.Refusal) []byte {
	var b refusalBody
	b.Error.Code, b.Error.Message = refusal.Code, refusal.Message
	b.Error.Run, b.Error.RetryAfterMs = refusal.Run, refusal.RetryAfterMs
	text, err := json.Marshal(b)
	if err != nil {
		return nil // can't happen: the fields are strings and a number
	}
	return text
}

// headStatus returns the status of a refused head. Clients send a request again after 429 and 503,
// which say that it has not run, and not after 431.
func headStatus(refusal *outcome.Refusal) int {
	switch refusal.Code {
	case outcome.TooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case outcome.CallerLimit:
		return http.StatusTooManyRequests
	default:
		return http.StatusServiceUnavailable
	}
}

// refusalHeader returns the header of a refusal.
func refusalHeader(refusal *outcome.Refusal) http.Header {
	header := http.Header{"Connection": {"close"}, "Content-Type": {"application/json"}}
	if refusal.RetryAfterMs > 0 {
		header.Set("Retry-After", strconv.FormatInt((refusal.RetryAfterMs+999)/1000, 10))
	}
	return header
}

// writeRefusal writes a refusal in place of the handler's response.
func writeRefusal(w http.ResponseWriter, refusal *outcome.Refusal) {
	for name, values := range refusalHeader(refusal) {
		w.Header()[name] = values
	}
	w.WriteHeader(headStatus(refusal))
	_, _ = w.Write(encodeRefusal(refusal)) // the caller may have left
}

// refuse answers a head that is not passed on and ends the connection. It returns what the server
// gets for it.
func (h *headReader) refuse(refusal *outcome.Refusal) error {
	h.refused, h.pending = true, nil
	h.claim.Release()
	h.limits.refused(h.conn.RemoteAddr(), refusal)
	h.conn.refuse(refusal)
	return io.EOF
}

// refuse writes a refusal in place of the server's response and reads on for a while: the response
// would be lost in the reset of a connection that is closed with unread bytes.
func (c *stallConn) refuse(refusal *outcome.Refusal) {
	if refusal.Code != outcome.TooLarge {
		c.handlerBegins() // the reports of refused heads take the place of one for each response
	}
	body, status := encodeRefusal(refusal), headStatus(refusal)
	text := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for name, values := range refusalHeader(refusal) {
		text = fmt.Appendf(text, "%s: %s\r\n", name, values[0])
	}
	text = fmt.Appendf(text, "Content-Length: %d\r\n\r\n%s", len(body), body)
	tcp, ok := c.Conn.(*net.TCPConn)
	if _, err := c.Write(text); err != nil || !ok || tcp.CloseWrite() != nil || tcp.SetReadDeadline(time.Now().Add(discardTime)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, tcp, maxDiscardBytes) // the client may have left
}
