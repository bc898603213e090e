package jobs

import "tarragonhollow.example/tarragonhollow/core/batch"

// setSlack computes the slack of the waiting items and which of them are short of time.
// works describes them in the same order. r.mu is held.
func setSlack(list []candidate, works []batch.Work) {
	for i := range list {
		c, w := &list[i], works[i]
		// A slack of 0 means that it is not known.
		if c.slack = w.Slack(); c.slack == 0 {
			c.slack = 1
		}
		c.shortOfTime = !c.late && batch.ShortOfTime(w, c.age+w.Due)
	}
}

// startLimits states how many items may still start in a step.
type startLimits struct {
	// left is the number by group.
	left map[string]int
	// heldBack holds the groups whose free slots are left to items that are short of time.
	heldBack map[string]bool
}

func newStartLimits() *startLimits {
	return &startLimits{left: map[string]int{}, heldBack: map[string]bool{}}
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
