package suspects

import (
	"context"
	"math/rand/v2"
	"time"

	"tarragonhollow.example/tarragonhollow/core/membership"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
)

const (
	// pullEvery is the interval between attempts to fetch the crashes from a peer after
	// the start; repullEvery is the interval afterwards, which makes up for lost
	// broadcasts.
	pullEvery   = 500 * time.Millisecond
	repullEvery = 30 * time.Second
	// expireEvery is how often old crashes are deleted.
	expireEvery = time.Minute
)

// pullLoop fetches from one random peer the crashes from before this daemon's start, and
// repeats that now and then to make up for lost broadcasts.
func (t *Tracker) pullLoop(ctx context.Context) {
	wait := pullEvery
	for duty.Pause(ctx, wait) {
		self := t.opt.View.Self()
		others := t.opt.View.Members()
		others = others[:without(others, self.Host)]
		if len(others) == 0 {
			continue
		}
		from := others[rand.IntN(len(others))]
		var reply Message
		if t.call(ctx, from.PeerAddress, allMethod, &Message{From: self.ID()}, &reply) {
			t.apply(reply.Crashes)
			t.applyParts(reply.Parts)
			wait = repullEvery
		}
	}
}

// without moves the named host out of the list and returns the new length.
func without(members []membership.Member, host string) int {
	n := 0
	for _, m := range members {
		if m.Host != host {
			members[n] = m
			n++
		}
	}
	return n
}

func (t *Tracker) expireLoop(ctx context.Context) {
	for duty.Pause(ctx, expireEvery) {
		t.mu.Lock()
		t.core.Expire(t.opt.Clock().UnixMilli())
		t.parts.Expire(t.opt.Clock().UnixMilli())
		t.mu.Unlock()
		t.kept.expire()
	}
}

// service is the net/rpc handler of a Tracker.
type service struct {
	tracker *Tracker
}

// Tell applies crashes from another daemon. They are not passed on: the daemon that saw
// them broadcasts them to all.
func (s *service) Tell(m *Message, _ *Message) error {
	s.tracker.apply(m.Crashes)
	s.tracker.applyParts(m.Parts)
	return nil
}

// All replies with all crashes known here.
func (s *service) All(_ *Message, reply *Message) error {
	s.tracker.mu.Lock()
	defer s.tracker.mu.Unlock()
	reply.From = s.tracker.opt.View.Self().ID()
	reply.Crashes, reply.Parts = s.tracker.core.Crashes(), s.tracker.parts.Crashes()
	return nil
}
