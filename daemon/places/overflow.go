package places

import (
	"context"
	"maps"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/slots"
)

// overflowLogInterval is the minimum interval between log lines on requests sent to the
// same zone for the same group.
const overflowLogInterval = time.Second

// overflow requests a slot from the leader of the zone that the local leader referred to,
// and from the local leader again if that one grants none. by is the leader that answered.
func (s *scheduler) overflow(ctx context.Context, leader string, request slots.Request, referral slots.Grant) (grant slots.Grant, by string, answered bool) {
	remote, ok := s.callLeader(ctx, referral.Leader, s.remoteRequest(request, referral))
	s.countOverflow(request, referral, remote, ok)
	if ok && (remote.Verdict == slots.Granted || remote.Verdict == slots.Waiting) {
		return remote, referral.Leader, true
	}
	if request.Batch {
		return slots.Grant{Reserve: referral.Reserve}, leader, true
	}
	request.Stay = true
	// A cancelled request says nothing about the zone.
	if s.policy.ZoneBalance && ctx.Err() == nil {
		request.FailedZone, request.Unanswered = referral.Zone, !ok
	}
	grant, answered = s.callLeader(ctx, leader, request)
	return grant, leader, answered
}

// remoteRequest returns the request as it is sent to another zone's leader.
func (s *scheduler) remoteRequest(request slots.Request, referral slots.Grant) slots.Request {
	request.Visiting, request.HomeWait = true, referral.Wait
	return request
}

// countOverflow counts a request that was sent to another zone.
func (s *scheduler) countOverflow(request slots.Request, referral, remote slots.Grant, answered bool) {
	if !s.policy.ZoneBalance || request.Batch {
		return
	}
	outcome := "unanswered"
	if answered {
		outcome = remote.Verdict.String()
	}
	s.set.GetOrCreateCounter(`tarragonhollow_zone_overflow_total{reason="` + referral.Reason.String() + `",outcome="` + outcome + `"}`).Inc()
}

// logOverflow logs that this daemon, a leader, sent an online request to another zone, with
// the loads that were compared. s.mu is held.
func (s *scheduler) logOverflow(now time.Time, request slots.Request, grant slots.Grant) {
	if !s.policy.ZoneBalance || request.Batch || grant.Verdict != slots.Elsewhere {
		return
	}
	key := [2]string{grant.Zone, request.Group}
	if now.Sub(s.overflowLogged[key]) < overflowLogInterval {
		return
	}
	maps.DeleteFunc(s.overflowLogged, func(_ [2]string, at time.Time) bool { return now.Sub(at) >= overflowLogInterval })
	s.overflowLogged[key] = now
	local, remote := s.ledger.Load(now)[request.Group], s.ledger.RemoteLoad(grant.Zone, request.Group)
	s.logger.Info("zone_overflow", zap.String("zone", s.zone), zap.String("to", grant.Zone), zap.String("group", request.Group),
		zap.Stringer("reason", grant.Reason), zap.Duration("wait", grant.Wait),
		zap.Int("waiting", local.Waiting), zap.Float64("per_second", local.PerSecond),
		zap.Int("remote_free", remote.Free), zap.Int("remote_batch", remote.Batch),
		zap.Int("remote_waiting", remote.Waiting), zap.Float64("remote_per_second", remote.PerSecond))
}
