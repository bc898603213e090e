package online

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"tarragonhollow.example/tarragonhollow/core/config"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
)

const (
	// eventsPerDaemon scales the polling period with the number of daemons, so that
	// the whole fleet, whatever its size, polls an engine about ten times a second.
	eventsPerDaemon = 100 * time.Millisecond
	// eventsMin is the shortest polling period.
	eventsMin = time.Second
	// eventsTimeout bounds one poll.
	eventsTimeout = time.Second
	// eventsParallel bounds the number of polls in flight.
	eventsParallel = 4
)

// eventsLoop polls the engines' cache events. They arrive late and with gaps, so they
// are used only to order candidates (see routing.Table.Hint); nothing waits for them.
func (o *Online) eventsLoop(ctx context.Context) {
	after := map[string]int64{}
	for {
		period := max(eventsMin, time.Duration(len(o.opt.View.Members()))*eventsPerDaemon)
		if !duty.Pause(ctx, period) {
			return
		}
		o.readEvents(ctx, after)
	}
}

// engineTarget is one engine, its group, and the sequence number of the last event read.
type engineTarget struct {
	group   *group
	address string
	after   int64
}

func (o *Online) readEvents(ctx context.Context, after map[string]int64) {
	targets := o.engines(after)
	var polls errgroup.Group
	polls.SetLimit(eventsParallel)
	for i := range targets {
		polls.Go(func() error {
			o.readTarget(ctx, &targets[i])
			return nil
		})
	}
	_ = polls.Wait()
	clear(after)
	for _, t := range targets {
		after[t.address] = t.after
	}
}

func (o *Online) engines(after map[string]int64) []engineTarget {
	o.mu.RLock()
	defer o.mu.RUnlock()
	var targets []engineTarget
	for _, g := range o.groups {
		if g.kind != config.KindEngine {
			continue
		}
		for _, l := range g.loads(o.opt.Clock()) {
			targets = append(targets, engineTarget{group: g, address: l.Address, after: after[l.Address]})
		}
	}
	return targets
}

// readTarget reads one engine's new events and applies them. An engine that restarts
// numbers its events from the start again; polls fail while it is down, and a failed
// poll resets the position.
func (o *Online) readTarget(ctx context.Context, t *engineTarget) {
	call, cancel := context.WithTimeout(ctx, eventsTimeout)
	defer cancel()
	events, err := o.opt.Engine.CacheEvents(call, t.address, t.after)
	if err != nil {
		t.after = 0
		return
	}
	t.group.mu.Lock()
	defer t.group.mu.Unlock()
	for _, e := range events {
		t.group.table.Hint(t.address, e.Prefix, e.Stored)
		t.after = max(t.after, e.Seq)
	}
}
