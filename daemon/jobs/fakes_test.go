package jobs_test

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"tarragonhollow.example/tarragonhollow/core/board"
	"tarragonhollow.example/tarragonhollow/core/retry"
	"tarragonhollow.example/tarragonhollow/daemon/jobs"
	"tarragonhollow.example/tarragonhollow/daemon/places"
	"tarragonhollow.example/tarragonhollow/extern/partlog"
	"tarragonhollow.example/tarragonhollow/extern/partlog/fakepartlog"
	"tarragonhollow.example/tarragonhollow/peer"
)

// reader is what daemons call at each other.
type reader interface {
	Read(jobs.ReadArgs, *jobs.ReadReply) error
	Submit(jobs.SubmitArgs, *jobs.SubmitReply) error
	Write(jobs.WriteArgs, *jobs.WriteReply) error
	Body(jobs.BodyArgs, *jobs.BodyReply) error
	End(jobs.EndArgs, *jobs.EndReply) error
}

// fakePeers calls the daemons of a spec directly. A daemon's address is its name.
type fakePeers struct {
	mu      sync.Mutex
	daemons map[string]reader
	cut     bool
	lose    bool
	calls   int
}

func (p *fakePeers) address(host string) (string, bool) { return host, true }

func (p *fakePeers) remove(host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.daemons, host)
}

// daemon returns what others call at a daemon.
func (p *fakePeers) daemon(host string) reader {
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

// loseAnswers makes calls take effect whose answers are lost.
func (p *fakePeers) loseAnswers(lose bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lose = lose
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
	lose := p.lose
	p.mu.Unlock()
	if to == nil {
		return peer.Unreachable.New("%s", address)
	}
	if method == "Jobs.Submit" {
		err := to.Submit(args.(jobs.SubmitArgs), reply.(*jobs.SubmitReply))
		if lose {
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

// registrar takes the service of the daemon.
func (p *fakePeers) registrar(host string) peer.Registrar { return hostPeers{p, host} }

type hostPeers struct {
	peers *fakePeers
	host  string
}

// Register implements peer.Registrar.
func (h hostPeers) Register(_ string, receiver any) error {
	h.peers.mu.Lock()
	defer h.peers.mu.Unlock()
	h.peers.daemons[h.host] = receiver.(reader)
	return nil
}

// list returns the daemons but one.
func (p *fakePeers) list(but string) []places.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []places.Peer
	for host := range p.daemons {
		if host != but {
			list = append(list, places.Peer{Address: host, Zone: "z"})
		}
	}
	return list
}

// hostLog is the log as one host reaches it.
type hostLog struct {
	*fakepartlog.Log
	mu  sync.Mutex
	way string
}

// The ways in which a host may fail to reach the log.
const (
	turnedAway = "turned away"
	silent     = "silent"
)

func newHostLog(log *fakepartlog.Log) *hostLog { return &hostLog{Log: log} }

func (l *hostLog) set(way string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.way = way
}

func (l *hostLog) reach(ctx context.Context) error {
	l.mu.Lock()
	way := l.way
	l.mu.Unlock()
	switch way {
	case turnedAway:
		return partlog.Unavailable.New("not this host")
	case silent:
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

// noSuspects clears everybody.
type noSuspects struct{}

func (noSuspects) Verdict(string) retry.Verdict { return retry.Clear }
func (noSuspects) Crashed(retry.Crash)          {}
func (noSuspects) Completed(string)             {}

// emptyHanded deals out no partitions.
type emptyHanded struct{ *fakepartlog.Log }

func (emptyHanded) Join(context.Context, string, string, []string, time.Duration, int64) (partlog.Claim, error) {
	return partlog.Claim{Generation: 1}, nil
}

// everything deals all partitions out to whoever asks.
type everything struct{ *fakepartlog.Log }

func (everything) Join(_ context.Context, _, _ string, names []string, _ time.Duration, _ int64) (partlog.Claim, error) {
	claim := partlog.Claim{Generation: 1}
	for part := range 4 {
		claim.Parts = append(claim.Parts, partlog.Partition{Topic: names[0], Part: part})
	}
	return claim, nil
}

// leaving deals everything out until the membership can't be renewed any more.
type leaving struct {
	everything
	lost atomic.Bool
}

func (l *leaving) Join(ctx context.Context, group, member string, names []string, ttl time.Duration, generation int64) (partlog.Claim, error) {
	if l.lost.Load() {
		return partlog.Claim{}, partlog.Unavailable.New("not this host")
	}
	return l.everything.Join(ctx, group, member, names, ttl, generation)
}

// boardHearer is what daemons call to tell what they run.
type boardHearer interface {
	Hear(board.Word, *places.Ack) error
}

// boardRegistrar takes the one of a view's services that hears words.
type boardRegistrar struct{ to *boardHearer }

// Register implements peer.Registrar.
func (r boardRegistrar) Register(_ string, receiver any) error {
	if hearer, hears := receiver.(boardHearer); hears {
		*r.to = hearer
	}
	return nil
}

// namedHolder says that one daemon holds all partitions, "" for nobody.
type namedHolder struct{ self, holder string }

func (h namedHolder) Address() string { return h.self }

func (h namedHolder) PartHolder(int) (string, bool) { return h.holder, h.holder != "" }

func (h namedHolder) PartHolders() []string {
	if h.holder == "" {
		return nil
	}
	return []string{h.holder}
}

// taken deals everything out until it is taken away.
type taken struct {
	everything
	away atomic.Bool
}

func (t *taken) Join(ctx context.Context, group, member string, names []string, ttl time.Duration, generation int64) (partlog.Claim, error) {
	if t.away.Load() {
		return partlog.Claim{Generation: 2}, nil
	}
	return t.everything.Join(ctx, group, member, names, ttl, generation)
}
