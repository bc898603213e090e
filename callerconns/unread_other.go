//go:build !linux

package callerconns

import "net"

// hasUnread is only implemented on Linux.
func hasUnread(net.Conn) bool { return false }
