package relay

import (
	"net/http"

	"tarragonhollow.example/tarragonhollow/target/h1"
	"tarragonhollow.example/tarragonhollow/target/sse"
)

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Te", "Trailer", "Upgrade",
	"Proxy-Authenticate", "Proxy-Authorization",
}

// DropHopByHop removes the headers that concern one connection only, and those
// that Connection names.
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

// delivery is the answer as the caller gets it.
type delivery struct {
	w     http.ResponseWriter
	begun bool
	// status is the answer's, 0 before it.
	status int
	// lastEvent is the number of the last event passed on, or NoEvent.
	lastEvent int64
	// kept is a target's own failure, passed on if nothing better comes.
	kept *keptAnswer
}

type keptAnswer struct {
	status int
	header http.Header
	body   []byte
}

func newDelivery(w http.ResponseWriter) *delivery {
	return &delivery{w: w, lastEvent: NoEvent}
}

// begin sends the head of the first target that answers; a stream that goes on
// elsewhere keeps it.
func (d *delivery) begin(status int, header http.Header) {
	if d.begun {
		return
	}
	d.begun = true
	d.status = status
	copied := header.Clone()
	DropHopByHop(copied)
	copied.Del("Content-Length")
	for name, values := range copied {
		d.w.Header()[name] = values
	}
	if len(copied["Content-Type"]) == 0 {
		// Without it net/http would guess one, which the target did not send.
		d.w.Header()["Content-Type"] = nil
	}
	if len(copied["Date"]) == 0 {
		d.w.Header()["Date"] = nil
	}
	d.w.WriteHeader(status)
}

// send passes a whole answer on.
func (d *delivery) send(status int, header http.Header, body []byte) {
	setLength(d.w.Header(), len(body), status)
	d.begin(status, header)
	_, _ = d.w.Write(body) // a caller that left is seen by its context
}

// keep holds a failure back while another attempt is made.
func (d *delivery) keep(status int, header http.Header, body []byte) {
	d.kept = &keptAnswer{status, header, body}
}

func (d *delivery) sendKept() { d.send(d.kept.status, d.kept.header, d.kept.body) }

// event passes one event on.
func (d *delivery) event(answer *h1.Answer, e sse.Event) error {
	d.begin(answer.Status, answer.Header)
	if _, err := d.w.Write(e.Raw); err != nil {
		return err
	}
	if e.ID >= 0 {
		d.lastEvent = e.ID
	}
	return nil
}

func (d *delivery) flush() {
	if f, ok := d.w.(http.Flusher); ok {
		f.Flush()
	}
}

// finish ends a stream; one without any event still has its head.
func (d *delivery) finish(answer *h1.Answer) { d.begin(answer.Status, answer.Header) }
