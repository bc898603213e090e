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
	// leaveFanout is how many members a leaving daemon tells itself.
	leaveFanout = 8
	// indirectTimeout, in probe intervals, leaves room for the middle one's own
	// probe, which gets middleTimeout of them.
	indirectTimeout = 1.5
	middleTimeout   = 1.0
	// contactTimeout, in probe intervals, is longer: the first call to an address
	// connects, and a joining reply is large.
	contactTimeout = 3
	// hostListTimeout bounds one poll.
	hostListTimeout = 2 * time.Second
	// hostListJitter is the share of the interval by which polls are spread, so
	// that the fleet doesn't ask in step.
	hostListJitter = 0.4
)

// probeLoop ticks the machine and sends what it orders. Probes run beside the
// loop, each bounded by its timeout: one lost host must not delay the others.
func (m *Members) probeLoop(ctx context.Context) {
	defer m.probes.Wait()
	ticker := time.NewTicker(m.opt.ProbeEvery)
	defer ticker.Stop()
	for {
		var probes []membership.Probe
		m.with(func(machine *membership.Machine) { probes = machine.Tick(m.opt.Clock()) })
		m.send(ctx, probes)
		m.awaitTick(ctx, ticker.C)
		if ctx.Err() != nil {
			return
		}
	}
}

// awaitTick probes doubted members until the next tick.
func (m *Members) awaitTick(ctx context.Context, tick <-chan time.Time) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick:
			return
		case address := <-m.doubts:
			var probes []membership.Probe
			m.with(func(machine *membership.Machine) { probes = machine.Doubt(m.opt.Clock(), address) })
			m.send(ctx, probes)
		}
	}
}

// Doubt tells that a call to the peer address failed; the member there is probed
// at once instead of at its turn. It never blocks: what is beyond the channel's
// room is probed in turn.
func (m *Members) Doubt(address string) {
	select {
	case m.doubts <- address:
	default:
	}
}

// send carries out probes; their number is bounded by the machine for each tick
// and each lasts at most contactTimeout ticks.
func (m *Members) send(ctx context.Context, probes []membership.Probe) {
	for _, p := range probes {
		m.probes.Go(func() { m.probe(ctx, p) })
	}
}

func (m *Members) probe(ctx context.Context, p membership.Probe) {
	var err error
	switch p.Kind {
	case membership.ProbeIndirect:
		var reply membership.ViaReply
		if err = m.call(ctx, indirectTimeout, p.Address, "ProbeVia", &p.Via, &reply); err == nil {
			m.with(func(machine *membership.Machine) { machine.AnsweredVia(m.opt.Clock(), p, reply) })
		}
	case membership.ProbeSync:
		var reply membership.SyncReply
		if err = m.call(ctx, contactTimeout, p.Address, "Sync", &p.Request, &reply); err == nil {
			m.with(func(machine *membership.Machine) { machine.AnsweredSync(m.opt.Clock(), reply) })
		}
	default:
		err = m.probeDirect(ctx, p)
	}
	if err != nil && ctx.Err() == nil {
		m.meter.missed.Inc()
		m.missed(ctx, p, refused(err))
	}
}

func (m *Members) probeDirect(ctx context.Context, p membership.Probe) error {
	timeout := 1.0
	if p.Kind == membership.ProbeContact {
		timeout = contactTimeout
	}
	var reply membership.ProbeReply
	began := m.opt.Clock()
	err := m.call(ctx, timeout, p.Address, "Probe", &p.Request, &reply)
	if peer.IsNoReply(err) && m.opt.Clock().Sub(began) < m.opt.ProbeEvery {
		// The connection broke under the call, as it does when the process ends. A
		// new one tells whether anybody still listens there.
		err = m.call(ctx, timeout, p.Address, "Probe", &p.Request, &reply)
	}
	if err != nil {
		return err
	}
	var next []membership.Probe
	m.with(func(machine *membership.Machine) { next = machine.Answered(m.opt.Clock(), p, reply) })
	m.send(ctx, next)
	return nil
}

func (m *Members) missed(ctx context.Context, p membership.Probe, refused bool) {
	var next []membership.Probe
	m.with(func(machine *membership.Machine) {
		if refused {
			next = machine.Refused(m.opt.Clock(), p)
			return
		}
		next = machine.Missed(m.opt.Clock(), p)
	})
	m.send(ctx, next)
}

// refused tells whether the probed host answered that nobody listens at the
// address, as opposed to silence. The peer layer's errors hide their cause from
// errors.Is, so the causes are walked.
func refused(err error) bool {
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

// call sends one message, bounded by a number of probe intervals.
func (m *Members) call(ctx context.Context, intervals float64, address, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(intervals*float64(m.opt.ProbeEvery)))
	defer cancel()
	m.meter.sent.Inc()
	return m.opt.Peer.Call(ctx, address, ServiceName+"."+method, args, reply)
}

// changeLoop calls the hooks outside of the lock, so that they may read the view
// and change facts.
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

// hostListLoop polls the host list. While the list can't be read, the last one
// stays in force and notices from other daemons still come in.
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
	m.with(func(machine *membership.Machine) { machine.SetHostList(m.opt.Clock(), fromPlatform(view)) })
	return nil
}

func fromPlatform(view extern.HostView) membership.HostList {
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
