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
	// groupName is the consumer group whose partitions determine which daemon runs which
	// items.
	groupName = "runners"
	// memberTTL is how long a membership lasts without renewal: a host that crashed is
	// replaced within it, and one that was paused for less keeps its items.
	memberTTL = 2500 * time.Millisecond
	// renewInterval allows two consecutive renewals to be lost.
	renewInterval = 800 * time.Millisecond
	// expiryInterval is how often expired jobs are looked for.
	expiryInterval = 10 * time.Second
	// expiryGrace is added to the retention time of a job: the clock that stamped its
	// acceptance may differ from this one, and clocks jump by seconds.
	expiryGrace = 15 * time.Second
)

// keepMembership renews the membership and updates the partitions held.
func (r *runner) keepMembership(ctx context.Context) {
	generation := int64(0)
	lastExpiry := time.Now()
	for !r.isStopping() {
		if r.jobs.LargeZone() && !r.jobs.CanHoldPartitions() {
			r.leaveGroup(ctx)
			if !duty.Pause(ctx, renewInterval) {
				return
			}
			continue
		}
		claim, err := r.jobs.Groups.Join(ctx, groupName, r.jobs.Host, []string{r.jobs.Topics.Results}, memberTTL, generation)
		if err == nil {
			generation = claim.Generation
			r.updateHeld(ctx, claim)
		} else if ctx.Err() == nil {
			// The partitions stay in use: running an item that another daemon also runs
			// costs a run; stopping all would miss the items' due times.
			r.jobs.Logger.Info("membership_not_renewed", zap.Error(err))
		}
		if time.Since(lastExpiry) > expiryInterval {
			lastExpiry = time.Now()
			r.removeExpired(ctx)
		}
		if !duty.Pause(ctx, renewInterval) {
			return
		}
	}
}

// leaveGroup releases the partitions of a daemon that has found its zone to be large and
// its host to be small.
func (r *runner) leaveGroup(ctx context.Context) {
	r.mu.Lock()
	held := len(r.heldSince)
	r.mu.Unlock()
	if held == 0 {
		return
	}
	if err := r.jobs.Groups.Leave(ctx, groupName, r.jobs.Host); err != nil {
		r.jobs.Logger.Info("group_not_left", zap.Error(err))
		return
	}
	r.updateHeld(ctx, partlog.Assignment{})
}

func (r *runner) isStopping() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopping
}

// updateHeld sets the partitions whose items the daemon runs from now on.
func (r *runner) updateHeld(ctx context.Context, claim partlog.Assignment) {
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
	r.renewedAt = now
	for part := range r.heldSince {
		if !held[part] {
			delete(r.heldSince, part)
			r.releasedAt[part] = now
			r.jobs.bodies.unfollow(part)
			r.jobs.Logger.Info("partition_given_up", zap.Int("part", part), zap.Int64("generation", claim.Generation))
		}
	}
	for part := range held {
		if _, had := r.heldSince[part]; !had {
			r.heldSince[part] = now
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

// removeExpired removes the jobs of the held partitions whose retention time is over. The
// acceptance is removed first: a job without it is run by no daemon, while one without
// its results would be run again.
func (r *runner) removeExpired(ctx context.Context) {
	for _, id := range r.expiredJobs() {
		if err := r.jobs.removeJob(ctx, id); err != nil {
			r.jobs.Logger.Info("job_not_forgotten", zap.String("job", id), zap.Error(err))
			return
		}
	}
}

func (r *runner) expiredJobs() []string {
	r.jobs.mu.Lock()
	defer r.jobs.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for _, id := range r.jobs.store.Expired(time.Now(), r.jobs.KeepFor+expiryGrace) {
		if _, held := r.heldSince[r.jobs.part(id)]; held {
			ids = append(ids, id)
		}
	}
	return ids
}

// removeJob deletes all records of a job from the log.
func (j *Jobs) removeJob(ctx context.Context, id string) error {
	j.mu.Lock()
	known := j.store.Job(id)
	j.mu.Unlock()
	if known == nil {
		return nil
	}
	if err := j.loadItems(ctx, id); err != nil {
		return err
	}
	tombstones := []partlog.Record{{Key: batch.AcceptedKey(id)}, {Key: batch.EndedKey(id)}}
	if _, err := j.Log.Append(ctx, j.accepted.partition, tombstones, partlog.AnyOffset); err != nil {
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
	if _, err := j.Log.Append(ctx, j.results[part].partition, results, partlog.AnyOffset); err != nil {
		return err
	}
	if _, err := j.Log.Append(ctx, partlog.Partition{Topic: j.Topics.Progress, Part: part}, progress, partlog.AnyOffset); err != nil {
		return err
	}
	_, err := j.Log.Append(ctx, j.bodies.partition(part), bodies, partlog.AnyOffset)
	return err
}
