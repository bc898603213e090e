package hostlist

import (
	"errors"
	"fmt"
	"net/netip"

	"tarragonhollow.example/tarragonhollow/extern"
)

// validate returns the first error in a host list entry.
func validate(host extern.Host) error {
	if host.Name == "" || host.Zone == "" {
		return errors.New("a host needs a name and a zone")
	}
	if host.Role != extern.RoleDaemon && host.Role != extern.RoleTarget {
		return fmt.Errorf("host %s: role %q: allowed are %q and %q",
			host.Name, host.Role, extern.RoleDaemon, extern.RoleTarget)
	}
	if host.State != extern.HostLive && host.State != extern.HostLeaving {
		return fmt.Errorf("host %s: state %q: allowed are %q and %q",
			host.Name, host.State, extern.HostLive, extern.HostLeaving)
	}
	if _, err := netip.ParseAddrPort(host.Address); err != nil {
		return fmt.Errorf("host %s: address %q: want IP:PORT", host.Name, host.Address)
	}
	return nil
}
