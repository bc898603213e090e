package configsync

import "tarragonhollow.example/tarragonhollow/core/configlog"

// serviceName is the net/rpc name of the service for other daemons.
const serviceName = "Config"

// FetchRequest requests the newest known state.
type FetchRequest struct{}

// Service is the net/rpc receiver "Config".
type Service struct{ s *Sync }

// Fetch returns the newest state known here. The state results from applying the stream up to
// an offset, so it is correct as of that offset even if this daemon can't reach the log.
func (v *Service) Fetch(_ *FetchRequest, reply *configlog.State) error {
	*reply = v.s.state()
	return nil
}
