package slots

import (
	"time"

	"tarragonhollow.example/tarragonhollow/core/fairshare"
	"tarragonhollow.example/tarragonhollow/core/returns"
	"tarragonhollow.example/tarragonhollow/core/waitqueue"
)

// maxReportedShares is how many shares of a group are reported to other zones and in the
// metrics.
const maxReportedShares = 16

// fairness is the state of FairShares and PacedReturn.
type fairness struct {
	// shares holds the shares of each group: groups have slots and units of work of their
	// own.
	shares  map[string]*fairshare.Shares
	returns *returns.Returns
}

func newFairness() fairness {
	return fairness{shares: map[string]*fairshare.Shares{}, returns: returns.New()}
}

// ShareChange is a change of a share of a group's slots.
type ShareChange struct {
	Group string
	fairshare.Change
}

// shares returns what orders the waiting requests of a group by shares, nil if shares are
// not in force.
func (l *Ledger) shares(group string) waitqueue.Shares {
	if !l.policy.FairShares {
		return nil
	}
	return l.sharesOf(group)
}

func (l *Ledger) sharesOf(group string) *fairshare.Shares {
	s := l.fairness.shares[group]
	if s == nil {
		s = fairshare.New()
		l.fairness.shares[group] = s
	}
	return s
}

// beyondShare reports whether a request that does not wait yet would be beyond its share.
func (l *Ledger) beyondShare(r Request) bool {
	s := l.fairness.shares[r.Group]
	return s != nil && s.Beyond(r.Share)
}

// returning reports whether the request was refused before and its caller kept to its
// Retry-After.
func (l *Ledger) returning(now time.Time, r Request) bool {
	return l.policy.PacedReturn && l.fairness.returns.Returning(now, r.Content)
}

// retryAfter returns when the caller of a refused request should return, 0 if returns are
// not paced. beyondShare reports that the request is beyond its account's share, wait is
// the time until the present queue is served.
func (l *Ledger) retryAfter(now time.Time, r Request, beyondShare bool, wait time.Duration) time.Duration {
	if !l.policy.PacedReturn {
		return 0
	}
	left := r.DeadlineLeft
	if left == 0 {
		// Not known. No request waits longer than half of its time; see routing.MaxWait.
		left = 2 * r.Patience
	}
	after := l.fairness.returns.Refuse(now, returns.Refusal{Group: r.Group, Content: r.Content, BeyondShare: beyondShare,
		QueueTime: wait, Interval: l.slotInterval(now, r.Group), Left: left})
	// 0 means unknown and leads to the earlier rule.
	return max(after, 1)
}

// slotInterval returns the expected time between two slots of the group that become free
// while all are taken, 0 for unknown.
func (l *Ledger) slotInterval(now time.Time, group string) time.Duration {
	g := l.groups[group]
	if g == nil {
		return 0
	}
	rate := l.perSecond(now, g)
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / rate)
}

// expireFairness drops shares without requests, also the empty state of groups that are no
// longer configured, and return times that have passed.
func (l *Ledger) expireFairness(now time.Time) {
	for group, s := range l.fairness.shares {
		s.Expire(now)
		if s.Len() == 0 && l.groups[group] == nil {
			delete(l.fairness.shares, group)
		}
	}
	l.fairness.returns.Expire(now)
}

// ShareReports returns, by group, the shares to report to the leaders of other zones; nil
// if none is beyond its share.
func (l *Ledger) ShareReports(now time.Time) map[string]fairshare.Report {
	var reports map[string]fairshare.Report
	for group, s := range l.fairness.shares {
		if r := s.Report(now, maxReportedShares); len(r.Used) > 0 {
			if reports == nil {
				reports = map[string]fairshare.Report{}
			}
			reports[group] = r
		}
	}
	return reports
}

// ApplyShareReports applies what shares received in another zone, as its leader reports it.
func (l *Ledger) ApplyShareReports(now time.Time, leader string, reports map[string]fairshare.Report) {
	if !l.policy.FairShares {
		return
	}
	for group, r := range reports {
		if l.groups[group] != nil {
			l.sharesOf(group).ApplyRemote(now, leader, r)
		}
	}
}

// ShareChanges returns the shares that went beyond their share of the slots, or returned
// within it, since the last call.
func (l *Ledger) ShareChanges(now time.Time) []ShareChange {
	var list []ShareChange
	for group, s := range l.fairness.shares {
		for _, c := range s.Changes(now) {
			list = append(list, ShareChange{group, c})
		}
	}
	return list
}

// ShareUses returns, by group, the shares that received the most work while they waited.
func (l *Ledger) ShareUses() map[string][]fairshare.Use {
	uses := map[string][]fairshare.Use{}
	for group, s := range l.fairness.shares {
		uses[group] = s.Uses(maxReportedShares)
	}
	return uses
}
