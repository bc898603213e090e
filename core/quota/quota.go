// Package quota bounds the requests of each client account over the whole fleet. It is
// pure.
//
// Every participant keeps a token bucket of its own for each account. In a fleet the
// leaders of the availability zones are the participants, and a daemon that reaches no
// leader is one by itself. Each daemon lends its vote to the participant that it follows
// (Vote), and a participant has the weight of the votes that it holds, as a part of all
// daemons: its buckets refill at that part of the rate and hold that part of the burst.
// Who runs short asks the others for tokens; these move, and are never made.
//
// Why the bound holds, in every window of length T, for an account with the rate R and
// the burst B, where an overshoot o and a slack s are allowed:
//
//   - Each vote is held by one participant at a time, so the weights add up to 1 at
//     most, and all buckets together refill at R at most, whoever is cut off from whom,
//     and hold B and a part (1 - f) of the spare e = o (R T + B) + s at most.
//   - A token that moves is taken off before it is sent. A lost one is lost.
//   - A process that starts has no tokens but its weight's part of f e, once, so that a
//     fleet that starts again gives out f e and no burst. A participant that was frozen
//     has none.
//
// So at most R T + B + e requests are let through. A daemon that starts again votes at
// once, though its last vote may still be held; that, and the buckets below one token
// that are rounded, lie within the spare. The property test runs all of it against a
// plain count.
package quota

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragonhollow.example/tarragonhollow/core/accounts"
)

const (
	// frozenAfter is the pause between two settings of the weight after which the
	// participant counts as frozen: the others may have taken its part meanwhile.
	frozenAfter = time.Second
	// ahead is for how long a participant that runs short asks tokens, by the rate of
	// its requests; reserve is for how long it keeps them from others.
	ahead   = 300 * time.Millisecond
	reserve = 200 * time.Millisecond
	// dryFor is how long after the others had nothing they are not asked again.
	dryFor = 50 * time.Millisecond
	// longestRetry bounds the time after which a refused caller is told to return.
	longestRetry = 2 * time.Second
	// startPart is the part f of the spare that is given out at the start. More serves
	// more of what comes while all start again; less lets buckets hold more.
	startPart = 0.6
	// startedFor is how long after its start a process gives its part of the spare.
	startedFor = 3 * time.Second
	// rateOver is the time over which the rate of requests is averaged.
	rateOver = time.Second
	// forgetAfter is how long a full bucket is kept without a request.
	forgetAfter = time.Minute
)

// Terms say by how much a quota may be passed in any window.
type Terms struct {
	// Window is the length of a window, Overshoot a part of what the quota allows in
	// one, Slack a number of requests.
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// spare is how many requests beyond its quota an account may run in a window.
func (t Terms) spare(q accounts.Quota) float64 {
	return t.Overshoot*(q.Rate*t.Window.Seconds()+q.Burst) + t.Slack
}

// Verdict is the word on one request.
type Verdict int

const (
	// Over: the account is over its quota.
	Over Verdict = iota
	// Taken: a token was taken.
	Taken
	// Short: there is no token here, but others may have some.
	Short
)

// Answer is what a request got.
type Answer struct {
	Verdict Verdict
	// Want is how many tokens to ask the others for.
	Want float64
	// RetryAfter tells when a token is free for a refused request.
	RetryAfter time.Duration
}

// Book is a participant's buckets. It is not safe for concurrent use.
type Book struct {
	terms   Terms
	self    string
	started time.Time
	// weight is the part of the fleet that follows, as set at the moment settled.
	weight  float64
	settled time.Time
	// filled is by how many seconds of its whole rate a bucket that nobody asked for has
	// been refilled.
	filled  float64
	buckets map[string]*bucket
}

// bucket holds the tokens of one account.
type bucket struct {
	quota accounts.Quota
	level float64
	// filled is until when the level has been refilled.
	filled time.Time
	// minted is the largest weight whose part of the spare was given.
	minted float64
	// rounding is where the size of a bucket below one token is rounded up.
	rounding float64
	// rate is that of the requests a second, as of asked.
	rate  float64
	asked time.Time
	// dry is until when the others are not asked.
	dry time.Time
	// returns is when the last refused caller was told to return.
	returns time.Time
}

// NewBook returns the book of the participant with the address self.
func NewBook(now time.Time, self string, terms Terms) *Book {
	return &Book{terms: terms, self: self, started: now, settled: now, buckets: map[string]*bucket{}}
}

// SetWeight sets the part of the fleet that follows this participant, 0 to 1. It is
// called several times a second.
func (b *Book) SetWeight(now time.Time, weight float64) {
	for account, c := range b.buckets {
		b.settle(now, c)
		if now.Sub(c.asked) > forgetAfter && c.level >= b.size(c) {
			delete(b.buckets, account)
		}
	}
	b.filled += b.weight * now.Sub(b.settled).Seconds()
	if weight < b.weight {
		b.shrink(weight / b.weight)
	}
	frozen := now.Sub(b.settled) > frozenAfter
	b.weight, b.settled = weight, now
	if frozen {
		b.Frozen()
	}
}

// shrink takes the tokens that go with votes that were lost.
func (b *Book) shrink(to float64) {
	b.filled *= to
	for _, c := range b.buckets {
		c.level *= to
	}
}

// Weight returns the part of the fleet that follows.
func (b *Book) Weight() float64 { return b.weight }

// Frozen takes all tokens.
//
// Failure guarded against: a participant is frozen, its daemons follow another one, and
// it wakes with tokens that have been given out again meanwhile.
func (b *Book) Frozen() {
	b.filled = 0
	for _, c := range b.buckets {
		c.level = 0
	}
}

// Take takes a token for a request of the account.
func (b *Book) Take(now time.Time, account *accounts.Account) Answer {
	c := b.bucket(now, account)
	c.note(now)
	if c.level >= 1 {
		c.level--
		return Answer{Verdict: Taken}
	}
	if now.Before(c.dry) {
		return Answer{Verdict: Over, RetryAfter: b.retryAfter(now, c)}
	}
	want := 1 - c.level + c.rate*ahead.Seconds()
	return Answer{Verdict: Short, Want: min(want, b.room(c))}
}

// Again is Take for a request whose participant has asked the others.
func (b *Book) Again(now time.Time, account *accounts.Account, got float64) Answer {
	c := b.bucket(now, account)
	c.level += min(got, b.room(c))
	if c.level >= 1 {
		c.level--
		return Answer{Verdict: Taken}
	}
	c.dry = now.Add(dryFor)
	return Answer{Verdict: Over, RetryAfter: b.retryAfter(now, c)}
}

// Give gives tokens to another participant, want at most, beyond those that are needed
// here soon.
func (b *Book) Give(now time.Time, account *accounts.Account, want float64) float64 {
	c := b.bucket(now, account)
	given := max(0, min(want, c.level-c.rateAt(now)*reserve.Seconds()))
	c.level -= given
	return given
}

// Back gives back the token of a request that no target ran.
func (b *Book) Back(now time.Time, account *accounts.Account) {
	c := b.bucket(now, account)
	c.level += min(1, b.room(c))
}

// bucket returns the account's bucket as of now.
func (b *Book) bucket(now time.Time, account *accounts.Account) *bucket {
	c := b.buckets[account.Name]
	if c == nil {
		// One that nobody asked for has been filling all the while.
		c = &bucket{filled: b.settled, asked: now, rounding: rounding(b.self, account.Name)}
		b.buckets[account.Name] = c
	}
	if c.quota != account.Quota {
		b.requota(c, account.Quota)
	}
	b.settle(now, c)
	return c
}

// requota puts a quota in force. A bucket that bounded nothing so far holds what has come
// in unused; one that did keeps what it has, up to its new size.
func (b *Book) requota(c *bucket, q accounts.Quota) {
	known := c.quota.Bounded()
	c.quota = q
	if !known {
		c.level = b.filled * q.Rate
	}
	c.level = min(c.level, b.size(c))
}

// rounding spreads evenly over participants and accounts: a size of a tenth of a token
// is one token at a tenth of the participants.
func rounding(self, account string) float64 {
	return float64(xxhash.Sum64String(self+"\x00"+account)>>11) / (1 << 53)
}

// settle refills a bucket, and gives it its part of the spare once.
func (b *Book) settle(now time.Time, c *bucket) {
	if b.weight > c.minted && now.Sub(b.started) < startedFor {
		c.level += (b.weight - c.minted) * b.terms.spare(c.quota) * startPart
		c.minted = b.weight
	}
	refill := b.weight * c.quota.Rate * max(0, now.Sub(c.filled).Seconds())
	c.level += min(refill, max(0, b.size(c)-c.level))
	c.filled = now
}

// size is how many tokens the bucket holds.
func (b *Book) size(c *bucket) float64 {
	size := b.weight * (c.quota.Burst + b.terms.spare(c.quota)*(1-startPart))
	if size < 1 {
		return math.Floor(size + c.rounding)
	}
	return size
}

// room is how many tokens may come from elsewhere; one is always used at once.
func (b *Book) room(c *bucket) float64 { return max(0, max(1, b.size(c))-c.level) }

// retryAfter spreads refused callers over the tokens to come.
//
// Load pattern answered: an account sends several times its quota. Told the same moment
// all its callers would meet again at the one token that is free then.
func (b *Book) retryAfter(now time.Time, c *bucket) time.Duration {
	rate := b.weight * c.quota.Rate
	if rate <= 0 {
		return longestRetry
	}
	pause := time.Duration(float64(time.Second) / rate)
	first := now.Add(time.Duration((1 - c.level) * float64(pause)))
	if next := c.returns.Add(pause); next.After(first) {
		first = next
	}
	if latest := now.Add(longestRetry); first.After(latest) {
		first = latest
	}
	c.returns = first
	return first.Sub(now)
}

// note counts a request.
func (c *bucket) note(now time.Time) {
	c.rate = c.rateAt(now) + 1/rateOver.Seconds()
	c.asked = now
}

// rateAt is the rate of requests as of now.
func (c *bucket) rateAt(now time.Time) float64 {
	return c.rate * math.Exp(-max(0, now.Sub(c.asked).Seconds())/rateOver.Seconds())
}
