// Package duty runs the daemon's loops: one goroutine each, which ends when its context is
// done, connected by bounded queues.
package duty

import (
	"context"
	"sync"
)

// Group starts loops and waits for them.
type Group struct {
	ctx context.Context
	wg  sync.WaitGroup
}

// NewGroup returns a group whose loops end when ctx is done.
func NewGroup(ctx context.Context) *Group { return &Group{ctx: ctx} }

// Go runs loop in a goroutine. The loop must return when its context is done.
func (g *Group) Go(loop func(ctx context.Context)) {
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		loop(g.ctx)
	}()
}

// Wait returns when all loops have ended.
func (g *Group) Wait() { g.wg.Wait() }
