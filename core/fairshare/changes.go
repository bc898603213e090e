package fairshare

import (
	"cmp"
	"slices"
	"time"
)

// changeEvery is the least time between two reported changes of one share.
const changeEvery = time.Second

// Change reports that a share went beyond its share of the slots or returned within it.
type Change struct {
	Share  string
	Beyond bool
	// Waiting is the number of its waiting requests, Used the work for which it got slots
	// since it is known.
	Waiting int
	Used    float64
}

// Use is the work for which a share got slots after waiting, since it is known.
type Use struct {
	Share string
	Work  float64
}

// changes are the changes that are not yet reported.
type changes struct {
	// due holds the shares whose state differs from the one reported last, gone the ends
	// of shares that were reported as beyond and are dropped.
	due  map[string]bool
	gone []Change
}

func (c *changes) forgotten(a *share) {
	delete(c.due, a.name)
	if a.reported && len(c.gone) < maxShares {
		c.gone = append(c.gone, Change{Share: a.name, Used: a.used})
	}
}

// updateBeyond determines whether the newest waiting request of a share is beyond it.
func (s *Shares) updateBeyond(a *share) {
	a.beyond = a.count > 0 && !s.Within(a.newest)
	if a.beyond == a.reported {
		delete(s.changes.due, a.name)
		return
	}
	s.changes.due[a.name] = true
}

// Beyond reports whether a further request of the share would be beyond it.
func (s *Shares) Beyond(name string) bool {
	a := s.shares[name]
	if a == nil && len(s.shares) >= maxShares {
		a = s.shares[overflow]
	}
	return a != nil && !s.Within(s.next(a)-slack*a.mean)
}

// Changes returns the changes since the last call, for each share at most one a second.
func (s *Shares) Changes(now time.Time) []Change {
	list := s.changes.gone
	s.changes.gone = nil
	for name := range s.changes.due {
		a := s.shares[name]
		s.updateBeyond(a)
		if a.beyond == a.reported || now.Sub(a.reportedAt) < changeEvery {
			continue
		}
		a.reported, a.reportedAt = a.beyond, now
		delete(s.changes.due, name)
		list = append(list, Change{Share: name, Beyond: a.beyond, Waiting: a.count, Used: a.used})
	}
	slices.SortFunc(list, func(a, b Change) int { return cmp.Compare(a.Share, b.Share) })
	return list
}

// Uses returns the shares that got the most work, at most as many as given.
func (s *Shares) Uses(most int) []Use {
	var list []Use
	for _, a := range s.top(most, func(a *share) float64 { return a.used }) {
		list = append(list, Use{Share: a.name, Work: a.used})
	}
	return list
}

// top returns the shares with the highest positive values.
func (s *Shares) top(most int, value func(*share) float64) []*share {
	type valued struct {
		*share
		value float64
	}
	var list []valued
	for _, a := range s.shares {
		if v := value(a); v > 0 {
			list = append(list, valued{a, v})
		}
	}
	slices.SortFunc(list, func(a, b valued) int { return cmp.Or(cmp.Compare(b.value, a.value), cmp.Compare(a.name, b.name)) })
	var top []*share
	for _, v := range list[:min(most, len(list))] {
		top = append(top, v.share)
	}
	return top
}
