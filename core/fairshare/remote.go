package fairshare

import "time"

const (
	// reportTTL is how long the last report of a leader is kept. Longer than several
	// reports, so that those that are lost cost nothing, and shorter than shareTTL, so
	// that a counter that began again is not compared with the earlier one.
	reportTTL = 3 * time.Second
	// maxLeaders bounds the leaders whose reports are kept.
	maxLeaders = 64
	// maxRemoteLead is how far beyond the virtual time work in other zones moves a share,
	// in mean costs of the share. Without a bound, an account that got the idle slots of one
	// zone for a minute gets none in a zone with a queue for minutes after that.
	maxRemoteLead = 64
)

// Report is what a leader reports to the leaders of other zones about the shares that are
// beyond their share in its zone.
type Report struct {
	// Number orders the reports of one leader; it is the time of the report on its clock.
	Number int64
	// Used is the cost (work divided by weight) of the requests of each share that got
	// slots, counted since the leader knows the share. Counters, unlike amounts for an
	// interval, let each piece of work be counted once whichever reports are lost or
	// repeated.
	Used map[string]float64
}

// remoteUse is the last report of another leader.
type remoteUse struct {
	number int64
	at     time.Time
	used   map[string]remoteCounter
}

type remoteCounter struct {
	value float64
	at    time.Time
}

// Report returns the counters of the shares beyond their share with the most waiting
// work, at most as many as given.
func (s *Shares) Report(now time.Time, most int) Report {
	r := Report{Number: now.UnixNano()}
	for _, a := range s.top(most, func(a *share) float64 {
		if !s.Beyond(a.name) || a.name == overflow {
			return 0
		}
		return a.cost
	}) {
		if r.Used == nil {
			r.Used = make(map[string]float64, most)
		}
		r.Used[a.name] = a.usedCost
	}
	return r
}

// ApplyRemote moves the next start tags of shares by the work that they got in another zone
// since the last report of that zone's leader. The first counter of a share only sets the
// value from which the next ones count.
func (s *Shares) ApplyRemote(now time.Time, leader string, r Report) {
	s.Expire(now)
	last := s.remote[leader]
	switch {
	case last == nil && len(s.remote) >= maxLeaders:
		return
	case last == nil:
		last = &remoteUse{used: map[string]remoteCounter{}}
		s.remote[leader] = last
	case r.Number <= last.number:
		return
	}
	last.number, last.at = r.Number, now
	for name, value := range r.Used {
		before, known := last.used[name]
		if !known && len(last.used) >= maxShares {
			continue
		}
		last.used[name] = remoteCounter{value: value, at: now}
		if known && value > before.value {
			s.use(name, value-before.value)
		}
	}
}

// use adds work that a share got elsewhere to the start tag of its next request. Work of accounts that
// have no share of their own here is not counted: it would count for all of them.
func (s *Shares) use(name string, cost float64) {
	a := s.obtain(name)
	if a.name != overflow {
		a.remoteCost = min(a.remoteCost+cost, maxCost)
	}
	s.touch(a)
}

// expireRemote drops counters that have not been reported for reportTTL.
func (s *Shares) expireRemote(now time.Time) {
	for leader, last := range s.remote {
		for name, counter := range last.used {
			if now.Sub(counter.at) > reportTTL {
				delete(last.used, name)
			}
		}
		if now.Sub(last.at) > reportTTL {
			delete(s.remote, leader)
		}
	}
}
