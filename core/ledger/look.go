package ledger

// Look tells what the stream says of the arrival's key, without an owner's part:
// Free, Settled, or StillRunning if it may have run and no end is known. A start
// under the arrival's own nonce counts as Free: it is granted to nobody but this
// arrival, and its entry host, which asks here, was granted nothing.
func (s *State) Look(req BeginRequest) BeginReply {
	kept := s.requests[req.Key]
	switch {
	case kept == nil:
		return BeginReply{Verdict: Free}
	case kept.Fingerprint != req.Fingerprint:
		return BeginReply{Verdict: Settled, Refusal: conflict(req.Key)}
	case kept.State == RequestRunning && kept.Nonce == req.Nonce && kept.Attempt == 1:
		return BeginReply{Verdict: Free}
	case kept.State == RequestRunning || kept.State == RequestUnknown && kept.Answer == nil:
		return BeginReply{Verdict: StillRunning, Attempt: kept.Attempt}
	}
	return BeginReply{Verdict: Settled, Attempt: kept.Attempt, Answer: kept.Answer, Refusal: kept.Refusal.refusal()}
}
