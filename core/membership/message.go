package membership

// Claim is what a daemon holds about a member: enough for the member to see
// whether it must refute it.
type Claim struct {
	Host         string
	Incarnation  uint64
	FactsVersion uint64
	State        State
}

// TargetNotice is the host list's word about a target, as of a list version.
type TargetNotice struct {
	// Address is the target's IP:PORT.
	Address string
	// Leaving says whether the target must get no new work.
	Leaving bool
	// ListVersion is the host list's version that said so; the highest wins.
	ListVersion int64
}

// Gossip is what rides on every message: a bounded number of entries, whatever
// the fleet's size.
type Gossip struct {
	Members []Member
	Targets []TargetNotice
	// ListVersion is the sender's host list version.
	ListVersion int64
}

// ProbeRequest asks a daemon whether it answers.
type ProbeRequest struct {
	// From is the sender's own entry.
	From Member
	// About is the sender's view of the receiver; zero if it has none.
	About  Claim
	Gossip Gossip
}

// ProbeReply answers a ProbeRequest.
type ProbeReply struct {
	// From is the answering daemon's own entry.
	From Member
	// About is its view of the asking daemon.
	About  Claim
	Gossip Gossip
}

// ViaRequest asks a daemon to probe another one for the sender.
type ViaRequest struct {
	Probe ProbeRequest
	// Host and Address name the daemon to probe.
	Host    string
	Address string
}

// ViaReply answers a ViaRequest.
type ViaReply struct {
	// Acked says whether Host answered; Target is then its own entry.
	Acked  bool
	Target Member
	Gossip Gossip
}

// SyncReply answers a ProbeRequest sent for joining: all that the sender knows.
type SyncReply struct {
	From    Member
	About   Claim
	Members []Member
	Targets []TargetNotice
}

// ProbeKind tells how a probe is carried out.
type ProbeKind int

const (
	// ProbeDirect asks the member itself (ProbeRequest, ProbeReply).
	ProbeDirect ProbeKind = iota
	// ProbeIndirect asks through another member (ViaRequest, ViaReply).
	ProbeIndirect
	// ProbeContact asks an address that is not a member, or a dead one.
	ProbeContact
	// ProbeSync is a contact that joins (ProbeRequest, SyncReply).
	ProbeSync
)

// Probe is an order to the caller: send Request to Address and step the result
// back in.
type Probe struct {
	Kind ProbeKind
	// Host is the probed member; empty for contacts whose name is not known.
	Host string
	// Address is where to send the request.
	Address string
	// Request goes to Address for all kinds but ProbeIndirect.
	Request ProbeRequest
	// Via is the request of ProbeIndirect; Address is the middle one's.
	Via ViaRequest

	claim Claim // the entry when the probing began
	epoch uint64
}
