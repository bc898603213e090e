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
	// firstRelayPeriod is how long calls are relayed after a daemon could not be reached.
	// Each direct call that fails after a period doubles it, up to longestRelayPeriod.
	firstRelayPeriod   = time.Second
	longestRelayPeriod = 30 * time.Second
	// directRetryTimeout limits a direct call after a period; its success ends relaying.
	directRetryTimeout = 500 * time.Millisecond
	// relayTimeout limits a call that a daemon makes for another one.
	relayTimeout = waitTimeout
)

// relaying tracks which daemons could not be reached from this one lately. Calls about
// batch items are relayed to these by another daemon.
//
// If the connection between two daemons fails, both are alive and keep their roles. One of
// them may own a job whose targets have the other as their batch dispatcher (steward).
// Unless calls are relayed, no daemon runs the job's items until the connection is back.
type relaying struct {
	mu sync.Mutex
	// unreachable holds the daemons that could not be reached, by peer address.
	unreachable map[string]*relayPeriod
	// relayed is the number of relayed calls.
	relayed int
}

// relayPeriod is a time in which calls to a daemon are relayed.
type relayPeriod struct {
	until time.Time
	// nextLength is the length of the period after this one.
	nextLength time.Duration
}

// active reports whether calls to the address are relayed now, or else whether the next
// call retries the direct connection.
func (r *relaying) active(now time.Time, address string) (relayed, retried bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	period := r.unreachable[address]
	if period == nil {
		return false, false
	}
	relayed = now.Before(period.until)
	return relayed, !relayed
}

// record records whether a direct call reached the daemon. It reports whether relaying to
// the daemon starts.
func (r *relaying) record(now time.Time, address string, reached bool) (started bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	period := r.unreachable[address]
	switch {
	case reached:
		delete(r.unreachable, address)
		return false
	case period == nil:
		if r.unreachable == nil {
			r.unreachable = make(map[string]*relayPeriod)
		}
		r.unreachable[address] = &relayPeriod{until: now.Add(firstRelayPeriod), nextLength: 2 * firstRelayPeriod}
		return true
	case now.Before(period.until):
		return false // the call started before the period
	}
	period.until = now.Add(period.nextLength)
	period.nextLength = min(2*period.nextLength, longestRelayPeriod)
	return false
}

// pick returns one of the daemons that may relay a call, in rotation, "" if there is none.
func (r *relaying) pick(addresses []string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(addresses) == 0 {
		return ""
	}
	r.relayed++
	return addresses[r.relayed%len(addresses)]
}

// forget deletes the entries of daemons that are no longer members.
func (r *relaying) forget(member func(address string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for address := range r.unreachable {
		if !member(address) {
			delete(r.unreachable, address)
		}
	}
}

// RelayPullRequest requests a daemon to relay a pull to the member at a peer address.
type RelayPullRequest struct {
	To      string
	Request ledger.PullRequest
}

// RelayFinishItemsRequest requests a daemon to relay ends of items to the member at a peer
// address.
type RelayFinishItemsRequest struct {
	To      string
	Request ledger.FinishItemsRequest
}

// relayCall returns the call that makes another daemon relay req, and false if calls like
// req are not relayed.
func relayCall(to string, req any) (method string, args any, ok bool) {
	switch r := req.(type) {
	case ledger.PullRequest:
		return methodRelayPull, RelayPullRequest{To: to, Request: r}, true
	case ledger.FinishItemsRequest:
		return methodRelayFinishItems, RelayFinishItemsRequest{To: to, Request: r}, true
	}
	return "", nil, false
}

// call calls the daemon at a peer address. While that daemon can't be reached from this
// one, another daemon relays the call.
func (s *Shards) call(ctx context.Context, address, method string, req, reply any) error {
	relay, args, relayable := relayCall(address, req)
	relayed, retried := s.relaying.active(s.opt.Clock(), address)
	if relayable && relayed {
		if via := s.relaying.pick(s.relays(address)); via != "" {
			return s.callDirectly(ctx, via, relay, args, reply)
		}
	}
	if relayable && retried {
		bounded, cancel := context.WithTimeout(ctx, directRetryTimeout)
		defer cancel()
		ctx = bounded
	}
	return s.callDirectly(ctx, address, method, req, reply)
}

// callDirectly makes one call and records whether the daemon was reached.
func (s *Shards) callDirectly(ctx context.Context, address, method string, req, reply any) error {
	err := s.opt.Peer.Call(ctx, address, method, req, reply)
	if s.relaying.record(s.opt.Clock(), address, err == nil || peer.IsRemoteError(err)) {
		s.opt.Logger.Info("calls_relayed", zap.String("peer", address), zap.Error(err))
		s.relaying.forget(s.isMember)
	}
	if err != nil {
		s.reportFailed(address, err)
	}
	return err
}

// relays returns the peer addresses of the members that can relay a call to the address.
func (s *Shards) relays(to string) []string {
	var addresses []string
	now, self := s.opt.Clock(), s.opt.View.Self().PeerAddress
	for _, m := range s.opt.View.Members() {
		unreachable, _ := s.relaying.active(now, m.PeerAddress)
		if m.PeerAddress != to && m.PeerAddress != self && !unreachable {
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

// relay makes a direct call for another daemon. It fails with errNoMember if the peer
// address to is not that of a member.
func (s *Shards) relay(to, method string, req, reply any) error {
	if !s.isMember(to) {
		return errNoMember.New("%s is no member in this daemon's view", to)
	}
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
	defer cancel()
	return s.opt.Peer.Call(ctx, to, method, req, reply)
}

// RelayPull implements the net/rpc method.
func (v *service) RelayPull(req RelayPullRequest, reply *OwnerReply[ledger.PullReply]) error {
	return v.s.relay(req.To, methodPull, req.Request, reply)
}

// RelayFinishItems implements the net/rpc method.
func (v *service) RelayFinishItems(req RelayFinishItemsRequest, reply *OwnerReply[ledger.FinishItemsReply]) error {
	return v.s.relay(req.To, methodFinishItems, req.Request, reply)
}
