package quota

import "time"

const (
	// VoteInterval is the interval at which a daemon renews its vote.
	VoteInterval = 300 * time.Millisecond
	// voteTTL is how long a participant holds a vote that is not renewed.
	voteTTL = 800 * time.Millisecond
	// retransferAfter is how long after its last transfer a vote may be transferred to
	// another participant: it has expired at the first one by then, however late it
	// arrived there.
	retransferAfter = voteTTL + 200*time.Millisecond
)

// Vote is a daemon's vote. Once transferred to a participant, it is not transferred to
// another one until the first has released it.
//
// Failure guarded against: the leader of a zone is cut off, and its daemons follow a new
// one. If both counted their votes, both would give out the zone's share of every quota.
type Vote struct {
	holder        string
	transferredAt time.Time
}

// Due reports whether the vote is to be transferred to a participant now, as a new holder
// or as a renewal.
func (v *Vote) Due(now time.Time, to string) bool {
	return v.holder != to || now.Sub(v.transferredAt) >= VoteInterval
}

// Transfer transfers the vote to a participant, or renews the transfer. It reports
// whether that participant holds the vote now.
func (v *Vote) Transfer(now time.Time, to string) bool {
	if v.holder != to && now.Sub(v.transferredAt) < retransferAfter {
		return false
	}
	v.holder, v.transferredAt = to, now
	return true
}

// Returned records that a participant has released the vote.
func (v *Vote) Returned(from string) {
	if v.holder == from {
		*v = Vote{}
	}
}

// Votes holds when each vote of a participant was last received, by the daemon that
// transferred it.
type Votes map[string]time.Time

// Count returns the number of votes that are held, and deletes the expired ones.
func (v Votes) Count(now time.Time) int {
	for daemon, at := range v {
		if now.Sub(at) > voteTTL {
			delete(v, daemon)
		}
	}
	return len(v)
}
