package jobs

import "tarragonhollow.example/tarragonhollow/core/batch"

// setSlack computes the slack of the waiting items and which of them are short of time.
// works describes them in the same order, and then the running items. slots is the average
// number of slots available to all of them if slotsKnown is set.
//
// An item that batch.OnTime puts behind is not short of time. Here slots includes those
// that are held back: while they are, the items occupy fewer slots than they could, and
// items that could be on time would be put behind for good. An overdue item is short of
// time once it is near the time at which it is given up.
func setSlack(list []candidate, works []batch.Work, slots float64, slotsKnown bool) {
	var onTime []bool
	if slotsKnown {
		onTime = batch.OnTime(works, slots)
	}
	for i := range list {
		c, w := &list[i], works[i]
		// A slack of 0 means that it is not known.
		if c.slack = w.Slack(); c.slack == 0 {
			c.slack = 1
		}
		c.shortOfTime = (!slotsKnown || onTime[i]) && batch.ShortOfTime(w, c.age+w.Due) ||
			c.route != nil && batch.NearGivenUp(w, c.age, c.route.KeepFor)
	}
}

// neededByGroup returns how many slots of each group the waiting and running items need to
// finish on time. works describes them in this order. An item whose route uses several
// groups counts in each of them until it runs.
func neededByGroup(waiting []candidate, running []*itemRun, works []batch.Work) map[string]float64 {
	byGroup := map[string][]batch.Work{}
	for i := range waiting {
		if route := waiting[i].route; route != nil {
			for _, share := range route.Groups {
				byGroup[share.Group] = append(byGroup[share.Group], works[i])
			}
		}
	}
	for i, run := range running {
		group := run.target.Group
		byGroup[group] = append(byGroup[group], works[len(waiting)+i])
	}
	needed := make(map[string]float64, len(byGroup))
	for group, list := range byGroup {
		needed[group] = batch.Needed(list)
	}
	return needed
}

// startLimits states how many items may still start in a step.
type startLimits struct {
	// left is the number by group.
	left map[string]int
	// heldBack holds the groups whose free slots are left to items that are short of time.
	heldBack map[string]bool
	// noSlot holds the versions of groups of which an item got no slot, and whether that item
	// was short of time.
	noSlot map[groupVersion]bool
	// sole holds the sole versions of groups, served which versions are served.
	sole   lookups[string, string]
	served lookups[groupVersion, bool]
}

// lookups holds what was looked up in a step: with many waiting items, each would examine all
// targets of its group.
type lookups[K comparable, V any] map[K]V

func (l lookups[K, V]) get(key K, find func(K) V) V {
	value, known := l[key]
	if !known {
		value = find(key)
		l[key] = value
	}
	return value
}

// groupVersion is the targets of a group that have one software version.
type groupVersion struct{ group, version string }

func newStartLimits() *startLimits {
	return &startLimits{
		left: map[string]int{}, heldBack: map[string]bool{}, noSlot: map[groupVersion]bool{},
		sole: lookups[string, string]{}, served: lookups[groupVersion, bool]{},
	}
}

// allowVersion reports whether the item may request a slot of the version that it demands.
func (l *startLimits) allowVersion(group string, d versionDemand, c *candidate) bool {
	shortOfTime, denied := l.noSlot[groupVersion{group, d.version}]
	return !denied || d.startOver != "" || c.shortOfTime && !shortOfTime
}

// deniedVersion records that the item got no slot of its version. Items that can use other
// targets of the group may still get one.
func (l *startLimits) deniedVersion(group string, d versionDemand, c *candidate) {
	l.noSlot[groupVersion{group, d.version}] = c.shortOfTime
}

// allow reports whether the item may request a slot of the group.
func (l *startLimits) allow(group string, c *candidate) bool {
	return l.left[group] > 0 && (c.shortOfTime || !l.heldBack[group])
}

// denied records that the item got no slot. With the batch reserve, an item that is short
// of time may still get one that others don't.
func (l *startLimits) denied(group string, c *candidate, batchReserve bool) {
	if batchReserve && !c.shortOfTime {
		l.heldBack[group] = true
		return
	}
	l.left[group] = 0
}
