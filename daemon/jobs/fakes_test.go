package jobs_test

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"tarragonhollow.example/tarragonhollow/core/board"
	"tarragonhollow.example/tarragonhollow/daemon/jobs"
	"tarragonhollow.example/tarragonhollow/daemon/places"
	"tarragonhollow.example/tarragonhollow/extern/partlog"
	"tarragonhollow.example/tarragonhollow/extern/partlog/fakepartlog"
	"tarragonhollow.example/tarragonhollow/peer"
)

// peerService is the RPC service that daemons call on each other.
type peerService interface {
	Read(jobs.ReadArgs, *jobs.ReadReply) error
	Submit(jobs.SubmitArgs, *jobs.SubmitReply) error
	Write(jobs.WriteArgs, *jobs.WriteReply) error
	Body(jobs.BodyArgs, *jobs.BodyReply) error
	End(jobs.EndArgs, *jobs.EndReply) error
}

// fakePeers calls the daemons of a spec directly. A daemon's address is its name.
type fakePeers struct {
	mu          sync.Mutex
	daemons     map[string]peerService
	cut         bool
	dropReplies bool
	calls       int
}

func (p *fakePeers) address(host string) (string, bool) { return host, true }

func (p *fakePeers) remove(host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.daemons, host)
}

// daemon returns the RPC service of a daemon.
func (p *fakePeers) daemon(host string) peerService {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.daemons[host]
}

// setCut makes all calls fail.
func (p *fakePeers) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
}

// setDropReplies makes submissions take effect without a reply.
func (p *fakePeers) setDropReplies(drop bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropReplies = drop
}

// called returns how many calls were made.
func (p *fakePeers) called() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// Call implements peer.Caller.
func (p *fakePeers) Call(_ context.Context, address, method string, args, reply any) error {
	p.mu.Lock()
	to := p.daemons[address]
	if p.cut {
		to = nil
	}
	p.calls++
	dropReplies := p.dropReplies
	p.mu.Unlock()
	if to == nil {
		return peer.Unreachable.New("%s", address)
	}
	if method == "Jobs.Submit" {
		err := to.Submit(args.(jobs.SubmitArgs), reply.(*jobs.SubmitReply))
		if dropReplies {
			return peer.NoReply.New("%s", address)
		}
		return err
	}
	if method == "Jobs.Write" {
		return to.Write(args.(jobs.WriteArgs), reply.(*jobs.WriteReply))
	}
	if method == "Jobs.Body" {
		return to.Body(args.(jobs.BodyArgs), reply.(*jobs.BodyReply))
	}
	if method == "Jobs.End" {
		return to.End(args.(jobs.EndArgs), reply.(*jobs.EndReply))
	}
	return to.Read(args.(jobs.ReadArgs), reply.(*jobs.ReadReply))
}

// Notify implements peer.Caller.
func (p *fakePeers) Notify(string, string, any) {}

// registrar returns a registrar that records the daemon's service.
func (p *fakePeers) registrar(host string) peer.Registrar { return hostPeers{p, host} }

type hostPeers struct {
	peers *fakePeers
	host  string
}

// Register implements peer.Registrar.
func (h hostPeers) Register(_ string, receiver any) error {
	h.peers.mu.Lock()
	defer h.peers.mu.Unlock()
	h.peers.daemons[h.host] = receiver.(peerService)
	return nil
}

// list returns all daemons except one.
func (p *fakePeers) list(except string) []places.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []places.Peer
	for host := range p.daemons {
		if host != except {
			list = append(list, places.Peer{Address: host, Zone: "z"})
		}
	}
	return list
}

// hostLog is the log as one host reaches it.
type hostLog struct {
	*fakepartlog.Log
	mu      sync.Mutex
	failure string
}

// The ways in which a host may fail to reach the log.
const (
	rejected   = "turned away"
	unanswered = "silent"
)

func newHostLog(log *fakepartlog.Log) *hostLog { return &hostLog{Log: log} }

func (l *hostLog) setFailure(failure string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failure = failure
}

func (l *hostLog) reach(ctx context.Context) error {
	l.mu.Lock()
	failure := l.failure
	l.mu.Unlock()
	switch failure {
	case rejected:
		return partlog.Unavailable.New("not this host")
	case unanswered:
		<-ctx.Done()
		return partlog.Unknown.Wrap(ctx.Err(), "no answer")
	}
	return nil
}

// Append implements partlog.Log.
func (l *hostLog) Append(ctx context.Context, p partlog.Partition, records []partlog.Record, at int64) (int64, error) {
	if err := l.reach(ctx); err != nil {
		return 0, err
	}
	return l.Log.Append(ctx, p, records, at)
}

// Read implements partlog.Log.
func (l *hostLog) Read(ctx context.Context, p partlog.Partition, from int64, wait time.Duration) (partlog.Page, error) {
	if err := l.reach(ctx); err != nil {
		return partlog.Page{}, err
	}
	return l.Log.Read(ctx, p, from, wait)
}

// Newest implements partlog.Log.
func (l *hostLog) Newest(ctx context.Context, p partlog.Partition, after string) (partlog.NewestPage, error) {
	if err := l.reach(ctx); err != nil {
		return partlog.NewestPage{}, err
	}
	return l.Log.Newest(ctx, p, after)
}

// noPartitions assigns no partitions.
type noPartitions struct{ *fakepartlog.Log }

func (noPartitions) Join(context.Context, string, string, []string, time.Duration, int64) (partlog.Assignment, error) {
	return partlog.Assignment{Generation: 1}, nil
}

// allPartitions assigns all partitions to every member.
type allPartitions struct{ *fakepartlog.Log }

func (allPartitions) Join(_ context.Context, _, _ string, names []string, _ time.Duration, _ int64) (partlog.Assignment, error) {
	claim := partlog.Assignment{Generation: 1}
	for part := range 4 {
		claim.Parts = append(claim.Parts, partlog.Partition{Topic: names[0], Part: part})
	}
	return claim, nil
}

// losableGroup assigns all partitions until unreachable is set; then joins fail.
type losableGroup struct {
	allPartitions
	unreachable atomic.Bool
}

func (l *losableGroup) Join(ctx context.Context, group, member string, names []string, ttl time.Duration, generation int64) (partlog.Assignment, error) {
	if l.unreachable.Load() {
		return partlog.Assignment{}, partlog.Unavailable.New("not this host")
	}
	return l.allPartitions.Join(ctx, group, member, names, ttl, generation)
}

// reportReceiver is the RPC service to which daemons send their load reports.
type reportReceiver interface {
	Hear(board.LoadReport, *places.Ack) error
}

// reportRegistrar records the service among a view's that receives load reports.
type reportRegistrar struct{ to *reportReceiver }

// Register implements peer.Registrar.
func (r reportRegistrar) Register(_ string, receiver any) error {
	if reports, ok := receiver.(reportReceiver); ok {
		*r.to = reports
	}
	return nil
}

// fixedHolder names one daemon as the holder of all partitions, "" for none.
type fixedHolder struct{ self, holder string }

func (h fixedHolder) Address() string { return h.self }

func (h fixedHolder) PartHolder(int) (string, bool) { return h.holder, h.holder != "" }

func (h fixedHolder) PartHolders() []string {
	if h.holder == "" {
		return nil
	}
	return []string{h.holder}
}

// revocableGroup assigns all partitions until revoked is set, and then none.
type revocableGroup struct {
	allPartitions
	revoked atomic.Bool
}

func (t *revocableGroup) Join(ctx context.Context, group, member string, names []string, ttl time.Duration, generation int64) (partlog.Assignment, error) {
	if t.revoked.Load() {
		return partlog.Assignment{Generation: 2}, nil
	}
	return t.allPartitions.Join(ctx, group, member, names, ttl, generation)
}
