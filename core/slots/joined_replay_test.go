package slots_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"tarragonhollow.example/tarragonhollow/core/routing"
	"tarragonhollow.example/tarragonhollow/core/slots"
)

const (
	// joinedTargets targets of joinedSlots slots run 100 requests a second of joinedService.
	joinedTargets   = 5
	joinedSlots     = 5
	joinedService   = 250 * time.Millisecond
	joinedPerSecond = 100
	joinedObjective = 300 * time.Millisecond
	joinedPatience  = time.Second
	joinedTime      = 15 * time.Second
	floodRate       = 8 * 10
)

var joined = slots.Policy{Queue: true, FairShares: true, PacedReturn: true}

// joinedAccount is an account whose independent callers send requests; its weight is its
// quota.
type joinedAccount struct {
	name           string
	weight, sends  float64
	sent, started  int
	withinTheBound int
}

// joinedCaller is a request that waits or runs.
type joinedCaller struct {
	account        *joinedAccount
	request        slots.Request
	arrived, renew time.Time
	target         string
}

// joinedReplay replays accounts at a ledger in steps of a millisecond.
type joinedReplay struct {
	random   *rand.Rand
	ledger   *slots.Ledger
	now      time.Time
	accounts []*joinedAccount
	waiting  []*joinedCaller
	ends     map[time.Time][]*joinedCaller
	callers  map[uint64]*joinedCaller
}

// otherAccounts are 30 accounts that together send 80 requests a second in unequal parts.
func otherAccounts() []*joinedAccount {
	var list []*joinedAccount
	for i := range 30 {
		rate := 80 * float64(i%5+1) / 90
		list = append(list, &joinedAccount{name: fmt.Sprint("a", i), weight: 1.5 * rate, sends: rate})
	}
	return list
}

func flooder() *joinedAccount { return &joinedAccount{name: "flooder", weight: 15, sends: floodRate} }

func newJoinedReplay(policy slots.Policy, seed uint64, accounts []*joinedAccount) *joinedReplay {
	r := &joinedReplay{random: rand.New(rand.NewPCG(seed, 19)), ledger: slots.NewLedgerWith(policy), now: start, accounts: accounts,
		ends: map[time.Time][]*joinedCaller{}, callers: map[uint64]*joinedCaller{}}
	var list []slots.Target
	for i := range joinedTargets {
		list = append(list, slots.Target{Start: fmt.Sprint("t", i), Slots: joinedSlots})
	}
	r.ledger.SetTargets(map[string][]slots.Target{"g": list})
	return r
}

func (r *joinedReplay) run() {
	for ; r.now.Before(start.Add(joinedTime)); r.now = r.now.Add(time.Millisecond) {
		for _, c := range r.ends[r.now] {
			r.ledger.End(r.now, "h", []slots.Ended{{Number: c.request.ID.Number, Target: c.target, Outcome: routing.Succeeded, Took: joinedService}})
		}
		delete(r.ends, r.now)
		for _, a := range r.accounts {
			if r.random.Float64() < a.sends/1000 {
				r.arrive(a)
			}
		}
		r.renew()
		for _, d := range r.ledger.Dispatch(r.now) {
			r.decide(r.callers[d.ID.Number], d.Grant)
		}
	}
}

func (r *joinedReplay) arrive(a *joinedAccount) {
	number := uint64(len(r.callers) + 1)
	c := &joinedCaller{account: a, arrived: r.now, request: slots.Request{ID: slots.ID{Holder: "h", Number: number}, Group: "g",
		MayWait: true, Stay: true, Share: a.name, Weight: a.weight, Work: 1, Content: number, Patience: joinedPatience,
		ObjectiveLeft: joinedObjective, DeadlineLeft: 5 * time.Second}}
	a.sent++
	r.callers[number] = c
	r.ask(c)
}

// ask requests a slot, or renews the request.
func (r *joinedReplay) ask(c *joinedCaller) {
	request, waited := c.request, r.now.Sub(c.arrived)
	request.Waited, request.Patience = waited, request.Patience-waited
	request.ObjectiveLeft, request.DeadlineLeft = request.ObjectiveLeft-waited, request.DeadlineLeft-waited
	c.renew = r.now.Add(slots.RenewWaitInterval)
	if grant := r.ledger.Grant(r.now, request, request.ID.Number); grant.Verdict != slots.Waiting {
		r.decide(c, grant)
	} else if waited == 0 {
		r.waiting = append(r.waiting, c)
	}
}

func (r *joinedReplay) renew() {
	still := r.waiting[:0:0]
	for _, c := range r.waiting {
		if c.target == "" && !c.renew.IsZero() {
			still = append(still, c)
		}
	}
	r.waiting = still
	for _, c := range still {
		if !r.now.Before(c.renew) {
			r.ask(c)
		}
	}
}

func (r *joinedReplay) decide(c *joinedCaller, grant slots.Grant) {
	if grant.Verdict != slots.Granted {
		c.renew = time.Time{}
		return
	}
	if c.target != "" {
		return
	}
	c.target = grant.Target
	c.account.started++
	if r.now.Sub(c.arrived) <= joinedObjective {
		c.account.withinTheBound++
	}
	took := time.Duration(float64(joinedService) * (0.5 + r.random.Float64())).Truncate(time.Millisecond)
	r.ends[r.now.Add(took)] = append(r.ends[r.now.Add(took)], c)
}

// flood replays the accounts beside the flooder and returns the share of their requests that
// start within the objective, and how many requests of both start a second.
func flood(policy slots.Policy, seed uint64) (onTime, others, flooding float64) {
	accounts := append(otherAccounts(), flooder())
	newJoinedReplay(policy, seed, accounts).run()
	sent, inTime, started := 0, 0, 0
	for _, a := range accounts[:30] {
		sent, inTime, started = sent+a.sent, inTime+a.withinTheBound, started+a.started
	}
	seconds := joinedTime.Seconds()
	return float64(inTime) / float64(sent), float64(started) / seconds, float64(accounts[30].started) / seconds
}

// Item 3 of docs/design/0015: guards against an account that floods and displaces the
// others. Load: 30 accounts that send 80 requests a second, one that sends 8 times its usual
// 10, and slots for 100.
func TestAFloodLeavesTheOtherAccountsTheirSlots(t *testing.T) {
	for seed := range uint64(3) {
		onTime, others, flooding := flood(joined, seed)
		t.Logf("seed %d: %.3f of the others on time; started a second: others %.1f, flooder %.1f", seed, onTime, others, flooding)
		if onTime < 0.95 {
			t.Errorf("seed %d: %.3f of the others' requests on time", seed, onTime)
		}
		if remains := joinedPerSecond - others; flooding < 0.9*remains {
			t.Errorf("seed %d: the flooder gets %.1f a second of the %.1f that remain", seed, flooding, remains)
		}
		without := joined
		without.FairShares = false
		if before, _, _ := flood(without, seed); before >= 0.95 {
			t.Errorf("seed %d: the load does not show the fault: %.3f on time without fair shares", seed, before)
		}
	}
}

// Guards against slots that are kept idle for accounts that send nothing.
func TestAFloodThatIsAloneGetsEverySlot(t *testing.T) {
	for seed := range uint64(3) {
		alone := flooder()
		alone.sends = 1.5 * joinedPerSecond
		newJoinedReplay(joined, seed, []*joinedAccount{alone}).run()
		if rate := float64(alone.started) / joinedTime.Seconds(); rate < 0.95*joinedPerSecond {
			t.Errorf("seed %d: %.1f requests start a second", seed, rate)
		}
	}
}
