package signal

import (
	"tarragonhollow.example/tarragonhollow/core/membership"
	"tarragonhollow.example/tarragonhollow/peer"
)

// Service is the net/rpc face of a Receiver.
type Service struct {
	receiver Receiver
}

// Register makes the receiver reachable for other daemons.
func Register(r peer.Registrar, receiver Receiver) error {
	return r.Register(ServiceName, &Service{receiver: receiver})
}

// Deliver takes one signal and answers with the steward's words.
func (s *Service) Deliver(sig *Signal, reply *Reply) error {
	reply.Words = s.receiver.OnSignal(*sig)
	return nil
}

// StewardOf returns the daemon that alone sends batch work to the target: the
// first by rendezvous order. Views may differ for a moment, so two daemons may
// both see themselves named; that costs latency, never a result.
func StewardOf(view membership.View, targetAddress string) (membership.Member, bool) {
	return view.First("steward/" + targetAddress)
}
