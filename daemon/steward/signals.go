package steward

import (
	"tarragonhollow.example/tarragonhollow/daemon/signal"
)

// OnSignal implements signal.Receiver. It is on the way of online traffic's
// signals, so it only updates counts under the target's short lock and pokes
// the decision duty without waiting for it. Targets of other stewards are left
// out of the answer.
func (s *Steward) OnSignal(sig signal.Signal) []signal.Word {
	targets := s.ownTargets()
	self := s.selfID()
	words := make([]signal.Word, 0, len(sig.Targets))
	for _, load := range sig.Targets {
		t := targets[load.Address]
		if t == nil {
			continue
		}
		word, poke := s.signalTarget(t, sig, load)
		word.Steward = self
		words = append(words, word)
		if poke {
			s.pokes.Offer(t)
		}
	}
	return words
}

func (s *Steward) signalTarget(t *targetState, sig signal.Signal, load signal.TargetLoad) (signal.Word, bool) {
	now := s.opts.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	began := t.core.Signal(now, sig.Entry, sig.Seq, load.Online, load.Started)
	if began {
		for _, r := range t.runs {
			r.alone = false
		}
		if len(t.runs) > 0 {
			t.burstAt = now
		}
	}
	word := signal.Word{
		Address:      t.address,
		OnlineTotal:  t.core.Online(now),
		BatchRunning: t.core.Running(),
		Report:       t.report,
	}
	if !t.reportAt.IsZero() {
		word.ReportAgeMs = now.Sub(t.reportAt).Milliseconds()
	}
	return word, began
}
