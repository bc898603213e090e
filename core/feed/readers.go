package feed

import (
	"slices"
	"time"
)

const (
	// wanted is how many daemons of a zone read the targets from the log while they reach
	// it: the leader alone, whose standby gets them from it.
	wanted = 1
	// mostReaders bounds them while some do not reach it, so that a log that is out is
	// asked by few.
	mostReaders = 5
	// appointEvery is the pause between two appointments.
	appointEvery = 300 * time.Millisecond
	// reportWithin is how long a reader may be silent before another one takes its place:
	// several of its reports may be lost.
	reportWithin = 1500 * time.Millisecond
	// loadTime is how long an appointed daemon has to load what the log holds.
	loadTime = 4 * time.Second
)

// Readers is the leader's choice of the zone's readers. The zero value is not usable.
type Readers struct {
	self      string
	appointed map[string]*appointee
	// passedOver are the daemons that did not serve as readers.
	passedOver passedOver
	last       time.Time
}

// appointee is a daemon that was asked to read the log.
type appointee struct {
	since, reported time.Time
	// answered is when the log last answered it, zero for never.
	answered time.Time
}

// NewReaders returns the choice of the daemon at the peer address self, without any
// other reader.
func NewReaders(self string) *Readers {
	return &Readers{self: self, appointed: map[string]*appointee{}, passedOver: passedOver{}}
}

// Adopt takes over the readers of an earlier leader.
func (r *Readers) Adopt(now time.Time, readers []Reader) {
	for _, reader := range readers {
		if reader.Address != r.self && r.appointed[reader.Address] == nil {
			r.appointed[reader.Address] = &appointee{since: now, reported: now}
		}
	}
}

// Report takes a daemon's word on how long ago the log last answered it. One that was
// not appointed reads because no reader served it, and serves as one from now on.
func (r *Readers) Report(now time.Time, address string, age time.Duration) {
	if address == r.self {
		return
	}
	a := r.appointed[address]
	if a == nil {
		a = &appointee{since: now}
		r.appointed[address] = a
	}
	a.reported = now
	if age != Never {
		a.answered = now.Add(-age)
	}
}

// Select returns the readers, this daemon first. ownAge is how old its own last answer
// from the log is, members are the daemons of the zone in order of preference.
func (r *Readers) Select(now time.Time, ownAge time.Duration, members []string) []Reader {
	r.dismissSilent(now, members)
	r.dismissExcess(now, ownAge)
	r.appoint(now, ownAge, members)
	list := []Reader{{r.self, ownAge}}
	for _, address := range members {
		if a := r.appointed[address]; a != nil {
			list = append(list, Reader{address, a.age(now)})
		}
	}
	return list
}

func (a *appointee) age(now time.Time) time.Duration {
	if a.answered.IsZero() {
		return Never
	}
	return now.Sub(a.answered)
}

// useless tells whether the daemon had time to reach the log and does not.
func (a *appointee) useless(now time.Time) bool {
	return !fresh(a.age(now)) && now.Sub(a.since) > loadTime
}

// dismissSilent drops the readers that have left the zone or no longer report.
func (r *Readers) dismissSilent(now time.Time, members []string) {
	for address, a := range r.appointed {
		if !slices.Contains(members, address) || now.Sub(later(a.reported, a.since)) > reportWithin {
			r.dismiss(now, address)
		}
	}
	r.passedOver.expire(now)
}

// dismissExcess drops readers that are not needed: those that do not reach the log while
// enough others do, one of them to make room for a further try while too few do, and
// those beyond the number that is wanted.
func (r *Readers) dismissExcess(now time.Time, ownAge time.Duration) {
	enough := r.freshCount(now, ownAge) >= wanted
	full := len(r.appointed)+1 >= mostReaders
	for address, a := range r.appointed {
		if a.useless(now) && (enough || full) {
			r.dismiss(now, address)
			full = false
		}
	}
	for address := range r.appointed {
		if r.freshCount(now, ownAge) <= wanted || !fresh(r.appointed[address].age(now)) {
			continue
		}
		delete(r.appointed, address)
	}
}

func (r *Readers) dismiss(now time.Time, address string) {
	delete(r.appointed, address)
	r.passedOver.add(now, address)
}

func (r *Readers) freshCount(now time.Time, ownAge time.Duration) int {
	n := 0
	if fresh(ownAge) {
		n++
	}
	for _, a := range r.appointed {
		if fresh(a.age(now)) {
			n++
		}
	}
	return n
}

// appoint asks one more daemon to read while too few reach the log.
func (r *Readers) appoint(now time.Time, ownAge time.Duration, members []string) {
	if now.Sub(r.last) < appointEvery || len(r.appointed)+1 >= mostReaders || !r.short(now, ownAge) {
		return
	}
	for _, address := range members {
		if address == r.self || r.passedOver.has(now, address) || r.appointed[address] != nil {
			continue
		}
		r.appointed[address] = &appointee{since: now}
		r.last = now
		return
	}
}

// short tells whether a further reader is needed. Those that still load count, unless
// nobody reaches the log at all.
func (r *Readers) short(now time.Time, ownAge time.Duration) bool {
	reached := r.freshCount(now, ownAge)
	if reached == 0 {
		return true
	}
	loading := 0
	for _, a := range r.appointed {
		if !fresh(a.age(now)) && !a.useless(now) {
			loading++
		}
	}
	return reached+loading < wanted
}
