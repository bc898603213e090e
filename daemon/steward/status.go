package steward

import (
	"sort"
	"time"

	"tarragonhollow.example/tarragonhollow/core/admission"
)

// Status is the operators' view of the steward.
type Status struct {
	Draining bool           `json:"draining"`
	Held     int            `json:"held"`
	Targets  []TargetStatus `json:"targets"`
	Groups   []GroupStatus  `json:"groups"`
	Jobs     []JobStatus    `json:"jobs"`
}

// JobStatus tells whether a job that this steward has had items of will be late.
type JobStatus struct {
	Job string `json:"job"`
	// DueMs and ForecastMs are Unix milliseconds; a forecast of 0 is unknown.
	DueMs      int64 `json:"due_ms"`
	ForecastMs int64 `json:"forecast_ms"`
	// Late tells that the forecast lies beyond the due time.
	Late bool `json:"late"`
	// Weight is the effective weight beside online work.
	Weight float64 `json:"weight"`
}

// TargetStatus describes one own target.
type TargetStatus struct {
	Address string `json:"address"`
	Group   string `json:"group"`
	// Policy is the rule in force for batch there.
	Policy string `json:"policy"`
	// Steward is false while streams of ours end at a target that another took.
	Steward bool `json:"steward"`
	Leaving bool `json:"leaving"`
	Online  int  `json:"online"`
	Running int  `json:"batch_running"`
	// ReportAgeMs is -1 without any load report.
	ReportAgeMs int64 `json:"report_age_ms"`
	// HeldBack tells what keeps further batch away, "" if nothing does.
	HeldBack string `json:"held_back"`
}

// GroupStatus describes the work for one group.
type GroupStatus struct {
	Group  string `json:"group"`
	Queued int    `json:"queued"`
	// Resuming counts the queued items that were cancelled and wait to go on.
	Resuming int `json:"resuming"`
	// Backlog is this daemon's part of what waits, its queue included.
	Backlog int `json:"backlog"`
	// ItemsPerSecond is the recent rate of finished items.
	ItemsPerSecond float64 `json:"items_per_second"`
	// ForecastMs is when the backlog is expected to be finished, Unix
	// milliseconds; 0 is unknown. EarliestDueMs is the first due time in it.
	ForecastMs    int64 `json:"forecast_ms"`
	EarliestDueMs int64 `json:"earliest_due_ms"`
}

// Status returns the present view.
func (s *Steward) Status() Status {
	now := s.opts.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	st := Status{Draining: s.draining, Held: len(s.held)}
	groups := make(map[string]bool)
	for _, t := range s.ownTargets() {
		groups[t.group] = true
		st.Targets = append(st.Targets, t.status(now))
	}
	for group := range groups {
		st.Groups = append(st.Groups, s.groupStatusLocked(now, group))
	}
	for job, j := range s.jobs {
		st.Jobs = append(st.Jobs, j.status(now, job))
	}
	sort.Slice(st.Jobs, func(i, j int) bool { return st.Jobs[i].Job < st.Jobs[j].Job })
	sort.Slice(st.Targets, func(i, j int) bool { return st.Targets[i].Address < st.Targets[j].Address })
	sort.Slice(st.Groups, func(i, j int) bool { return st.Groups[i].Group < st.Groups[j].Group })
	return st
}

func (j *jobForecast) status(now time.Time, job string) JobStatus {
	st := JobStatus{
		Job:    job,
		DueMs:  j.due.UnixMilli(),
		Weight: admission.EffectiveWeight(j.weight, now, j.due, j.finish),
	}
	if !j.finish.IsZero() {
		st.ForecastMs = j.finish.UnixMilli()
		st.Late = j.finish.After(j.due)
	}
	return st
}

func (t *targetState) status(now time.Time) TargetStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	st := TargetStatus{
		Address:     t.address,
		Group:       t.group,
		Policy:      t.core.PolicyName(),
		Steward:     t.lostAt.IsZero(),
		Leaving:     !t.leavingAt.IsZero(),
		Online:      t.core.Online(now),
		Running:     t.core.Running(),
		ReportAgeMs: -1,
		HeldBack:    string(t.why),
	}
	if !t.reportAt.IsZero() {
		st.ReportAgeMs = now.Sub(t.reportAt).Milliseconds()
	}
	return st
}

func (s *Steward) groupStatusLocked(now time.Time, group string) GroupStatus {
	st := GroupStatus{Group: group, Queued: len(s.queued[group]), Backlog: s.backlogLocked(group)}
	for _, it := range s.queued[group] {
		if len(it.progress) > 0 {
			st.Resuming++
		}
		if due := it.due.UnixMilli(); st.EarliestDueMs == 0 || due < st.EarliestDueMs {
			st.EarliestDueMs = due
		}
	}
	for _, o := range s.owners {
		g := o.group(group)
		if g.backlog > 0 && g.earliest > 0 && (st.EarliestDueMs == 0 || g.earliest < st.EarliestDueMs) {
			st.EarliestDueMs = g.earliest
		}
	}
	if rate := s.rates[group]; rate != nil {
		st.ItemsPerSecond = rate.PerSecond(now)
	}
	if forecast := s.forecastLocked(now, group); !forecast.IsZero() {
		st.ForecastMs = forecast.UnixMilli()
	}
	return st
}
