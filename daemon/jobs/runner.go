package jobs

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/batch"
	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/daemon/places"
)

const (
	// stepPause is the shortest time between two looks at what waits: targets'
	// counts travel for about as long.
	stepPause = 20 * time.Millisecond
	// idleLook is the longest, for what changes by time alone.
	idleLook = 200 * time.Millisecond
	// tellEvery is the pace of the lines on what waits.
	tellEvery = time.Second
	// giveUpSlack is added to the time after which an item may be given up: the
	// clocks of hosts differ by seconds.
	giveUpSlack = 5 * time.Second
	// routeGone is for how long an item's route has to be missing before the
	// item is given up.
	routeGone = 5 * time.Second
)

// itemKey names an item.
type itemKey struct {
	job  string
	item int
}

// running is an item at a target.
type running struct {
	key    itemKey
	target roster.Target
	place  places.Place
	began  time.Time
	// due is when the item is due, tokens its size; see batch.Item.
	due    time.Time
	tokens int64
	cancel context.CancelFunc
	// reason tells why the run was cancelled; it is set before that.
	reason string
}

// stop ends the run. The first reason counts; it must not change while the run
// reads it.
func (r *running) stop(reason string) {
	if r.reason == "" {
		r.reason = reason
	}
	r.cancel()
}

// runner runs the items of the partitions that the daemon holds.
type runner struct {
	jobs  *Jobs
	wakes chan struct{}
	items sync.WaitGroup

	mu sync.Mutex
	// owned holds since when each partition is held, restored when its items'
	// progress was read from the log.
	owned    map[int]time.Time
	restored map[int]time.Time
	// gaveUp holds when each partition that was held went to another daemon.
	gaveUp map[int]time.Time
	// renewed is when the membership was last renewed.
	renewed  time.Time
	active   map[itemKey]*running
	progress map[itemKey]*progress
	// over names the items that have ended and whose progress the log still holds.
	over     []itemKey
	stopping bool
	meter    *meter
	// speed is what was learned of items' runs.
	speed batch.Speed
	// told is when it was last logged what waits.
	told time.Time
	// pacers hold, by group, how many items may start.
	pacers map[string]*batch.Pacer
}

func newRunner(j *Jobs) *runner {
	return &runner{
		jobs: j, wakes: make(chan struct{}, 1), owned: map[int]time.Time{}, restored: map[int]time.Time{}, gaveUp: map[int]time.Time{},
		active: map[itemKey]*running{}, progress: map[itemKey]*progress{}, meter: newMeter(j.Metrics),
		pacers: map[string]*batch.Pacer{},
	}
}

func (r *runner) wake() { duty.Wake(r.wakes) }

// note is told of changes in the book, with jobs.mu held: r.mu is only ever
// taken after it.
func (r *runner) note(change batch.Change) {
	known := r.jobs.book.Job(change.Job)
	over := change.Forgotten || known != nil && known.Ended
	if over {
		r.jobs.bodies.dropJob(change.Job)
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

// stopItem drops an item that is over and ends its run, if it has one here.
func (r *runner) stopItem(key itemKey) {
	r.forgetProgress(key)
	if run := r.active[key]; run != nil {
		run.stop("the item or its job is over")
	}
}

// run looks at what waits whenever something changed.
func (r *runner) run(ctx context.Context) {
	idle := time.NewTicker(idleLook)
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
		if !duty.Pause(ctx, stepPause) {
			return
		}
	}
}

// step gives way where online work needs the places and starts what waits.
func (r *runner) step(ctx context.Context) {
	r.giveWay()
	table := r.jobs.Routes()
	if table == nil {
		return
	}
	r.tellHeld()
	waiting := r.waiting(table)
	left := map[string]int{}
	for i := range waiting {
		r.start(ctx, &waiting[i], left)
	}
	r.tell(waiting)
}

// tell writes what batch waits for, now and then while it waits.
func (r *runner) tell(waiting []candidate) {
	if len(waiting) == 0 || time.Since(r.told) < tellEvery {
		return
	}
	r.told = time.Now()
	r.mu.Lock()
	active := len(r.active)
	r.mu.Unlock()
	first := waiting[0]
	behind := 0
	for i := range waiting {
		if waiting[i].behind {
			behind++
		}
	}
	free := 0
	if first.route != nil {
		free = r.jobs.Places.Free(first.route.Groups[0].Group, r.jobs.Headroom)
	}
	r.jobs.Logger.Info("batch_waits", zap.Int("waiting", len(waiting)), zap.Int("behind", behind), zap.Int("running", active), zap.Int("free_places", free),
		zap.String("first_job", first.key.job), zap.Int64("first_due_in_ms", time.Until(first.due).Milliseconds()))
}

// hash names the item in the words between daemons.
func (k itemKey) hash() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(batch.ResultKey(k.job, k.item)))
	return h.Sum64()
}

// giveWay stops the items with the least done at targets that online work
// fills. They go on later after the last event received, so what they lose is
// the reading of their prompt.
func (r *runner) giveWay() {
	yields := r.jobs.Places.Yields()
	r.mu.Lock()
	defer r.mu.Unlock()
	for target, n := range yields {
		for _, run := range r.youngest(target, n) {
			r.meter.yields.Inc()
			run.stop("gives way to online work")
		}
	}
}

// youngest returns n items at the target, the ones started last.
func (r *runner) youngest(target roster.Start, n int) []*running {
	var there []*running
	for _, run := range r.active {
		if run.target.Start == target {
			there = append(there, run)
		}
	}
	slices.SortFunc(there, func(a, b *running) int { return b.began.Compare(a.began) })
	return there[:min(n, len(there))]
}

// start runs the item if its target group has room. left holds how many items of
// each group may still start at this look.
func (r *runner) start(ctx context.Context, c *candidate, left map[string]int) {
	p := r.progressOf(c.key)
	if r.hopeless(c, p) || c.route == nil {
		return
	}
	group := c.route.Pick(rand.Float64())
	if _, known := left[group]; !known {
		left[group] = r.allowance(group)
	}
	if left[group] == 0 {
		return
	}
	body, ok := r.jobs.bodies.have(c.key.job, c.key.item, c.item.BodyBytes)
	if !ok {
		r.fetch(ctx, c, p)
		return
	}
	place, ok := r.jobs.Places.TakeBatch(ctx, group, map[string]bool{p.avoid: true}, r.jobs.Headroom)
	if !ok {
		left[group] = 0
		return
	}
	left[group]--
	itemCtx, cancel := context.WithCancel(ctx)
	run := &running{key: c.key, target: place.Target, place: place, began: time.Now(), due: c.due, tokens: c.item.Tokens, cancel: cancel}
	r.mu.Lock()
	r.active[c.key] = run
	r.mu.Unlock()
	r.items.Add(1)
	go func() {
		defer r.items.Done()
		defer cancel()
		defer context.AfterFunc(place.Alive, func() { r.startedAgain(run) })()
		r.runItem(itemCtx, c, run, p, body)
	}()
}

// startedAgain ends a run whose target has forgotten it.
func (r *runner) startedAgain(run *running) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.stop("the target has started again")
}

// hopeless gives an item up whose time is over or whose route has gone.
func (r *runner) hopeless(c *candidate, p *progress) bool {
	now := time.Now()
	if c.route == nil {
		if p.unrouted.IsZero() {
			p.unrouted = now
		}
		if now.Sub(p.unrouted) > routeGone {
			r.finish(c, batch.Errored, "", "no route")
			return true
		}
		return false
	}
	p.unrouted = time.Time{}
	if c.route.KeepFor > 0 && c.age > c.route.KeepFor+giveUpSlack {
		r.finish(c, batch.Errored, "", "too old")
		return true
	}
	return false
}

// bodyWait is how long the reading of the partition may take to bring a body
// before it is asked for by itself.
const bodyWait = 2 * time.Second

// fetch asks the log for a body that does not come by itself.
func (r *runner) fetch(ctx context.Context, c *candidate, p *progress) {
	now := time.Now()
	if p.missing.IsZero() {
		p.missing = now
	}
	if now.Sub(p.missing) < bodyWait {
		return
	}
	p.missing = now
	go func() {
		body, err := r.jobs.bodies.get(ctx, c.key.job, c.key.item, c.item.BodyBytes)
		if err != nil {
			r.jobs.Logger.Warn("body_missing", zap.String("job", c.key.job), zap.Int("item", c.key.item), zap.Error(err))
			return
		}
		r.jobs.bodies.hold(c.key.job, c.key.item, 0, body)
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

// finish queues the item's result and drops what was kept of it.
func (r *runner) finish(c *candidate, state batch.State, output, cause string) {
	if len(output) > maxRecordBytes {
		cause = "the output is longer than a record of the log"
	}
	r.jobs.Logger.Info("item_ended", zap.String("job", c.key.job), zap.String("id", c.item.ID), zap.Int("item", c.key.item),
		zap.String("route", c.routeName()), zap.Bool("succeeded", state == batch.Succeeded), zap.String("cause", cause),
		zap.Int64("age_ms", c.age.Milliseconds()), zap.Bool("due_missed", c.route != nil && time.Now().After(c.due)))
	r.meter.finished(state)
	// The delay covers the time until the result is in the book.
	r.mu.Lock()
	if p := r.progress[c.key]; p != nil {
		p.clear()
		p.notBefore = time.Now().Add(time.Hour)
	}
	r.mu.Unlock()
	result := batch.Result{Item: c.key.item, ID: c.item.ID, State: state, Tokens: c.item.Tokens, Output: output}
	r.jobs.writers[r.jobs.part(c.key.job)].add(entry{c.key.job, result, time.Now()})
	r.jobs.bodies.drop(c.key.job, c.key.item)
}

// Drain ends the batch work of a stopping daemon: the partitions go back, nothing
// new starts, what runs may end while ctx lasts, and results are written.
func (j *Jobs) Drain(ctx context.Context) {
	j.runner.stop()
	j.runner.keepProgress(ctx, anyGrowth)
	if err := j.Groups.Leave(ctx, groupName, j.Host); err != nil {
		j.Logger.Info("group_not_left", zap.Error(err))
	}
	ended := make(chan struct{})
	go func() {
		j.runner.items.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
	}
	for !j.written() && duty.Pause(ctx, stepPause) {
	}
}

// stop lets nothing new start and no membership be renewed.
func (r *runner) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping = true
}

func (j *Jobs) written() bool {
	for _, w := range j.writers {
		if !w.empty() {
			return false
		}
	}
	return true
}
