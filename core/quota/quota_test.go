package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/accounts"
	"tarragonhollow.example/tarragonhollow/core/quota"
)

func TestQuota(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quota")
}

var (
	start     = time.Unix(1_000_000, 0)
	tolerance = quota.Tolerance{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}
)

func account(rate, burst float64) *accounts.Account {
	return &accounts.Account{Name: "hotel", Quota: accounts.Quota{Rate: rate, Burst: burst}}
}

// fill lets a limiter's buckets fill over d, with its weight set every 100 ms.
func fill(b *quota.Limiter, from time.Time, d time.Duration, weight float64) time.Time {
	for end := from.Add(d); from.Before(end); from = from.Add(100 * time.Millisecond) {
		b.SetWeight(from, weight)
	}
	return from
}

// takes counts the tokens that can be taken at one moment.
func takes(b *quota.Limiter, now time.Time, a *accounts.Account) int {
	n := 0
	for b.Take(now, a).Verdict == quota.Taken {
		n++
	}
	return n
}

var _ = Describe("A limiter", func() {
	plain := quota.Tolerance{Window: 5 * time.Second}

	It("lets the burst through at once and the rate after it", func() {
		b := quota.NewLimiter(start, "a", plain)
		now := fill(b, start, 10*time.Second, 1)
		a := account(10, 30)
		Expect(takes(b, now, a)).To(Equal(30))
		now = fill(b, now, time.Second, 1)
		Expect(takes(b, now, a)).To(BeNumerically("~", 10, 1))
	})

	It("does not count a request that no target ran", func() {
		b := quota.NewLimiter(start, "a", plain)
		now := fill(b, start, 10*time.Second, 1)
		a := account(1, 1)
		Expect(takes(b, now, a)).To(Equal(1))
		b.Refund(now, a)
		b.Refund(now, a)
		Expect(takes(b, now, a)).To(Equal(1))
	})

	It("applies a quota that is lowered", func() {
		b := quota.NewLimiter(start, "a", plain)
		now := fill(b, start, 20*time.Second, 1)
		Expect(b.Take(now, account(100, 100)).Verdict).To(Equal(quota.Taken))
		Expect(takes(b, now, account(2, 3))).To(Equal(3))
	})

	It("transfers tokens to a participant that runs short, and creates none", func() {
		x, y := quota.NewLimiter(start, "x", plain), quota.NewLimiter(start, "y", plain)
		now := fill(x, start, 10*time.Second, 0.5)
		fill(y, start, 10*time.Second, 0.5)
		a := account(10, 20)
		Expect(takes(x, now, a)).To(Equal(10))
		answer := x.Take(now, a)
		Expect(answer.Verdict).To(Equal(quota.Insufficient))
		got := y.Transfer(now, a, answer.Want)
		Expect(got).To(BeNumerically(">=", 1))
		rest := 0
		if x.TakeWith(now, a, got).Verdict == quota.Taken {
			rest++
		}
		rest += takes(x, now, a) + takes(y, now, a)
		Expect(rest).To(BeNumerically("<=", 10))
		Expect(rest).To(BeNumerically(">=", 9))
	})

	It("does not query the others again for a moment once they had no tokens", func() {
		b := quota.NewLimiter(start, "a", plain)
		now := fill(b, start, 10*time.Second, 1)
		a := account(10, 1)
		takes(b, now, a)
		Expect(b.TakeWith(now, a, 0).Verdict).To(Equal(quota.OverQuota))
		Expect(b.Take(now.Add(20*time.Millisecond), a).Verdict).To(Equal(quota.OverQuota))
		Expect(b.Take(now.Add(110*time.Millisecond), a).Verdict).To(Equal(quota.Taken))
	})

	// An account sends several times its quota. With the same retry delay, all its
	// callers would come back together and all but one would be refused again.
	It("spreads the retries of refused callers over the upcoming tokens", func() {
		b := quota.NewLimiter(start, "a", plain)
		now := fill(b, start, 10*time.Second, 1)
		a := account(10, 5)
		takes(b, now, a)
		b.TakeWith(now, a, 0)
		last := time.Duration(0)
		for range 5 {
			wait := b.Take(now, a).RetryAfter
			Expect(wait - last).To(BeNumerically("~", 100*time.Millisecond, 105*time.Millisecond))
			Expect(wait).To(BeNumerically(">", last))
			last = wait
		}
		for range 100 {
			last = b.Take(now, a).RetryAfter
		}
		Expect(last).To(BeNumerically("<=", 2*time.Second))
	})

	// A leader is frozen and another one takes its place. When it resumes, the other one
	// has given out what it held.
	It("has no tokens after it was frozen", func() {
		b := quota.NewLimiter(start, "a", tolerance)
		now := fill(b, start, 10*time.Second, 0.25)
		Expect(b.Take(now, account(100, 100)).Verdict).To(Equal(quota.Taken))
		now = now.Add(3 * time.Second)
		b.SetWeight(now, 0.25)
		Expect(takes(b, now, account(100, 100))).To(BeZero())
	})

	// Everything loses power and restarts. No account gets its burst again, and none of
	// ordinary size has to wait for its first token.
	It("starts with a share of the excess, once", func() {
		b := quota.NewLimiter(start, "a", tolerance)
		b.SetWeight(start, 0.25)
		Expect(takes(b, start, account(9, 9))).To(Equal(3))
		b.SetWeight(start, 0.01)
		b.SetWeight(start, 0.25)
		Expect(takes(b, start, account(9, 9))).To(BeZero())
	})

	// A hotel sends a request now and then. Its bucket must be full by then, although it
	// was not tracked in between.
	It("treats an account that it never saw as one that has been idle", func() {
		b := quota.NewLimiter(start, "a", plain)
		now := fill(b, start, 10*time.Second, 0.5)
		Expect(takes(b, now, account(4, 8))).To(Equal(4))
	})
})

// fleet is a model of a fleet: daemons in zones, each with a limiter, that follow the
// leader of their zone while they reach it, and are cut off, frozen and restarted. It
// counts the requests of an account that are let through.
type fleet struct {
	random *rand.Rand
	now    time.Time
	zones  int
	// weightFactor multiplies all weights: a fault injected to test the check itself.
	weightFactor float64
	// oneZone is set if all callers of the account are in one zone.
	oneZone bool
	daemons []*modelDaemon
	passed  []time.Time
	refused int
}

type modelDaemon struct {
	limiter *quota.Limiter
	zone    int
	// side is the part of a partitioned network that it is in.
	side      int
	downUntil time.Time
	// frozenUntil is when it resumes.
	frozenUntil time.Time
	follows     int
	vote        quota.Vote
	votes       quota.Votes
}

func newFleet(seed uint64, n, zones int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), now: start, zones: zones, weightFactor: 1}
	for i := range n {
		f.daemons = append(f.daemons, &modelDaemon{zone: i % zones})
		f.begin(i)
	}
	return f
}

func (f *fleet) begin(i int) {
	d := f.daemons[i]
	d.limiter = quota.NewLimiter(f.now, fmt.Sprint("daemon-", i), tolerance)
	d.vote, d.votes = quota.Vote{}, quota.Votes{}
	d.follows = i
}

func (f *fleet) alive(i int) bool {
	d := f.daemons[i]
	return !f.now.Before(d.downUntil) && !f.now.Before(d.frozenUntil)
}

func (f *fleet) reaches(i, j int) bool {
	return f.alive(i) && f.alive(j) && f.daemons[i].side == f.daemons[j].side
}

// elect makes a daemon follow the first daemon of its zone that it reaches.
func (f *fleet) elect(i int) {
	for j, other := range f.daemons {
		if other.zone == f.daemons[i].zone && f.reaches(i, j) {
			f.daemons[i].follows = j
			return
		}
	}
}

// step simulates 50 ms of the fleet. A change of leader is noticed late.
func (f *fleet) step() {
	for i, d := range f.daemons {
		if !f.alive(i) {
			continue
		}
		if f.random.IntN(10) == 0 {
			f.elect(i)
		}
		if f.reaches(i, d.follows) && d.vote.Transfer(f.now, fmt.Sprint(d.follows)) {
			f.daemons[d.follows].votes[fmt.Sprint(i)] = f.now
		}
		d.limiter.SetWeight(f.now, min(1, f.weightFactor*float64(d.votes.Count(f.now))/float64(len(f.daemons))))
	}
	f.now = f.now.Add(50 * time.Millisecond)
}

// injectFault injects a random fault, in some of its calls.
func (f *fleet) injectFault() {
	n := len(f.daemons)
	switch f.random.IntN(120) {
	case 0: // some daemons are cut off, each on its own
		for i := range n {
			if f.random.IntN(3) == 0 {
				f.daemons[i].side = 1 + i
			}
		}
	case 1: // a partition into two halves
		for i := range n {
			f.daemons[i].side = f.random.IntN(2)
		}
	case 2, 3: // the partition heals
		for i := range n {
			f.daemons[i].side = 0
		}
	case 4, 5, 6: // a leader is frozen
		f.daemons[f.random.IntN(f.zones)].frozenUntil = f.now.Add(time.Duration(f.random.IntN(4000)) * time.Millisecond)
	case 7, 8, 9: // a leader is killed
		f.restart(f.random.IntN(f.zones), 1)
	}
}

// restart makes a daemon start again, without state, after some seconds.
func (f *fleet) restart(i int, seconds int) {
	f.daemons[i].downUntil = f.now.Add(time.Duration(seconds) * time.Second)
	f.begin(i)
}

// send sends one request of the account to some daemon.
func (f *fleet) send(a *accounts.Account) {
	i := f.random.IntN(len(f.daemons))
	for f.oneZone && f.daemons[i].zone != 0 {
		i = f.random.IntN(len(f.daemons))
	}
	if !f.alive(i) {
		return
	}
	at, leads := f.daemons[i].follows, false
	if f.reaches(i, at) && f.daemons[at].follows == at {
		leads = true
	} else {
		at = i
	}
	limiter := f.daemons[at].limiter
	answer := limiter.Take(f.now, a)
	if answer.Verdict == quota.Insufficient && leads {
		answer = limiter.TakeWith(f.now, a, f.collect(at, a, answer.Want))
	}
	if answer.Verdict == quota.Taken {
		f.passed = append(f.passed, f.now)
		return
	}
	f.refused++
}

// collect requests tokens from the other leaders; some are lost on the way.
func (f *fleet) collect(at int, a *accounts.Account, want float64) float64 {
	got := 0.0
	for j, other := range f.daemons {
		if j == at || other.follows != j || !f.reaches(at, j) || got >= want {
			continue
		}
		given := other.limiter.Transfer(f.now, a, want-got)
		if f.random.IntN(20) > 0 {
			got += given
		}
	}
	return got
}

// worst returns by how much the fullest window exceeds the bound; 0 or less is within it.
func (f *fleet) worst(a *accounts.Account) float64 {
	bound := (a.Quota.Rate*tolerance.Window.Seconds()+a.Quota.Burst)*(1+tolerance.Overshoot) + tolerance.Slack
	worst, first := -bound, 0
	for i, at := range f.passed {
		for at.Sub(f.passed[first]) >= tolerance.Window {
			first++
		}
		worst = max(worst, float64(i-first+1)-bound)
	}
	return worst
}

// run sends the account's requests at a rate for some seconds.
func (f *fleet) run(a *accounts.Account, perSecond float64, seconds int, faults bool) {
	due := 0.0
	for range seconds * 20 {
		if faults {
			f.injectFault()
		}
		f.step()
		for due += perSecond / 20; due >= 1; due-- {
			f.send(a)
		}
	}
}

// A hotel sends eight times its quota through all daemons, while zones are cut off from
// each other, a third of the daemons is isolated, leaders die, freeze and resume, and for
// a while two daemons of a zone give out tokens. In no window may more requests get
// through than the quota and its tolerance allow.
func TestTheBoundHoldsUnderFaults(t *testing.T) {
	for _, n := range []int{13, 79, 300} {
		for _, rate := range []float64{1.6, 9, 64} {
			for seed := range uint64(6) {
				f := newFleet(seed, n, 4)
				a := account(rate, rate)
				f.run(a, 8*rate, 40, true)
				if over := f.worst(a); over > 0 {
					t.Errorf("%d daemons, rate %g, seed %d: %g over the bound", n, rate, seed, over)
				}
			}
		}
	}
}

// All daemons are killed repeatedly, while an account floods them with requests.
func TestTheBoundHoldsWhenAllStartAgain(t *testing.T) {
	for seed := range uint64(6) {
		f := newFleet(seed, 79, 4)
		a := account(9, 9)
		for range 5 {
			f.run(a, 70, 6, false)
			for i := range f.daemons {
				f.restart(i, 1)
			}
		}
		if over := f.worst(a); over > 0 {
			t.Errorf("seed %d: %g over the bound", seed, over)
		}
	}
}

// The check above must be able to fail: weights that add up to more than one exceed the
// bound.
func TestTheCheckDetectsWeightsThatAddUpToMore(t *testing.T) {
	f := newFleet(1, 79, 4)
	f.weightFactor = 3
	a := account(64, 64)
	f.run(a, 8*64, 40, true)
	if f.worst(a) <= 0 {
		t.Fatal("weights that add up to three are not detected")
	}
}

// An account sends, through one zone alone, at 0.39 and 1.91 times its mean rate in turn;
// the mean is five eighths of its quota's rate. On calm days fewer than one of a thousand
// such requests is refused.
func TestOrdinaryLoadIsNotRefused(t *testing.T) {
	for _, n := range []int{13, 79, 300} {
		for _, rate := range []float64{1.6, 9, 64} {
			f := newFleet(7, n, 4)
			f.oneZone = true
			a := account(rate, rate)
			f.run(a, 0, 10, false)
			for range 10 {
				f.run(a, 0.39*rate/1.6, 3, false)
				f.run(a, 1.91*rate/1.6, 2, false)
			}
			if f.refused*1000 > len(f.passed) {
				t.Errorf("%d daemons, rate %g: %d of %d refused", n, rate, f.refused, len(f.passed))
			}
		}
	}
}

// BenchmarkTake measures the decision on one request among 18,000 accounts.
func BenchmarkTake(b *testing.B) {
	limiter := quota.NewLimiter(start, "a", tolerance)
	list := make([]*accounts.Account, 18_000)
	for i := range list {
		list[i] = &accounts.Account{Name: fmt.Sprint("account-", i), Quota: accounts.Quota{Rate: 10, Burst: 10}}
	}
	for i := 0; b.Loop(); i++ {
		limiter.Take(start, list[i%len(list)])
	}
}

var _ = Describe("A vote", func() {
	// The leader of a zone is cut off and its daemons follow a new one. A vote must have
	// expired at the old one before the new one may count it, however late it arrived.
	It("is held by one participant at a time", func() {
		var v quota.Vote
		votes := quota.Votes{}
		late := start.Add(150 * time.Millisecond)
		Expect(v.Transfer(start, "old")).To(BeTrue())
		votes["d"] = late
		at := start
		for !v.Transfer(at, "new") {
			at = at.Add(10 * time.Millisecond)
		}
		Expect(votes.Count(late)).To(Equal(1))
		Expect(votes.Count(at)).To(BeZero())
		Expect(v.Transfer(at, "old")).To(BeFalse())
	})

	It("is due at its interval, and at once for another participant", func() {
		var v quota.Vote
		Expect(v.Due(start, "a")).To(BeTrue())
		Expect(v.Transfer(start, "a")).To(BeTrue())
		Expect(v.Due(start.Add(quota.VoteInterval-1), "a")).To(BeFalse())
		Expect(v.Due(start.Add(quota.VoteInterval), "a")).To(BeTrue())
		Expect(v.Due(start, "b")).To(BeTrue())
	})

	It("is free at once when its holder returns it", func() {
		var v quota.Vote
		Expect(v.Transfer(start, "old")).To(BeTrue())
		v.Returned("other")
		Expect(v.Transfer(start, "new")).To(BeFalse())
		v.Returned("old")
		Expect(v.Transfer(start, "new")).To(BeTrue())
	})
})
