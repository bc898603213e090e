package steward

import (
	"context"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/ledger"
)

// reportsInFlight bounds the number of concurrent reports.
const reportsInFlight = 4

// reportLoop batches the ends of items and delivers them. Ends that an owner does not
// accept are queued again after reportRetry, without limit: the log may be down for hours.
func (s *Steward) reportLoop(ctx context.Context) {
	timer := time.NewTimer(reportEvery)
	defer timer.Stop()
	slots := make(chan struct{}, reportsInFlight)
	var fresh, retried []endedItem
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-s.ends.C():
			if len(fresh)+len(retried) == 0 {
				timer.Reset(reportEvery)
			}
			if e.retried {
				retried = append(retried, e)
			} else {
				fresh = append(fresh, e)
			}
		case <-timer.C:
			fresh = s.sendEnds(slots, fresh)
			retried = s.sendEnds(slots, retried)
			if len(fresh)+len(retried) > 0 {
				timer.Reset(reportEvery)
			}
		}
	}
}

// sendEnds starts reports while there is a free slot and returns the remaining ends.
func (s *Steward) sendEnds(slots chan struct{}, ends []endedItem) []endedItem {
	for len(ends) > 0 {
		select {
		case slots <- struct{}{}:
		default:
			return ends
		}
		n := min(len(ends), reportMax)
		batch := append([]endedItem(nil), ends[:n]...)
		ends = ends[n:]
		s.group.Go(func(ctx context.Context) {
			defer func() { <-slots }()
			s.deliver(ctx, batch)
		})
	}
	return nil
}

func (s *Steward) deliver(ctx context.Context, batch []endedItem) {
	req := ledger.FinishItemsRequest{Steward: s.selfID()}
	for _, e := range batch {
		req.Ends = append(req.Ends, e.end)
	}
	bounded, release := context.WithTimeout(ctx, reportTimeout)
	undelivered, err := s.opts.Ledger.FinishItems(bounded, req)
	release()
	again := s.delivered(batch, undelivered, err)
	if len(again) == 0 {
		return
	}
	s.log.Info("ends_undelivered", zap.Int("ends", len(again)), zap.String("job", again[0].end.Ref.Job), zap.Error(err))
	s.group.Go(func(ctx context.Context) { s.retryEnds(ctx, again) })
}

// delivered releases the items whose ends were accepted and returns the other ends, which
// must be reported again.
func (s *Steward) delivered(batch []endedItem, undelivered []ledger.ItemEnd, err error) []endedItem {
	unaccepted := make(map[ledger.ItemRef]bool, len(undelivered))
	for _, end := range undelivered {
		unaccepted[end.Ref] = true
	}
	var again []endedItem
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range batch {
		if unaccepted[e.end.Ref] || (err != nil && len(undelivered) == 0) {
			e.retried = true
			again = append(again, e)
			continue
		}
		s.releaseLocked(e.item)
	}
	return again
}

func (s *Steward) retryEnds(ctx context.Context, again []endedItem) {
	timer := time.NewTimer(reportRetry)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return
	case <-timer.C:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range again {
		if !s.ends.Offer(e) {
			s.releaseLocked(e.item)
			s.endsLost = true
			s.meter.dropped.Inc()
		}
	}
}
