// Package limits enforces per-caller limits that hold over the whole fleet without a
// message per request. It does no I/O.
//
// One daemon, the arbiter of a caller and profile, divides the limit L among the daemons
// that have demand. Each daemon (Local) admits requests within its own share and reports
// its demand in periodic, batched asks. The error is bounded:
//
//   - The granted shares never add up to more than L, because the arbiter grants a daemon
//     at most what remains of L after what every other daemon was granted or, if more,
//     still uses.
//   - A daemon without a share, because it has not asked yet or its share has expired,
//     admits up to its base: max(1, L/2n) in flight, or L/2n per second, with n daemons.
//     Such requests keep running when a share arrives.
//
// So at most L + n*max(1, L/2n) requests are in flight, plus those still running that a
// daemon had admitted before it lost its connection to the arbiter for longer than
// GrantTTL. While daemons disagree on which daemon is the arbiter (briefly after a daemon
// joined or left), each of the two arbiters grants L. Conversely, a caller may be refused
// below its limit for about two ask periods while its demand moves from one daemon to
// another. For rates, each daemon's bucket adds BurstSeconds of its share and one request,
// once.
package limits

import "time"

const (
	// GrantTTL is how long a share is valid. A daemon measures it from when it sent the
	// ask, the arbiter from when it received the ask, so it ends at the daemon first.
	GrantTTL = 2 * time.Second
	// FreshGrant is the maximum age of a share for refusing a request; an older share is
	// renewed first.
	FreshGrant = 100 * time.Millisecond
	// IdleAfter is how long a caller without requests keeps its share.
	IdleAfter = time.Second
	// BurstSeconds is the capacity of a token bucket in seconds of its rate.
	BurstSeconds = 1.0
	// RetryAfterMs is the retry delay that a refusal suggests, in milliseconds.
	RetryAfterMs = 200
)

// Key identifies a limit: a caller within a profile.
type Key struct {
	Profile string
	Caller  string
}

// Limit is a limit for the whole fleet; 0 is unbounded.
type Limit struct {
	// InFlight bounds the concurrent requests.
	InFlight int
	// Rate bounds the requests per second.
	Rate float64
}

// None reports whether nothing is limited.
func (l Limit) None() bool { return l.InFlight <= 0 && l.Rate <= 0 }

// Ask is a daemon's report of its demand to the arbiter, which answers with a Grant.
type Ask struct {
	Key   Key
	Limit Limit
	// InFlight is the number of requests that run at the daemon now.
	InFlight int
	// Wanted is the highest concurrency that was requested since the last ask, refused
	// requests included; 0 with InFlight 0 releases the share.
	Wanted int
	// Rate is the number of arrivals per second, refused ones included.
	Rate float64
}

// Grant is a daemon's share.
type Grant struct {
	Key      Key
	InFlight int
	Rate     float64
}
