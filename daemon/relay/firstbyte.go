package relay

import (
	"time"

	"tarragonhollow.example/tarragonhollow/core/retry"
	"tarragonhollow.example/tarragonhollow/daemon/places"
)

// firstByteTimeout returns how long a request in the slot waits for the first byte of its
// answer.
func (r *Relay) firstByteTimeout(group string, slot places.Slot) time.Duration {
	if slot.Running >= slot.Slots {
		return retry.LongestWait // it may queue
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.groupFirstByteStats(group).MaxWait()
}

// usualFirstByte returns the time within which nearly all answers of a group begin, 0 for
// unknown.
func (r *Relay) usualFirstByte(group string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.groupFirstByteStats(group).Usual()
}

// noteFirstByte records the time to the first byte of an answer.
func (r *Relay) noteFirstByte(group string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.groupFirstByteStats(group).Answered(took)
}

// noteFirstByteTimeout records an attempt that was given up after timeout without a first
// byte.
func (r *Relay) noteFirstByteTimeout(group string, timeout time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.groupFirstByteStats(group).TimedOut(timeout)
}

// groupFirstByteStats returns the first-byte statistics of a target group. The caller holds
// r.mu.
func (r *Relay) groupFirstByteStats(group string) *retry.WaitEstimator {
	s := r.firstByteStats[group]
	if s == nil {
		s = &retry.WaitEstimator{}
		r.firstByteStats[group] = s
	}
	return s
}
