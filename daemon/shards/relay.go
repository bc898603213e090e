package shards

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/ledger"
	"tarragonhollow.example/tarragonhollow/peer"
)

const (
	// firstRelayPeriod is how long calls are relayed after a daemon could not be reached;
	// each direct call that fails after a period doubles it, up to longestRelayPeriod.
	firstRelayPeriod   = time.Second
	longestRelayPeriod = 30 * time.Second
	// directRetryTimeout bounds a direct call after a period; its success ends relaying.
	directRetryTimeout = 500 * time.Millisecond
	// relayTimeout bounds a call that a daemon makes for another one.
	relayTimeout = waitTimeout
)

// relaying remembers which daemons could not be reached from here lately. Calls about batch
// items are relayed to these by another daemon.
//
// A connection that fails between two daemons kills neither of them, so each keeps its role.
// One may own a job whose targets have the other as steward: unless calls are relayed, nobody
// runs the job's items until the connection is back.
type relaying struct {
	mu sync.Mutex
	// lost are the daemons that could not be reached, by peer address.
	lost map[string]*relayPeriod
	// turn is the number of relayed calls.
	turn int
}

// relayPeriod is a time in which calls to a daemon are relayed.
type relayPeriod struct {
	until time.Time
	// next is the length of the period after this one.
	next time.Duration
}

// active tells whether calls to the address are relayed now, or else whether the daemon
// there is tried directly again.
func (r *relaying) active(now time.Time, address string) (relayed, retried bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	lost := r.lost[address]
	if lost == nil {
		return false, false
	}
	relayed = now.Before(lost.until)
	return relayed, !relayed
}

// note takes the outcome of a direct call. It tells whether relaying begins.
func (r *relaying) note(now time.Time, address string, reached bool) (begins bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	lost := r.lost[address]
	switch {
	case reached:
		delete(r.lost, address)
		return false
	case lost == nil:
		if r.lost == nil {
			r.lost = make(map[string]*relayPeriod)
		}
		r.lost[address] = &relayPeriod{until: now.Add(firstRelayPeriod), next: 2 * firstRelayPeriod}
		return true
	case now.Before(lost.until):
		return false // the call began before the period
	}
	lost.until = now.Add(lost.next)
	lost.next = min(2*lost.next, longestRelayPeriod)
	return false
}

// pick returns one of the daemons that may relay a call, each in turn, "" for none.
func (r *relaying) pick(addresses []string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(addresses) == 0 {
		return ""
	}
	r.turn++
	return addresses[r.turn%len(addresses)]
}

// forget drops what is known of daemons that are no members any more.
func (r *relaying) forget(member func(address string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for address := range r.lost {
		if !member(address) {
			delete(r.lost, address)
		}
	}
}

// RelayPullRequest asks a daemon to relay a pull to the member at a peer address.
type RelayPullRequest struct {
	To      string
	Request ledger.PullRequest
}

// RelayFinishItemsRequest asks a daemon to relay ends of items to the member at a peer
// address.
type RelayFinishItemsRequest struct {
	To      string
	Request ledger.FinishItemsRequest
}

// relayCall returns the call that has another daemon relay req, false for one that is not
// relayed.
func relayCall(to string, req any) (method string, args any, ok bool) {
	switch r := req.(type) {
	case ledger.PullRequest:
		return methodRelayPull, RelayPullRequest{To: to, Request: r}, true
	case ledger.FinishItemsRequest:
		return methodRelayFinishItems, RelayFinishItemsRequest{To: to, Request: r}, true
	}
	return "", nil, false
}

// call calls the daemon at a peer address, or has another one relay the call while that
// daemon can't be reached from here.
func (s *Shards) call(ctx context.Context, address, method string, req, reply any) error {
	relay, args, may := relayCall(address, req)
	relayed, retried := s.relaying.active(s.opt.Clock(), address)
	if may && relayed {
		if through := s.relaying.pick(s.relays(address)); through != "" {
			return s.callDirectly(ctx, through, relay, args, reply)
		}
	}
	if may && retried {
		bounded, cancel := context.WithTimeout(ctx, directRetryTimeout)
		defer cancel()
		ctx = bounded
	}
	return s.callDirectly(ctx, address, method, req, reply)
}

// callDirectly makes one call and notes whether the daemon was reached.
func (s *Shards) callDirectly(ctx context.Context, address, method string, req, reply any) error {
	err := s.opt.Peer.Call(ctx, address, method, req, reply)
	if s.relaying.note(s.opt.Clock(), address, err == nil || peer.IsRemoteError(err)) {
		s.opt.Logger.Info("calls_relayed", zap.String("peer", address), zap.Error(err))
		s.relaying.forget(s.isMember)
	}
	if err != nil {
		s.doubt(address, err)
	}
	return err
}

// relays lists the members that can relay a call to the address.
func (s *Shards) relays(to string) []string {
	var addresses []string
	now, self := s.opt.Clock(), s.opt.View.Self().PeerAddress
	for _, m := range s.opt.View.Members() {
		lost, _ := s.relaying.active(now, m.PeerAddress)
		if m.PeerAddress != to && m.PeerAddress != self && !lost {
			addresses = append(addresses, m.PeerAddress)
		}
	}
	return addresses
}

func (s *Shards) isMember(address string) bool {
	for _, m := range s.opt.View.Members() {
		if m.PeerAddress == address {
			return true
		}
	}
	return false
}

// relay makes a direct call for another daemon.
func (s *Shards) relay(to, method string, req, reply any) error {
	if !s.isMember(to) {
		return errNoMember.New("%s is no member here", to)
	}
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
	defer cancel()
	return s.opt.Peer.Call(ctx, to, method, req, reply)
}

// RelayPull implements the net/rpc method.
func (v *service) RelayPull(req RelayPullRequest, reply *Word[ledger.PullReply]) error {
	return v.s.relay(req.To, methodPull, req.Request, reply)
}

// RelayFinishItems implements the net/rpc method.
func (v *service) RelayFinishItems(req RelayFinishItemsRequest, reply *Word[ledger.FinishItemsReply]) error {
	return v.s.relay(req.To, methodFinishItems, req.Request, reply)
}
