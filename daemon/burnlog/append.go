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

// appendLoop periodically appends the changed counts to the log. If nothing was counted, it
// appends nothing.
//
// Failure guarded against: the counts of a lost host are lost with it, so that the window
// that should show why it was lost shows no errors. Appended counts remain on the log; at
// most those of the last period are missing.
func (c *Collector) appendLoop(ctx context.Context) {
	// A random first wait spreads the appends of daemons that start at the same time.
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

// period returns the time between two appends of this daemon.
func (c *Collector) period() time.Duration {
	return max(minPeriod, time.Duration(len(c.opt.View.Members()))*periodPerDaemon)
}

// Drain appends the remaining counts to the log, for a graceful stop. The error is a
// DrainFailed.
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

// appendNext appends one record and reports whether there are more counts to append. The
// counts stay unsent if the append failed or its outcome is unknown, because a cell that is
// appended twice counts once.
func (c *Collector) appendNext(ctx context.Context) (more bool, err error) {
	c.rewrite(ctx)
	record, more := c.nextRecord()
	if len(record) == 0 {
		return false, nil
	}
	data, err := msgpack.Marshal(record)
	if err != nil {
		c.requeue(record...)
		return false, errLog.Wrap(err, "encode")
	}
	call, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err = c.opt.Log.Append(call, Stream, data)
	c.meter.appends.Inc()
	if err != nil {
		c.meter.appendErrors.Inc()
		c.requeue(record...)
		return false, errLog.Wrap(err, "append to %s", Stream)
	}
	c.meter.appendBytes.Add(len(data))
	return more, nil
}

// nextRecord removes the counts for one record from the unsent counts. more reports whether
// unsent counts remain.
func (c *Collector) nextRecord() (record []burn.Summary, more bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unsent.Merge(c.recorder.Changes().Coarse())
	c.unsent.Prune(c.nowMs())
	all := c.unsent.Summaries()
	c.unsent = burn.NewSet()
	remaining := maxCells
	for _, s := range all {
		first, rest, used := split(s, remaining)
		remaining -= used
		if used > 0 {
			record = append(record, first)
		}
		c.unsent.Merge(rest)
		more = more || len(rest.Series) > 0
	}
	return record, more
}

// rewrite periodically appends the counts again that would expire on the log: this daemon's
// counts, and the hourly cells of lost hosts.
//
// Failure guarded against: the log keeps records for a day and the error budget covers three
// days. Once a lost host's records have expired, its errors would be missing, and the report
// would show a larger remaining budget than there is. The first successor of a fixed key
// rewrites them several times before they expire. If two daemons both consider themselves the
// first, this only costs additional records.
func (c *Collector) rewrite(ctx context.Context) {
	now := c.opt.Clock()
	c.mu.Lock()
	due := now.Sub(c.lastRewrite) >= c.opt.Retention/rewriteDivisor
	if due {
		c.lastRewrite = now
		c.unsent.Merge(c.recorder.All().Coarse())
	}
	c.mu.Unlock()
	successors := c.opt.View.Successors(Stream)
	if !due || len(successors) == 0 || successors[0].ID() != c.opt.View.Self().ID() {
		return
	}
	logged, _ := c.readLog(ctx)
	for _, s := range logged {
		if !c.opt.View.LiveID(s.Source) {
			c.requeue(hourCells(s))
		}
	}
}

// hourCells returns the hourly cells of a summary. Only these are needed for longer than the
// log's retention; the windows that use cells of minutes are shorter.
func hourCells(s burn.Summary) burn.Summary {
	out := burn.Summary{Source: s.Source}
	for _, series := range s.Series {
		cells := slices.DeleteFunc(slices.Clone(series.Cells), func(c burn.Cell) bool { return c.Scale != burn.Hour })
		out.Series = appendCells(out.Series, series, cells)
	}
	return out
}

func (c *Collector) requeue(summaries ...burn.Summary) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range summaries {
		c.unsent.Merge(s)
	}
}

// split cuts a summary after at most limit cells and returns the number of cells in first.
func split(s burn.Summary, limit int) (first, rest burn.Summary, used int) {
	first.Source, rest.Source = s.Source, s.Source
	for _, series := range s.Series {
		n := min(limit-used, len(series.Cells))
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
