// Package limits enforces per caller limits that hold over the whole fleet
// without a message per request. It is pure.
//
// One daemon, the arbiter of a caller and profile, shares the limit L out among
// the daemons that have demand; each daemon (Local) admits by its own share and
// tells its demand in periodic, grouped asks. The error is bounded:
//
//   - The shares given out never add up to more than L, because the arbiter
//     gives a daemon at most what L leaves after what every other daemon was
//     granted or, if more, still uses.
//   - A daemon without a share, because it has not asked yet or its share has
//     lapsed, admits up to its base: max(1, L/2n) in flight, or L/2n a second,
//     of n daemons. Such requests go on when a share comes.
//
// So at most L + n*max(1, L/2n) requests are in flight, plus those still running
// that a daemon had admitted before it was cut off from the arbiter for longer
// than GrantLife. While daemons disagree on who is the arbiter (for a moment after
// one came or went) each of the two shares out L. The other way round, a caller
// may be refused below its limit for about two ask periods as its demand moves
// from one daemon to another. For rates each daemon's bucket adds BurstSeconds of its share
// and one request, once.
package limits

import "time"

const (
	// GrantLife is how long a share counts. A daemon counts from when it sent
	// the ask, the arbiter from when it got it, so the daemon's ends first.
	GrantLife = 2 * time.Second
	// FreshGrant is how young a share must be for a refusal to rest on it; an
	// older one is asked for anew first.
	FreshGrant = 100 * time.Millisecond
	// IdleAfter is how long a caller without requests keeps its place.
	IdleAfter = time.Second
	// BurstSeconds is how many seconds of its rate a bucket saves up.
	BurstSeconds = 1.0
	// RetryAfterMs is told with a refusal.
	RetryAfterMs = 200
)

// Key names what is limited.
type Key struct {
	Profile string
	Caller  string
}

// Limit is the fleet's limit; 0 is unbounded.
type Limit struct {
	// InFlight bounds the concurrent requests.
	InFlight int
	// Rate bounds the requests a second.
	Rate float64
}

// None tells whether nothing is limited.
func (l Limit) None() bool { return l.InFlight <= 0 && l.Rate <= 0 }

// Ask is a daemon's word to the arbiter.
type Ask struct {
	Key   Key
	Limit Limit
	// InFlight is what runs at the daemon now.
	InFlight int
	// Wanted is the highest concurrency that callers asked for since the last
	// ask, refused requests included; 0 gives the place up.
	Wanted int
	// Rate is the arrivals a second, refused ones included.
	Rate float64
}

// Grant is a daemon's share.
type Grant struct {
	Key      Key
	InFlight int
	Rate     float64
}
