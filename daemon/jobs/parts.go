package jobs

import (
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/crashparts"
	"tarragonhollow.example/tarragonhollow/daemon/relay"
)

// partDelay is how long an item waits before it is tried again, if a part of its prompt crashes
// targets or may do so. The item stays until it may be given up for its age: the part may be
// cleared, and its targets replaced.
const partDelay = time.Second

// promptParts returns the IDs of the parts of the item's prompt that others may share.
func (r *runner) promptParts(c *candidate) []string {
	return r.jobs.Wire.PromptParts(ItemHeader(c.item.Headers))
}

// partsAllow reports whether the item may run as far as the parts of its prompt are concerned.
// release must be called once the item's answer has begun or its run has ended.
func (r *runner) partsAllow(c *candidate, p *progress, parts []string) (release func(), allowed bool) {
	d := r.jobs.Crashes.DecideNow(parts)
	switch {
	case d.Verdict < crashparts.Limited:
		return func() {}, true
	case d.Verdict == crashparts.Limited:
		if release, ok := r.jobs.Crashes.Limit(d.Part); ok {
			return release, true
		}
	}
	p.notBefore = time.Now().Add(partDelay)
	r.jobs.Logger.Info("item_waits_for_part", zap.String("job", c.key.job), zap.String("id", c.item.ID), zap.String("part", d.Part),
		zap.Int("part_crashes", d.Crashes), zap.Int64("part_verdict_age_ms", d.Age.Milliseconds()))
	return nil, false
}

// reasonPartRefused is why the run of an item ends whose answer has not begun.
const reasonPartRefused = "a part of the item's prompt crashes targets"

// endWhenRefused ends the run when the item is refused because of its parts, unless its answer has
// begun. The function returned stops that.
func (r *runner) endWhenRefused(run *itemRun, watched *relay.Running) (stop func()) {
	return r.jobs.Crashes.OnRefused(run.parts, func() {
		if watched.Began() {
			return
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		run.stop(reasonPartRefused)
	})
}

// answering records that events of the run's answer arrive.
func (r *runner) answering(run *itemRun, watched *relay.Running) {
	if r.jobs.Crashes.Answering(watched, false) {
		run.release()
	}
}
