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

// FleetReport is the answer of GET /admin/burn.
type FleetReport struct {
	burn.Report
	// NotAnswering names the live hosts whose counts of the last minutes are
	// missing; what they wrote to the log is in.
	NotAnswering []string `json:"not_answering"`
	// LogComplete tells that the log was read to its end: otherwise counts of
	// lost hosts may be missing.
	LogComplete bool `json:"log_complete"`
}

// Report merges what the live daemons and the log tell. A cell that comes from
// both counts once. The wait is bounded by PeerWait and LogWait; nothing that
// is missing fails the report, it is named in it.
func (c *Collector) Report(ctx context.Context) (FleetReport, error) {
	var own SummariesReply
	_ = (&service{c}).Summaries(SummariesRequest{}, &own)
	set := burn.NewSet()
	set.Merge(own.Summary)
	var logged []burn.Summary
	var complete bool
	var told []burn.Summary
	var silent []string
	var sources errgroup.Group
	sources.Go(func() error {
		logged, complete = c.readLog(ctx)
		return nil
	})
	sources.Go(func() error {
		told, silent = c.askPeers(ctx)
		return nil
	})
	_ = sources.Wait()
	for _, s := range append(logged, told...) {
		set.Merge(s)
	}
	r := FleetReport{NotAnswering: silent, LogComplete: complete}
	cfg := c.opt.Config()
	if cfg == nil {
		r.Report = set.Report(c.nowMs(), nil)
		return r, nil
	}
	r.Report = set.Report(c.nowMs(), cfg.Profiles)
	return r, nil
}

// askPeers asks all other daemons at once, some calls at a time.
func (c *Collector) askPeers(ctx context.Context) (told []burn.Summary, silent []string) {
	ctx, cancel := context.WithTimeout(ctx, c.opt.PeerWait)
	defer cancel()
	self := c.opt.View.Self().ID()
	silent = []string{}
	var mu sync.Mutex
	var calls errgroup.Group
	calls.SetLimit(peersParallel)
	for _, m := range c.opt.View.Members() {
		if m.ID() == self {
			continue
		}
		calls.Go(func() error {
			summary, err := c.ask(ctx, m)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				silent = append(silent, m.Host)
				return nil
			}
			told = append(told, summary)
			return nil
		})
	}
	_ = calls.Wait()
	sort.Strings(silent)
	return told, silent
}

func (c *Collector) ask(ctx context.Context, m membership.Member) (burn.Summary, error) {
	var reply SummariesReply
	err := c.opt.Peer.Call(ctx, m.PeerAddress, summariesMethod, &SummariesRequest{}, &reply)
	if err != nil {
		c.opt.Logger.Warn("burn_peer_silent", zap.String("peer", m.Host), zap.Error(err))
	}
	return reply.Summary, err
}

// readLog reads on from where the last report ended and returns all that the
// log told so far, and whether its end was reached. It is read for reports only:
// a daemon that is not asked spends nothing on it.
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
	for c.next < end {
		page, err := c.opt.Log.Read(ctx, Stream, c.next, readBytes, 0)
		if err != nil {
			return errLog.Wrap(err, "read %s", Stream)
		}
		if len(page.Records) == 0 {
			c.next = end // all of it has expired
			return nil
		}
		for _, r := range page.Records {
			c.next = r.Offset + 1
			var record []burn.Summary
			if msgpack.Unmarshal(r.Data, &record) != nil {
				continue // not a record of ours
			}
			for _, s := range record {
				c.logSet.Merge(s)
			}
		}
	}
	return nil
}
