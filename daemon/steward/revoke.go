package steward

import (
	"context"
)

const (
	// ServiceName is the net/rpc service name of the steward.
	ServiceName = "Steward"
	// RevokeMethod stops a job's items: RevokeRequest, RevokeReply.
	RevokeMethod = ServiceName + ".Revoke"
)

// RevokeRequest identifies a cancelled job.
type RevokeRequest struct {
	// Job is the scoped name.
	Job string
}

// RevokeReply is sent once no item of the job can start or run here any more.
type RevokeReply struct {
	// Queued and Running count the items that were dropped and stopped.
	Queued  int
	Running int
}

type rpcService struct{ steward *Steward }

// Revoke implements the net/rpc method.
func (r *rpcService) Revoke(req *RevokeRequest, reply *RevokeReply) error {
	ctx, release := context.WithTimeout(context.Background(), revokeTimeout)
	defer release()
	done, err := r.steward.Revoke(ctx, req.Job)
	*reply = done
	return err
}

// Revoke drops the job's queued items, stops its running ones, and returns once they have
// ended. The job is remembered for longer than a lease, since the reply to a pull that was
// sent before the cancel may still contain its items. The revoked mark and the registration
// of a start share one lock, so a start that passed its last check is found here as a run
// and waited for.
func (s *Steward) Revoke(ctx context.Context, job string) (RevokeReply, error) {
	var reply RevokeReply
	var ends []<-chan struct{}
	s.mu.Lock()
	s.revoked[job] = s.opts.Now().Add(max(revokedRetention, 2*s.maxLease))
	for _, it := range s.held {
		if it.ref.Job != job || it.ended {
			continue
		}
		if it.run != nil {
			reply.Running++
			ends = append(ends, it.run.done)
		} else {
			reply.Queued++
		}
		s.stopItemLocked(it)
	}
	s.mu.Unlock()
	for _, end := range ends {
		select {
		case <-end:
		case <-ctx.Done():
			return reply, StopError.Wrap(ctx.Err(), "streams of job %s still run", job)
		}
	}
	return reply, nil
}
