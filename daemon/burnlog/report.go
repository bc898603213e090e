package burnlog

import (
	"context"
	"sort"
	"sync"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"tarragonhollow.example/tarragonhollow/core/burn"
	"tarragonhollow.example/tarragonhollow/core/membership"
)

// FleetReport is the response to GET /admin/burn.
type FleetReport struct {
	burn.Report
	// NotAnswering lists the live hosts whose counts of the last minutes are missing
	// because they did not respond. Their counts on the log are included.
	NotAnswering []string `json:"not_answering"`
	// LogComplete reports whether the log was read to its end. If not, counts of lost
	// hosts may be missing.
	LogComplete bool `json:"log_complete"`
}

// Report merges the counts of the live daemons with those on the log. A cell that comes from
// both counts once. The wait is limited by PeerWait and LogWait. Missing counts do not fail
// the report; NotAnswering and LogComplete show them.
func (c *Collector) Report(ctx context.Context) (FleetReport, error) {
	var local SummariesReply
	_ = (&service{c}).Summaries(SummariesRequest{}, &local)
	set := burn.NewSet()
	set.Merge(local.Summary)
	var logged []burn.Summary
	var complete bool
	var fetched []burn.Summary
	var notAnswering []string
	var sources errgroup.Group
	sources.Go(func() error {
		logged, complete = c.readLog(ctx)
		return nil
	})
	sources.Go(func() error {
		fetched, notAnswering = c.fetchSummaries(ctx)
		return nil
	})
	_ = sources.Wait()
	for _, s := range append(logged, fetched...) {
		set.Merge(s)
	}
	r := FleetReport{NotAnswering: notAnswering, LogComplete: complete}
	cfg := c.opt.Config()
	if cfg == nil {
		r.Report = set.Report(c.nowMs(), nil)
		return r, nil
	}
	r.Report = set.Report(c.nowMs(), cfg.Profiles)
	return r, nil
}

// fetchSummaries fetches the counts of all other daemons, with at most peersParallel
// concurrent calls. It also returns the hosts that did not respond.
func (c *Collector) fetchSummaries(ctx context.Context) (fetched []burn.Summary, notAnswering []string) {
	ctx, cancel := context.WithTimeout(ctx, c.opt.PeerWait)
	defer cancel()
	self := c.opt.View.Self().ID()
	notAnswering = []string{}
	var mu sync.Mutex
	var calls errgroup.Group
	calls.SetLimit(peersParallel)
	for _, m := range c.opt.View.Members() {
		if m.ID() == self {
			continue
		}
		calls.Go(func() error {
			summary, err := c.fetchSummary(ctx, m)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				notAnswering = append(notAnswering, m.Host)
				return nil
			}
			fetched = append(fetched, summary)
			return nil
		})
	}
	_ = calls.Wait()
	sort.Strings(notAnswering)
	return fetched, notAnswering
}

func (c *Collector) fetchSummary(ctx context.Context, m membership.Member) (burn.Summary, error) {
	var reply SummariesReply
	err := c.opt.Peer.Call(ctx, m.PeerAddress, summariesMethod, &SummariesRequest{}, &reply)
	if err != nil {
		c.opt.Logger.Warn("burn_peer_silent", zap.String("peer", m.Host), zap.Error(err))
	}
	return reply.Summary, err
}

// readLog continues reading the log where the last call stopped. It returns all counts read
// so far, and whether the end of the log was reached. The log is read only for reports and
// rewrites, so that a daemon that makes neither spends nothing on it.
func (c *Collector) readLog(ctx context.Context) ([]burn.Summary, bool) {
	ctx, cancel := context.WithTimeout(ctx, c.opt.LogWait)
	defer cancel()
	c.logMu.Lock()
	defer c.logMu.Unlock()
	err := c.readToEnd(ctx)
	if err != nil {
		c.opt.Logger.Warn("burn_log_incomplete", zap.Error(err))
	}
	c.logSet.Prune(c.nowMs())
	return c.logSet.Summaries(), err == nil
}

func (c *Collector) readToEnd(ctx context.Context) error {
	_, end, err := c.opt.Log.Bounds(ctx, Stream)
	if err != nil {
		return errLog.Wrap(err, "bounds of %s", Stream)
	}
	for c.nextOffset < end {
		page, err := c.opt.Log.Read(ctx, Stream, c.nextOffset, readBytes, 0)
		if err != nil {
			return errLog.Wrap(err, "read %s", Stream)
		}
		if len(page.Records) == 0 {
			c.nextOffset = end // all of it has expired
			return nil
		}
		for _, r := range page.Records {
			c.nextOffset = r.Offset + 1
			var record []burn.Summary
			if msgpack.Unmarshal(r.Data, &record) != nil {
				continue // not a record of this package
			}
			for _, s := range record {
				c.logSet.Merge(s)
			}
		}
	}
	return nil
}
