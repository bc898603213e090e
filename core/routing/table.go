// Package routing decides which target of a group runs an online request. It
// is pure: the time, the load reports and the randomness come in as arguments.
//
// A Table is one daemon's view of one target group. It is not safe for
// concurrent use; the daemon guards it.
package routing

import (
	"sort"
	"time"
)

// Target is one member of the group.
type Target struct {
	// Address is IP:PORT.
	Address string
	// Zone is the target's availability zone.
	Zone string
}

// Word is what the target's steward last said about it.
type Word struct {
	// OnlineTotal counts the online requests of all entry hosts there.
	OnlineTotal int
	// BatchRunning counts the batch items there.
	BatchRunning int
	// Reported counts the requests, running and waiting, in the engine's own
	// report; it includes batch.
	Reported int
	// ReportAge is how old the report was when the word was given; negative
	// when there is no report.
	ReportAge time.Duration
	// Slots is the engine's batch size limit, 0 when unknown.
	Slots int
	// Doubt is the highest number of failures in a row for which another daemon
	// of the own zone has it in doubt, 0 for none.
	Doubt int
}

// Table is one daemon's view of one target group.
type Table struct {
	group   string
	slots   int
	order   []string
	entries map[string]*entry
	speed   Speed
}

// entry is what is known of one target.
type entry struct {
	Target
	hash     uint64
	leaving  bool
	own      int
	reserved int
	started  history
	ended    history
	heard    heard
	health   health
	prefixes prefixSet
}

// heard is the steward's last word and the own load at that moment.
type heard struct {
	word  Word
	at    time.Time
	own   int
	valid bool
}

// NewTable returns a table of the group's targets. slots is how many requests
// a target runs at once, 0 when unknown.
func NewTable(group string, targets []Target, slots int) *Table {
	t := &Table{group: group, entries: map[string]*entry{}}
	t.SetTargets(targets, slots)
	return t
}

// SetTargets replaces the group's members. What is known of the targets that
// stay is kept; own requests that still run at a removed one end without effect.
func (t *Table) SetTargets(targets []Target, slots int) {
	t.slots = slots
	kept := make(map[string]*entry, len(targets))
	for _, target := range targets {
		e := t.entries[target.Address]
		if e == nil {
			e = &entry{hash: hashString(target.Address), prefixes: newPrefixSet()}
		}
		e.Target = target
		kept[target.Address] = e
	}
	t.entries = kept
	t.order = t.order[:0]
	for address := range kept {
		t.order = append(t.order, address)
	}
	sort.Strings(t.order)
}

// Len returns the number of targets in the group.
func (t *Table) Len() int { return len(t.order) }

// SetLeaving notes whether the host list says that the target leaves. A
// leaving target is never picked, not even as the last one left.
func (t *Table) SetLeaving(address string, leaving bool) {
	if e := t.entries[address]; e != nil {
		e.leaving = leaving
	}
}

// Hear takes the steward's word about a target.
func (t *Table) Hear(now time.Time, address string, w Word) {
	if e := t.entries[address]; e != nil {
		e.heard = heard{word: w, at: now, own: e.own, valid: true}
	}
}

// Hint takes a cache event: late and with gaps, so it only orders candidates
// and never rules one out.
func (t *Table) Hint(address, prefix string, stored bool) {
	if e := t.entries[address]; e != nil {
		e.prefixes.note(prefix, stored)
	}
}

// Start counts a request that is about to be sent to the target. alone
// reserves the target for it.
func (t *Table) Start(now time.Time, address string, alone bool) {
	e := t.entries[address]
	if e == nil {
		return
	}
	e.own++
	if alone {
		e.reserved++
	}
	e.started.add(now)
}

// Load is one target's figures for status pages and metrics.
type Load struct {
	Address string
	Zone    string
	// Own counts this daemon's requests there.
	Own int
	// Estimate is the corrected load.
	Estimate float64
	// State is "healthy", "half_open", "removed" or "leaving".
	State string
}

// Loads returns the figures of all targets, sorted by address.
func (t *Table) Loads(now time.Time) []Load {
	loads := make([]Load, 0, len(t.order))
	for _, address := range t.order {
		e := t.entries[address]
		state := e.health.state(now).String()
		if e.leaving {
			state = "leaving"
		}
		loads = append(loads, Load{
			Address: address, Zone: e.Zone, Own: e.own, Estimate: e.load(now), State: state,
		})
	}
	return loads
}

// Own returns how many of this daemon's requests run at the target.
func (t *Table) Own(address string) int {
	if e := t.entries[address]; e != nil {
		return e.own
	}
	return 0
}

// Concurrent estimates how many requests, batch included, run at the target
// fleet-wide. It is at least the own count.
func (t *Table) Concurrent(now time.Time, address string) int {
	e := t.entries[address]
	if e == nil {
		return 1
	}
	total := e.own
	if e.heard.fresh(now) {
		total = max(total, e.heard.word.OnlineTotal+e.heard.word.BatchRunning)
	}
	return total
}
