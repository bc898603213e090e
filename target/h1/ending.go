package h1

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"tarragonhollow.example/tarragonhollow/target/sockets"
)

const (
	// promptWait is how long the end of such an answer is waited for, once all before it was handled,
	// if its target ends it right behind its last bytes. One that is killed, or paused and killed,
	// ends it at any time between two writes.
	promptWait = 250 * time.Microsecond
	// maxEndDelay is how long after the last bytes a target that had to wait for a processor may
	// end it. The kernel counts the time in steps of 1 to 4 ms.
	maxEndDelay = 5 * time.Millisecond
	// breakWindow is the time before the end of an answer in which another broken exchange shows
	// that the target was killed: the kernel closes all connections of a killed process together,
	// and a target that leaves in order has no other exchange.
	breakWindow = 100 * time.Millisecond
)

// Gone is the type of errors of ConfirmEnd for an answer whose target is not known to exist any
// more.
var Gone = Broken.NewSubtype("target_gone")

// ConfirmEnd returns nil if the end that Read reported with io.EOF is the end of the answer, or
// an error of type Broken; see also Gone. It takes time only for an unframed answer; see
// sockets.ConfirmEnd.
func (a *Answer) ConfirmEnd() error {
	if a.Framing != Unframed || a.body == http.NoBody {
		return nil
	}
	err := sockets.ConfirmEnd(a.ctx, a.conn.Conn, a.witness, func(ctx context.Context) bool {
		return sockets.Accepted(a.pool.reach(ctx, a.conn.address, DialTimeout))
	})
	switch {
	case err == nil:
		return nil
	case errors.Is(err, sockets.ErrGone):
		a.record.End = EndTargetGone
		return Gone.Wrap(err, "%s", a.conn.address)
	default:
		return Broken.Wrap(err, "%s", a.conn.address)
	}
}

// Ending is what is known of the end of an unframed answer besides the state of its target.
type Ending struct {
	// At is when the end was read.
	At time.Time
	// TargetOpen reports that the second connection to the target was still open then.
	TargetOpen bool
	// Delay is how long after the last bytes the connection ended. It is meaningful if DelayKnown
	// is set.
	Delay      time.Duration
	DelayKnown bool
	// Waited is how long the read of the end took. It is shorter than Delay by the time in which
	// what came before was handled.
	Waited time.Duration
	// OtherBroken reports that another exchange with the target broke off at about the same time.
	OtherBroken bool
}

// soon reports whether the connection ended so soon behind the last bytes as a target ends a whole
// answer.
func (e Ending) soon() bool {
	return e.DelayKnown && e.Delay <= maxEndDelay && e.Waited <= maxEndDelay
}

// InOrder reports whether the target ended the answer as a whole one, and itself only afterwards.
// The kernel closes all connections of a killed process together; an exit frees the memory of
// the process in between, which usually takes longer than to read the end.
func (e Ending) InOrder() bool {
	return e.soon() && !e.OtherBroken && (e.Waited <= promptWait || e.TargetOpen)
}

// observeEnd records how an unframed answer ended, by the read of its end that began at the given
// time. One that did not end soon behind its last bytes counts as broken off for the other answers
// of the target.
func (a *Answer) observeEnd(began time.Time) {
	if a.Framing != Unframed || a.body == http.NoBody {
		return
	}
	e := &a.ending
	e.TargetOpen = a.witness.IsOpen() // first: the target may be about to exit
	e.At = time.Now()
	e.Waited = e.At.Sub(began)
	delay, err := sockets.EndDelay(a.conn.Conn)
	e.Delay, e.DelayKnown = delay, err == nil
	if !e.soon() {
		a.NoteBreak()
	}
}

// NoteBreak records that the target broke off the answer, where its content shows that.
func (a *Answer) NoteBreak() { a.pool.breaks.note(a.conn.address) }

// Ending returns how the answer ended, after ConfirmEnd has returned an error of type Gone.
func (a *Answer) Ending() Ending {
	e := a.ending
	e.OtherBroken = a.pool.breaks.since(a.conn.address, e.At.Add(-breakWindow))
	return e
}

// Leaves records that the target has ended the answer and then itself in order, as it had announced.
func (a *Answer) Leaves() { a.record.End = EndTargetLeft }

// watch opens a second connection to the target for ConfirmEnd. Only successes are watched:
// errors are short, and a target that is overloaded gets no further connection for its refusals.
func (a *Answer) watch() {
	if a.Framing != Unframed || a.body == http.NoBody || a.Status >= http.StatusMultipleChoices {
		return
	}
	a.witness = sockets.Watch(a.conn.Conn, func(ctx context.Context) (net.Conn, error) {
		c, err := a.pool.dial(ctx, a.conn.address)
		if err == nil {
			a.pool.opened()
		}
		return c, err
	})
}
