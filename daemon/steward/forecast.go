package steward

import (
	"context"
	"sort"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/admission"
)

const (
	// forecastEvery is how often forecasts are fetched, forecastJobs for how many jobs
	// each time; the least recently queried come first.
	forecastEvery = time.Second
	forecastJobs  = 4
	// forecastTimeout bounds one call.
	forecastTimeout = 2 * time.Second
	// forecastRetention is how long a job is tracked after its last item was pulled here:
	// its forecast must stay known while online work closes all targets.
	forecastRetention = 10 * time.Minute
)

// jobForecast is the tracked state of a job of which this steward has had items.
type jobForecast struct {
	group     string
	due       time.Time
	weight    float64
	finish    time.Time
	heldAt    time.Time
	queriedAt time.Time
	finished  bool
}

// forecastLoop fetches the owners' forecasts of the tracked jobs. Owners know the rate of
// the whole fleet, while this daemon sees only its assigned targets.
func (s *Steward) forecastLoop(ctx context.Context) {
	every(ctx, forecastEvery, func(ctx context.Context) {
		for _, job := range s.jobsToQuery() {
			s.fetchForecast(ctx, job)
		}
		s.applyForecasts()
	})
}

// trackJobLocked starts or continues to track the item's job.
func (s *Steward) trackJobLocked(now time.Time, it *heldItem) {
	j := s.jobs[it.ref.Job]
	if j == nil {
		j = &jobForecast{group: it.group, due: it.due}
		s.jobs[it.ref.Job] = j
	}
	j.heldAt, j.weight, j.finished = now, it.weight, false
}

func (s *Steward) jobsToQuery() []string {
	now := s.opts.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var jobs []string
	for job, j := range s.jobs {
		if j.finished || now.Sub(j.heldAt) > forecastRetention {
			delete(s.jobs, job)
			continue
		}
		jobs = append(jobs, job)
	}
	sort.Slice(jobs, func(i, j int) bool { return s.jobs[jobs[i]].queriedAt.Before(s.jobs[jobs[j]].queriedAt) })
	jobs = jobs[:min(len(jobs), forecastJobs)]
	for _, job := range jobs {
		s.jobs[job].queriedAt = now
	}
	return jobs
}

func (s *Steward) fetchForecast(ctx context.Context, job string) {
	bounded, release := context.WithTimeout(ctx, forecastTimeout)
	defer release()
	status, err := s.opts.Ledger.Job(bounded, job)
	if err != nil {
		s.log.Debug("forecast_failed", zap.String("job", job), zap.Error(err))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.jobs[job]
	if j == nil {
		return
	}
	j.finished = status.EndedMs > 0
	j.finish = time.Time{}
	if status.ForecastMs > 0 {
		j.finish = time.UnixMilli(status.ForecastMs)
	}
}

// applyForecasts sets the forecasts of the running streams to those of their jobs.
func (s *Steward) applyForecasts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, it := range s.held {
		if r := it.run; r != nil {
			r.target.mu.Lock()
			r.target.core.SetForecast(r.id, s.jobFinishLocked(it))
			r.target.mu.Unlock()
		}
	}
}

// jobFinishLocked returns the forecast of the item's job, zero if unknown.
func (s *Steward) jobFinishLocked(it *heldItem) time.Time {
	if j := s.jobs[it.ref.Job]; j != nil {
		return j.finish
	}
	return time.Time{}
}

// groupWeightLocked returns the highest effective weight of the work known to wait for the
// group: of tracked jobs, and of the earliest due time that an owner with a backlog has
// reported. Without it, a target that always has online work would not be opened to items
// whose due time approaches.
func (s *Steward) groupWeightLocked(now time.Time, group string) float64 {
	base := s.heaviestBatchWeight()
	weight := base
	for _, o := range s.owners {
		if g := o.group(group); g.backlog > 0 && g.earliest > 0 {
			weight = max(weight, admission.EffectiveWeight(base, now, time.UnixMilli(g.earliest), time.Time{}))
		}
	}
	for _, j := range s.jobs {
		if j.group == group && !j.finished {
			weight = max(weight, admission.EffectiveWeight(j.weight, now, j.due, j.finish))
		}
	}
	return weight
}
