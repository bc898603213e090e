// Package crashparts decides which parts of prompts crash the targets that begin an answer on
// them. It does no I/O and reads no clock.
//
// Requests with such a part need not have anything else in common, so that nothing is learned from
// each of them alone. A crash is evidence against each part of the requests whose answer had not
// begun at the target; an answer that begins later with a part, at a target that lives on, clears
// the part. All verdicts follow from the crashes and what was cleared since, so daemons that
// exchange both reach the same verdicts.
package crashparts

import (
	"slices"
	"time"
)

const (
	// Retention is how long a crash counts after it was first received.
	Retention = time.Hour
	// MaxCrashes is the maximum number of crashes kept.
	MaxCrashes = 256
	// MaxParts is the maximum number of parts named per crash: some ten requests with a dozen
	// parts each.
	MaxParts = 128
	// MaxRequests is the maximum number of requests named per crash, for logs.
	MaxRequests = 16
	// maxAnswered bounds half of the parts that are remembered as answered, some 100 bytes each.
	maxAnswered = 4096
)

// Crash is one target's crash as one or more daemons saw it.
type Crash struct {
	// Target is the start of the target that crashed; it crashes once.
	Target string
	// AtMs is when it was seen first, in Unix milliseconds; for logs.
	AtMs int64
	// Parts are the IDs of the parts of the requests whose answers had not begun there, other than
	// each request's last part, which is its own. Requests are the IDs of these requests.
	Parts, Requests []string
	// Cleared are parts with which an answer has begun since.
	Cleared []string
}

// record is a crash and what only this daemon knows of it.
type record struct {
	Crash
	// receivedMs is when it was first received here, by this daemon's clock.
	receivedMs int64
}

// Evidence holds the crashes. It is not safe for concurrent use.
type Evidence struct {
	crashes []record
	// suspects are the parts that are not cleared of some crash, with the crashes.
	suspects map[string]*suspect
	// repeated are the suspects with repeatedCrashes or more.
	repeated []string
	// answered are the parts with which answers began here; see wasAnswered.
	answered, answeredBefore map[string]bool
	// probes holds when this daemon last allowed a probe, by part.
	probes map[string]int64
}

// New returns an Evidence without crashes.
func New() *Evidence {
	return &Evidence{suspects: map[string]*suspect{}, answered: map[string]bool{}, probes: map[string]int64{}}
}

// Apply applies a report of a crash, received now, and reports whether anything in it was new.
func (e *Evidence) Apply(nowMs int64, c Crash) bool {
	c = c.bounded()
	if c.Target == "" || len(c.Parts)+len(c.Cleared) == 0 {
		return false
	}
	changed := true
	if i := e.find(c.Target); i >= 0 {
		changed = merge(&e.crashes[i].Crash, c)
	} else {
		e.crashes = append(e.crashes, record{Crash: c.withoutCleared(), receivedMs: nowMs})
	}
	if changed {
		e.evaluate()
		e.limit()
	}
	return changed
}

func (e *Evidence) find(target string) int {
	return slices.IndexFunc(e.crashes, func(r record) bool { return r.Target == target })
}

// bounded returns a copy that names at most as much as is kept.
func (c Crash) bounded() Crash {
	c.Parts, c.Requests, c.Cleared = distinct(c.Parts, MaxParts), distinct(c.Requests, MaxRequests), distinct(c.Cleared, MaxParts)
	return c
}

// distinct returns the first n different elements of the list.
func distinct(list []string, n int) []string {
	var found []string
	for _, s := range list {
		if len(found) < n && !slices.Contains(found, s) {
			found = append(found, s)
		}
	}
	return found
}

// withoutCleared returns the crash without the parts that it also names as cleared.
func (c Crash) withoutCleared() Crash {
	c.Parts = slices.DeleteFunc(c.Parts, func(part string) bool { return slices.Contains(c.Cleared, part) })
	return c
}

// merge adds what the second report has beyond the first. A part that was cleared once stays
// cleared, in whichever order the reports arrive.
func merge(into *Crash, c Crash) bool {
	changed := false
	for _, part := range c.Cleared {
		changed = into.clear(part) || changed
	}
	for _, part := range c.Parts {
		known := slices.Contains(into.Parts, part) || slices.Contains(into.Cleared, part)
		if !known && len(into.Parts) < MaxParts {
			into.Parts = append(into.Parts, part)
			changed = true
		}
	}
	for _, id := range c.Requests {
		if !slices.Contains(into.Requests, id) && len(into.Requests) < MaxRequests {
			into.Requests = append(into.Requests, id)
		}
	}
	return changed
}

// clear records that a part is cleared, and reports whether that is new.
func (c *Crash) clear(part string) bool {
	if slices.Contains(c.Cleared, part) || len(c.Cleared) >= MaxParts {
		return false
	}
	c.Cleared = append(c.Cleared, part)
	if at := slices.Index(c.Parts, part); at >= 0 {
		c.Parts = slices.Delete(c.Parts, at, at+1)
	}
	return true
}

// Began records that an answer with these parts began at beganMs, by this daemon's clock, at a
// target that lived on. It clears them of the crashes that were known here by then, and returns the
// crashes that changed.
func (e *Evidence) Began(parts []string, beganMs int64) []Crash {
	e.noteAnswered(parts)
	var changed []Crash
	for i := range e.crashes {
		r := &e.crashes[i]
		if r.receivedMs > beganMs {
			continue
		}
		news := Crash{Target: r.Target, AtMs: r.AtMs}
		for _, part := range parts {
			if slices.Contains(r.Parts, part) && r.clear(part) {
				news.Cleared = append(news.Cleared, part)
			}
		}
		if len(news.Cleared) > 0 {
			changed = append(changed, news)
		}
	}
	if len(changed) > 0 {
		e.evaluate()
	}
	return changed
}

// noteAnswered records that an answer began with the parts.
func (e *Evidence) noteAnswered(parts []string) {
	if len(e.answered) >= maxAnswered {
		e.answered, e.answeredBefore = map[string]bool{}, e.answered
	}
	for _, part := range parts {
		e.answered[part] = true
	}
}

// wasAnswered reports whether an answer with the part began here, as far as remembered.
func (e *Evidence) wasAnswered(part string) bool { return e.answered[part] || e.answeredBefore[part] }

// Suspected reports whether any of the parts is not cleared of some crash.
func (e *Evidence) Suspected(parts []string) bool {
	return slices.ContainsFunc(parts, func(part string) bool { return e.suspects[part] != nil })
}

// Expire deletes the crashes that have been known for longer than Retention.
func (e *Evidence) Expire(nowMs int64) {
	before := len(e.crashes)
	e.crashes = slices.DeleteFunc(e.crashes, func(r record) bool { return nowMs-r.receivedMs > Retention.Milliseconds() })
	if len(e.crashes) != before {
		e.evaluate()
	}
	for part, at := range e.probes {
		if nowMs-at > Retention.Milliseconds() {
			delete(e.probes, part)
		}
	}
}

// Crashes returns a copy of the crashes kept, for a daemon that has just started.
func (e *Evidence) Crashes() []Crash {
	out := make([]Crash, len(e.crashes))
	for i, r := range e.crashes {
		out[i] = r.bounded()
	}
	return out
}

// limit drops a crash if there are too many: one whose parts are all cleared, else the oldest of
// those that count least. Crashes that share a part count most, so that the loss of a whole zone
// does not displace the evidence against a part.
func (e *Evidence) limit() {
	if len(e.crashes) <= MaxCrashes {
		return
	}
	least, at := -1, 0
	for i, r := range e.crashes {
		weight := 0
		for _, part := range r.Parts {
			weight = max(weight, e.suspects[part].count)
		}
		if least < 0 || weight < least {
			least, at = weight, i
		}
	}
	e.crashes = slices.Delete(e.crashes, at, at+1)
	e.evaluate()
}
