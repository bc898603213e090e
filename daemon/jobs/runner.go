package jobs

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/batch"
	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/daemon/places"
)

const (
	// stepInterval is the minimum time between two steps: targets' load reports take
	// about as long to arrive.
	stepInterval = 20 * time.Millisecond
	// idleInterval is the maximum, for what changes with time alone.
	idleInterval = 200 * time.Millisecond
	// waitingLogInterval is how often the waiting items are logged.
	waitingLogInterval = time.Second
	// giveUpGrace is added to the time after which an item may be given up: the clocks of
	// hosts differ by seconds.
	giveUpGrace = 5 * time.Second
	// missingRouteTimeout is how long an item's route has to be missing before the item
	// is given up.
	missingRouteTimeout = 5 * time.Second
)

// itemKey identifies an item.
type itemKey struct {
	job  string
	item int
}

// itemRun is a run of an item at a target.
type itemRun struct {
	key    itemKey
	target roster.Target
	slot   places.Slot
	// versionWanted is the software version that the target had to have, "" for any.
	versionWanted string
	startedAt     time.Time
	// due is when the item is due, tokens its size; see batch.Item.
	due    time.Time
	tokens int64
	cancel context.CancelFunc
	// reason is why the run was cancelled; it is set before the cancellation. It is guarded by
	// runner.mu.
	reason string
}

// stop ends the run. Only the first reason is kept. runner.mu is held.
func (r *itemRun) stop(reason string) {
	if r.reason == "" {
		r.reason = reason
	}
	r.cancel()
}

// reasonOf returns why the run was cancelled, "" if it was not or only with the daemon's stop.
func (r *runner) reasonOf(run *itemRun) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return run.reason
}

// runner runs the items of the partitions that the daemon holds.
type runner struct {
	jobs  *Jobs
	wakes chan struct{}
	runs  sync.WaitGroup

	mu sync.Mutex
	// heldSince is when each held partition was acquired, restoredAt when its items'
	// progress was read from the log.
	heldSince  map[int]time.Time
	restoredAt map[int]time.Time
	// releasedAt is when each partition that was held went to another daemon.
	releasedAt map[int]time.Time
	// renewedAt is when the membership was last renewed.
	renewedAt time.Time
	active    map[itemKey]*itemRun
	progress  map[itemKey]*progress
	// endedItems lists the ended items whose progress the log still holds.
	endedItems []itemKey
	stopping   bool
	meter      *meter
	// estimator estimates how long items run.
	estimator batch.Estimator
	// lastLogged is when the waiting items were last logged.
	lastLogged time.Time
	// pacers limit, by group, how many items may start.
	pacers map[string]*batch.Pacer
	// needed is how many slots of each group the items need to finish on time, for the batch
	// reserve. Only the runner's loop uses it.
	needed map[string]float64
}

func newRunner(j *Jobs) *runner {
	return &runner{
		jobs: j, wakes: make(chan struct{}, 1), heldSince: map[int]time.Time{}, restoredAt: map[int]time.Time{}, releasedAt: map[int]time.Time{},
		active: map[itemKey]*itemRun{}, progress: map[itemKey]*progress{}, meter: newMeter(j.Metrics),
		pacers: map[string]*batch.Pacer{},
	}
}

func (r *runner) wake() { duty.Wake(r.wakes) }

// onChange handles a change of the store. jobs.mu is held: r.mu is only ever acquired
// after it.
func (r *runner) onChange(change batch.Change) {
	known := r.jobs.store.Job(change.Job)
	over := change.Removed || known != nil && known.Ended
	if over {
		r.jobs.bodies.evictJob(change.Job)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for key := range r.progress {
		if key.job == change.Job && (over || known != nil && known.Finished(key.item)) {
			r.stopItem(key)
		}
	}
	r.wake()
}

// stopItem drops an item that has ended and stops its run here, if any.
func (r *runner) stopItem(key itemKey) {
	r.dropProgress(key)
	if run := r.active[key]; run != nil {
		run.stop("the item or its job is over")
	}
}

// run makes a step whenever something has changed.
func (r *runner) run(ctx context.Context) {
	idle := time.NewTicker(idleInterval)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wakes:
		case <-r.jobs.Places.Changed():
		case <-idle.C:
		}
		r.step(ctx)
		if !duty.Pause(ctx, stepInterval) {
			return
		}
	}
}

// step preempts items where online work needs the slots, and starts waiting items.
func (r *runner) step(ctx context.Context) {
	r.preempt()
	table := r.jobs.Routes()
	if table == nil {
		return
	}
	r.publishHeld()
	waiting := r.waiting(table)
	limits := newStartLimits()
	for i := range waiting {
		r.start(ctx, &waiting[i], limits)
	}
	r.logWaiting(waiting)
}

// logWaiting logs the waiting items, at most once per waitingLogInterval.
func (r *runner) logWaiting(waiting []candidate) {
	if len(waiting) == 0 || time.Since(r.lastLogged) < waitingLogInterval {
		return
	}
	r.lastLogged = time.Now()
	r.mu.Lock()
	active := len(r.active)
	r.mu.Unlock()
	first := waiting[0]
	late := 0
	for i := range waiting {
		if waiting[i].late {
			late++
		}
	}
	free, reserve := 0, zap.Skip()
	if first.route != nil {
		free = r.jobs.Places.FreeSlots(first.route.Groups[0].Group, r.jobs.Headroom)
	}
	if r.jobs.Places.BatchReserve() {
		reserve = zap.Int("reserve", r.jobs.Places.HeldBack())
	}
	r.jobs.Logger.Info("batch_waits", zap.Int("waiting", len(waiting)), zap.Int("behind", late), zap.Int("running", active), zap.Int("free_places", free), reserve,
		zap.String("first_job", first.key.job), zap.Int64("first_due_in_ms", time.Until(first.due).Milliseconds()))
}

// hash identifies the item in the load reports between daemons.
func (k itemKey) hash() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(batch.ResultKey(k.job, k.item)))
	return h.Sum64()
}

// start runs the item if its target group has a free slot and the limits of the step allow
// it.
func (r *runner) start(ctx context.Context, c *candidate, limits *startLimits) {
	p := r.progressOf(c.key)
	if r.giveUpInfeasible(c, p) || c.route == nil {
		return
	}
	group := p.chooseGroup(c.route)
	if _, known := limits.left[group]; !known {
		limits.left[group] = r.allowance(group)
	}
	if !limits.allow(group, c) {
		return
	}
	body, ok := r.jobs.bodies.cached(c.key.job, c.key.item, c.item.BodyBytes)
	if !ok {
		r.fetchBody(ctx, c, p)
		return
	}
	demand := r.versionDemand(c, p, group, limits)
	if !limits.allowVersion(group, demand, c) {
		r.awaitVersion(c, p, demand)
		return
	}
	slot, ok := r.acquire(ctx, c, p, group, demand)
	if !ok {
		r.denied(c, p, group, demand, limits)
		return
	}
	itemCtx, cancel := context.WithCancel(ctx)
	run := &itemRun{key: c.key, target: slot.Target, slot: slot, versionWanted: demand.version, startedAt: time.Now(), due: c.due, tokens: c.item.Tokens, cancel: cancel}
	r.mu.Lock()
	admitted := r.admit(c, p, slot, demand)
	if admitted {
		r.active[c.key] = run
	}
	r.mu.Unlock()
	if !admitted {
		cancel()
		r.refuseSlot(c, p, slot, demand, limits)
		return
	}
	limits.left[group]--
	r.runs.Add(1)
	go func() {
		defer r.runs.Done()
		defer cancel()
		defer context.AfterFunc(slot.Alive, func() { r.targetRestarted(run) })()
		r.runItem(itemCtx, c, run, p, body)
	}()
}

// targetRestarted ends a run whose target has restarted and so lost the run.
func (r *runner) targetRestarted(run *itemRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.stop("the target has started again")
}

// giveUpInfeasible gives up an item that is too old, whose route is missing, or whose targets have
// reported its failure as often as allowed, to an earlier holder that did not write its end.
func (r *runner) giveUpInfeasible(c *candidate, p *progress) bool {
	now := time.Now()
	if c.route == nil {
		if p.unroutedSince.IsZero() {
			p.unroutedSince = now
		}
		if now.Sub(p.unroutedSince) > missingRouteTimeout {
			r.giveUp(c, p, "no route")
			return true
		}
		return false
	}
	p.unroutedSince = time.Time{}
	if c.route.KeepFor > 0 && c.age > c.route.KeepFor+giveUpGrace {
		r.giveUp(c, p, "too old")
		return true
	}
	if failures := p.failureCount(); failures > 0 && failures >= c.route.MaxAttempts {
		r.giveUp(c, p, "the targets failed")
		return true
	}
	return false
}

// bodyMaxWait is how long reading the partition may take to deliver a body before the
// body is read on its own.
const bodyMaxWait = 2 * time.Second

// fetchBody reads a body from the log if following the partition has not delivered it.
func (r *runner) fetchBody(ctx context.Context, c *candidate, p *progress) {
	now := time.Now()
	if p.bodyMissingSince.IsZero() {
		p.bodyMissingSince = now
	}
	if now.Sub(p.bodyMissingSince) < bodyMaxWait {
		return
	}
	p.bodyMissingSince = now
	go func() {
		body, err := r.jobs.bodies.get(ctx, c.key.job, c.key.item, c.item.BodyBytes)
		if err != nil {
			r.jobs.Logger.Warn("body_missing", zap.String("job", c.key.job), zap.Int("item", c.key.item), zap.Error(err))
			return
		}
		r.jobs.bodies.cacheBody(c.key.job, c.key.item, body)
		r.wake()
	}()
}

func (r *runner) progressOf(key itemKey) *progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.progress[key]
	if p == nil {
		p = newProgress()
		r.progress[key] = p
	}
	return p
}

// finish queues the item's result and drops its progress and body.
func (r *runner) finish(c *candidate, state batch.State, output, cause string) {
	if len(output) > maxRecordBytes {
		cause = "the output is longer than a record of the log"
	}
	r.jobs.Logger.Info("item_ended", zap.String("job", c.key.job), zap.String("id", c.item.ID), zap.Int("item", c.key.item),
		zap.String("route", c.routeName()), zap.Bool("succeeded", state == batch.Succeeded), zap.String("cause", cause),
		zap.Int64("age_ms", c.age.Milliseconds()), zap.Bool("due_missed", c.route != nil && time.Now().After(c.due)))
	r.meter.finished(state)
	// The delay keeps the item from being started again until its result is in the store.
	r.mu.Lock()
	if p := r.progress[c.key]; p != nil {
		p.clear()
		p.notBefore = time.Now().Add(time.Hour)
	}
	r.mu.Unlock()
	result := batch.Result{Item: c.key.item, ID: c.item.ID, State: state, Tokens: c.item.Tokens, Output: output}
	r.jobs.writers[r.jobs.part(c.key.job)].add(queuedResult{c.key.job, result, time.Now()})
	r.jobs.bodies.evict(c.key.job, c.key.item)
}

// Drain ends the batch work of a stopping daemon: it releases the partitions, starts
// nothing new, lets runs end while ctx lasts, and writes results.
func (j *Jobs) Drain(ctx context.Context) {
	j.runner.stop()
	j.runner.saveProgress(ctx, saveAnyGrowth)
	if err := j.Groups.Leave(ctx, groupName, j.Host); err != nil {
		j.Logger.Info("group_not_left", zap.Error(err))
	}
	ended := make(chan struct{})
	go func() {
		j.runner.runs.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
	}
	for !j.allWritten() && duty.Pause(ctx, stepInterval) {
	}
}

// stop prevents new runs and further renewals of the membership.
func (r *runner) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping = true
}

func (j *Jobs) allWritten() bool {
	for _, w := range j.writers {
		if !w.empty() {
			return false
		}
	}
	return true
}
