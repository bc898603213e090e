package quota

import "time"

const (
	// VoteEvery is the pace at which a daemon renews its vote.
	VoteEvery = 300 * time.Millisecond
	// voteLife is how long a participant holds a vote that is not renewed.
	voteLife = 800 * time.Millisecond
	// voteAgain is how long after it last lent its vote a daemon may lend it to another
	// participant: the first one has let go of it then, however late it came.
	voteAgain = voteLife + 200*time.Millisecond
)

// Vote is a daemon's vote. Lent to one participant, it is not lent to another one until
// the first has let go of it.
//
// Failure guarded against: the leader of a zone is cut off, and its daemons follow a new
// one. If both counted them, both would give out the zone's part of every quota.
type Vote struct {
	holder string
	lent   time.Time
}

// Due tells whether the vote is to be lent to a participant now: to another one, or again.
func (v *Vote) Due(now time.Time, to string) bool {
	return v.holder != to || now.Sub(v.lent) >= VoteEvery
}

// Lend lends the vote to a participant, or renews that. It tells whether the vote is that
// participant's now.
func (v *Vote) Lend(now time.Time, to string) bool {
	if v.holder != to && now.Sub(v.lent) < voteAgain {
		return false
	}
	v.holder, v.lent = to, now
	return true
}

// Returned takes the vote back from a participant that has let go of it.
func (v *Vote) Returned(from string) {
	if v.holder == from {
		*v = Vote{}
	}
}

// Votes are those that a participant holds, by the daemon that lent them.
type Votes map[string]time.Time

// Count counts the votes that are held, and forgets the others.
func (v Votes) Count(now time.Time) int {
	for daemon, at := range v {
		if now.Sub(at) > voteLife {
			delete(v, daemon)
		}
	}
	return len(v)
}
