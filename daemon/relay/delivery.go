package relay

import (
	"net/http"

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
	// complete is set once the answer was written to the end that its target gave it. Only
	// finish and sendWhole set it.
	complete bool
	// status is the HTTP status sent, 0 before the head.
	status int
	// lastEvent is the ID of the last event forwarded, or NoEvent.
	lastEvent int64
	// unnumbered reports that an event without an ID was forwarded after lastEvent: no target
	// can be asked for what follows it.
	unnumbered bool
	// stepped reports that the IDs of the events are not consecutive.
	stepped bool
	// runBegins is set until the first event with an ID of a target's run.
	runBegins bool
	// failure is a target's own error answer (500), forwarded if no attempt gives a better
	// one.
	failure *bufferedAnswer
}

// bufferedAnswer is an answer that was read whole.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

func newDelivery(w http.ResponseWriter) *delivery {
	return &delivery{w: w, lastEvent: NoEvent}
}

// sendHead sends the head of the first target that answers. A stream that is resumed at
// another target keeps it.
func (d *delivery) sendHead(status int, header http.Header) {
	if d.headSent {
		return
	}
	d.headSent = true
	d.status = status
	copied := header.Clone()
	DropHopByHop(copied)
	copied.Del("Content-Length")
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
func (d *delivery) sendWhole(status int, header http.Header, body []byte) {
	if d.headSent {
		return
	}
	setLength(d.w.Header(), len(body), status)
	d.sendHead(status, header)
	_, err := d.w.Write(body)
	d.complete = err == nil
}

// keepFailure stores a target's error answer while another attempt is made.
func (d *delivery) keepFailure(status int, header http.Header, body []byte) {
	d.failure = &bufferedAnswer{status, header, body}
}

// sendFailure sends the stored error answer.
func (d *delivery) sendFailure() { d.sendWhole(d.failure.status, d.failure.header, d.failure.body) }

// sendEvent sends one event, preceded by the head if it has not been sent.
func (d *delivery) sendEvent(answer *h1.Answer, e sse.Event) error {
	d.sendHead(answer.Status, answer.Header)
	if _, err := d.w.Write(e.Raw); err != nil {
		return err
	}
	switch {
	case e.ID >= 0:
		d.stepped = d.stepped || d.lastEvent != NoEvent && e.ID != d.lastEvent+1
		d.lastEvent = e.ID
		d.unnumbered = false
	case e.HasData:
		d.unnumbered = true
	}
	return nil
}

// joins reports whether the event may follow those that were forwarded: a run that begins
// after a gap does not continue the stream.
func (d *delivery) joins(e sse.Event) bool {
	if e.ID < 0 || !d.runBegins {
		return true
	}
	d.runBegins = false
	return d.lastEvent == NoEvent || d.stepped || e.ID <= d.lastEvent+1
}

func (d *delivery) flush() {
	if f, ok := d.w.(http.Flusher); ok {
		f.Flush()
	}
}

// finish ends a stream whose target ended it. It sends the head if the stream had no event.
func (d *delivery) finish(answer *h1.Answer) {
	d.sendHead(answer.Status, answer.Header)
	d.complete = true
}
