//go:build !linux

package callerconns

import "net"

// acceptQueued is implemented for Linux only; on other systems closing the listener
// resets the queued connections.
func acceptQueued(net.Listener, func(net.Conn)) error {
	return errQueue.New("not supported on this system")
}
