// Package membership is the pure state machine that keeps each daemon's view
// of the other daemons: who is live, suspect, leaving or dead, and the small
// facts each member tells about itself.
package membership

// State is a member's condition in the local view.
type State int

const (
	// Live members answer probes.
	Live State = iota
	// Suspect members missed probes and may still refute it.
	Suspect
	// Leaving members answer but take no new work.
	Leaving
	// Dead members are out of the view; a higher incarnation brings them back.
	Dead
)

// ShardHold is a member's claim to hold a shard in a term.
type ShardHold struct {
	Shard int
	Term  uint64
}

// Member is one daemon as seen in the local view. The owner of the facts is the
// member itself: they spread with a version that only it raises.
type Member struct {
	// Host is the daemon's unique name.
	Host string
	// Zone is its availability zone.
	Zone string
	// PeerAddress is the IP:PORT of its net/rpc listener.
	PeerAddress string
	// HTTPAddress is the IP:PORT of its HTTP listener.
	HTTPAddress string
	// Incarnation is drawn at start and differs at every restart; later starts are higher.
	Incarnation uint64
	// FactsVersion orders the facts below within one incarnation.
	FactsVersion uint64
	// ConfigVersion is the configuration version in force there.
	ConfigVersion uint64
	// Shards lists the shards it holds.
	Shards []ShardHold
	// LogOK says whether it has reached the platform's log lately.
	LogOK bool
	// Ready says whether it serves callers.
	Ready bool
	// State is the local view's verdict.
	State State
}

// ID names one incarnation of a host, e.g. for records on the log.
func (m Member) ID() string { return IncarnationID(m.Host, m.Incarnation) }

// View is what the rest of the daemon reads of the membership. Implementations
// are safe for concurrent use and return copies.
type View interface {
	// Self returns this daemon's own entry.
	Self() Member
	// Members returns all members that are not dead, self included, sorted by host.
	Members() []Member
	// Holder returns the live member that holds the shard with the highest term.
	Holder(shard int) (Member, bool)
	// LiveID tells whether the incarnation named by id is live, suspect or leaving.
	LiveID(id string) bool
	// Successors returns the usable members (live, log reachable, ready or not)
	// in rendezvous order for the key, best first.
	Successors(key string) []Member
	// First returns the live member that comes first for the key, whether or not
	// it reaches the log: duties that need no log stay where they are while the
	// log is out.
	First(key string) (Member, bool)
	// TargetLeaving tells whether any daemon has heard the host list say that
	// the target at this address leaves.
	TargetLeaving(address string) bool
}
