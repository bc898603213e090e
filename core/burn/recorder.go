package burn

import "tarragonhollow.example/tarragonhollow/core/config"

// Recorder counts the events of one host incarnation. It is not safe for
// concurrent use: one duty owns it and takes events from a ring.
type Recorder struct {
	source string
	set    *Set
	// changed names the cells counted into since the last Changes.
	changed map[seriesKey]map[cellKey]struct{}
}

// NewRecorder returns a recorder for the host incarnation named by source. A
// restarted host must use a new name: its counters begin at zero again.
func NewRecorder(source string) *Recorder {
	return &Recorder{source: source, set: NewSet(), changed: make(map[seriesKey]map[cellKey]struct{})}
}

// Record counts one event against the objectives that p has now: a later
// change of the configuration does not judge old events anew. p is not nil.
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

// judgeAll judges an event by every objective.
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

// mark notes that a cell has changed.
func (r *Recorder) mark(key seriesKey, at cellKey) {
	cells, ok := r.changed[key]
	if !ok {
		cells = make(map[cellKey]struct{})
		r.changed[key] = cells
	}
	cells[at] = struct{}{}
}

// Changes returns the cells that changed since the last call, whole: a lost
// summary is made good by the next one that holds the same cell.
func (r *Recorder) Changes() Summary {
	summaries := r.set.collect(func(key seriesKey, at cellKey) bool {
		_, ok := r.changed[key][at]
		return ok
	})
	clear(r.changed)
	return r.only(summaries)
}

// All returns every cell, for a peer or a report.
func (r *Recorder) All() Summary { return r.only(r.set.Summaries()) }

// only returns the one summary that a recorder has, or an empty one.
func (r *Recorder) only(summaries []Summary) Summary {
	if len(summaries) == 0 {
		return Summary{Source: r.source}
	}
	return summaries[0]
}

// Prune forgets the cells that no window reaches back to.
func (r *Recorder) Prune(nowMs int64) { r.set.Prune(nowMs) }
