package duty

import "context"

// Switch starts and stops a loop as needed. It is not safe for concurrent use.
type Switch struct {
	// Loop is the loop to run; it must return when its context is done.
	Loop   func(ctx context.Context)
	cancel context.CancelFunc
	group  *Group
}

// Running reports whether the loop was started and not stopped since.
func (s *Switch) Running() bool { return s.cancel != nil }

// Set starts the loop if on is true and stops it if not, and reports whether that is a
// change. The loop's context is derived from ctx.
func (s *Switch) Set(ctx context.Context, on bool) (changed bool) {
	if on == s.Running() {
		return false
	}
	if !on {
		s.Stop()
		return true
	}
	ctx, s.cancel = context.WithCancel(ctx)
	s.group = NewGroup(ctx)
	s.group.Go(s.Loop)
	return true
}

// Stop stops the loop and waits until it has returned. It does nothing if the loop isn't
// running.
func (s *Switch) Stop() {
	if !s.Running() {
		return
	}
	s.cancel()
	s.group.Wait()
	s.cancel = nil
}
