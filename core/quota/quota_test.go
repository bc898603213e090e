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
	start = time.Unix(1_000_000, 0)
	terms = quota.Terms{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}
)

func account(rate, burst float64) *accounts.Account {
	return &accounts.Account{Name: "hotel", Quota: accounts.Quota{Rate: rate, Burst: burst}}
}

// fill lets a book's buckets fill over d, its weight told as often as it is.
func fill(b *quota.Book, from time.Time, d time.Duration, weight float64) time.Time {
	for end := from.Add(d); from.Before(end); from = from.Add(100 * time.Millisecond) {
		b.SetWeight(from, weight)
	}
	return from
}

// takes counts the tokens that are taken at one moment.
func takes(b *quota.Book, now time.Time, a *accounts.Account) int {
	n := 0
	for b.Take(now, a).Verdict == quota.Taken {
		n++
	}
	return n
}

var _ = Describe("A book of quotas", func() {
	plain := quota.Terms{Window: 5 * time.Second}

	It("lets the burst through at once and the rate after it", func() {
		b := quota.NewBook(start, "a", plain)
		now := fill(b, start, 10*time.Second, 1)
		a := account(10, 30)
		Expect(takes(b, now, a)).To(Equal(30))
		now = fill(b, now, time.Second, 1)
		Expect(takes(b, now, a)).To(BeNumerically("~", 10, 1))
	})

	It("counts a request that no target ran not at all", func() {
		b := quota.NewBook(start, "a", plain)
		now := fill(b, start, 10*time.Second, 1)
		a := account(1, 1)
		Expect(takes(b, now, a)).To(Equal(1))
		b.Back(now, a)
		b.Back(now, a)
		Expect(takes(b, now, a)).To(Equal(1))
	})

	It("follows a limit that falls", func() {
		b := quota.NewBook(start, "a", plain)
		now := fill(b, start, 20*time.Second, 1)
		Expect(b.Take(now, account(100, 100)).Verdict).To(Equal(quota.Taken))
		Expect(takes(b, now, account(2, 3))).To(Equal(3))
	})

	It("moves tokens to who runs short, and makes none", func() {
		x, y := quota.NewBook(start, "x", plain), quota.NewBook(start, "y", plain)
		now := fill(x, start, 10*time.Second, 0.5)
		fill(y, start, 10*time.Second, 0.5)
		a := account(10, 20)
		Expect(takes(x, now, a)).To(Equal(10))
		answer := x.Take(now, a)
		Expect(answer.Verdict).To(Equal(quota.Short))
		got := y.Give(now, a, answer.Want)
		Expect(got).To(BeNumerically(">=", 1))
		rest := 0
		if x.Again(now, a, got).Verdict == quota.Taken {
			rest++
		}
		rest += takes(x, now, a) + takes(y, now, a)
		Expect(rest).To(BeNumerically("<=", 10))
		Expect(rest).To(BeNumerically(">=", 9))
	})

	It("asks the others no more for a moment once they had nothing", func() {
		b := quota.NewBook(start, "a", plain)
		now := fill(b, start, 10*time.Second, 1)
		a := account(10, 1)
		takes(b, now, a)
		Expect(b.Again(now, a, 0).Verdict).To(Equal(quota.Over))
		Expect(b.Take(now.Add(20*time.Millisecond), a).Verdict).To(Equal(quota.Over))
		Expect(b.Take(now.Add(110*time.Millisecond), a).Verdict).To(Equal(quota.Taken))
	})

	// An account sends several times its quota. All its callers, told the same moment,
	// would come back together and be refused again but for one.
	It("spreads the return of refused callers over the tokens to come", func() {
		b := quota.NewBook(start, "a", plain)
		now := fill(b, start, 10*time.Second, 1)
		a := account(10, 5)
		takes(b, now, a)
		b.Again(now, a, 0)
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

	// A leader is frozen and another one takes its place. When it wakes, what it held
	// has been given out by the other one.
	It("has no tokens after it was frozen", func() {
		b := quota.NewBook(start, "a", terms)
		now := fill(b, start, 10*time.Second, 0.25)
		Expect(b.Take(now, account(100, 100)).Verdict).To(Equal(quota.Taken))
		now = now.Add(3 * time.Second)
		b.SetWeight(now, 0.25)
		Expect(takes(b, now, account(100, 100))).To(BeZero())
	})

	// Everything loses power and starts again. No account gets its burst anew, and none
	// of ordinary size has to wait for its first token.
	It("begins with a part of the spare, once", func() {
		b := quota.NewBook(start, "a", terms)
		b.SetWeight(start, 0.25)
		Expect(takes(b, start, account(9, 9))).To(Equal(3))
		b.SetWeight(start, 0.01)
		b.SetWeight(start, 0.25)
		Expect(takes(b, start, account(9, 9))).To(BeZero())
	})

	// A hotel sends a request now and then. Its bucket is full when it comes, though
	// nobody counted it all the while.
	It("knows an account that it never saw as one that has not sent", func() {
		b := quota.NewBook(start, "a", plain)
		now := fill(b, start, 10*time.Second, 0.5)
		Expect(takes(b, now, account(4, 8))).To(Equal(4))
	})
})

// fleet is a model of a fleet: daemons in zones, each with a book, that follow the
// leader of their zone as far as they reach it, while they are cut off, frozen and
// restarted. It counts what an account gets through.
type fleet struct {
	random *rand.Rand
	now    time.Time
	zones  int
	// swell is a fault for the check itself: by it all weights are multiplied.
	swell float64
	// oneZone tells that all callers of the account are in one zone.
	oneZone bool
	daemons []*modelDaemon
	passed  []time.Time
	refused int
}

type modelDaemon struct {
	book *quota.Book
	zone int
	// side is the part of a cut network in which it is.
	side     int
	downTill time.Time
	// iceTill is until when it is frozen.
	iceTill time.Time
	follows int
	vote    quota.Vote
	votes   quota.Votes
}

func newFleet(seed uint64, n, zones int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), now: start, zones: zones, swell: 1}
	for i := range n {
		f.daemons = append(f.daemons, &modelDaemon{zone: i % zones})
		f.begin(i)
	}
	return f
}

func (f *fleet) begin(i int) {
	d := f.daemons[i]
	d.book = quota.NewBook(f.now, fmt.Sprint("daemon-", i), terms)
	d.vote, d.votes = quota.Vote{}, quota.Votes{}
	d.follows = i
}

func (f *fleet) lives(i int) bool {
	d := f.daemons[i]
	return !f.now.Before(d.downTill) && !f.now.Before(d.iceTill)
}

func (f *fleet) reaches(i, j int) bool {
	return f.lives(i) && f.lives(j) && f.daemons[i].side == f.daemons[j].side
}

// elect has a daemon follow the first one of its zone that it reaches.
func (f *fleet) elect(i int) {
	for j, other := range f.daemons {
		if other.zone == f.daemons[i].zone && f.reaches(i, j) {
			f.daemons[i].follows = j
			return
		}
	}
}

// step lets the fleet do what it does every 50 ms. Who leads is noticed late.
func (f *fleet) step() {
	for i, d := range f.daemons {
		if !f.lives(i) {
			continue
		}
		if f.random.IntN(10) == 0 {
			f.elect(i)
		}
		if f.reaches(i, d.follows) && d.vote.Lend(f.now, fmt.Sprint(d.follows)) {
			f.daemons[d.follows].votes[fmt.Sprint(i)] = f.now
		}
		d.book.SetWeight(f.now, min(1, f.swell*float64(d.votes.Count(f.now))/float64(len(f.daemons))))
	}
	f.now = f.now.Add(50 * time.Millisecond)
}

// trouble strikes now and then.
func (f *fleet) trouble() {
	n := len(f.daemons)
	switch f.random.IntN(120) {
	case 0: // a part of the daemons is cut off, each by itself
		for i := range n {
			if f.random.IntN(3) == 0 {
				f.daemons[i].side = 1 + i
			}
		}
	case 1: // two halves
		for i := range n {
			f.daemons[i].side = f.random.IntN(2)
		}
	case 2, 3: // the network is whole
		for i := range n {
			f.daemons[i].side = 0
		}
	case 4, 5, 6: // a leader is frozen
		f.daemons[f.random.IntN(f.zones)].iceTill = f.now.Add(time.Duration(f.random.IntN(4000)) * time.Millisecond)
	case 7, 8, 9: // a leader is killed
		f.restart(f.random.IntN(f.zones), 1)
	}
}

// restart has a daemon begin anew after a moment.
func (f *fleet) restart(i int, seconds int) {
	f.daemons[i].downTill = f.now.Add(time.Duration(seconds) * time.Second)
	f.begin(i)
}

// send sends one request of the account to some daemon.
func (f *fleet) send(a *accounts.Account) {
	i := f.random.IntN(len(f.daemons))
	for f.oneZone && f.daemons[i].zone != 0 {
		i = f.random.IntN(len(f.daemons))
	}
	if !f.lives(i) {
		return
	}
	at, leads := f.daemons[i].follows, false
	if f.reaches(i, at) && f.daemons[at].follows == at {
		leads = true
	} else {
		at = i
	}
	book := f.daemons[at].book
	answer := book.Take(f.now, a)
	if answer.Verdict == quota.Short && leads {
		answer = book.Again(f.now, a, f.gather(at, a, answer.Want))
	}
	if answer.Verdict == quota.Taken {
		f.passed = append(f.passed, f.now)
		return
	}
	f.refused++
}

// gather asks the other leaders for tokens; some are lost on their way.
func (f *fleet) gather(at int, a *accounts.Account, want float64) float64 {
	got := 0.0
	for j, other := range f.daemons {
		if j == at || other.follows != j || !f.reaches(at, j) || got >= want {
			continue
		}
		given := other.book.Give(f.now, a, want-got)
		if f.random.IntN(20) > 0 {
			got += given
		}
	}
	return got
}

// worst returns by how much the fullest window passes the bound; 0 or less is within.
func (f *fleet) worst(a *accounts.Account) float64 {
	bound := (a.Quota.Rate*terms.Window.Seconds()+a.Quota.Burst)*(1+terms.Overshoot) + terms.Slack
	worst, first := -bound, 0
	for i, at := range f.passed {
		for at.Sub(f.passed[first]) >= terms.Window {
			first++
		}
		worst = max(worst, float64(i-first+1)-bound)
	}
	return worst
}

// play sends the account's requests at a rate for a while.
func (f *fleet) play(a *accounts.Account, perSecond float64, seconds int, trouble bool) {
	due := 0.0
	for range seconds * 20 {
		if trouble {
			f.trouble()
		}
		f.step()
		for due += perSecond / 20; due >= 1; due-- {
			f.send(a)
		}
	}
}

// A hotel sends eight times its quota through all daemons, while zones are cut off from
// each other, a third of the daemons stands alone, leaders die, freeze and wake, and
// for a while two of a zone give tokens out. In no window may more get through than the
// quota and what may be passed over it.
func TestTheBoundHoldsUnderTrouble(t *testing.T) {
	for _, n := range []int{13, 79, 300} {
		for _, rate := range []float64{1.6, 9, 64} {
			for seed := range uint64(6) {
				f := newFleet(seed, n, 4)
				a := account(rate, rate)
				f.play(a, 8*rate, 40, true)
				if over := f.worst(a); over > 0 {
					t.Errorf("%d daemons, rate %g, seed %d: %g over the bound", n, rate, seed, over)
				}
			}
		}
	}
}

// All daemons are killed, again and again, while an account floods them.
func TestTheBoundHoldsWhenAllStartAgain(t *testing.T) {
	for seed := range uint64(6) {
		f := newFleet(seed, 79, 4)
		a := account(9, 9)
		for range 5 {
			f.play(a, 70, 6, false)
			for i := range f.daemons {
				f.restart(i, 1)
			}
		}
		if over := f.worst(a); over > 0 {
			t.Errorf("seed %d: %g over the bound", seed, over)
		}
	}
}

// The check above must be able to fail: weights that add up to more than one break it.
func TestTheCheckSeesWeightsThatAddUpToMore(t *testing.T) {
	f := newFleet(1, 79, 4)
	f.swell = 3
	a := account(64, 64)
	f.play(a, 8*64, 40, true)
	if f.worst(a) <= 0 {
		t.Fatal("weights that add up to three pass unseen")
	}
}

// An account sends what its quota allows in steps of 0.39 and 1.91 of its mean, which is
// five eighths of its rate, through one zone alone. Calm days refuse fewer than one of
// a thousand such requests.
func TestOrdinaryLoadIsNotRefused(t *testing.T) {
	for _, n := range []int{13, 79, 300} {
		for _, rate := range []float64{1.6, 9, 64} {
			f := newFleet(7, n, 4)
			f.oneZone = true
			a := account(rate, rate)
			f.play(a, 0, 10, false)
			for range 10 {
				f.play(a, 0.39*rate/1.6, 3, false)
				f.play(a, 1.91*rate/1.6, 2, false)
			}
			if f.refused*1000 > len(f.passed) {
				t.Errorf("%d daemons, rate %g: %d of %d refused", n, rate, f.refused, len(f.passed))
			}
		}
	}
}

// BenchmarkTake decides on one request among 18,000 accounts.
func BenchmarkTake(b *testing.B) {
	book := quota.NewBook(start, "a", terms)
	list := make([]*accounts.Account, 18_000)
	for i := range list {
		list[i] = &accounts.Account{Name: fmt.Sprint("account-", i), Quota: accounts.Quota{Rate: 10, Burst: 10}}
	}
	for i := 0; b.Loop(); i++ {
		book.Take(start, list[i%len(list)])
	}
}

var _ = Describe("A vote", func() {
	// The leader of a zone is cut off and its daemons follow a new one. The old one must
	// have let go of a vote before the new one may count it, however late it came.
	It("is one participant's at a time", func() {
		var v quota.Vote
		votes := quota.Votes{}
		late := start.Add(150 * time.Millisecond)
		Expect(v.Lend(start, "old")).To(BeTrue())
		votes["d"] = late
		at := start
		for !v.Lend(at, "new") {
			at = at.Add(10 * time.Millisecond)
		}
		Expect(votes.Count(late)).To(Equal(1))
		Expect(votes.Count(at)).To(BeZero())
		Expect(v.Lend(at, "old")).To(BeFalse())
	})

	It("is due at its pace, and at once for another participant", func() {
		var v quota.Vote
		Expect(v.Due(start, "a")).To(BeTrue())
		Expect(v.Lend(start, "a")).To(BeTrue())
		Expect(v.Due(start.Add(quota.VoteEvery-1), "a")).To(BeFalse())
		Expect(v.Due(start.Add(quota.VoteEvery), "a")).To(BeTrue())
		Expect(v.Due(start, "b")).To(BeTrue())
	})

	It("is free at once when its holder returns it", func() {
		var v quota.Vote
		Expect(v.Lend(start, "old")).To(BeTrue())
		v.Returned("other")
		Expect(v.Lend(start, "new")).To(BeFalse())
		v.Returned("old")
		Expect(v.Lend(start, "new")).To(BeTrue())
	})
})
