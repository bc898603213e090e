package steward

import (
	"sort"
	"time"

	"tarragonhollow.example/tarragonhollow/core/admission"
)

// Status is the state of the steward as shown to operators.
type Status struct {
	Draining bool           `json:"draining"`
	Held     int            `json:"held"`
	Targets  []TargetStatus `json:"targets"`
	Groups   []GroupStatus  `json:"groups"`
	Jobs     []JobStatus    `json:"jobs"`
}

// JobStatus is the forecast of a job of which this steward has had items.
type JobStatus struct {
	Job string `json:"job"`
	// DueMs and ForecastMs are Unix milliseconds; a forecast of 0 is unknown.
	DueMs      int64 `json:"due_ms"`
	ForecastMs int64 `json:"forecast_ms"`
	// Late is set if the forecast is after the due time.
	Late bool `json:"late"`
	// Weight is the effective weight relative to online work.
	Weight float64 `json:"weight"`
}

// TargetStatus describes one target assigned to this daemon.
type TargetStatus struct {
	Address string `json:"address"`
	Group   string `json:"group"`
	// Policy is the name of the admission policy in force.
	Policy string `json:"policy"`
	// Steward is false while this daemon's streams end at a target that has another steward.
	Steward bool `json:"steward"`
	Leaving bool `json:"leaving"`
	Online  int  `json:"online"`
	Running int  `json:"batch_running"`
	// ReportAgeMs is -1 if there is no load report yet.
	ReportAgeMs int64 `json:"report_age_ms"`
	// BlockedBy is the reason why no further batch is admitted; "" if there is none.
	BlockedBy string `json:"held_back"`
}

// GroupStatus describes the work for one group.
type GroupStatus struct {
	Group  string `json:"group"`
	Queued int    `json:"queued"`
	// Resuming counts the queued items that were cancelled and wait to resume.
	Resuming int `json:"resuming"`
	// Backlog is this daemon's part of the waiting items, including its queue.
	Backlog int `json:"backlog"`
	// ItemsPerSecond is the recent rate of finished items.
	ItemsPerSecond float64 `json:"items_per_second"`
	// ForecastMs is when the backlog is expected to be finished, Unix milliseconds; 0 is
	// unknown. EarliestDueMs is the earliest due time in the backlog, Unix milliseconds.
	ForecastMs    int64 `json:"forecast_ms"`
	EarliestDueMs int64 `json:"earliest_due_ms"`
}

// Status returns the current state for operators.
func (s *Steward) Status() Status {
	now := s.opts.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	st := Status{Draining: s.draining, Held: len(s.held)}
	groups := make(map[string]bool)
	for _, t := range s.assignedTargets() {
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
		BlockedBy:   string(t.reason),
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
