package steward

import (
	"context"
	"sort"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/admission"
)

const (
	// forecastEvery is how often jobs are asked about, forecastJobs how many each
	// time; the ones asked longest ago come first.
	forecastEvery = time.Second
	forecastJobs  = 4
	// forecastTimeout bounds one question.
	forecastTimeout = 2 * time.Second
	// forecastKept is how long a job is followed after its last item was here:
	// while online work closes all targets, its forecast must still be known.
	forecastKept = 10 * time.Minute
)

// jobForecast is what this steward knows of a job that it has had items of.
type jobForecast struct {
	group    string
	due      time.Time
	weight   float64
	finish   time.Time
	heldAt   time.Time
	askedAt  time.Time
	finished bool
}

// forecastLoop learns the owners' forecasts of the jobs at hand. They know the
// rate of the whole fleet, where this daemon sees its own targets alone.
func (s *Steward) forecastLoop(ctx context.Context) {
	every(ctx, forecastEvery, func(ctx context.Context) {
		for _, job := range s.jobsToAsk() {
			s.askForecast(ctx, job)
		}
		s.spreadForecasts()
	})
}

// noteJobLocked follows the item's job.
func (s *Steward) noteJobLocked(now time.Time, it *heldItem) {
	j := s.jobs[it.ref.Job]
	if j == nil {
		j = &jobForecast{group: it.group, due: it.due}
		s.jobs[it.ref.Job] = j
	}
	j.heldAt, j.weight, j.finished = now, it.weight, false
}

func (s *Steward) jobsToAsk() []string {
	now := s.opts.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var jobs []string
	for job, j := range s.jobs {
		if j.finished || now.Sub(j.heldAt) > forecastKept {
			delete(s.jobs, job)
			continue
		}
		jobs = append(jobs, job)
	}
	sort.Slice(jobs, func(i, j int) bool { return s.jobs[jobs[i]].askedAt.Before(s.jobs[jobs[j]].askedAt) })
	jobs = jobs[:min(len(jobs), forecastJobs)]
	for _, job := range jobs {
		s.jobs[job].askedAt = now
	}
	return jobs
}

func (s *Steward) askForecast(ctx context.Context, job string) {
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

// spreadForecasts tells the running streams of their jobs' forecasts.
func (s *Steward) spreadForecasts() {
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

// groupWeightLocked is the highest effective weight of the work known to wait
// for the group: of jobs at hand, and of the earliest due time that an owner
// with a backlog has told. Without it a target that online work never leaves
// would not be opened to items whose due time comes near.
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
