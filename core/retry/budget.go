// Package retry decides whether a failed attempt is followed by another one:
// the retry budget of a target group, the decision itself, and the tracker of
// requests that crash targets. It is pure.
package retry

import "time"

const (
	// FloorPerSecond lets a quiet group retry at all: a share of nearly nothing
	// would be nothing.
	FloorPerSecond = 1.0
	// MaxTokens bounds what a quiet time saves up. It covers the streams one
	// entry host loses when one target dies (a target's slots over the entry
	// hosts, with room), and no more.
	MaxTokens = 20.0
)

// Budget is a token bucket that bounds retries by a share of the first
// attempts. Over any span with n first attempts and s seconds at most
// MaxTokens + share*n + FloorPerSecond*s retries pass, however many requests
// fail; a count per request would multiply the load when all of them fail.
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

// First counts a first attempt.
func (b *Budget) First() { b.add(b.share) }

// Take spends one retry if there is one.
func (b *Budget) Take(now time.Time) bool {
	if !b.Left(now) {
		return false
	}
	b.tokens--
	return true
}

// Left tells whether a retry could be had now.
func (b *Budget) Left(now time.Time) bool {
	if now.After(b.at) {
		b.add(FloorPerSecond * now.Sub(b.at).Seconds())
		b.at = now
	}
	return b.tokens >= 1
}

func (b *Budget) add(tokens float64) { b.tokens = min(MaxTokens, b.tokens+tokens) }
