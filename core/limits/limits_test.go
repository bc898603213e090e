package limits

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "7")
	os.Exit(m.Run())
}

var (
	epoch = time.Unix(1_000_000, 0)
	key   = Key{Profile: "orders", Caller: "hotel"}
)

// fleet is n daemons and one arbiter. running is the naive model: the number of running
// requests per daemon.
type fleet struct {
	locals  []*Local
	arbiter *Arbiter
	running []int
	lastAsk []time.Time
}

func newFleet(n int) *fleet {
	f := &fleet{arbiter: NewArbiter(), running: make([]int, n), lastAsk: make([]time.Time, n)}
	for range n {
		f.locals = append(f.locals, NewLocal())
	}
	return f
}

// ask sends daemon i's asks; if lost is true, the answer is dropped.
func (f *fleet) ask(now time.Time, i int, lost bool) {
	for _, a := range f.locals[i].Asks(now) {
		g := f.arbiter.Allocate(now, fmt.Sprint(i), a)
		f.lastAsk[i] = now
		if !lost {
			f.locals[i].ApplyGrant(now, g)
		}
	}
}

func (f *fleet) total() int {
	n := 0
	for _, r := range f.running {
		n += r
	}
	return n
}

// A caller sends requests to all daemons at arbitrary times while asks and their answers
// are lost. The total number of running requests must stay within the stated bound: L plus
// each daemon's base, as long as the arbiter receives an ask of each daemon within
// GrantTTL.
func TestInFlightStaysInTheStatedBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "daemons")
		limit := Limit{InFlight: rapid.IntRange(1, 30).Draw(t, "limit")}
		f := newFleet(n)
		now := epoch
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, n-1).Draw(t, "daemon")
			switch rapid.SampledFrom([]string{"acquire", "flood", "release", "drain", "ask", "ask", "lose"}).Draw(t, "op") {
			case "acquire":
				if f.locals[i].Acquire(now, key, limit, n, true) == Admitted {
					f.running[i]++
				}
			case "flood":
				f.running[i] += f.flood(now, i, limit)
			case "release":
				f.release(now, i, 1)
			case "drain":
				f.release(now, i, f.running[i])
			case "ask":
				f.ask(now, i, false)
			case "lose":
				f.ask(now, i, true)
			}
			f.renewAll(now, rapid.Bool().Draw(t, "answer lost"))
			if bound := limit.InFlight + n*max(1, limit.InFlight/(2*n)); f.total() > bound {
				t.Fatalf("%d run, the bound is %d: %v", f.total(), bound, f.running)
			}
		}
	})
}

// release ends up to n requests of daemon i.
func (f *fleet) release(now time.Time, i, n int) {
	for range min(n, f.running[i]) {
		f.running[i]--
		f.locals[i].Release(now, key)
	}
}

// renewAll lets the daemons ask whose shares are close to expiring.
func (f *fleet) renewAll(now time.Time, lost bool) {
	for i := range f.locals {
		if now.Sub(f.lastAsk[i]) > GrantTTL-500*time.Millisecond {
			f.ask(now, i, lost)
		}
	}
}

// A caller that is at its limit at one daemon and then moves to another must soon get its
// whole limit there, but never more than the limit in total.
func TestSharesFollowTheDemand(t *testing.T) {
	f := newFleet(2)
	limit := Limit{InFlight: 10}
	admitted := f.flood(epoch, 0, limit)
	f.ask(epoch, 0, false)
	admitted += f.flood(epoch, 0, limit)
	if admitted != 10 {
		t.Fatalf("%d admitted at the only daemon with demand, want 10", admitted)
	}
	now := epoch.Add(IdleAfter * 3)
	for range 10 {
		f.locals[0].Release(epoch, key)
	}
	f.ask(now, 0, false)
	f.flood(now, 1, limit)
	f.ask(now, 1, false)
	f.flood(now, 1, limit)
	if got := f.locals[1].keys[key].inFlight; got != 10 {
		t.Fatalf("%d run at the daemon with all the demand, want 10", got)
	}
}

// A caller's long requests fill its limit through one daemon; then it sends requests to
// another. The capacity that the running requests use must not be granted a second time,
// although the first daemon's share has been lowered meanwhile.
func TestRunningRequestsAreNotGrantedTwice(t *testing.T) {
	f := newFleet(2)
	limit := Limit{InFlight: 10}
	f.flood(epoch, 0, limit)
	f.ask(epoch, 0, false)
	f.flood(epoch, 0, limit)
	base := f.flood(epoch, 1, limit)
	for _, i := range []int{0, 1, 0, 1} {
		f.ask(epoch, i, false)
		base += f.flood(epoch, 1, limit)
	}
	if base > limit.InFlight/4 {
		t.Fatalf("%d admitted beside the 10 that run, the base is %d", base, limit.InFlight/4)
	}
}

func (f *fleet) flood(now time.Time, i int, limit Limit) int {
	admitted := 0
	for range 50 {
		if f.locals[i].Acquire(now, key, limit, len(f.locals), false) == Admitted {
			admitted++
		}
	}
	return admitted
}

// A rate limit holds over the fleet: with all daemons flooded, no more than rate x time
// requests are admitted, plus each bucket's initial token and burst.
func TestRateStaysInTheStatedBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "daemons")
		limit := Limit{Rate: float64(rapid.IntRange(1, 40).Draw(t, "rate"))}
		f := newFleet(n)
		now, admitted := epoch, 0
		for step := range 100 {
			now = now.Add(50 * time.Millisecond)
			i := rapid.IntRange(0, n-1).Draw(t, "daemon")
			if f.locals[i].Acquire(now, key, limit, n, false) == Admitted {
				admitted++
				f.locals[i].Release(now, key)
			}
			if step%4 == 0 {
				for j := range n {
					f.ask(now, j, false)
				}
			}
		}
		bound := limit.Rate*(5+BurstSeconds) + float64(n) + limit.Rate/2
		if float64(admitted) > bound {
			t.Fatalf("%d admitted, the bound is %.1f", admitted, bound)
		}
	})
}
