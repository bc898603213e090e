// Package retry decides whether a failed attempt is followed by another one: the retry
// budget of a target group, the decision itself, and the tracker of requests that crash
// targets. It does no I/O and reads no clock.
package retry

import "time"

const (
	// FloorPerSecond lets a group with little traffic retry at all: a share of almost no
	// requests would be almost no retries.
	FloorPerSecond = 1.0
	// MaxTokens bounds what accumulates in quiet times. It covers the streams that one
	// entry host loses when one target dies (a target's slots divided by the entry hosts,
	// with a margin), and no more.
	MaxTokens = 20.0
)

// Budget is a token bucket that limits retries to a share of the first attempts. Over any
// span with n first attempts and s seconds at most MaxTokens + share*n + FloorPerSecond*s
// retries pass, however many requests fail; a limit per request would multiply the load
// when all of them fail.
type Budget struct {
	share  float64
	tokens float64
	at     time.Time
}

// NewBudget returns a full budget. share is in [0,1].
func NewBudget(share float64, now time.Time) *Budget {
	return &Budget{share: share, tokens: MaxTokens, at: now}
}

// SetShare changes the share from now on.
func (b *Budget) SetShare(share float64) { b.share = share }

// CountFirst counts a first attempt.
func (b *Budget) CountFirst() { b.add(b.share) }

// Take consumes one retry and reports whether there was one.
func (b *Budget) Take(now time.Time) bool {
	if !b.Available(now) {
		return false
	}
	b.tokens--
	return true
}

// Refund returns a retry that was taken and not made.
func (b *Budget) Refund() { b.add(1) }

// Available reports whether a retry is available now.
func (b *Budget) Available(now time.Time) bool {
	if now.After(b.at) {
		b.add(FloorPerSecond * now.Sub(b.at).Seconds())
		b.at = now
	}
	return b.tokens >= 1
}

func (b *Budget) add(tokens float64) { b.tokens = min(MaxTokens, b.tokens+tokens) }
