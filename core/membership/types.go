// Package membership is the state machine of a daemon's view of the other daemons: which of
// them are live, suspect, leaving or dead, and the facts that each publishes about itself.
// It does no I/O.
package membership

// State is a member's state in the local view.
type State int

const (
	// Live members answer probes.
	Live State = iota
	// Suspect members missed probes and may still refute the suspicion.
	Suspect
	// Leaving members answer but accept no new work.
	Leaving
	// Dead members are not in the view; they return with a higher version, for example
	// that of a new incarnation.
	Dead
)

// ShardHold is a member's claim to hold a shard in a term.
type ShardHold struct {
	Shard int
	Term  uint64
}

// Member is one daemon in the local view. Its facts are owned by the member itself: they
// spread with a version that only the member raises.
type Member struct {
	// Host is the daemon's unique name.
	Host string
	// Zone is its availability zone.
	Zone string
	// PeerAddress is the IP:PORT of its net/rpc listener.
	PeerAddress string
	// HTTPAddress is the IP:PORT of its HTTP listener.
	HTTPAddress string
	// Incarnation identifies one start of the daemon; each later start has a higher one.
	Incarnation uint64
	// FactsVersion orders the facts below within one incarnation.
	FactsVersion uint64
	// ConfigVersion is the version of the configuration that the member uses.
	ConfigVersion uint64
	// Shards lists the shards that the member holds.
	Shards []ShardHold
	// LogOK reports whether the member has reached the platform's log recently.
	LogOK bool
	// Ready reports whether the member serves callers.
	Ready bool
	// State is the member's state in the local view.
	State State
}

// ID returns the ID of the member's incarnation, as used in records on the log.
func (m Member) ID() string { return IncarnationID(m.Host, m.Incarnation) }

// View is the read interface of the membership for the rest of the daemon. Implementations
// are safe for concurrent use and return copies.
type View interface {
	// Self returns this daemon's own entry.
	Self() Member
	// Members returns all members that are not dead, self included, sorted by host.
	Members() []Member
	// Holder returns the live member that holds the shard with the highest term.
	Holder(shard int) (Member, bool)
	// LiveID reports whether the incarnation with the id is live, suspect or leaving.
	LiveID(id string) bool
	// Successors returns the usable members (live, log reachable, ready or not)
	// in rendezvous order for the key, best first.
	Successors(key string) []Member
	// First returns the live member that ranks first for the key, whether or not it
	// reaches the log: roles that do not need the log don't move while the log is
	// unavailable.
	First(key string) (Member, bool)
	// TargetLeaving reports whether the target at the address is leaving according to the
	// newest host list that any daemon has read.
	TargetLeaving(address string) bool
}
