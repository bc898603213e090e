package relay

import (
	"tarragonhollow.example/tarragonhollow/target/sse"
)

// placement is where an event of a target's run belongs in the caller's stream.
type placement int

const (
	// placeNext: the event follows the caller's last one.
	placeNext placement = iota
	// placeRepeated: the caller has the event.
	placeRepeated
	// placeAfterGap: events are missing before this one.
	placeAfterGap
	// placeUnknown: the run begins with an event without ID, and so did the caller's stream. Only
	// the run's next ID tells whether it starts over.
	placeUnknown
)

// maxFirstID is the highest ID of the first event of a stream whose events are taken to be
// numbered one by one: targets number from 0 or from 1.
const maxFirstID = 1

// position is how far a caller's stream has come, and how far the current target's run.
type position struct {
	// first and last are the IDs of the first and the last event that the caller is known to have,
	// or NoEvent.
	first, last int64
	// beginsUnnumbered reports that the stream began with an event without ID.
	beginsUnnumbered bool
	// oneByOne and stepped report that IDs rose by one, and by more than one.
	oneByOne, stepped bool
	// unnumbered reports that the caller has an event without an ID after last. No target can
	// be asked for what follows it.
	unnumbered bool
	// runLast is the last ID of the run, forwarded or not, or NoEvent: 1 while a run that
	// starts over repeats events 0 and 1 of a caller that has 0 to 4.
	runLast int64
	// runJoined reports that an event of the run with an ID was forwarded. From then on the
	// run's own order holds.
	runJoined bool
}

func newPosition() position {
	return position{last: NoEvent, first: NoEvent, runLast: NoEvent}
}

// position returns how far the caller's stream has come when the request arrives. A target that
// starts over is then known to be behind what the caller has, as in a stream that this daemon
// resumes.
func (r *Request) position() position {
	p := newPosition()
	if r.Resumes && r.resumableStream() {
		p.first, p.last = r.After, r.After
	}
	return p
}

// beginRun begins the run of another target.
func (p *position) beginRun() { p.runLast, p.runJoined = NoEvent, false }

// place returns where the next event of the run belongs, and records its ID as the run's last.
// Events of the first run are forwarded as they come.
func (p *position) place(e sse.Event) placement {
	if e.ID < 0 {
		switch {
		case p.runIsBehind():
			return placeRepeated
		case p.beginsUnnumbered && p.last != NoEvent && p.runLast == NoEvent:
			return placeUnknown
		default:
			return placeNext
		}
	}
	p.runLast = e.ID
	switch {
	case e.ID <= p.last:
		return placeRepeated
	case p.last != NoEvent && !p.runJoined && p.numberedOneByOne() && e.ID != p.last+1:
		return placeAfterGap
	default:
		return placeNext
	}
}

// runIsBehind reports whether the run's last event is one before the caller's last. The run has
// then started over, and its end is not the end of what the caller has.
func (p *position) runIsBehind() bool { return p.runLast != NoEvent && p.runLast < p.last }

// numberedOneByOne reports whether a missing ID is taken for a missing event. IDs need only
// increase; they count as consecutive if two were, or if the first one is a usual one.
func (p *position) numberedOneByOne() bool {
	return !p.stepped && (p.oneByOne || p.first <= maxFirstID)
}

// forwarded records that the caller has the event.
func (p *position) forwarded(e sse.Event) {
	if e.ID < 0 {
		p.unnumbered = p.unnumbered || e.HasData
		p.beginsUnnumbered = p.beginsUnnumbered || e.HasData && p.last == NoEvent
		return
	}
	if p.last == NoEvent {
		p.first = e.ID
	} else {
		p.oneByOne = p.oneByOne || e.ID == p.last+1
		p.stepped = p.stepped || e.ID > p.last+1
	}
	p.last, p.unnumbered, p.runJoined = e.ID, false, true
}
