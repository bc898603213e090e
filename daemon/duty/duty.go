// Package duty runs the daemon's duties: one named goroutine each, one exit
// path, joined by bounded rings.
package duty

import (
	"context"
	"sync"
)

// Group starts duties and waits for them.
type Group struct {
	ctx context.Context
	wg  sync.WaitGroup
}

// NewGroup returns a group whose duties end when ctx is done.
func NewGroup(ctx context.Context) *Group { return &Group{ctx: ctx} }

// Go runs loop as a duty. The loop returns when its context is done.
func (g *Group) Go(loop func(ctx context.Context)) {
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		loop(g.ctx)
	}()
}

// Wait returns when all duties have ended.
func (g *Group) Wait() { g.wg.Wait() }
