package duty

import "context"

// Switch is a duty that runs while it is needed. It is not safe for concurrent use.
type Switch struct {
	// Loop is the duty; it returns when its context is done.
	Loop   func(ctx context.Context)
	cancel context.CancelFunc
	group  *Group
}

// Running tells whether the duty was started and not stopped.
func (s *Switch) Running() bool { return s.cancel != nil }

// Set starts or stops the duty, and tells whether that is a change.
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

// Stop stops the duty and waits for its end.
func (s *Switch) Stop() {
	if !s.Running() {
		return
	}
	s.cancel()
	s.group.Wait()
	s.cancel = nil
}
