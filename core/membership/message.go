package membership

// Claim is a daemon's view of a member, with the fields that the member needs to decide
// whether it must refute it.
type Claim struct {
	Host         string
	Incarnation  uint64
	FactsVersion uint64
	State        State
}

// TargetNotice is a target's state on the host list as of a list version.
type TargetNotice struct {
	// Address is the target's IP:PORT.
	Address string
	// Leaving reports whether the target must not get new work.
	Leaving bool
	// ListVersion is the version of the host list; the notice with the highest wins.
	ListVersion int64
}

// Gossip is the part that every message carries: a number of entries that is bounded
// independently of the fleet's size.
type Gossip struct {
	Members []Member
	Targets []TargetNotice
	// ListVersion is the sender's host list version.
	ListVersion int64
}

// ProbeRequest is a liveness probe.
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
	// About is its view of the requesting daemon.
	About  Claim
	Gossip Gossip
}

// ViaRequest requests an indirect probe: the receiver probes another daemon on behalf of
// the sender.
type ViaRequest struct {
	Probe ProbeRequest
	// Host and Address name the daemon to probe.
	Host    string
	Address string
}

// ViaReply answers a ViaRequest.
type ViaReply struct {
	// Acked reports whether the probed daemon answered; Target is then its own entry.
	Acked  bool
	Target Member
	Gossip Gossip
}

// SyncReply answers a ProbeRequest of a joining daemon with the sender's whole view: all
// members that are not dead and all leaving targets.
type SyncReply struct {
	From    Member
	About   Claim
	Members []Member
	Targets []TargetNotice
}

// ProbeKind is the way a probe is sent.
type ProbeKind int

const (
	// ProbeDirect goes to the member itself (ProbeRequest, ProbeReply).
	ProbeDirect ProbeKind = iota
	// ProbeIndirect goes through another member (ViaRequest, ViaReply).
	ProbeIndirect
	// ProbeContact goes to an address that is not a member's, or is a dead member's.
	ProbeContact
	// ProbeSync is a contact that requests the whole view (ProbeRequest, SyncReply).
	ProbeSync
)

// Probe is a probe to send: the caller sends Request to Address and passes the result back
// to the Machine.
type Probe struct {
	Kind ProbeKind
	// Host is the probed member; empty for contacts, whose host name is not known.
	Host string
	// Address is where to send the request.
	Address string
	// Request goes to Address for all kinds but ProbeIndirect.
	Request ProbeRequest
	// Via is the request of ProbeIndirect; Address is then that of the intermediate daemon.
	Via ViaRequest

	claim Claim // the claim about the member when the probe round began
	epoch uint64
}
