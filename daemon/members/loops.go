package members

import (
	"context"
	"errors"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/membership"
	"tarragonhollow.example/tarragonhollow/extern"
	"tarragonhollow.example/tarragonhollow/peer"
)

const (
	// leaveFanout is how many members a leaving daemon notifies directly.
	leaveFanout = 8
	// indirectTimeout, in probe intervals, is the timeout of a request to probe through another
	// member. It includes that member's own probe, which has relayedProbeTimeout.
	indirectTimeout     = 1.5
	relayedProbeTimeout = 1.0
	// contactTimeout, in probe intervals, is longer because the first call to an address has
	// to connect, and the reply to a joining daemon is large.
	contactTimeout = 3
	// hostListTimeout bounds one poll of the host list.
	hostListTimeout = 2 * time.Second
	// hostListJitter is the share of the interval over which polls are spread, so that the
	// fleet doesn't poll in lockstep.
	hostListJitter = 0.4
)

// probeLoop ticks the state machine and sends the probes that it returns. Probes run
// concurrently, each bounded by its timeout: an unreachable host must not delay the others.
func (m *Members) probeLoop(ctx context.Context) {
	defer m.probes.Wait()
	ticker := time.NewTicker(m.opt.ProbeEvery)
	defer ticker.Stop()
	for {
		var probes []membership.Probe
		m.update(func(machine *membership.Machine) { probes = machine.Tick(m.opt.Clock()) })
		m.startProbes(ctx, probes)
		m.awaitTick(ctx, ticker.C)
		if ctx.Err() != nil {
			return
		}
	}
}

// awaitTick sends the probes that ProbeNow requested until the next tick.
func (m *Members) awaitTick(ctx context.Context, tick <-chan time.Time) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick:
			return
		case address := <-m.probeRequests:
			var probes []membership.Probe
			m.update(func(machine *membership.Machine) { probes = machine.CallFailed(m.opt.Clock(), address) })
			m.startProbes(ctx, probes)
		}
	}
}

// ProbeNow has the member at the peer address probed at once, because a call to it failed,
// instead of at its turn. It never blocks: if the channel is full, the member is probed at
// its turn.
func (m *Members) ProbeNow(address string) {
	select {
	case m.probeRequests <- address:
	default:
	}
}

// startProbes starts the probes. The state machine bounds their number for each tick, and
// each lasts at most contactTimeout ticks.
func (m *Members) startProbes(ctx context.Context, probes []membership.Probe) {
	for _, p := range probes {
		m.probes.Go(func() { m.probe(ctx, p) })
	}
}

// probe sends one probe and applies its result.
func (m *Members) probe(ctx context.Context, p membership.Probe) {
	var err error
	switch p.Kind {
	case membership.ProbeIndirect:
		var reply membership.ViaReply
		if err = m.call(ctx, indirectTimeout, p.Address, "ProbeVia", &p.Via, &reply); err == nil {
			m.update(func(machine *membership.Machine) { machine.AnsweredVia(m.opt.Clock(), p, reply) })
		}
	case membership.ProbeSync:
		var reply membership.SyncReply
		if err = m.call(ctx, contactTimeout, p.Address, "Sync", &p.Request, &reply); err == nil {
			m.update(func(machine *membership.Machine) { machine.AnsweredSync(m.opt.Clock(), reply) })
		}
	default:
		err = m.probeDirect(ctx, p)
	}
	if err != nil && ctx.Err() == nil {
		m.meter.missed.Inc()
		m.probeFailed(ctx, p, connectionRefused(err))
	}
}

// probeDirect sends a probe that the member answers itself, and applies the answer.
func (m *Members) probeDirect(ctx context.Context, p membership.Probe) error {
	timeout := 1.0
	if p.Kind == membership.ProbeContact {
		timeout = contactTimeout
	}
	var reply membership.ProbeReply
	began := m.opt.Clock()
	err := m.call(ctx, timeout, p.Address, "Probe", &p.Request, &reply)
	if peer.IsNoReply(err) && m.opt.Clock().Sub(began) < m.opt.ProbeEvery {
		// The connection broke during the call, as happens when the process ends. A new
		// connection shows whether a process still listens at the address.
		err = m.call(ctx, timeout, p.Address, "Probe", &p.Request, &reply)
	}
	if err != nil {
		return err
	}
	var next []membership.Probe
	m.update(func(machine *membership.Machine) { next = machine.Answered(m.opt.Clock(), p, reply) })
	m.startProbes(ctx, next)
	return nil
}

// probeFailed applies the failure of a probe; refused reports that the host refused the
// connection.
func (m *Members) probeFailed(ctx context.Context, p membership.Probe, refused bool) {
	var next []membership.Probe
	m.update(func(machine *membership.Machine) {
		if refused {
			next = machine.Refused(m.opt.Clock(), p)
			return
		}
		next = machine.Missed(m.opt.Clock(), p)
	})
	m.startProbes(ctx, next)
}

// connectionRefused reports whether the probed host refused the connection because no
// process listens at the address, as opposed to not answering. errors.Is does not see the
// causes of the peer layer's errors, so this function walks them.
func connectionRefused(err error) bool {
	for err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return true
		}
		layered := errorx.Cast(err)
		if layered == nil {
			return false
		}
		err = layered.Cause()
	}
	return false
}

// call calls a method of the peer's service with a timeout in probe intervals.
func (m *Members) call(ctx context.Context, intervals float64, address, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(intervals*float64(m.opt.ProbeEvery)))
	defer cancel()
	m.meter.sent.Inc()
	return m.opt.Peer.Call(ctx, address, ServiceName+"."+method, args, reply)
}

// changeLoop calls the hooks after the view changed. It does not hold the lock meanwhile, so
// that they may read the view and change facts.
func (m *Members) changeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.changed:
		}
		m.hooksMu.Lock()
		hooks := append([]func(){}, m.hooks...)
		m.hooksMu.Unlock()
		for _, hook := range hooks {
			hook()
		}
	}
}

// hostListLoop polls the host list. While the list can't be read, the last one stays in
// force, and notices from other daemons are still applied.
func (m *Members) hostListLoop(ctx context.Context) {
	failing := false
	for {
		err := m.pollHostList(ctx)
		if err != nil && !failing && ctx.Err() == nil {
			m.opt.Logger.Warn("host_list_unreadable", zap.Error(err), zap.Int64("kept_version", m.HostListVersion()))
		}
		if err == nil && failing {
			m.opt.Logger.Info("host_list_readable_again", zap.Int64("version", m.HostListVersion()))
		}
		failing = err != nil
		select {
		case <-ctx.Done():
			return
		case <-time.After(jittered(m.opt.HostListEvery)):
		}
	}
}

// jittered returns a random duration around d, spread by hostListJitter.
func jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + hostListJitter*(rand.Float64()-0.5)))
}

func (m *Members) pollHostList(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, hostListTimeout)
	defer cancel()
	view, err := m.opt.HostList.Hosts(ctx)
	if err != nil {
		m.meter.listFailures.Inc()
		return err
	}
	m.update(func(machine *membership.Machine) { machine.SetHostList(m.opt.Clock(), convertHostList(view)) })
	return nil
}

// convertHostList converts the platform's host list.
func convertHostList(view extern.HostView) membership.HostList {
	list := membership.HostList{Version: view.Version}
	for _, h := range view.Hosts {
		leaving := h.State == extern.HostLeaving
		switch h.Role {
		case extern.RoleDaemon:
			list.Daemons = append(list.Daemons, membership.ListedDaemon{Host: h.Name, Address: h.Address, Leaving: leaving})
		case extern.RoleTarget:
			list.Targets = append(list.Targets, membership.ListedTarget{Address: h.Address, Leaving: leaving})
		}
	}
	return list
}
