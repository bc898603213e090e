package membership_test

import (
	"fmt"
	"time"

	"tarragonhollow.example/tarragonhollow/core/membership"
)

// fleet runs machines over a simulated network that loses messages.
type fleet struct {
	now   time.Time
	hosts []string
	nodes map[string]*membership.Machine
	down  map[string]bool
	// loses reports whether one message from a to b is lost.
	loses func(a, b string) bool
}

func newFleet(n int) *fleet {
	f := &fleet{now: time.UnixMilli(0), nodes: map[string]*membership.Machine{}, down: map[string]bool{}}
	f.loses = func(string, string) bool { return false }
	for i := range n {
		f.start(fmt.Sprintf("host-%02d", i), 1)
	}
	return f
}

func (f *fleet) start(host string, incarnation uint64) {
	if f.nodes[host] == nil {
		f.hosts = append(f.hosts, host)
	}
	f.nodes[host] = membership.New(membership.Options{
		Self:  membership.Member{Host: host, PeerAddress: host, Incarnation: incarnation, LogOK: true},
		Seeds: []string{"host-00", "host-01"},
		Seed:  uint64(len(f.hosts)) + incarnation<<32,
	})
}

// run advances the fleet by a number of probe intervals.
func (f *fleet) run(ticks int) {
	for range ticks {
		f.now = f.now.Add(membership.DefaultProbeEvery)
		for _, host := range f.hosts {
			if !f.down[host] {
				f.carryOut(host, f.nodes[host].Tick(f.now))
			}
		}
	}
}

func (f *fleet) reaches(a, b string) bool { return f.nodes[b] != nil && !f.down[b] && !f.loses(a, b) }

func (f *fleet) carryOut(host string, probes []membership.Probe) {
	m := f.nodes[host]
	for len(probes) > 0 {
		p := probes[0]
		probes = append(probes[1:], f.send(m, host, p)...)
	}
}

func (f *fleet) send(m *membership.Machine, host string, p membership.Probe) []membership.Probe {
	if !f.reaches(host, p.Address) {
		return m.Missed(f.now, p)
	}
	peer := f.nodes[p.Address]
	switch p.Kind {
	case membership.ProbeIndirect:
		reply := f.via(peer, p)
		if f.reaches(p.Address, host) {
			m.AnsweredVia(f.now, p, reply)
			return nil
		}
	case membership.ProbeSync:
		reply := peer.AnswerSync(f.now, p.Request)
		if f.reaches(p.Address, host) {
			m.AnsweredSync(f.now, reply)
			return nil
		}
	default:
		reply := peer.AnswerProbe(f.now, p.Request)
		if f.reaches(p.Address, host) {
			return m.Answered(f.now, p, reply)
		}
	}
	return m.Missed(f.now, p)
}

func (f *fleet) via(middle *membership.Machine, p membership.Probe) membership.ViaReply {
	req := middle.StartVia(f.now, p.Via)
	if !f.reaches(p.Address, p.Via.Address) {
		return middle.FinishVia(f.now, nil)
	}
	reply := f.nodes[p.Via.Address].AnswerProbe(f.now, req)
	if !f.reaches(p.Via.Address, p.Address) {
		return middle.FinishVia(f.now, nil)
	}
	return middle.FinishVia(f.now, &reply)
}

// states returns the states of the members that are not dead in the observer's view.
func (f *fleet) states(observer string) map[string]membership.State {
	out := map[string]membership.State{}
	for _, member := range f.nodes[observer].Snapshot().Members() {
		out[member.Host] = member.State
	}
	return out
}

// agreed returns nil if every running host sees exactly the running hosts, all live.
func (f *fleet) agreed() error {
	for _, observer := range f.hosts {
		if f.down[observer] {
			continue
		}
		seen := f.states(observer)
		for _, host := range f.hosts {
			state, ok := seen[host]
			if f.down[host] == ok || (ok && state != membership.Live) {
				return fmt.Errorf("%s: %s sees %s as %v (present %v)", f.now, observer, host, state, ok)
			}
		}
	}
	return nil
}
