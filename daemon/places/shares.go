package places

import (
	"fmt"
	"io"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/fairshare"
)

// shareReportEvery is the interval at which leaders report the shares that are beyond
// their share: with 16 shares of some 20 bytes in each of two groups, 1.3 KB/s to each
// other zone while slots are scarce, and nothing else. The counters in the reports are
// cumulative, so that a longer interval loses no work.
const shareReportEvery = 500 * time.Millisecond

// shareReports returns the shares for the next zone report, nil if they are not due. s.mu
// is held.
func (s *scheduler) shareReports(now time.Time) map[string]fairshare.Report {
	if now.Sub(s.lastShareReport) < shareReportEvery {
		return nil
	}
	s.lastShareReport = now
	return s.ledger.ShareReports(now)
}

// logShareChanges logs the shares that went beyond their share or returned within it. s.mu
// is held.
func (s *scheduler) logShareChanges(now time.Time) {
	for _, c := range s.ledger.ShareChanges(now) {
		event := "share_within"
		if c.Beyond {
			event = "share_beyond"
		}
		s.logger.Info(event, zap.String("zone", s.zone), zap.String("group", c.Group), zap.String("share", c.Share),
			zap.Int("waiting", c.Waiting), zap.Float64("work_granted", c.Used))
	}
}

// writeShareMetrics writes the work that the largest shares received while they waited.
func (s *scheduler) writeShareMetrics(w io.Writer) { formatShareMetrics(w, s.shareUses()) }

// shareUses returns the work of the largest shares by group, nil on a daemon that does not
// lead: it expires no shares, so that those of its time as a leader would remain.
func (s *scheduler) shareUses() map[string][]fairshare.Use {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leads {
		return nil
	}
	return s.ledger.ShareUses()
}

func formatShareMetrics(w io.Writer, uses map[string][]fairshare.Use) {
	for group, list := range uses {
		for _, use := range list {
			fmt.Fprintf(w, "tarragonhollow_share_work_total{group=%q,share=%q} %g\n", group, use.Share, use.Work)
		}
	}
}
