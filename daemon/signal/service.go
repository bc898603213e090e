package signal

import (
	"tarragonhollow.example/tarragonhollow/core/membership"
	"tarragonhollow.example/tarragonhollow/peer"
)

// Service is the net/rpc handler of a Receiver.
type Service struct {
	receiver Receiver
}

// Register registers the receiver for calls by other daemons.
func Register(r peer.Registrar, receiver Receiver) error {
	return r.Register(ServiceName, &Service{receiver: receiver})
}

// Deliver applies one signal and replies with the steward's reports.
func (s *Service) Deliver(sig *Signal, reply *Reply) error {
	reply.Words = s.receiver.OnSignal(*sig)
	return nil
}

// StewardOf returns the daemon that alone sends batch work to the target: the first by
// rendezvous hashing. Views may differ for a moment, so that two daemons both consider
// themselves the steward; that costs latency, never a result.
func StewardOf(view membership.View, targetAddress string) (membership.Member, bool) {
	return view.First("steward/" + targetAddress)
}
