package jobs

import (
	"context"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/batch"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/extern/partlog"
)

const (
	// groupName is the group whose partitions say who runs which items.
	groupName = "runners"
	// memberTTL is how long a membership lasts without renewal: a host that died
	// is replaced within it, and one that was paused for less keeps its items.
	memberTTL = 2500 * time.Millisecond
	// renewEvery leaves two renewals to be lost.
	renewEvery = 800 * time.Millisecond
	// forgetEvery is the pace at which old jobs are looked for.
	forgetEvery = 10 * time.Second
	// forgetSlack is added to the time for which a job can be read: the clock that
	// stamped its acceptance may differ from this one, and clocks jump by seconds.
	forgetSlack = 15 * time.Second
)

// join keeps the membership and takes what it holds.
func (r *runner) join(ctx context.Context) {
	generation := int64(0)
	forgot := time.Now()
	for !r.isStopping() {
		if r.jobs.Large() && !r.jobs.Roomy() {
			r.leave(ctx)
			if !duty.Pause(ctx, renewEvery) {
				return
			}
			continue
		}
		claim, err := r.jobs.Groups.Join(ctx, groupName, r.jobs.Host, []string{r.jobs.Topics.Results}, memberTTL, generation)
		if err == nil {
			generation = claim.Generation
			r.hold(ctx, claim)
		} else if ctx.Err() == nil {
			// The partitions stay in use: running an item that another daemon runs
			// too costs a run, stopping all would cost the deadline.
			r.jobs.Logger.Info("membership_not_renewed", zap.Error(err))
		}
		if time.Since(forgot) > forgetEvery {
			forgot = time.Now()
			r.forget(ctx)
		}
		if !duty.Pause(ctx, renewEvery) {
			return
		}
	}
}

// leave gives back the partitions of a daemon that has found its zone to be large and its
// host to be small.
func (r *runner) leave(ctx context.Context) {
	r.mu.Lock()
	held := len(r.owned)
	r.mu.Unlock()
	if held == 0 {
		return
	}
	if err := r.jobs.Groups.Leave(ctx, groupName, r.jobs.Host); err != nil {
		r.jobs.Logger.Info("group_not_left", zap.Error(err))
		return
	}
	r.hold(ctx, partlog.Claim{})
}

func (r *runner) isStopping() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopping
}

// hold takes the partitions that the daemon runs from now on.
func (r *runner) hold(ctx context.Context, claim partlog.Claim) {
	held := map[int]bool{}
	for _, p := range claim.Parts {
		held[p.Part] = true
	}
	now := time.Now()
	r.jobs.followHeld(ctx, held)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping {
		return
	}
	r.renewed = now
	for part := range r.owned {
		if !held[part] {
			delete(r.owned, part)
			r.gaveUp[part] = now
			r.jobs.bodies.unfollow(part)
			r.jobs.Logger.Info("partition_given_up", zap.Int("part", part), zap.Int64("generation", claim.Generation))
		}
	}
	for part := range held {
		if _, had := r.owned[part]; !had {
			r.owned[part] = now
			r.jobs.bodies.follow(ctx, part)
			go r.restoreProgress(ctx, part)
			r.jobs.Logger.Info("partition_held", zap.Int("part", part), zap.Int64("generation", claim.Generation))
			r.wake()
		}
	}
}

// followHeld reads the results of the partitions that are held, and of no others.
func (j *Jobs) followHeld(ctx context.Context, held map[int]bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for part, c := range j.results {
		switch {
		case held[part] && c.unfollow == nil:
			following, stop := context.WithCancel(ctx)
			c.unfollow = stop
			go j.followResults(following, c)
		case !held[part] && c.unfollow != nil:
			c.unfollow()
			c.unfollow = nil
		}
	}
}

// followResults reads a held partition to its end at once, so that its items can
// start, and then follows it.
func (j *Jobs) followResults(ctx context.Context, c *cursor) {
	if err := j.catchUp(ctx, c); err != nil {
		j.Logger.Info("results_not_read", zap.Int("part", c.partition.Part), zap.Error(err))
	}
	partlog.Follow(ctx, j.Log, c.partition, resultsPace, c)
}

// forget drops the jobs of the held partitions that nobody may ask for any
// more. The acceptance goes first: a job without it is run by nobody, while one
// without its results would be run again.
func (r *runner) forget(ctx context.Context) {
	for _, id := range r.forgettable() {
		if err := r.jobs.drop(ctx, id); err != nil {
			r.jobs.Logger.Info("job_not_forgotten", zap.String("job", id), zap.Error(err))
			return
		}
	}
}

func (r *runner) forgettable() []string {
	r.jobs.mu.Lock()
	defer r.jobs.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	var mine []string
	for _, id := range r.jobs.book.Forgettable(time.Now(), r.jobs.KeepFor+forgetSlack) {
		if _, held := r.owned[r.jobs.part(id)]; held {
			mine = append(mine, id)
		}
	}
	return mine
}

// drop removes all records of a job.
func (j *Jobs) drop(ctx context.Context, id string) error {
	j.mu.Lock()
	known := j.book.Job(id)
	j.mu.Unlock()
	if known == nil {
		return nil
	}
	if err := j.list(ctx, id); err != nil {
		return err
	}
	gone := []partlog.Record{{Key: batch.AcceptedKey(id)}, {Key: batch.EndedKey(id)}}
	if _, err := j.Log.Append(ctx, j.accepted.partition, gone, partlog.Anywhere); err != nil {
		return err
	}
	var results, progress []partlog.Record
	bodies := []partlog.Record{{Key: batch.ItemsKey(id)}}
	for i, item := range known.Items {
		results = append(results, partlog.Record{Key: batch.ResultKey(id, i)})
		progress = append(progress, partlog.Record{Key: batch.ResultKey(id, i)})
		for chunk := range (item.BodyBytes + chunkBytes - 1) / chunkBytes {
			bodies = append(bodies, partlog.Record{Key: batch.BodyKey(id, i, chunk)})
		}
	}
	part := j.part(id)
	if _, err := j.Log.Append(ctx, j.results[part].partition, results, partlog.Anywhere); err != nil {
		return err
	}
	if _, err := j.Log.Append(ctx, partlog.Partition{Topic: j.Topics.Progress, Part: part}, progress, partlog.Anywhere); err != nil {
		return err
	}
	_, err := j.Log.Append(ctx, j.bodies.partition(part), bodies, partlog.Anywhere)
	return err
}
