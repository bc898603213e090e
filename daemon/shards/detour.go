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
	// firstDetour is how long calls take a detour after a daemon could not be reached; each
	// direct call that fails after a detour doubles it, up to longestDetour.
	firstDetour   = time.Second
	longestDetour = 30 * time.Second
	// directTry bounds a direct call that ends a detour if it is answered.
	directTry = 500 * time.Millisecond
	// relayTimeout bounds what a daemon passes on for another one.
	relayTimeout = waitTimeout
)

// detours remembers which daemons could not be reached from here lately. Calls about batch
// items are passed on to these by another daemon.
//
// A line that fails between two daemons kills neither of them, so each keeps its role. One
// may own a job whose targets are in the other's hands: without a detour nobody would run
// the job's items until the line is back.
type detours struct {
	mu sync.Mutex
	// lost are the daemons that could not be reached, by peer address.
	lost map[string]*detour
	// turn goes round the daemons that can pass calls on.
	turn int
}

type detour struct {
	until time.Time
	// length is how long it is kept from the next failure on.
	length time.Duration
}

// active tells whether calls to the address take a detour now. tried tells, where they do
// not, that the daemon there is tried again after one.
func (d *detours) active(now time.Time, address string) (detour, tried bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	lost := d.lost[address]
	if lost == nil {
		return false, false
	}
	detour = now.Before(lost.until)
	return detour, !detour
}

// note takes the outcome of a direct call. It tells whether a detour begins.
func (d *detours) note(now time.Time, address string, reached bool) (begins bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	lost := d.lost[address]
	switch {
	case reached:
		delete(d.lost, address)
		return false
	case lost == nil:
		if d.lost == nil {
			d.lost = make(map[string]*detour)
		}
		d.lost[address] = &detour{until: now.Add(firstDetour), length: 2 * firstDetour}
		return true
	case now.Before(lost.until):
		return false // a call that began before the detour did
	}
	lost.until = now.Add(lost.length)
	lost.length = min(2*lost.length, longestDetour)
	return false
}

// next returns one of the daemons that may pass a call on, each in turn, "" for none.
func (d *detours) next(addresses []string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(addresses) == 0 {
		return ""
	}
	d.turn++
	return addresses[d.turn%len(addresses)]
}

// forget drops what is known of daemons that are no members any more.
func (d *detours) forget(member func(address string) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for address := range d.lost {
		if !member(address) {
			delete(d.lost, address)
		}
	}
}

// RelayPullRequest asks a daemon to pass a pull on to the member at a peer address.
type RelayPullRequest struct {
	To      string
	Request ledger.PullRequest
}

// RelayFinishItemsRequest asks a daemon to pass ends of items on to the member at a peer
// address.
type RelayFinishItemsRequest struct {
	To      string
	Request ledger.FinishItemsRequest
}

// relayed returns the call by which another daemon passes req on, false for a call that
// takes no detour.
func relayed(to string, req any) (method string, args any, ok bool) {
	switch r := req.(type) {
	case ledger.PullRequest:
		return methodRelayPull, RelayPullRequest{To: to, Request: r}, true
	case ledger.FinishItemsRequest:
		return methodRelayFinishItems, RelayFinishItemsRequest{To: to, Request: r}, true
	}
	return "", nil, false
}

// call calls the daemon at a peer address, or has another one pass the call on while that
// daemon can't be reached from here.
func (s *Shards) call(ctx context.Context, address, method string, req, reply any) error {
	relay, args, may := relayed(address, req)
	detour, tried := s.detours.active(s.opt.Clock(), address)
	if may && detour {
		if through := s.detours.next(s.relays(address)); through != "" {
			return s.callDirectly(ctx, through, relay, args, reply)
		}
	}
	if may && tried {
		bounded, cancel := context.WithTimeout(ctx, directTry)
		defer cancel()
		ctx = bounded
	}
	return s.callDirectly(ctx, address, method, req, reply)
}

// callDirectly makes one call and notes whether the daemon was reached.
func (s *Shards) callDirectly(ctx context.Context, address, method string, req, reply any) error {
	err := s.opt.Peer.Call(ctx, address, method, req, reply)
	if s.detours.note(s.opt.Clock(), address, err == nil || peer.IsRemoteError(err)) {
		s.opt.Logger.Info("detour_begins", zap.String("peer", address), zap.Error(err))
		s.detours.forget(s.isMember)
	}
	if err != nil {
		s.doubt(address, err)
	}
	return err
}

// relays lists the members that can pass a call to the address on.
func (s *Shards) relays(to string) []string {
	var addresses []string
	now, self := s.opt.Clock(), s.opt.View.Self().PeerAddress
	for _, m := range s.opt.View.Members() {
		detour, _ := s.detours.active(now, m.PeerAddress)
		if m.PeerAddress != to && m.PeerAddress != self && !detour {
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

// passOn makes a direct call for another daemon.
func (s *Shards) passOn(to, method string, req, reply any) error {
	if !s.isMember(to) {
		return errNoMember.New("%s is no member here", to)
	}
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
	defer cancel()
	return s.opt.Peer.Call(ctx, to, method, req, reply)
}

// RelayPull implements the net/rpc method.
func (v *service) RelayPull(req RelayPullRequest, reply *Word[ledger.PullReply]) error {
	return v.s.passOn(req.To, methodPull, req.Request, reply)
}

// RelayFinishItems implements the net/rpc method.
func (v *service) RelayFinishItems(req RelayFinishItemsRequest, reply *Word[ledger.FinishItemsReply]) error {
	return v.s.passOn(req.To, methodFinishItems, req.Request, reply)
}
