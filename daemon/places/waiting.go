package places

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/slots"
)

const (
	// retryRenewalAfter is the time after an unanswered renewal until the next one, and
	// maxUnanswered the number of unanswered ones in a row after which a request goes on
	// without a leader.
	retryRenewalAfter = 50 * time.Millisecond
	maxUnanswered     = 2
)

// WaitEnd notifies a holder that the wait of its request has ended.
type WaitEnd struct {
	// From is the leader's peer address, Number the lease number of the request.
	From   string
	Number uint64
	Grant  slots.Grant
}

// waits are the requests of this daemon that may wait at a leader. It is safe for
// concurrent use.
type waits struct {
	mu       sync.Mutex
	byNumber map[uint64]*wait
}

// wait is a request that may wait at a leader.
type wait struct {
	id      string
	request slots.Request
	// asked is when the request was first sent, until when its maximum wait ends.
	asked, until time.Time
	// ended receives the ends of the wait that leaders send.
	ended chan WaitEnd

	// leaders are those that have put the request into their queue, and may have granted it
	// a slot. It is protected by waits.mu.
	leaders []string
}

// maxWaitEnds bounds the ends that are kept for a request: the leader's, and one of a
// leader that the holder followed before.
const maxWaitEnds = 4

// begin registers a request before it is sent, since its end may arrive before the answer.
func (w *waits) begin(request slots.Request, id string) *wait {
	now := time.Now()
	entry := &wait{id: id, request: request, asked: now, until: now.Add(request.Patience), ended: make(chan WaitEnd, maxWaitEnds)}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.byNumber == nil {
		w.byNumber = map[uint64]*wait{}
	}
	w.byNumber[request.ID.Number] = entry
	return entry
}

// finish removes a request. It returns the leaders other than by that may still have it.
func (w *waits) finish(entry *wait, by string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.byNumber, entry.request.ID.Number)
	for len(entry.ended) > 0 {
		entry.add((<-entry.ended).From)
	}
	return slices.DeleteFunc(entry.leaders, func(leader string) bool { return leader == by })
}

func (e *wait) add(leader string) {
	if !slices.Contains(e.leaders, leader) {
		e.leaders = append(e.leaders, leader)
	}
}

// record records how a leader answered a request. It reports whether the request has a
// place in the leader's queue, which it keeps if a renewal is not answered. A leader that
// has not answered before may be of a build without queues, where a repeated lease number
// would take a second slot.
func (w *waits) record(number uint64, leader string, answered bool, verdict slots.Verdict) (keeps bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	entry := w.byNumber[number]
	if entry == nil {
		return false
	}
	if answered && verdict == slots.Waiting {
		entry.add(leader)
	}
	return slices.Contains(entry.leaders, leader)
}

// deliver passes the end of a wait on. It reports whether the request is known.
func (w *waits) deliver(end WaitEnd) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	entry := w.byNumber[end.Number]
	if entry == nil {
		return false
	}
	select {
	case entry.ended <- end:
	default: // the next renewal gets the grant
	}
	return true
}

// deliver applies the end of a wait that a leader sends. A slot for a request that no
// longer waits is returned, unless the request got just that slot by a renewal.
func (s *scheduler) deliver(end WaitEnd) {
	if s.waits.deliver(end) || end.Grant.Verdict != slots.Granted || s.leases.runs(end.Number, end.From) {
		return
	}
	s.leases.abandon(end.Number, end.From)
}

// requestOrWait requests a slot like requestSlot, and waits for one if a leader puts the
// request into its queue. The verdict is Waiting if ctx is done before. id is the request's
// ID in log lines. finish must be called once the slot is counted as a lease: until then,
// the end of the wait may arrive a second time.
func (s *scheduler) requestOrWait(ctx context.Context, request slots.Request, id string) (grant slots.Grant, by string, answered bool, finish func()) {
	if !s.policy.Queue {
		grant, by, answered = s.requestSlot(ctx, request)
		return grant, by, answered, func() {}
	}
	request.MayWait = true
	w := s.waits.begin(request, id)
	grant, by, answered = s.requestSlot(ctx, request)
	if answered && grant.Verdict == slots.Waiting {
		s.logger.Info("request_queued", zap.String("id", id), zap.String("group", request.Group), zap.String("leader", by),
			zap.Int64("expected_ms", grant.Wait.Milliseconds()), zap.Int("length", grant.Queued))
		grant, by, answered = s.await(ctx, w, grant.Wait, by)
		s.recordWait(w, grant, by, answered)
	}
	grantedBy := ""
	if answered && grant.Verdict == slots.Granted {
		grantedBy = by
	}
	return grant, by, answered, func() { s.finishWait(w, grantedBy) }
}

// finishWait ends the request at all leaders that may still have it, except for the one
// that granted it a slot.
func (s *scheduler) finishWait(w *wait, grantedBy string) {
	for _, leader := range s.waits.finish(w, grantedBy) {
		s.leases.abandon(w.request.ID.Number, leader)
	}
}

// await waits for the end of the wait of a request in the queue of the leader at, and
// renews it there. expected is how long the leader expects it to wait. answered is false if
// no leader answers any more.
func (s *scheduler) await(ctx context.Context, w *wait, expected time.Duration, at string) (grant slots.Grant, by string, answered bool) {
	patience := time.NewTimer(time.Until(w.until))
	defer patience.Stop()
	last := time.NewTimer(time.Until(w.until) - slots.LastRenewal)
	defer last.Stop()
	renewal := time.NewTimer(slots.RenewWaitInterval)
	defer renewal.Stop()
	unanswered := 0
	refusedAt := "" // the leader of another zone that ended the wait there without a slot
	for {
		select {
		case <-ctx.Done():
			return slots.Grant{Verdict: slots.Waiting}, at, true
		case <-last.C:
			// The leader's refusal states when the caller should return.
			if grant, by, answered := s.renewWait(ctx, w, at, at == refusedAt); answered && grant.Verdict != slots.Waiting {
				return grant, by, true
			}
		case <-patience.C:
			return slots.Grant{Verdict: slots.Overloaded, Wait: time.Since(w.asked) + expected}, at, true
		case end := <-w.ended:
			switch {
			case end.Grant.Verdict == slots.Granted:
				return end.Grant, end.From, true
			case end.From != at: // it no longer waits there
			case s.isLocal(at):
				return end.Grant, at, true
			default:
				refusedAt = at
				renewal.Reset(0)
			}
		case <-renewal.C:
			var grant slots.Grant
			next := slots.RenewWaitInterval
			grant, at, answered = s.renewWait(ctx, w, at, at == refusedAt)
			switch {
			case answered && grant.Verdict != slots.Waiting:
				return grant, at, true
			case answered:
				unanswered, expected, refusedAt = 0, grant.Wait, ""
			case ctx.Err() != nil: // the loop ends
			case unanswered+1 >= maxUnanswered:
				return slots.Grant{}, at, false
			default:
				unanswered++
				next = retryRenewalAfter
			}
			renewal.Reset(next)
		}
	}
}

// renewWait renews a waiting request, at the leader of another zone if it waits there, and
// otherwise at the one that leads the local zone now. refused reports that the other zone's
// leader has ended the wait.
func (s *scheduler) renewWait(ctx context.Context, w *wait, at string, refused bool) (grant slots.Grant, by string, answered bool) {
	now := time.Now()
	request := w.request
	request.Patience = w.until.Sub(now)
	if since := now.Sub(w.asked); request.DeadlineLeft > 0 {
		request.Waited += since
		request.ObjectiveLeft -= since
		request.DeadlineLeft -= since
	}
	ctx, cancel := context.WithDeadline(ctx, w.until)
	defer cancel()
	if !s.isLocal(at) {
		if !refused {
			remote := request
			remote.Visiting, remote.Preempts = true, true
			grant, answered := s.callLeader(ctx, at, remote)
			if answered && (grant.Verdict == slots.Granted || grant.Verdict == slots.Waiting) {
				return grant, at, true
			}
		}
		request.Stay = true
	}
	grant, by, answered = s.requestSlot(ctx, request)
	if !answered {
		by = at
	}
	return grant, by, answered
}

// isLocal reports whether a leader is a daemon of the local zone.
func (s *scheduler) isLocal(leader string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return leader == s.self || slices.Contains(s.election.Ordered(), leader)
}

// recordWait logs and counts the end of a wait.
func (s *scheduler) recordWait(w *wait, grant slots.Grant, by string, answered bool) {
	outcome := grant.Verdict.String()
	switch {
	case !answered:
		outcome = "no_leader"
	case grant.Verdict == slots.Waiting:
		outcome = "caller_left"
	}
	waited := time.Since(w.asked)
	s.logger.Info("request_dequeued", zap.String("id", w.id), zap.String("group", w.request.Group), zap.String("leader", by),
		zap.String("outcome", outcome), zap.Int64("waited_ms", waited.Milliseconds()))
	s.set.GetOrCreateCounter(`tarragonhollow_queue_ended_total{outcome="` + outcome + `"}`).Inc()
	s.set.GetOrCreateHistogram(`tarragonhollow_queue_wait_seconds`).Update(waited.Seconds())
}

// dispatch gives free slots to waiting requests and returns the function that notifies the
// holders, to be called without the lock. s.mu is held.
func (s *scheduler) dispatch(now time.Time) (notify func()) {
	ended := s.ledger.Dispatch(now)
	if len(ended) == 0 {
		return func() {}
	}
	return func() {
		for _, d := range ended {
			s.notifyPreempted(d.Grant.Yield)
			end := WaitEnd{From: s.self, Number: d.ID.Number, Grant: d.Grant}
			if d.ID.Holder == s.self {
				s.deliver(end)
				continue
			}
			s.caller.Notify(d.ID.Holder, deliveryMethod, end)
		}
	}
}

// publishLengths sets the metrics of the queues; they are 0 where this daemon does not lead.
// s.mu is held.
func (s *scheduler) publishLengths() {
	if !s.policy.Queue {
		return
	}
	lengths := map[string]int{}
	if s.leads {
		lengths = s.ledger.Waiting()
	}
	for group := range s.queueLengths {
		if _, stays := lengths[group]; !stays {
			lengths[group] = 0
		}
	}
	s.queueLengths = lengths
	for group, length := range lengths {
		s.set.GetOrCreateGauge(`tarragonhollow_queue_length{group="`+group+`"}`, nil).Set(float64(length))
	}
}
