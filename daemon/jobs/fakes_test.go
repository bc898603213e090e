package jobs_test

import (
	"context"
	"sync"
	"time"

	"tarragonhollow.example/tarragonhollow/core/retry"
	"tarragonhollow.example/tarragonhollow/daemon/jobs"
	"tarragonhollow.example/tarragonhollow/extern/partlog"
	"tarragonhollow.example/tarragonhollow/extern/partlog/fakepartlog"
	"tarragonhollow.example/tarragonhollow/peer"
)

// reader is what daemons call at each other.
type reader interface {
	Read(jobs.ReadArgs, *jobs.ReadReply) error
}

// fakePeers calls the daemons of a spec directly. A daemon's address is its name.
type fakePeers struct {
	mu      sync.Mutex
	daemons map[string]reader
	cut     bool
	calls   int
}

func (p *fakePeers) address(host string) (string, bool) { return host, true }

func (p *fakePeers) remove(host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.daemons, host)
}

// setCut makes all calls fail.
func (p *fakePeers) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
}

// called returns how many calls were made.
func (p *fakePeers) called() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// Call implements peer.Caller.
func (p *fakePeers) Call(_ context.Context, address, _ string, args, reply any) error {
	p.mu.Lock()
	to := p.daemons[address]
	if p.cut {
		to = nil
	}
	p.calls++
	p.mu.Unlock()
	if to == nil {
		return peer.Unreachable.New("%s", address)
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
