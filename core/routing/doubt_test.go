package routing

import (
	"fmt"
	"testing"
	"time"

	"tarragonhollow.example/tarragonhollow/core/splitmix"
)

// zoneFleet is a zone's daemons and targets: words travel for wordDelay, and some
// targets fail every request at once, with good health answers.
type zoneFleet struct {
	tables  []*Table
	targets int
	liars   int
	// tells is whether daemons tell each other what they doubt.
	tells bool
	// answers holds the ends of good answers that are still under way.
	answers []answer
}

type answer struct {
	at      time.Time
	daemon  int
	address string
}

const (
	wordDelay  = 50 * time.Millisecond
	answerTime = 100 * time.Millisecond
	fleetSlots = 7
)

func newZoneFleet(daemons, targets, liars int, tells bool) *zoneFleet {
	f := &zoneFleet{targets: targets, liars: liars, tells: tells}
	var list []Target
	for i := range targets {
		list = append(list, Target{Address: fmt.Sprint("t", i), Zone: "z"})
	}
	for range daemons {
		f.tables = append(f.tables, NewTable("g", list, fleetSlots))
	}
	return f
}

// play sends one request a gap, each to one daemon in turn. One of four is an
// order that must not run twice; a question that fails gets a second attempt. It
// returns how many orders and how many questions were lost.
func (f *zoneFleet) play(requests int, gap time.Duration) (orders, questions int) {
	now := time.Unix(1000, 0)
	spreadAt := now
	for i := range requests {
		now = now.Add(gap)
		f.finish(now)
		if now.Sub(spreadAt) >= wordDelay {
			f.spread(now)
			spreadAt = now
		}
		order := i%4 == 0
		ask := Request{Zone: "z", LastChance: order, Exclude: map[string]bool{}, SeedValue: splitmix.Mix(uint64(i))}
		if f.attempt(now, i%len(f.tables), &ask) {
			continue
		}
		if order {
			orders++
			continue
		}
		ask.LastChance = true
		if !f.attempt(now, i%len(f.tables), &ask) {
			questions++
		}
	}
	return orders, questions
}

// attempt sends a request to the target that the daemon chooses, and tells
// whether it will be answered.
func (f *zoneFleet) attempt(now time.Time, daemon int, ask *Request) bool {
	table := f.tables[daemon]
	choice, _ := table.PickLeast(now, *ask)
	ask.Exclude[choice.Address] = true
	table.Start(now, choice.Address, false)
	var number int
	_, _ = fmt.Sscanf(choice.Address, "t%d", &number) // the addresses are made above
	if number < f.liars {
		table.End(now, choice.Address, false, SoftFailed)
		return false
	}
	f.answers = append(f.answers, answer{now.Add(answerTime), daemon, choice.Address})
	return true
}

func (f *zoneFleet) finish(now time.Time) {
	for len(f.answers) > 0 && !f.answers[0].at.After(now) {
		a := f.answers[0]
		f.answers = f.answers[1:]
		f.tables[a.daemon].End(a.at, a.address, false, Succeeded)
	}
}

// spread tells every daemon the fleet's counts and, if it is so set, doubts.
func (f *zoneFleet) spread(now time.Time) {
	most := map[string]int{}
	for _, table := range f.tables {
		for address, failures := range table.Doubts(now) {
			most[address] = max(most[address], failures)
		}
	}
	if !f.tells {
		clear(most)
	}
	for i := range f.targets {
		address := fmt.Sprint("t", i)
		running := 0
		for _, table := range f.tables {
			running += table.Own(address)
		}
		for _, table := range f.tables {
			table.Hear(now, address, Word{OnlineTotal: running, ReportAge: -1, Slots: fleetSlots, Doubt: most[address]})
		}
	}
}

// Guests' orders are refused by targets whose health answers are good: they take
// the connection and reset it. Empty as they are, they look like the best choice
// to each of the zone's daemons, until each has lost several orders there.
func TestDoubtSparesOrdersFromTargetsThatFailAtOnce(t *testing.T) {
	const daemons, targets, liars, requests = 15, 22, 3, 3000
	gap := 4 * time.Millisecond
	ordersAlone, questionsAlone := newZoneFleet(daemons, targets, liars, false).play(requests, gap)
	ordersTold, questionsTold := newZoneFleet(daemons, targets, liars, true).play(requests, gap)
	t.Logf("of %d requests, lost when each daemon finds out alone: %d orders, %d questions; when doubt is told: %d, %d",
		requests, ordersAlone, questionsAlone, ordersTold, questionsTold)
	if ordersTold*2 > ordersAlone || questionsTold*2 > questionsAlone {
		t.Fatal("doubt that is told must spare half of the losses at least")
	}
}

// One daemon has lost its way to the targets of its zone. If the others believed
// its doubts, the zone's work would move to other zones.
func TestADaemonThatFailsAtManyTargetsTellsNothing(t *testing.T) {
	table, _ := zones(4)
	now := time.Unix(1000, 0)
	for _, address := range []string{"a0", "a1"} {
		table.End(now, address, false, SoftFailed)
	}
	if got := table.Doubts(now); len(got) != 2 {
		t.Fatalf("doubts %v, want two of eight", got)
	}
	table.End(now, "a2", false, SoftFailed)
	if got := table.Doubts(now); len(got) != 0 {
		t.Fatalf("doubts %v, want none told at three of eight", got)
	}
}

func TestDoubtEndsWithASuccessOrWithTime(t *testing.T) {
	table, _ := zones(1)
	now := time.Unix(1000, 0)
	table.End(now, "a0", false, SoftFailed)
	if got := pick(t, table, Request{Zone: "a"}); got != "b0" {
		t.Fatalf("%s, where a0 has just failed", got)
	}
	table.End(now, "a0", false, Succeeded)
	if got := pick(t, table, Request{Zone: "a"}); got != "a0" {
		t.Fatalf("%s, where a0 has answered since", got)
	}
	table.End(now, "a0", false, SoftFailed)
	choice, _ := table.PickLeast(now.Add(FirstHold), Request{Zone: "a"})
	if choice.Address != "a0" {
		t.Fatalf("%s, where the failure is long ago", choice.Address)
	}
}

// A target comes back after a removal and may be ill still. An order that it
// loses can't be sent again; a question can.
func TestWhatMayNotRunTwiceDoesNotTryAReturningTarget(t *testing.T) {
	table, _ := zones(1)
	now := time.Unix(1000, 0)
	table.End(now, "a0", false, HardFailed)
	now = now.Add(FirstHold)
	order, _ := table.PickLeast(now, Request{Zone: "a", LastChance: true})
	question, _ := table.PickLeast(now, Request{Zone: "a"})
	if order.Address != "b0" || question.Address != "a0" {
		t.Fatalf("the order goes to %s, the question to %s", order.Address, question.Address)
	}
}

// With every other target full, one in doubt is still better than a queue.
func TestDoubtRefusesNoPlace(t *testing.T) {
	table, hear := zones(1)
	hear("a0", 0, 0)
	hear("b0", 6, 0)
	table.End(time.Unix(1000, 0), "a0", false, SoftFailed)
	if got := pick(t, table, Request{Zone: "a"}); got != "a0" {
		t.Fatalf("%s, where b0 has a queue", got)
	}
}
