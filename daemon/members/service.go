package members

import (
	"context"

	"tarragonhollow.example/tarragonhollow/core/membership"
)

// Service is the net/rpc receiver "Members"; its methods are called by other
// daemons only.
type Service struct{ m *Members }

// Probe answers a direct probe.
func (s *Service) Probe(req *membership.ProbeRequest, reply *membership.ProbeReply) error {
	s.m.meter.received.Inc()
	s.m.update(func(machine *membership.Machine) { *reply = machine.AnswerProbe(s.m.opt.Clock(), *req) })
	return nil
}

// Sync answers a joining daemon with the full membership state.
func (s *Service) Sync(req *membership.ProbeRequest, reply *membership.SyncReply) error {
	s.m.meter.received.Inc()
	s.m.update(func(machine *membership.Machine) { *reply = machine.AnswerSync(s.m.opt.Clock(), *req) })
	return nil
}

// ProbeVia probes another daemon on behalf of the sender.
func (s *Service) ProbeVia(req *membership.ViaRequest, reply *membership.ViaReply) error {
	m := s.m
	m.meter.received.Inc()
	var probe membership.ProbeRequest
	m.update(func(machine *membership.Machine) { probe = machine.StartVia(m.opt.Clock(), *req) })
	answer := new(membership.ProbeReply)
	if err := m.call(context.Background(), relayedProbeTimeout, req.Address, "Probe", &probe, answer); err != nil {
		answer = nil
	}
	m.update(func(machine *membership.Machine) { *reply = machine.FinishVia(m.opt.Clock(), answer) })
	return nil
}
