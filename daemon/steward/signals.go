package steward

import (
	"tarragonhollow.example/tarragonhollow/daemon/signal"
)

// OnSignal implements signal.Receiver. It is on the path of the signals of online traffic,
// so it only updates counts under the target's lock, which is never held for long, and
// queues a decision without waiting for it. Targets of other stewards are omitted from the
// reply.
func (s *Steward) OnSignal(sig signal.Signal) []signal.TargetReport {
	targets := s.assignedTargets()
	self := s.selfID()
	reports := make([]signal.TargetReport, 0, len(sig.Targets))
	for _, load := range sig.Targets {
		t := targets[load.Address]
		if t == nil {
			continue
		}
		report, began := s.applySignal(t, sig, load)
		report.Steward = self
		reports = append(reports, report)
		if began {
			s.decideQueue.Offer(t)
		}
	}
	return reports
}

func (s *Steward) applySignal(t *targetState, sig signal.Signal, load signal.TargetLoad) (signal.TargetReport, bool) {
	now := s.opts.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	began := t.core.Signal(now, sig.Entry, sig.Seq, load.Online, load.Started)
	if began {
		for _, r := range t.runs {
			r.alone = false
		}
		if len(t.runs) > 0 {
			t.onlineStartAt = now
		}
	}
	report := signal.TargetReport{
		Address:      t.address,
		OnlineTotal:  t.core.Online(now),
		BatchRunning: t.core.Running(),
		Report:       t.report,
	}
	if !t.reportAt.IsZero() {
		report.ReportAgeMs = now.Sub(t.reportAt).Milliseconds()
	}
	return report, began
}
