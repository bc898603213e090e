package feed

import (
	"slices"
	"time"
)

const (
	// wantedReaders is how many daemons of a zone read the targets from the log while
	// they reach it: only the leader, from which the standby gets them.
	wantedReaders = 1
	// maxReaders bounds the readers while some of them do not reach the log, so that few
	// daemons query a log that is unavailable.
	maxReaders = 5
	// appointInterval is the pause between two appointments.
	appointInterval = 300 * time.Millisecond
	// reportTimeout is how long a reader may be silent before it is replaced: several of
	// its reports may be lost.
	reportTimeout = 1500 * time.Millisecond
	// loadTimeout is how long an appointed daemon has to load the content of the log.
	loadTimeout = 4 * time.Second
)

// Readers is the leader's choice of the zone's readers. The zero value is not usable.
type Readers struct {
	self      string
	appointed map[string]*appointee
	// excluded are the daemons that did not serve as readers.
	excluded exclusions
	last     time.Time
}

// appointee is a daemon appointed to read the log.
type appointee struct {
	since, reported time.Time
	// answered is when the log last answered it, zero for never.
	answered time.Time
}

// NewReaders returns the choice of the daemon at the peer address self, without other
// readers.
func NewReaders(self string) *Readers {
	return &Readers{self: self, appointed: map[string]*appointee{}, excluded: exclusions{}}
}

// Adopt takes over the readers of a previous leader.
func (r *Readers) Adopt(now time.Time, readers []Reader) {
	for _, reader := range readers {
		if reader.Address != r.self && r.appointed[reader.Address] == nil {
			r.appointed[reader.Address] = &appointee{since: now, reported: now}
		}
	}
}

// Report records how long ago the log last answered a daemon. A daemon that was not
// appointed reads the log because no reader served it, and counts as a reader from now
// on.
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

// Select returns the readers, this daemon first. ownAge is the time since its own last
// answer from the log; members are the daemons of the zone in order of preference.
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

// loadTimedOut reports whether the daemon had time to reach the log and does not reach
// it.
func (a *appointee) loadTimedOut(now time.Time) bool {
	return !fresh(a.age(now)) && now.Sub(a.since) > loadTimeout
}

// dismissSilent removes the readers that have left the zone or no longer report.
func (r *Readers) dismissSilent(now time.Time, members []string) {
	for address, a := range r.appointed {
		if !slices.Contains(members, address) || now.Sub(later(a.reported, a.since)) > reportTimeout {
			r.dismiss(now, address)
		}
	}
	r.excluded.expire(now)
}

// dismissExcess removes readers that are not needed: those that do not reach the log
// while enough others do, one of them to make room for another attempt while too few do,
// and those beyond wantedReaders.
func (r *Readers) dismissExcess(now time.Time, ownAge time.Duration) {
	enough := r.freshCount(now, ownAge) >= wantedReaders
	full := len(r.appointed)+1 >= maxReaders
	for address, a := range r.appointed {
		if a.loadTimedOut(now) && (enough || full) {
			r.dismiss(now, address)
			full = false
		}
	}
	for address := range r.appointed {
		if r.freshCount(now, ownAge) <= wantedReaders || !fresh(r.appointed[address].age(now)) {
			continue
		}
		delete(r.appointed, address)
	}
}

func (r *Readers) dismiss(now time.Time, address string) {
	delete(r.appointed, address)
	r.excluded.add(now, address)
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

// appoint appoints one more reader while too few reach the log.
func (r *Readers) appoint(now time.Time, ownAge time.Duration, members []string) {
	if now.Sub(r.last) < appointInterval || len(r.appointed)+1 >= maxReaders || !r.needsReader(now, ownAge) {
		return
	}
	for _, address := range members {
		if address == r.self || r.excluded.has(now, address) || r.appointed[address] != nil {
			continue
		}
		r.appointed[address] = &appointee{since: now}
		r.last = now
		return
	}
}

// needsReader reports whether another reader is needed. Readers that are still loading
// count, unless no daemon reaches the log at all.
func (r *Readers) needsReader(now time.Time, ownAge time.Duration) bool {
	reached := r.freshCount(now, ownAge)
	if reached == 0 {
		return true
	}
	loading := 0
	for _, a := range r.appointed {
		if !fresh(a.age(now)) && !a.loadTimedOut(now) {
			loading++
		}
	}
	return reached+loading < wantedReaders
}
