package ledger

// Lookup returns what the records applied so far say about the arrival's key, without the
// shard's owner: Free, Settled, or StillRunning if the request may have run and no end is
// known. A start under the arrival's own nonce counts as Free: only this arrival can be
// granted it, and the entry host, which is the one calling Lookup, received no grant.
func (s *State) Lookup(req BeginRequest) BeginReply {
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
