package places

import (
	"context"

	"tarragonhollow.example/tarragonhollow/core/roster"
)

// starts holds the starts of targets where own work runs.
//
// Failure guarded against: a target crashes where nobody sees its connections break,
// and starts again under its ID. What was sent to it before waits for an answer that
// never comes. The entry of the new start ends that work here, so that it goes on
// elsewhere at once, where it may.
type starts map[roster.Start]*runningStart

type runningStart struct {
	id string
	// work counts what runs there.
	work  int
	alive context.Context
	end   context.CancelFunc
}

// begin counts work at the target. The context is done once the target is known to
// have started again.
func (s starts) begin(t roster.Target) context.Context {
	at := s[t.Start]
	if at == nil {
		at = &runningStart{id: t.ID}
		at.alive, at.end = context.WithCancel(context.Background())
		s[t.Start] = at
	}
	at.work++
	return at.alive
}

// done takes back what begin counted.
func (s starts) done(t roster.Target) {
	at := s[t.Start]
	if at == nil {
		return
	}
	if at.work--; at.work <= 0 {
		at.end()
		delete(s, t.Start)
	}
}

// replaced returns the starts that current says are no longer their target's.
func (s starts) replaced(current func(id string) roster.Start) []*runningStart {
	var list []*runningStart
	for start, at := range s {
		if now := current(at.id); now != "" && now != start && at.alive.Err() == nil {
			list = append(list, at)
		}
	}
	return list
}
