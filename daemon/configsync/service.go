package configsync

import "tarragonhollow.example/tarragonhollow/core/configlog"

// serviceName is the net/rpc name of the service for other daemons.
const serviceName = "Config"

// FetchRequest asks for the newest known state.
type FetchRequest struct{}

// Service is the net/rpc receiver "Config".
type Service struct{ s *Sync }

// Fetch returns the newest state known here. It is a fold of the stream, so it
// is true as of its offset even if this daemon is cut off from the log.
func (v *Service) Fetch(_ *FetchRequest, reply *configlog.State) error {
	*reply = v.s.state()
	return nil
}
