// Package quota limits the requests of each client account over the whole fleet. It does
// no I/O and reads no clock.
//
// Every participant keeps its own token bucket for each account. In a fleet the leaders
// of the availability zones are the participants, and a daemon that reaches no leader is
// a participant on its own. Each daemon transfers its vote to the participant that it
// follows (Vote). The weight of a participant is the share of all daemons whose votes it
// holds: its buckets refill at that share of the rate and hold that share of the burst. A
// participant that runs short requests tokens from the others; these are transferred,
// never created.
//
// Why the bound holds, in every window of length T, for an account with the rate R and
// the burst B, where an overshoot o and a slack s are allowed:
//
//   - Each vote is held by one participant at a time, so the weights add up to 1 at most,
//     and all buckets together refill at R at most, however the network is partitioned,
//     and hold B and a part (1 - f) of the excess e = o (R T + B) + s at most.
//   - A token that is transferred is deducted before it is sent. One lost on the way
//     stays lost.
//   - A process that starts has no tokens but its weight's share of f e, once, so that a
//     fleet that restarts gives out f e and no burst. A participant that was frozen has
//     none.
//
// So at most R T + B + e requests are let through. A daemon that restarts votes at once,
// though its last vote may still be held; that, and the rounding of buckets below one
// token, stay within the excess. The property test checks all of this against a plain
// count.
package quota

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragonhollow.example/tarragonhollow/core/accounts"
)

const (
	// frozenAfter is the pause between two calls of SetWeight after which the participant
	// counts as frozen: the others may have taken over its share meanwhile.
	frozenAfter = time.Second
	// requestAhead is how long the tokens that a participant requests when it runs short
	// should last at its request rate; reserveFor is for how long it keeps tokens of its
	// own from others.
	requestAhead = 300 * time.Millisecond
	reserveFor   = 200 * time.Millisecond
	// peersDryFor is how long the others are not queried again after they had no tokens.
	peersDryFor = 50 * time.Millisecond
	// maxRetryAfter bounds the retry delay given to a refused caller.
	maxRetryAfter = 2 * time.Second
	// startShare is the part f of the excess that is given out at the start. A larger
	// part serves more of the requests that arrive while all processes restart; a smaller
	// one lets buckets hold more.
	startShare = 0.6
	// startupPeriod is how long after its start a process gives out its share of the
	// excess.
	startupPeriod = 3 * time.Second
	// rateWindow is the time over which the rate of requests is averaged.
	rateWindow = time.Second
	// idleTimeout is how long a full bucket is kept without a request.
	idleTimeout = time.Minute
)

// Tolerance bounds by how much a quota may be exceeded in any window.
type Tolerance struct {
	// Window is the length of a window, Overshoot a fraction of what the quota allows in
	// one, Slack a number of requests.
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// excess returns how many requests beyond its quota an account may run in a window.
func (t Tolerance) excess(q accounts.Quota) float64 {
	return t.Overshoot*(q.Rate*t.Window.Seconds()+q.Burst) + t.Slack
}

// Verdict is the decision on one request.
type Verdict int

const (
	// OverQuota: the account is over its quota.
	OverQuota Verdict = iota
	// Taken: a token was taken.
	Taken
	// Insufficient: there is no token here, but others may have some.
	Insufficient
)

// Decision is the result for one request.
type Decision struct {
	Verdict Verdict
	// Want is how many tokens to request from the others.
	Want float64
	// RetryAfter is how long a refused caller should wait for a token.
	RetryAfter time.Duration
}

// Limiter holds a participant's buckets. It is not safe for concurrent use.
type Limiter struct {
	tolerance Tolerance
	self      string
	started   time.Time
	// weight is the share of the fleet that follows this participant, as set at
	// weightSetAt.
	weight      float64
	weightSetAt time.Time
	// idleRefill is by how many seconds of its full rate a bucket that was never used has
	// been refilled.
	idleRefill float64
	buckets    map[string]*bucket
}

// bucket holds the tokens of one account.
type bucket struct {
	quota accounts.Quota
	level float64
	// refilledAt is the time up to which level has been refilled.
	refilledAt time.Time
	// excessWeight is the largest weight whose share of the excess was added.
	excessWeight float64
	// rounding is added to a size below one token before it is rounded down.
	rounding float64
	// rate is the number of requests a second, as of lastRequest.
	rate        float64
	lastRequest time.Time
	// dryUntil is when the others may be queried again.
	dryUntil time.Time
	// lastRetryAt is the time at which the last refused caller was told to retry.
	lastRetryAt time.Time
}

// NewLimiter returns the limiter of the participant with the address self.
func NewLimiter(now time.Time, self string, tolerance Tolerance) *Limiter {
	return &Limiter{tolerance: tolerance, self: self, started: now, weightSetAt: now, buckets: map[string]*bucket{}}
}

// SetWeight sets the share of the fleet that follows this participant, 0 to 1. It is
// called several times a second.
func (l *Limiter) SetWeight(now time.Time, weight float64) {
	for account, c := range l.buckets {
		l.refill(now, c)
		if now.Sub(c.lastRequest) > idleTimeout && c.level >= l.size(c) {
			delete(l.buckets, account)
		}
	}
	l.idleRefill += l.weight * now.Sub(l.weightSetAt).Seconds()
	if weight < l.weight {
		l.scaleDown(weight / l.weight)
	}
	frozen := now.Sub(l.weightSetAt) > frozenAfter
	l.weight, l.weightSetAt = weight, now
	if frozen {
		l.DiscardTokens()
	}
}

// scaleDown removes the tokens that belong to votes that were lost: it multiplies what is
// held by factor.
func (l *Limiter) scaleDown(factor float64) {
	l.idleRefill *= factor
	for _, c := range l.buckets {
		c.level *= factor
	}
}

// Weight returns the share of the fleet that follows this participant.
func (l *Limiter) Weight() float64 { return l.weight }

// DiscardTokens removes all tokens.
//
// Failure guarded against: a participant is frozen, its daemons follow another one, and
// it resumes with tokens that have been given out again meanwhile.
func (l *Limiter) DiscardTokens() {
	l.idleRefill = 0
	for _, c := range l.buckets {
		c.level = 0
	}
}

// Take takes a token for a request of the account.
func (l *Limiter) Take(now time.Time, account *accounts.Account) Decision {
	c := l.bucket(now, account)
	c.countRequest(now)
	if c.level >= 1 {
		c.level--
		return Decision{Verdict: Taken}
	}
	if now.Before(c.dryUntil) {
		return Decision{Verdict: OverQuota, RetryAfter: l.retryAfter(now, c)}
	}
	want := 1 - c.level + c.rate*requestAhead.Seconds()
	return Decision{Verdict: Insufficient, Want: min(want, l.headroom(c))}
}

// TakeWith is Take for a request whose participant has requested tokens from the others;
// got is how many it received.
func (l *Limiter) TakeWith(now time.Time, account *accounts.Account, got float64) Decision {
	c := l.bucket(now, account)
	c.level += min(got, l.headroom(c))
	if c.level >= 1 {
		c.level--
		return Decision{Verdict: Taken}
	}
	c.dryUntil = now.Add(peersDryFor)
	return Decision{Verdict: OverQuota, RetryAfter: l.retryAfter(now, c)}
}

// Transfer removes tokens for another participant, want at most, beyond those that are
// needed here soon, and returns how many.
func (l *Limiter) Transfer(now time.Time, account *accounts.Account, want float64) float64 {
	c := l.bucket(now, account)
	given := max(0, min(want, c.level-c.rateAt(now)*reserveFor.Seconds()))
	c.level -= given
	return given
}

// Refund returns the token of a request that no target ran.
func (l *Limiter) Refund(now time.Time, account *accounts.Account) {
	c := l.bucket(now, account)
	c.level += min(1, l.headroom(c))
}

// bucket returns the account's bucket, refilled up to now.
func (l *Limiter) bucket(now time.Time, account *accounts.Account) *bucket {
	c := l.buckets[account.Name]
	if c == nil {
		// A bucket that was never used has been refilling all the time.
		c = &bucket{refilledAt: l.weightSetAt, lastRequest: now, rounding: rounding(l.self, account.Name)}
		l.buckets[account.Name] = c
	}
	if c.quota != account.Quota {
		l.applyQuota(c, account.Quota)
	}
	l.refill(now, c)
	return c
}

// applyQuota puts a quota in force. A bucket without a quota so far holds what has
// accumulated unused; one with a quota keeps its tokens, up to its new size.
func (l *Limiter) applyQuota(c *bucket, q accounts.Quota) {
	known := c.quota.Bounded()
	c.quota = q
	if !known {
		c.level = l.idleRefill * q.Rate
	}
	c.level = min(c.level, l.size(c))
}

// rounding returns a fraction in [0,1) that is evenly distributed over participants and
// accounts: a size of a tenth of a token is one token at a tenth of the participants.
func rounding(self, account string) float64 {
	return float64(xxhash.Sum64String(self+"\x00"+account)>>11) / (1 << 53)
}

// refill refills a bucket, and adds its share of the excess once.
func (l *Limiter) refill(now time.Time, c *bucket) {
	if l.weight > c.excessWeight && now.Sub(l.started) < startupPeriod {
		c.level += (l.weight - c.excessWeight) * l.tolerance.excess(c.quota) * startShare
		c.excessWeight = l.weight
	}
	added := l.weight * c.quota.Rate * max(0, now.Sub(c.refilledAt).Seconds())
	c.level += min(added, max(0, l.size(c)-c.level))
	c.refilledAt = now
}

// size returns how many tokens the bucket can hold.
func (l *Limiter) size(c *bucket) float64 {
	size := l.weight * (c.quota.Burst + l.tolerance.excess(c.quota)*(1-startShare))
	if size < 1 {
		return math.Floor(size + c.rounding)
	}
	return size
}

// headroom returns how many tokens may be added from elsewhere; one always may, as it is
// used at once.
func (l *Limiter) headroom(c *bucket) float64 { return max(0, max(1, l.size(c))-c.level) }

// retryAfter spreads refused callers over the upcoming tokens.
//
// Load pattern: an account sends several times its quota. With the same retry delay, all
// its callers would compete for the one token that is free then.
func (l *Limiter) retryAfter(now time.Time, c *bucket) time.Duration {
	rate := l.weight * c.quota.Rate
	if rate <= 0 {
		return maxRetryAfter
	}
	pause := time.Duration(float64(time.Second) / rate)
	first := now.Add(time.Duration((1 - c.level) * float64(pause)))
	if next := c.lastRetryAt.Add(pause); next.After(first) {
		first = next
	}
	if latest := now.Add(maxRetryAfter); first.After(latest) {
		first = latest
	}
	c.lastRetryAt = first
	return first.Sub(now)
}

// countRequest adds a request to the rate.
func (c *bucket) countRequest(now time.Time) {
	c.rate = c.rateAt(now) + 1/rateWindow.Seconds()
	c.lastRequest = now
}

// rateAt returns the rate of requests as of now.
func (c *bucket) rateAt(now time.Time) float64 {
	return c.rate * math.Exp(-max(0, now.Sub(c.lastRequest).Seconds())/rateWindow.Seconds())
}
