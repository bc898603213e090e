package burn

import (
	"cmp"
	"slices"

	"tarragonhollow.example/tarragonhollow/core/config"
)

// Window is a span of time that ends now.
type Window struct {
	// Name is the name used in reports.
	Name string
	// SpanMs is the window's length in milliseconds.
	SpanMs int64
	// Scale is the scale of the cells that are summed.
	Scale Scale
}

// The windows of the two alerts, each of which combines a long and a short window. A long
// window alone would raise an alert long after the problem began and keep it long after the
// problem ended; the short window ends it.
var (
	window5m  = Window{Name: "5m", SpanMs: 5 * minuteMs, Scale: Fine}
	window30m = Window{Name: "30m", SpanMs: 30 * minuteMs, Scale: Minute}
	window1h  = Window{Name: "1h", SpanMs: hourMs, Scale: Minute}
	window6h  = Window{Name: "6h", SpanMs: 6 * hourMs, Scale: Minute}
	period    = Window{Name: "72h", SpanMs: PeriodMs, Scale: Hour}
	// window5mCoarse replaces window5m for series that have only minute buckets.
	window5mCoarse = Window{Name: "5m", SpanMs: 5 * minuteMs, Scale: Minute}

	windows = [...]Window{window5m, window30m, window1h, window6h}
)

const (
	// A burn rate of fastBurn in 5m and 1h, or of slowBurn in 30m and 6h, raises an alert.
	// These are the usual factors: they spend 2 % of a 30-day budget in 1 h, or 5 % in 6 h.
	fastBurn = 14.4
	slowBurn = 6.0
	// topReasons is the maximum number of reasons that a report lists per objective.
	topReasons = 5
)

// Alert names the rule that fires.
type Alert string

const (
	// NoAlert: neither rule fires.
	NoAlert Alert = ""
	// FastAlert: 5m and 1h both burn at 14.4 or more.
	FastAlert Alert = "fast"
	// SlowAlert: 30m and 6h both burn at 6 or more.
	SlowAlert Alert = "slow"
)

// Report is the service-level burn of all profiles that have objectives.
type Report struct {
	// AtMs is the end of the windows, Unix milliseconds.
	AtMs int64 `json:"at_ms"`
	// Profiles are sorted by name; those without an objective are left out.
	Profiles []ProfileReport `json:"profiles"`
}

// ProfileReport is the burn of one profile.
type ProfileReport struct {
	Profile    string            `json:"profile"`
	Objectives []ObjectiveReport `json:"objectives"`
}

// ObjectiveReport is the burn of one objective.
type ObjectiveReport struct {
	Objective string `json:"objective"`
	// Share is the share of events that must be good.
	Share   float64      `json:"share"`
	Windows []WindowBurn `json:"windows"`
	// Alerting reports whether a rule fires, Alert which one; fast has precedence over slow.
	Alerting bool  `json:"alerting"`
	Alert    Alert `json:"alert"`
	// BudgetLeft is the remaining share of the period's error budget: 1 if none is spent,
	// below 0 if it is overspent.
	BudgetLeft float64 `json:"budget_left"`
	// PeriodMs is the period of the error budget, in milliseconds.
	PeriodMs int64 `json:"period_ms"`
	// TopReasons covers the last 6 h.
	TopReasons []TopReason `json:"top_reasons"`
}

// WindowBurn is the burn rate in one window: at 1, the budget is spent exactly at the end of
// the period.
type WindowBurn struct {
	Window string  `json:"window"`
	Burn   float64 `json:"burn"`
	Total  uint64  `json:"total"`
	Bad    uint64  `json:"bad"`
}

// TopReason is one of the most frequent reasons of bad events.
type TopReason struct {
	Group  string `json:"group"`
	Reason string `json:"reason"`
	Count  uint64 `json:"count"`
}

// Report returns the burn at nowMs against the profiles' current objectives.
func (s *Set) Report(nowMs int64, profiles map[string]*config.Profile) Report {
	names := make([]string, 0, len(profiles))
	for name := range profiles {
		names = append(names, name)
	}
	slices.Sort(names)
	report := Report{AtMs: nowMs, Profiles: []ProfileReport{}}
	for _, name := range names {
		p := ProfileReport{Profile: name}
		for o := range objectives {
			if wanted := share(o, profiles[name].SLO); wanted > 0 && wanted < 1 {
				p.Objectives = append(p.Objectives, s.objective(o, name, wanted, nowMs))
			}
		}
		if len(p.Objectives) > 0 {
			report.Profiles = append(report.Profiles, p)
		}
	}
	return report
}

// objective returns the report of one objective.
func (s *Set) objective(o Objective, profile string, wanted float64, nowMs int64) ObjectiveReport {
	r := ObjectiveReport{Objective: o.String(), Share: wanted, PeriodMs: PeriodMs}
	burns := make(map[string]float64, len(windows))
	for _, w := range windows {
		n := s.sum(o, profile, w, nowMs)
		burns[w.Name] = burnRate(n, wanted)
		r.Windows = append(r.Windows, WindowBurn{Window: w.Name, Burn: burns[w.Name], Total: n.Total, Bad: n.Bad})
	}
	switch {
	case min(burns[window5m.Name], burns[window1h.Name]) >= fastBurn:
		r.Alert = FastAlert
	case min(burns[window30m.Name], burns[window6h.Name]) >= slowBurn:
		r.Alert = SlowAlert
	}
	r.Alerting = r.Alert != NoAlert
	r.BudgetLeft = 1 - burnRate(s.sum(o, profile, period, nowMs), wanted)
	r.TopReasons = s.reasons(o, profile, nowMs)
	return r
}

// burnRate returns the share of bad events divided by the allowed share.
func burnRate(n Count, wanted float64) float64 {
	if n.Total == 0 {
		return 0
	}
	return float64(n.Bad) / float64(n.Total) / (1 - wanted)
}

// sum returns a profile's event count over all sources and groups in a window.
func (s *Set) sum(o Objective, profile string, w Window, nowMs int64) (n Count) {
	for key, cells := range s.series {
		if key.profile != profile {
			continue
		}
		s.eachIn(cells, s.windowFor(key, w, nowMs), nowMs, func(c *Cell) {
			n.Total += c.Counts[o].Total
			n.Bad += c.Counts[o].Bad
		})
	}
	return n
}

// windowFor returns the window to use for a series. Of a host that was replaced, only the
// minute buckets from the log are known. Without them its events would be missing from the
// 5 min window, which could hide the failure that took the host down.
func (s *Set) windowFor(key seriesKey, w Window, nowMs int64) Window {
	if w.Scale != Fine {
		return w
	}
	fine := false
	// A fine bucket ahead of now, from a host whose clock is fast, may be in the
	// current minute, so the search extends to the end of that minute.
	ahead := Window{SpanMs: w.SpanMs + minuteMs, Scale: w.Scale}
	s.eachIn(s.series[key], ahead, nowMs+minuteMs, func(*Cell) { fine = true })
	if fine {
		return w
	}
	return window5mCoarse
}

// eachIn calls visit for the cells of a window: the current bucket, which is still
// incomplete, and those before it. Buckets ahead of now are from hosts whose clocks are fast;
// they are counted when their time comes.
func (s *Set) eachIn(cells map[cellKey]*Cell, w Window, nowMs int64, visit func(*Cell)) {
	last := nowMs / widthMs[w.Scale]
	first := last - w.SpanMs/widthMs[w.Scale] + 1
	for index := first; index <= last; index++ {
		if cell, ok := cells[cellKey{scale: w.Scale, index: index}]; ok {
			visit(cell)
		}
	}
}

// reasons returns the most frequent reasons of an objective's bad events.
func (s *Set) reasons(o Objective, profile string, nowMs int64) []TopReason {
	type reasonKey struct{ group, reason string }
	counts := make(map[reasonKey]uint64)
	for key, cells := range s.series {
		if key.profile != profile {
			continue
		}
		s.eachIn(cells, window6h, nowMs, func(c *Cell) {
			if o != Availability {
				counts[reasonKey{key.group, lateReasons[o]}] += c.Counts[o].Bad
				return
			}
			for reason, n := range c.Reasons {
				counts[reasonKey{key.group, reason}] += n
			}
		})
	}
	top := make([]TopReason, 0, len(counts))
	for k, n := range counts {
		if n > 0 {
			top = append(top, TopReason{Group: k.group, Reason: k.reason, Count: n})
		}
	}
	slices.SortFunc(top, func(a, b TopReason) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Group, b.Group), cmp.Compare(a.Reason, b.Reason))
	})
	return top[:min(topReasons, len(top))]
}
