//go:build !linux

package callerconns

import "net"

// emptyQueue is known for Linux only; elsewhere the listener closes with its queue.
func emptyQueue(net.Listener, func(net.Conn)) error {
	return errQueue.New("not known on this system")
}
