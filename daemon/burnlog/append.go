package burnlog

import (
	"context"
	"math/rand/v2"
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
	first, rest := c.take()
	if len(first.Series) == 0 {
		return false, nil
	}
	data, err := msgpack.Marshal(first)
	if err != nil {
		c.putBack(first)
		return false, errLog.Wrap(err, "encode")
	}
	call, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err = c.opt.Log.Append(call, Stream, data)
	c.meter.appends.Inc()
	if err != nil {
		c.meter.appendErrors.Inc()
		c.putBack(first)
		return false, errLog.Wrap(err, "append to %s", Stream)
	}
	c.meter.appendBytes.Add(len(data))
	return rest, nil
}

// take removes a record's worth from the unsent counts.
func (c *Collector) take() (first burn.Summary, more bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unsent.Merge(c.recorder.Changes().Coarse())
	if now := c.opt.Clock(); now.Sub(c.restated) >= c.opt.Retention/restateShare {
		c.restated = now
		c.unsent.Merge(c.recorder.All().Coarse())
	}
	c.unsent.Prune(c.nowMs())
	all := c.unsent.Summaries()
	c.unsent = burn.NewSet()
	if len(all) == 0 {
		return burn.Summary{}, false
	}
	first, rest := split(all[0], maxCells)
	c.unsent.Merge(rest)
	return first, len(rest.Series) > 0
}

func (c *Collector) putBack(s burn.Summary) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unsent.Merge(s)
}

// split cuts a summary after a number of cells.
func split(s burn.Summary, cells int) (first, rest burn.Summary) {
	first.Source, rest.Source = s.Source, s.Source
	for _, series := range s.Series {
		n := min(cells, len(series.Cells))
		cells -= n
		if n > 0 {
			first.Series = append(first.Series, burn.Series{Profile: series.Profile, Group: series.Group, Cells: series.Cells[:n]})
		}
		if n < len(series.Cells) {
			rest.Series = append(rest.Series, burn.Series{Profile: series.Profile, Group: series.Group, Cells: series.Cells[n:]})
		}
	}
	return first, rest
}
