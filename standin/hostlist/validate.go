package hostlist

import (
	"errors"
	"fmt"
	"net/netip"

	"tarragonhollow.example/tarragonhollow/platform"
)

// validate tells the first thing that is wrong with a host's line.
func validate(host platform.Host) error {
	if host.Name == "" || host.Zone == "" {
		return errors.New("a host needs a name and a zone")
	}
	if host.Role != platform.RoleDaemon && host.Role != platform.RoleTarget {
		return fmt.Errorf("host %s: role %q: allowed are %q and %q",
			host.Name, host.Role, platform.RoleDaemon, platform.RoleTarget)
	}
	if host.State != platform.HostLive && host.State != platform.HostLeaving {
		return fmt.Errorf("host %s: state %q: allowed are %q and %q",
			host.Name, host.State, platform.HostLive, platform.HostLeaving)
	}
	if _, err := netip.ParseAddrPort(host.Address); err != nil {
		return fmt.Errorf("host %s: address %q: want IP:PORT", host.Name, host.Address)
	}
	return nil
}
