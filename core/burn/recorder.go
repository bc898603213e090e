package burn

import "tarragonhollow.example/tarragonhollow/core/config"

// Recorder counts the events of one host incarnation. It is not safe for concurrent use: a
// single goroutine owns it and reads the events from a ring buffer.
type Recorder struct {
	source string
	set    *Set
	// changed holds the keys of the cells that changed since the last call of Changes.
	changed map[seriesKey]map[cellKey]struct{}
}

// NewRecorder returns a recorder for the host incarnation with the id source. A restarted
// host must use a new id, because its counters start at zero again.
func NewRecorder(source string) *Recorder {
	return &Recorder{source: source, set: NewSet(), changed: make(map[seriesKey]map[cellKey]struct{})}
}

// Record counts one event against the current objectives of p: a later change of the
// configuration does not re-evaluate old events. p must not be nil.
func (r *Recorder) Record(e Event, p *config.Profile) {
	if e.Outcome == NotCounted {
		return
	}
	judged := judgeAll(e, p)
	reason := ""
	if e.Outcome == Failed {
		reason = e.Reason
		if reason == "" {
			reason = otherReason
		}
	}
	key := seriesKey{source: r.source, profile: e.Profile, group: e.Group}
	for scale := range scales {
		at := cellKey{scale: scale, index: e.AtMs / widthMs[scale]}
		r.set.cell(key, at).add(judged, reason)
		r.mark(key, at)
	}
}

// judgeAll evaluates an event against every objective.
func judgeAll(e Event, p *config.Profile) (judged [objectives]Count) {
	for o := range objectives {
		counts, bad := judge(o, e, p)
		if !counts {
			continue
		}
		judged[o].Total = 1
		if bad {
			judged[o].Bad = 1
		}
	}
	return judged
}

// mark records that a cell has changed.
func (r *Recorder) mark(key seriesKey, at cellKey) {
	cells, ok := r.changed[key]
	if !ok {
		cells = make(map[cellKey]struct{})
		r.changed[key] = cells
	}
	cells[at] = struct{}{}
}

// Changes returns the cells that changed since the last call, with their total counts and
// not the differences: the next summary with the same cell makes up for a lost one.
func (r *Recorder) Changes() Summary {
	summaries := r.set.collect(func(key seriesKey, at cellKey) bool {
		_, ok := r.changed[key][at]
		return ok
	})
	clear(r.changed)
	return r.first(summaries)
}

// All returns every cell, for a peer or a report.
func (r *Recorder) All() Summary { return r.first(r.set.Summaries()) }

// first returns the first summary, or an empty one. A recorder has at most one.
func (r *Recorder) first(summaries []Summary) Summary {
	if len(summaries) == 0 {
		return Summary{Source: r.source}
	}
	return summaries[0]
}

// Prune removes the cells that no window reaches back to any more.
func (r *Recorder) Prune(nowMs int64) { r.set.Prune(nowMs) }
