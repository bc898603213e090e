//go:build !linux

package api

import "net"

// emptyQueue is known for Linux only; elsewhere the listener closes with its queue.
func emptyQueue(net.Listener, func(net.Conn)) error {
	return ErrServe.New("not known on this system")
}
