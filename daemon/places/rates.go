package places

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/slots"
)

const (
	// rateLogInterval is the interval at which changes of targets' rates are logged. A rate
	// close to the threshold passes it several times a second.
	rateLogInterval = time.Second
	// slowestTargets is the number of targets whose rates are shown as metrics.
	slowestTargets = 10
)

// logRates logs the targets whose rates have passed the threshold since the last call. It
// does so at most once in rateLogInterval. s.mu is held.
func (s *scheduler) logRates(now time.Time) {
	if now.Sub(s.ratesLoggedAt) < rateLogInterval {
		return
	}
	s.ratesLoggedAt = now
	for _, r := range s.ledger.RateChanges(now) {
		s.logger.Info("target_rate", zap.String("group", r.Group), zap.String("target", r.ID), zap.Float64("rate", r.Rate))
	}
}

// slowest returns the slowest targets of the zone; none unless this daemon leads it.
func (s *scheduler) slowest(now time.Time) []slots.TargetRate {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leads {
		return nil
	}
	return s.ledger.SlowestTargets(now, slowestTargets)
}

// writeRates writes the rates of the slowest targets as metrics.
func (s *scheduler) writeRates(w io.Writer) {
	for _, r := range s.slowest(time.Now()) {
		metrics.WriteGaugeFloat64(w, fmt.Sprintf("tarragonhollow_target_rate{group=%q,target=%q}", r.Group, r.ID), r.Rate)
	}
}
