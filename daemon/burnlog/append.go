package burnlog

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/burn"
)

// appendLoop writes what changed to the log at a low pace. A daemon that
// counted nothing appends nothing.
//
// Failure guarded against: a host that is lost takes its counts with it, and
// the window that would show why it was lost looks clean. What was appended
// stays; at most the last period is missing.
func (c *Collector) appendLoop(ctx context.Context) {
	// A random start spreads the appends of a fleet that starts at once.
	wait := time.Duration(rand.Int64N(int64(c.period())))
	for {
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		if _, err := c.appendNext(ctx); err != nil {
			c.opt.Logger.Debug("burn_append_failed", zap.Error(err))
		}
		wait = c.period()
	}
}

// period is the time between two appends of this daemon.
func (c *Collector) period() time.Duration {
	return max(minPeriod, time.Duration(len(c.opt.View.Members()))*perDaemon)
}

// Drain writes the rest of the counts, for a graceful stop.
func (c *Collector) Drain(ctx context.Context) error {
	for {
		more, err := c.appendNext(ctx)
		if err != nil {
			return DrainFailed.Wrap(err, "burn counts")
		}
		if !more {
			return nil
		}
	}
}

// appendNext appends one record and tells whether there is more. Counts of an
// append that failed, or whose end is not known, stay unsent: a cell that is
// appended twice counts once.
func (c *Collector) appendNext(ctx context.Context) (more bool, err error) {
	c.restate(ctx)
	record, more := c.take()
	if len(record) == 0 {
		return false, nil
	}
	data, err := msgpack.Marshal(record)
	if err != nil {
		c.putBack(record...)
		return false, errLog.Wrap(err, "encode")
	}
	call, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err = c.opt.Log.Append(call, Stream, data)
	c.meter.appends.Inc()
	if err != nil {
		c.meter.appendErrors.Inc()
		c.putBack(record...)
		return false, errLog.Wrap(err, "append to %s", Stream)
	}
	c.meter.appendBytes.Add(len(data))
	return more, nil
}

// take removes a record's worth from the unsent counts.
func (c *Collector) take() (record []burn.Summary, more bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unsent.Merge(c.recorder.Changes().Coarse())
	c.unsent.Prune(c.nowMs())
	all := c.unsent.Summaries()
	c.unsent = burn.NewSet()
	room := maxCells
	for _, s := range all {
		first, rest, used := split(s, room)
		room -= used
		if used > 0 {
			record = append(record, first)
		}
		c.unsent.Merge(rest)
		more = more || len(rest.Series) > 0
	}
	return record, more
}

// restate writes forward, every so often, what would expire on the log: this
// daemon's own counts, and the hours of hosts that are gone.
//
// Failure guarded against: the log keeps records for a day and the error budget
// reaches back for three. Once a lost host's records have expired, its errors
// would drop out and the budget would look fuller than it is. The first
// successor of a fixed key writes them again several times before that; that
// two daemons both take themselves for the first costs records and no more.
func (c *Collector) restate(ctx context.Context) {
	now := c.opt.Clock()
	c.mu.Lock()
	due := now.Sub(c.restated) >= c.opt.Retention/restateShare
	if due {
		c.restated = now
		c.unsent.Merge(c.recorder.All().Coarse())
	}
	c.mu.Unlock()
	first := c.opt.View.Successors(Stream)
	if !due || len(first) == 0 || first[0].ID() != c.opt.View.Self().ID() {
		return
	}
	logged, _ := c.readLog(ctx)
	for _, s := range logged {
		if !c.opt.View.LiveID(s.Source) {
			c.putBack(hours(s))
		}
	}
}

// hours returns the cells that outlive the log's retention: the windows of
// minutes are shorter than it.
func hours(s burn.Summary) burn.Summary {
	out := burn.Summary{Source: s.Source}
	for _, series := range s.Series {
		cells := slices.DeleteFunc(slices.Clone(series.Cells), func(c burn.Cell) bool { return c.Scale != burn.Hour })
		out.Series = appendCells(out.Series, series, cells)
	}
	return out
}

func (c *Collector) putBack(summaries ...burn.Summary) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range summaries {
		c.unsent.Merge(s)
	}
}

// split cuts a summary after a number of cells and tells how many it took.
func split(s burn.Summary, room int) (first, rest burn.Summary, used int) {
	first.Source, rest.Source = s.Source, s.Source
	for _, series := range s.Series {
		n := min(room-used, len(series.Cells))
		used += n
		first.Series = appendCells(first.Series, series, series.Cells[:n])
		rest.Series = appendCells(rest.Series, series, series.Cells[n:])
	}
	return first, rest, used
}

func appendCells(to []burn.Series, of burn.Series, cells []burn.Cell) []burn.Series {
	if len(cells) == 0 {
		return to
	}
	return append(to, burn.Series{Profile: of.Profile, Group: of.Group, Cells: cells})
}
