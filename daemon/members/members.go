// Package members runs the membership state machine: it probes the other daemons, polls the
// host list, and keeps a snapshot of the fleet that hot paths read without a lock.
package members

import (
	"context"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/membership"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
)

// ServiceName is the net/rpc name of this package's service, which answers probes.
const ServiceName = "Members"

// maxPendingProbes bounds the members that wait for a probe requested by ProbeNow.
const maxPendingProbes = 16

// Members implements membership.View.
type Members struct {
	opt   Options
	meter *meter

	mu      sync.Mutex
	machine *membership.Machine
	// declaredDead is the count that was last logged.
	declaredDead uint64
	superseded   bool

	view          atomic.Pointer[membership.Snapshot]
	changed       chan struct{} // capacity 1: the hooks have yet to be called
	probeRequests chan string   // peer addresses to probe out of turn
	probes        sync.WaitGroup

	hooksMu sync.Mutex
	hooks   []func()
}

var _ membership.View = (*Members)(nil)

// New returns Members that contain only this daemon, and registers the service "Members".
// Run starts the probes.
func New(o Options) (*Members, error) {
	o, err := o.validated()
	if err != nil {
		return nil, err
	}
	m := &Members{opt: o, changed: make(chan struct{}, 1), probeRequests: make(chan string, maxPendingProbes)}
	m.machine = membership.New(membership.Options{
		Self: membership.Member{
			Host: o.Host, Zone: o.Zone, PeerAddress: o.PeerAddress, HTTPAddress: o.HTTPAddress, Incarnation: o.Incarnation,
		},
		Seeds:        o.Seeds,
		ProbeEvery:   o.ProbeEvery,
		SuspectAfter: o.SuspectAfter,
		ForgetAfter:  o.ForgetAfter,
		Seed:         o.Incarnation,
	})
	m.view.Store(m.machine.Snapshot())
	m.meter = newMeter(o.Metrics, m)
	if err := o.Registrar.Register(ServiceName, &Service{m: m}); err != nil {
		return nil, badOptions.Wrap(err, "the service can't be registered")
	}
	return m, nil
}

// Run starts the loops in the group.
func (m *Members) Run(g *duty.Group) {
	g.Go(m.probeLoop)
	g.Go(m.changeLoop)
	if m.opt.HostList != nil {
		g.Go(m.hostListLoop)
	}
}

// Self implements membership.View.
func (m *Members) Self() membership.Member { return m.view.Load().Self() }

// Members implements membership.View.
func (m *Members) Members() []membership.Member { return m.view.Load().Members() }

// Holder implements membership.View.
func (m *Members) Holder(shard int) (membership.Member, bool) { return m.view.Load().Holder(shard) }

// LiveID implements membership.View.
func (m *Members) LiveID(id string) bool { return m.view.Load().LiveID(id) }

// Successors implements membership.View.
func (m *Members) Successors(key string) []membership.Member { return m.view.Load().Successors(key) }

// First implements membership.View.
func (m *Members) First(key string) (membership.Member, bool) { return m.view.Load().First(key) }

// TargetLeaving implements membership.View.
func (m *Members) TargetLeaving(address string) bool { return m.view.Load().TargetLeaving(address) }

// Snapshot returns the current view, for several reads that must be consistent.
func (m *Members) Snapshot() *membership.Snapshot { return m.view.Load() }

// SetFacts changes the facts that this daemon announces about itself; an unchanged entry
// costs nothing. The function must not call Members.
func (m *Members) SetFacts(change func(*membership.Member)) {
	m.update(func(machine *membership.Machine) { machine.SetFacts(change) })
}

// HostListVersion returns the version of the last host list read, 0 if none was read.
func (m *Members) HostListVersion() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.HostListVersion()
}

// DeclaredDead returns how often this daemon learned that others had declared it dead. After
// an increase, other daemons may have taken over what this daemon owned.
func (m *Members) DeclaredDead() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.DeclaredDead()
}

// Superseded reports whether a later incarnation of this host runs.
func (m *Members) Superseded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Superseded()
}

// OnChange adds a function that is called after the view changed. Changes in quick
// succession are coalesced into one call. The function must not block.
func (m *Members) OnChange(hook func()) {
	m.hooksMu.Lock()
	defer m.hooksMu.Unlock()
	m.hooks = append(m.hooks, hook)
}

// Leave marks this daemon as leaving and notifies up to leaveFanout members, which spread
// it further. It returns when these calls have ended, or at the end of ctx.
func (m *Members) Leave(ctx context.Context) {
	var requests []membership.Probe
	m.update(func(machine *membership.Machine) {
		machine.Leave()
		for _, member := range machine.Snapshot().Successors(m.opt.Host) {
			if member.Host == m.opt.Host || len(requests) == leaveFanout {
				continue
			}
			requests = append(requests, membership.Probe{Address: member.PeerAddress, Request: machine.RequestTo(member.Host)})
		}
	})
	var calls sync.WaitGroup
	for _, p := range requests {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, m.opt.ProbeEvery)
			defer cancel()
			var reply membership.ProbeReply
			_ = m.opt.Peer.Call(ctx, p.Address, ServiceName+".Probe", &p.Request, &reply)
		})
	}
	calls.Wait()
}

// update runs f on the state machine under the lock and publishes a new snapshot if the view
// changed.
func (m *Members) update(f func(*membership.Machine)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.machine)
	m.logStatusChanges()
	if m.machine.Version() == m.view.Load().Version() {
		return
	}
	m.view.Store(m.machine.Snapshot())
	duty.Wake(m.changed)
}

// logStatusChanges logs when this daemon learns that it was declared dead or has been
// superseded. The caller holds the lock.
func (m *Members) logStatusChanges() {
	if n := m.machine.DeclaredDead(); n != m.declaredDead {
		m.declaredDead = n
		m.opt.Logger.Warn("member_was_declared_dead", zap.String("host", m.opt.Host), zap.Uint64("times", n))
	}
	if m.machine.Superseded() && !m.superseded {
		m.superseded = true
		m.opt.Logger.Error("member_superseded_by_later_incarnation", zap.String("host", m.opt.Host))
	}
}
