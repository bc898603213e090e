package shards

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
)

// revokeMethod is served by every daemon's batch dispatcher (steward). It replies once no
// item of the job runs or will start there.
const revokeMethod = "Steward.Revoke"

// revokeTimeout limits the calls to the batch dispatchers. The owner waits until the leases
// of those that do not reply have expired.
const revokeTimeout = 10 * time.Second

// revokeRequest and revokeReply have the fields of the messages of Steward.Revoke; gob
// matches fields by name.
type revokeRequest struct{ Job string }

type revokeReply struct{ Queued, Running int }

// revoke calls every member to drop the job's items, and reports to the owner which
// members have done so. A member that joins later can't hold a lease of the job, because
// the owner grants no more.
func (s *Shards) revoke(ctx context.Context, sl *slot, job string) {
	ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	members := s.opt.View.Members()
	var mu sync.Mutex
	var dropped []string
	stopped := 0
	fanOut(len(members), func(i int) {
		var reply revokeReply
		err := s.opt.Peer.Call(ctx, members[i].PeerAddress, revokeMethod, &revokeRequest{Job: job}, &reply)
		if err != nil {
			s.opt.Logger.Warn("revoke_failed", zap.String("job", job),
				zap.String("host", members[i].Host), zap.Error(err))
			return
		}
		mu.Lock()
		defer mu.Unlock()
		dropped = append(dropped, members[i].ID())
		stopped += reply.Running + reply.Queued
	})
	s.opt.Logger.Info("job_revoked", zap.String("job", job), zap.Int("stopped", stopped),
		zap.Int("unreachable", len(members)-len(dropped)))
	sl.mu.Lock()
	defer sl.mu.Unlock()
	if !sl.holding() {
		return
	}
	sl.owner.Revoked(s.nowMs(), job, dropped)
	s.deliver(sl)
}
