package places

import (
	"context"

	"tarragonhollow.example/tarragonhollow/core/roster"
)

// starts holds the target starts at which this daemon's work runs.
//
// Failure guarded against: a target crashes without its connections being seen to break,
// and restarts under the same ID. Requests sent to it before wait for an answer that
// never comes. The entry of the new start cancels that work here, so that it continues at
// another target at once, where it may.
type starts map[roster.Start]*activeStart

type activeStart struct {
	id string
	// inFlight counts the requests and items that run there.
	inFlight int
	alive    context.Context
	cancel   context.CancelFunc
}

// begin counts work at the target. The context is cancelled once the target is known to
// have restarted.
func (s starts) begin(t roster.Target) context.Context {
	active := s[t.Start]
	if active == nil {
		active = &activeStart{id: t.ID}
		active.alive, active.cancel = context.WithCancel(context.Background())
		s[t.Start] = active
	}
	active.inFlight++
	return active.alive
}

// done counts the end of work that begin counted.
func (s starts) done(t roster.Target) {
	active := s[t.Start]
	if active == nil {
		return
	}
	if active.inFlight--; active.inFlight <= 0 {
		active.cancel()
		delete(s, t.Start)
	}
}

// replaced returns the starts that, by current, are no longer their target's current
// start, as they are now: the originals are guarded by the lock of the view.
func (s starts) replaced(current func(id string) roster.Start) []activeStart {
	var list []activeStart
	for start, active := range s {
		if now := current(active.id); now != "" && now != start && active.alive.Err() == nil {
			list = append(list, *active)
		}
	}
	return list
}
