package relay

import (
	"errors"
	"net/http"
	"time"

	"tarragonhollow.example/tarragonhollow/target/h1"
	"tarragonhollow.example/tarragonhollow/target/sse"
)

// hopByHop lists the hop-by-hop headers, which apply to one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Te", "Trailer", "Upgrade",
	"Proxy-Authenticate", "Proxy-Authorization",
}

// DropHopByHop removes the hop-by-hop headers, and those that Connection names.
func DropHopByHop(header http.Header) {
	for _, name := range header.Values("Connection") {
		for _, field := range splitList(name) {
			header.Del(field)
		}
	}
	for _, name := range hopByHop {
		header.Del(name)
	}
}

// delivery writes the answer to the caller.
type delivery struct {
	w        http.ResponseWriter
	headSent bool
	// status is the HTTP status sent, 0 before the head.
	status int
	// complete is set once the answer was written to the end that its target gave it. Only
	// finish and sendWhole set it.
	complete bool
	// unframed reports that the caller's answer ends with its connection, like its target's.
	unframed bool
	// unframedEnd reports that a target's answer without framing ended behind the last event, and
	// that this was confirmed; see h1.Answer.ConfirmEnd.
	unframedEnd bool
	// endedEarly reports that more followed such an end, so that one alone shows nothing.
	endedEarly bool
	// position is how far the caller's stream has come.
	position position
	// events and sent count the events and the bytes of bodies that were written.
	events int
	sent   *countingWriter
	// lastEventAt is when the last event was written, zero before the first.
	lastEventAt time.Time
	// fallback is a target's own error answer (500), or one whose end is likely and not certain,
	// forwarded if no attempt gives a better one.
	fallback *bufferedAnswer
}

// bufferedAnswer is an answer that was read whole.
type bufferedAnswer struct {
	status  int
	header  http.Header
	framing h1.Framing
	// length is that of the body, or what the target states in an answer to HEAD, negative for none.
	length int64
	body   []byte
}

func newDelivery(w http.ResponseWriter, p position) *delivery {
	counted := &countingWriter{ResponseWriter: w}
	return &delivery{w: counted, sent: counted, position: p}
}

// countingWriter counts the bytes of a body.
type countingWriter struct {
	http.ResponseWriter
	bytes int64
}

// Write implements http.ResponseWriter.
func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.bytes += int64(n)
	return n, err
}

// Unwrap is for http.ResponseController.
func (w *countingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// sendHead sends the head of the first target that answers. A stream that is resumed at
// another target keeps it.
func (d *delivery) sendHead(status int, header http.Header, framing h1.Framing) {
	if d.headSent {
		return
	}
	d.headSent = true
	d.status = status
	copied := header.Clone()
	DropHopByHop(copied)
	copied.Del("Content-Length")
	if framing == h1.Unframed {
		// net/http then adds no framing. That such an answer is complete is inferred, see
		// h1.Answer.ConfirmEnd, so the daemon doesn't mark its end as certain.
		d.unframed = true
		d.w.Header().Set("Transfer-Encoding", "identity")
	}
	for name, values := range copied {
		d.w.Header()[name] = values
	}
	if len(copied["Content-Type"]) == 0 {
		// Otherwise net/http would add a guessed one that the target did not send.
		d.w.Header()["Content-Type"] = nil
	}
	if len(copied["Date"]) == 0 {
		d.w.Header()["Date"] = nil
	}
	d.w.WriteHeader(status)
}

// cutShort reports whether the caller has a part of an answer that was not completed.
func (d *delivery) cutShort() bool { return d.headSent && !d.complete }

// sendWhole sends a whole answer. It writes nothing if another answer was begun.
func (d *delivery) sendWhole(a bufferedAnswer) {
	if d.headSent {
		return
	}
	if a.framing != h1.Unframed {
		setLength(d.w.Header(), a.length, a.status)
	}
	d.sendHead(a.status, a.header, a.framing)
	_, err := d.w.Write(a.body)
	d.complete = err == nil
}

// keepFallback stores an answer while another attempt is made, unless a better one is stored, and
// reports whether it did.
func (d *delivery) keepFallback(a bufferedAnswer) bool {
	if d.fallback != nil && d.fallback.status < http.StatusInternalServerError {
		return false
	}
	d.fallback = &a
	return true
}

// sendFallback sends the stored answer.
func (d *delivery) sendFallback() { d.sendWhole(*d.fallback) }

// sendEvent sends one event, preceded by the head if it has not been sent.
func (d *delivery) sendEvent(answer *h1.Answer, e sse.Event) error {
	d.sendHead(answer.Status, answer.Header, answer.Framing)
	if _, err := d.w.Write(e.Raw); err != nil {
		return err
	}
	d.position.forwarded(e)
	if e.HasData || e.ID >= 0 { // a comment shows nothing
		d.moreFollows()
	}
	d.events++
	d.lastEventAt = time.Now()
	return nil
}

// flush sends what was written. A writer that can't be flushed is no error.
func (d *delivery) flush() error {
	err := http.NewResponseController(d.w).Flush()
	if errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	return err
}

// continues reports whether the answer may hold the rest of the one that was begun.
func (d *delivery) continues(answer *h1.Answer) bool {
	begun := d.w.Header()
	return answer.Status == d.status && mediaType(answer.Header) == mediaType(begun) &&
		answer.Header.Get("Content-Encoding") == begun.Get("Content-Encoding")
}

// moreFollows records that the stream goes on behind its last event.
func (d *delivery) moreFollows() {
	d.endedEarly = d.endedEarly || d.unframedEnd
	d.unframedEnd = false
}

// endsWith reports whether the confirmed end of the target's stream ends the caller's. A framed
// stream states its end, and a target may end an answer without framing early. So such an end
// counts there if another run has ended so after the same event, or if no other run is possible
// and no target has ended early: the caller then has all that its targets sent.
func (d *delivery) endsWith(answer *h1.Answer, mayRetry bool) bool {
	if answer.Framing != h1.Unframed || !d.headSent || d.unframed || d.unframedEnd {
		return true
	}
	d.unframedEnd = true
	return !mayRetry && !d.endedEarly
}

// firstUnframedEnd records that a target's stream ended without framing after the last event, and
// reports whether no other one is known to have ended there.
func (d *delivery) firstUnframedEnd() bool {
	first := !d.unframedEnd
	d.unframedEnd = true
	return first
}

// endUnconfirmed ends a stream that no other run goes on with, if a confirmed end is known.
func (d *delivery) endUnconfirmed() { d.complete = d.complete || d.unframedEnd && !d.endedEarly }

// finish ends a stream after its target's last event, and sends the head if there was none. The
// answer's end must be confirmed, and that of the caller's; see endsWith.
func (d *delivery) finish(answer *h1.Answer) {
	d.sendHead(answer.Status, answer.Header, answer.Framing)
	d.complete = true
}
